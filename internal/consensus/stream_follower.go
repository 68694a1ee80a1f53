package consensus

import (
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"io"
	"time"

	"dahliarudder/internal/gossip"
)

const (
	// streamTimeout is the longest time between two frames of a stream that works.
	streamTimeout = 2 * time.Second
	// preferredRetryInterval is how often a follower of another voter checks whether its preferred one
	// is healthy again.
	preferredRetryInterval = 10 * time.Second
	// leaderlessLimit is how long a voter may be without a leader before it follows a stream too: it
	// may have been replaced.
	leaderlessLimit  = 2 * time.Second
	followRetryDelay = 50 * time.Millisecond
)

// Reasons to end a stream that did not fail. It is opened again at once if it is still needed.
var (
	errStreamNotNeeded = errors.New("the engine knows a leader again")
	errStreamRetry     = errors.New("stream request had an old epoch or start: send it again with the current one")
)

// followStatus is the state that the followed stream last reported.
type followStatus struct {
	source, leader string // names of voters
	hasQuorum      bool
	updatedAt      time.Time
	commitIndex    uint64
}

// followLoop follows a voter's stream while this node has no engine that knows a leader.
func (n *Node) followLoop() {
	next := 0
	for {
		voters := n.otherVoters()
		if n.streamNotNeeded() || len(voters) == 0 {
			select {
			case <-n.quit:
				return
			case <-time.After(superviseInterval):
			}
			continue
		}
		f := &streamFollower{node: n, source: voters[next%len(voters)], preferred: voters[0], preferredCheckedAt: time.Now()}
		err := f.run()
		n.mu.Lock()
		n.followState = followStatus{}
		n.mu.Unlock()
		switch {
		case errors.Is(err, errStreamNotNeeded), errors.Is(err, errStreamRetry):
			continue
		case errors.Is(err, errPreferredBack):
			next = 0
			continue
		}
		next++
		select {
		case <-n.quit:
			return
		case <-time.After(followRetryDelay * time.Duration(1+next%len(voters))):
		}
	}
}

// streamNotNeeded reports whether the engine knows a leader, or lost it less than leaderlessLimit ago.
func (n *Node) streamNotNeeded() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.currentEngine != nil && (n.leaderlessSince.IsZero() || time.Since(n.leaderlessSince) < leaderlessLimit)
}

// streamFollower follows one voter's stream.
type streamFollower struct {
	node               *Node
	source             voter // the voter that sends the stream
	preferred          voter // the first of otherVoters
	preferredCheckedAt time.Time
	leaderlessSince    time.Time // when the source lost its quorum; zero while it has one
}

// run follows the stream until the stream fails, no frame arrives for streamTimeout, its source has
// had no quorum for streamTimeout, this node's engine knows a leader, or the preferred voter is healthy
// again. Without the return to the preferred voter, all followers would stay with the voter that was up
// first.
func (f *streamFollower) run() error {
	n := f.node
	ctx, cancel := context.WithCancel(n.ctx)
	defer cancel()
	timeout := time.AfterFunc(streamTimeout, cancel)
	defer timeout.Stop()
	recordID, index, _ := n.applier.position()
	stream, err := n.client.send(ctx, f.source, requestFollow, putUints(nil, recordID, index))
	if err != nil {
		return err
	}
	defer stream.Close()
	for number := uint64(0); ; number++ {
		frame, err := f.readFrame(stream, number, timeout)
		if err != nil {
			return err
		}
		if number == 0 && n.client.updateEpochOrStart(f.source.name, stream.start, frame) {
			return errStreamRetry
		}
		timeout.Reset(streamTimeout)
		hasEngine, needed := f.noteFrame()
		if !needed {
			return errStreamNotNeeded
		}
		if err := f.handleFrame(frame[0], frame[1:], hasEngine); err != nil {
			return err
		}
		if hasEngine { // this voter knows no leader: it may have been replaced
			n.checkRemoved()
		}
	}
}

// readFrame reads and verifies one frame. The frame is not empty.
func (f *streamFollower) readFrame(stream *response, number uint64, timeout *time.Timer) ([]byte, error) {
	var head [4]byte
	if _, err := io.ReadFull(stream, head[:]); err != nil {
		return nil, err
	}
	size := binary.BigEndian.Uint32(head[:])
	if size < tagSize+1 || size > maxFrameSize {
		return nil, gossip.ErrSize
	}
	if size > maxSmallRequest {
		timeout.Reset(snapshotTimeout)
	}
	sealed, err := readExactly(stream, int(size))
	if err != nil {
		return nil, err
	}
	frame, err := verifyResponse(f.node.options.Keys[0], stream.tag, number, sealed)
	if err != nil || len(frame) == 0 {
		return nil, gossip.ErrBadTag
	}
	return frame, nil
}

// noteFrame records that the stream works. It returns whether this node has an engine, and whether it
// needs the stream: it does not if its engine knows a leader.
func (f *streamFollower) noteFrame() (hasEngine, needed bool) {
	n := f.node
	n.mu.Lock()
	defer n.mu.Unlock()
	n.followState.source, n.followState.updatedAt = f.source.name, time.Now()
	return n.currentEngine != nil, n.currentEngine == nil || !n.leaderlessSince.IsZero()
}

// errOtherRecord ends a stream that sent a snapshot of another record.
var errOtherRecord = errors.New("stream sent a snapshot of another record")

func (f *streamFollower) handleFrame(kind byte, body []byte, hasEngine bool) error {
	n := f.node
	switch kind {
	case frameStatus:
		return f.handleStatus(body)
	case frameSnapshot:
		s, err := decodeSnapshot(body)
		if err != nil {
			return err
		}
		if !n.acceptsRecord(s.recordID, hasEngine) {
			return errOtherRecord
		}
		return n.applyAndWait(applyBatch{snapshot: &s})
	case frameEntries:
		entries, err := decodeEntries(body)
		if err != nil {
			return err
		}
		return n.applyAndWait(applyBatch{entries: entries})
	}
	return errMalformed
}

// Reasons to switch from a stream that did not fail to another voter's.
var (
	errPreferredBack    = errors.New("the preferred voter is healthy again")
	errSourceLeaderless = errors.New("the followed voter knows no leader")
)

func (f *streamFollower) handleStatus(body []byte) error {
	r := reader{rest: body}
	commitIndex, hasQuorum, leader := r.uint(), r.uint() == 1, r.string()
	if err := r.finish(); err != nil {
		return err
	}
	n := f.node
	n.mu.Lock()
	n.followState.commitIndex, n.followState.hasQuorum, n.followState.leader = commitIndex, hasQuorum, leader
	n.mu.Unlock()
	if f.source.name != f.preferred.name && time.Since(f.preferredCheckedAt) > preferredRetryInterval {
		f.preferredCheckedAt = time.Now()
		recordID, _, _ := n.applier.position()
		if status, err := n.queryPeer(f.preferred, 0, 0); err == nil && status.recordID == recordID && status.hasQuorum {
			return errPreferredBack
		}
	}
	switch {
	case hasQuorum:
		f.leaderlessSince = time.Time{}
	case f.leaderlessSince.IsZero():
		f.leaderlessSince = time.Now()
	case time.Since(f.leaderlessSince) > streamTimeout:
		return errSourceLeaderless
	}
	return nil
}

// acceptsRecord reports whether a snapshot of a record may replace this relay's state. A relay with
// an engine accepts only its own record. A relay that is reserved for a bootstrap accepts only the
// record of that bootstrap until the reservation expires.
func (n *Node) acceptsRecord(recordID uint64, hasEngine bool) bool {
	if current, _, _ := n.applier.position(); hasEngine && current != recordID {
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.bootstrapID == 0 || n.bootstrapID == recordID || time.Since(n.bootstrapReservedAt) >= bootstrapReservation
}

// checkRemoved ends the engine if the voters received over the stream do not include this one.
func (n *Node) checkRemoved() {
	e := n.engine()
	if e == nil {
		return
	}
	if n.applier.voterSet()[e.id].name != n.options.Name {
		n.tryOnEngine(func(e *engine) {
			if _, ok := e.node.applier.voterSet()[e.id]; !ok {
				e.removed = true
			}
		})
	}
}

// readExactly reads size bytes. It allocates memory only as the bytes arrive.
func readExactly(r io.Reader, size int) ([]byte, error) {
	var b bytes.Buffer
	if n, err := io.CopyN(&b, r, int64(size)); err != nil || n != int64(size) {
		return nil, errors.Join(io.ErrUnexpectedEOF, err)
	}
	return b.Bytes(), nil
}

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
	streamTimeout          = 2 * time.Second  // a silent stream is broken after this
	preferredRetryInterval = 10 * time.Second // how often a follower of another voter checks whether its preferred one is healthy again
	leaderlessLimit        = 2 * time.Second  // a voter without a leader for longer follows a stream too: it may have been replaced
	followRetryDelay       = 50 * time.Millisecond
)

// Why a stream that did not fail is ended, to be opened again at once if it is still needed.
var (
	errStreamNotNeeded = errors.New("the engine knows a leader again")
	errStreamRetry     = errors.New("rejected unread: sent again with the current epoch and start")
)

// followStatus is what the followed stream last reported.
type followStatus struct {
	source, leader string // names of voters
	hasQuorum      bool
	updatedAt      time.Time
	commitIndex    uint64
}

// followLoop follows a voter's stream whenever this node has no engine that knows a leader.
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

// streamNotNeeded says whether the engine knows a leader, or knew one a moment ago.
func (n *Node) streamNotNeeded() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.currentEngine != nil && (n.leaderlessSince.IsZero() || time.Since(n.leaderlessSince) < leaderlessLimit)
}

// streamFollower follows one voter's stream.
type streamFollower struct {
	node               *Node
	source, preferred  voter
	preferredCheckedAt time.Time
	leaderlessSince    time.Time // since when the source has no quorum; zero if it has one
}

// run follows the stream until it fails, falls silent, or its source has no leader for long; or until preferred, the voter that this relay
// would follow first, is healthy again: otherwise all would stay with the voter that was up first.
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
		if number == 0 && n.client.updateFreshness(f.source.name, stream.start, frame) {
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
		if hasEngine { // a voter without a leader: it may have been replaced
			n.checkRemoved()
		}
	}
}

// readFrame reads and verifies one frame; it is not empty.
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
	frame, err := verifyAnswer(f.node.options.Keys[0], stream.tag, number, sealed)
	if err != nil || len(frame) == 0 {
		return nil, gossip.ErrBadTag
	}
	return frame, nil
}

// noteFrame notes that the stream works. The stream is not needed if this node has an engine that knows a leader.
func (f *streamFollower) noteFrame() (hasEngine, needed bool) {
	n := f.node
	n.mu.Lock()
	defer n.mu.Unlock()
	n.followState.source, n.followState.updatedAt = f.source.name, time.Now()
	return n.currentEngine != nil, n.currentEngine == nil || !n.leaderlessSince.IsZero()
}

// errOtherRecord ends a stream whose snapshot is of another record.
var errOtherRecord = errors.New("snapshot of another record")

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

// Why a stream that did not fail is ended in favour of another voter.
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

// acceptsRecord says whether a snapshot of that record may replace this relay's state: one with an engine keeps its record, and one that is
// reserved for a bootstrap waits for that.
func (n *Node) acceptsRecord(recordID uint64, hasEngine bool) bool {
	if current, _, _ := n.applier.position(); hasEngine && current != recordID {
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.bootstrapID == 0 || n.bootstrapID == recordID || time.Since(n.bootstrapReservedAt) >= bootstrapReservation
}

// checkRemoved ends the engine of a voter that the stream shows to be replaced.
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

// readExactly reads size bytes, and allocates memory only as they arrive.
func readExactly(r io.Reader, size int) ([]byte, error) {
	var b bytes.Buffer
	if n, err := io.CopyN(&b, r, int64(size)); err != nil || n != int64(size) {
		return nil, errors.Join(io.ErrUnexpectedEOF, err)
	}
	return b.Bytes(), nil
}

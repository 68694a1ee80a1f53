package consensus

import (
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"time"
)

const (
	streamHeartbeatInterval = 500 * time.Millisecond // on a stream that has nothing to say
	streamTimeout           = 2 * time.Second        // after which a follower takes another voter
	maxEntriesFrame         = 256 << 10              // bytes of entries in a frame
	maxFrameSize            = maxLargeRequest
	preferredRetryInterval  = 10 * time.Second // a follower that took another voter looks so often whether its own is well again
)

const (
	frameHeartbeat = 'b'
	frameSnapshot  = 's'
	frameEntries   = 'i'
)

// logBytes is what the ring holds.
func (a *applier) logBytes() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.recentBytes
}

// requestSnapshot makes a snapshot on the apply thread, through its queue.
func (a *applier) requestSnapshot(n *Node) (*recordSnapshot, []byte) {
	a.mu.Lock()
	a.lastSnapshot = nil // so that one is due
	a.mu.Unlock()
	c := make(chan struct{})
	select {
	case n.snapshotRequests <- c:
		select {
		case <-c:
		case <-n.quit:
		}
	case <-n.quit:
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.lastSnapshot, a.lastEncoded
}

// serveStream sends a follower what is agreed, as long as it listens.
func (n *Node) serveStream(ctx context.Context, w http.ResponseWriter, rc *http.ResponseController, req envelope) {
	r := reader{rest: req.body}
	record, index := r.uint(), r.uint()
	defer n.streamCount.Add(-1)
	if n.streamCount.Add(1) > maxStreams || r.finish() != nil {
		n.countDropped("streams")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.Header()["Date"] = nil
	part := uint64(0)
	frame := func(kind byte, body []byte) bool {
		limit := streamTimeout
		if len(body) > maxSmallRequest {
			limit = snapshotTimeout
		}
		if rc.SetWriteDeadline(time.Now().Add(limit)) != nil {
			return false
		}
		b := sealAnswer(req.key, req.tag, part, append([]byte{kind}, body...))
		part++
		if _, err := w.Write(binary.BigEndian.AppendUint32(nil, uint32(len(b)))); err != nil {
			return false
		}
		if _, err := w.Write(b); err != nil {
			return false
		}
		return rc.Flush() == nil
	}
	beat := time.NewTicker(streamHeartbeatInterval)
	defer beat.Stop()
	if e := n.engine(); e == nil || !frame(frameHeartbeat, n.heartbeatFrame(e)) {
		return
	}
	for {
		e := n.engine()
		if e == nil { // no voter any more
			return
		}
		whole, at, items, changed := n.applier.entriesAfter(record, index, maxEntriesFrame)
		if whole != nil {
			if !frame(frameSnapshot, whole) {
				return
			}
			record, _, _ = n.applier.position()
		}
		if len(items) > 0 {
			b := putUints(nil, uint64(len(items)))
			for _, it := range items {
				b = putEntry(b, it)
			}
			if !frame(frameEntries, b) {
				return
			}
		}
		if whole != nil || len(items) > 0 {
			index = at
			continue
		}
		select {
		case <-n.quit:
			return
		case <-ctx.Done():
			return
		case <-changed:
		case <-beat.C:
			if !frame(frameHeartbeat, n.heartbeatFrame(e)) {
				return
			}
			if n.applier.snapshotDue() {
				select {
				case n.snapshotRequests <- make(chan struct{}):
				default:
				}
			}
		}
	}
}

// heartbeatFrame is what a stream says of the whole.
func (n *Node) heartbeatFrame(e *engine) []byte {
	v := e.view.Load()
	return putBytes(putUints(nil, v.committed, boolToUint(v.leader != 0 && v.diskError == nil)), v.voters[v.leader].Name)
}

// followLoop reads a stream whenever this node has no engine that hears a leader.
func (n *Node) followLoop() {
	next := 0
	for {
		n.mu.Lock()
		e, lost := n.current, n.leaderlessSince
		n.mu.Unlock()
		idle := e != nil && (lost.IsZero() || time.Since(lost) < leaderlessLimit)
		list := n.otherVoters()
		if idle || len(list) == 0 {
			select {
			case <-n.quit:
				return
			case <-time.After(superviseInterval):
			}
			continue
		}
		m := list[next%len(list)]
		err := n.follow(m, list[0])
		n.mu.Lock()
		n.followState = followStatus{}
		n.mu.Unlock()
		if errors.Is(err, errStreamNotNeeded) || errors.Is(err, errStreamRetry) {
			continue
		}
		if errors.Is(err, errPreferredBack) {
			next = 0
			continue
		}
		next++
		select {
		case <-n.quit:
			return
		case <-time.After(time.Duration(50+next%len(list)*50) * time.Millisecond):
		}
	}
}

var (
	errStreamNotNeeded  = errors.New("not needed any more")
	errStreamRetry      = errors.New("refused unread: it is sent again with the right numbers")
	errPreferredBack    = errors.New("the voter that is this relay's by name is well again")
	errSourceLeaderless = errors.New("it hears no leader")
)

// follow reads one voter's stream until it fails, falls silent, or hears no leader for long; or until home, the voter that this relay would
// take first, is well again: else all would stay with the one that was up first.
func (n *Node) follow(m, home voter) error {
	looked := time.Now()
	ctx, cancel := context.WithCancel(n.ctx)
	defer cancel()
	alive := time.AfterFunc(streamTimeout, cancel)
	defer alive.Stop()
	record, index, _ := n.applier.position()
	s, err := n.client.send(ctx, m.Name, m.Addr, requestFollow, putUints(nil, record, index))
	if err != nil {
		return err
	}
	defer s.Close()
	var alone time.Time
	for part := uint64(0); ; part++ {
		var head [4]byte
		if _, err := io.ReadFull(s, head[:]); err != nil {
			return err
		}
		size := binary.BigEndian.Uint32(head[:])
		if size < tagSize+1 || size > maxFrameSize {
			return errSize
		}
		if size > maxSmallRequest {
			alive.Reset(snapshotTimeout)
		}
		b, err := readExactly(s, int(size))
		if err != nil {
			return err
		}
		if b, err = verifyAnswer(n.options.Keys[0], s.tag, part, b); err != nil || len(b) == 0 {
			return errTag
		}
		if part == 0 && n.client.updateFreshness(m.Name, s, b) {
			return errStreamRetry
		}
		alive.Reset(streamTimeout)
		n.mu.Lock()
		n.followState.source, n.followState.updatedAt = m.Name, time.Now()
		hasEngine, lost, bound, boundAt := n.current != nil, n.leaderlessSince, n.bootstrapID, n.bootstrapReservedAt
		n.mu.Unlock()
		if hasEngine && lost.IsZero() {
			return errStreamNotNeeded
		}
		switch b[0] {
		case frameHeartbeat:
			r := reader{rest: b[1:]}
			committed, majority, leader := r.uint(), r.uint() == 1, r.string()
			if err := r.finish(); err != nil {
				return err
			}
			n.mu.Lock()
			n.followState.commitIndex, n.followState.hasQuorum, n.followState.leader = committed, majority, leader
			n.mu.Unlock()
			if m.Name != home.Name && time.Since(looked) > preferredRetryInterval {
				looked = time.Now()
				record, _, _ := n.applier.position()
				if h, err := n.queryPeer(home, 0, 0); err == nil && h.recordID == record && h.hasQuorum {
					return errPreferredBack
				}
			}
			switch {
			case majority:
				alone = time.Time{}
			case alone.IsZero():
				alone = time.Now()
			case time.Since(alone) > streamTimeout:
				return errSourceLeaderless
			}
		case frameSnapshot:
			s, err := decodeSnapshot(b[1:])
			if err != nil {
				return err
			}
			record, _, _ := n.applier.position()
			if hasEngine && record != s.recordID || bound != 0 && bound != s.recordID && time.Since(boundAt) < bootstrapReservation {
				return fmt.Errorf("of another record")
			}
			if err := n.applyAndWait(applyBatch{snapshot: &s}); err != nil {
				return err
			}
		case frameEntries:
			r := reader{rest: b[1:]}
			var items []committedEntry
			for range r.count() {
				items = append(items, r.entry())
			}
			if err := r.finish(); err != nil {
				return err
			}
			if err := n.applyAndWait(applyBatch{entries: items}); err != nil {
				return err
			}
		default:
			return errMalformed
		}
		if hasEngine { // a voter without a leader: it looks whether it was replaced
			id := n.engineID()
			if ms := n.applier.voterSet(); ms[id].Name != n.options.Name {
				n.tryOnEngine(func(e *engine) {
					if _, ok := e.node.applier.voterSet()[e.id]; !ok {
						e.removed = true
					}
				})
			}
		}
	}
}

func (n *Node) engineID() uint64 {
	if e := n.engine(); e != nil {
		return e.id
	}
	return 0
}

// readExactly reads without believing a size before the bytes have come.
func readExactly(r io.Reader, size int) ([]byte, error) {
	var b bytes.Buffer
	if m, err := io.CopyN(&b, r, int64(size)); err != nil || m != int64(size) {
		return nil, errors.Join(io.ErrUnexpectedEOF, err)
	}
	return b.Bytes(), nil
}

// peerStatus tells who this relay is; a founder's also binds the other to the record that it is about to begin.
const (
	peerEmpty       = 0 // no record is known, and no log held
	peerHasRecord   = 1
	peerUnavailable = 2 // neither: bound to another, or no voter
)

type peerStatus struct {
	state, identity, recordID, index uint64
	voters                           voterSet
	acknowledged                     logPosition // of who asks, as it is remembered
	knowsVoter                       bool        // it has an engine that knows who asks
	hasQuorum                        bool        // it has one that hears a leader
}

func (n *Node) handlePeerStatus(from string, body []byte) []byte {
	r := reader{rest: body}
	asker, bind := r.uint(), r.uint()
	if err := r.finish(); err != nil {
		return rejection(err)
	}
	h := peerStatus{}
	h.recordID, h.index, _ = n.applier.position()
	h.voters = n.applier.voterSet()
	e := n.engine()
	n.mu.Lock()
	h.identity = n.identity
	switch {
	case h.recordID != 0:
		h.state = peerHasRecord
	case n.identity == 0 || e != nil || n.diskError != "":
		h.state = peerUnavailable
	case bind != 0 && n.bootstrapID != 0 && n.bootstrapID != bind && time.Since(n.bootstrapReservedAt) < bootstrapReservation:
		h.state = peerUnavailable
	case bind != 0:
		n.bootstrapID, n.bootstrapReservedAt = bind, time.Now()
	}
	n.mu.Unlock()
	if e != nil {
		v := e.view.Load()
		h.acknowledged = v.acknowledged[asker]
		_, h.knowsVoter = v.voters[asker]
		h.hasQuorum = v.leader != 0 && v.diskError == nil
	}
	b := putUints([]byte{codeOK}, h.state, h.identity, h.recordID, h.index)
	return putUints(putVoterSet(b, h.voters), h.acknowledged.term, h.acknowledged.index, boolToUint(h.knowsVoter), boolToUint(h.hasQuorum))
}

func decodePeerStatus(b []byte) (h peerStatus, err error) {
	if len(b) == 0 || b[0] != codeOK {
		return h, errMalformed
	}
	r := reader{rest: b[1:]}
	h = peerStatus{state: r.uint(), identity: r.uint(), recordID: r.uint(), index: r.uint(), voters: r.voterSet(), acknowledged: logPosition{r.uint(), r.uint()}, knowsVoter: r.uint() == 1, hasQuorum: r.uint() == 1}
	return h, r.finish()
}

func (n *Node) queryPeer(m voter, identity, bind uint64) (h peerStatus, err error) {
	ctx, cancel := context.WithTimeout(n.ctx, time.Second)
	defer cancel()
	b, err := n.client.call(ctx, m.Name, m.Addr, requestPeerStatus, putUints(nil, identity, bind))
	if err != nil {
		return h, err
	}
	return decodePeerStatus(b)
}

// bootstrap begins a record, if this relay is the first by name of the voters and all of them are up and hold nothing. Who holds a record, or
// has a log, is told from who is new by the answers: so a voter that comes back with nothing never begins a second one.
func (n *Node) bootstrap(identity uint64) {
	names := slices.Sorted(maps.Keys(n.options.Voters))
	if names[0] != n.options.Name {
		return
	}
	record := randomID()
	ms := voterSet{identity: {n.options.Name, n.options.Voters[n.options.Name]}}
	for _, bind := range []uint64{0, record} {
		for _, name := range names[1:] {
			h, err := n.queryPeer(voter{name, n.options.Voters[name]}, identity, bind)
			if err != nil || h.state != peerEmpty || h.identity == 0 {
				return
			}
			if bind != 0 {
				ms[h.identity] = voter{name, n.options.Voters[name]}
			}
		}
	}
	if len(ms) != len(names) {
		return
	}
	if r, _, _ := n.applier.position(); r != 0 {
		return
	}
	s, err := bootstrapSnapshot(record, ms, n.applier.initialMachine)
	if err != nil {
		return
	}
	if err := n.applyAndWait(applyBatch{snapshot: &s}); err != nil {
		return
	}
	if err := n.startFromSnapshot(identity, n.currentDisk(), s, s.encode(), false); err != nil {
		n.log().WithField("error", err.Error()).Error("accord: founding")
	}
}

// verifyDirectory asks the other voters what they remember of this one, before it votes again.
func (n *Node) verifyDirectory(e *engine) {
	began := time.Now()
	for {
		v := e.view.Load()
		heard, need := 0, len(v.voters)/2
		for _, id := range v.voters.ids() {
			if id == e.id {
				continue
			}
			h, err := n.queryPeer(v.voters[id], e.id, 0)
			if err != nil {
				continue
			}
			if h.recordID == e.core.recordID && h.index > v.committed && h.voters[e.id].Name != n.options.Name {
				n.onEngine(func(e *engine) { e.removed = true })
				return
			}
			if !h.knowsVoter || h.recordID != e.core.recordID {
				continue
			}
			heard++
			n.onEngine(func(e *engine) { // there, since it writes on meanwhile
				if e.core.isOutdatedBy(h.acknowledged) {
					e.err = errOutdatedDirectory
				}
			})
		}
		if heard == len(v.voters)-1 || heard >= need && time.Since(began) > verifyTimeout {
			n.onEngine(func(e *engine) { e.core.unverified = false; e.publishView() })
			return
		}
		select {
		case <-e.ended:
			return
		case <-n.quit:
			return
		case <-time.After(superviseInterval):
		}
	}
}

// leaderCandidates is whom to ask for the leader: itself if it is known, then the voters.
func (n *Node) leaderCandidates() []voter {
	list := n.otherVoters()
	if m, here, ok := n.knownLeader(); ok && !here {
		list = append([]voter{m}, list...)
	}
	return list
}

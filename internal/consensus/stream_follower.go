package consensus

import (
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"time"
)

const (
	streamTimeout          = 2 * time.Second  // after which a follower takes another voter
	preferredRetryInterval = 10 * time.Second // a follower that took another voter looks so often whether its own is well again
)

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

const (
	leaderlessLimit = 2 * time.Second // entriesAfter which a voter reads a stream too: it may have been replaced
)

// followState is what the stream last told.
type followStatus struct {
	source, leader string
	hasQuorum      bool
	updatedAt      time.Time
	commitIndex    uint64
}

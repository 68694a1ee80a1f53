package consensus

import (
	"errors"
	"slices"
	"sync"

	"dahliarudder/internal/gossip"
)

const (
	replayWindow       = 4096 // how far behind the newest sequence number a request may come; at most maxRequests are in flight
	maxSenders         = 1024
	duplicateThreshold = 3 // restarts of a name within duplicateWindow, if two relays have it
)

// Why a verified request is rejected. The texts are keys of Status.Rejected.
var (
	errWrongEpoch = errors.New("epoch")
	errStaleStart = errors.New("old")
	errReplayed   = errors.New("repeated")
)

// replayGuard rejects requests that were received before. Its memory is bounded.
type replayGuard struct {
	mu       sync.Mutex
	epoch    uint64 // drawn at the start; it never changes
	senders  map[string]*senderWindow
	restarts map[string]int // by name: how often a start increased, in this window
}

// senderWindow is a sender's start, and which of its last sequence numbers were received.
type senderWindow struct {
	start, newest uint64
	received      [replayWindow / 64]uint64
}

func (w *senderWindow) bit(sequence uint64) (group *uint64, mask uint64) {
	return &w.received[sequence%replayWindow/64], 1 << (sequence % 64)
}

// admit says whether a request counts. With errStaleStart it returns the start that the sender has to exceed.
func (g *replayGuard) admit(req envelope) (start uint64, err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if req.epoch != g.epoch {
		return 0, errWrongEpoch
	}
	w := g.senders[req.from]
	if w == nil || req.start > w.start {
		if w == nil && len(g.senders) >= maxSenders {
			return 0, gossip.ErrSize
		}
		if g.senders == nil {
			g.senders = map[string]*senderWindow{}
		}
		if w != nil {
			g.noteRestart(req.from)
		}
		w = &senderWindow{start: req.start}
		g.senders[req.from] = w
	}
	group, mask := w.bit(req.sequence)
	switch {
	case req.start < w.start:
		return w.start, errStaleStart
	case req.sequence > w.newest:
		for s := max(w.newest, req.sequence-min(req.sequence, replayWindow)) + 1; s < req.sequence; s++ {
			skipped, skippedMask := w.bit(s)
			*skipped &^= skippedMask
		}
		w.newest = req.sequence
	case w.newest-req.sequence >= replayWindow, *group&mask != 0:
		return 0, errReplayed
	}
	*group |= mask
	return 0, nil
}

// noteRestart notes that a name's start increased. It needs g.mu.
func (g *replayGuard) noteRestart(name string) {
	if g.restarts == nil {
		g.restarts = map[string]int{}
	}
	g.restarts[name]++
}

func (g *replayGuard) noteOwnRestart(name string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.noteRestart(name)
}

// duplicateNames are the names under which two relays seem to send: each makes the other's numbers stale, so that both restart repeatedly. A
// relay that is restarted does so once.
func (g *replayGuard) duplicateNames(endOfWindow bool) (names []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for name, times := range g.restarts {
		if times >= duplicateThreshold {
			names = append(names, name)
		}
	}
	if endOfWindow {
		g.restarts = nil
	}
	slices.Sort(names)
	return names
}

package consensus

import (
	"errors"
	"slices"
	"sync"

	"dahliarudder/internal/gossip"
)

const (
	// replayWindow is how far a sequence number may be behind the newest one. It exceeds maxRequests,
	// the number of requests that a relay serves at a time.
	replayWindow = 4096
	maxSenders   = 1024
	// duplicateThreshold is the number of restarts of a name within duplicateWindow from which two
	// relays are taken to have that name.
	duplicateThreshold = 3
)

// Errors for a verified request that is rejected. errReplayed is counted under its reason in
// Status.Rejected. errWrongEpoch and errStaleStart are answered with codeWrongEpoch and codeStaleStart,
// uncounted, and their texts are not sent.
var (
	errWrongEpoch = errors.New("request: wrong epoch: sealed for another process of the receiver")
	errStaleStart = errors.New("request: the sender's start is lower than one already received")
	errReplayed   = gossip.NewRejectError(gossip.ReasonReplayed,
		"request: sequence number was received before, or is behind the replay window")
)

// replayGuard rejects requests that were received before. It remembers at most maxSenders senders.
type replayGuard struct {
	mu       sync.Mutex
	epoch    uint64 // random, drawn when the node starts
	senders  map[string]*senderWindow
	restarts map[string]int // by name: how often a start increased in the current duplicateWindow
}

// senderWindow is a sender's start, and which of its last replayWindow sequence numbers were received.
type senderWindow struct {
	start, newest uint64
	received      [replayWindow / 64]uint64
}

func (w *senderWindow) bit(sequence uint64) (group *uint64, mask uint64) {
	return &w.received[sequence%replayWindow/64], 1 << (sequence % 64)
}

// admit returns nil for a request that was not received before, and records it. With errStaleStart it
// also returns the start that the sender has to exceed.
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

// noteRestart counts an increase of a name's start. The caller holds g.mu.
func (g *replayGuard) noteRestart(name string) {
	if g.restarts == nil {
		g.restarts = map[string]int{}
	}
	g.restarts[name]++
}

// noteOwnRestart counts an increase of this relay's own start.
func (g *replayGuard) noteOwnRestart(name string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.noteRestart(name)
}

// duplicateNames returns the names under which two relays seem to send. Each of the two makes the
// other's start stale, so that both raise their starts repeatedly; a relay that is restarted does so
// once. At the end of a window the counts are reset.
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

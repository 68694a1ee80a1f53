package consensus

import (
	"errors"
	"slices"
	"sync"
)

const (
	replayWindow       = 4096 // how far behind the newest number a request may come; at most requestsMost run at a time
	maxSenders         = 1024
	duplicateThreshold = 3 // as often a name begins to send anew within twinEvery, if two relays have it
)

var (
	errWrongEpoch = errors.New("epoch")
	errStaleStart = errors.New("old")
	errReplayed   = errors.New("repeated")
)

// replayGuard is what a receiver keeps against repeated requests. It is bounded.
type replayGuard struct {
	mu       sync.Mutex
	epoch    uint64
	senders  map[string]*senderWindow
	restarts map[string]int // how often a start went up, by name, since twins forgot
}

type senderWindow struct {
	start, newest uint64
	seen          [replayWindow / 64]uint64
}

// admit says whether a request counts, and the start that the sender has to be above if it is errStaleStart.
func (f *replayGuard) admit(r envelope) (start uint64, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if r.epoch != f.epoch {
		return 0, errWrongEpoch
	}
	n := f.senders[r.from]
	if n == nil || r.start > n.start {
		if n == nil && len(f.senders) >= maxSenders {
			return 0, errSize
		}
		if f.senders == nil {
			f.senders = map[string]*senderWindow{}
		}
		if n != nil {
			f.noteRestart(r.from)
		}
		n = &senderWindow{start: r.start}
		f.senders[r.from] = n
	}
	bit := func(seq uint64) (*uint64, uint64) { return &n.seen[seq%replayWindow/64], 1 << (seq % 64) }
	switch {
	case r.start < n.start:
		return n.start, errStaleStart
	case r.sequence > n.newest:
		for s := max(n.newest, r.sequence-min(r.sequence, replayWindow)) + 1; s < r.sequence; s++ {
			word, mask := bit(s)
			*word &^= mask
		}
		n.newest = r.sequence
	case n.newest-r.sequence >= replayWindow:
		return 0, errReplayed
	default:
		if word, mask := bit(r.sequence); *word&mask != 0 {
			return 0, errReplayed
		}
	}
	word, mask := bit(r.sequence)
	*word |= mask
	return 0, nil
}

// noteRestart notes that a name began to send anew. Names are those of senders, and the own one.
func (f *replayGuard) noteRestart(name string) {
	if f.restarts == nil {
		f.restarts = map[string]int{}
	}
	f.restarts[name]++
}

func (f *replayGuard) noteOwnRestart(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.noteRestart(name)
}

// duplicateNames are the names under which two relays seem to send: each refuses the other's numbers, so that both begin anew again and again. One that
// starts again does so once.
func (f *replayGuard) duplicateNames(forget bool) (names []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for name, times := range f.restarts {
		if times >= duplicateThreshold {
			names = append(names, name)
		}
	}
	if forget {
		f.restarts = nil
	}
	slices.Sort(names)
	return names
}

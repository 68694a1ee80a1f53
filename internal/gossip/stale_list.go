package gossip

import "time"

// StaleListDetector says when a relay should ask discovery at once, since others hold a newer list: its own watch may be dead and not know it. It
// decides by what peers say of themselves, believes none of them about any member, and asks the less often the longer nothing comes of it, so
// that a peer that claims what is not so costs a call now and then.
type StaleListDetector struct {
	aheadSince  time.Duration // when others were first seen to be ahead; 0: they are not
	lastRefresh time.Duration
	backoff     time.Duration // suspicionDeadline the next call, at least
}

const (
	// aheadThreshold is how long others are ahead before it counts: what discovery tells everybody reaches some a little later, and what peers say of
	// themselves is up to a second old.
	aheadThreshold = time.Second
	maxBackoff     = 32 * time.Second
)

// ShouldRefresh reports whether to ask now, given the generation that this relay holds.
func (s *StaleListDetector) ShouldRefresh(now time.Duration, own uint64, peers []*Peer) bool {
	ahead, live := 0, 0
	for _, p := range peers {
		if p.State == Alive && p.Phase == Serving && p.LastContact > 0 {
			if live++; p.Generation > own {
				ahead++
			}
		}
	}
	if ahead == 0 || ahead < 2 && live > 2 { // among several, one alone may be wrong
		s.aheadSince, s.backoff = 0, aheadThreshold
		return false
	}
	if s.aheadSince == 0 {
		s.aheadSince = now
	}
	if now-s.aheadSince < aheadThreshold || s.lastRefresh > 0 && now-s.lastRefresh < s.backoff {
		return false
	}
	s.lastRefresh, s.backoff = now, min(2*max(s.backoff, aheadThreshold), maxBackoff)
	return true
}

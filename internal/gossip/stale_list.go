package gossip

import "time"

// StaleListDetector decides when a relay should poll discovery at once because other relays have a
// newer endpoint list: its own watch may be dead without any error. It compares only the generations
// that peers publish and takes no member data from them. It backs off while its polls bring nothing,
// so that a peer that publishes a false generation causes few polls.
type StaleListDetector struct {
	aheadSince  time.Duration // when peers were first seen to be ahead; 0 if they are not
	lastRefresh time.Duration
	backoff     time.Duration // minimum time until the next refresh
}

const (
	// aheadThreshold is how long peers must be ahead. A change reaches some relays a little later
	// than others, and a published status is up to one second old.
	aheadThreshold = time.Second
	maxBackoff     = 32 * time.Second
)

// ShouldRefresh reports whether to poll discovery now. Own is the generation of this relay's list.
func (s *StaleListDetector) ShouldRefresh(now time.Duration, own uint64, peers []*Peer) bool {
	ahead, live := 0, 0
	for _, p := range peers {
		if p.State == Alive && p.Phase == Serving && p.LastContact > 0 {
			if live++; p.Generation > own {
				ahead++
			}
		}
	}
	if ahead == 0 || ahead < 2 && live > 2 { // in a larger group, a single relay may be wrong
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

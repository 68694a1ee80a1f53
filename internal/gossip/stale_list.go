package gossip

import "time"

// StaleListDetector decides when a relay should poll discovery at once, since others have a newer endpoint list: its own
// watch may be dead without a sign of it. It decides by the generations that peers publish, believes none of them about any
// member, and backs off while its polls bring nothing, so that a peer with a false claim costs a poll now and then.
type StaleListDetector struct {
	aheadSince  time.Duration // when others were first seen to be ahead; 0: they are not
	lastRefresh time.Duration
	backoff     time.Duration // until the next refresh, at least
}

const (
	// aheadThreshold is how long others are ahead before it counts: a change reaches some relays a little later than others,
	// and what peers publish of themselves is up to a second old.
	aheadThreshold = time.Second
	maxBackoff     = 32 * time.Second
)

// ShouldRefresh reports whether to poll discovery now, given the generation of this relay's own list.
func (s *StaleListDetector) ShouldRefresh(now time.Duration, own uint64, peers []*Peer) bool {
	ahead, live := 0, 0
	for _, p := range peers {
		if p.State == Alive && p.Phase == Serving && p.LastContact > 0 {
			if live++; p.Generation > own {
				ahead++
			}
		}
	}
	if ahead == 0 || ahead < 2 && live > 2 { // in a larger group a single relay may be wrong
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

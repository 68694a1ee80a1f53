package gossip

import "time"

// StaleListDetector says when a relay should ask discovery at once, since others hold a newer list: its own watch may be dead and not know it. It
// decides by what peers say of themselves, believes none of them about any member, and asks the less often the longer nothing comes of it, so
// that a peer that claims what is not so costs a call now and then.
type StaleListDetector struct {
	since time.Duration // when others were first seen to be ahead; 0: they are not
	asked time.Duration
	wait  time.Duration // until the next call, at least
}

const (
	// aheadFor is how long others are ahead before it counts: what discovery tells everybody reaches some a little later, and what peers say of
	// themselves is up to a second old.
	aheadFor  = time.Second
	staleMost = 32 * time.Second
)

// PingReq says whether to ask now, given the generation that this relay holds.
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
		s.since, s.wait = 0, aheadFor
		return false
	}
	if s.since == 0 {
		s.since = now
	}
	if now-s.since < aheadFor || s.asked > 0 && now-s.asked < s.wait {
		return false
	}
	s.asked, s.wait = now, min(2*max(s.wait, aheadFor), staleMost)
	return true
}

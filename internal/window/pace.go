package window

import "time"

// SlowStart bounds what all feeds together have out at one member while that is cold: as many as the
// first steps of a window, and one more for each message that the member has taken.
type SlowStart struct {
	warm time.Duration // from when on it bounds nothing
	most int
	out  int
}

// NewSlowStart makes the pace of a member that started then; 0 if long ago.
func NewSlowStart(started, coldFor time.Duration) *SlowStart {
	p := &SlowStart{most: InitialWindow}
	if started > 0 {
		p.warm = started + coldFor
	}
	return p
}

// Active says whether it bounds anything now.
func (p *SlowStart) Active(now time.Duration) bool { return now < p.warm }

// MaySend says whether one more may go out.
func (p *SlowStart) MaySend(now time.Duration) bool { return !p.Active(now) || p.out < p.most }

// Sent counts a message that goes out.
func (p *SlowStart) Sent() { p.out++ }

// LinkClosed counts messages that are no longer out, and how many of them the member has taken.
func (p *SlowStart) Release(n, taken int) {
	p.out = max(p.out-n, 0) // a member that started anew has a new pace
	p.most += taken
}

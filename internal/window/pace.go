package window

import "time"

// Pace bounds what all feeds together have out at one member while that is cold: as many as the
// first steps of a window, and one more for each message that the member has taken.
type Pace struct {
	warm time.Duration // from when on it bounds nothing
	most int
	out  int
}

// NewPace makes the pace of a member that started then; 0 if long ago.
func NewPace(started, coldFor time.Duration) *Pace {
	p := &Pace{most: Start}
	if started > 0 {
		p.warm = started + coldFor
	}
	return p
}

// Cold says whether it bounds anything now.
func (p *Pace) Cold(now time.Duration) bool { return now < p.warm }

// Free says whether one more may go out.
func (p *Pace) Free(now time.Duration) bool { return !p.Cold(now) || p.out < p.most }

// Sent counts a message that goes out.
func (p *Pace) Sent() { p.out++ }

// Back counts messages that are no longer out, and how many of them the member has taken.
func (p *Pace) Back(n, taken int) {
	p.out = max(p.out-n, 0) // a member that started anew has a new pace
	p.most += taken
}

package scenario

import "time"

// Peak finds the largest sum of counts within any sliding window of length Window.
type Peak struct {
	Window time.Duration
	Max    float64
	At     time.Duration // the end of the window with the largest sum
	Total  float64       // sum of all counts

	counts []timedCount // in the current window
	sum    float64      // of counts
}

type timedCount struct {
	at time.Duration
	n  float64
}

// Add adds a count of n at a time, which must not be before that of the previous call.
func (p *Peak) Add(at time.Duration, n float64) {
	p.counts = append(p.counts, timedCount{at, n})
	p.sum += n
	p.Total += n
	for p.counts[0].at <= at-p.Window {
		p.sum -= p.counts[0].n
		p.counts = p.counts[1:]
	}
	if p.sum > p.Max {
		p.Max, p.At = p.sum, at
	}
}

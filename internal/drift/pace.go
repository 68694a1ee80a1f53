package drift

import (
	"math"
	"slices"
)

const (
	paceHeld   = 256 // samples kept: 6 changes at 40 relays
	paceEnough = 64  // until so many are known, the prior counts for the rest
	floorFor   = 3   // periods: a word may just have gone, the next may be lost
	stretch    = 32  // how far beyond the 90th percentile the bound may lie
)

// pace is how long versions took from being agreed until relays said that they run them. A bound follows from it that is beyond what the same
// distribution would reach, without being moved by the few that drift: the 90th percentile, stretched by the square of how far it lies
// from the median. For an exponential tail that is exceeded once in 10^11, for a lognormal one of sigma 1 once in 16,000.
type pace struct {
	samples [paceHeld]float64
	n, next int
	bound   int64
	stale   bool
}

func (p *pace) add(ms int64) {
	p.samples[p.next] = float64(max(ms, 1))
	p.next = (p.next + 1) % paceHeld
	p.n = min(p.n+1, paceHeld)
	p.stale = true
}

// reckon derives the bound anew.
func (p *pace) reckon(set Settings) {
	if !p.stale && p.bound > 0 {
		return
	}
	p.stale = false
	measured := float64(0)
	if p.n > 0 {
		sorted := slices.Clone(p.samples[:p.n])
		slices.Sort(sorted)
		half, high := sorted[p.n/2], sorted[p.n*9/10]
		measured = high * min(max(math.Pow(high/half, 2), 2), stretch)
	}
	measured = max(measured, float64(floorFor*set.Period))
	if known := float64(p.n) / paceEnough; known < 1 {
		measured = max(measured, measured*known+float64(set.Prior)*(1-known))
	}
	p.bound = min(int64(measured), set.Most)
}

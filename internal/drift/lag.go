package drift

import (
	"math"
	"slices"
)

const (
	lagSamples      = 256 // samples kept: 6 changes at 40 relays. Until there are so many, the prior counts for the rest
	minBoundPeriods = 3   // periods: a word may just have gone, the next may be lost
	maxStretch      = 32  // how far beyond the quantile the bound may lie
)

// lagEstimate is how long versions took from being agreed until relays said that they run them. The bound is to lie beyond what the same distribution would
// ever reach, without being moved by the few that drift (who was late is no sample): a high quantile, stretched by how far it
// lies from the median. docs/design/drift.md has what that means for some distributions.
type lagEstimate struct {
	samples [lagSamples]float64
	n, next int
	prior   int64 // of the last reckoning
	bound   int64
	stale   bool
}

func (p *lagEstimate) add(ms int64) {
	p.samples[p.next] = float64(max(ms, 1))
	p.next = (p.next + 1) % lagSamples
	p.n = min(p.n+1, lagSamples)
	p.stale = true
}

// update derives the bound anew, if there is news.
func (p *lagEstimate) update(set Settings, prior int64) {
	if !p.stale && p.prior == prior {
		return
	}
	p.stale, p.prior = false, prior
	measured := float64(0)
	if p.n > 0 {
		sorted := slices.Clone(p.samples[:p.n])
		slices.Sort(sorted)
		half, high, top := sorted[p.n/2], sorted[p.n*9/10], sorted[p.n*49/50]
		measured = max(high*min(math.Pow(high/half, 2), maxStretch), top*min(top/half, maxStretch), 2*high)
	}
	measured = max(measured, float64(minBoundPeriods*set.ReportInterval))
	if known := float64(p.n) / lagSamples; known < 1 {
		measured = max(measured, measured*known+float64(prior)*(1-known))
	}
	p.bound = min(int64(measured), set.MaxBound)
}

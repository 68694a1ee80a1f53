package drift

import (
	"math"
	"slices"
)

const (
	maxLagSamples     = 256 // 6 changes at 40 relays. While there are fewer, the prior counts for the rest
	minBoundIntervals = 3   // a report may just have been sent, the next may be lost
	maxStretch        = 32  // how many times a quantile the bound may be
)

// lagEstimate is how long versions took from being agreed until relays reported to run them. The bound is meant to lie beyond what the same
// distribution would ever reach, without being moved by the few relays that drift (a late arrival is no sample): a high quantile, stretched by
// how far it lies from the median. docs/design/drift.md shows what that means for some distributions.
type lagEstimate struct {
	samples [maxLagSamples]float64 // ms
	n, next int
	prior   int64 // of the last update
	bound   int64
	changed bool // samples came after the last update
}

func (l *lagEstimate) add(ms int64) {
	l.samples[l.next] = float64(max(ms, 1))
	l.next = (l.next + 1) % maxLagSamples
	l.n = min(l.n+1, maxLagSamples)
	l.changed = true
}

// update computes the bound, if there are new samples or another prior.
func (l *lagEstimate) update(s Settings, prior int64) {
	if !l.changed && l.prior == prior {
		return
	}
	l.changed, l.prior = false, prior
	bound := float64(0)
	if l.n > 0 {
		sorted := slices.Clone(l.samples[:l.n])
		slices.Sort(sorted)
		p50, p90, p98 := sorted[l.n/2], sorted[l.n*9/10], sorted[l.n*49/50]
		bound = max(p90*min(math.Pow(p90/p50, 2), maxStretch), p98*min(p98/p50, maxStretch), 2*p90)
	}
	bound = max(bound, float64(minBoundIntervals*s.ReportInterval))
	if weight := float64(l.n) / maxLagSamples; weight < 1 {
		bound = max(bound, bound*weight+float64(prior)*(1-weight))
	}
	l.bound = min(int64(bound), s.MaxBound)
}

// lagOf returns the estimate of a group.
func (m *Monitor) lagOf(group string) *lagEstimate {
	l := m.lags[group]
	if l == nil {
		if len(m.lags) > maxLagEstimates {
			return m.fleetLag // names of groups that come and go
		}
		l = &lagEstimate{}
		l.update(m.settings, m.fleetLag.bound)
		m.lags[group] = l
	}
	return l
}

// updateBounds computes the bounds from what was learned.
func (m *Monitor) updateBounds() {
	m.fleetLag.update(m.settings, m.settings.PriorBound)
	m.recoveryLag.update(m.settings, m.settings.PriorBound)
	for _, l := range m.lags {
		l.update(m.settings, m.fleetLag.bound)
	}
}

// LagBound returns how long a version of an item of the group may take now, in ms.
func (m *Monitor) LagBound(group string) int64 {
	if l := m.lags[group]; l != nil {
		return l.bound
	}
	return m.fleetLag.bound
}

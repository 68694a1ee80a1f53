package drift

import (
	"math"
	"slices"
)

const (
	maxLagSamples     = 256 // 6 changes at 40 relays; while there are fewer, the prior bound is weighed in
	minBoundIntervals = 3   // a report may just have been sent and the next may be lost; the third shows the change
	maxStretch        = 32  // the bound is at most this many times a quantile
)

// lagEstimate estimates a lag bound from samples of the lag: the time from when a version was agreed
// until a relay reported to run it. The bound should lie above all values of the distribution that the
// samples come from, and a few relays that drift must not raise it: an arrival after the bound is not
// sampled. Therefore the bound is a high quantile, multiplied by a factor that grows with its distance
// from the median. docs/design/drift.md shows the result for several distributions.
type lagEstimate struct {
	samples [maxLagSamples]float64 // ms; a ring
	n, next int
	prior   int64 // prior bound of the last update
	bound   int64
	changed bool // samples were added since the last update
}

func (l *lagEstimate) add(ms int64) {
	l.samples[l.next] = float64(max(ms, 1))
	l.next = (l.next + 1) % maxLagSamples
	l.n = min(l.n+1, maxLagSamples)
	l.changed = true
}

// update recomputes the bound if there are new samples or the prior bound changed.
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

// lagOf returns the estimate of a group, creating it if necessary.
func (m *Monitor) lagOf(group string) *lagEstimate {
	l := m.lags[group]
	if l == nil {
		if len(m.lags) > maxLagEstimates {
			return m.fleetLag // limits memory if group names keep changing: estimates are never removed
		}
		l = &lagEstimate{}
		l.update(m.settings, m.fleetLag.bound)
		m.lags[group] = l
	}
	return l
}

// updateBounds recomputes all lag bounds from the samples.
func (m *Monitor) updateBounds() {
	m.fleetLag.update(m.settings, m.settings.PriorBound)
	m.recoveryLag.update(m.settings, m.settings.PriorBound)
	for _, l := range m.lags {
		l.update(m.settings, m.fleetLag.bound)
	}
}

// LagBound returns the time, in ms, within which relays should apply a new version of an item of the
// group. A group without an estimate has the bound of the whole fleet.
func (m *Monitor) LagBound(group string) int64 {
	if l := m.lags[group]; l != nil {
		return l.bound
	}
	return m.fleetLag.bound
}

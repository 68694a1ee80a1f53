package canary

import "math"

// This file is the sequential test itself. A block is what one relay counted in one stratum over about a second: of n1 trials of the canary
// k1 were bad, of n0 trials of the baseline k0. The null hypothesis is "the canary is bad at most factor times as often as the baseline, plus
// margin" (the factor is at least 1). A block's e-value for a harm d is the likelihood ratio of (t0, t1 = factor t0 + margin + d) to the
// nearest point (x, y = factor x + margin) of the null hypothesis, in relative entropy weighted by n0 and n1. Its mean is at most 1 under any
// true rates that the null hypothesis allows:
//
// A bad trial multiplies the ratio by t/p, a good one by (1-t)/(1-p), where p is the null rate. The mean factor at a true rate q is
// 1 + c(q-p) with c = (t-p)/p(1-p). So the logarithm of the block's mean is at most n1 c1 (q1-y) + n0 c0 (q0-x). The nearest point is where
// factor n1 c1 + n0 c0 = 0; what remains is n1 c1 (q1 - factor q0 - margin), which is not above 0 under the null hypothesis, since c1 > 0.
//
// t0 is estimated from the past: a bad estimate costs power and never makes the null hypothesis look worse. So products of blocks may be
// looked at at any time, and rates may differ and move freely between relays, strata and seconds.

// harmHypothesis is one size of harm that a guardrail looks for.
type harmHypothesis struct {
	harm          float64 // beyond the null hypothesis' margin
	baselineShare float64 // durations: the share of the baseline that is slower than the cut; 0 for rates
}

// blockCounts are the trials of a block, and which of them were bad.
type blockCounts struct {
	canaryTrials, canaryBad     uint64
	baselineTrials, baselineBad uint64
}

// nullHypothesis is "bad at most factor times as often as the baseline, plus margin".
type nullHypothesis struct {
	factor, margin float64
}

// rate is the canary's highest rate that the null hypothesis allows at a rate of the baseline.
func (h nullHypothesis) maxCanaryRate(baseline float64) float64 { return h.factor*baseline + h.margin }

// Estimated rates are kept off 0 and 1, where logarithms end; hypothetical ones off 1.
const (
	minRate         = 1e-7
	maxHypothetical = 0.98
)

// logEValue is the logarithm of a block's e-value for a harm, with the baseline's rate as estimated from the past.
func (h nullHypothesis) logEValue(c blockCounts, baselineRate, harm float64) float64 {
	n1, k1, n0, k0 := float64(c.canaryTrials), float64(c.canaryBad), float64(c.baselineTrials), float64(c.baselineBad)
	t0 := min(max(baselineRate, minRate), 1-minRate)
	t1 := h.maxCanaryRate(t0) + harm
	if t1 > maxHypothetical { // so much harm is not possible: as much as is
		t1 = maxHypothetical
		if t1 <= h.maxCanaryRate(t0) {
			return 0
		}
	}
	x := h.nearestBaselineRate(n1, n0, t1, t0)
	y := h.maxCanaryRate(x)
	return k1*math.Log(t1/y) + (n1-k1)*math.Log((1-t1)/(1-y)) + k0*math.Log(t0/x) + (n0-k0)*math.Log((1-t0)/(1-x))
}

// nearest finds the baseline rate x of the null hypothesis' nearest point, between t0 and (t1-margin)/factor, where the slopes of canary and
// baseline cancel: Newton's method, bisecting where a step leaves the bracket.
func (h nullHypothesis) nearestBaselineRate(n1, n0, t1, t0 float64) float64 {
	const (
		maxIterations = 60
		tolerance     = 1e-10
	)
	f, low, high := h.factor, t0, (t1-h.margin)/h.factor
	v1, v0 := f*f*n1/(t1*(1-t1)), n0/(t0*(1-t0))
	x := (t0*v0 + high*v1) / (v0 + v1)
	for range maxIterations {
		y := h.maxCanaryRate(x)
		a, b := y*(1-y), x*(1-x)
		g := f*n1*(y-t1)/a + n0*(x-t0)/b
		if g > 0 {
			high = x
		} else {
			low = x
		}
		slope := f*f*n1*(a-(y-t1)*(1-2*y))/(a*a) + n0*(b-(x-t0)*(1-2*x))/(b*b)
		next := x - g/slope
		if !(next > low && next < high) {
			next = (low + high) / 2
		}
		if math.Abs(next-x) <= tolerance*x {
			return next
		}
		x = next
	}
	return x
}

// logMeanExp is the logarithm of the mean of the values whose logarithms are given.
func logMeanExp(logs []float64) float64 {
	if len(logs) == 0 {
		return math.Inf(-1)
	}
	highest := math.Inf(-1)
	for _, l := range logs {
		highest = max(highest, l)
	}
	if math.IsInf(highest, -1) {
		return highest
	}
	sum := 0.0
	for _, l := range logs {
		sum += math.Exp(l - highest)
	}
	return highest + math.Log(sum/float64(len(logs)))
}

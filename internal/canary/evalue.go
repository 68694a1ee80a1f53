package canary

import "math"

// This file contains the sequential test. A block is the counts of one relay in one stratum over about
// a second: k1 of n1 canary trials were bad, and k0 of n0 baseline trials. The null hypothesis is "the
// canary is bad at most factor times as often as the baseline, plus margin" (factor is at least 1). A
// block's e-value for a harm d is the likelihood ratio of (t0, t1 = factor t0 + margin + d) to the
// nearest point (x, y = factor x + margin) of the null hypothesis, in relative entropy weighted by n0
// and n1. Its mean is at most 1 under any true rates that the null hypothesis allows:
//
// A bad trial multiplies the ratio by t/p, a good one by (1-t)/(1-p), where p is the null rate. The mean
// of this multiplier at a true rate q is 1 + c(q-p) with c = (t-p)/p(1-p). So the logarithm of the
// block's mean is at most n1 c1 (q1-y) + n0 c0 (q0-x). The nearest point is where
// factor n1 c1 + n0 c0 = 0; what remains is n1 c1 (q1 - factor q0 - margin), which is at most 0 under
// the null hypothesis, since c1 > 0.
//
// t0 is estimated from earlier counts: a bad estimate costs power but does not raise the mean under the
// null hypothesis. So the product of blocks may be checked at any time, and rates may differ and change
// freely between relays, strata and seconds.

// harmHypothesis is one size of harm that a guardrail tests for.
type harmHypothesis struct {
	harm          float64 // rate of bad canary trials beyond what the null hypothesis allows
	baselineShare float64 // for durations: the share of baseline durations above the cut; 0 for rates
}

// blockCounts are the trials of a block and the bad ones among them.
type blockCounts struct {
	canaryTrials, canaryBad     uint64
	baselineTrials, baselineBad uint64
}

// nullHypothesis is "the canary is bad at most factor times as often as the baseline, plus margin".
type nullHypothesis struct {
	factor, margin float64
}

// maxCanaryRate returns the highest canary rate that the null hypothesis allows at a baseline rate.
func (h nullHypothesis) maxCanaryRate(baseline float64) float64 { return h.factor*baseline + h.margin }

const (
	minRate         = 1e-7 // estimated rates are at least this and at most 1-minRate: the logarithms need finite values
	maxHypothetical = 0.98 // highest canary rate of a harm hypothesis, for the same reason
)

// logEValue returns the logarithm of a block's e-value for a harm, given the baseline rate estimated
// from earlier counts.
func (h nullHypothesis) logEValue(c blockCounts, baselineRate, harm float64) float64 {
	n1, k1, n0, k0 := float64(c.canaryTrials), float64(c.canaryBad), float64(c.baselineTrials), float64(c.baselineBad)
	t0 := min(max(baselineRate, minRate), 1-minRate)
	t1 := h.maxCanaryRate(t0) + harm
	if t1 > maxHypothetical { // so much harm is impossible: test for the largest possible one
		t1 = maxHypothetical
		if t1 <= h.maxCanaryRate(t0) {
			return 0
		}
	}
	x := h.nearestBaselineRate(n1, n0, t1, t0)
	y := h.maxCanaryRate(x)
	return k1*math.Log(t1/y) + (n1-k1)*math.Log((1-t1)/(1-y)) + k0*math.Log(t0/x) + (n0-k0)*math.Log((1-t0)/(1-x))
}

// nearestBaselineRate returns the baseline rate x of the null hypothesis' nearest point, between t0 and
// (t1-margin)/factor, where the slopes of canary and baseline cancel. It uses Newton's method, and
// bisection where a Newton step leaves the bracket.
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

// logMeanExp returns the logarithm of the mean of the values with the given logarithms.
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

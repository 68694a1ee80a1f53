package canary

import "math"

// This file is the test itself. A block is what one relay counted in one stratum over about a second: of n1 trials of the arm k1 were bad,
// of n0 of the base k0. The claim to be shaken is "the arm is bad at most f times as often as the base, and by delta more" (f is 1 or above).
// A block's e-value for a suspected harm d is the likelihood of (t0, t1 = f t0+delta+d) over that of the point (x, y = f x+delta) of the claim
// nearest to it (in relative entropy, weighted by n0 and n1). Its mean is at most 1 whatever the true rates of the block are, as long as the claim holds:
// a bad trial multiplies by t/p, a sound one by (1-t)/(1-p); the mean factor at a true rate q is 1 + c(q-p) with c = (t-p)/p(1-p);
// so the logarithm of the block's mean is at most n1 c1 (q1-y) + n0 c0 (q0-x), and the nearest point is where f n1 c1 + n0 c0 = 0: what
// remains is n1 c1 (q1 - f q0 - delta), not above 0 under the claim, since c1 > 0.
// t0 is a guess from the past: a bad one costs power and never makes the claim look worse. So products of blocks may be looked at
// at any time, and rates may differ and move as they like between relays, strata and seconds.

// harmHypothesis is one harm that is looked for.
type harmHypothesis struct {
	harm          float64 // beyond delta
	baselineShare float64 // times: the part of the base above the cut
}

// logLikelihoodRatio is a suspect's likelihood ratio, ready for a block.
func logLikelihoodRatio(n1, k1, n0, k0, t0, f, delta, harm float64) float64 {
	t0 = min(max(t0, 1e-7), 1-1e-7)
	t1 := f*t0 + delta + harm
	if t1 > 0.98 { // no room for that much harm: what there is
		t1 = 0.98
		if t1 <= f*t0+delta {
			return 0
		}
	}
	x := nearestNull(n1, n0, t1, t0, f, delta)
	y := f*x + delta
	return k1*math.Log(t1/y) + (n1-k1)*math.Log((1-t1)/(1-y)) + k0*math.Log(t0/x) + (n0-k0)*math.Log((1-t0)/(1-x))
}

// nearestNull finds x between t0 and (t1-delta)/f where the slopes of the two arms cancel: Newton's steps, held by the ends.
func nearestNull(n1, n0, t1, t0, f, delta float64) float64 {
	low, high := t0, (t1-delta)/f
	v1, v0 := f*f*n1/(t1*(1-t1)), n0/(t0*(1-t0))
	x := (t0*v0 + high*v1) / (v0 + v1)
	for range 60 {
		y := f*x + delta
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
		if math.Abs(next-x) <= 1e-10*x {
			return next
		}
		x = next
	}
	return x
}

// logMeanExp is the logarithm of the mean of what these are logarithms of.
func logMeanExp(logs []float64) float64 {
	if len(logs) == 0 {
		return math.Inf(-1)
	}
	top := math.Inf(-1)
	for _, l := range logs {
		top = max(top, l)
	}
	if math.IsInf(top, -1) {
		return top
	}
	sum := 0.0
	for _, l := range logs {
		sum += math.Exp(l - top)
	}
	return top + math.Log(sum/float64(len(logs)))
}

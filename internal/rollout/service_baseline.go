package rollout

import "math"

// falseHaltProbability bounds the probability that one comparison takes noise for a degradation. An hour
// of one-second windows has 3600 comparisons, so noise halts a release in at most 0.4% of such hours:
// Chernoff's bound is never below the true probability.
const falseHaltProbability = 1e-6

// recentWindows is how many of the latest windows are compared with the baseline. One bad window alone
// must not count as a degradation.
const recentWindows = 3

// serviceBaseline summarizes the fleet's service before a release. It is stored with the release.
type serviceBaseline struct {
	Requested float64 `json:"asked,omitempty"`
	Served    float64 `json:"served,omitempty"`
	// Variance between windows relative to that of independent requests, at least 1.
	Dispersion float64 `json:"spread,omitempty"`
}

func newServiceBaseline(windows []ServiceWindow) serviceBaseline {
	b := serviceBaseline{Dispersion: 1}
	for _, w := range windows {
		b.Requested, b.Served = b.Requested+w.Requested, b.Served+w.Served
	}
	if b.Requested <= 0 {
		return serviceBaseline{Dispersion: 1}
	}
	p := b.Served / b.Requested
	if p <= 0 || p >= 1 || len(windows) < 3 {
		return b
	}
	sum, n := 0.0, 0.0
	for _, w := range windows {
		if w.Requested > 0 {
			sum += (w.Served - w.Requested*p) * (w.Served - w.Requested*p) / (w.Requested * p * (1 - p))
			n++
		}
	}
	if n > 1 {
		b.Dispersion = max(1, sum/(n-1))
	}
	return b
}

// degraded reports whether the latest recentWindows windows that end after since served a smaller share
// than the baseline, by more than the tolerance and noise.
func (b serviceBaseline) degraded(tolerance float64, windows []ServiceWindow, since int64) bool {
	var requested, served float64
	n := 0
	for i := len(windows) - 1; i >= 0 && n < recentWindows && windows[i].EndsAt > since; i-- {
		requested, served, n = requested+windows[i].Requested, served+windows[i].Served, n+1
	}
	if n < recentWindows || b.Requested <= 0 || requested <= 0 {
		return false
	}
	// Dividing counts by the dispersion gives less weight to windows that differ by more than chance.
	baselineCount, recentCount, bound := b.Requested/b.Dispersion, requested/b.Dispersion, -math.Log(falseHaltProbability)
	// Bisect for the largest share of failures that is consistent with the baseline, by Chernoff's bound.
	baselineFailures := 1 - b.Served/b.Requested
	low, high := baselineFailures, 1.0
	for range 40 {
		mid := (low + high) / 2
		if baselineCount*klDivergence(baselineFailures, mid) > bound {
			high = mid
		} else {
			low = mid
		}
	}
	allowed := min(high+tolerance, 1)
	failures := 1 - served/requested
	return failures > allowed && recentCount*klDivergence(failures, allowed) > bound
}

// klDivergence returns the Kullback-Leibler divergence of Bernoulli distribution p from q.
func klDivergence(p, q float64) float64 {
	term := func(x, y float64) float64 {
		if x <= 0 {
			return 0
		}
		if y <= 0 {
			return math.Inf(1)
		}
		return x * math.Log(x/y)
	}
	return term(p, q) + term(1-p, 1-q)
}

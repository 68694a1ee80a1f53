package rollout

import "math"

// falseHaltProbability bounds the chance that one look takes noise for a degradation. With one look a window, an hour of one-second windows is 3600
// looks: chance halts a release in 0.4% of such hours at most, as Chernoff's bound is never below the true probability.
const falseHaltProbability = 1e-6

// recentWindows is how many windows are compared with the baseline: enough that one bad window is no verdict.
const recentWindows = 3

// serviceBaseline sums up the service before a release. It is stored with the release.
type serviceBaseline struct {
	Requested  float64 `json:"asked,omitempty"`
	Served     float64 `json:"served,omitempty"`
	Dispersion float64 `json:"spread,omitempty"` // by how much the windows differ beyond chance; 1 if they do not
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

// degraded says whether the last windows that end after a time served less than the baseline, by more than tolerance and noise.
func (b serviceBaseline) degraded(tolerance float64, windows []ServiceWindow, since int64) bool {
	var requested, served float64
	n := 0
	for i := len(windows) - 1; i >= 0 && n < recentWindows && windows[i].EndsAt > since; i-- {
		requested, served, n = requested+windows[i].Requested, served+windows[i].Served, n+1
	}
	if n < recentWindows || b.Requested <= 0 || requested <= 0 {
		return false
	}
	// Counts are divided by the dispersion: windows that differ beyond chance say less.
	baselineCount, recentCount, bound := b.Requested/b.Dispersion, requested/b.Dispersion, -math.Log(falseHaltProbability)
	// The largest share of failures that the baseline allows, by Chernoff's bound.
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

// klDivergence is the divergence of Bernoulli p from q after Kullback and Leibler.
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

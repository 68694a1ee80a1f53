package rollout

import "math"

// looks: a release that is looked at once a window for an hour of one-second windows is halted by chance in less than one of a hundred
// plays: 3600 looks at 1e-6 each are 0.4%, by Chernoff's bound, which is never below the true chance.
const falseHaltProbability = 1e-6

// pooled are the windows after since, the last few of them: enough that one bad window is not a verdict.
const recentWindows = 3

// baselineWindows sums up the service before a release, and by how much its windows differ beyond chance (1: not).
func baseline(counts []ServiceWindow) (asked, served, spread float64) {
	spread = 1
	for _, c := range counts {
		asked, served = asked+c.Requested, served+c.Served
	}
	if asked <= 0 {
		return 0, 0, 1
	}
	p := served / asked
	if p <= 0 || p >= 1 || len(counts) < 3 {
		return asked, served, 1
	}
	sum, n := 0.0, 0.0
	for _, c := range counts {
		if c.Requested > 0 {
			sum += (c.Served - c.Requested*p) * (c.Served - c.Requested*p) / (c.Requested * p * (1 - p))
			n++
		}
	}
	if n > 1 {
		spread = max(1, sum/(n-1))
	}
	return asked, served, spread
}

// degraded says whether the service of the last windows is below that of before by more than slack and noise.
func degraded(asked, served, spread, slack float64, counts []ServiceWindow, since int64) bool {
	var a, s float64
	n := 0
	for i := len(counts) - 1; i >= 0 && n < recentWindows && counts[i].EndsAt > since; i-- {
		a, s, n = a+counts[i].Requested, s+counts[i].Served, n+1
	}
	if n < recentWindows || asked <= 0 || a <= 0 {
		return false
	}
	a0, a1, bar := asked/spread, a/spread, -math.Log(falseHaltProbability)
	// The most that the share of failures before may have been: where Chernoff's bound leaves it.
	f0 := 1 - served/asked
	low, high := f0, 1.0
	for range 40 {
		mid := (low + high) / 2
		if a0*klDivergence(f0, mid) > bar {
			high = mid
		} else {
			low = mid
		}
	}
	most := min(high+slack, 1)
	f1 := 1 - s/a
	return f1 > most && a1*klDivergence(f1, most) > bar
}

// klDivergence of Bernoulli p from q (Kullback and Leibler).
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

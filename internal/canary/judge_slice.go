package canary

import (
	"math"
	"slices"
)

const (
	// minBaselineAttempts is how many attempts of the baseline a class needs before anything is evaluated: an estimate from none is one half,
	// and with that every harm seems ruled out.
	minBaselineAttempts = 50

	priorTrials = 20 // weight of the class's rate in the estimate for a relay with few trials of its own

	maxWaitSlices = 10 // for which counts of canary or baseline wait for the other's

	// sliceCapDivisor limits what one slice may bring to this part of what a pause needs: a hiccup of a few seconds is no verdict.
	sliceCapDivisor = 8

	// For an estimate of a cut, the baseline needs this many durations above it: of the relay itself, and of its class.
	minOwnAboveCut   = 10
	minClassAboveCut = 5
)

// advance evaluates a slice that is over.
func (j *Judge) advance(now int64) {
	if j.sliceEnd == 0 {
		j.sliceEnd, j.nextCheckpointAt = now+sliceMS, now+minCheckpointIntervalMS
	}
	if now < j.sliceEnd {
		return
	}
	j.sliceEnd = now - (now-j.sliceEnd)%sliceMS + sliceMS
	j.closeSlice()
}

// closeSlice adds a slice to the evidence.
func (j *Judge) closeSlice() {
	fleet := newEvidence(j.tests) // what this slice brings, for the fleet and by zone
	zones := make([]evidence, len(j.zones))
	for z := range zones {
		zones[z] = newEvidence(j.tests)
	}
	for _, r := range j.relays {
		gain := newEvidence(j.tests)
		for _, s := range r.strata {
			j.evaluateBlock(r, s, gain)
		}
		if !r.faulty() {
			z, _ := slices.BinarySearch(j.zones, r.zone)
			for k, t := range j.tests {
				limit := t.sliceCap(4 * len(j.relays))
				for i, g := range gain[k] {
					g = min(g, limit)
					r.evidence[k][i] += g
					zones[z][k][i] += g
					fleet[k][i] += g
				}
			}
		}
		j.testRelayFault(r)
	}
	for k, t := range j.tests {
		for i := range t.hypotheses {
			t.fleet[i] += min(fleet[k][i], t.sliceCap(2))
			for z := range j.zones {
				t.zones[z][i] += min(zones[z][k][i], t.sliceCap(4*len(j.zones)))
			}
		}
	}
	for _, r := range j.relays {
		for _, s := range r.strata {
			s.history.endSlice()
		}
	}
	for _, h := range j.classHistories {
		h.endSlice()
	}
	j.slices++
	j.decide()
}

// sliceCap is what one slice may bring to one of so many places where harm may be: guardEvidence contains what that choice costs.
func (t *guardTest) sliceCap(places int) float64 {
	return (t.threshold + math.Log(float64(max(places, 1)*len(t.hypotheses)))) / sliceCapDivisor
}

// evaluateBlock adds a stratum's block to the evidence, once both canary and baseline have counts.
func (j *Judge) evaluateBlock(r *relayState, s *stratumState, gain evidence) {
	if s.canary.Attempts+s.canary.OpenSeconds+s.canary.EarlyDisconnects == 0 && s.canary.MessageTime.total() == 0 {
		s.baseline, s.waitedSlices = Tally{}, 0 // the baseline by itself says nothing of the canary
		return
	}
	if s.classHistory.Attempts < minBaselineAttempts { // decided by the past only: what is left out does not depend on its own counts
		s.clearBlock()
		return
	}
	if s.canary.Attempts == 0 || s.baseline.Attempts == 0 {
		if s.waitedSlices++; s.waitedSlices < maxWaitSlices {
			return
		}
	}
	if !r.faulty() {
		compared := min(s.canary.Attempts, s.baseline.Attempts)
		j.compared += compared
		r.compared += compared
	}
	for k, t := range j.tests {
		t.evaluateBlock(s, gain[k])
	}
	s.clearBlock()
}

// evaluateBlock adds the logarithms of a block's e-values, by hypothesis.
func (t *guardTest) evaluateBlock(s *stratumState, gain []float64) {
	cut, share := 0, 0.0
	for i, hypothesis := range t.hypotheses {
		if hypothesis.baselineShare != 0 && hypothesis.baselineShare != share {
			share = hypothesis.baselineShare
			cut = t.cutBucket(&s.history.Tally, &s.classHistory.Tally, share)
		}
		if hypothesis.baselineShare != 0 && cut < 0 {
			continue
		}
		var c blockCounts
		c.baselineTrials, c.baselineBad = t.trials(&s.baseline, cut)
		c.canaryTrials, c.canaryBad = t.trials(&s.canary, cut+t.shiftBuckets) // slower by the guardrail's factor is not bad
		if c.baselineTrials == 0 || c.canaryTrials == 0 {
			continue
		}
		gain[i] += t.null.logEValue(c, t.baselineRate(&s.history.Tally, &s.classHistory.Tally, cut), hypothesis.harm)
	}
}

// trials returns a tally as the guardrail sees it: how many trials, and how many of them were bad. Durations above the cut are bad.
func (t *guardTest) trials(c *Tally, cut int) (n, bad uint64) {
	switch t.Metric {
	case Failures:
		return c.Attempts, c.Failed + c.Reset + c.TimedOut
	case EarlyDisconnects:
		return c.OpenSeconds + c.EarlyDisconnects, c.EarlyDisconnects // each second is a trial
	}
	h := t.histogram(c)
	return h.total(), h.above(cut)
}

func (t *guardTest) histogram(c *Tally) *Histogram {
	if t.Metric == SetupTime {
		return &c.SetupTime
	}
	return &c.MessageTime
}

// cutBucket returns the highest bucket that at least this share of the baseline was above (a bucket is wide, so it may be much more), by the
// relay's own history if that is long enough, else by its class's; -1 if neither is.
func (t *guardTest) cutBucket(own, class *Tally, share float64) int {
	h := t.histogram(own)
	if float64(h.total())*share < minOwnAboveCut {
		h = t.histogram(class)
	}
	n := float64(h.total())
	if n*share < minClassAboveCut {
		return -1
	}
	above := 0.0
	for b := HistogramBuckets - 1; b > 0; b-- {
		if above += float64(h[b]); above >= share*n {
			return b - 1
		}
	}
	return 0
}

// baselineRate estimates the baseline's rate from the relay's own history and its class's.
func (t *guardTest) baselineRate(own, class *Tally, cut int) float64 {
	n, bad := t.trials(own, cut)
	classN, classBad := t.trials(class, cut)
	prior := (float64(classBad) + 0.5) / (float64(classN) + 1)
	return (float64(bad) + priorTrials*prior) / (float64(n) + priorTrials)
}

package canary

import (
	"math"
	"slices"
)

const (
	// minBaselineAttempts is how many baseline attempts a class needs before its blocks are evaluated:
	// without any, the estimated rate is one half, and at that rate every harm seems ruled out.
	minBaselineAttempts = 50

	priorTrials = 20 // weight of the class's rate, in trials, when estimating a relay's baseline rate

	maxWaitSlices = 10 // how long counts of the canary or the baseline wait for counts of the other

	// sliceCapDivisor limits the evidence of one slice to this fraction of what a pause needs, so that
	// a fault of a few seconds cannot cause a verdict.
	sliceCapDivisor = 8

	// A cut is estimated from at least this many baseline durations above it: of the relay itself, or
	// else of its class.
	minOwnAboveCut   = 10
	minClassAboveCut = 5
)

// advance closes the current slice if its time is over.
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

// closeSlice adds the counts of the current slice to the evidence.
func (j *Judge) closeSlice() {
	fleet := newEvidence(j.tests) // evidence of this slice, for the fleet; zones has it by zone
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

// sliceCap returns the maximum evidence of one slice for one of the given number of zones or relays.
// guardEvidence averages over them and over the hypotheses, which lowers the evidence by the logarithm
// of their number; the cap allows for that.
func (t *guardTest) sliceCap(places int) float64 {
	return (t.threshold + math.Log(float64(max(places, 1)*len(t.hypotheses)))) / sliceCapDivisor
}

// evaluateBlock adds the evidence of a stratum's block once both canary and baseline have counts, or
// after maxWaitSlices.
func (j *Judge) evaluateBlock(r *relayState, s *stratumState, gain evidence) {
	if s.canary.Attempts+s.canary.OpenSeconds+s.canary.EarlyDisconnects == 0 && s.canary.MessageTime.total() == 0 {
		s.baseline, s.waitedSlices = Tally{}, 0 // baseline counts alone are no evidence about the canary
		return
	}
	if s.classHistory.Attempts < minBaselineAttempts {
		// This depends only on earlier counts, so discarding the block adds no bias.
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

// evaluateBlock adds the logarithms of a block's e-values to gain, by hypothesis.
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
		// The guardrail's factor allows the canary slower durations.
		c.canaryTrials, c.canaryBad = t.trials(&s.canary, cut+t.shiftBuckets)
		if c.baselineTrials == 0 || c.canaryTrials == 0 {
			continue
		}
		gain[i] += t.null.logEValue(c, t.baselineRate(&s.history.Tally, &s.classHistory.Tally, cut), hypothesis.harm)
	}
}

// trials returns the number of trials in a tally for the guardrail's metric, and how many were bad.
// Durations are bad if they lie above the cut, a histogram bucket; other metrics ignore it.
func (t *guardTest) trials(c *Tally, cut int) (n, bad uint64) {
	switch t.Metric {
	case Failures:
		return c.Attempts, c.Failed + c.Reset + c.TimedOut
	case EarlyDisconnects:
		return c.OpenSeconds + c.EarlyDisconnects, c.EarlyDisconnects // each open second is a trial
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

// cutBucket returns the highest bucket with at least the given share of the baseline above it (because
// buckets are wide, it may be much more). It uses the relay's own history if that is long enough, or
// else its class's, and returns -1 if neither is.
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

// baselineRate estimates the baseline's rate of bad trials from the histories of the relay and its class.
func (t *guardTest) baselineRate(own, class *Tally, cut int) float64 {
	n, bad := t.trials(own, cut)
	classN, classBad := t.trials(class, cut)
	prior := (float64(classBad) + 0.5) / (float64(classN) + 1)
	return (float64(bad) + priorTrials*prior) / (float64(n) + priorTrials)
}

package canary

import "math"

const (
	// faultyMarginPerMille is by how much the failure rate of a relay's baseline must exceed that of the
	// other relays for the relay to be faulty.
	faultyMarginPerMille = 100

	// faultyShiftBuckets is by how many buckets (a factor of 4) the durations of a relay's baseline must
	// be slower than those of the other relays for the relay to be faulty.
	faultyShiftBuckets = 4

	faultyCutShare    = 0.25 // share of the class's baseline durations above the cut
	minRelaysForFault = 3    // of two relays that differ, either may be the faulty one
)

// faultHarms are the harms that testRelayFault looks for, beyond its null hypothesis.
var faultHarms = []float64{0.1, 0.3}

// testRelayFault tests whether a relay's baseline is worse than that of the other relays. If it is, the
// relay is at fault, whatever the canary's outcomes there are.
func (j *Judge) testRelayFault(r *relayState) {
	if r.faulty() || len(j.relays) < minRelaysForFault {
		return
	}
	threshold := math.Log(float64(len(j.relays)*len(j.tests)*len(j.settings.Steps)) / j.settings.FalsePositiveRate)
	for k, t := range j.tests {
		if t.Metric == EarlyDisconnects {
			continue // its rates are per second: faultyMarginPerMille does not apply to them
		}
		for i, g := range t.sliceFaultEvidence(r) {
			r.faultEvidence[k][i] += min(g, threshold/sliceCapDivisor)
		}
		if logMeanExp(r.faultEvidence[k]) >= threshold {
			r.faultyMetric = t.Metric
			return
		}
	}
}

// sliceFaultEvidence returns the current slice's evidence that a relay's baseline is bad: logarithms of
// e-values, by fault harm.
func (t *guardTest) sliceFaultEvidence(r *relayState) []float64 {
	null, shift := nullHypothesis{factor: 1, margin: float64(faultyMarginPerMille) / 1000}, 0
	if t.shiftBuckets != 0 {
		null.margin, shift = 0, faultyShiftBuckets
	}
	gain := make([]float64, len(faultHarms))
	for _, s := range r.strata {
		class, cut := s.classHistory, 0
		if shift != 0 {
			if cut = t.cutBucket(&class.Tally, &class.Tally, faultyCutShare); cut < 0 {
				continue
			}
		}
		var c blockCounts // the relay takes the place of the canary, the other relays that of the baseline
		if c.canaryTrials, c.canaryBad = t.trials(&s.history.current, cut+shift); c.canaryTrials == 0 {
			continue
		}
		own, ownBad := t.trials(&s.history.current, cut)
		all, allBad := t.trials(&class.current, cut)
		if c.baselineTrials, c.baselineBad = all-own, allBad-ownBad; c.baselineTrials == 0 {
			continue
		}
		rate := t.baselineRate(&class.Tally, &class.Tally, cut)
		for i, harm := range faultHarms {
			gain[i] += null.logEValue(c, rate, harm)
		}
	}
	return gain
}

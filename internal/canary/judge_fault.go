package canary

import "math"

const (
	faultyMarginPerMille = 100  // a relay is faulty if its baseline fails by so many per mille more than the others',
	faultyShiftBuckets   = 4    // or is slower by so many buckets: four times
	faultyCutShare       = 0.25 // of the class's baseline, which lies above the cut
	minRelaysForFault    = 3    // of two that differ it is not known which one is faulty
)

// faultHarms are the harms that testRelayFault looks for, beyond its null hypothesis.
var faultHarms = []float64{0.1, 0.3}

// testRelayFault tests whether a relay's baseline is bad compared with the other relays' baselines: then the fault is the relay's, whatever
// the canary does there.
func (j *Judge) testRelayFault(r *relayState) {
	if r.faulty() || len(j.relays) < minRelaysForFault {
		return
	}
	threshold := math.Log(float64(len(j.relays)*len(j.tests)*len(j.settings.Steps)) / j.settings.FalsePositiveRate)
	for k, t := range j.tests {
		if t.Metric == EarlyDisconnects {
			continue // its rates are per second: a margin in points means nothing there
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

// faultGain is what the current slice says on a relay's baseline, by fault harm: logarithms of e-values.
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
		var c blockCounts // the relay in the canary's place, the other relays in the baseline's
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

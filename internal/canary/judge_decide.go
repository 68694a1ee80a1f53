package canary

import (
	"math"
	"slices"
)

const (
	// decisive is the natural logarithm of how many times likelier an explanation must be than another to be taken: 20.
	decisiveLogRatio = 3.0

	// attributionSlices is for how many slices the judge waits for a decisive attribution once the evidence suffices; or, if longer, this part
	// of the slices that the evidence took.
	attributionSlices = 8

	// A harm of the sought size passes a step up with at most this probability, each step by itself. Before a wide step the rate is lower: the
	// step before it has more flows of the canary than the first one, so that costs little time. Both together: 1 in 2,000.
	maxMissRate         = 0.05
	maxMissRateWideStep = 0.01

	// maxMissRateSingleRelay is the probability with which a relay's gross harm passes a wide step: 16 flows without a failure, which come
	// once in 600 where a third fails.
	maxMissRateSingleRelay = 0.15

	// minShareDivisor: a zone or a relay with less than its fair share of what was compared, divided by this, is not waited for.
	minShareDivisor = 4

	wideStepPerMille = 250 // a step to this weight or beyond needs each relay to rule out gross harm
)

// guardEvidence is the logarithm of a guardrail's e-value: half of it for harm everywhere, a quarter for harm in one zone, a quarter for harm
// at one relay, each the mean over all zones or relays. A mean of e-values is an e-value: this is the price of many relays.
func (j *Judge) guardEvidence(k int) float64 {
	t := j.tests[k]
	var zones, relays []float64
	for _, z := range t.zones {
		zones = append(zones, logMeanExp(z))
	}
	for _, r := range j.relays {
		if !r.faulty() {
			relays = append(relays, logMeanExp(r.evidence[k]))
		}
	}
	fleet := logMeanExp(t.fleet)
	return logMeanExp([]float64{fleet, fleet, logMeanExp(zones), logMeanExp(relays)})
}

// decide looks at the evidence after a slice. A decision stays until the next BeginStep.
func (j *Judge) decide() {
	if j.decided {
		return
	}
	worst, excess := 0, math.Inf(-1) // evidence beyond the threshold
	for k, t := range j.tests {
		if e := j.guardEvidence(k) - t.threshold; e > excess {
			worst, excess = k, e
		}
	}
	t := j.tests[worst]
	j.verdict.Metric, j.verdict.Threshold, j.verdict.LogEValue = t.Metric, t.threshold, excess+t.threshold
	j.verdict.Suspected = excess+t.threshold >= t.threshold/2
	if j.attributionLeft == 0 && excess < 0 {
		return
	}
	if j.attributionLeft == 0 {
		j.attributionLeft = max(attributionSlices, j.slices/attributionSlices) + 1
	}
	j.attributionLeft--
	a := j.attribute(worst)
	if math.Abs(a.logRatio) < decisiveLogRatio && j.attributionLeft > 1 {
		return
	}
	j.decided = true
	j.verdict.Outcome = Regressed
	if a.logRatio > 0 {
		j.verdict.Outcome, j.verdict.Zones, j.verdict.Relays = Divergent, a.zones, a.relays
	}
}

// healthy reports whether the step has the evidence for the next one.
func (j *Judge) healthy() bool {
	weight := j.settings.Steps[j.settings.Step]
	switch {
	case j.attributionLeft > 0 || j.slices < minStepSlices: // harm was found and is being attributed, or could not be found yet
		return false
	case weight == fullWeight: // there is no baseline left to compare with
		return j.canaryAttempts >= j.settings.MinAttempts
	case j.compared < j.settings.MinAttempts || !j.harmRuledOut():
		return false
	}
	firstWideStep := j.nextStepIsWide() && weight < wideStepPerMille
	return !firstWideStep || j.harmRuledOutPerRelay()
}

// nextStepIsWide reports whether the next step is to a weight at which harm to one zone, or to single relays, would be large.
func (j *Judge) nextStepIsWide() bool {
	next := j.settings.Step + 1
	return next < len(j.settings.Steps) && j.settings.Steps[next] >= wideStepPerMille
}

// harmRuledOut reports whether the sought harm is unlikely by now, by every guardrail and in each zone that counts. A number of attempts
// would not suffice: what they show depends on how often the baseline is bad.
func (j *Judge) harmRuledOut() bool {
	limit := math.Log(maxMissRate)
	if j.nextStepIsWide() {
		limit = math.Log(maxMissRateWideStep)
	}
	compared := make([]uint64, len(j.zones))
	for _, r := range j.relays {
		if !r.faulty() {
			z, _ := slices.BinarySearch(j.zones, r.zone)
			compared[z] += r.compared
		}
	}
	for k, t := range j.tests {
		zones, fleet := j.relayEvidence(k, t.ruleOutIndex)
		for z, sum := range zones {
			if compared[z]*uint64(len(j.zones))*minShareDivisor >= j.compared && sum > limit {
				return false
			}
		}
		if fleet > limit {
			return false
		}
	}
	return true
}

// harmRuledOutPerRelay reports whether the first wide step has what it needs beyond harmRuledOut. One relay among many hardly shows in the sum
// of its zone, so each relay rules out gross harm by itself (smaller harm would take each of them as long as a zone). Relays with few flows
// are not waited for unless their evidence of harm is decisive, nor are those that sent no report for longer than counts wait. And in no
// zone may any harm be decisively likely: a harm below the sought size is ruled out with it, and would else be found where it costs most.
func (j *Judge) harmRuledOutPerRelay() bool {
	for k, t := range j.tests {
		for i := range t.hypotheses {
			if zones, _ := j.relayEvidence(k, i); len(zones) > 0 && slices.Max(zones) > decisiveLogRatio {
				return false
			}
		}
		for _, r := range j.relays {
			limit := math.Log(maxMissRateSingleRelay)
			if r.compared*uint64(len(j.relays))*minShareDivisor < j.compared {
				limit = decisiveLogRatio
			}
			if !r.faulty() && j.slices-r.lastReportSlice <= maxWaitSlices && r.evidence[k][t.grossHarmIndex] > limit {
				return false
			}
		}
	}
	return true
}

// relayEvidence sums the evidence of the relays that are not faulty on one hypothesis, by zone and in all.
func (j *Judge) relayEvidence(k, hypothesis int) (zones []float64, fleet float64) {
	zones = make([]float64, len(j.zones))
	for _, r := range j.relays {
		if !r.faulty() {
			z, _ := slices.BinarySearch(j.zones, r.zone)
			zones[z] += r.evidence[k][hypothesis]
			fleet += r.evidence[k][hypothesis]
		}
	}
	return zones, fleet
}

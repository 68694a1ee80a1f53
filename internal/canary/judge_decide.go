package canary

import (
	"math"
	"slices"
)

const (
	// decisiveLogRatio is the natural logarithm of the likelihood ratio (20) at which one explanation is
	// preferred to another.
	decisiveLogRatio = 3.0

	// attributionSlices is how many slices the judge waits for a decisive attribution once the evidence
	// reaches the threshold. It waits longer if the evidence took longer: the number of slices so far
	// divided by attributionSlices.
	attributionSlices = 8

	// maxMissRate and maxMissRateWideStep limit the probability that a harm of the size to rule out
	// passes a step up, for each step by itself. The limit is lower before a wide step: the step before it
	// has more canary flows than the first one, so the stricter limit costs little time. Together they
	// let 1 in 2,000 pass.
	maxMissRate         = 0.05
	maxMissRateWideStep = 0.01

	// maxMissRateSingleRelay limits the probability that gross harm at one relay passes a wide step. It
	// takes 16 flows without a failure, which happens once in 600 times where a third of flows fail.
	maxMissRateSingleRelay = 0.15

	// minShareDivisor: a step up does not wait for a zone or relay that has less than its equal share of
	// the compared attempts divided by this.
	minShareDivisor = 4

	wideStepPerMille = 250 // at a step to this weight or above, each relay must have ruled out gross harm
)

// guardEvidence returns the logarithm of a guardrail's e-value: one half for harm everywhere, a quarter
// for harm in one zone and a quarter for harm at one relay, each the mean over all zones or relays. A
// mean of e-values is an e-value, so testing many relays does not raise the false positive rate; it
// lowers the evidence of each instead.
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

// decide evaluates the evidence after a slice. A decision is final until the next BeginStep.
func (j *Judge) decide() {
	if j.decided {
		return
	}
	worst, excess := 0, math.Inf(-1) // the guardrail with the most evidence beyond its threshold
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

// healthy reports whether the step has enough evidence for a step up.
func (j *Judge) healthy() bool {
	weight := j.settings.Steps[j.settings.Step]
	switch {
	case j.attributionLeft > 0 || j.slices < minStepSlices: // harm is being attributed, or the step is too young
		return false
	case weight == fullWeight: // no baseline is left to compare with
		return j.canaryAttempts >= j.settings.MinAttempts
	case j.compared < j.settings.MinAttempts || !j.harmRuledOut():
		return false
	}
	firstWideStep := j.nextStepIsWide() && weight < wideStepPerMille
	return !firstWideStep || j.harmRuledOutPerRelay()
}

// nextStepIsWide reports whether the next step has a weight at which harm in one zone or at single relays
// would be large.
func (j *Judge) nextStepIsWide() bool {
	next := j.settings.Step + 1
	return next < len(j.settings.Steps) && j.settings.Steps[next] >= wideStepPerMille
}

// harmRuledOut reports whether the evidence of every guardrail rules out the harm of ruleOutIndex, over
// all relays and in each zone with enough compared attempts. A minimum number of attempts would not
// suffice: how many are needed depends on how often the baseline is bad.
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

// harmRuledOutPerRelay reports whether the additional conditions of the first wide step are met. Harm at
// one relay among many hardly shows in the sum of its zone, so each relay must rule out gross harm by
// itself (smaller harm would take each relay as long as a zone). Relays with few flows only block the
// step if their evidence of harm is decisive; relays that have not reported for longer than
// maxWaitSlices do not block it. And no harm of any tested size may be decisively likely in a zone: this
// also covers harm below the size of ruleOutIndex, which would otherwise be found at a weight where it
// costs most.
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

// relayEvidence sums the evidence of the relays that are not faulty on one hypothesis, by zone and in
// total.
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

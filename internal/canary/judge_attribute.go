package canary

import (
	"math"
	"slices"
)

// attribution names the zones and relays where harm is, if it is not everywhere.
type attribution struct {
	zones, relays []string
	logRatio      float64 // natural logarithm of the likelihood of this attribution over that of harm everywhere
}

// suspects are the zones or relays with the highest likelihood of harm.
type suspects struct {
	names         []string
	logLikelihood float64
}

// attribute returns the most likely attribution of the harm that guardrail k shows. Each suspect that is
// named costs a penalty, the logarithm of the number of zones or relays plus one.
func (j *Judge) attribute(k int) attribution {
	everywhere := math.Inf(-1)
	zones, relays := suspects{logLikelihood: math.Inf(-1)}, suspects{logLikelihood: math.Inf(-1)}
	for i := range j.tests[k].hypotheses {
		byZone, fleet := j.relayEvidence(k, i)
		everywhere = max(everywhere, fleet)
		if z := j.suspectZones(byZone); len(z.names) < len(j.zones) && len(z.names) > 0 && z.logLikelihood > zones.logLikelihood {
			zones = z
		}
		if r := j.suspectRelays(k, i); len(r.names) > 0 && r.logLikelihood > relays.logLikelihood {
			relays = r
		}
	}
	if zones.names == nil && relays.names == nil {
		return attribution{logRatio: -decisiveLogRatio}
	}
	var a attribution
	switch {
	case relays.logLikelihood > zones.logLikelihood+decisiveLogRatio:
		a = attribution{zones: j.zonesLikelyAffected(relays.names, k), relays: relays.names, logRatio: relays.logLikelihood - everywhere}
	case relays.logLikelihood > zones.logLikelihood: // not decisive: name the zone, which contains the relay
		a = attribution{zones: zones.names, logRatio: min(relays.logLikelihood-everywhere, decisiveLogRatio/2)}
	default:
		a = attribution{zones: zones.names, logRatio: zones.logLikelihood - everywhere}
	}
	if !j.othersHealthy(a, k) { // a divergent verdict may leave a weight above 0 at the others
		a.logRatio = min(a.logRatio, -decisiveLogRatio/2)
	}
	return a
}

func (j *Judge) suspectZones(evidence []float64) (s suspects) {
	penalty := math.Log(float64(len(j.zones) + 1))
	for z, sum := range evidence {
		if sum > penalty {
			s.logLikelihood += sum - penalty
			s.names = append(s.names, j.zones[z])
		}
	}
	return s
}

func (j *Judge) suspectRelays(k, hypothesis int) (s suspects) {
	penalty := math.Log(float64(len(j.relays) + 1))
	for _, r := range j.relays {
		if !r.faulty() && r.evidence[k][hypothesis] > penalty {
			s.logLikelihood += r.evidence[k][hypothesis] - penalty
			s.names = append(s.names, r.name)
		}
	}
	return s
}

// othersHealthy reports whether the relays outside the attribution have ruled out the harm of
// ruleOutIndex.
func (j *Judge) othersHealthy(a attribution, k int) bool {
	sum := 0.0
	for _, r := range j.relays {
		if !r.faulty() && !slices.Contains(a.zones, r.zone) && !slices.Contains(a.relays, r.name) {
			sum += r.evidence[k][j.tests[k].ruleOutIndex]
		}
	}
	return sum <= -decisiveLogRatio
}

// zonesLikelyAffected returns the zones of the named relays in which the other relays have not ruled out
// the harm of ruleOutIndex: the harm may affect the whole zone.
func (j *Judge) zonesLikelyAffected(named []string, k int) (zones []string) {
	for _, z := range j.zones {
		affected, others := false, 0.0
		for _, r := range j.relays {
			if r.zone == z && slices.Contains(named, r.name) {
				affected = true
			} else if r.zone == z && !r.faulty() {
				others += r.evidence[k][j.tests[k].ruleOutIndex]
			}
		}
		if affected && others > -decisiveLogRatio {
			zones = append(zones, z)
		}
	}
	return zones
}

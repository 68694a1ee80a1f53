package canary

import (
	"slices"
	"strings"
)

// Observe adds a relay's report. The counts before the first report of a relay are not evidence, because
// it is unknown when they were counted.
func (j *Judge) Observe(now int64, name, zone string, c CountReport) {
	j.advance(now)
	if c.Salt != j.settings.Salt {
		return // a report on another canary
	}
	if _, ok := j.zoneIndex(zone); !ok {
		return
	}
	r, found := j.relayNamed(name, zone)
	if r == nil {
		return
	}
	if found && (c.Incarnation < r.incarnation || c.Incarnation == r.incarnation && c.Seq <= r.seq) {
		j.Stale++
		return
	}
	if found && c.Incarnation > r.incarnation { // the relay restarted: its counts begin at zero
		for _, s := range r.strata {
			s.reported.Baseline, s.reported.Canary = Tally{}, Tally{}
		}
	}
	r.zone, r.incarnation, r.seq, r.lastReportSlice = zone, c.Incarnation, c.Seq, j.slices
	for _, counts := range c.Strata {
		j.addCounts(r, counts)
	}
}

// zoneIndex returns the index of a zone, which it adds if it is new, and false if there are too many.
func (j *Judge) zoneIndex(name string) (int, bool) {
	z, known := slices.BinarySearch(j.zones, name)
	if !known {
		if len(j.zones) >= MaxRelays {
			j.Rejected++
			return 0, false
		}
		j.zones = slices.Insert(j.zones, z, name)
		for _, t := range j.tests {
			t.zones = slices.Insert(t.zones, z, make([]float64, len(t.hypotheses)))
		}
	}
	return z, true
}

// relayNamed returns a relay, which it adds if it is new, and whether it existed. The relay is nil if
// there are too many.
func (j *Judge) relayNamed(name, zone string) (*relayState, bool) {
	i, found := slices.BinarySearchFunc(j.relays, name, func(r *relayState, n string) int { return strings.Compare(r.name, n) })
	if !found {
		if len(j.relays) >= MaxRelays {
			j.Rejected++
			return nil, false
		}
		r := &relayState{name: name, zone: zone}
		r.reset(j.tests)
		j.relays = slices.Insert(j.relays, i, r)
	}
	return j.relays[i], found
}

// addCounts adds a relay's counts of a stratum since its previous report.
func (j *Judge) addCounts(r *relayState, counts StratumCounts) {
	i, found := slices.BinarySearchFunc(r.strata, counts.Stratum, func(s *stratumState, k Stratum) int { return compareStrata(s.Stratum, k) })
	if !found {
		if len(r.strata) >= MaxStrata {
			j.Rejected++
			return
		}
		s := &stratumState{Stratum: counts.Stratum, reported: counts, classHistory: j.classHistoryOf(counts.Stratum)}
		r.strata = slices.Insert(r.strata, i, s)
		return // it is unknown when these counts were made
	}
	s := r.strata[i]
	baseline, baselineOK := counts.Baseline.since(&s.reported.Baseline)
	canary, canaryOK := counts.Canary.since(&s.reported.Canary)
	s.reported = counts
	if !baselineOK || !canaryOK {
		j.Invalid++
		return
	}
	s.baseline.add(&baseline)
	s.canary.add(&canary)
	s.history.current.add(&baseline)
	s.classHistory.current.add(&baseline)
	j.canaryAttempts += canary.Attempts
}

// classHistoryOf returns the baseline history of a stratum's class, WarmingUp and load, over all relays
// and zones.
func (j *Judge) classHistoryOf(s Stratum) *baselineHistory {
	s.Zone = 0 // each zone by itself would have too few counts
	i, found := slices.BinarySearchFunc(j.classHistories, s, func(h *baselineHistory, s Stratum) int { return compareStrata(h.Stratum, s) })
	if !found {
		j.classHistories = slices.Insert(j.classHistories, i, &baselineHistory{Stratum: s})
	}
	return j.classHistories[i]
}

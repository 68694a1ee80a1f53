package drift

import (
	"fmt"
	"slices"
)

// trackedActivity is one count of a relay.
type trackedActivity struct {
	Activity
	baseViolations   uint64 // violations when the grace ended
	sentAt           int64  // of the last report that had it
	receivedAt       int64
	violationsRoseAt int64 // when violations last rose
}

// suspicion is what speaks against an item.
type suspicion struct {
	reason          string // of the present state
	evidence        []string
	contradicted    bool  // the relay was seen to do otherwise than it reports
	sightings       int   // by others
	lastViolationAt int64 // when it was last seen to do otherwise
}

func (s *suspicion) clear() { s.contradicted, s.sightings = false, 0 }

// addEvidence stores a piece of evidence: the first ones, and the newest.
func (s *suspicion) addEvidence(evidence string) {
	if len(s.evidence) == MaxEvidence {
		s.evidence = s.evidence[:MaxEvidence-1]
	}
	s.evidence = append(s.evidence, sanitize(evidence, MaxReasonBytes))
}

// suspected returns the item's suspicion, which it adds if there is none.
func (i *trackedItem) ensureSuspicion() *suspicion {
	if i.suspicion == nil {
		i.suspicion = &suspicion{}
	}
	return i.suspicion
}

// takeActivity takes one of a relay's counts. What was in flight when the relay applied an item may still be counted for as long as an attempt
// takes, so violations count from the first report after that. By both clocks: a report may be late, and a relay's clock may be stepped.
func (m *Monitor) handleActivity(sentAt int64, r *relayState, a Activity) {
	k := slices.IndexFunc(r.activities, func(x trackedActivity) bool { return x.Item == a.Item && x.Kind == a.Kind })
	if k < 0 {
		if len(r.activities) >= MaxActivities {
			m.counts.OverLimit++
			return
		}
		r.activities = append(r.activities, trackedActivity{Activity: a, baseViolations: a.Violations, sentAt: sentAt, receivedAt: r.receivedAt})
		return
	}
	t := &r.activities[k]
	i, grace := r.item(a.Item), m.settings.InFlightGrace
	if m.defect == noGrace {
		grace = 0
	}
	switch {
	case i == nil || i.inSyncSince == 0 || min(t.sentAt-i.inSyncSince, t.receivedAt-i.inSyncReceivedAt) < grace || a.Violations < t.baseViolations:
		t.baseViolations = a.Violations
	case a.Violations == t.Violations && sentAt-t.violationsRoseAt > grace+r.group(GroupOf(a.Item)).lag.bound:
		t.baseViolations = a.Violations // one violation in a long time is chance: an attempt that hung, a race
	case a.Violations > t.Violations && a.Violations-t.baseViolations >= confirmations:
		m.recordContradiction(sentAt, r, i, fmt.Sprintf("%d sends of %q astray by its own count since it said that it runs %d", a.Violations-t.baseViolations, a.Kind, i.applied.Version))
	}
	if a.Violations != t.Violations {
		t.violationsRoseAt = sentAt
	}
	t.Activity, t.sentAt, t.receivedAt = a, sentAt, r.receivedAt
}

// RecordSighting notes that others saw a relay do otherwise than an item asks, each time that it is seen again. What they saw may have been
// in flight, and took its time to get here.
func (m *Monitor) RecordSighting(now int64, relay, item, evidence string) {
	r := m.relays[relay]
	if r == nil {
		m.counts.UnknownRelay++
		return
	}
	i, g := r.item(item), r.group(GroupOf(item))
	if i == nil || i.inSyncSince == 0 || now < i.inSyncReceivedAt+m.settings.InFlightGrace+g.lag.bound {
		return
	}
	s := i.ensureSuspicion()
	s.sightings++
	s.lastViolationAt = now
	s.addEvidence(evidence)
	if s.sightings >= confirmations {
		m.recordContradiction(now, r, i, evidence)
	}
}

// contradict notes that what a relay does contradicts its reports on an item.
func (m *Monitor) recordContradiction(now int64, r *relayState, i *trackedItem, evidence string) {
	s := i.ensureSuspicion()
	s.lastViolationAt = now
	if len(s.evidence) == 0 || s.evidence[len(s.evidence)-1] != sanitize(evidence, MaxReasonBytes) {
		s.addEvidence(evidence)
	}
	if !s.contradicted {
		s.contradicted = true
		r.group(GroupOf(i.agreed.Name)).settled = false
		if i.state <= Propagating {
			m.setState(now, r, i, Contradicting, evidence)
		}
	}
}

// forgive drops what a relay was seen to do once it has behaved for as long as the claim had to wait.
func (m *Monitor) expireSuspicion(now int64, r *relayState, g *groupState, i *trackedItem) {
	if r.silent || min(now, r.sentAt)-i.suspicion.lastViolationAt <= m.settings.InFlightGrace+g.lag.bound {
		return
	}
	i.suspicion.clear()
	for k := range r.activities {
		if r.activities[k].Item == i.agreed.Name {
			r.activities[k].baseViolations = r.activities[k].Violations
		}
	}
	if i.state == Contradicting {
		to := Propagating
		if i.inSyncSince > 0 {
			to = InSync
		}
		m.setState(now, r, i, to, "behaves")
	}
}

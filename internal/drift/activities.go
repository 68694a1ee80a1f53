package drift

import (
	"fmt"
	"slices"
)

// trackedActivity is one of a relay's activity counts, as last reported.
type trackedActivity struct {
	Activity
	baseViolations   uint64 // violations up to this number do not count against the relay
	sentAt           int64  // when the last report with this count was sent
	receivedAt       int64  // when that report was received
	violationsRoseAt int64  // when Violations last changed
}

// suspicion holds the reason and the evidence for a finding about an item.
type suspicion struct {
	reason          string // for the current state
	evidence        []string
	contradicted    bool  // the relay's behaviour was seen to contradict its reports
	sightings       int   // how often other relays saw such a contradiction
	lastViolationAt int64 // when a contradiction was last seen
}

func (s *suspicion) clear() { s.contradicted, s.sightings = false, 0 }

// addEvidence adds a piece of evidence. If there are MaxEvidence pieces, it replaces the newest one.
func (s *suspicion) addEvidence(evidence string) {
	if len(s.evidence) == MaxEvidence {
		s.evidence = s.evidence[:MaxEvidence-1]
	}
	s.evidence = append(s.evidence, sanitize(evidence, MaxReasonBytes))
}

// ensureSuspicion returns the item's suspicion, creating it if there is none.
func (i *trackedItem) ensureSuspicion() *suspicion {
	if i.suspicion == nil {
		i.suspicion = &suspicion{}
	}
	return i.suspicion
}

// handleActivity processes one of a relay's activity counts. Attempts that were in flight when the relay
// applied an item may still count as violations until InFlightGrace has passed. Violations are therefore
// counted from the first report after the grace. The grace must have passed both by the time of sending
// and by the time of receipt: a report may be delayed, and the relay's clock may be stepped.
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
		t.baseViolations = a.Violations // an isolated violation is ignored: an attempt that hung, or a race
	case a.Violations > t.Violations && a.Violations-t.baseViolations >= confirmations:
		// The text is shown in GET /-/drift, logs and quarantine reasons. It means: by its own count, the
		// relay sent this many new flows or attempts to members that it should not use, after it reported
		// to run the agreed version.
		m.recordContradiction(sentAt, r, i, fmt.Sprintf("%d sends of %q astray by its own count since it said that it runs %d", a.Violations-t.baseViolations, a.Kind, i.applied.Version))
	}
	if a.Violations != t.Violations {
		t.violationsRoseAt = sentAt
	}
	t.Activity, t.sentAt, t.receivedAt = a, sentAt, r.receivedAt
}

// RecordSighting records that other relays saw a relay contradict an item that it reports in sync. Call
// it for each time that this is seen. Sightings are ignored until InFlightGrace and the lag bound have
// passed since the first report in sync: the flows may have been in flight, and the sighting itself takes
// time to arrive.
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

// recordContradiction records that a relay's behaviour contradicts its reports on an item.
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

// expireSuspicion clears the contradictions of an item once none was seen for InFlightGrace plus the lag
// bound.
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
		m.setState(now, r, i, to, "behaves") // shown in logs: the relay no longer contradicts its reports
	}
}

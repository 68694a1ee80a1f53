package rollout

import (
	"fmt"
	"maps"
	"slices"
)

// This file counts what is out by plan (units, permits, quarantined relays) and what is unavailable for
// other reasons, and compares both with the budgets. Plan counts from the view; Apply counts from the
// state and the summary of the view in the command, with the same code.

// plannedOut returns the relays or members that are out by plan, including quarantined relays.
func (rec *record) plannedOut(kind Kind) []ZonedName {
	list := rec.grantedOut(kind)
	if kind == KindRelay {
		for i := range rec.Quarantines {
			if q := &rec.Quarantines[i]; !q.InService {
				list = append(list, ZonedName{q.Name, q.Zone})
			}
		}
	}
	return list
}

// grantedOut returns the relays or members that are out by a grant. A quarantined relay may be granted
// as well, because a release is how it is repaired.
func (rec *record) grantedOut(kind Kind) []ZonedName {
	var list []ZonedName
	for _, u := range rec.units() {
		if u.Kind == kind && u.isOut() {
			list = append(list, ZonedName{u.currentName(), u.Zone})
		}
	}
	for i := range rec.Permits {
		if p := &rec.Permits[i]; p.Kind == kind && p.inForce() {
			list = append(list, ZonedName{p.Name, p.Zone})
		}
	}
	return list
}

// coveredNames returns the names that are accounted for by what is out by plan. For a unit with a
// successor these are both names.
func (rec *record) coveredNames(kind Kind) map[string]bool {
	names := map[string]bool{}
	for _, out := range rec.plannedOut(kind) {
		names[out.Name] = true
	}
	for _, u := range rec.units() {
		if u.Kind == kind && u.isOut() {
			names[u.Name] = true
		}
	}
	return names
}

// summarizeRelays summarizes the relays of a view.
func (rec *record) summarizeRelays(v *View, b Budgets) KindSummary {
	s := KindSummary{CountByZone: map[string]int{}, CapacityKnown: len(v.Relays) > 0}
	covered := rec.coveredNames(KindRelay)
	for i := range v.Relays {
		r := &v.Relays[i]
		s.Load += float64(r.Flows)
		s.CapacityKnown = s.CapacityKnown && r.Capacity > 0
		switch {
		case covered[r.Name]:
			continue
		case r.healthy(b):
			s.RemainingCapacity += r.Capacity
		default:
			s.Unavailable = append(s.Unavailable, ZonedName{r.Name, r.Zone})
		}
		s.CountByZone[r.Zone]++
	}
	s.countPlannedOut(rec.plannedOut(KindRelay))
	return s
}

// summarizeMembers summarizes the members of a view. Replaced members that are not yet in full service
// contribute their usable capacity.
func (rec *record) summarizeMembers(v *View) KindSummary {
	s := KindSummary{CountByZone: map[string]int{}, Load: v.Load, CapacityKnown: len(v.Members) > 0}
	covered, replaced := rec.coveredNames(KindMember), map[string]bool{}
	for _, u := range rec.units() {
		if u.Phase == PhaseReplaced {
			replaced[u.currentName()] = true
		}
	}
	for i := range v.Members {
		m := &v.Members[i]
		s.CapacityKnown = s.CapacityKnown && m.Capacity > 0
		ejected := rec.isEjected(m.Name)
		if !m.Failing && !ejected && (!covered[m.Name] || replaced[m.Name]) {
			s.RemainingCapacity += m.UsableCapacity
		}
		if covered[m.Name] {
			continue
		}
		if ejected || !m.healthy() {
			s.Unavailable = append(s.Unavailable, ZonedName{m.Name, m.Zone})
		}
		s.CountByZone[m.Zone]++
	}
	s.countPlannedOut(rec.plannedOut(KindMember))
	return s
}

// countPlannedOut adds what is out by plan to the counts by zone, each name once.
func (s *KindSummary) countPlannedOut(planned []ZonedName) {
	seen := map[string]bool{}
	for _, out := range planned {
		if !seen[out.Name] {
			seen[out.Name] = true
			s.CountByZone[out.Zone]++
		}
	}
}

// allowance counts the relays or members that are out, and decides whether more may go out.
type allowance struct {
	budget          Budget
	capacityReserve float64
	summary         KindSummary
	total           int
	out             map[string]bool // by name: out by plan, or unavailable
	outByZone       map[string]int
	granted         map[string]bool // by name: out by a grant
}

func (rec *record) allowance(kind Kind, s KindSummary, b Budgets) *allowance {
	a := &allowance{budget: b.Members, capacityReserve: b.CapacityReserve, summary: s,
		out: map[string]bool{}, outByZone: map[string]int{}, granted: map[string]bool{}}
	if kind == KindRelay {
		a.budget = b.Relays
	}
	for _, n := range s.CountByZone {
		a.total += n
	}
	for _, out := range rec.plannedOut(kind) {
		a.add(out)
	}
	for _, out := range rec.grantedOut(kind) {
		a.granted[out.Name] = true
	}
	if plantedDefect != defectIgnoresFailures {
		for _, unavailable := range s.Unavailable {
			a.add(unavailable)
		}
	}
	return a
}

func (a *allowance) add(out ZonedName) {
	if !a.out[out.Name] {
		a.out[out.Name] = true
		a.outByZone[out.Zone]++
	}
}

// overdrawnReason returns which limit of the budget is exceeded and by what, or "".
func (a *allowance) overdrawnReason() string {
	if limit := a.budget.totalLimit(a.total); len(a.out) > limit {
		return fmt.Sprintf("%d are out, of %d that may be", len(a.out), limit)
	}
	for _, zone := range slices.Sorted(maps.Keys(a.outByZone)) {
		if limit := a.budget.zoneLimit(a.summary.CountByZone[zone]); a.outByZone[zone] > limit {
			return fmt.Sprintf("%d are out in zone %q, of %d that may be", a.outByZone[zone], zone, limit)
		}
	}
	return ""
}

// shortfallReason returns a text if the remaining capacity is below the load, without any reserve, or
// "". "Bears" in the texts of this file means capacity, "headroom" the capacity reserve.
func (a *allowance) shortfallReason() string {
	if s := &a.summary; s.CapacityKnown && s.RemainingCapacity < s.Load {
		return fmt.Sprintf("what is left bears %.0f, the load is %.0f", s.RemainingCapacity, s.Load)
	}
	return ""
}

// exhaustedReason returns overdrawnReason, or shortfallReason if that is empty.
func (a *allowance) exhaustedReason() string {
	if reason := a.overdrawnReason(); reason != "" {
		return reason
	}
	return a.shortfallReason()
}

// reserve counts a relay or member as out, or returns why it may not go out. One that is already
// unavailable counts against the limits already, and may go out unless a limit is exceeded.
func (a *allowance) reserve(name, zone string, capacity float64) string {
	if a.granted[name] {
		return name + " is out already"
	}
	if reason := a.overdrawnReason(); reason != "" {
		return reason
	}
	if !a.out[name] {
		if limit := a.budget.totalLimit(a.total); len(a.out)+1 > limit {
			return fmt.Sprintf("%d of %d that may be are out", len(a.out), limit)
		}
		if limit := a.budget.zoneLimit(a.summary.CountByZone[zone]); a.outByZone[zone]+1 > limit {
			return fmt.Sprintf("%d of %d that may be are out in zone %q", a.outByZone[zone], limit, zone)
		}
	}
	left, needed := a.summary.RemainingCapacity-capacity, a.summary.Load*(1+a.capacityReserve)
	if a.summary.CapacityKnown && capacity > 0 && left < needed {
		return fmt.Sprintf("what is left would bear %.0f, the load with headroom is %.0f", left, needed)
	}
	a.add(ZonedName{name, zone})
	a.granted[name] = true
	a.summary.RemainingCapacity = left
	return ""
}

// reserveQuarantine is reserve for a relay that is to be quarantined.
func (a *allowance) reserveQuarantine(name, zone string, capacity float64) string {
	if plantedDefect == defectQuarantineUnbounded {
		return ""
	}
	return a.reserve(name, zone, capacity)
}

// maxOutMS returns how long a unit may be out before it is overdue. Until three durations are recorded
// this is the sum of the timeouts in the budgets; then it is three times the longest recorded duration,
// at least SilentAfterMS and at most that sum.
func (rec *record) maxOutMS(kind Kind, b Budgets) int64 {
	initial, durations := b.DrainTimeoutMS+b.StartTimeoutMS+b.WarmupMS, rec.MemberDurationsMS
	if kind == KindRelay {
		initial, durations = b.DrainTimeoutMS+b.StartTimeoutMS, rec.RelayDurationsMS
	}
	if len(durations) < 3 {
		return initial
	}
	return min(initial, max(3*slices.Max(durations), b.SilentAfterMS))
}

// recordDuration stores how long a relay or member was out.
func (rec *record) recordDuration(kind Kind, ms int64) {
	durations := &rec.MemberDurationsMS
	switch kind {
	case KindRelay:
		durations = &rec.RelayDurationsMS
	case KindEject, KindReinstate:
		return
	}
	*durations = append(*durations, max(ms, 0))
	if len(*durations) > maxDurations {
		*durations = slices.Delete(*durations, 0, len(*durations)-maxDurations)
	}
}

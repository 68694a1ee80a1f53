package rollout

import (
	"fmt"
	"maps"
	"slices"
)

// The account: what is out by plan (units, permits, relays that are shut) and what is lost beside it, against the budgets. Plan and Apply
// count by the same code: Plan from the view, Apply from the state and the sight that stands in the command.

// plannedOut is what is out by plan.
func (d *record) plannedOut(kind Kind) []ZonedName {
	list := d.grantedOut(kind)
	for i := range d.Quarantines {
		if s := &d.Quarantines[i]; kind == KindRelay && !s.InService {
			list = append(list, ZonedName{s.Name, s.Zone})
		}
	}
	return list
}

// grantedOut is what is out by plan to go and come back. A relay that is shut may be given out beside: that is how it is mended.
func (d *record) grantedOut(kind Kind) []ZonedName {
	var list []ZonedName
	for i := range d.Releases {
		for j := range d.Releases[i].Units {
			if u := &d.Releases[i].Units[j]; u.Kind == kind && u.isOut() {
				list = append(list, ZonedName{u.currentName(), u.Zone})
			}
		}
	}
	for _, p := range d.Permits {
		if p.Kind == kind && (p.State == PermitGranted || p.State == PermitBegun) {
			list = append(list, ZonedName{p.Name, p.Zone})
		}
	}
	return list
}

// coveredNames are the names that a planned one stands for: its own, and its first.
func (d *record) coveredNames(kind Kind) map[string]bool {
	names := map[string]bool{}
	for _, p := range d.plannedOut(kind) {
		names[p.Name] = true
	}
	for i := range d.Releases {
		for j := range d.Releases[i].Units {
			if u := &d.Releases[i].Units[j]; u.Kind == kind && u.isOut() {
				names[u.Name] = true
			}
		}
	}
	return names
}

// healthy says that others see the relay serve, and that nothing it says itself speaks against it.
func (r *Relay) healthy(b Budgets) bool {
	return r.InService && !r.Exited && r.reporting(b) && (r.Phase == "serving" || r.Phase == "")
}

func (r *Relay) reporting(b Budgets) bool {
	return !r.Exited && r.ReportAgeMS >= 0 && r.ReportAgeMS <= b.SilentAfterMS
}

func (m *Member) healthy() bool { return !m.Failing && m.UsableCapacity >= m.Capacity }

func (m *Member) totalFlows() int {
	n := 0
	for _, h := range m.FlowsByRelay {
		n += h.Flows
	}
	return n
}

// summarizeRelays is the relays' side of a view.
func (d *record) summarizeRelays(v *View, b Budgets) KindSummary {
	s := KindSummary{CountByZone: map[string]int{}, CapacityKnown: len(v.Relays) > 0}
	covered := d.coveredNames(KindRelay)
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
	return s.withPlanned(d.plannedOut(KindRelay))
}

// summarizeMembers is the members' side. Those that come back bear what they bear.
func (d *record) summarizeMembers(v *View) KindSummary {
	s := KindSummary{CountByZone: map[string]int{}, Load: v.Load, CapacityKnown: len(v.Members) > 0}
	covered, coming := d.coveredNames(KindMember), map[string]bool{}
	for i := range d.Releases {
		for j := range d.Releases[i].Units {
			if u := &d.Releases[i].Units[j]; u.Phase == PhaseReplaced {
				coming[u.currentName()] = true
			}
		}
	}
	for i := range v.Members {
		m := &v.Members[i]
		s.CapacityKnown = s.CapacityKnown && m.Capacity > 0
		_, banned := d.findEjection(m.Name)
		if !m.Failing && !banned && (!covered[m.Name] || coming[m.Name]) {
			s.RemainingCapacity += m.UsableCapacity
		}
		if covered[m.Name] {
			continue
		}
		if banned || !m.healthy() {
			s.Unavailable = append(s.Unavailable, ZonedName{m.Name, m.Zone})
		}
		s.CountByZone[m.Zone]++
	}
	return s.withPlanned(d.plannedOut(KindMember))
}

// withPlanned counts those out by plan among what there is: each once.
func (s KindSummary) withPlanned(planned []ZonedName) KindSummary {
	seen := map[string]bool{}
	for _, p := range planned {
		if !seen[p.Name] {
			seen[p.Name] = true
			s.CountByZone[p.Zone]++
		}
	}
	return s
}

// allowance is what may still go out on one side.
type allowance struct {
	budget          Budget
	capacityReserve float64
	summary         KindSummary
	outByZone       map[string]int // out, by zone
	out             map[string]bool
	granted         map[string]bool // out to go and come back
	total           int
}

func (d *record) allowance(kind Kind, s KindSummary, b Budgets) *allowance {
	r := &allowance{budget: b.Members, capacityReserve: b.CapacityReserve, summary: s, outByZone: map[string]int{}, out: map[string]bool{}, granted: map[string]bool{}}
	if kind == KindRelay {
		r.budget = b.Relays
	}
	for _, n := range s.CountByZone {
		r.total += n
	}
	for _, p := range d.plannedOut(kind) {
		r.add(p)
	}
	for _, p := range d.grantedOut(kind) {
		r.granted[p.Name] = true
	}
	for _, p := range s.Unavailable {
		if plantedDefect != "no failures" {
			r.add(p)
		}
	}
	return r
}

// plantedDefect is a defect that a test switches on to see that it is found; "" else.
var plantedDefect string

func (r *allowance) add(p ZonedName) {
	if !r.out[p.Name] {
		r.out[p.Name] = true
		r.outByZone[p.Zone]++
	}
}

// overdrawn says what is overdrawn.
func (r *allowance) overdrawn() string {
	if most := r.budget.totalLimit(r.total); len(r.out) > most {
		return fmt.Sprintf("%d are out, of %d that may be", len(r.out), most)
	}
	for _, z := range slices.Sorted(maps.Keys(r.outByZone)) {
		if most := r.budget.zoneLimit(r.summary.CountByZone[z]); r.outByZone[z] > most {
			return fmt.Sprintf("%d are out in zone %q, of %d that may be", r.outByZone[z], z, most)
		}
	}
	return ""
}

// shortfall says that what is left does not even carry the load, headroom left aside.
func (r *allowance) shortfall() string {
	if r.summary.CapacityKnown && r.summary.RemainingCapacity < r.summary.Load {
		return fmt.Sprintf("what is left bears %.0f, the load is %.0f", r.summary.RemainingCapacity, r.summary.Load)
	}
	return ""
}

// reserve counts a thing as out, or says why it may not be. What is lost already costs nothing more, and goes out only while nothing is overdrawn.
func (r *allowance) reserve(name, zone string, bears float64) string {
	if r.granted[name] {
		return name + " is out already"
	}
	if why := r.overdrawn(); why != "" {
		return why
	}
	if !r.out[name] {
		if most := r.budget.totalLimit(r.total); len(r.out)+1 > most {
			return fmt.Sprintf("%d of %d that may be are out", len(r.out), most)
		}
		if most := r.budget.zoneLimit(r.summary.CountByZone[zone]); r.outByZone[zone]+1 > most {
			return fmt.Sprintf("%d of %d that may be are out in zone %q", r.outByZone[zone], most, zone)
		}
	}
	if r.summary.CapacityKnown && bears > 0 && r.summary.RemainingCapacity-bears < r.summary.Load*(1+r.capacityReserve) {
		return fmt.Sprintf("what is left would bear %.0f, the load with headroom is %.0f", r.summary.RemainingCapacity-bears, r.summary.Load*(1+r.capacityReserve))
	}
	r.add(ZonedName{name, zone})
	r.granted[name] = true
	r.summary.RemainingCapacity -= bears
	return ""
}

// reserveQuarantine is take for a relay that is to be shut.
func (r *allowance) reserveQuarantine(name, zone string, bears float64) string {
	if plantedDefect == "shut without budget" {
		return ""
	}
	return r.reserve(name, zone, bears)
}

// maxOutMS is how long a unit may be out: by what the last ones took, at first by the budgets.
func (d *record) maxOutMS(kind Kind, b Budgets) int64 {
	first, took := b.DrainMS+b.StartMS+b.WarmupMS, d.MemberDurationsMS
	if kind == KindRelay {
		first, took = b.DrainMS+b.StartMS, d.RelayDurationsMS
	}
	if len(took) < 3 {
		return first
	}
	return min(first, max(3*slices.Max(took), b.SilentAfterMS))
}

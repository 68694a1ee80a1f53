package rollout

import (
	"fmt"
	"maps"
	"slices"
)

// The account: what is out by plan (units, permits, relays that are shut) and what is lost beside it, against the budgets. Plan and Apply
// count by the same code: Plan from the view, Apply from the state and the sight that stands in the command.

// planned is what is out by plan.
func (d *record) planned(kind string) []ZonedName {
	list := d.given(kind)
	for i := range d.Quarantines {
		if s := &d.Quarantines[i]; kind == KindRelay && !s.InService {
			list = append(list, ZonedName{s.Name, s.Zone})
		}
	}
	return list
}

// given is what is out by plan to go and come back. A relay that is shut may be given out beside: that is how it is mended.
func (d *record) given(kind string) []ZonedName {
	var list []ZonedName
	for i := range d.Releases {
		for j := range d.Releases[i].Units {
			if u := &d.Releases[i].Units[j]; u.Kind == kind && u.isOut() {
				list = append(list, ZonedName{u.name(), u.Zone})
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

// covered are the names that a planned one stands for: its own, and its first.
func (d *record) covered(kind string) map[string]bool {
	names := map[string]bool{}
	for _, p := range d.planned(kind) {
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

// sound says that others see the relay serve, and that nothing it says itself speaks against it.
func (r *Relay) sound(b Budgets) bool {
	return r.InService && !r.Exited && r.live(b) && (r.Phase == "serving" || r.Phase == "")
}

func (r *Relay) live(b Budgets) bool {
	return !r.Exited && r.ReportAgeMS >= 0 && r.ReportAgeMS <= b.SilentAfterMS
}

func (m *Member) sound() bool { return !m.Failing && m.UsableCapacity >= m.Capacity }

func (m *Member) flows() int {
	n := 0
	for _, h := range m.FlowsByRelay {
		n += h.Flows
	}
	return n
}

// relays is the relays' side of a view.
func (d *record) relays(v *View, b Budgets) KindSummary {
	s := KindSummary{CountByZone: map[string]int{}, CapacityKnown: len(v.Relays) > 0}
	covered := d.covered(KindRelay)
	for i := range v.Relays {
		r := &v.Relays[i]
		s.Load += float64(r.Flows)
		s.CapacityKnown = s.CapacityKnown && r.Capacity > 0
		switch {
		case covered[r.Name]:
			continue
		case r.sound(b):
			s.RemainingCapacity += r.Capacity
		default:
			s.Unavailable = append(s.Unavailable, ZonedName{r.Name, r.Zone})
		}
		s.CountByZone[r.Zone]++
	}
	return s.with(d.planned(KindRelay))
}

// members is the members' side. Those that come back bear what they bear.
func (d *record) members(v *View) KindSummary {
	s := KindSummary{CountByZone: map[string]int{}, Load: v.Load, CapacityKnown: len(v.Members) > 0}
	covered, coming := d.covered(KindMember), map[string]bool{}
	for i := range d.Releases {
		for j := range d.Releases[i].Units {
			if u := &d.Releases[i].Units[j]; u.Phase == PhaseReplaced {
				coming[u.name()] = true
			}
		}
	}
	for i := range v.Members {
		m := &v.Members[i]
		s.CapacityKnown = s.CapacityKnown && m.Capacity > 0
		_, banned := d.banned(m.Name)
		if !m.Failing && !banned && (!covered[m.Name] || coming[m.Name]) {
			s.RemainingCapacity += m.UsableCapacity
		}
		if covered[m.Name] {
			continue
		}
		if banned || !m.sound() {
			s.Unavailable = append(s.Unavailable, ZonedName{m.Name, m.Zone})
		}
		s.CountByZone[m.Zone]++
	}
	return s.with(d.planned(KindMember))
}

// with counts those out by plan among what there is: each once.
func (s KindSummary) with(planned []ZonedName) KindSummary {
	seen := map[string]bool{}
	for _, p := range planned {
		if !seen[p.Name] {
			seen[p.Name] = true
			s.CountByZone[p.Zone]++
		}
	}
	return s
}

// room is what may still go out on one side.
type room struct {
	budget   Budget
	headroom float64
	side     KindSummary
	zones    map[string]int // out, by zone
	out      map[string]bool
	planned  map[string]bool // out to go and come back
	total    int
}

func (d *record) room(kind string, s KindSummary, b Budgets) *room {
	r := &room{budget: b.Members, headroom: b.CapacityReserve, side: s, zones: map[string]int{}, out: map[string]bool{}, planned: map[string]bool{}}
	if kind == KindRelay {
		r.budget = b.Relays
	}
	for _, n := range s.CountByZone {
		r.total += n
	}
	for _, p := range d.planned(kind) {
		r.add(p)
	}
	for _, p := range d.given(kind) {
		r.planned[p.Name] = true
	}
	for _, p := range s.Unavailable {
		if planted != "no failures" {
			r.add(p)
		}
	}
	return r
}

// planted is a defect that a test switches on to see that it is found; "" else.
var planted string

func (r *room) add(p ZonedName) {
	if !r.out[p.Name] {
		r.out[p.Name] = true
		r.zones[p.Zone]++
	}
}

// over says what is overdrawn.
func (r *room) over() string {
	if most := r.budget.whole(r.total); len(r.out) > most {
		return fmt.Sprintf("%d are out, of %d that may be", len(r.out), most)
	}
	for _, z := range slices.Sorted(maps.Keys(r.zones)) {
		if most := r.budget.zone(r.side.CountByZone[z]); r.zones[z] > most {
			return fmt.Sprintf("%d are out in zone %q, of %d that may be", r.zones[z], z, most)
		}
	}
	return ""
}

// short says that what is left does not even carry the load, headroom left aside.
func (r *room) short() string {
	if r.side.CapacityKnown && r.side.RemainingCapacity < r.side.Load {
		return fmt.Sprintf("what is left bears %.0f, the load is %.0f", r.side.RemainingCapacity, r.side.Load)
	}
	return ""
}

// take counts a thing as out, or says why it may not be. What is lost already costs nothing more, and goes out only while nothing is overdrawn.
func (r *room) take(name, zone string, bears float64) string {
	if r.planned[name] {
		return name + " is out already"
	}
	if why := r.over(); why != "" {
		return why
	}
	if !r.out[name] {
		if most := r.budget.whole(r.total); len(r.out)+1 > most {
			return fmt.Sprintf("%d of %d that may be are out", len(r.out), most)
		}
		if most := r.budget.zone(r.side.CountByZone[zone]); r.zones[zone]+1 > most {
			return fmt.Sprintf("%d of %d that may be are out in zone %q", r.zones[zone], most, zone)
		}
	}
	if r.side.CapacityKnown && bears > 0 && r.side.RemainingCapacity-bears < r.side.Load*(1+r.headroom) {
		return fmt.Sprintf("what is left would bear %.0f, the load with headroom is %.0f", r.side.RemainingCapacity-bears, r.side.Load*(1+r.headroom))
	}
	r.add(ZonedName{name, zone})
	r.planned[name] = true
	r.side.RemainingCapacity -= bears
	return ""
}

// shut is take for a relay that is to be shut.
func (r *room) shut(name, zone string, bears float64) string {
	if planted == "shut without budget" {
		return ""
	}
	return r.take(name, zone, bears)
}

// bound is how long a unit may be out: by what the last ones took, at first by the budgets.
func (d *record) bound(kind string, b Budgets) int64 {
	first, took := b.DrainMS+b.StartMS+b.WarmupMS, d.MemberDurationsMS
	if kind == KindRelay {
		first, took = b.DrainMS+b.StartMS, d.RelayDurationsMS
	}
	if len(took) < 3 {
		return first
	}
	return min(first, max(3*slices.Max(took), b.SilentAfterMS))
}

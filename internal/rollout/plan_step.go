package rollout

import (
	"cmp"
	"slices"
)

// stepCommand returns the step that grants what may go out now, or nil. Permits come first, because their
// requesters wait outside the fleet, then releases in the order in which they were opened. Once a
// release has waited for half of maxOutMS, releases come first, so that a steady flow of permits cannot
// block them. Stalled has, by release, the reason why none of its units may go out. Releases that wait for a
// unit to return to service are not in it.
func (p *planner) stepCommand() (step *Command, stalled map[string]string) {
	step = &Command{Kind: CommandStep, BaseVersion: p.record.Version, ViewSummary: p.viewSummary()}
	stalled = map[string]string{}
	if len(p.view.Relays) == 0 || p.now-p.view.At > p.budgets.ViewMaxAgeMS {
		return nil, stalled
	}
	starved := p.releaseStarved()
	if !starved {
		p.grantPermits(step)
	}
	migrating := p.migratingFlows()
	for i := range p.record.Releases {
		r := &p.record.Releases[i]
		if r.State != ReleaseRollingBack && (r.State != ReleaseRunning || p.view.Drift != "") {
			continue
		}
		before := len(step.Grants)
		reason := p.grantUnits(step, r, &migrating)
		waitsForUnit := slices.ContainsFunc(r.Units, func(u Unit) bool { return u.isOut() && !u.Stranded })
		if len(step.Grants) == before && !waitsForUnit && reason != "" {
			stalled[r.Name] = reason
		}
	}
	if starved {
		p.grantPermits(step)
	}
	if len(step.Grants) == 0 {
		return nil, stalled
	}
	return step, stalled
}

// releaseStarved reports whether an active release has had no unit out for half of maxOutMS.
func (p *planner) releaseStarved() bool {
	return slices.ContainsFunc(p.record.Releases, func(r release) bool {
		return (r.State == ReleaseRunning || r.State == ReleaseRollingBack) && !r.hasUnitOut() &&
			p.now-r.activeSince() > p.record.maxOutMS(r.Spec.Kind, p.budgets)/2
	})
}

// grantUnits adds to a step the units of a release that may go out. It returns why the last unit that was
// not granted is blocked. Migrating accumulates the flows that leaving members give up.
func (p *planner) grantUnits(step *Command, r *release, migrating *int) (blocked string) {
	blocked = p.view.Drift
	for _, u := range p.candidates(r) {
		if len(step.Grants) >= MaxGrantsPerStep {
			break
		}
		g := p.newGrant(u)
		g.Release, g.Unit, g.Zone = r.Name, u.Name, ""
		if change := u.ejectionChange(); change >= 0 {
			if change == 0 && !p.present(u) {
				blocked = u.currentName() + " is not there"
				continue
			}
			if reason := p.allowanceFor(u.Kind).reserve(u.currentName(), u.Zone, g.Capacity); reason != "" {
				blocked = reason
				continue
			}
		}
		if u.Kind == KindMember {
			*migrating += p.members[u.currentName()].totalFlows()
			g.MigrateOverMS = p.migrateOverMS(*migrating)
		}
		step.Grants = append(step.Grants, g)
		if r.Spec.FirstAlone && !r.firstDone() {
			break
		}
	}
	return blocked
}

// grantPermits adds to a step the permits that may be granted, in the order in which they were requested.
func (p *planner) grantPermits(step *Command) {
	for i := range p.record.Permits {
		x := &p.record.Permits[i]
		u := Unit{Name: x.Name, Kind: x.Kind}
		if x.State != PermitWaiting || p.now-x.RequestedAt > permitRequestTimeoutMS || !p.present(&u) || len(step.Grants) >= MaxGrantsPerStep {
			continue
		}
		g := p.newGrant(&u)
		if p.allowanceFor(u.Kind).reserve(u.currentName(), g.Zone, g.Capacity) == "" {
			g.Permit = x.Number
			step.Grants = append(step.Grants, g)
		}
	}
}

// newGrant returns a grant for a unit with its zone, capacity and start as seen in the view.
func (p *planner) newGrant(u *Unit) Grant {
	g := Grant{Capacity: p.usableCapacity(u)}
	if u.Kind == KindRelay {
		if r := p.relays[u.Name]; r != nil {
			g.Zone, g.SeenStart = r.Zone, int64(r.StartNumber)
		}
	} else if m := p.members[u.currentName()]; m != nil {
		g.Zone, g.SeenStart = m.Zone, m.Started
	}
	return g
}

// candidates returns the units of a release that may go out, in order; those that are unavailable already
// come last. A rollback takes the most recently ordered units first.
func (p *planner) candidates(r *release) []*Unit {
	if r.Spec.FirstAlone && r.State == ReleaseRunning && !r.firstDone() && r.hasUnitOut() {
		return nil
	}
	var available, unavailable []*Unit
	zone, zoneFound := "", false // with ZoneByZone: the zone of the first unit that is pending or out
	for i := range r.Units {
		u := &r.Units[i]
		if !zoneFound && r.Spec.ZoneByZone && r.State == ReleaseRunning && (u.Phase == PhasePending || u.isOut()) {
			zone, zoneFound = u.Zone, true
		}
		if !r.grantable(u) || u.Stranded || zoneFound && u.Zone != zone {
			continue
		}
		if p.allowanceFor(u.Kind).out[u.currentName()] && u.ejectionChange() >= 0 {
			unavailable = append(unavailable, u)
		} else {
			available = append(available, u)
		}
	}
	if r.State == ReleaseRollingBack {
		latestFirst := func(x, y *Unit) int { return cmp.Compare(y.OrderNumber, x.OrderNumber) }
		slices.SortStableFunc(available, latestFirst)
		slices.SortStableFunc(unavailable, latestFirst)
	}
	return append(available, unavailable...)
}

// firstDone reports whether a unit of the release is done.
func (r *release) firstDone() bool {
	return slices.ContainsFunc(r.Units, func(u Unit) bool { return u.Phase == PhaseDone })
}

// migratingFlows returns the number of flows at members that are ordered to leave.
func (p *planner) migratingFlows() int {
	n := 0
	for _, u := range p.record.units() {
		if m := p.members[u.currentName()]; u.Kind == KindMember && u.Phase == PhaseLeaving && m != nil {
			n += m.totalFlows()
		}
	}
	return n
}

// migrateOverMS returns how long the given number of flows takes to migrate, at most DrainTimeoutMS. The
// rate is the sum of the new flows per second that the remaining members accept. If a member's rate is
// unknown, the rate is the remaining capacity over the time of a slow start.
func (p *planner) migrateOverMS(flows int) int64 {
	rate, known := 0.0, true
	covered := p.record.coveredNames(KindMember)
	for i := range p.view.Members {
		m := &p.view.Members[i]
		if !covered[m.Name] && !p.allowances[KindMember].granted[m.Name] && p.usableCapacity(&Unit{Name: m.Name, Kind: KindMember}) > 0 {
			rate, known = rate+m.NewFlowsPerSecond, known && m.NewFlowsPerSecond > 0
		}
	}
	if !known || rate <= 0 {
		rate = p.allowances[KindMember].summary.RemainingCapacity / (float64(max(p.budgets.WarmupMS, 1)) / 1000)
	}
	if flows == 0 || rate <= 0 {
		return 0
	}
	return min(int64(float64(flows)/rate*1000)+1, p.budgets.DrainTimeoutMS)
}

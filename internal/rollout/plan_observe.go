package rollout

import "cmp"

// observations returns the progress in the view that the state does not record yet.
func (p *planner) observations() []Observation {
	var list []Observation
	for r, u := range p.record.units() {
		o, ok := p.observeUnit(r, u)
		if !ok && r.State == ReleaseRollingBack && p.overdue(r, u) && !u.Stranded {
			o, ok = Observation{Stranded: true}, true
		}
		if !ok {
			continue
		}
		o.Release, o.Unit, o.OrderVersion = r.Name, u.Name, u.OrderVersion
		if m := p.members[o.Successor]; m != nil && o.Phase == PhaseReplaced {
			o.Zone = m.Zone
		}
		list = append(list, o)
		p.observed[unitKey{r.Name, u.Name}] = true
	}
	for i := range p.record.Permits {
		if x := &p.record.Permits[i]; x.State == PermitBegun && p.permitReturned(x) {
			list = append(list, Observation{Permit: x.Number})
		}
	}
	for i := range p.record.Quarantines {
		if o, ok := p.observeReadmitted(&p.record.Quarantines[i]); ok {
			list = append(list, o)
		}
	}
	return list
}

// observeReadmitted returns whether a readmitted relay is seen to serve, or needs no more tracking.
func (p *planner) observeReadmitted(q *Quarantine) (Observation, bool) {
	r := p.relays[q.Name]
	switch _, unfit := p.view.Unfit[q.Name]; {
	case q.ReadmittedVersion == 0:
	case r == nil || q.InService && r.reporting(p.budgets) && (!unfit || r.StartNumber > q.StartNumber):
		return Observation{Quarantine: q.Number, Phase: PhaseMissing}, true
	case !q.InService && r.healthy(p.budgets) && r.AppliedVersion >= q.ReadmittedVersion:
		// With an older version it may still apply the quarantine order.
		return Observation{Quarantine: q.Number, Phase: PhaseDone}, true
	}
	return Observation{}, false
}

// observeUnit returns the next phase of a unit, and whether it has progressed to it.
func (p *planner) observeUnit(r *release, u *Unit) (Observation, bool) {
	if u.Kind == KindEject || u.Kind == KindReinstate {
		return Observation{Phase: PhaseDone}, u.Phase == PhaseLeaving && p.appliedEverywhere(u.OrderVersion)
	}
	if u.Phase == PhasePending && r.State == ReleaseRunning && !p.present(u) && p.onlyMissingLeft(r) && !p.isGranted(u) &&
		p.now-r.activeSince() > p.budgets.StartTimeoutMS+p.budgets.SilentAfterMS {
		// This is longer than a crashed unit takes to return.
		return Observation{Phase: PhaseMissing}, true
	}
	if u.Phase == PhaseDone && u.Stranded {
		return Observation{Phase: PhasePending}, p.present(u) && !p.isGranted(u)
	}
	if u.Stranded && u.isOut() && r.ended() && !p.present(u) {
		return Observation{Phase: PhaseMissing}, true // the unit is not expected to return
	}
	if u.Phase == PhaseDone && r.Spec.Drain && u.Kind == KindMember {
		return Observation{Phase: PhaseDrained, SeenStart: u.SeenStart}, p.present(u)
	}
	switch {
	case !u.isOut():
		return Observation{}, false
	case u.Kind == KindRelay:
		return p.observeRelay(r, u)
	}
	return p.observeMember(r, u)
}

func (p *planner) observeRelay(r *release, u *Unit) (Observation, bool) {
	relay := p.relays[u.Name]
	if relay == nil {
		return Observation{}, false
	}
	inService := relay.healthy(p.budgets)
	if plantedDefect == defectTrustsOwnReport {
		inService = relay.Phase == relayServing
	}
	// A quarantined relay takes no clients and counts as out for that reason. For its revoked order to end,
	// it only has to report that it is not draining.
	if q := p.record.findQuarantine(u.Name); u.Phase == PhaseRevoked && q != nil && !q.InService {
		inService = relay.reporting(p.budgets) && (relay.Phase == relayServing || relay.Phase == relayQuarantined)
	}
	if !inService {
		return Observation{}, false
	}
	program, config := r.targetVersion(u)
	onTarget := (program == "" || program == relay.Program) && (config == "" || config == relay.Config)
	restarted := relay.StartNumber > uint64(u.SeenStart)
	switch {
	case u.Phase == PhaseLeaving:
		return Observation{Phase: PhaseDone}, restarted && onTarget
	case relay.AppliedVersion < u.OrderVersion:
		return Observation{}, false // it may still follow the order that was revoked
	case onTarget && (restarted || program+config != ""):
		return Observation{Phase: PhaseDone}, true
	}
	return Observation{Phase: PhasePending}, true
}

func (p *planner) observeMember(r *release, u *Unit) (Observation, bool) {
	m := p.members[u.currentName()]
	program, _ := r.targetVersion(u)
	// A member that does not report its program counts as on target. During a rollback the owner may put
	// back the previous program even if the unit was not updated.
	onTarget := func(m *Member) bool {
		return program == "" || m.Program == "" || m.Program == program || r.RollingBack && m.Program == u.PreviousProgram
	}
	switch {
	case u.Phase == PhaseLeaving:
		o := Observation{Phase: PhaseDrained, SeenStart: u.SeenStart}
		if m != nil {
			o.SeenStart = m.Started
		}
		return o, p.drained(u, m)
	case r.Spec.Drain && u.Phase != PhaseRevoked:
		return Observation{Phase: PhaseDone}, m == nil // not a member any more, so it does not count as out
	case m == nil && r.Spec.Drain:
		return Observation{}, false
	case m == nil:
		name := p.findSuccessor(u, onTarget)
		return Observation{Phase: PhaseReplaced, Successor: name}, name != ""
	case u.Phase == PhaseDrained: // a member that crashed and came back unchanged is still to be replaced
		return Observation{Phase: PhaseReplaced, Successor: m.Name}, m.Started > u.SeenStart && onTarget(m)
	case !p.inFullService(m) || u.Phase == PhaseRevoked && !p.appliedEverywhere(u.OrderVersion):
		return Observation{}, false
	case u.Phase == PhaseRevoked && !(program != "" && program == m.Program):
		return Observation{Phase: PhasePending}, true
	case program != "" && m.Program != "" && program != m.Program:
		// Not on target, but accepted as in service once the release no longer runs.
		return Observation{Phase: PhasePending}, !u.Reverting && r.State != ReleaseRunning
	}
	return Observation{Phase: PhaseDone}, true
}

// onlyMissingLeft reports whether no unit of the release is out or pending in the view, so that only
// missing units hold up the release.
func (p *planner) onlyMissingLeft(r *release) bool {
	for i := range r.Units {
		if u := &r.Units[i]; u.isOut() || u.Phase == PhasePending && p.present(u) {
			return false
		}
	}
	return true
}

// appliedEverywhere reports whether every reporting relay has applied the given version of the state.
func (p *planner) appliedEverywhere(version uint64) bool {
	for i := range p.view.Relays {
		if r := &p.view.Relays[i]; r.reporting(p.budgets) && r.AppliedVersion < version {
			return false
		}
	}
	return len(p.view.Relays) > 0
}

// drained reports whether no relay has a flow at a member: every reporting relay has applied the order
// and reports none, and every silent relay has been silent for longer than it can keep flows there.
func (p *planner) drained(u *Unit, m *Member) bool {
	if !p.appliedEverywhere(u.OrderVersion) {
		return false
	}
	for i := range p.view.Relays {
		r := &p.view.Relays[i]
		switch {
		case r.Exited:
		case !r.reporting(p.budgets):
			if r.ReportAgeMS <= p.budgets.FlowHoldMS {
				return false
			}
		case m != nil && m.FlowsByRelay[r.Name].Flows > 0:
			return false
		}
	}
	return true
}

// inFullService reports whether a member is healthy, out of slow start and not ejected.
func (p *planner) inFullService(m *Member) bool { return m.healthy() && !p.record.isEjected(m.Name) }

// findSuccessor returns the name of the new member that replaces a missing one, or "". It prefers the
// earliest started member in the unit's zone. A member of another zone qualifies only after the time
// allowed to drain and start, so that one in the unit's own zone can appear first.
func (p *planner) findSuccessor(u *Unit, onTarget func(*Member) bool) string {
	var best *Member
	for i := range p.view.Members {
		m := &p.view.Members[i]
		sameZone := m.Zone == u.Zone
		if p.claimed[m.Name] || m.Started <= u.OrderedAt || !onTarget(m) || !sameZone && p.now-u.OrderedAt < p.budgets.DrainTimeoutMS+p.budgets.StartTimeoutMS {
			continue
		}
		bestSameZone := best != nil && best.Zone == u.Zone
		if best == nil || sameZone && !bestSameZone || sameZone == bestSameZone && m.Started < best.Started {
			best = m
		}
	}
	if best == nil {
		return ""
	}
	p.claimed[best.Name] = true
	return best.Name
}

// permitReturned reports whether a begun permit ends. This is the case if its target is seen in full
// service after the holder can no longer take it down: the permit has expired or was returned, and
// SilentAfterMS has passed, so that the view is more recent. A later start of the target proves nothing,
// because the target may have crashed just before.
//
// The permit also ends if the target is not back within maxOutMS; the target then counts as unavailable.
// A target that is not in the view would be counted nowhere, so then the permit must have been returned
// as well.
func (p *planner) permitReturned(x *Permit) bool {
	holdEndsAt := cmp.Or(x.ReturnedAt, x.ExpiresAt) + p.budgets.SilentAfterMS
	if p.now <= holdEndsAt && plantedDefect != defectTrustsOwnReport {
		return false
	}
	overdue := p.now > holdEndsAt+p.record.maxOutMS(x.Kind, p.budgets)
	if x.Kind == KindRelay {
		r := p.relays[x.Name]
		return r == nil && x.ReturnedAt > 0 && overdue ||
			r != nil && (overdue || r.healthy(p.budgets) || plantedDefect == defectTrustsOwnReport && r.Phase == relayServing)
	}
	if m := p.members[x.Name]; m != nil {
		return overdue || p.inFullService(m)
	}
	name := p.findSuccessor(&Unit{Zone: x.Zone, OrderedAt: x.StateSince}, func(*Member) bool { return true })
	return x.ReturnedAt > 0 && overdue || name != "" && p.inFullService(p.members[name])
}

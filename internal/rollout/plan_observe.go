package rollout

import "cmp"

// observations are what others see of units, permits and readmitted relays that the state does not know yet.
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

// observeReadmitted says whether a readmitted relay serves, or needs no tracking any more.
func (p *planner) observeReadmitted(q *Quarantine) (Observation, bool) {
	r := p.relays[q.Name]
	switch _, unfit := p.view.Unfit[q.Name]; {
	case q.ReadmittedVersion == 0:
	case r == nil || q.InService && r.reporting(p.budgets) && (!unfit || r.StartNumber > q.StartNumber):
		return Observation{Quarantine: q.Number, Phase: PhaseMissing}, true
	case !q.InService && r.healthy(p.budgets) && r.AppliedVersion >= q.ReadmittedVersion: // before that it may yet follow the old order
		return Observation{Quarantine: q.Number, Phase: PhaseDone}, true
	}
	return Observation{}, false
}

// observeUnit says whether a unit has progressed, and to which phase.
func (p *planner) observeUnit(r *release, u *Unit) (Observation, bool) {
	if u.Kind == KindEject || u.Kind == KindReinstate {
		return Observation{Phase: PhaseDone}, u.Phase == PhaseLeaving && p.appliedEverywhere(u.OrderVersion)
	}
	if u.Phase == PhasePending && r.State == ReleaseRunning && !p.present(u) && p.onlyMissingLeft(r) && !p.isGranted(u) &&
		p.now-r.activeSince() > p.budgets.StartTimeoutMS+p.budgets.SilentAfterMS { // longer than a crashed one takes to return
		return Observation{Phase: PhaseMissing}, true
	}
	if u.Phase == PhaseDone && u.Stranded {
		return Observation{Phase: PhasePending}, p.present(u) && !p.isGranted(u)
	}
	if u.Stranded && u.isOut() && r.ended() && !p.present(u) {
		return Observation{Phase: PhaseMissing}, true // nobody knows of it any more
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
	// One that is quarantined serves nobody, and counts as such: that it is not about to leave is enough.
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
		return Observation{}, false // it may yet follow the order that was revoked
	case onTarget && (restarted || program+config != ""):
		return Observation{Phase: PhaseDone}, true
	}
	return Observation{Phase: PhasePending}, true
}

func (p *planner) observeMember(r *release, u *Unit) (Observation, bool) {
	m := p.members[u.currentName()]
	program, _ := r.targetVersion(u)
	// A member that does not report its program is on target. During a rollback its owner may put back what was there before at once.
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
		return Observation{Phase: PhaseDone}, m == nil // gone for good: no member any more, so not out
	case m == nil && r.Spec.Drain:
		return Observation{}, false
	case m == nil:
		name := p.findSuccessor(u, onTarget)
		return Observation{Phase: PhaseReplaced, Successor: name}, name != ""
	case u.Phase == PhaseDrained: // one that crashed and came back as it was is still to be replaced
		return Observation{Phase: PhaseReplaced, Successor: m.Name}, m.Started > u.SeenStart && onTarget(m)
	case !p.inFullService(m) || u.Phase == PhaseRevoked && !p.appliedEverywhere(u.OrderVersion):
		return Observation{}, false
	case u.Phase == PhaseRevoked && !(program != "" && program == m.Program):
		return Observation{Phase: PhasePending}, true
	case program != "" && m.Program != "" && program != m.Program: // not on target, but in service all the same, once nothing waits for it
		return Observation{Phase: PhasePending}, !u.Reverting && r.State != ReleaseRunning
	}
	return Observation{Phase: PhaseDone}, true
}

// onlyMissingLeft says that all else of a release is finished, so that a unit that is not there holds it up.
func (p *planner) onlyMissingLeft(r *release) bool {
	for i := range r.Units {
		if u := &r.Units[i]; u.isOut() || u.Phase == PhasePending && p.present(u) {
			return false
		}
	}
	return true
}

// appliedEverywhere says that every relay that reports has applied a version of the state.
func (p *planner) appliedEverywhere(version uint64) bool {
	for i := range p.view.Relays {
		if r := &p.view.Relays[i]; r.reporting(p.budgets) && r.AppliedVersion < version {
			return false
		}
	}
	return len(p.view.Relays) > 0
}

// drained says that no relay has a flow at a member: each that reports has said so after it applied the order, and each silent one is past the
// time for which it still could.
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

// inFullService says that a member takes its full share of the load.
func (p *planner) inFullService(m *Member) bool { return m.healthy() && !p.record.isEjected(m.Name) }

// findSuccessor is the new member that has come in the place of one that is gone: the earliest of its zone; one of another zone only once its own
// has had the time to come.
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

// permitReturned says that others see the thing of a begun permit in full service, when its holder may not take it down any more: the time for
// that is over, or the permit was returned; and so long ago that the view is of after that. A later start proves nothing: the thing may have
// crashed just before. One that is not back within the time that a unit may take is lost, and counts as that; if it is not even in the view it
// would count nowhere, so its permit has to be returned.
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

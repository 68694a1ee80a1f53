package rollout

import "fmt"

// haltCommand halts the first release that has a cause to.
func (p *planner) haltCommand(stalled map[string]string) *Command {
	for i := range p.record.Releases {
		r := &p.record.Releases[i]
		verdict := p.view.Degraded != "" && (p.view.DegradedRelease == "" || p.view.DegradedRelease == r.Name)
		if r.State != ReleaseRunning && r.State != ReleaseRollingBack && !(r.State == ReleaseHalted && verdict && !r.Halt.NeedsOperator && !r.RollingBack) {
			continue
		}
		if cause, reason := p.haltCause(r, verdict, stalled); cause != "" {
			return &Command{Kind: CommandHalt, Name: r.Name, Cause: cause, Reason: truncate(reason, MaxReasonBytes), BaseVersion: p.record.Version}
		}
	}
	return nil
}

// haltCause is why a release is to halt; "" if it is not. One that rolls back halts only where nothing of it can go: what is bad about the fleet
// then may be what it reverts.
func (p *planner) haltCause(r *release, verdict bool, stalled map[string]string) (cause Cause, reason string) {
	if !r.RollingBack {
		cause, reason = p.forwardHaltCause(r, verdict)
	}
	if cause == "" && stalled[r.Name] != "" && p.now-r.activeSince() > p.record.maxOutMS(r.Spec.Kind, p.budgets) {
		return HaltStalled, stalled[r.Name]
	}
	return cause, reason
}

func (p *planner) forwardHaltCause(r *release, verdict bool) (cause Cause, reason string) {
	if verdict {
		return HaltVerdict, p.view.Degraded
	}
	if p.view.Drift != "" && p.view.DriftMS > p.budgets.DriftHaltMS {
		return HaltDrift, p.view.Drift
	}
	if reason := p.allowanceFor(r.Spec.Kind).exhaustedReason(); reason != "" {
		return HaltOverBudget, reason
	}
	for i := range r.Units {
		if u := &r.Units[i]; u.isOut() && p.overdue(r, u) && !p.observed[unitKey{r.Name, u.Name}] {
			return HaltOverdue, fmt.Sprintf("%s %s is %s for %d ms", u.Kind, u.currentName(), u.Phase, p.now-u.OrderedAt)
		}
	}
	if r.degraded(p.budgets.ServiceTolerance, p.view.Service, max(r.UnitsSetAt, r.ResumedAt)) {
		return HaltServiceDegraded, fmt.Sprintf("it was %.4f before", r.Served/r.Requested)
	}
	return "", ""
}

// resumeCommand resumes the first release whose halt's cause is gone, if that needs no operator. A cause has to be gone for as long as a silence
// takes to be one.
func (p *planner) resumeCommand() *Command {
	for i := range p.record.Releases {
		r := &p.record.Releases[i]
		if r.State != ReleaseHalted || r.Halt.NeedsOperator || p.now-r.Halt.HaltedAt < p.budgets.SilentAfterMS {
			continue
		}
		if p.haltCauseGone(r) {
			return &Command{Kind: CommandResume, Name: r.Name, Cause: r.Halt.Cause, BaseVersion: p.record.Version}
		}
	}
	return nil
}

func (p *planner) haltCauseGone(r *release) bool {
	switch r.Halt.Cause {
	case HaltOverBudget:
		return p.allowanceFor(r.Spec.Kind).exhaustedReason() == ""
	case HaltOverdue:
		return !r.hasUnitReturning()
	case HaltServiceDegraded:
		return !r.hasUnitReturning() && !r.degraded(p.budgets.ServiceTolerance, p.view.Service, r.Halt.HaltedAt)
	case HaltDrift:
		return p.view.Drift == ""
	case HaltStalled:
		return p.canGrant(r)
	}
	return false
}

// hasUnitReturning says whether a unit is out that is to come back.
func (r *release) hasUnitReturning() bool {
	return findFirst(r.Units, func(u *Unit) bool { return u.isOut() && !(r.Spec.Drain && u.Phase == PhaseDrained) }) != nil
}

// canGrant says whether a halted release could let something out if it went on.
func (p *planner) canGrant(r *release) bool {
	resumed := *r
	resumed.State = resumed.activeState()
	kind := budgetKind(r.Spec.Kind)
	a := p.record.allowance(kind, p.allowances[kind].summary, p.budgets)
	for _, u := range p.candidates(&resumed) {
		if u.ejectionChange() < 0 || p.present(u) && a.reserve(u.currentName(), u.Zone, p.usableCapacity(u)) == "" {
			return true
		}
	}
	return false
}

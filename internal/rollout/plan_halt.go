package rollout

import "fmt"

// haltCommand returns the command that halts the first release with a cause to halt, or nil.
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

// haltCause returns why a release must halt; the cause is "" if it need not. A release that rolls back
// halts only if it is stalled, because what degrades the fleet may be what it reverts. Verdict means that
// View.Degraded applies to the release.
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

// resumeCommand returns the command that resumes the first halted release to which the cause of its halt
// no longer applies, unless only an operator may resume it. No release resumes within SilentAfterMS of its
// halt, so that failures that continue are seen first.
func (p *planner) resumeCommand() *Command {
	for i := range p.record.Releases {
		r := &p.record.Releases[i]
		if r.State != ReleaseHalted || r.Halt.NeedsOperator || p.now-r.Halt.HaltedAt < p.budgets.SilentAfterMS {
			continue
		}
		if p.haltCauseCleared(r) {
			return &Command{Kind: CommandResume, Name: r.Name, Cause: r.Halt.Cause, BaseVersion: p.record.Version}
		}
	}
	return nil
}

func (p *planner) haltCauseCleared(r *release) bool {
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

// hasUnitReturning reports whether a unit is out that is expected to come back.
func (r *release) hasUnitReturning() bool {
	return findFirst(r.Units, func(u *Unit) bool { return u.isOut() && !(r.Spec.Drain && u.Phase == PhaseDrained) }) != nil
}

// canGrant reports whether a halted release could let a unit out if it were resumed.
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

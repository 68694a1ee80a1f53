package rollout

import "cmp"

// observe takes over what others saw. What does not fit the state any more is left aside.
func (rec *record) observe(at int64, c *Command) Result {
	if len(c.Observations) > MaxUnits+MaxPermits {
		return reject("over %d sights", MaxUnits+MaxPermits)
	}
	changed := false
	for i := range c.Observations {
		changed = rec.applyObservation(at, &c.Observations[i]) || changed
	}
	if !changed {
		return reject("nothing of this is so any more")
	}
	rec.Version++
	return Result{}
}

func (rec *record) applyObservation(at int64, o *Observation) (changed bool) {
	switch {
	case max(len(o.Successor), len(o.Zone)) > MaxNameBytes:
		return false
	case o.Quarantine != 0:
		return rec.confirmReadmitted(o)
	case o.Permit != 0:
		if p := rec.findPermit(o.Permit); p == nil || p.State != PermitBegun {
			return false
		}
		rec.removePermit(o.Permit)
		return true
	}
	r := rec.findRelease(o.Release)
	if r == nil {
		return false
	}
	u := r.findUnit(o.Unit)
	if u == nil || u.OrderVersion != o.OrderVersion || !rec.advanceUnit(at, r, u, o) {
		return false
	}
	r.ProgressAt = at
	return true
}

// advanceUnit is one transition of a unit, and says whether the observation allows it. The unit's orders change with the version that the
// command makes.
func (rec *record) advanceUnit(at int64, r *release, u *Unit, o *Observation) bool {
	next := rec.Version + 1
	switch {
	case o.Stranded:
		if !r.RollingBack || u.Stranded || !u.isOut() && !(u.Phase == PhaseDone && r.revertible(u)) {
			return false
		}
		u.Stranded = true
		if u.Phase == PhaseLeaving {
			u.Phase, u.OrderVersion = PhaseRevoked, next
		}
	case o.Phase == PhaseMissing && (u.Phase == PhasePending || u.Stranded && u.isOut() && r.ended()):
		u.Phase = PhaseMissing
	case o.Phase == PhaseDrained && u.Kind == KindMember && (u.Phase == PhaseLeaving || u.Phase == PhaseDone && r.Spec.Drain):
		u.Phase, u.SeenStart = PhaseDrained, o.SeenStart
	case o.Phase == PhaseReplaced && u.acceptsSuccessor(o) && !r.Spec.Drain:
		u.Phase, u.OrderVersion, u.Successor, u.Zone = PhaseReplaced, next, o.Successor, o.Zone
		if u.Successor == u.Name {
			u.Successor = ""
		}
	case o.Phase == PhaseDone && u.isOut():
		if u.Phase != PhaseRevoked && !u.Stranded && !r.Spec.Drain {
			rec.recordDuration(u.Kind, at-u.OrderedAt)
		}
		u.Phase, u.Updated = PhaseDone, !r.Spec.Drain
		if u.Reverting {
			u.Phase, u.Updated = PhasePending, false
		}
		u.closeOrder(next)
	case o.Phase == PhasePending && (u.Phase == PhaseRevoked || u.Phase == PhaseReplaced && !u.Reverting):
		u.Phase = PhasePending
		if u.Updated {
			u.Phase = PhaseDone
		}
		u.closeOrder(next)
	case o.Phase == PhasePending && u.Phase == PhaseDone && u.Stranded: // it is there again, to be reverted after all
		u.Stranded = false
	default:
		return false
	}
	return true
}

// acceptsSuccessor says whether an observed successor is news about a member that may have one.
func (u *Unit) acceptsSuccessor(o *Observation) bool {
	return u.Kind == KindMember && (u.Phase == PhaseDrained || u.Phase == PhaseRevoked ||
		u.Phase == PhaseReplaced && u.currentName() != cmp.Or(o.Successor, u.Name))
}

// closeOrder ends a unit's order: it is in service again.
func (u *Unit) closeOrder(version uint64) {
	u.Reverting, u.Stranded, u.OrderVersion = false, false, version
}

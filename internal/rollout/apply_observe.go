package rollout

import "cmp"

// observe applies observations. One that no longer fits the state is skipped; if all are, the command
// is rejected.
func (rec *record) observe(at int64, c *Command) Result {
	if len(c.Observations) > MaxUnits+MaxPermits {
		return reject("over %d sights", MaxUnits+MaxPermits) // too many observations
	}
	changed := false
	for i := range c.Observations {
		changed = rec.applyObservation(at, &c.Observations[i]) || changed
	}
	if !changed {
		return reject("nothing of this is so any more") // every observation is outdated
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

// advanceUnit makes one phase transition of a unit and reports whether the observation allows it. The
// unit's OrderVersion becomes the version that this command creates.
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
	case o.Phase == PhasePending && u.Phase == PhaseDone && u.Stranded:
		// The unit is in the view again, so it can be reverted.
		u.Stranded = false
	default:
		return false
	}
	return true
}

// acceptsSuccessor reports whether the unit is a member in a phase that can be followed by
// PhaseReplaced, and the observed successor is not already recorded.
func (u *Unit) acceptsSuccessor(o *Observation) bool {
	return u.Kind == KindMember && (u.Phase == PhaseDrained || u.Phase == PhaseRevoked ||
		u.Phase == PhaseReplaced && u.currentName() != cmp.Or(o.Successor, u.Name))
}

// closeOrder ends the order of a unit that is back in service.
func (u *Unit) closeOrder(version uint64) {
	u.Reverting, u.Stranded, u.OrderVersion = false, false, version
}

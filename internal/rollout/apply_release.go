package rollout

import (
	"cmp"
	"slices"
)

const (
	maxBaselineWindows = 4096
	maxWindowRequests  = 1e15
	maxHaltCauses      = 8
)

// openRelease adds a release. The leader sets its units later, from its view.
func (rec *record) openRelease(at int64, c *Command) Result {
	spec := c.Release
	if spec == nil || c.Name == "" {
		return reject("a release has a name, and says what it releases")
	}
	if reason := spec.invalidReason(); reason != "" {
		return reject("%s", reason)
	}
	if rec.findRelease(c.Name) != nil {
		return reject("there is a release %q", c.Name)
	}
	queuedBehind := rec.overlappingRelease(len(rec.Releases), spec)
	if queuedBehind != "" && !spec.Queue {
		return reject("release %q touches the same things", queuedBehind) // the two overlap
	}
	if len(rec.Releases) >= MaxReleases {
		drop := slices.IndexFunc(rec.Releases, func(r release) bool { return r.ended() && !r.hasUnitOut() })
		if drop < 0 {
			// Too many releases have not ended or still have units out.
			return reject("%d releases are open or still hold something out", MaxReleases)
		}
		rec.Releases = slices.Delete(rec.Releases, drop, drop+1)
	}
	rec.Releases = append(rec.Releases, release{ProgressAt: at, ReleaseStatus: ReleaseStatus{Name: c.Name, State: ReleaseQueued, Spec: *spec,
		OpenedBy: c.Requester, OpenedAt: at, QueuedBehind: queuedBehind}})
	rec.Version++
	return Result{Name: c.Name, State: string(ReleaseQueued), Reason: queuedBehind}
}

// overlappingRelease returns the name of the first of the first n releases that has not ended and
// overlaps the spec, or "".
func (rec *record) overlappingRelease(n int, spec *ReleaseSpec) string {
	for i := range rec.Releases[:n] {
		if r := &rec.Releases[i]; !r.ended() && r.Spec.overlaps(spec) {
			return r.Name
		}
	}
	return ""
}

// changeReleaseState halts, resumes or rolls back a release.
func (rec *record) changeReleaseState(at int64, c *Command) Result {
	r := rec.findRelease(c.Name)
	byLeader := c.Cause != "" && c.Cause != HaltByOperator
	switch {
	case r == nil:
		return reject("there is no release %q", c.Name)
	case byLeader && c.BaseVersion != rec.Version:
		return reject("it was reckoned from version %d, this is %d", c.BaseVersion, rec.Version)
	case c.Kind != CommandRollBack && r.ended():
		return reject("release %q has ended", c.Name)
	case c.Kind == CommandRollBack && r.ended() && !r.Spec.Drain && r.Spec.Kind != KindEject && rec.activeOverlap(r) != "":
		// That release overlaps and has not ended.
		return reject("release %q touches the same things, and is not through", rec.activeOverlap(r))
	case c.Kind == CommandHalt && r.Halt != nil && (r.Halt.NeedsOperator || byLeader && c.Cause != HaltVerdict):
		return reject("release %q is halted: %s %s", c.Name, r.Halt.Cause, r.Halt.Reason)
	case c.Kind == CommandResume && r.Halt == nil:
		return reject("release %q is not halted", c.Name)
	case c.Kind == CommandResume && byLeader && (r.Halt.NeedsOperator || r.Halt.Cause != c.Cause):
		return reject("release %q is resumed by an operator alone", c.Name)
	}
	rec.Version++
	switch c.Kind {
	case CommandHalt:
		r.halt(at, c, byLeader)
		r.revokeOrders(rec.Version)
	case CommandResume:
		r.restart(at)
	case CommandRollBack:
		r.rollBack(at)
		r.revokeOrders(rec.Version)
		for i := range r.Units {
			r.Units[i].cancelDrain(r, rec.Version)
		}
	}
	rec.advanceReleases(at)
	return Result{Name: r.Name, State: string(r.State)}
}

func (r *release) halt(at int64, c *Command, byLeader bool) {
	repeated := slices.Contains(r.HaltCauses, c.Cause)
	if byLeader && !repeated && len(r.HaltCauses) < maxHaltCauses {
		r.HaltCauses = append(r.HaltCauses, truncate(c.Cause, MaxNameBytes))
	}
	r.Halt = &HaltInfo{Cause: truncate(cmp.Or(c.Cause, HaltByOperator), MaxNameBytes), Reason: c.Reason, HaltedBy: c.Requester, HaltedAt: at}
	r.Halt.NeedsOperator = !byLeader || c.Cause == HaltVerdict || repeated && (c.Cause == HaltServiceDegraded || c.Cause == HaltOverdue)
	r.State = ReleaseHalted
}

// activeOverlap returns the name of another release that has not ended, is not queued behind a release
// and overlaps r, or "".
func (rec *record) activeOverlap(r *release) string {
	for i := range rec.Releases {
		if o := &rec.Releases[i]; o.Name != r.Name && !o.ended() && o.QueuedBehind == "" && o.Spec.overlaps(&r.Spec) {
			return o.Name
		}
	}
	return ""
}

// setUnits stores a release's units in order, with their state before the release, and starts it.
func (rec *record) setUnits(at int64, c *Command) Result {
	r := rec.findRelease(c.Name)
	if r == nil || r.UnitsSet || r.State != ReleaseQueued || r.QueuedBehind != "" {
		// There is no such release, its units are set already, or it is halted or queued behind another.
		return reject("release %q is not to be laid out", c.Name)
	}
	total := len(c.Units)
	for i := range rec.Releases {
		total += len(rec.Releases[i].Units)
	}
	if total > MaxUnits || len(c.Baseline) > maxBaselineWindows {
		// Too many units over all releases, or too many baseline windows.
		return reject("over %d things in all, or %d windows", MaxUnits, maxBaselineWindows)
	}
	names := map[string]bool{}
	for _, u := range c.Units {
		fits := u.Kind == r.Spec.Kind || r.Spec.Kind == KindEject && u.Kind == KindReinstate
		if u.Name == "" || max(len(u.Name), len(u.Zone), len(u.PreviousProgram), len(u.PreviousConfig)) > MaxNameBytes || names[u.Name] || !fits {
			// The unit has the wrong kind, or an invalid or repeated name.
			return reject("unit %q is no thing of this release, or stands twice", truncate(u.Name, MaxNameBytes))
		}
		names[u.Name] = true
	}
	for _, w := range c.Baseline {
		if !(w.Requested >= 0 && w.Served >= 0 && w.Served <= w.Requested && w.Requested <= maxWindowRequests) {
			// Served exceeds Requested, or a count is negative, too large or NaN.
			return reject("a window that served more than was asked")
		}
	}
	for _, u := range c.Units {
		phase := PhasePending
		if u.Phase == PhaseMissing {
			phase = PhaseMissing
		}
		r.Units = append(r.Units, Unit{Name: u.Name, Zone: u.Zone, Kind: u.Kind, Capacity: u.Capacity, PreviousProgram: u.PreviousProgram,
			PreviousConfig: u.PreviousConfig, PreviouslyEjected: rec.isEjected(u.Name), Phase: phase})
	}
	r.serviceBaseline = newServiceBaseline(c.Baseline)
	r.UnitsSet, r.UnitsSetAt, r.ProgressAt, r.State = true, at, at, ReleaseRunning
	rec.Version++
	return Result{Name: r.Name, State: string(r.State)}
}

// advanceReleases ends the releases that are finished. It then restarts the rollback of a rolled-back
// release that has a unit left to revert, and updates what the queued releases wait for. An earlier
// release's rollback restarts before a later release leaves the queue.
func (rec *record) advanceReleases(at int64) {
	for i := range rec.Releases {
		r := &rec.Releases[i]
		if !r.finished() {
			continue
		}
		switch r.State {
		case ReleaseRunning:
			r.State = ReleaseCompleted
		case ReleaseRollingBack:
			r.State = ReleaseRolledBack
		}
		r.EndedAt = at
	}
	for i := range rec.Releases {
		r := &rec.Releases[i]
		if r.State == ReleaseRolledBack && rec.activeOverlap(r) == "" && r.hasRevertibleUnit() {
			// A unit that was stranded is back in service with the release's version, and can be reverted.
			r.State, r.EndedAt, r.ResumedAt, r.ProgressAt = ReleaseRollingBack, 0, at, at
		}
		if r.QueuedBehind == "" {
			continue
		}
		previous := r.QueuedBehind
		if r.QueuedBehind = rec.overlappingRelease(i, &r.Spec); r.QueuedBehind != previous {
			r.ProgressAt = at
		}
	}
}

// hasRevertibleUnit reports whether a rolled-back release has an updated unit that can be reverted now.
func (r *release) hasRevertibleUnit() bool {
	return slices.ContainsFunc(r.Units, func(u Unit) bool { return u.Phase == PhaseDone && !u.Stranded && r.revertible(&u) })
}

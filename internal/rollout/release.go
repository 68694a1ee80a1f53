package rollout

import (
	"fmt"
	"slices"
)

// ReleaseSpec describes a release as the operator requests it.
type ReleaseSpec struct {
	// KindRelay, KindMember, or KindEject for a release of ejections (Eject and Reinstate).
	Kind       Kind     `json:"kind"`
	Drain      bool     `json:"drain,omitempty"` // members stay out until the release is rolled back
	All        bool     `json:"all,omitempty"`
	Zones      []string `json:"zones,omitempty"` // selects every relay or member in these zones
	Names      []string `json:"names,omitempty"`
	Program    string   `json:"program,omitempty"` // the program version that an updated unit reports
	Config     string   `json:"config,omitempty"`
	Eject      []string `json:"ban,omitempty"`
	Reinstate  []string `json:"allow,omitempty"`
	Queue      bool     `json:"wait,omitempty"` // wait for an overlapping release to end, instead of an error
	FirstAlone bool     `json:"lone,omitempty"` // the first unit goes out alone and must be back before the next one
	ZoneByZone bool     `json:"zonal,omitempty"`
}

// invalidReason returns why the spec is invalid, or "". The text is the answer to the operator's
// command. It calls ejections bans, after the keys "ban" and "allow".
func (spec *ReleaseSpec) invalidReason() string {
	targets := len(spec.Names)
	if spec.Kind == KindEject {
		if targets+len(spec.Zones) > 0 || spec.All || spec.Drain {
			return "a change of bans names them in ban and allow alone"
		}
		targets = len(spec.Eject) + len(spec.Reinstate)
	} else if len(spec.Eject)+len(spec.Reinstate) > 0 {
		return "ban and allow are of a change of bans"
	}
	switch {
	case spec.Kind != KindRelay && spec.Kind != KindMember && spec.Kind != KindEject:
		return "a release is of relays, members or bans"
	case targets == 0 && len(spec.Zones) == 0 && !spec.All:
		return "it names nothing" // no name, no zone and not all
	case targets+len(spec.Zones) > MaxUnits:
		return fmt.Sprintf("over %d things", MaxUnits)
	case len(spec.Program) > MaxNameBytes || len(spec.Config) > MaxNameBytes:
		return fmt.Sprintf("a version of over %d bytes", MaxNameBytes)
	}
	names := slices.Concat(spec.Names, spec.Eject, spec.Reinstate)
	slices.Sort(names)
	for i, name := range names {
		if name == "" || len(name) > MaxNameBytes || i > 0 && names[i-1] == name {
			return fmt.Sprintf("%q is no name, or stands twice", truncate(name, MaxNameBytes))
		}
	}
	for _, zone := range spec.Zones {
		if len(zone) > MaxNameBytes {
			return fmt.Sprintf("a zone of over %d bytes", MaxNameBytes)
		}
	}
	return ""
}

// selects reports whether the spec selects a relay or member of the given name and zone.
func (spec *ReleaseSpec) selects(name, zone string) bool {
	return spec.All || slices.Contains(spec.Names, name) || slices.Contains(spec.Zones, zone)
}

// overlaps reports whether two specs may select the same relays or members. A spec that selects all
// or whole zones may overlap with any spec of its kind.
func (spec *ReleaseSpec) overlaps(other *ReleaseSpec) bool {
	if budgetKind(spec.Kind) != budgetKind(other.Kind) {
		return false
	}
	if spec.All || other.All || len(spec.Zones) > 0 || len(other.Zones) > 0 {
		return true
	}
	names := slices.Concat(spec.Names, spec.Eject, spec.Reinstate)
	return slices.ContainsFunc(slices.Concat(other.Names, other.Eject, other.Reinstate), func(name string) bool { return slices.Contains(names, name) })
}

// ReleaseState is the state of a release.
type ReleaseState string

// States of a release.
const (
	ReleaseQueued      ReleaseState = "queued" // queued behind another release, or its units are not set yet
	ReleaseRunning     ReleaseState = "running"
	ReleaseHalted      ReleaseState = "halted"
	ReleaseRollingBack ReleaseState = "backing"
	ReleaseCompleted   ReleaseState = "done"
	ReleaseRolledBack  ReleaseState = "back"
)

// ReleaseStatus is the status of a release as shown to operators.
type ReleaseStatus struct {
	Name         string       `json:"name"`
	State        ReleaseState `json:"state"`
	RollingBack  bool         `json:"backing,omitempty"` // its direction, kept while it is halted
	Spec         ReleaseSpec  `json:"wish"`
	OpenedBy     string       `json:"by"`
	OpenedAt     int64        `json:"opened"`
	EndedAt      int64        `json:"ended,omitempty"`
	QueuedBehind string       `json:"behind,omitempty"`
	Halt         *HaltInfo    `json:"halt,omitempty"`
	Units        []Unit       `json:"units,omitempty"`
	Counts       UnitCounts   `json:"counts"`
	Exceptions   []string     `json:"except,omitempty"` // units that could not be updated or reverted, and why
}

// UnitCounts counts the units of a release.
type UnitCounts struct {
	Pending int `json:"waiting"`
	Out     int `json:"out"`
	Done    int `json:"done"`
}

// HaltInfo describes a halt of a release.
type HaltInfo struct {
	Cause         Cause  `json:"cause"`
	Reason        string `json:"why,omitempty"`
	HaltedBy      string `json:"by"`
	HaltedAt      int64  `json:"at"`
	NeedsOperator bool   `json:"stays"` // only an operator may resume it
}

// release is a release as the record stores it.
type release struct {
	ReleaseStatus
	UnitsSet   bool  `json:"laid,omitempty"`
	UnitsSetAt int64 `json:"since,omitempty"` // service windows after this time are compared with the baseline
	// The time until a unit is overdue counts from ResumedAt or from the unit's order, whichever is later.
	ResumedAt int64 `json:"resumed,omitempty"`
	// ProgressAt is the latest time at which a unit changed its phase or was granted, or at which the
	// release was opened, resumed or reopened for rollback, got its units, began to wait for a
	// different release, or stopped waiting.
	ProgressAt int64 `json:"moved,omitempty"`
	serviceBaseline
	HaltCauses []Cause `json:"causes,omitempty"` // distinct causes for which the leader has halted it
}

func (r *release) findUnit(name string) *Unit {
	return findFirst(r.Units, func(u *Unit) bool { return u.Name == name })
}

func (r *release) ended() bool { return r.State == ReleaseCompleted || r.State == ReleaseRolledBack }

func (r *release) hasUnitOut() bool {
	return slices.ContainsFunc(r.Units, func(u Unit) bool { return u.isOut() })
}

// activeSince returns the time from which the release counts as stalled, or a unit waiting for its
// revert as overdue.
func (r *release) activeSince() int64 { return max(r.ProgressAt, r.ResumedAt) }

// activeState returns the state that the release has when it is not halted.
func (r *release) activeState() ReleaseState {
	switch {
	case r.RollingBack:
		return ReleaseRollingBack
	case !r.UnitsSet:
		return ReleaseQueued
	}
	return ReleaseRunning
}

// restart lets a halted or ended release continue in its current direction.
func (r *release) restart(at int64) {
	r.Halt, r.ResumedAt, r.ProgressAt = nil, at, at
	r.State = r.activeState()
}

// rollBack starts a rollback, or restarts one that is halted or ended.
func (r *release) rollBack(at int64) {
	r.RollingBack, r.EndedAt = true, 0
	r.restart(at)
}

// finished reports whether an active release has no unit left to process.
func (r *release) finished() bool {
	switch r.State {
	case ReleaseRunning:
		return findFirst(r.Units, func(u *Unit) bool { return !r.updateFinished(u) }) == nil
	case ReleaseRollingBack:
		return findFirst(r.Units, func(u *Unit) bool { return !r.rollbackFinished(u) }) == nil
	}
	return false
}

func (r *release) updateFinished(u *Unit) bool {
	return u.Phase == PhaseDone || u.Phase == PhaseMissing || r.Spec.Drain && u.Phase == PhaseDrained
}

func (r *release) rollbackFinished(u *Unit) bool {
	return u.Stranded || !u.isOut() && !(u.Phase == PhaseDone && r.revertible(u))
}

// grantable reports whether the release's state and the unit's phase allow the unit to go out, to be
// updated or to be reverted.
func (r *release) grantable(u *Unit) bool {
	switch r.State {
	case ReleaseRunning:
		return u.Phase == PhasePending && !u.Updated
	case ReleaseRollingBack:
		return u.Phase == PhaseDone && r.revertible(u)
	}
	return false
}

// revertible reports whether an updated unit can go back to its previous version. A relay that was
// only restarted cannot.
func (r *release) revertible(u *Unit) bool {
	if !u.Updated || r.Spec.Drain {
		return false
	}
	switch u.Kind {
	case KindRelay:
		// The previous version is "" if the relay had not reported it when the units were set.
		changed := func(now, previous string) bool { return now != "" && previous != "" && now != previous }
		return changed(r.Spec.Program, u.PreviousProgram) || changed(r.Spec.Config, u.PreviousConfig)
	case KindEject:
		return !u.PreviouslyEjected
	case KindReinstate:
		return u.PreviouslyEjected
	}
	return true
}

// targetVersion returns the program and configuration version that the unit must come back with; ""
// matches any version.
func (r *release) targetVersion(u *Unit) (program, config string) {
	switch {
	case !u.Reverting:
		return r.Spec.Program, r.Spec.Config
	case r.Spec.Program != "" && r.Spec.Config != "":
		return u.PreviousProgram, u.PreviousConfig
	case r.Spec.Program != "":
		return u.PreviousProgram, ""
	case r.Spec.Config != "":
		return "", u.PreviousConfig
	}
	return "", ""
}

// revokeOrders revokes the orders of relays and members that are still leaving: a relay that has not
// begun to exit stays, and so does a member that is not drained. They count as out until they are
// seen in service.
func (r *release) revokeOrders(version uint64) {
	for i := range r.Units {
		if u := &r.Units[i]; u.Phase == PhaseLeaving && (u.Kind == KindRelay || u.Kind == KindMember) {
			if plantedDefect == defectForgetsRevoked && r.RollingBack {
				u.Phase, u.Reverting = PhasePending, false
				continue
			}
			u.Phase, u.OrderVersion = PhaseRevoked, version
		}
	}
}

// status returns the release's status as shown to operators. It shares no memory with the record.
func (r *release) status() ReleaseStatus {
	status := r.ReleaseStatus
	status.Units = slices.Clone(status.Units)
	status.Counts = UnitCounts{}
	for i := range status.Units {
		u := &status.Units[i]
		switch {
		case u.Phase == PhaseDone:
			status.Counts.Done++
		case u.isOut():
			status.Counts.Out++
		default:
			status.Counts.Pending++
		}
		switch {
		case u.Stranded:
			status.Exceptions = append(status.Exceptions, u.Name+": not seen back in time")
		case u.Phase == PhaseMissing:
			status.Exceptions = append(status.Exceptions, u.Name+": was not there")
		case r.RollingBack && u.Phase == PhaseDone && !r.revertible(u):
			status.Exceptions = append(status.Exceptions, u.Name+": was restarted, which has no way back")
		}
	}
	return status
}

package rollout

import (
	"fmt"
	"slices"
)

// ReleaseSpec is what an operator wants to release.
type ReleaseSpec struct {
	Kind       Kind     `json:"kind"`            // KindRelay, KindMember, or KindEject for a release of ejections (Eject and Reinstate)
	Drain      bool     `json:"drain,omitempty"` // members stay out until the release is rolled back
	All        bool     `json:"all,omitempty"`
	Zones      []string `json:"zones,omitempty"` // all of these zones
	Names      []string `json:"names,omitempty"`
	Program    string   `json:"program,omitempty"` // that a unit is to report when it is back
	Config     string   `json:"config,omitempty"`
	Eject      []string `json:"ban,omitempty"`
	Reinstate  []string `json:"allow,omitempty"`
	Queue      bool     `json:"wait,omitempty"` // behind a release that overlaps; without it an overlap is an error
	FirstAlone bool     `json:"lone,omitempty"` // the first unit goes alone, and has to be back before the next
	ZoneByZone bool     `json:"zonal,omitempty"`
}

// invalidReason says why a spec cannot be released; "" if it can.
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
		return "it names nothing"
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

// selects says whether the spec is about a relay or member.
func (spec *ReleaseSpec) selects(name, zone string) bool {
	return spec.All || slices.Contains(spec.Names, name) || slices.Contains(spec.Zones, zone)
}

// overlaps says whether two specs may touch the same relays or members. One that selects all, or zones, may touch any.
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

// ReleaseState is where a release stands.
type ReleaseState string

// States of a release.
const (
	ReleaseQueued      ReleaseState = "queued" // behind another, or its units are not set yet
	ReleaseRunning     ReleaseState = "running"
	ReleaseHalted      ReleaseState = "halted"
	ReleaseRollingBack ReleaseState = "backing"
	ReleaseCompleted   ReleaseState = "done"
	ReleaseRolledBack  ReleaseState = "back"
)

// ReleaseStatus is a release as operators see it.
type ReleaseStatus struct {
	Name         string       `json:"name"`
	State        ReleaseState `json:"state"`
	RollingBack  bool         `json:"backing,omitempty"` // its direction, also while it is halted
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

// HaltInfo is why a release halted.
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
	UnitsSetAt int64 `json:"since,omitempty"`   // the service after it is compared with the baseline
	ResumedAt  int64 `json:"resumed,omitempty"` // overdue counts from here
	ProgressAt int64 `json:"moved,omitempty"`
	serviceBaseline
	HaltCauses []Cause `json:"causes,omitempty"` // of its halts by the leader so far
}

func (r *release) findUnit(name string) *Unit {
	return findFirst(r.Units, func(u *Unit) bool { return u.Name == name })
}

func (r *release) ended() bool { return r.State == ReleaseCompleted || r.State == ReleaseRolledBack }

func (r *release) hasUnitOut() bool {
	return slices.ContainsFunc(r.Units, func(u Unit) bool { return u.isOut() })
}

// activeSince is from when an overdue unit or a stalled release is counted.
func (r *release) activeSince() int64 { return max(r.ProgressAt, r.ResumedAt) }

// activeState is the state of a release that is not halted.
func (r *release) activeState() ReleaseState {
	switch {
	case r.RollingBack:
		return ReleaseRollingBack
	case !r.UnitsSet:
		return ReleaseQueued
	}
	return ReleaseRunning
}

// restart makes a release go on from now, in the direction that it has.
func (r *release) restart(at int64) {
	r.Halt, r.ResumedAt, r.ProgressAt = nil, at, at
	r.State = r.activeState()
}

// rollBack sends a release back, or on its way back again.
func (r *release) rollBack(at int64) {
	r.RollingBack, r.EndedAt = true, 0
	r.restart(at)
}

// finished says that a release has nothing left to do.
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

// grantable says whether a unit may go out: for the update, or to be reverted.
func (r *release) grantable(u *Unit) bool {
	switch r.State {
	case ReleaseRunning:
		return u.Phase == PhasePending && !u.Updated
	case ReleaseRollingBack:
		return u.Phase == PhaseDone && r.revertible(u)
	}
	return false
}

// revertible says whether an updated unit can go back to what it was. A relay's bare restart cannot.
func (r *release) revertible(u *Unit) bool {
	if !u.Updated || r.Spec.Drain {
		return false
	}
	switch u.Kind {
	case KindRelay:
		changed := func(now, previous string) bool { return now != "" && previous != "" && now != previous } // what it ran may not be known
		return changed(r.Spec.Program, u.PreviousProgram) || changed(r.Spec.Config, u.PreviousConfig)
	case KindEject:
		return !u.PreviouslyEjected
	case KindReinstate:
		return u.PreviouslyEjected
	}
	return true
}

// targetVersion is the program and configuration that a unit is to come back with; "" for any.
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

// revokeOrders takes back what can be: a relay that has not begun to exit, a member that is not drained. They count as out until they are
// seen to be in service.
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

// status is the release as operators see it; it shares nothing with the record.
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

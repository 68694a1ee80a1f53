package rollout

import "cmp"

// Phase is the progress of a unit within its release.
type Phase string

// Phases of a unit.
const (
	PhasePending  Phase = ""        // not ordered to leave yet, or back as it was before the release
	PhaseLeaving  Phase = "out"     // ordered to leave
	PhaseDrained  Phase = "empty"   // a member at which no relay has a flow: its owner may replace it
	PhaseReplaced Phase = "coming"  // a member that was replaced and is not yet in full service
	PhaseRevoked  Phase = "revoked" // its order was revoked; counts as out until it is seen in service
	PhaseDone     Phase = "done"
	PhaseMissing  Phase = "missing" // not in the leader's view any more, or stranded and accepted as it is
)

// Unit is one relay or member of a release.
type Unit struct {
	Name              string  `json:"name"`
	Zone              string  `json:"zone,omitempty"`
	Kind              Kind    `json:"kind"`
	Capacity          float64 `json:"size,omitempty"`    // when the release's units were set
	PreviousProgram   string  `json:"program,omitempty"` // before the release
	PreviousConfig    string  `json:"config,omitempty"`
	PreviouslyEjected bool    `json:"banned,omitempty"`
	Successor         string  `json:"now,omitempty"` // name of the member that replaced it, if the name differs
	Phase             Phase   `json:"phase,omitempty"`
	Updated           bool    `json:"got,omitempty"`  // it has what the release brings
	Reverting         bool    `json:"undo,omitempty"` // it is out in order to be reverted
	// Stranded is set if the unit did not come back, or could not be granted, in time during a rollback.
	// A stranded unit that is out counts as out until it is seen in service.
	Stranded     bool   `json:"stranded,omitempty"`
	OrderNumber  uint64 `json:"number,omitempty"`
	OrderVersion uint64 `json:"order,omitempty"` // the state's version that last changed the unit's order
	OrderedAt    int64  `json:"at,omitempty"`
	// Relay: start number when ordered; member: start time when ordered or drained.
	SeenStart     int64 `json:"start,omitempty"`
	MigrateOverMS int64 `json:"move_over,omitempty"`
}

// currentName returns the name of the unit's successor, or its own if there is none.
func (u *Unit) currentName() string { return cmp.Or(u.Successor, u.Name) }

// isOut reports whether the unit counts as out by plan.
func (u *Unit) isOut() bool {
	return u.Phase == PhaseLeaving || u.Phase == PhaseDrained || u.Phase == PhaseReplaced || u.Phase == PhaseRevoked
}

// ejectionChange returns what granting the unit does to the ejections: 1 ejects the member, -1
// reinstates it, 0 for relays and members. Granting an updated unit (a revert) does the opposite.
func (u *Unit) ejectionChange() int {
	switch {
	case u.Kind == KindEject && !u.Updated, u.Kind == KindReinstate && u.Updated:
		return 1
	case u.Kind == KindReinstate, u.Kind == KindEject:
		return -1
	}
	return 0
}

// cancelDrain ends the unit's part in a drain, and reports whether it took part in one.
func (u *Unit) cancelDrain(r *release, version uint64) bool {
	if !r.Spec.Drain || u.Kind != KindMember || u.Phase == PhasePending || u.Phase == PhaseRevoked || u.Phase == PhaseMissing {
		return false
	}
	if u.Phase == PhaseDone { // the drained member is not in the view any more
		u.Phase, u.Updated = PhasePending, false
		return true
	}
	u.Phase, u.OrderVersion = PhaseRevoked, version
	return true
}

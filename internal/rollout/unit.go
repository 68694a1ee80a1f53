package rollout

import "cmp"

// Phase is where a unit stands.
type Phase string

// Phases of a unit.
const (
	PhasePending  Phase = ""        // not touched, or as it was before the release
	PhaseLeaving  Phase = "out"     // ordered to leave
	PhaseDrained  Phase = "empty"   // a member at which no relay has a flow: its owner may replace it
	PhaseReplaced Phase = "coming"  // a member that was replaced and is not yet in full service
	PhaseRevoked  Phase = "revoked" // its order was taken back; out until it is seen in service
	PhaseDone     Phase = "done"
	PhaseMissing  Phase = "missing" // was not in the view any more
)

// Unit is one relay or member of a release.
type Unit struct {
	Name              string  `json:"name"`
	Zone              string  `json:"zone,omitempty"`
	Kind              Kind    `json:"kind"`
	Capacity          float64 `json:"size,omitempty"`    // when the units were set
	PreviousProgram   string  `json:"program,omitempty"` // before the release
	PreviousConfig    string  `json:"config,omitempty"`
	PreviouslyEjected bool    `json:"banned,omitempty"`
	Successor         string  `json:"now,omitempty"` // the name of what replaced it, if it is another
	Phase             Phase   `json:"phase,omitempty"`
	Updated           bool    `json:"got,omitempty"`      // it has what the release brings
	Reverting         bool    `json:"undo,omitempty"`     // it is out to go back to what it was
	Stranded          bool    `json:"stranded,omitempty"` // it did not come back in time while the release rolled back; out until it is seen
	OrderNumber       uint64  `json:"number,omitempty"`
	OrderVersion      uint64  `json:"order,omitempty"` // the state's version that changed its orders last
	OrderedAt         int64   `json:"at,omitempty"`
	SeenStart         int64   `json:"start,omitempty"` // the start number or time that was seen when it was ordered, or drained
	MigrateOverMS     int64   `json:"move_over,omitempty"`
}

// currentName is the name of its successor, or its own.
func (u *Unit) currentName() string { return cmp.Or(u.Successor, u.Name) }

// isOut says whether it counts as out by plan.
func (u *Unit) isOut() bool {
	return u.Phase == PhaseLeaving || u.Phase == PhaseDrained || u.Phase == PhaseReplaced || u.Phase == PhaseRevoked
}

// ejectionChange is what granting the unit does to the ejections: 1 ejects, -1 reinstates, 0 for relays and members. Its revert is the reverse.
func (u *Unit) ejectionChange() int {
	switch {
	case u.Kind == KindEject && !u.Updated, u.Kind == KindReinstate && u.Updated:
		return 1
	case u.Kind == KindReinstate, u.Kind == KindEject:
		return -1
	}
	return 0
}

// cancelDrain ends the drain of a member that was to stay out, and says whether there was one.
func (u *Unit) cancelDrain(r *release, version uint64) bool {
	if !r.Spec.Drain || u.Kind != KindMember || u.Phase == PhasePending || u.Phase == PhaseRevoked || u.Phase == PhaseMissing {
		return false
	}
	if u.Phase == PhaseDone { // it is not even there
		u.Phase, u.Updated = PhasePending, false
		return true
	}
	u.Phase, u.OrderVersion = PhaseRevoked, version
	return true
}

// Package rollout decides which relays and members of a fleet may go out of service, when and in
// which order: releases, drains, permits for requesters outside the fleet, ejections, halts,
// rollbacks, and the quarantine of relays that have drifted. In names and comments, "out" is short for
// out of service. A relay or member is out by plan while a release, a permit or a quarantine takes it
// out.
//
// The state is replicated. It changes only by commands, which have the same effect on every relay
// (State.Apply). State.Plan runs on the leader: it is a pure function of the state and the leader's
// view, and returns the commands to propose next. Plan and Apply share the code that counts what is
// out, so a command planned from an outdated state or view is rejected when it is applied. The
// package does no I/O and uses no clock and no randomness; times are wall-clock milliseconds passed
// in by the caller. docs/design/rollout.md gives the reasons.
package rollout

// ExitOrderedRestart is the exit status of a relay that exits by a LeaveOrder: its host starts it again.
const ExitOrderedRestart = 75

// Limits on the size of the state. Apply rejects commands that would exceed them.
const (
	MaxReleases      = 16   // to open one more, the oldest ended release with no unit out is dropped
	MaxUnits         = 2048 // over all releases
	MaxPermits       = 256
	MaxEjections     = 1024
	MaxNameBytes     = 128 // length of a name, program or configuration version
	MaxReasonBytes   = 512
	MaxGrantsPerStep = 64 // also the most relays that one plan quarantines
	MaxQuarantines   = 1024
)

// Kind is the kind of target that a unit or permit refers to.
type Kind string

// Kinds of units. A permit is only for a relay or a member.
const (
	KindRelay     Kind = "relay"
	KindMember    Kind = "member"
	KindEject     Kind = "ban"   // in a release of ejections: a member to eject
	KindReinstate Kind = "allow" // in a release of ejections: a member whose ejection is lifted
)

// budgetKind returns the kind whose budget a unit of the given kind draws on.
func budgetKind(kind Kind) Kind {
	if kind == KindRelay {
		return KindRelay
	}
	return KindMember
}

// ZonedName names a relay or member and its zone.
type ZonedName struct {
	Name string `json:"name"`
	Zone string `json:"zone,omitempty"`
}

// findFirst returns a pointer to the first item that matches, or nil.
func findFirst[T any](list []T, match func(*T) bool) *T {
	for i := range list {
		if match(&list[i]) {
			return &list[i]
		}
	}
	return nil
}

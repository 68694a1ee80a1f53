// Package rollout decides what may leave a fleet, when and in which order: releases, drains, permits for outside requesters, ejections,
// halts and rollbacks, and the quarantine of relays that have drifted.
//
// State is replicated: it changes by commands alone, the same on every relay (State.Apply). State.Plan is the leader's: a pure function of the
// state and the leader's view that says which commands to propose next. Both count what is out by the same code, so that a command that was
// planned from an outdated state or view is rejected when it is applied. There is no I/O, no clock and no randomness in here;
// times are milliseconds of wall clock that the caller passes in. docs/design/rollout.md gives the reasons.
package rollout

// ExitOrderedRestart is the exit status of a relay that was ordered to leave: its host starts it again.
const ExitOrderedRestart = 75

// Bounds of what the state holds, whatever is requested.
const (
	MaxReleases      = 16   // an ended one makes way for a new one, the oldest first
	MaxUnits         = 2048 // over all releases
	MaxPermits       = 256
	MaxEjections     = 1024
	MaxNameBytes     = 128 // of a name, a program or a configuration
	MaxReasonBytes   = 512
	MaxGrantsPerStep = 64 // also of relays that are quarantined in one plan
	MaxQuarantines   = 1024
)

// Kind is what a unit or permit is about.
type Kind string

// Kinds of units. Permits are for relays and members alone.
const (
	KindRelay     Kind = "relay"
	KindMember    Kind = "member"
	KindEject     Kind = "ban"   // a release of ejections: a member that it ejects
	KindReinstate Kind = "allow" // the same: a member whose ejection it lifts
)

// budgetKind is the kind whose budget a unit of this kind draws on.
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

// findFirst is the first item that matches, or nil.
func findFirst[T any](list []T, match func(*T) bool) *T {
	for i := range list {
		if match(&list[i]) {
			return &list[i]
		}
	}
	return nil
}

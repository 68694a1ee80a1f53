package fleet

import (
	"dahliarudder/internal/drift"
	"dahliarudder/internal/rollout"
)

// relayRelease is a relay's part in a release of relays that is not settled yet: it goes on, or what is meant does not follow it so far.
type relayRelease struct {
	release  rollout.ReleaseStatus // without its units
	unit     rollout.Unit
	adopted  bool              // what is meant is what the release brought, though it goes back now
	previous map[string]string // and this is what was meant before
}

// unsettledReleases is by relay. Releases that go on come before those that are over.
func unsettledReleases(all []rollout.ReleaseStatus, in *intent) map[string]relayRelease {
	out := map[string]relayRelease{}
	for _, over := range []bool{true, false} {
		for _, a := range all {
			taken, settled := in.releaseAdoption(&a)
			if a.Spec.Kind != rollout.KindRelay || (a.State == rollout.ReleaseCompleted || a.State == rollout.ReleaseRolledBack) != over ||
				over && (settled || a.Spec.Program+a.Spec.Config == "") {
				continue
			}
			units := a.Units
			a.Units = nil
			for _, u := range units {
				out[u.Name] = relayRelease{a, u, taken, in.Adopted[a.Name].Previous}
			}
		}
	}
	return out
}

// changes says whether the release brings a new value of an item.
func (u *relayRelease) changes(item string) bool {
	if item == drift.ItemProgram {
		return u.release.Spec.Program != ""
	}
	return u.release.Spec.Config != "" && drift.GroupOf(item) == drift.ItemConfig
}

// restarting says whether the relay may run either: the new thing or what it had.
func (u *relayRelease) restarting() bool {
	switch u.unit.Phase {
	case rollout.PhaseLeaving, rollout.PhaseDrained, rollout.PhaseReplaced, rollout.PhaseRevoked:
		return true
	}
	return u.unit.Stranded
}

// restartPending says that the release has a restart of this relay before it.
func (u *relayRelease) restartPending() bool {
	switch {
	case u.release.Name == "" || u.unit.Phase == rollout.PhaseMissing:
		return false
	case u.release.RollingBack:
		return u.restarting() || u.unit.Phase == rollout.PhaseDone && u.unit.Updated
	}
	return u.restarting() || u.unit.Phase == rollout.PhasePending && !u.unit.Updated && u.release.State != rollout.ReleaseCompleted
}

package fleet

import (
	"dahliarudder/internal/drift"
	"dahliarudder/internal/rollout"
)

// relayRelease is the state of one relay in a release of relays that is not settled: the release is
// under way, or intent does not reflect its outcome yet. The zero value is for a relay without such a
// release.
type relayRelease struct {
	release  rollout.ReleaseStatus // its Units are nil
	unit     rollout.Unit
	adopted  bool              // intent has adopted the release, although it may be rolled back by now
	previous map[string]string // intent before the adoption, by item
}

// unsettledReleases returns the unsettled release of each relay that has one. A release under way takes
// precedence over one that is over.
func unsettledReleases(releases []rollout.ReleaseStatus, in *intent) map[string]relayRelease {
	byRelay := map[string]relayRelease{}
	for _, over := range []bool{true, false} {
		for _, release := range releases {
			adopted, settled := in.releaseAdoption(&release)
			if release.Spec.Kind != rollout.KindRelay || isOver(&release) != over || over && (settled || !changesIntent(&release)) {
				continue
			}
			units := release.Units
			release.Units = nil
			for _, u := range units {
				byRelay[u.Name] = relayRelease{release, u, adopted, in.Adopted[release.Name].Previous}
			}
		}
	}
	return byRelay
}

// isOver reports whether a release is completed or rolled back. A completed release can still be rolled
// back.
func isOver(release *rollout.ReleaseStatus) bool {
	return release.State == rollout.ReleaseCompleted || release.State == rollout.ReleaseRolledBack
}

// changesIntent reports whether a release changes intent: it is one of relays and brings a program or
// a configuration.
func changesIntent(release *rollout.ReleaseStatus) bool {
	return release.Spec.Kind == rollout.KindRelay && release.Spec.Program+release.Spec.Config != ""
}

// changes reports whether the release brings a new value of an item.
func (r *relayRelease) changes(item string) bool { return specChangesItem(&r.release.Spec, item) }

func specChangesItem(spec *rollout.ReleaseSpec, item string) bool {
	if item == drift.ItemProgram {
		return spec.Program != ""
	}
	return spec.Config != "" && drift.GroupOf(item) == drift.ItemConfig
}

// restarting reports whether the relay is being restarted, so that it may run the previous or the new
// value.
func (r *relayRelease) restarting() bool {
	switch r.unit.Phase {
	case rollout.PhaseLeaving, rollout.PhaseDrained, rollout.PhaseReplaced, rollout.PhaseRevoked:
		return true
	}
	return r.unit.Stranded
}

// restartPending reports whether the release is restarting the relay or still has to.
func (r *relayRelease) restartPending() bool {
	switch {
	case r.release.Name == "" || r.unit.Phase == rollout.PhaseMissing:
		return false
	case r.release.RollingBack:
		return r.restarting() || r.unit.Phase == rollout.PhaseDone && r.unit.Updated
	}
	return r.restarting() || r.unit.Phase == rollout.PhasePending && !r.unit.Updated && r.release.State != rollout.ReleaseCompleted
}

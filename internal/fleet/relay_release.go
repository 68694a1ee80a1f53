package fleet

import (
	"dahliarudder/internal/drift"
	"dahliarudder/internal/rollout"
)

// relayRelease is a relay's part in a release of relays that is not settled yet: the release is under way, or intent does not follow its
// outcome yet. The zero value is that of a relay without such a release.
type relayRelease struct {
	release  rollout.ReleaseStatus // without its units
	unit     rollout.Unit
	adopted  bool              // intent follows the completed release, although it is now rolled back
	previous map[string]string // intent before that, by item
}

// unsettledReleases returns each relay's unsettled release. A release under way takes precedence over one that is over.
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

// isOver tells whether a release is completed or rolled back. A completed one may still be rolled back.
func isOver(release *rollout.ReleaseStatus) bool {
	return release.State == rollout.ReleaseCompleted || release.State == rollout.ReleaseRolledBack
}

// changesIntent tells whether intent has to follow a release: one of relays, with a new program or configuration.
func changesIntent(release *rollout.ReleaseStatus) bool {
	return release.Spec.Kind == rollout.KindRelay && release.Spec.Program+release.Spec.Config != ""
}

// changes tells whether the release brings a new value of an item.
func (r *relayRelease) changes(item string) bool { return specChangesItem(&r.release.Spec, item) }

func specChangesItem(spec *rollout.ReleaseSpec, item string) bool {
	if item == drift.ItemProgram {
		return spec.Program != ""
	}
	return spec.Config != "" && drift.GroupOf(item) == drift.ItemConfig
}

// restarting tells whether the relay may run either value: the new or the previous one.
func (r *relayRelease) restarting() bool {
	switch r.unit.Phase {
	case rollout.PhaseLeaving, rollout.PhaseDrained, rollout.PhaseReplaced, rollout.PhaseRevoked:
		return true
	}
	return r.unit.Stranded
}

// restartPending tells whether the release still has to restart the relay, or is doing so.
func (r *relayRelease) restartPending() bool {
	switch {
	case r.release.Name == "" || r.unit.Phase == rollout.PhaseMissing:
		return false
	case r.release.RollingBack:
		return r.restarting() || r.unit.Phase == rollout.PhaseDone && r.unit.Updated
	}
	return r.restarting() || r.unit.Phase == rollout.PhasePending && !r.unit.Updated && r.release.State != rollout.ReleaseCompleted
}

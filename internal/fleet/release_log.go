package fleet

import (
	"github.com/sirupsen/logrus"

	"dahliarudder/internal/rollout"
)

// logReleases logs each release whose state or cause of a halt differs from the given states, so that
// the leader's log shows when and why a release halted. It returns the current states by release, to
// pass to the next call.
func (s *Service) logReleases(logged map[string]string) map[string]string {
	var all []rollout.ReleaseStatus
	s.record.read(func(r *rollout.State, _ recordItems) { all = r.Releases() })
	current := map[string]string{}
	for _, release := range all {
		fields := logrus.Fields{"release": release.Name, "state": release.State, "waiting": release.Counts.Pending, "out": release.Counts.Out, "done": release.Counts.Done}
		state := string(release.State)
		if halt := release.Halt; halt != nil {
			fields["cause"], fields["why"], fields["by"], fields["stays"] = halt.Cause, halt.Reason, halt.HaltedBy, halt.NeedsOperator
			state += string(halt.Cause)
		}
		if logged[release.Name] != state {
			s.Log.WithFields(fields).Info("fleet: release state changed")
		}
		current[release.Name] = state
	}
	return current
}

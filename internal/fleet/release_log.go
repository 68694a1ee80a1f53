package fleet

import (
	"github.com/sirupsen/logrus"

	"dahliarudder/internal/rollout"
)

// logReleases logs at the leader what has become of releases since it last did, so that a night's log says when and why one halted.
// Called by the pilot alone.
func (s *Service) logReleases(was map[string]string) map[string]string {
	var all []rollout.ReleaseStatus
	s.record.read(func(r *rollout.State, _ recordItems) { all = r.Releases() })
	now := map[string]string{}
	for _, a := range all {
		line := logrus.Fields{"release": a.Name, "state": a.State, "waiting": a.Counts.Pending, "out": a.Counts.Out, "done": a.Counts.Done}
		now[a.Name] = string(a.State)
		if a.Halt != nil {
			line["cause"], line["why"], line["by"], line["stays"] = a.Halt.Cause, a.Halt.Reason, a.Halt.HaltedBy, a.Halt.NeedsOperator
			now[a.Name] += string(a.Halt.Cause)
		}
		if was[a.Name] != now[a.Name] {
			s.Log.WithFields(line).Info("fleet: release")
		}
	}
	return now
}

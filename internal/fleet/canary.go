package fleet

import (
	"cmp"
	"slices"

	"github.com/sirupsen/logrus"

	"dahliarudder/internal/canary"
	"dahliarudder/internal/rollout"
)

// evaluateCanary asks the judge of the current canary for a verdict and returns the canary commands
// to propose. If the canary is paused, rolled back or otherwise not progressing, it marks the
// canary's release as degraded in the view, so that the release halts. The caller holds s.mu.
func (s *Service) evaluateCanary(now int64, v *rollout.View) (plan []canary.Command) {
	s.record.mu.RLock()
	defer s.record.mu.RUnlock()
	all := s.record.canary.Canaries()
	if len(all) == 0 {
		s.judge = nil
		return nil
	}
	c := all[0] // the record allows one canary at a time
	switch {
	case s.judge == nil || s.judgedCanary.Salt != c.Salt:
		s.judge = canary.NewJudge(canary.JudgeSettings{Spec: c.Spec, Epoch: c.Epoch, Step: c.Step, Checkpoint: s.record.canary.Checkpoint(c.Release)})
	case s.judgedCanary.Epoch != c.Epoch || s.judgedCanary.Step != c.Step:
		s.judge.BeginStep(c.Epoch, c.Step)
	}
	s.judgedCanary = c
	release, _ := s.record.rollout.Release(c.Release)
	releaseOver := release.Name == "" || release.State == rollout.ReleaseRolledBack || release.State == rollout.ReleaseCompleted
	switch {
	case c.Status == canary.Completed, c.Status == canary.RolledBack && releaseOver:
		return []canary.Command{{Op: canary.OpClose, Release: c.Release}}
	case c.Status != canary.Progressing:
		v.Degraded, v.DegradedRelease = cmp.Or(c.Reason, string(c.Status)), c.Release
	}
	previous := s.verdict.Outcome
	if s.verdict = s.judge.Verdict(now); s.verdict.Outcome != previous {
		s.Log.WithFields(logrus.Fields{"release": c.Release, "rung": c.Step, "per_mille": c.PerMille, "verdict": s.verdict.Outcome, "metric": s.verdict.Metric,
			"zones": s.verdict.Zones, "relays": s.verdict.Relays}).Info("fleet: canary verdict")
	}
	applied := !slices.ContainsFunc(v.Relays, func(r rollout.Relay) bool {
		status := s.controller.fleet.relays[r.Name]
		return r.ReportAgeMS < silenceTimeout.Milliseconds() && status != nil && status.CanaryVersion < s.record.canary.Version()
	})
	return s.record.canary.Plan(max(now, s.record.items.At), s.verdict, applied)
}

// gateOnCanary removes from a plan the grants of a release whose canary is not completed, once the
// release has begun; grants of a rollback stay. If a canary was rolled back, it adds the rollback of
// the canary's release.
func (s *Service) gateOnCanary(plan []rollout.Command) (gated []rollout.Command) {
	s.record.mu.RLock()
	defer s.record.mu.RUnlock()
	gatedReleases := map[string]bool{}
	for _, c := range s.record.canary.Canaries() {
		r, ok := s.record.rollout.Release(c.Release)
		switch {
		case !ok || r.RollingBack:
		case c.Status == canary.RolledBack && (r.State == rollout.ReleaseHalted || r.State == rollout.ReleaseRunning):
			gated = append(gated, rollout.Command{Kind: rollout.CommandRollBack, Name: r.Name, Requester: "canary", Reason: c.Reason})
		case c.Status != canary.Completed && slices.ContainsFunc(r.Units, func(u rollout.Unit) bool { return u.Phase != rollout.PhasePending }):
			gatedReleases[c.Release] = true
		}
	}
	return append(gated, dropGrants(plan, func(g rollout.Grant) bool { return gatedReleases[g.Release] })...)
}

// dropGrants returns a plan without the grants for which drop returns true, and without the step
// commands that have no grants left.
func dropGrants(plan []rollout.Command, drop func(rollout.Grant) bool) (rest []rollout.Command) {
	for _, c := range plan {
		if c.Kind == rollout.CommandStep {
			planned := len(c.Grants)
			c.Grants = slices.DeleteFunc(slices.Clone(c.Grants), drop)
			if planned > 0 && len(c.Grants) == 0 {
				continue
			}
		}
		rest = append(rest, c)
	}
	return rest
}

package fleet

import (
	"slices"

	"github.com/sirupsen/logrus"

	"dahliarudder/internal/canary"
	"dahliarudder/internal/rollout"
)

// evaluateCanary has the judge of the canary say what it thinks, and gives what is to be proposed. What is worse goes into the view, so that the
// release halts. Called with the lock held.
func (s *Service) evaluateCanary(now int64, v *rollout.View) (plan []canary.Command) {
	s.record.mu.RLock()
	defer s.record.mu.RUnlock()
	all := s.record.canary.Canaries()
	if len(all) == 0 {
		s.judge = nil
		return nil
	}
	c := all[0] // one at a time
	switch {
	case s.judge == nil || s.judgedCanary.Salt != c.Salt:
		s.judge = canary.NewJudge(canary.JudgeSettings{Spec: c.Spec, Epoch: c.Epoch, Step: c.Step, Checkpoint: s.record.canary.Checkpoint(c.Release)})
	case s.judgedCanary.Epoch != c.Epoch || s.judgedCanary.Step != c.Step:
		s.judge.BeginStep(c.Epoch, c.Step)
	}
	s.judgedCanary = c
	release, _ := s.record.rollout.Release(c.Release)
	switch {
	case c.Status == canary.Completed, c.Status == canary.RolledBack && (release.Name == "" || release.State == rollout.ReleaseRolledBack || release.State == rollout.ReleaseCompleted):
		return []canary.Command{{Op: canary.OpClose, Release: c.Release}}
	case c.Status != canary.Progressing:
		v.Degraded, v.DegradedRelease = cmpOr(c.Reason, string(c.Status)), c.Release
	}
	was := s.verdict.Outcome
	if s.verdict = s.judge.Verdict(now); s.verdict.Outcome != was {
		s.Log.WithFields(logrus.Fields{"release": c.Release, "rung": c.Step, "per_mille": c.PerMille, "verdict": s.verdict.Outcome, "metric": s.verdict.Metric,
			"zones": s.verdict.Zones, "relays": s.verdict.Relays}).Info("fleet: canary")
	}
	applied := !slices.ContainsFunc(v.Relays, func(r rollout.Relay) bool {
		h := s.controller.fleet.relays[r.Name]
		return r.ReportAgeMS < silenceTimeout.Milliseconds() && h != nil && h.CanaryVersion < s.record.canary.Version()
	})
	return s.record.canary.Plan(max(now, s.record.items.At), s.verdict, applied)
}

func cmpOr(a, b string) string {
	if a != "" {
		return a
	}
	return b
}

// withholdBlocked leaves out what a release would give out while its canary is not over and the arm is there; the way back is never held up. Of a
// release whose canary went back, it adds that the release goes back too.
func (s *Service) gateOnCanary(plan []rollout.Command) (out []rollout.Command) {
	s.record.mu.RLock()
	defer s.record.mu.RUnlock()
	hold := map[string]bool{}
	for _, c := range s.record.canary.Canaries() {
		r, ok := s.record.rollout.Release(c.Release)
		switch {
		case !ok || r.RollingBack:
		case c.Status == canary.RolledBack && (r.State == rollout.ReleaseHalted || r.State == rollout.ReleaseRunning):
			out = append(out, rollout.Command{Kind: rollout.CommandRollBack, Name: r.Name, Requester: "canary", Reason: c.Reason})
		case c.Status != canary.Completed && slices.ContainsFunc(r.Units, func(u rollout.Unit) bool { return u.Phase != rollout.PhasePending }):
			hold[c.Release] = true
		}
	}
	for _, c := range plan {
		if c.Kind == rollout.CommandStep {
			had := len(c.Grants)
			c.Grants = slices.DeleteFunc(slices.Clone(c.Grants), func(g rollout.Grant) bool { return hold[g.Release] })
			if had > 0 && len(c.Grants) == 0 {
				continue
			}
		}
		out = append(out, c)
	}
	return out
}

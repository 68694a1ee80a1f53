package canary

import (
	"errors"
	"fmt"
	"math"
	"slices"
)

// Plan says what to propose next for the canary that a verdict is on. Applied: every relay that lives and counts has the weight of now.
// A step up is fenced by the canary's number, so that a verdict which something overtook raises nothing.
func (s *State) Plan(now int64, v Verdict, applied bool) []Command {
	c := s.find(v.Release)
	if c == nil {
		return nil
	}
	if c.Status == Paused && c.Outcome == Regressed {
		return []Command{{Op: OpRollBack, Release: c.Release, Revision: c.Revision, Outcome: Regressed, Reason: c.Reason}}
	}
	if c.Status != Progressing {
		return nil
	}
	if v.Epoch != c.Epoch || v.Step != c.Step {
		v = Verdict{Release: v.Release, Outcome: Inconclusive} // of another rung: it says nothing here
	}
	var keep []Command
	if v.Checkpoint != nil {
		keep = []Command{{Op: OpCheckpoint, Release: c.Release, Revision: c.Revision, Checkpoint: v.Checkpoint}}
	}
	pause := Command{Op: OpPause, Release: c.Release, Epoch: c.Epoch, Outcome: v.Outcome}
	switch {
	case v.Outcome == Regressed:
		pause.Reason = fmt.Sprintf("%s worse everywhere at %d per mille", v.Metric, c.PerMille)
	case v.Outcome == Divergent:
		for _, z := range v.Zones {
			pause.Divergent = append(pause.Divergent, "zone "+z)
		}
		for _, r := range v.Relays {
			pause.Divergent = append(pause.Divergent, "relay "+r)
		}
		pause.Reason = fmt.Sprintf("%s worse at some relays only, at %d per mille", v.Metric, c.PerMille)
	case v.Outcome == Healthy && !v.Suspected:
		if !applied {
			return keep // a relay that is late is drift's to name
		}
		return []Command{{Op: OpAdvance, Release: c.Release, Revision: c.Revision, Reason: fmt.Sprintf("sound after %d compared", v.Compared)}}
	case now-c.StepStartedAt > c.MaxStepMS:
		pause.Outcome = Overdue
		pause.Reason = fmt.Sprintf("%d of %d compared in the longest time of a rung", v.Compared, c.MinAttempts)
		if v.Compared >= c.MinAttempts {
			pause.Reason = fmt.Sprintf("harm was not ruled out in the longest time of a rung, after %d compared", v.Compared)
		}
		if v.Suspected {
			pause.Reason = fmt.Sprintf("%s in doubt for the longest time of a rung", v.Metric)
		}
	default:
		return keep
	}
	return []Command{pause}
}

// ValidateSpec says why a spec cannot work; nil if it can.
func ValidateSpec(s Spec) error {
	if s.Release == "" || len(s.Release) > 128 {
		return errors.New("a canary needs a release's name, of 128 bytes at most")
	}
	if s.Salt == 0 {
		return errors.New("salt: none")
	}
	if (len(s.Target.Members) == 0) == (s.Target.Since <= 0) {
		return errors.New("arm: either members by name, or all that started since a time")
	}
	if len(s.Target.Members) > MaxSelectedMembers {
		return fmt.Errorf("arm: %d members, at most %d", len(s.Target.Members), MaxSelectedMembers)
	}
	for i, m := range s.Target.Members {
		if m == "" || i > 0 && m <= s.Target.Members[i-1] {
			return errors.New("arm: members in the order of their names, each once")
		}
	}
	if err := validateSteps(s.Steps); err != nil {
		return err
	}
	if s.MinAttempts == 0 || s.MinAttempts > 1<<40 {
		return errors.New("floor: a rung needs some evidence")
	}
	if s.MaxStepMS < minStepSlices*sliceMS {
		return fmt.Errorf("longest: nothing can be judged in under %d s", minStepSlices*sliceMS/1000)
	}
	if !(s.FalsePositiveRate > 0 && s.FalsePositiveRate <= 0.5) { // NaN too
		return errors.New("error: above 0, 0.5 at most")
	}
	if len(s.Guardrails) == 0 {
		return errors.New("guards: nothing that must not get worse")
	}
	var seen []Metric
	for _, g := range s.Guardrails {
		if slices.Contains(seen, g.Metric) {
			return fmt.Errorf("guards: %s twice", g.Metric)
		}
		seen = append(seen, g.Metric)
		switch g.Metric {
		case Failures, EarlyDisconnects:
			if g.MarginPerMille < 1 || g.MarginPerMille > 500 || g.Factor != 0 && !(g.Factor >= 1 && g.Factor <= 4) {
				return fmt.Errorf("guards: %s: points from 1 to 500 per mille, a factor from 1 to 4", g.Metric)
			}
		case SetupTime, MessageTime:
			if !(g.Factor > 1 && g.Factor <= 16) || g.MarginPerMille != 0 || math.IsNaN(g.Factor) {
				return fmt.Errorf("guards: %s: a factor above 1, 16 at most", g.Metric)
			}
		default:
			return fmt.Errorf("guards: unknown %q", g.Metric)
		}
	}
	if !slices.Contains([]DivergencePolicy{"", KeepWeight, LowerWeight, ZeroWeight}, s.OnDivergence) {
		return fmt.Errorf("diverge: keep, lower or zero, not %q", s.OnDivergence)
	}
	return nil
}

// validateSteps says why weights make no ladder; nil if they do.
func validateSteps(ladder []int) error {
	if len(ladder) == 0 || len(ladder) > MaxSteps {
		return fmt.Errorf("ladder: 1 to %d rungs", MaxSteps)
	}
	for i, w := range ladder {
		if w < 1 || w > 1000 {
			return fmt.Errorf("ladder: %d is not from 1 to 1000 per mille", w)
		}
		if i > 0 && w <= ladder[i-1] {
			return fmt.Errorf("ladder: %d after %d does not rise", w, ladder[i-1])
		}
	}
	return nil
}

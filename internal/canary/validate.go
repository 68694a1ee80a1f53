package canary

import (
	"errors"
	"fmt"
	"math"
	"slices"
)

const (
	fullWeight           = 1000 // per mille
	maxMinAttempts       = 1 << 40
	maxFalsePositiveRate = 0.5
	maxMarginPerMille    = 500
	maxRateFactor        = 4  // Guardrail.Factor for failures and early disconnects
	maxTimeFactor        = 16 // Guardrail.Factor for durations
)

// ValidateSpec returns an error if a spec is invalid. Operators receive its text: it begins with the
// stored name of the field (floor is MinAttempts, longest is MaxStepMS, error is FalsePositiveRate).
func ValidateSpec(s Spec) error {
	if s.Release == "" || len(s.Release) > maxReleaseNameBytes {
		return errors.New("a canary needs a release's name, of 128 bytes at most")
	}
	if s.Salt == 0 {
		return errors.New("salt: none") // Salt is 0
	}
	if err := s.Target.validate(); err != nil {
		return err
	}
	if err := validateSteps(s.Steps); err != nil {
		return err
	}
	if s.MinAttempts == 0 || s.MinAttempts > maxMinAttempts {
		return errors.New("floor: a rung needs some evidence") // MinAttempts is 0 or above maxMinAttempts
	}
	if s.MaxStepMS < minStepSlices*sliceMS {
		return fmt.Errorf("longest: nothing can be judged in under %d s", minStepSlices*sliceMS/1000)
	}
	if !(s.FalsePositiveRate > 0 && s.FalsePositiveRate <= maxFalsePositiveRate) { // rejects NaN too
		return errors.New("error: above 0, 0.5 at most") // the allowed range of FalsePositiveRate
	}
	if err := validateGuardrails(s.Guardrails); err != nil {
		return err
	}
	if !slices.Contains([]DivergencePolicy{"", KeepWeight, LowerWeight, ZeroWeight}, s.OnDivergence) {
		return fmt.Errorf("diverge: keep, lower or zero, not %q", s.OnDivergence)
	}
	return nil
}

func (s Selector) validate() error {
	if (len(s.Members) == 0) == (s.Since <= 0) {
		return errors.New("arm: either members by name, or all that started since a time")
	}
	if len(s.Members) > MaxSelectedMembers {
		return fmt.Errorf("arm: %d members, at most %d", len(s.Members), MaxSelectedMembers)
	}
	for i, m := range s.Members {
		if m == "" || i > 0 && m <= s.Members[i-1] {
			return errors.New("arm: members in the order of their names, each once") // empty, unsorted or repeated
		}
	}
	return nil
}

func validateSteps(steps []int) error {
	if len(steps) == 0 || len(steps) > MaxSteps {
		return fmt.Errorf("ladder: 1 to %d rungs", MaxSteps)
	}
	for i, w := range steps {
		if w < 1 || w > fullWeight {
			return fmt.Errorf("ladder: %d is not from 1 to 1000 per mille", w)
		}
		if i > 0 && w <= steps[i-1] {
			return fmt.Errorf("ladder: %d after %d does not rise", w, steps[i-1])
		}
	}
	return nil
}

func validateGuardrails(guardrails []Guardrail) error {
	if len(guardrails) == 0 {
		return errors.New("guards: nothing that must not get worse") // there is no guardrail
	}
	var seen []Metric
	for _, g := range guardrails {
		if slices.Contains(seen, g.Metric) {
			return fmt.Errorf("guards: %s twice", g.Metric)
		}
		seen = append(seen, g.Metric)
		switch g.Metric {
		case Failures, EarlyDisconnects:
			if g.MarginPerMille < 1 || g.MarginPerMille > maxMarginPerMille || g.Factor != 0 && !(g.Factor >= 1 && g.Factor <= maxRateFactor) {
				return fmt.Errorf("guards: %s: points from 1 to 500 per mille, a factor from 1 to 4", g.Metric)
			}
		case SetupTime, MessageTime:
			if !(g.Factor > 1 && g.Factor <= maxTimeFactor) || g.MarginPerMille != 0 || math.IsNaN(g.Factor) {
				return fmt.Errorf("guards: %s: a factor above 1, 16 at most", g.Metric)
			}
		default:
			return fmt.Errorf("guards: unknown %q", g.Metric)
		}
	}
	return nil
}

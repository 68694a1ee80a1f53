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
	if c.Status == Paused && c.Kind == Worse {
		return []Command{{Do: "back", Release: c.Release, Number: c.Number, Kind: Worse, Why: c.Why}}
	}
	if c.Status != Going {
		return nil
	}
	if v.Epoch != c.Epoch || v.Rung != c.Rung {
		v = Verdict{Release: v.Release, Kind: NotEnough} // of another rung: it says nothing here
	}
	var keep []Command
	if v.Keep != nil {
		keep = []Command{{Do: "keep", Release: c.Release, Number: c.Number, Keep: v.Keep}}
	}
	pause := Command{Do: "pause", Release: c.Release, Epoch: c.Epoch, Kind: v.Kind}
	switch {
	case v.Kind == Worse:
		pause.Why = fmt.Sprintf("%s worse everywhere at %d per mille", v.Metric, c.PerMille)
	case v.Kind == Diverge:
		for _, z := range v.Zones {
			pause.Named = append(pause.Named, "zone "+z)
		}
		for _, r := range v.Relays {
			pause.Named = append(pause.Named, "relay "+r)
		}
		pause.Why = fmt.Sprintf("%s worse at some relays only, at %d per mille", v.Metric, c.PerMille)
	case v.Kind == Sound && !v.Doubt:
		if !applied {
			return keep // a relay that is late is drift's to name
		}
		return []Command{{Do: "rung", Release: c.Release, Number: c.Number, Why: fmt.Sprintf("sound after %d compared", v.Compared)}}
	case now-c.RungAt > c.Longest:
		pause.Kind = Late
		pause.Why = fmt.Sprintf("%d of %d compared in the longest time of a rung", v.Compared, c.Floor)
		if v.Compared >= c.Floor {
			pause.Why = fmt.Sprintf("harm was not ruled out in the longest time of a rung, after %d compared", v.Compared)
		}
		if v.Doubt {
			pause.Why = fmt.Sprintf("%s in doubt for the longest time of a rung", v.Metric)
		}
	default:
		return keep
	}
	return []Command{pause}
}

// Check says why a spec cannot work; nil if it can.
func Check(s Spec) error {
	if s.Release == "" || len(s.Release) > 128 {
		return errors.New("a canary needs a release's name, of 128 bytes at most")
	}
	if s.Salt == 0 {
		return errors.New("salt: none")
	}
	if (len(s.Arm.Members) == 0) == (s.Arm.Since <= 0) {
		return errors.New("arm: either members by name, or all that started since a time")
	}
	if len(s.Arm.Members) > MembersMost {
		return fmt.Errorf("arm: %d members, at most %d", len(s.Arm.Members), MembersMost)
	}
	for i, m := range s.Arm.Members {
		if m == "" || i > 0 && m <= s.Arm.Members[i-1] {
			return errors.New("arm: members in the order of their names, each once")
		}
	}
	if err := CheckLadder(s.Ladder); err != nil {
		return err
	}
	if s.Floor == 0 || s.Floor > 1<<40 {
		return errors.New("floor: a rung needs some evidence")
	}
	if s.Longest < shortest*sliceMS {
		return fmt.Errorf("longest: nothing can be judged in under %d s", shortest*sliceMS/1000)
	}
	if !(s.Error > 0 && s.Error <= 0.5) { // NaN too
		return errors.New("error: above 0, 0.5 at most")
	}
	if len(s.Guards) == 0 {
		return errors.New("guards: nothing that must not get worse")
	}
	var seen []Metric
	for _, g := range s.Guards {
		if slices.Contains(seen, g.Metric) {
			return fmt.Errorf("guards: %s twice", g.Metric)
		}
		seen = append(seen, g.Metric)
		switch g.Metric {
		case Failures, EarlyEnds:
			if g.Points < 1 || g.Points > 500 || g.Factor != 0 && !(g.Factor >= 1 && g.Factor <= 4) {
				return fmt.Errorf("guards: %s: points from 1 to 500 per mille, a factor from 1 to 4", g.Metric)
			}
		case SetUp, Message:
			if !(g.Factor > 1 && g.Factor <= 16) || g.Points != 0 || math.IsNaN(g.Factor) {
				return fmt.Errorf("guards: %s: a factor above 1, 16 at most", g.Metric)
			}
		default:
			return fmt.Errorf("guards: unknown %q", g.Metric)
		}
	}
	if !slices.Contains([]string{"", "keep", "lower", "zero"}, s.Diverge) {
		return fmt.Errorf("diverge: keep, lower or zero, not %q", s.Diverge)
	}
	return nil
}

// CheckLadder says why weights make no ladder; nil if they do.
func CheckLadder(ladder []int) error {
	if len(ladder) == 0 || len(ladder) > RungsMost {
		return fmt.Errorf("ladder: 1 to %d rungs", RungsMost)
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

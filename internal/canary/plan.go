package canary

import "fmt"

// Plan returns the commands that the leader should propose next for the canary of a verdict. applied
// is whether all live relays of known status have applied the current weight. A step up is fenced by
// the canary's revision, so that an outdated verdict cannot raise the weight. The reasons are stored in
// the record and shown to operators.
func (s *State) Plan(now int64, v Verdict, applied bool) []Command {
	c := s.findCanary(v.Release)
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
		v = Verdict{Release: v.Release, Outcome: Inconclusive} // the verdict is on another step or epoch
	}
	var storeCheckpoint []Command
	if v.Checkpoint != nil {
		storeCheckpoint = []Command{{Op: OpCheckpoint, Release: c.Release, Revision: c.Revision, Checkpoint: v.Checkpoint}}
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
			return storeCheckpoint // wait; drift detection reports the relay that lags behind
		}
		return []Command{{Op: OpAdvance, Release: c.Release, Revision: c.Revision, Reason: fmt.Sprintf("sound after %d compared", v.Compared)}}
	case now-c.StepStartedAt > c.MaxStepMS:
		pause.Outcome, pause.Reason = Overdue, overdueReason(v, c.MinAttempts)
	default:
		return storeCheckpoint
	}
	return []Command{pause}
}

// overdueReason returns why a step got no verdict within Spec.MaxStepMS; "compared" counts attempts to the
// canary.
func overdueReason(v Verdict, minAttempts uint64) string {
	switch {
	case v.Suspected:
		return fmt.Sprintf("%s in doubt for the longest time of a rung", v.Metric)
	case v.Compared >= minAttempts:
		return fmt.Sprintf("harm was not ruled out in the longest time of a rung, after %d compared", v.Compared)
	}
	return fmt.Sprintf("%d of %d compared in the longest time of a rung", v.Compared, minAttempts)
}

package canary

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
)

// Apply executes one command of the log and returns the JSON answer to its proposer. The answer to an
// invalid command has an error and changes nothing. The error texts below go to operators as they are,
// so they use the stored words: see the package comment.
func (s *State) Apply(at int64, by string, body []byte) []byte {
	at = max(s.stored.At, at) // time in the record never decreases
	var cmd Command
	err := json.Unmarshal(body, &cmd)
	if err == nil {
		err = s.apply(at, by, cmd)
	}
	var answer struct {
		Error  string  `json:"error,omitempty"`
		Canary *Canary `json:"canary,omitempty"`
	}
	if err != nil {
		answer.Error = err.Error()
	} else {
		s.stored.At = at
		answer.Canary = s.findCanary(cmd.Release)
	}
	b, err := json.Marshal(answer)
	if err != nil {
		panic(err) // unreachable, as in Encode
	}
	return b
}

func (s *State) apply(at int64, by string, cmd Command) error {
	if cmd.Op == OpOpen {
		return s.open(at, by, cmd)
	}
	c := s.findCanary(cmd.Release)
	if c == nil {
		return fmt.Errorf("no canary of release %q", cmd.Release)
	}
	if cmd.Revision != 0 && cmd.Revision != c.Revision {
		// The command was computed at another revision of the canary.
		return fmt.Errorf("overtaken: it was reckoned at %d and the canary is at %d", cmd.Revision, c.Revision)
	}
	var err error
	switch cmd.Op {
	case OpAdvance:
		err = c.advance(at, cmd)
	case OpPause:
		err = c.pause(cmd)
	case OpResume:
		err = s.resume(c, at, cmd)
	case OpRollBack:
		if c.Status == RolledBack {
			return nil
		}
		c.Status, c.PerMille = RolledBack, 0
	case OpCheckpoint:
		return s.storeCheckpoint(c, cmd)
	case OpClose:
		return s.close(c)
	default:
		err = fmt.Errorf("unknown command %q", cmd.Op)
	}
	if err != nil {
		return err
	}
	c.ChangedBy, c.Reason = by, cmd.Reason
	c.Revision++
	s.stored.Version++
	delete(s.stored.Checkpoints, c.Release)
	return nil
}

func (s *State) open(at int64, by string, cmd Command) error {
	if cmd.Spec == nil {
		return errors.New("nothing to open") // the command has no spec
	}
	spec := *cmd.Spec
	if spec.Release != cmd.Release {
		return errors.New("two names of a release") // command and spec name different releases
	}
	if err := ValidateSpec(spec); err != nil {
		return err
	}
	if len(s.stored.Canaries) >= MaxCanaries {
		return fmt.Errorf("%d canaries are held, close one that is over", MaxCanaries)
	}
	i, found := slices.BinarySearchFunc(s.stored.Canaries, spec.Release, func(c Canary, name string) int { return strings.Compare(c.Release, name) })
	if found {
		return fmt.Errorf("release %q has one", spec.Release) // the release already has a canary
	}
	for _, c := range s.stored.Canaries {
		if mayOverlap(c.Target, spec.Target) {
			// A member could be selected by both canaries.
			return fmt.Errorf("its arm may hold members of release %q", c.Release)
		}
		if c.Salt == spec.Salt {
			return fmt.Errorf("the salt of release %q", c.Release) // that canary already uses this salt
		}
	}
	s.stored.Epochs++
	c := Canary{Spec: spec, Status: Progressing, PerMille: spec.Steps[0], Epoch: s.stored.Epochs, Revision: 1, StepStartedAt: at, ChangedBy: by, Reason: cmd.Reason}
	s.stored.Canaries = slices.Insert(s.stored.Canaries, i, c)
	s.stored.Version++
	return nil
}

// mayOverlap reports whether both selectors may select the same member: which weight applied to it
// would then depend on the order of the canaries.
func mayOverlap(x, y Selector) bool {
	if len(x.Members) == 0 || len(y.Members) == 0 {
		return true // the members that started since a time are not known here
	}
	return slices.ContainsFunc(x.Members, func(m string) bool { return slices.Contains(y.Members, m) })
}

// advance goes to the next step, or completes the canary after the last one.
func (c *Canary) advance(at int64, cmd Command) error {
	switch {
	case cmd.Revision == 0:
		return errors.New("a step up names the number that it was reckoned at") // Command.Revision is missing
	case c.Status != Progressing:
		return fmt.Errorf("no step up: it is %s", c.Status)
	case c.Step == len(c.Steps)-1:
		c.Status = Completed
	default:
		c.enterStep(c.Step+1, at)
	}
	c.Outcome, c.Divergent = "", nil
	return nil
}

func (c *Canary) enterStep(step int, at int64) {
	c.Step, c.PerMille, c.StepStartedAt = step, c.Steps[step], at
}

// pause lowers the weight, never raises it: to zero, or as Spec.OnDivergence says for a divergent
// outcome. The second pause on the same step rolls the canary back.
func (c *Canary) pause(cmd Command) error {
	if cmd.Epoch != 0 && cmd.Epoch < c.Epoch {
		return fmt.Errorf("it was resumed since, in epoch %d", c.Epoch)
	}
	weight := 0
	if cmd.Outcome == Divergent {
		switch {
		case c.OnDivergence == KeepWeight:
			weight = c.Steps[c.Step]
		case c.OnDivergence == LowerWeight && c.Step > 0:
			weight = c.Steps[c.Step-1]
		}
	}
	switch c.Status {
	case Progressing, Completed:
		c.Status = Paused
		if slices.Contains(c.PausedSteps, c.Step) {
			c.Status, weight = RolledBack, 0
		} else {
			c.PausedSteps = append(slices.Clone(c.PausedSteps), c.Step)
		}
	case RolledBack:
		return errors.New("it has gone back") // the canary is already rolled back
	case Paused:
		if weight >= c.PerMille && cmd.Outcome != Regressed {
			return errors.New("it is paused") // already, and this pause does not lower the weight further
		}
	}
	c.PerMille = min(c.PerMille, weight)
	c.Outcome, c.Divergent = cmd.Outcome, slices.Clone(cmd.Divergent)
	return nil
}

// resume continues one step below the paused one. It starts a new epoch, which ends all pauses of
// earlier epochs.
func (s *State) resume(c *Canary, at int64, cmd Command) error {
	if c.Status != Paused {
		return fmt.Errorf("nothing to resume: it is %s", c.Status)
	}
	if cmd.Epoch > s.stored.Epochs && cmd.Epoch-s.stored.Epochs > maxEpochLead {
		return fmt.Errorf("no epoch comes near %d", cmd.Epoch) // more than maxEpochLead above the last one
	}
	s.stored.Epochs = max(s.stored.Epochs, cmd.Epoch) + 1
	c.Status, c.Epoch = Progressing, s.stored.Epochs
	c.enterStep(max(c.Step-1, 0), at)
	c.Outcome, c.Divergent = "", nil
	return nil
}

// storeCheckpoint stores a step's evidence. Relays need not apply it, so neither the canary's revision
// nor the state's version increases.
func (s *State) storeCheckpoint(c *Canary, cmd Command) error {
	if cmd.Revision == 0 || c.Status != Progressing || len(cmd.Checkpoint) == 0 || len(cmd.Checkpoint) > MaxCheckpointBytes {
		// The revision or the evidence is missing, the evidence is too long, or the canary is not progressing.
		return errors.New("no evidence of a rung that is going")
	}
	if s.stored.Checkpoints == nil {
		s.stored.Checkpoints = map[string]checkpoint{}
	}
	s.stored.Checkpoints[cmd.Release] = checkpoint{c.Revision, cmd.Checkpoint}
	return nil
}

// close removes a completed or rolled back canary from the record.
func (s *State) close(c *Canary) error {
	if c.Status != RolledBack && c.Status != Completed {
		return fmt.Errorf("not over: it is %s", c.Status) // only a completed or rolled back canary can be closed
	}
	release := c.Release
	delete(s.stored.Checkpoints, release)
	s.stored.Canaries = slices.DeleteFunc(s.stored.Canaries, func(c Canary) bool { return c.Release == release })
	s.stored.Version++
	return nil
}

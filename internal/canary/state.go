package canary

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
)

// State is what the fleet has agreed on. It is changed by Apply alone, from the log, with the same result everywhere: it reads no
// clock, and its canaries are a list in the order of their names.
type State struct {
	form stateForm
}

type stateForm struct {
	Version     uint64                `json:"version"` // commands that changed something
	At          int64                 `json:"at"`
	Epochs      uint64                `json:"epochs"` // the last one given out
	Canaries    []Canary              `json:"canaries,omitempty"`
	Checkpoints map[string]checkpoint `json:"kept,omitempty"` // by release; in the order of names, as JSON has it
}

// checkpoint is what a leader had found on a rung.
type checkpoint struct {
	Revision uint64 `json:"number"` // of the canary: with the next change it is over
	Evidence []byte `json:"evidence"`
}

// maxEpochLead bounds by how much a claimed epoch may be above the last agreed one: a false one must not use them up.
const maxEpochLead = 1 << 32

// NewState is a state with nothing agreed.
func NewState() *State { return &State{} }

// Encode is the state as a snapshot holds it.
func (s *State) Encode() []byte {
	b, err := json.Marshal(s.form)
	if err != nil {
		panic(err) // ValidateSpec keeps out what JSON cannot say
	}
	return b
}

// DecodeState is the state of a snapshot.
func DecodeState(b []byte) (*State, error) {
	s := NewState()
	if err := json.Unmarshal(b, &s.form); err != nil {
		return nil, fmt.Errorf("canary: snapshot: %w", err)
	}
	if len(s.form.Canaries) > MaxCanaries {
		return nil, fmt.Errorf("canary: snapshot: %d canaries, at most %d", len(s.form.Canaries), MaxCanaries)
	}
	for name, k := range s.form.Checkpoints {
		if s.find(name) == nil || len(k.Evidence) > MaxCheckpointBytes {
			return nil, errors.New("canary: snapshot: evidence of nothing, or too much")
		}
	}
	for i, c := range s.form.Canaries {
		if err := ValidateSpec(c.Spec); err != nil {
			return nil, fmt.Errorf("canary: snapshot: %s: %w", c.Release, err)
		}
		switch {
		case i > 0 && s.form.Canaries[i-1].Release >= c.Release:
			return nil, errors.New("canary: snapshot: not in order")
		case c.Step < 0 || c.Step >= len(c.Steps) || c.PerMille < 0 || c.PerMille > c.Steps[c.Step] || c.Epoch > s.form.Epochs:
			return nil, fmt.Errorf("canary: snapshot: %s: it cannot stand where it does", c.Release)
		case !slices.Contains([]Status{Progressing, Paused, RolledBack, Completed}, c.Status):
			return nil, fmt.Errorf("canary: snapshot: %s: unknown status %q", c.Release, c.Status)
		}
	}
	return s, nil
}

// Version rises with each command that changed something.
func (s *State) Version() uint64 { return s.form.Version }

// Canaries is all that is held, by name.
func (s *State) Canaries() []Canary { return slices.Clone(s.form.Canaries) }

// Canary is one of them.
func (s *State) Canary(release string) (Canary, bool) {
	if c := s.find(release); c != nil {
		return *c, true
	}
	return Canary{}, false
}

func (s *State) find(release string) *Canary {
	for i := range s.form.Canaries {
		if s.form.Canaries[i].Release == release {
			return &s.form.Canaries[i]
		}
	}
	return nil
}

// Weights is what every relay is to do, by name of the release. One that went back is among them at zero until it is closed.
func (s *State) Weights() []Weight {
	var list []Weight
	for _, c := range s.form.Canaries {
		list = append(list, Weight{Release: c.Release, Target: c.Target, Salt: c.Salt, PerMille: c.PerMille, Step: c.Step, Epoch: c.Epoch, Revision: c.Revision})
	}
	return list
}

// Checkpoint is the evidence of the rung that a canary is on, nil if there is none.
func (s *State) Checkpoint(release string) []byte {
	if c := s.find(release); c != nil && s.form.Checkpoints[release].Revision == c.Revision {
		return s.form.Checkpoints[release].Evidence
	}
	return nil
}

// Apply takes one command of the log. What cannot be is answered with an error and changes nothing.
func (s *State) Apply(at int64, by string, body []byte) []byte {
	at = max(s.form.At, at) // time in the record never runs back
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
		s.form.At = at
		answer.Canary = s.find(cmd.Release)
	}
	b, err := json.Marshal(answer)
	if err != nil {
		panic(err) // as Encode
	}
	return b
}

func (s *State) apply(at int64, by string, cmd Command) error {
	if cmd.Op == OpOpen {
		return s.open(at, by, cmd)
	}
	c := s.find(cmd.Release)
	if c == nil {
		return fmt.Errorf("no canary of release %q", cmd.Release)
	}
	if cmd.Revision != 0 && cmd.Revision != c.Revision {
		return fmt.Errorf("overtaken: it was reckoned at %d and the canary is at %d", cmd.Revision, c.Revision)
	}
	switch cmd.Op {
	case OpAdvance:
		switch {
		case cmd.Revision == 0:
			return errors.New("a step up names the number that it was reckoned at")
		case c.Status != Progressing:
			return fmt.Errorf("no step up: it is %s", c.Status)
		case c.Step == len(c.Steps)-1:
			c.Status = Completed
		default:
			c.Step++
			c.PerMille, c.StepStartedAt = c.Steps[c.Step], at
		}
		c.Outcome, c.Divergent = "", nil
	case OpPause:
		if err := s.pause(c, cmd); err != nil {
			return err
		}
	case OpResume:
		if c.Status != Paused {
			return fmt.Errorf("nothing to resume: it is %s", c.Status)
		}
		if cmd.Epoch > s.form.Epochs && cmd.Epoch-s.form.Epochs > maxEpochLead {
			return fmt.Errorf("no epoch comes near %d", cmd.Epoch)
		}
		s.form.Epochs = max(s.form.Epochs, cmd.Epoch) + 1
		c.Status, c.Epoch = Progressing, s.form.Epochs
		c.Step = max(c.Step-1, 0)
		c.PerMille, c.StepStartedAt = c.Steps[c.Step], at
		c.Outcome, c.Divergent = "", nil
	case OpRollBack:
		if c.Status == RolledBack {
			return nil
		}
		c.Status, c.PerMille = RolledBack, 0
	case OpCheckpoint: // it changes no weight: neither a number nor a version
		if cmd.Revision == 0 || c.Status != Progressing || len(cmd.Checkpoint) == 0 || len(cmd.Checkpoint) > MaxCheckpointBytes {
			return errors.New("no evidence of a rung that is going")
		}
		if s.form.Checkpoints == nil {
			s.form.Checkpoints = map[string]checkpoint{}
		}
		s.form.Checkpoints[cmd.Release] = checkpoint{c.Revision, cmd.Checkpoint}
		return nil
	case OpClose:
		if c.Status != RolledBack && c.Status != Completed {
			return fmt.Errorf("not over: it is %s", c.Status)
		}
		name := c.Release
		delete(s.form.Checkpoints, name)
		s.form.Canaries = slices.DeleteFunc(s.form.Canaries, func(c Canary) bool { return c.Release == name })
		s.form.Version++
		return nil
	default:
		return fmt.Errorf("unknown command %q", cmd.Op)
	}
	c.ChangedBy, c.Reason = by, cmd.Reason
	c.Revision++
	s.form.Version++
	delete(s.form.Checkpoints, c.Release)
	return nil
}

func (s *State) open(at int64, by string, cmd Command) error {
	if cmd.Spec == nil {
		return errors.New("nothing to open")
	}
	spec := *cmd.Spec
	if spec.Release != cmd.Release {
		return errors.New("two names of a release")
	}
	if err := ValidateSpec(spec); err != nil {
		return err
	}
	if len(s.form.Canaries) >= MaxCanaries {
		return fmt.Errorf("%d canaries are held, close one that is over", MaxCanaries)
	}
	at0, found := slices.BinarySearchFunc(s.form.Canaries, spec.Release, func(c Canary, name string) int { return strings.Compare(c.Release, name) })
	if found {
		return fmt.Errorf("release %q has one", spec.Release)
	}
	for _, c := range s.form.Canaries {
		if overlap(c.Target, spec.Target) {
			return fmt.Errorf("its arm may hold members of release %q", c.Release)
		}
		if c.Salt == spec.Salt {
			return fmt.Errorf("the salt of release %q", c.Release)
		}
	}
	s.form.Epochs++
	c := Canary{Spec: spec, Status: Progressing, PerMille: spec.Steps[0], Epoch: s.form.Epochs, Revision: 1, StepStartedAt: at, ChangedBy: by, Reason: cmd.Reason}
	s.form.Canaries = slices.Insert(s.form.Canaries, at0, c)
	s.form.Version++
	return nil
}

// overlap says whether a member may belong to both: then whose share it gets would depend on the order.
func overlap(x, y Selector) bool {
	if len(x.Members) == 0 || len(y.Members) == 0 {
		return true // all that started since may be any
	}
	return slices.ContainsFunc(x.Members, func(m string) bool { return slices.Contains(y.Members, m) })
}

// pause takes the weight down: to nothing, or as the spec says where outcomes diverge. It never raises it.
func (s *State) pause(c *Canary, cmd Command) error {
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
		if slices.Contains(c.PausedSteps, c.Step) { // the second time here
			c.Status, weight = RolledBack, 0
		} else {
			c.PausedSteps = append(slices.Clone(c.PausedSteps), c.Step)
		}
	case RolledBack:
		return errors.New("it has gone back")
	case Paused:
		if weight >= c.PerMille && cmd.Outcome != Regressed {
			return errors.New("it is paused")
		}
	}
	c.PerMille = min(c.PerMille, weight)
	c.Outcome, c.Divergent = cmd.Outcome, slices.Clone(cmd.Divergent)
	return nil
}

package canary

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
)

// State is what the fleet has agreed on. Only Apply changes it, from the log, with the same result at every relay: it reads no clock, and
// its canaries are a list sorted by release.
type State struct {
	stored storedState
}

// stateForm is the state as a snapshot stores it.
type storedState struct {
	Version     uint64                `json:"version"` // commands that changed something
	At          int64                 `json:"at"`      // of the last command: it never goes back
	Epochs      uint64                `json:"epochs"`  // the last one given out
	Canaries    []Canary              `json:"canaries,omitempty"`
	Checkpoints map[string]checkpoint `json:"kept,omitempty"` // by release; JSON sorts the keys
}

// checkpoint is the evidence that a leader had collected on a step.
type checkpoint struct {
	Revision uint64 `json:"number"` // of the canary: the evidence is void after its next change
	Evidence []byte `json:"evidence"`
}

// NewState returns a state in which nothing is agreed.
func NewState() *State { return &State{} }

// Encode returns the state as a snapshot stores it.
func (s *State) Encode() []byte {
	b, err := json.Marshal(s.stored)
	if err != nil {
		panic(err) // unreachable: ValidateSpec rejects what JSON cannot represent
	}
	return b
}

// DecodeState reads the state of a snapshot.
func DecodeState(b []byte) (*State, error) {
	s := NewState()
	if err := json.Unmarshal(b, &s.stored); err != nil {
		return nil, fmt.Errorf("canary: snapshot: %w", err)
	}
	if err := s.validate(); err != nil {
		return nil, fmt.Errorf("canary: snapshot: %w", err)
	}
	return s, nil
}

// validate rejects what Apply cannot have made.
func (s *State) validate() error {
	if len(s.stored.Canaries) > MaxCanaries {
		return fmt.Errorf("%d canaries, at most %d", len(s.stored.Canaries), MaxCanaries)
	}
	for release, k := range s.stored.Checkpoints {
		if s.findCanary(release) == nil || len(k.Evidence) > MaxCheckpointBytes {
			return errors.New("evidence of nothing, or too much")
		}
	}
	for i, c := range s.stored.Canaries {
		if err := ValidateSpec(c.Spec); err != nil {
			return fmt.Errorf("%s: %w", c.Release, err)
		}
		switch {
		case i > 0 && s.stored.Canaries[i-1].Release >= c.Release:
			return errors.New("not in order")
		case c.Step < 0 || c.Step >= len(c.Steps) || c.PerMille < 0 || c.PerMille > c.Steps[c.Step] || c.Epoch > s.stored.Epochs:
			return fmt.Errorf("%s: it cannot stand where it does", c.Release)
		case !slices.Contains([]Status{Progressing, Paused, RolledBack, Completed}, c.Status):
			return fmt.Errorf("%s: unknown status %q", c.Release, c.Status)
		}
	}
	return nil
}

// Version rises with each command that changed something.
func (s *State) Version() uint64 { return s.stored.Version }

// Canaries returns all canaries, sorted by release.
func (s *State) Canaries() []Canary { return slices.Clone(s.stored.Canaries) }

// Canary returns the canary of a release.
func (s *State) Canary(release string) (Canary, bool) {
	if c := s.findCanary(release); c != nil {
		return *c, true
	}
	return Canary{}, false
}

func (s *State) findCanary(release string) *Canary {
	for i := range s.stored.Canaries {
		if s.stored.Canaries[i].Release == release {
			return &s.stored.Canaries[i]
		}
	}
	return nil
}

// Weights returns the weights that every relay is to use, sorted by release. A canary that was rolled back is among them at zero until it is
// closed.
func (s *State) Weights() []Weight {
	var list []Weight
	for _, c := range s.stored.Canaries {
		list = append(list, Weight{Release: c.Release, Target: c.Target, Salt: c.Salt, PerMille: c.PerMille, Step: c.Step, Epoch: c.Epoch, Revision: c.Revision})
	}
	return list
}

// Checkpoint returns the evidence stored for a canary's present step, nil if there is none.
func (s *State) Checkpoint(release string) []byte {
	if c := s.findCanary(release); c != nil && s.stored.Checkpoints[release].Revision == c.Revision {
		return s.stored.Checkpoints[release].Evidence
	}
	return nil
}

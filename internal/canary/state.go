package canary

import (
	"encoding/json"
	"fmt"
	"slices"
)

// State is the replicated record of canaries. Only Apply changes it, with the commands of the replicated
// log. The result is the same at every relay: it reads no clock, and the canaries are a list sorted by
// release.
type State struct {
	stored storedState
}

// storedState is the encoded form of State in a snapshot.
type storedState struct {
	Version     uint64                `json:"version"` // number of commands that changed a canary
	At          int64                 `json:"at"`      // time of the last successful command; never decreases
	Epochs      uint64                `json:"epochs"`  // the highest epoch assigned
	Canaries    []Canary              `json:"canaries,omitempty"`
	Checkpoints map[string]checkpoint `json:"kept,omitempty"` // by release; encoding/json sorts the keys
}

// checkpoint is the evidence that a leader collected on a step.
type checkpoint struct {
	Revision uint64 `json:"number"` // of the canary; the evidence is valid only at this revision
	Evidence []byte `json:"evidence"`
}

// NewState returns a state without canaries.
func NewState() *State { return &State{} }

// Encode returns the encoded state for a snapshot.
func (s *State) Encode() []byte {
	b, err := json.Marshal(s.stored)
	if err != nil {
		panic(err) // unreachable: ValidateSpec rejects what JSON cannot represent
	}
	return b
}

// DecodeState decodes and validates a state encoded by Encode.
func DecodeState(b []byte) (*State, error) {
	s := NewState()
	if err := json.Unmarshal(b, &s.stored); err != nil {
		return nil, fmt.Errorf("canary: decode snapshot: %w", err)
	}
	if err := s.validate(); err != nil {
		return nil, fmt.Errorf("canary: invalid snapshot: %w", err)
	}
	return s, nil
}

// validate rejects states that Apply cannot produce.
func (s *State) validate() error {
	if len(s.stored.Canaries) > MaxCanaries {
		return fmt.Errorf("%d canaries, want at most %d", len(s.stored.Canaries), MaxCanaries)
	}
	for release, k := range s.stored.Checkpoints {
		if s.findCanary(release) == nil || len(k.Evidence) > MaxCheckpointBytes {
			return fmt.Errorf("checkpoint of release %q has no canary or is too long: %d bytes, limit %d",
				release, len(k.Evidence), MaxCheckpointBytes)
		}
	}
	for i, c := range s.stored.Canaries {
		if err := ValidateSpec(c.Spec); err != nil {
			return fmt.Errorf("%s: %w", c.Release, err)
		}
		switch {
		case i > 0 && s.stored.Canaries[i-1].Release >= c.Release:
			return fmt.Errorf("canaries are not sorted by release: %q follows %q",
				c.Release, s.stored.Canaries[i-1].Release)
		case c.Step < 0 || c.Step >= len(c.Steps) || c.PerMille < 0 || c.PerMille > c.Steps[c.Step] || c.Epoch > s.stored.Epochs:
			return fmt.Errorf("%s: step %d of %d, weight %d per mille or epoch %d (highest %d) is out of range",
				c.Release, c.Step, len(c.Steps), c.PerMille, c.Epoch, s.stored.Epochs)
		case !slices.Contains([]Status{Progressing, Paused, RolledBack, Completed}, c.Status):
			return fmt.Errorf("%s: unknown status %q", c.Release, c.Status)
		}
	}
	return nil
}

// Version increases with each command that changes a canary; storing a checkpoint does not change it.
func (s *State) Version() uint64 { return s.stored.Version }

// Canaries returns all canaries, sorted by release.
func (s *State) Canaries() []Canary { return slices.Clone(s.stored.Canaries) }

// Canary returns the canary of a release, and false if there is none.
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

// Weights returns the weights for every relay, sorted by release. A rolled back canary has weight 0
// until it is closed.
func (s *State) Weights() []Weight {
	var list []Weight
	for _, c := range s.stored.Canaries {
		list = append(list, Weight{Release: c.Release, Target: c.Target, Salt: c.Salt, PerMille: c.PerMille, Step: c.Step, Epoch: c.Epoch, Revision: c.Revision})
	}
	return list
}

// Checkpoint returns the evidence stored for a canary's current step, or nil if there is none.
func (s *State) Checkpoint(release string) []byte {
	if c := s.findCanary(release); c != nil && s.stored.Checkpoints[release].Revision == c.Revision {
		return s.stored.Checkpoints[release].Evidence
	}
	return nil
}

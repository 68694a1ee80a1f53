package fleet

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"reflect"

	"dahliarudder/internal/canary"
	"dahliarudder/internal/rollout"
)

// agreedFile is the file below fleet.dir in which each relay saves what was last agreed, followers included, as they have no log. A relay that
// starts while the record is out of reach would know of no exclusion, and would send to a canary's members as to any other. With the file
// it keeps excluded members out and gives the canary nothing (canary.WeightResolver) until the record is received.
const agreedFile = "agreed.json"

// maxAgreedBytes bounds what is read of the file.
const maxAgreedBytes = 4 << 20

// agreedState is the file's content. Orders to this relay's process are left out: they do not apply to the next process.
type agreedState struct {
	Version       uint64                       `json:"version"`
	Exclusions    map[string]rollout.Exclusion `json:"out,omitempty"`
	CanaryVersion uint64                       `json:"weighed"`
	CanaryWeights []canary.Weight              `json:"weights,omitempty"`
}

// readAgreedState reads the file from a directory; without a file or a directory the state is empty. An error comes with an empty state.
func readAgreedState(dir string) (state agreedState, err error) {
	if dir == "" {
		return agreedState{}, nil
	}
	path := filepath.Join(dir, agreedFile)
	info, err := os.Stat(path)
	switch {
	case errors.Is(err, fs.ErrNotExist):
		return agreedState{}, nil
	case err != nil:
		return agreedState{}, err
	case info.Size() > maxAgreedBytes:
		return agreedState{}, fmt.Errorf("%s: over %d bytes", path, maxAgreedBytes)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return agreedState{}, err
	}
	if err := json.Unmarshal(text, &state); err != nil {
		return agreedState{}, fmt.Errorf("decode %s: %w", path, err)
	}
	return state, nil
}

// write replaces the file atomically.
func (a agreedState) write(dir string) error {
	text, err := json.Marshal(a)
	if err != nil {
		return err
	}
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return err
	}
	f, err := os.CreateTemp(dir, agreedFile+".*")
	if err != nil {
		return err
	}
	_, err = f.Write(text)
	err = errors.Join(err, f.Sync(), f.Close())
	if err == nil {
		err = os.Rename(f.Name(), filepath.Join(dir, agreedFile))
	}
	if err != nil {
		os.Remove(f.Name())
	}
	return err
}

// fillIn overrides a desired state where the record, as far as it has been received, is older than the saved state.
func (a agreedState) replaceOlderParts(desired *DesiredState) {
	if desired.RecordVersion < a.Version {
		desired.Exclusions = a.Exclusions
	}
	if desired.CanaryVersion < a.CanaryVersion {
		desired.CanaryWeights = a.CanaryWeights
	}
}

// saveLoop saves the agreed state when it has changed. It has a goroutine of its own, as a disk may be slow.
func (s *Service) saveLoop() {
	if s.Dir == "" {
		return
	}
	saved := s.savedState
	s.every(reportInterval, func() {
		s.mu.Lock()
		caughtUp := s.caughtUp
		s.mu.Unlock()
		if !caughtUp { // what this relay has received of the record may be older than the saved state
			return
		}
		var state agreedState
		s.record.read(func(r *rollout.State, _ recordItems) {
			state.Version, state.Exclusions = r.Version(), r.Orders("").Exclusions
		})
		state.CanaryWeights, state.CanaryVersion = s.record.canaryWeights()
		if reflect.DeepEqual(state, saved) {
			return
		}
		if err := state.write(s.Dir); err != nil {
			s.countFailure(opSave, err)
			return
		}
		saved = state
	})
}

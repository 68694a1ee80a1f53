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

// agreedFile is the file in fleet.dir in which every relay saves the exclusions and canary weights
// that it last received from the record; followers do so too, as they have no log. A relay that
// starts while it cannot reach the record would otherwise not know of any exclusion, and would send
// requests to a canary's members as to any other member. With the file, the relay keeps excluded
// members out of use and sends no flows to the canary (see canary.WeightResolver) until it receives
// the record.
const agreedFile = "agreed.json"

// maxAgreedBytes limits the size of an agreed.json that is read.
const maxAgreedBytes = 4 << 20

// agreedState is the content of agreedFile. It leaves out the orders to this relay's process, which
// do not apply to the next process.
type agreedState struct {
	Version       uint64                       `json:"version"`
	Exclusions    map[string]rollout.Exclusion `json:"out,omitempty"`
	CanaryVersion uint64                       `json:"weighed"`
	CanaryWeights []canary.Weight              `json:"weights,omitempty"`
}

// readAgreedState reads agreedFile from dir. The state is empty if dir is "", if the file does not
// exist, and on an error.
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
		return agreedState{}, fmt.Errorf("%s has %d bytes, limit is %d", path, info.Size(), maxAgreedBytes)
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

// write replaces agreedFile in dir atomically. It creates dir if needed.
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

// replaceOlderParts replaces the exclusions of desired by the saved ones if the saved version is newer
// than that of the record received so far. It does the same for the canary weights.
func (a agreedState) replaceOlderParts(desired *DesiredState) {
	if desired.RecordVersion < a.Version {
		desired.Exclusions = a.Exclusions
	}
	if desired.CanaryVersion < a.CanaryVersion {
		desired.CanaryWeights = a.CanaryWeights
	}
}

// saveLoop saves the agreed state whenever it has changed. It runs in its own goroutine because
// writing to the disk may be slow.
func (s *Service) saveLoop() {
	if s.Dir == "" {
		return
	}
	saved := s.savedState
	s.every(reportInterval, func() {
		s.mu.Lock()
		caughtUp := s.caughtUp
		s.mu.Unlock()
		if !caughtUp { // the received part of the record may be older than the saved state
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

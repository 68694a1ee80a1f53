package fleet

import (
	"encoding/json"
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"reflect"

	"dahliarudder/internal/canary"
	"dahliarudder/internal/rollout"
)

// What was agreed last is kept beside the record, by followers too, who have no log. A relay that starts while the record cannot be reached
// would know of no ban, and would send to a canary's arm as to any other member. It holds to what it knew instead: members that were out stay out, and
// an arm gets nothing (canary.WeightResolver), until the record is heard.

// agreedFile is the file, below fleet.dir.
const agreedFile = "agreed.json"

// maxAgreedBytes bounds what is read of it.
const maxAgreedBytes = 4 << 20

// agreedState is what is in it. Orders to this process are none of the next one's.
type agreedState struct {
	Version       uint64                       `json:"version"`
	Exclusions    map[string]rollout.Exclusion `json:"out,omitempty"`
	CanaryVersion uint64                       `json:"weighed"`
	CanaryWeights []canary.Weight              `json:"weights,omitempty"`
}

// read takes it from a directory; there may be none. What cannot be read is not believed.
func readAgreed(dir string) (k agreedState, err error) {
	if dir == "" {
		return agreedState{}, nil
	}
	path := filepath.Join(dir, agreedFile)
	i, err := os.Stat(path)
	switch {
	case errors.Is(err, fs.ErrNotExist):
		return agreedState{}, nil
	case err != nil:
		return agreedState{}, err
	case i.Size() > maxAgreedBytes:
		return agreedState{}, errors.New("it is too large")
	}
	text, err := os.ReadFile(path)
	if err == nil {
		err = json.Unmarshal(text, &k)
	}
	if err != nil {
		return agreedState{}, err
	}
	return k, nil
}

// write puts it there, whole or not at all.
func (k agreedState) write(dir string) error {
	text, err := json.Marshal(k)
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

// fillIn puts what was known before into orders that the record of now does not reach up to.
func (k agreedState) fillIn(o *DesiredState) {
	if o.RecordVersion < k.Version {
		o.Exclusions = k.Exclusions
	}
	if o.CanaryVersion < k.CanaryVersion {
		o.CanaryWeights = k.CanaryWeights
	}
}

// saveAgreed writes what a majority has confirmed, when it has changed: a thread of its own, since a disk may be slow.
func (s *Service) saveAgreed() {
	if s.Dir == "" {
		return
	}
	last := s.lastAgreed
	s.every(reportInterval, func() {
		s.mu.Lock()
		caught := s.caughtUp
		s.mu.Unlock()
		if !caught { // what this relay has of the record may be older than what it kept
			return
		}
		var k agreedState
		s.record.read(func(r *rollout.State, _ recordItems) { k.Version, k.Exclusions = r.Version(), r.Orders("").Exclusions })
		k.CanaryWeights, k.CanaryVersion = s.record.canaryWeights()
		if reflect.DeepEqual(k, last) {
			return
		}
		if err := k.write(s.Dir); err != nil {
			s.noteFailure("keep", err)
			return
		}
		last = k
	})
}

package config

import (
	"errors"
	"fmt"
	"path/filepath"
)

// State configures the snapshots that a relay writes for its next start.
type State struct {
	Dir     string  `json:"dir"`      // relative to the configuration file
	EveryMS float64 `json:"every_ms"` // interval in milliseconds; 5,000 if absent
}

// Bounds and default of state.every_ms, in milliseconds.
const minSnapshotIntervalMS, defaultSnapshotIntervalMS, maxSnapshotIntervalMS = 1000, 5000, 600_000

func (s *State) validate(dir string) error {
	if s.Dir == "" {
		return errors.New("state.dir: names no directory")
	}
	if !filepath.IsAbs(s.Dir) {
		s.Dir = filepath.Join(dir, s.Dir)
	}
	if s.EveryMS == 0 {
		s.EveryMS = defaultSnapshotIntervalMS
	}
	if !(s.EveryMS >= minSnapshotIntervalMS && s.EveryMS <= maxSnapshotIntervalMS) {
		return fmt.Errorf("state.every_ms: %v is not from %d to %d", s.EveryMS, minSnapshotIntervalMS, maxSnapshotIntervalMS)
	}
	return nil
}

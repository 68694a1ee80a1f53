package config

import (
	"errors"
	"fmt"
	"path/filepath"
)

// State is where and how often a relay writes snapshots for its next start.
type State struct {
	Dir     string  `json:"dir"`      // relative to the configuration
	EveryMS float64 `json:"every_ms"` // 5,000 if absent
}

// The bounds of state.every_ms.
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

package pool

import "time"

// Starts tells when members started, on the relay's own clock, by what discovery says in Unix milliseconds.
type Starts struct {
	// Clock is the relay's own clock, which only runs on; Wall is the machine's.
	Clock func() time.Duration
	Wall  func() time.Time

	// Believed is how late discovery may list a start.
	Believed time.Duration

	epoch   time.Time // the wall clock at the zero of the relay's own
	read    bool
	offsets []time.Duration
	kept    map[string]time.Duration
}

// Bounds of what is kept.
const (
	offsetsMost = 8
	keptMost    = 8192
)

// Heard says that a list has come from discovery, of which At was told.
func (s *Starts) Heard() {}

// Dated says what discovery's own clock showed as it answered.
func (s *Starts) Dated(time.Time) {}

// At is the start of a member on the relay's clock; 0 if it was long ago.
func (s *Starts) At(name string, unixMilli float64) time.Duration {
	if unixMilli == 0 {
		return 0
	}
	if !s.read {
		s.epoch, s.read = s.Wall().Add(-s.Clock()), true
	}
	at := time.Duration(unixMilli*float64(time.Millisecond)) - time.Duration(s.epoch.UnixNano())
	if at == 0 { // 0 means long ago
		at = 1
	}
	return at
}

// UnixMilli is a time of the relay's clock in Unix milliseconds, for those who compare it with the starts of members.
func (s *Starts) UnixMilli(at time.Duration) int64 { return s.epoch.Add(at).UnixMilli() }

package window

import "time"

// SlowStart limits the messages that all feeds together have in flight at one member while it warms up: to the
// initial window, and one more for each message that the member has accepted.
type SlowStart struct {
	endsAt   time.Duration // from when on there is no limit
	limit    int
	inFlight int
}

// NewSlowStart makes the limiter of a member that started at that time; 0 if long ago.
func NewSlowStart(started, duration time.Duration) *SlowStart {
	s := &SlowStart{limit: InitialWindow}
	if started > 0 {
		s.endsAt = started + duration
	}
	return s
}

// Active reports whether there is a limit now.
func (s *SlowStart) Active(now time.Duration) bool { return now < s.endsAt }

// MaySend reports whether one more message may be sent.
func (s *SlowStart) MaySend(now time.Duration) bool { return !s.Active(now) || s.inFlight < s.limit }

// Sent counts a message that is sent.
func (s *SlowStart) Sent() { s.inFlight++ }

// Release counts n messages that are no longer in flight, of which the member has accepted some.
func (s *SlowStart) Release(n, accepted int) {
	s.inFlight = max(s.inFlight-n, 0) // a member that has restarted has a new limiter
	s.limit += accepted
}

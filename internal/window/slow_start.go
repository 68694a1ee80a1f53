package window

import "time"

// SlowStart limits the messages that all feeds of this relay together have in flight at one
// member during its slow start. The limit is InitialWindow at first, and grows by one with each
// message that the member accepts.
type SlowStart struct {
	endsAt   time.Duration // when the limit ends; 0 for no limit
	limit    int
	inFlight int
}

// NewSlowStart returns the limiter of a member that started at the time started and warms up for
// duration. If started is 0, the member is warm and there is no limit.
func NewSlowStart(started, duration time.Duration) *SlowStart {
	s := &SlowStart{limit: InitialWindow}
	if started > 0 {
		s.endsAt = started + duration
	}
	return s
}

// Active reports whether the limit applies at now.
func (s *SlowStart) Active(now time.Duration) bool { return now < s.endsAt }

// MaySend reports whether one more message may be sent at now.
func (s *SlowStart) MaySend(now time.Duration) bool { return !s.Active(now) || s.inFlight < s.limit }

// Sent counts one message that was sent.
func (s *SlowStart) Sent() { s.inFlight++ }

// Release removes n messages from those in flight; accepted is how many of them the member has
// accepted.
func (s *SlowStart) Release(n, accepted int) {
	// The limiter is replaced when the member restarts, so messages sent before are not counted here.
	s.inFlight = max(s.inFlight-n, 0)
	s.limit += accepted
}

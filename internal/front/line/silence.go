package line

import "time"

// What the protocol allows and what its clients do.
const (
	silentMost  = 7 * time.Second // a connection that brings nothing back must be over by then
	clientEvery = 2 * time.Second // a client sends a line so often
	endMost     = time.Second     // a connection that its member has ended must be over by then
)

// silentAfter is how long a member may owe an answer. The 7 s count from the last line that came
// back, and the client's next one may start 2 s later: an own clock of 5 s from there was over them by the
// sweep. What is left has to do for the sweep, for a half line that MOVE waits for, and for a busy loop.
const silentAfter = silentMost - clientEvery - sweepEvery - MoveTimeout - lateMost

const (
	endedAfter = endMost - sweepEvery - lateMost // after a member's last word, when no end of the connection follows
	lateMost   = 250 * time.Millisecond          // of the loop's own rounds
)

// silence is the one owner of the question whether an open flow has stopped. It does no I/O and reads no
// clock. A time of 0 is none.
type silence struct {
	owed  time.Duration // when the first byte went on to which nothing has come back
	asked time.Duration // when the first whole line did, for the time that a message takes
	last  time.Duration // when the member said its last word
	heard time.Duration // when the client last sent something
}

// sent notes bytes of the client's that go on.
func (s *silence) sent(now time.Duration, line bool) {
	s.heard = now
	if s.owed == 0 {
		s.owed = now
	}
	if s.asked == 0 && line {
		s.asked = now
	}
}

// answered notes a whole line of the member's, and says how long the client's took, if one was owed.
func (s *silence) answered(now time.Duration) (took time.Duration, owed bool) {
	if owed = s.asked > 0; owed {
		took = now - s.asked
	}
	s.owed, s.asked = 0, 0
	return took, owed
}

// silent says that the member has stopped. To half a line it owes nothing, and to one that took long it has a moment.
func (s *silence) silent(now time.Duration) bool {
	return s.asked > 0 && now-s.owed > silentAfter && now-s.asked > MoveTimeout
}

// ended says that the member has said its last word but its connection has not ended, gone that the client has gone.
func (s *silence) ended(now time.Duration) bool { return s.last > 0 && now-s.last > endedAfter }
func (s *silence) gone(now time.Duration) bool  { return now-s.heard > clientGone }

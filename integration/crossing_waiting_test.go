package integration

import (
	"testing"
	"time"
)

// doubtAfter is over the time for which a relay may stand still without asking for its members anew: a second by the settings used here, beside what
// it may have waited anyway.
const doubtAfter = 1500 * time.Millisecond

// TestCrossingLeftWaiting: the client goes while its request waits in the relay, before its first attempt: the relay has stood still and sends
// nothing before it is sure of its members. No attempt starts for it afterwards.
func TestCrossingLeftWaiting(t *testing.T) {
	t.Parallel()
	for what, leave := range clientEnds {
		t.Run(what, func(t *testing.T) {
			t.Parallel()
			s := newScriptedRig(t, 2, nil)
			before := s.descriptors()
			c := s.dial()
			c.send("PING")
			c.wantLine("PONG")
			s.d.SetAnswerDelay(patience) // the relay is to be sure only after the grace
			s.suspend()
			time.Sleep(doubtAfter) // its clock goes on; that is the event
			c.send(firstLine(1, 2900*time.Millisecond))
			s.resume()
			s.waitLogged("this process was suspended")
			leave(c)
			s.d.SetAnswerDelay(0)
			s.serveOne(2)
			s.waitDescriptorsReleased(before)
			s.wantTimelyExit(s.terminate())
			if n := s.attemptCount(1); n != 0 {
				t.Errorf("%d attempts for a client that has gone", n)
			}
		})
	}
}

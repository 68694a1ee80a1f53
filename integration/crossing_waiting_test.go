package integration

import (
	"testing"
	"time"
)

// longSuspension is longer than the time for which a relay may be suspended without asking discovery again: a second by these
// settings, besides what it may have waited anyway.
const longSuspension = 1500 * time.Millisecond

// TestCrossingClientLeavesWaiting: the client leaves while its request waits in the relay, before its first attempt: the relay was
// suspended and sends nothing before its endpoint list is current. No attempt starts after that.
func TestCrossingClientLeavesWaiting(t *testing.T) {
	t.Parallel()
	for name, leave := range clientEnds {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newScriptedRig(t, 2, nil)
			before := s.descriptors()
			c := s.dial()
			c.send("PING")
			c.wantLine("PONG")
			s.d.SetAnswerDelay(eventTimeout) // the relay is to be sure only after the grace
			s.suspend()
			time.Sleep(longSuspension) // its clock goes on; that is the event
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

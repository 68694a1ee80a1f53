package integration

import (
	"testing"
	"time"
)

// longSuspension is so long that the relay no longer trusts its endpoint list afterwards. With these
// settings one second suffices; the rest covers the time that the relay may have waited before the
// suspension.
const longSuspension = 1500 * time.Millisecond

// TestCrossingClientLeavesWaiting: a client leaves while its request waits in the relay before the first
// attempt. It waits because the relay was suspended: the relay then dispatches nothing until discovery
// has answered or the grace has passed. No attempt must start for it.
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
			s.d.SetAnswerDelay(eventTimeout) // without an answer, dispatch resumes only after the grace
			s.suspend()
			time.Sleep(longSuspension) // time passes for the process while it is suspended
			c.send(firstLine(1, 2900*time.Millisecond))
			s.resume()
			s.waitLogged("this process was suspended")
			leave(c)
			s.d.SetAnswerDelay(0)
			s.serveOne(2)
			s.waitDescriptorsReleased(before)
			s.wantTimelyExit(s.terminate())
			if n := s.attemptCount(1); n != 0 {
				t.Errorf("%d attempts for a client that has left, want 0", n)
			}
		})
	}
}

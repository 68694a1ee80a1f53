package line

import (
	"testing"
	"time"

	"dahliarudder/policy"
)

// TestPausedWhileDialing checks that nothing is sent on a connection that is established while
// dispatch is paused, and that the request continues after that.
func TestPausedWhileDialing(t *testing.T) {
	g := newRig(t, 1)
	c := g.sendRequest(firstLine)
	g.Core.PauseDispatch()
	for range 4 {
		g.RunOnce()
	}
	if dialled := g.pendingConn(0); dialled != nil {
		buffer := make([]byte, 100)
		if n, _ := dialled.Read(buffer); n > 0 {
			t.Errorf("member received %q while dispatch was paused, want nothing", buffer[:n])
		}
	}
	g.Core.ResumeDispatch()
	for range 8 { // time for the policy to pick a member again
		g.Advance(50 * time.Millisecond)
	}
	m := g.acceptAttempt(0)
	m.Send("UP x\r\n")
	c.ExpectLines("UP x")
}

// TestUpAtDraining checks that a flow is migrated if its member began to drain before it answered UP.
func TestUpAtDraining(t *testing.T) {
	g := newRig(t, 1)
	c := g.sendRequest(firstLine)
	m := g.acceptAttempt(0)
	g.setMemberState(0, policy.Draining)
	m.Send("UP x\r\n")
	c.ExpectLines("UP x")
	g.WaitFor("the client to receive MOVE", func() bool {
		g.Advance(50 * time.Millisecond)
		c.Poll()
		return len(c.Received) > 0 || g.Now() > time.Hour+4*time.Second
	})
	c.ExpectLines("MOVE")
	c.ExpectEOF()
	g.expectNoLeaks()
}

package line

import (
	"testing"
	"time"

	"dahliarudder/internal/netloop/looptest"
	"dahliarudder/policy"
)

// TestLongIdle checks that after hours without any event the first request is served by its first
// attempt, and that faults are handled as usual: a silent member loses its flow in time, a member that
// drains gets no attempt, and a client's close ends its attempt.
func TestLongIdle(t *testing.T) {
	for _, quiet := range []time.Duration{time.Hour, 30 * 24 * time.Hour} {
		g := newRig(t, 2)
		for range 100 {
			g.Advance(quiet / 100)
		}
		c, at, m := g.openFlowAtAnyMember()
		c.Send("a line\r\n")
		m.ExpectLines("a line")
		for range 7 * 4 { // the member sends nothing back
			g.Advance(sweepInterval)
		}
		c.ExpectLines("MOVE")
		c.ExpectEOF()
		for range 100 {
			g.Advance(quiet / 100)
		}
		g.setMemberState(at, policy.Draining)
		before := g.Core.Counts.Attempts
		c = g.sendRequest(firstLine)
		other, m := g.acceptAnyAttempt()
		if other == at {
			t.Errorf("after %v: an attempt was sent to a draining member", quiet)
		}
		c.CloseWrite()
		c.ExpectLines("BUSY")
		c.ExpectEOF()
		m.ExpectReset()
		g.expectNothingSent()
		g.expectNoLeaks()
		if g.Core.Counts.Attempts != before+1 {
			t.Errorf("after %v: %d attempts, want %d", quiet, g.Core.Counts.Attempts, before+1)
		}
	}
}

// openFlowAtAnyMember opens a flow and returns its client, the index of its member, and the member's
// end.
func (g *rig) openFlowAtAnyMember() (c *looptest.Peer, at int, m *looptest.Peer) {
	g.T.Helper()
	c = g.sendRequest(firstLine)
	at, m = g.acceptAnyAttempt()
	m.Send("UP x\r\n")
	c.ExpectLines("UP x")
	return c, at, m
}

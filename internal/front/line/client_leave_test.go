package line

import (
	"io"
	"testing"
	"time"

	"dahliarudder/internal/netloop/looptest"
	"dahliarudder/policy"
)

// TestClientClosesWithinFirstLine checks that a client that closes before the end of its first line
// is not counted as a request.
func TestClientClosesWithinFirstLine(t *testing.T) {
	forEachClose(t, 1, func(t *testing.T, g *rig, closeConn func(*looptest.Peer)) {
		c := g.Dial(g.addr)
		c.Send(firstLine[:20])
		g.WaitFor("the connection", func() bool { return len(g.front.idle) == 1 })
		g.RunOnce()
		closeConn(c)
		g.WaitFor("the connection to end", func() bool { return len(g.front.idle) == 0 })
		g.expectNothingSent()
		g.expectNoLeaks()
		if g.Core.Counts.Requests != 0 {
			t.Errorf("counts = %+v, want Requests 0", g.Core.Counts)
		}
	})
}

// expectReleased waits until the relay has noticed that the client is gone, and checks that it has
// released the request and sends nothing more for it.
func (g *rig) expectReleased() {
	g.T.Helper()
	g.WaitFor("the relay to notice the client's close", func() bool { return len(g.front.requests) == 0 })
	g.expectNothingSent()
	g.expectNoLeaks()
	if g.Core.Counts.ClientsGone != 1 {
		g.T.Errorf("counts = %+v, want ClientsGone 1", g.Core.Counts)
	}
}

// TestClientClosesWhileQueued checks that no attempt is made for a client that closed while its
// request was queued: neither when a member becomes ready nor when paused dispatch resumes.
func TestClientClosesWhileQueued(t *testing.T) {
	forEachClose(t, 1, func(t *testing.T, g *rig, closeConn func(*looptest.Peer)) {
		g.setMemberState(0, policy.Draining)
		c := g.sendRequest(firstLine)
		closeConn(c)
		g.WaitFor("the relay to notice the client's close", func() bool { return len(g.front.requests) == 0 })
		g.setMemberState(0, policy.Ready)
		g.expectReleased()
	})
	forEachClose(t, 1, func(t *testing.T, g *rig, closeConn func(*looptest.Peer)) {
		g.Core.PauseDispatch()
		c := g.sendRequest(firstLine)
		closeConn(c)
		g.WaitFor("the relay to notice the client's close", func() bool { return len(g.front.requests) == 0 })
		g.Core.ResumeDispatch()
		g.expectReleased()
	})
}

// TestClientClosesBetweenAttempts checks that no further attempt is made for a client that closes
// between two attempts.
func TestClientClosesBetweenAttempts(t *testing.T) {
	forEachClose(t, 1, func(t *testing.T, g *rig, closeConn func(*looptest.Peer)) {
		c := g.sendRequest(firstLine)
		g.acceptAttempt(0).Send("BUSY\r\n")
		g.WaitFor("the attempt to end", func() bool { return g.Core.FlowCount(1) == 0 })
		if g.Core.ActiveRequests() != 1 {
			t.Fatal("the request has ended, want it to wait for another attempt")
		}
		closeConn(c)
		g.expectReleased()
	})
}

// TestClientClosesWhileDialing checks that the first line is not sent if the client closes before the
// connection to the member is established, or in the same loop iteration.
func TestClientClosesWhileDialing(t *testing.T) {
	forEachClose(t, 0, func(t *testing.T, g *rig, closeConn func(*looptest.Peer)) {
		g.addMember(fullBacklogAddr(t))
		c := g.sendRequest(firstLine)
		if g.Core.Counts.Attempts != 1 {
			t.Fatalf("counts = %+v, want Attempts 1", g.Core.Counts)
		}
		closeConn(c)
		g.expectReleased()
	})
	forEachClose(t, 1, func(t *testing.T, g *rig, closeConn func(*looptest.Peer)) {
		c := g.sendRequest(firstLine) // the kernel has established the connection to the member by now
		conn := g.pendingConn(0)
		if conn == nil {
			t.Fatal("no connection to the member")
		}
		closeConn(c)
		g.expectReleased()
		conn.SetReadDeadline(time.Now().Add(looptest.Timeout))
		if sent, _ := io.ReadAll(conn); len(sent) > 0 {
			t.Errorf("member received %q, want nothing", sent)
		}
	})
}

// TestClientClosesAsConnected is like TestClientClosesWhileDialing, with the event of the member's
// connection handled before that of the client's.
func TestClientClosesAsConnected(t *testing.T) {
	forEachClose(t, 1, func(t *testing.T, g *rig, closeConn func(*looptest.Peer)) {
		g.Core.PauseDispatch()
		c := g.sendRequest(firstLine)
		g.RunOnce() // the client's connection has no event now
		g.RunOnce()
		g.Core.ResumeDispatch()
		conn := g.pendingConn(0)
		if conn == nil {
			t.Fatal("no connection to the member")
		}
		closeConn(c)
		g.expectReleased()
		conn.SetReadDeadline(time.Now().Add(looptest.Timeout))
		if sent, _ := io.ReadAll(conn); len(sent) > 0 {
			t.Errorf("member received %q, want nothing", sent)
		}
	})
}

// TestClientClosesInFlight checks that the client's close abandons the attempt in flight and that no
// other attempt is made.
func TestClientClosesInFlight(t *testing.T) {
	forEachClose(t, 2, func(t *testing.T, g *rig, closeConn func(*looptest.Peer)) {
		c := g.sendRequest(firstLine)
		at, m := g.acceptAnyAttempt()
		m.Send("half an ans")
		g.RunOnce()
		closeConn(c)
		g.WaitFor("the attempt's connection to end", func() bool { m.Poll(); return m.EndErr != nil })
		if len(m.Received) > 0 {
			t.Errorf("member %d received %q after the first line, want nothing", at, m.Received)
		}
		g.expectReleased()
	})
}

// TestClientClosesAtUp checks that UP and the client's close in one loop iteration, in either order,
// end the flow.
func TestClientClosesAtUp(t *testing.T) {
	for _, upFirst := range []bool{true, false} {
		forEachClose(t, 1, func(t *testing.T, g *rig, closeConn func(*looptest.Peer)) {
			c := g.sendRequest(firstLine)
			m := g.acceptAttempt(0)
			if upFirst {
				m.Send("UP x\r\n")
				closeConn(c)
			} else {
				closeConn(c)
				m.Send("UP x\r\n")
			}
			g.WaitFor("the member's connection to end", func() bool { m.Poll(); return m.EndErr != nil })
			g.WaitFor("the end of the request", func() bool { return g.Core.ActiveRequests() == 0 })
			g.expectNothingSent()
			g.expectNoLeaks()
			if n := g.Core.Counts; n.ClientsGone+n.Served != 1 || n.Attempts != 1 {
				t.Errorf("counts = %+v, want Attempts 1 and one of ClientsGone and Served 1", n)
			}
		})
	}
}

// acceptAnyAttempt accepts the next attempt, at whichever member it is made. It returns the member's
// index and the connection.
func (g *rig) acceptAnyAttempt() (int, *looptest.Peer) {
	g.T.Helper()
	at := -1
	g.WaitFor("an attempt", func() bool {
		for i := range g.fakeMembers {
			if g.Core.FlowCount(policy.MemberID(i+1)) > 0 {
				at = i
			}
		}
		return at >= 0
	})
	return at, g.acceptAttempt(at)
}

// TestClientClosesDuringHealthCheck checks that no attempt is made for a client that closes while its
// request waits for the result of a health check.
func TestClientClosesDuringHealthCheck(t *testing.T) {
	forEachClose(t, 2, func(t *testing.T, g *rig, closeConn func(*looptest.Peer)) {
		g.enableHealthChecks()
		c := g.sendRequest(firstLine)
		if len(g.front.healthChecks) == 0 || g.Core.Counts.Attempts > 0 {
			t.Fatalf("%d health checks, counts = %+v; want a health check and Attempts 0",
				len(g.front.healthChecks), g.Core.Counts)
		}
		closeConn(c)
		g.WaitFor("the relay to notice the client's close", func() bool { return len(g.front.requests) == 0 })
		for i, p := range g.fakeMembers {
			if g.front.healthChecks[policy.MemberID(i+1)] != nil {
				m := p.Accept()
				m.ExpectLines("STATS")
				m.Send("PONG x0=0.1\r\n")
			}
		}
		g.WaitFor("the results of the health checks", func() bool {
			for _, p := range g.front.healthChecks {
				if p.state.isPending() {
					return false
				}
			}
			return true
		})
		g.Advance(g.front.checkIdleTimeout)
		g.expectReleased()
	})
}

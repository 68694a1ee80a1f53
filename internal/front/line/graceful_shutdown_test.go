package line

import (
	"strings"
	"testing"
	"time"

	"dahliarudder/internal/core"
	"dahliarudder/policy"
)

// TestShutdownInFlight checks that a request with an attempt in flight when the relay begins to stop
// is answered by its member, and that the new flow is migrated before the stop ends.
func TestShutdownInFlight(t *testing.T) {
	g := newRig(t, 1)
	c := g.sendRequest(firstLine)
	m := g.acceptAttempt(0)
	g.Core.Stop()
	g.Advance(100 * time.Millisecond)
	m.Send("UP x\r\n")
	c.ExpectLines("UP x")
	g.Advance(g.Core.StopTimeout())
	g.Core.FinishStop()
	c.ExpectLines("MOVE")
	c.ExpectEOF()
	m.ExpectEOF()
	g.expectNoLeaks()
	if n := g.Core.Counts; n.Served != 1 || n.Migrations != 1 || n.Rejected+n.Failed+n.ClientsGone != 0 {
		t.Errorf("counts = %+v, want Served 1, Migrations 1 and no other answer", n)
	}
}

// TestShutdownUnanswered checks that a request without an answer at the end of the stop is answered
// BUSY once and that its attempt is ended.
func TestShutdownUnanswered(t *testing.T) {
	for name, queued := range map[string]bool{"queued": true, "attempt in flight": false} {
		t.Run(name, func(t *testing.T) {
			g := newRig(t, 1)
			if queued {
				g.Core.PauseDispatch()
			}
			c := g.sendRequest(firstLine)
			if !queued {
				g.acceptAttempt(0).Send("half an ans")
			}
			g.Core.Stop()
			g.RunOnce()
			g.Core.FinishStop()
			if got := c.ReadLine(); !strings.HasPrefix(got, "BUSY") {
				t.Errorf("client got %q, want BUSY", got)
			}
			c.ExpectEOF()
			c.Close()
			g.Core.ResumeDispatch()
			g.expectNothingSent()
			g.expectNoLeaks()
			if n := g.Core.Counts; n.Rejected != 1 || n.Served+n.Failed+n.ClientsGone != 0 {
				t.Errorf("counts = %+v, want Rejected 1 and no other answer", n)
			}
		})
	}
}

// TestShutdownArrival checks that a request that arrives after the stop began is answered BUSY at
// once and never sent to a member, even if its first line began before. PING is answered ERR then, so
// that no clients are sent here, and the connection may still send a request.
func TestShutdownArrival(t *testing.T) {
	g := newRig(t, 1)
	half, front := g.Dial(g.addr), g.Dial(g.addr)
	half.Send(firstLine[:20])
	g.WaitFor("both connections to be accepted", func() bool { return len(g.front.idle) == 2 })
	g.RunOnce()
	g.Core.Stop()
	half.Send(firstLine[20:] + "\r\n")
	front.Send("PING\r\n")
	front.ExpectLines("ERR")
	front.Send(strings.Replace(firstLine, "aa", "ab", 1) + "\r\n")
	for _, c := range []interface {
		ReadLine() string
		ExpectEOF()
		Close() error
	}{half, front, g.sendRequest(strings.Replace(firstLine, "aa", "ac", 1))} {
		if got := c.ReadLine(); !strings.HasPrefix(got, "BUSY") {
			t.Errorf("client got %q, want BUSY", got)
		}
		c.ExpectEOF()
		c.Close()
	}
	g.expectNothingSent()
	g.expectNoLeaks()
	if n := g.Core.Counts; n.Rejected != 3 || n.Attempts != 0 {
		t.Errorf("counts = %+v, want Rejected 3, Attempts 0", n)
	}
}

// TestShutdownIdle checks that an idle connection is answered BUSY when the relay ends, so that a
// request that is on its way has an answer.
func TestShutdownIdle(t *testing.T) {
	g := newRig(t, 1)
	silent, front, half := g.Dial(g.addr), g.Dial(g.addr), g.Dial(g.addr)
	front.Send("PING\r\n")
	front.ExpectLines("PONG")
	half.Send(firstLine[:20])
	g.WaitFor("all three connections to be accepted", func() bool { return len(g.front.idle) == 3 })
	g.RunOnce()
	g.Core.Stop()
	g.Core.FinishStop()
	g.front.CloseIdle()
	writeIgnoringError(silent, firstLine+"\r\n")
	writeIgnoringError(front, firstLine+"\r\n")
	writeIgnoringError(half, firstLine[20:]+"\r\n")
	for _, c := range []interface {
		ExpectLines(...string)
		ExpectEOF()
		Close() error
	}{silent, front, half} {
		c.ExpectLines("BUSY 500")
		c.ExpectEOF()
		c.Close()
	}
	g.expectNothingSent()
	g.expectNoLeaks()
	if g.Core.Counts != (core.Counts{}) {
		t.Errorf("counts = %+v, want all 0", g.Core.Counts)
	}
}

// TestShutdownPartialLine checks that at the end of a stop MOVE waits for the end of a line of the
// member that has been forwarded in part, but for at most MoveTimeout.
func TestShutdownPartialLine(t *testing.T) {
	for _, lineEnds := range []bool{true, false} {
		g := newFlowRig(t)
		g.m.Send("half a ")
		g.c.Expect("half a ")
		g.Core.Stop()
		g.Core.FinishStop()
		g.RunOnce()
		if lineEnds {
			g.m.Send("line\r\n")
			g.c.ExpectLines("line", "MOVE")
			g.c.ExpectEOF()
		} else {
			g.Advance(MoveTimeout)
			g.expectBothClosed("", "")
		}
		g.expectResult(policy.Cancelled)
	}
}

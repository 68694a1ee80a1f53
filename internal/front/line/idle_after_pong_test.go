package line

import (
	"testing"
	"time"

	"dahliarudder/internal/core"
)

// TestIdleUntilRequest checks that a request is placed if it arrives in the loop iteration in which
// the time limit of its idle connection runs out.
func TestIdleUntilRequest(t *testing.T) {
	for name, timeout := range map[string]time.Duration{"new": firstLineTimeout, "answered PONG": idleTimeout} {
		t.Run(name, func(t *testing.T) {
			g := newRig(t, 1)
			c := g.Dial(g.addr)
			if timeout == idleTimeout {
				c.Send("PING\r\n")
				c.ExpectLines("PONG")
			}
			g.WaitFor("the connection to be accepted", func() bool { return len(g.front.idle) == 1 })
			c.Send(firstLine + "\r\n")
			g.Advance(timeout)
			g.acceptAttempt(0).Send("UP x\r\n")
			c.ExpectLines("UP x")
		})
	}
}

// TestIdleTooLong checks that a request that arrives just after the relay has closed its idle
// connection is answered BUSY once. It was not forwarded, so a retry is harmless.
func TestIdleTooLong(t *testing.T) {
	for name, end := range map[string]func(*rig){
		"idle": func(g *rig) { g.Advance(idleTimeout) },
		"shed": func(g *rig) {
			for range 2 {
				g.SetDescriptorLimit(g.OpenDescriptors()) // the next connection needs a descriptor that is in use
				g.Dial(g.addr)
				g.RunOnce()
				g.RunOnce()
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			g := newRig(t, 1)
			c := g.Dial(g.addr)
			c.Send("PING\r\n")
			c.ExpectLines("PONG")
			end(g)
			c.Write([]byte(firstLine + "\r\n"))
			g.WaitFor("the connection to end", func() bool { c.Poll(); return c.EndErr != nil })
			if string(c.Received) != "BUSY\r\n" {
				t.Errorf("client got %q, want only BUSY", c.Received)
			}
			if g.Core.Counts != (core.Counts{}) {
				t.Errorf("counts = %+v, want all 0", g.Core.Counts)
			}
		})
	}
}

// TestShedUnread checks that a connection that is closed in favor of a new one, in the loop iteration
// in which its first line has arrived but is unread, gets one answer, and that no request is placed.
func TestShedUnread(t *testing.T) {
	for name, tc := range map[string]struct{ first, answer string }{
		"new": {"", "ERR\r\n"}, "answered PONG": {"PING\r\n", "BUSY\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			g := newRig(t, 1)
			c := g.Dial(g.addr)
			g.WaitFor("the connection to be accepted", func() bool { return len(g.front.idle) == 1 })
			if c.Send(tc.first); tc.first != "" {
				c.ExpectLines("PONG")
			}
			g.RunOnce()
			g.RunOnce() // the connection has no event now, so the loop handles the new one first
			g.SetDescriptorLimit(g.OpenDescriptors() + 1)
			g.Dial(g.addr)
			c.Send(firstLine + "\r\n")
			g.RunOnce()
			g.WaitFor("the connection to end", func() bool { c.Poll(); return c.EndErr != nil })
			if string(c.Received) != tc.answer {
				t.Errorf("client got %q before %v, want %q", c.Received, c.EndErr, tc.answer)
			}
			if g.Core.Counts != (core.Counts{}) || g.pendingConn(0) != nil {
				t.Errorf("counts = %+v, want all 0 and no connection to the member", g.Core.Counts)
			}
		})
	}
}

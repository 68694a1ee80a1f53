package line

import (
	"testing"
	"time"

	"dahliarudder/internal/core"
	"dahliarudder/internal/netloop/looptest"
	"dahliarudder/policy"
)

// partialLineTimeout is the protocol's limit for a client that stops in the middle of its first line
// and stays: within it, the client must be answered ERR or its connection closed.
const partialLineTimeout = 3 * time.Second

// TestPartialLineAfterPong checks that a client that was answered PONG and stops in the middle of its
// next line is answered ERR as soon as a new one would be, that a client that sends the rest in time
// is served, and that a client that sends another PING may be idle again.
func TestPartialLineAfterPong(t *testing.T) {
	for name, pings := range map[string]int{"one PONG": 1, "three PONGs": 3} {
		t.Run(name, func(t *testing.T) {
			g := newRig(t, 1)
			stops, completes, pingsAgain := g.Dial(g.addr), g.Dial(g.addr), g.Dial(g.addr)
			all := []*looptest.Peer{stops, completes, pingsAgain}
			for range pings {
				for _, c := range all {
					c.Send("PING\r\n")
					c.ExpectLines("PONG")
				}
			}
			g.Advance(20 * time.Second) // less than idleTimeout
			stops.Send(firstLine[:20])
			completes.Send(firstLine[:20])
			pingsAgain.Send("PI")
			g.RunOnce()
			g.RunOnce()
			g.Advance(partialLineTimeout / 2)
			completes.Send(firstLine[20:] + "\r\n")
			pingsAgain.Send("NG\r\n")
			pingsAgain.ExpectLines("PONG")
			g.acceptAttempt(0).Send("UP x\r\n")
			completes.ExpectLines("UP x")
			g.Advance(partialLineTimeout / 2)
			if len(g.front.idle) != 1 {
				t.Fatalf("%d idle connections, want only the one that was answered PONG again", len(g.front.idle))
			}
			stops.ExpectLines("ERR")
			stops.ExpectEOF()
			g.Advance(20 * time.Second)
			if len(g.front.idle) != 1 {
				t.Error("the connection that was answered PONG again was closed before idleTimeout")
			}
		})
	}
}

// waitingClients are the situations in which a request waits for its answer, each with a function that
// brings it about and returns the client.
var waitingClients = map[string]func(g *rig) *looptest.Peer{
	"queued":          func(g *rig) *looptest.Peer { g.setMemberState(0, policy.Draining); return g.sendRequest(firstLine) },
	"dispatch paused": func(g *rig) *looptest.Peer { g.Core.PauseDispatch(); return g.sendRequest(firstLine) },
	"dialling": func(g *rig) *looptest.Peer {
		g.setMemberState(0, policy.Gone)
		g.addMember(fullBacklogAddr(g.T))
		return g.sendRequest(firstLine)
	},
	"sent to a member": func(g *rig) *looptest.Peer { c := g.sendRequest(firstLine); g.acceptAttempt(0); return c },
	"half answered": func(g *rig) *looptest.Peer {
		c := g.sendRequest(firstLine)
		g.acceptAttempt(0).Send("UP ")
		g.RunOnce()
		return c
	},
	"between two attempts": func(g *rig) *looptest.Peer {
		c := g.sendRequest(firstLine)
		g.acceptAttempt(0).Send("BUSY\r\n")
		g.WaitFor("the attempt to end", func() bool { return g.Core.FlowCount(1) == 0 })
		return c
	},
	"with data after its first line": func(g *rig) *looptest.Peer {
		c := g.sendRequest(firstLine + "\r\nmore")
		g.acceptAttempt(0)
		return c
	},
}

// TestClientHalfCloses checks a client that closes its sending side after its request. It may be gone,
// so no further attempt is made; it may also still read, so it is answered BUSY before the close.
func TestClientHalfCloses(t *testing.T) {
	for name, setUp := range waitingClients {
		t.Run(name, func(t *testing.T) {
			g := newRig(t, 1)
			c := setUp(g)
			before := g.Core.Counts.Attempts
			c.CloseWrite()
			c.ExpectLines("BUSY")
			c.ExpectEOF()
			if n := g.Core.Counts; n.Attempts != before || n.ClientsGone != 1 {
				t.Errorf("counts = %+v, want Attempts %d and ClientsGone 1", n, before)
			}
			g.Core.ResumeDispatch()
			g.expectNothingSent()
			g.expectNoLeaks()
		})
	}
	t.Run("together with its request", func(t *testing.T) {
		g := newRig(t, 1)
		c := g.Dial(g.addr)
		c.Send(firstLine + "\r\n")
		c.CloseWrite()
		c.ExpectLines("BUSY")
		c.ExpectEOF()
		g.expectNothingSent()
		g.expectNoLeaks()
		if n := g.Core.Counts; n != (core.Counts{Requests: 1, Attempts: n.Attempts, ClientsGone: 1}) {
			t.Errorf("counts = %+v, want Requests 1, ClientsGone 1 and no other answer", n)
		}
	})
}

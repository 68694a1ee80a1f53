package line

import (
	"testing"
	"time"

	"dahliarudder/internal/core"
	"dahliarudder/internal/netloop/looptest"
	"dahliarudder/policy"
)

// badClientWithin is what the operators owe a client that stops in the middle of a request and stays: its error or the
// end of its connection.
const badClientWithin = 3 * time.Second

// TestPartialLineAfterPong: a client that was answered PONG and stops within its next line is answered ERR as soon as one
// that was not; one that sends the rest in time is served, and another PING lets it rest again.
func TestPartialLineAfterPong(t *testing.T) {
	for name, pings := range map[string]int{"one PONG": 1, "three": 3} {
		t.Run(name, func(t *testing.T) {
			g := newRig(t, 1)
			stays, goesOn, rests := g.Dial(g.addr), g.Dial(g.addr), g.Dial(g.addr)
			all := []*looptest.Peer{stays, goesOn, rests}
			for range pings {
				for _, c := range all {
					c.Say("PING\r\n")
					c.Lines("PONG")
				}
			}
			g.Pass(20 * time.Second) // they rest, as they may
			stays.Say(firstLine[:20])
			goesOn.Say(firstLine[:20])
			rests.Say("PI")
			g.Turn()
			g.Turn()
			g.Pass(badClientWithin / 2)
			goesOn.Say(firstLine[20:] + "\r\n")
			rests.Say("NG\r\n")
			rests.Lines("PONG")
			g.attempt(0).Say("UP x\r\n")
			goesOn.Lines("UP x")
			g.Pass(badClientWithin / 2)
			if len(g.f.idle) != 1 {
				t.Fatalf("%d connections without a first line, want the resting one", len(g.f.idle))
			}
			stays.Lines("ERR")
			stays.WantEnd()
			g.Pass(20 * time.Second)
			if len(g.f.idle) != 1 {
				t.Error("a client that was answered PONG once more may rest")
			}
		})
	}
}

// waitingClients is the situations in which a request waits for its answer, each with what brings it about.
var waitingClients = map[string]func(g *rig) *looptest.Peer{
	"held":    func(g *rig) *looptest.Peer { g.setMemberState(0, policy.Draining); return g.sendRequest(firstLine) },
	"doubted": func(g *rig) *looptest.Peer { g.Core.Doubt(); return g.sendRequest(firstLine) },
	"dialled": func(g *rig) *looptest.Peer { g.setMemberState(0, policy.Gone); g.addMember(fullQueue(g.T)); return g.sendRequest(firstLine) },
	"asked":   func(g *rig) *looptest.Peer { c := g.sendRequest(firstLine); g.attempt(0); return c },
	"half answered": func(g *rig) *looptest.Peer {
		c := g.sendRequest(firstLine)
		g.attempt(0).Say("UP ")
		g.Turn()
		return c
	},
	"between two attempts": func(g *rig) *looptest.Peer {
		c := g.sendRequest(firstLine)
		g.attempt(0).Say("BUSY\r\n")
		g.Until("the answer", func() bool { return g.Core.Flows(1) == 0 })
		return c
	},
	"with bytes behind its line": func(g *rig) *looptest.Peer {
		c := g.sendRequest(firstLine + "\r\nmore")
		g.attempt(0)
		return c
	},
}

// TestClientHalfCloses: a client that ends its sending after its request may have gone, so no attempt begins; or it
// waits for its answer, so it gets one before the end of its connection.
func TestClientHalfCloses(t *testing.T) {
	for name, bring := range waitingClients {
		t.Run(name, func(t *testing.T) {
			g := newRig(t, 1)
			c := bring(g)
			before := g.Core.Counts.Attempts
			c.Finish()
			c.Lines("BUSY")
			c.WantEnd()
			if n := g.Core.Counts; n.Attempts != before || n.Left != 1 {
				t.Errorf("%+v, %d attempts before", n, before)
			}
			g.Core.Sure()
			g.unsent()
			g.clean()
		})
	}
	t.Run("at once with its request", func(t *testing.T) {
		g := newRig(t, 1)
		c := g.Dial(g.addr)
		c.Say(firstLine + "\r\n")
		c.Finish()
		c.Lines("BUSY")
		c.WantEnd()
		g.unsent()
		g.clean()
		if n := g.Core.Counts; n != (core.Counts{Requests: 1, Attempts: n.Attempts, Left: 1}) {
			t.Errorf("%+v", n)
		}
	})
}

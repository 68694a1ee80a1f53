package line

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"dahliarudder/internal/netloop"
	"dahliarudder/internal/netloop/looptest"
	"dahliarudder/policy"
)

// flowRig is a rig with one open flow and the results of its attempts.
type flowRig struct {
	*rig
	c, m    *looptest.Peer
	results resultRecorder
}

func newFlowRig(t testing.TB) *flowRig {
	g := &flowRig{rig: newRig(t, 1)}
	g.Core.Recorder = &g.results
	g.c, g.m = g.openFlow()
	return g
}

// expectResult checks that the flow has ended with this result, once, and that nothing is left of it.
func (g *flowRig) expectResult(want policy.Result) {
	g.T.Helper()
	g.WaitFor("the end of the request", func() bool { return g.Core.ActiveRequests() == 0 })
	g.expectNoLeaks()
	if len(g.results) != 1 || g.results[0] != want {
		g.T.Errorf("results = %v, want only %v", g.results, want)
	}
	if n := g.Core.Counts; n.Served != 1 || n.Attempts != 1 || n.Rejected+n.Failed+n.ClientsGone != 0 {
		g.T.Errorf("counts = %+v, want Served 1, Attempts 1 and no other answer", n)
	}
}

// expectBothClosed waits for a graceful close on both sides, and checks what each received before.
func (g *flowRig) expectBothClosed(toClient, toMember string) {
	g.T.Helper()
	for p, want := range map[*looptest.Peer]string{g.c: toClient, g.m: toMember} {
		if p.EndErr == nil {
			g.waitClosed(p)
		}
		if string(p.Received) != want {
			g.T.Errorf("received %q before the close, want %q", p.Received, want)
		}
		p.Received = nil
		p.ExpectEOF()
	}
}

// TestMemberCloses checks that the client's side of an open flow closes in the way in which the
// member closed, and that the flow has the result that follows from the member's last lines.
func TestMemberCloses(t *testing.T) {
	for text, want := range map[string]policy.Result{
		"": policy.Reset, "BYE\r\n": policy.OK, "line\r\nBYE x0=0.5\r\n": policy.OK, "MOVE\r\n": policy.Cancelled,
		"half a li": policy.Reset, "BYE": policy.Reset, "BYE\r\nline\r\n": policy.OK, "LOAD 7\r\nBYE\r\n": policy.OK,
	} {
		t.Run(text, func(t *testing.T) {
			g := newFlowRig(t)
			g.m.Send(text)
			g.m.CloseWrite()
			g.expectBothClosed(text, "")
			g.expectResult(want)
		})
	}
	t.Run("reset", func(t *testing.T) {
		g := newFlowRig(t)
		g.m.Reset()
		g.c.ExpectReset()
		g.expectResult(policy.Reset)
	})
}

// TestBothSidesClose checks a flow whose sides both close in one loop iteration, in either order.
func TestBothSidesClose(t *testing.T) {
	for name, tc := range map[string]struct {
		first, second func(g *flowRig)
		want          []policy.Result
	}{
		"client, member": {func(g *flowRig) { g.c.CloseWrite() }, func(g *flowRig) { g.m.CloseWrite() }, []policy.Result{policy.Cancelled}},
		"member, client": {func(g *flowRig) { g.m.CloseWrite() }, func(g *flowRig) { g.c.CloseWrite() }, []policy.Result{policy.Reset}},
		"client, BYE":    {func(g *flowRig) { g.c.CloseWrite() }, func(g *flowRig) { g.m.Send("BYE\r\n"); g.m.CloseWrite() }, []policy.Result{policy.Cancelled}},
		"BYE, client":    {func(g *flowRig) { g.m.Send("BYE\r\n"); g.m.CloseWrite() }, func(g *flowRig) { g.c.CloseWrite() }, []policy.Result{policy.OK}},
	} {
		t.Run(name, func(t *testing.T) {
			g := newFlowRig(t)
			g.RunOnce()
			g.RunOnce() // now neither connection has an event
			tc.first(g)
			tc.second(g)
			g.waitClosed(g.c)
			g.waitClosed(g.m)
			g.expectResult(tc.want[0])
		})
	}
}

// TestMoveWithinUnendedLine checks that a migration that waits for a line that the member does not
// end closes the flow after MoveTimeout, without MOVE in the middle of the line.
func TestMoveWithinUnendedLine(t *testing.T) {
	g := newFlowRig(t)
	g.m.Send("half a ")
	g.c.Expect("half a ")
	g.setMemberState(0, policy.Draining)
	g.RunOnce()
	g.m.Send("li")
	g.c.Expect("li")
	g.Advance(MoveTimeout - time.Millisecond)
	if g.c.Poll(); g.c.EndErr != nil {
		t.Fatal("the flow ended before MoveTimeout")
	}
	g.Advance(time.Millisecond)
	g.expectBothClosed("", "")
	g.expectResult(policy.Cancelled)
}

// TestMoveCrossesClose checks that an event that ends the flow while MOVE waits for the end of a line
// ends the flow with one result, and that no second one is reported.
func TestMoveCrossesClose(t *testing.T) {
	for name, end := range map[string]func(g *flowRig){
		"member ends":         func(g *flowRig) { g.m.CloseWrite() },
		"member resets":       func(g *flowRig) { g.m.Reset() },
		"client ends":         func(g *flowRig) { g.c.CloseWrite() },
		"client resets":       func(g *flowRig) { g.c.Reset() },
		"line ends, then EOF": func(g *flowRig) { g.m.Send("line\r\n"); g.m.CloseWrite() },
		"line ends, then BYE": func(g *flowRig) { g.m.Send("line\r\nBYE\r\n"); g.m.CloseWrite() },
		"relay stops":         func(g *flowRig) { g.Core.Stop(); g.Core.FinishStop(); g.m.Send("line\r\n") },
		"member gone as well": func(g *flowRig) { g.setMemberState(0, policy.Gone); g.m.Send("line\r\n") },
	} {
		t.Run(name, func(t *testing.T) {
			g := newFlowRig(t)
			g.m.Send("half a ")
			g.c.Expect("half a ")
			g.setMemberState(0, policy.Draining)
			g.RunOnce()
			end(g)
			g.WaitFor("the request to end", func() bool { return len(g.front.requests) == 0 })
			if !strings.HasPrefix(name, "client") && !strings.HasPrefix(name, "member ") || strings.HasPrefix(name, "member gone") {
				g.c.ExpectLines("line", "MOVE")
				g.c.ExpectEOF()
			}
			g.expectResult(policy.Cancelled)
			if g.Core.Counts.Migrations != 1 {
				t.Errorf("counts = %+v, want Migrations 1", g.Core.Counts)
			}
		})
	}
}

// TestDrainAndStop checks that a client receives one MOVE if its member drains while the relay stops.
func TestDrainAndStop(t *testing.T) {
	g := newFlowRig(t)
	g.Core.Stop()
	g.setMemberState(0, policy.Draining)
	g.Core.FinishStop()
	g.expectBothClosed("MOVE\r\n", "")
	g.expectResult(policy.Cancelled)
}

// TestNeverReads checks that a client that does not read uses no more of the relay's memory than the
// buffer limits, and that its flow is closed: after about clientSilenceTimeout if it sends nothing,
// and after about maxSilence if it sends lines whose answers cannot be forwarded.
func TestNeverReads(t *testing.T) {
	for _, clientSends := range []bool{true, false} {
		g := newFlowRig(t)
		shrinkReceiveBuffer(g.c)
		conn := g.onlyFlow()
		g.sendUntil(g.m, func() bool { return conn.conn.WriteCapacity() == 0 })
		for range 8 {
			writeIgnoringError(g.m, string(bytes.Repeat([]byte("x"), 4<<10)))
			g.RunOnce()
		}
		if unsent := conn.conn.Unsent(); unsent > netloop.DefaultWriteLimit {
			t.Errorf("%d bytes wait to be sent to the client, want at most %d", unsent, netloop.DefaultWriteLimit)
		}
		if conn.upstream.blockedBytes > netloop.DefaultReadLimit {
			t.Errorf("%d bytes from the member wait to be forwarded, want at most %d",
				conn.upstream.blockedBytes, netloop.DefaultReadLimit)
		}
		start := g.Now()
		for at := start; g.Core.ActiveRequests() > 0; at += clientInterval {
			if clientSends {
				writeIgnoringError(g.c, "hello\r\n")
				g.RunOnce()
			}
			g.Advance(clientInterval)
			g.Advance(sweepInterval)
			if g.Now()-start > clientSilenceTimeout+2*clientInterval || clientSends && g.Now()-start > maxSilence+clientInterval {
				t.Fatalf("the flow is still open after %v (client sends: %v)", g.Now()-start, clientSends)
			}
		}
		g.expectNoLeaks()
	}
}

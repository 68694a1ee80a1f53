package line

import (
	"strings"
	"testing"
	"time"

	"dahliarudder/internal/core"
	"dahliarudder/internal/netloop/looptest"
	"dahliarudder/policy"
)

// waitClosed waits until the relay has ended a connection.
func (g *rig) waitClosed(p *looptest.Peer) {
	g.T.Helper()
	g.WaitFor("the connection to end", func() bool { p.Poll(); return p.EndErr != nil })
}

// writeIgnoringError sends text on a connection that the relay may already have closed.
func writeIgnoringError(m *looptest.Peer, text string) { m.Write([]byte(text)) }

// badAnswers are things that a member may do instead of answering UP, with the attempt's result.
var badAnswers = map[string]struct {
	act  func(g *rig, m *looptest.Peer)
	want policy.Result
}{
	"resets":                      {func(_ *rig, m *looptest.Peer) { m.Reset() }, policy.Reset},
	"ends":                        {func(_ *rig, m *looptest.Peer) { m.CloseWrite() }, policy.Reset},
	"resets after half a line":    {func(g *rig, m *looptest.Peer) { m.Send("UP"); g.RunOnce(); m.Reset() }, policy.Reset},
	"ends after half a line":      {func(_ *rig, m *looptest.Peer) { m.Send("UP x"); m.CloseWrite() }, policy.Reset},
	"ends within its CRLF":        {func(_ *rig, m *looptest.Peer) { m.Send("UP x\r"); m.CloseWrite() }, policy.Reset},
	"sends nothing":               {func(g *rig, m *looptest.Peer) { g.advanceUntilClosed(m) }, policy.Timeout},
	"sends half a line":           {func(g *rig, m *looptest.Peer) { m.Send("UP x"); g.RunOnce(); g.advanceUntilClosed(m) }, policy.Timeout},
	"sends UP after the timeout":  {func(g *rig, m *looptest.Peer) { g.advanceUntilClosed(m); writeIgnoringError(m, "UP x\r\n") }, policy.Timeout},
	"sends a line over the limit": {func(_ *rig, m *looptest.Peer) { m.Send("UP " + strings.Repeat("x", maxLineBytes) + "\r\n") }, policy.Error},
	"sends a line without end":    {func(_ *rig, m *looptest.Peer) { m.Send(strings.Repeat("x", 64*maxLineBytes)) }, policy.Error},
	"sends UP without CR":         {func(_ *rig, m *looptest.Peer) { m.Send("UP x\n") }, policy.Error},
	"sends an empty line":         {func(_ *rig, m *looptest.Peer) { m.Send("\r\nUP x\r\n") }, policy.Error},
	"sends binary data":           {func(_ *rig, m *looptest.Peer) { m.Send("\x00\xff\x16\x03\r\n") }, policy.Error},
	"sends UPPER":                 {func(_ *rig, m *looptest.Peer) { m.Send("UPPER x\r\n") }, policy.Error},
	"sends ERR":                   {func(_ *rig, m *looptest.Peer) { m.Send("ERR\r\n") }, policy.Error},
	"sends ERR and UP":            {func(_ *rig, m *looptest.Peer) { m.Send("ERR\r\nUP x\r\n") }, policy.Error},
	"sends ERR, and UP later":     {func(g *rig, m *looptest.Peer) { m.Send("ERR\r\n"); g.RunOnce(); writeIgnoringError(m, "UP x\r\n") }, policy.Error},
	"sends BUSY":                  {func(_ *rig, m *looptest.Peer) { m.Send("BUSY\r\n") }, policy.Full},
	"sends BUSY and UP":           {func(_ *rig, m *looptest.Peer) { m.Send("BUSY\r\nUP x\r\n") }, policy.Full},
	"sends BUSY, and UP later":    {func(g *rig, m *looptest.Peer) { m.Send("BUSY\r\n"); g.RunOnce(); writeIgnoringError(m, "UP x\r\n") }, policy.Full},
	"sends BUSY in pieces":        {func(g *rig, m *looptest.Peer) { g.sendByteByByte(m, "BUSY\r\n") }, policy.Full},
	"sends MOVE":                  {func(_ *rig, m *looptest.Peer) { m.Send("MOVE\r\n") }, policy.Cancelled},
}

// advanceUntilClosed advances the clock until the relay has ended the attempt's connection.
func (g *rig) advanceUntilClosed(m *looptest.Peer) {
	g.T.Helper()
	g.WaitFor("the attempt's connection to end", func() bool { g.Advance(10 * time.Millisecond); m.Poll(); return m.EndErr != nil })
}

// sendByteByByte sends text byte by byte, with a loop iteration after each byte.
func (g *rig) sendByteByByte(p *looptest.Peer, text string) {
	for i := range text {
		p.Send(text[i : i+1])
		g.RunOnce()
	}
}

// TestAttempts checks that an attempt that is answered badly has exactly one result, the right one,
// that the next attempt is sent after it, and that the client receives only the next member's answer.
func TestAttempts(t *testing.T) {
	for name, tc := range badAnswers {
		t.Run(name, func(t *testing.T) {
			g := newRig(t, 2)
			var results resultRecorder
			g.Core.Recorder = &results
			c := g.sendRequest(firstLine)
			at, m := g.acceptAnyAttempt()
			tc.act(g, m)
			g.WaitFor("the next attempt", func() bool { g.Advance(time.Millisecond); return g.Core.Counts.Attempts == 2 })
			if len(results) != 1 || results[0] != tc.want {
				t.Errorf("results = %v, want only %v", results, tc.want)
			}
			if tc.want != policy.Reset { // with Reset, the member itself has closed the connection
				g.waitClosed(m)
			}
			next := g.acceptAttempt(1 - at)
			if c.Poll(); len(c.Received) > 0 {
				t.Errorf("client got %q before a good answer, want nothing", c.Received)
			}
			writeIgnoringError(m, "UP late\r\n")
			g.RunOnce()
			next.Send("UP y\r\n")
			c.ExpectLines("UP y")
			next.CloseWrite()
			c.ExpectEOF()
			g.expectNoLeaks()
			if n := g.Core.Counts; n.Served != 1 || n.Rejected+n.Failed+n.ClientsGone != 0 || n.Attempts != 2 {
				t.Errorf("counts = %+v, want Served 1, Attempts 2 and no other answer", n)
			}
		})
	}
}

// TestAttemptsExhausted checks that if every member answers badly the client receives one complete
// answer in time, after at most the allowed number of attempts, of which no two are in flight at once.
func TestAttemptsExhausted(t *testing.T) {
	for name, tc := range badAnswers {
		t.Run(name, func(t *testing.T) {
			g := newRig(t, 2)
			c := g.sendRequest(firstLine)
			until := g.Now() + 1900*time.Millisecond
			for g.Core.ActiveRequests() > 0 {
				inFlight := 0
				for i := range g.fakeMembers {
					inFlight += g.Core.FlowCount(policy.MemberID(i + 1))
				}
				if inFlight > 1 {
					t.Fatalf("%d attempts in flight, want at most 1", inFlight)
				}
				if inFlight == 0 {
					g.Advance(time.Millisecond)
				} else {
					_, m := g.acceptAnyAttempt()
					before := g.Core.Counts.Attempts
					tc.act(g, m)
					g.WaitFor("the result of the attempt", func() bool {
						g.RunOnce()
						return g.Core.ActiveRequests() == 0 || g.Core.Counts.Attempts > before || g.Core.FlowCount(1)+g.Core.FlowCount(2) == 0
					})
				}
				if g.Now() > until {
					t.Fatal("no answer within the request's deadline")
				}
			}
			if got := c.ReadLine(); !strings.HasPrefix(got, "BUSY") && got != "ERR" {
				t.Errorf("client got %q, want BUSY or ERR", got)
			}
			c.ExpectEOF()
			g.expectNoLeaks()
			if n := g.Core.Counts; n.Attempts > 3 || n.Rejected+n.Failed != 1 {
				t.Errorf("counts = %+v, want at most 3 attempts and one rejection or failure", n)
			}
		})
	}
}

// TestAttemptConnectionRefused checks that refused connections count as attempts and that the client
// receives one answer.
func TestAttemptConnectionRefused(t *testing.T) {
	g := newRig(t, 2)
	var results resultRecorder
	g.Core.Recorder = &results
	for _, s := range g.fakeMembers {
		s.Listener.Close()
	}
	c := g.sendRequest(firstLine)
	g.WaitFor("the request to end", func() bool { g.Advance(10 * time.Millisecond); return g.Core.ActiveRequests() == 0 })
	if got := c.ReadLine(); !strings.HasPrefix(got, "BUSY") {
		t.Errorf("client got %q, want BUSY", got)
	}
	c.ExpectEOF()
	g.expectNoLeaks()
	for _, result := range results {
		if result != policy.ConnectFailed {
			t.Errorf("results = %v, want only %v", results, policy.ConnectFailed)
		}
	}
	if len(results) == 0 || len(results) > 3 {
		t.Errorf("%d attempts, want 1 to 3", len(results))
	}
}

// TestAttemptConnectsLate checks that a connection that is not established within connectTimeout
// fails the attempt, and that one that is established in the same loop iteration in which the time
// runs out is used.
func TestAttemptConnectsLate(t *testing.T) {
	g := newRig(t, 0)
	var results resultRecorder
	g.Core.Recorder = &results
	g.addMember(fullBacklogAddr(t))
	c := g.sendRequest(firstLine)
	g.Advance(g.front.connectTimeout)
	if len(results) == 0 || results[0] != policy.ConnectFailed {
		t.Errorf("results = %v, want first %v", results, policy.ConnectFailed)
	}
	g.WaitFor("the request to end", func() bool { g.Advance(10 * time.Millisecond); return g.Core.ActiveRequests() == 0 })
	if got := c.ReadLine(); !strings.HasPrefix(got, "BUSY") {
		t.Errorf("client got %q, want BUSY", got)
	}
	g.expectNoLeaks()

	g = newRig(t, 1)
	c = g.sendRequest(firstLine)
	g.Advance(g.front.connectTimeout)
	g.acceptAttempt(0).Send("UP x\r\n")
	c.ExpectLines("UP x")
	if g.Core.Counts.Attempts != 1 {
		t.Errorf("counts = %+v, want 1 attempt", g.Core.Counts)
	}
}

// TestAnswersAfterUp checks that lines after UP, even a second UP, are forwarded unchanged as data of
// the flow and not treated as another answer.
func TestAnswersAfterUp(t *testing.T) {
	for _, after := range []string{"UP x\r\n", "BUSY\r\n", "ERR\r\n"} {
		for _, together := range []bool{true, false} {
			g := newRig(t, 1)
			c := g.sendRequest(firstLine)
			m := g.acceptAttempt(0)
			if together {
				m.Send("UP x\r\n" + after)
			} else {
				m.Send("UP x\r\n")
				c.ExpectLines("UP x")
				m.Send(after)
				c.Received = append([]byte("UP x\r\n"), c.Received...)
			}
			c.Expect("UP x\r\n" + after)
			if n := g.Core.Counts; n.Served != 1 || n.Attempts != 1 || g.Core.ActiveRequests() != 1 {
				t.Errorf("counts = %+v with %d active requests, want Served 1, Attempts 1 and 1 active",
					n, g.Core.ActiveRequests())
			}
		}
	}
}

// TestAttemptWithoutDescriptor checks that an attempt for which the relay has no free descriptor is
// not reported as a failure of the member, and that the client is answered BUSY.
func TestAttemptWithoutDescriptor(t *testing.T) {
	g := newRig(t, 1)
	var results resultRecorder
	g.Core.Recorder = &results
	memberFaults := 0
	g.Core.OnResult = func(_ *core.Member, result policy.Result) {
		if result != policy.NotSent {
			memberFaults++
		}
	}
	g.Core.PauseDispatch()
	c := g.sendRequest(firstLine)
	g.SetDescriptorLimit(g.OpenDescriptors())
	g.Core.ResumeDispatch()
	g.WaitFor("the request to end", func() bool { g.Advance(10 * time.Millisecond); return g.Core.ActiveRequests() == 0 })
	if got := c.ReadLine(); !strings.HasPrefix(got, "BUSY") {
		t.Errorf("client got %q, want BUSY", got)
	}
	if len(results) == 0 || results[0] != policy.NotSent || memberFaults != 0 {
		t.Errorf("results = %v, want first %v; %d results reported about the member, want 0",
			results, policy.NotSent, memberFaults)
	}
}

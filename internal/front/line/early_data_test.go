package line

import (
	"bytes"
	"testing"

	"dahliarudder/policy"
)

// TestEarlyDataThenClose: a client that sends more than its line while its request is queued, and closes, takes the request
// with it.
func TestEarlyDataThenClose(t *testing.T) {
	g := newRig(t, 1)
	g.setMemberState(0, policy.Draining)
	c := g.sendRequest(firstLine)
	c.Send(string(bytes.Repeat([]byte("more\r\n"), 4<<10)))
	c.CloseWrite()
	g.WaitFor("the client's end", func() bool { return len(g.front.requests) == 0 })
	g.setMemberState(0, policy.Ready)
	g.expectReleased()
}

// TestEarlyDataOverLimit: one that sends more than the relay buffers while it waits loses nothing of it once its flow is
// open, and is not read further until then.
func TestEarlyDataOverLimit(t *testing.T) {
	g := newRig(t, 1)
	c := g.sendRequest(firstLine)
	m := g.acceptAttempt(0)
	early := bytes.Repeat([]byte("more\r\n"), 32<<10)
	c.Send(string(early))
	for range 8 {
		g.RunOnce()
	}
	m.Send("UP x\r\n")
	c.ExpectLines("UP x")
	g.WaitFor("the early lines", func() bool { m.Poll(); return len(m.Received) >= len(early) })
	if !bytes.Equal(m.Received, early) {
		t.Errorf("%d bytes of %d", len(m.Received), len(early))
	}
}

// TestEarlyDataForwarded: what a client sends while it waits goes to the member that is up, after the first line, all of it
// and in order.
func TestEarlyDataForwarded(t *testing.T) {
	g := newRig(t, 2)
	c := g.sendRequest(firstLine)
	at, m := g.acceptAnyAttempt()
	early := bytes.Repeat([]byte("more\r\n"), 5<<10)
	c.Send(string(early))
	g.RunOnce()
	m.Send("BUSY\r\n")
	g.WaitFor("the answer", func() bool { return g.Core.Counts.Attempts == 2 })
	if _, m = at, g.acceptAttempt(1-at); len(m.Received) > 0 {
		t.Errorf("with the first line came %q", m.Received)
	}
	m.Send("UP x\r\n")
	c.ExpectLines("UP x")
	g.WaitFor("the early lines", func() bool { m.Poll(); return len(m.Received) >= len(early) })
	if !bytes.Equal(m.Received, early) {
		t.Errorf("%d bytes of %d", len(m.Received), len(early))
	}
}

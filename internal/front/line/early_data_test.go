package line

import (
	"bytes"
	"testing"

	"dahliarudder/policy"
)

// TestEarlyDataThenClose checks that a client that sends data after its first line while its request
// is queued, and then closes, ends its request.
func TestEarlyDataThenClose(t *testing.T) {
	g := newRig(t, 1)
	g.setMemberState(0, policy.Draining)
	c := g.sendRequest(firstLine)
	c.Send(string(bytes.Repeat([]byte("more\r\n"), 4<<10)))
	c.CloseWrite()
	g.WaitFor("the relay to notice the client's close", func() bool { return len(g.front.requests) == 0 })
	g.setMemberState(0, policy.Ready)
	g.expectReleased()
}

// TestEarlyDataOverLimit checks that a client that sends more than the relay buffers before its flow
// is open loses none of it: the relay stops reading until the flow is open.
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
	g.WaitFor("the member to receive the early lines", func() bool { m.Poll(); return len(m.Received) >= len(early) })
	if !bytes.Equal(m.Received, early) {
		t.Errorf("member received %d bytes, want exactly the %d bytes that the client sent early",
			len(m.Received), len(early))
	}
}

// TestEarlyDataForwarded checks that data that a client sends before its flow is open goes to the
// member that answers UP, after the first line, complete and in order.
func TestEarlyDataForwarded(t *testing.T) {
	g := newRig(t, 2)
	c := g.sendRequest(firstLine)
	at, m := g.acceptAnyAttempt()
	early := bytes.Repeat([]byte("more\r\n"), 5<<10)
	c.Send(string(early))
	g.RunOnce()
	m.Send("BUSY\r\n")
	g.WaitFor("the second attempt", func() bool { return g.Core.Counts.Attempts == 2 })
	if _, m = at, g.acceptAttempt(1-at); len(m.Received) > 0 {
		t.Errorf("member received %q after the first line and before UP, want nothing", m.Received)
	}
	m.Send("UP x\r\n")
	c.ExpectLines("UP x")
	g.WaitFor("the member to receive the early lines", func() bool { m.Poll(); return len(m.Received) >= len(early) })
	if !bytes.Equal(m.Received, early) {
		t.Errorf("member received %d bytes, want exactly the %d bytes that the client sent early",
			len(m.Received), len(early))
	}
}

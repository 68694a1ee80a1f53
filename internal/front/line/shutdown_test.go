package line

import (
	"strings"
	"testing"

	"dahliarudder/internal/netloop"
	"dahliarudder/internal/netloop/looptest"
)

// TestMemberLeftWhileDialing checks that a member that leaves while a connection to it is being set up
// receives nothing on it, and that the request goes to another member.
func TestMemberLeftWhileDialing(t *testing.T) {
	r := looptest.NewRelay(t, 2)
	f := New(r.Loop, r.Core, r.Log)
	c := r.Dial(r.Serve(f.Accept))
	c.Send(firstLine + "\r\n")
	r.WaitFor("an attempt", func() bool { return r.Core.Counts.Attempts == 1 })
	first := 0
	if r.Core.FlowCount(r.Members[1].ID) == 1 {
		first = 1
	}
	r.Drain(first) // before the loop iteration in which the connection is established
	for {
		i, m := r.AcceptAny(0)
		if i == first {
			m.ExpectEOF()
			continue
		}
		if got := m.ReadLine(); !strings.HasPrefix(got, "OPEN 00000000000000aa") {
			t.Fatalf("member received %q, want the client's OPEN", got)
		}
		m.Send("UP x\r\n")
		c.ExpectLines("UP x")
		return
	}
}

// TestOpenWhileMigrating checks that a request counts as open until its client has been sent a MOVE
// that waits for the end of a line, so that a shutdown does not end before that.
func TestOpenWhileMigrating(t *testing.T) {
	r := looptest.NewRelay(t, 1)
	f := New(r.Loop, r.Core, r.Log)
	c, m := sendOpenTo(r, f)
	m.Send("UP x\r\nhalf a ")
	c.ExpectLines("UP x")
	r.WaitFor("half a line at the client", func() bool { c.Poll(); return string(c.Received) == "half a " })
	r.Core.Stop()
	r.Core.FinishStop()
	if r.Core.ActiveRequests() != 0 || f.OpenRequests() != 1 {
		t.Fatalf("core has %d active requests, front has %d open; want 0 and 1",
			r.Core.ActiveRequests(), f.OpenRequests())
	}
	m.Send("line\r\n")
	c.ExpectLines("half a line", "MOVE")
	c.ExpectEOF()
	if f.OpenRequests() != 0 {
		t.Errorf("OpenRequests() = %d after MOVE, want 0", f.OpenRequests())
	}
}

// TestCloseIdle checks that at the end of a shutdown an idle connection is answered BUSY and closed,
// and that a request that arrives at that moment has this answer too and is not sent to a member.
func TestCloseIdle(t *testing.T) {
	r := looptest.NewRelay(t, 1)
	f := New(r.Loop, r.Core, r.Log)
	at := r.Serve(f.Accept)
	idle, sending := r.Dial(at), r.Dial(at)
	idle.Send("PING\r\n")
	idle.Expect("PONG\r\n")
	r.WaitFor("both connections to be accepted", func() bool { return len(f.idle) == 2 })
	r.Core.Stop()
	sending.Send(firstLine + "\r\n")
	f.CloseIdle()
	for _, c := range []*looptest.Peer{idle, sending} {
		c.Expect("BUSY 500\r\n")
		c.ExpectEOF()
	}
	if r.Core.Counts.Attempts != 0 || len(f.idle) != 0 {
		t.Errorf("%d attempts and %d idle connections, want 0 and 0", r.Core.Counts.Attempts, len(f.idle))
	}
}

// TestClientGoneUndelivered checks that the relay notices the close of a client that has sent more
// than is buffered, and abandons its attempt.
func TestClientGoneUndelivered(t *testing.T) {
	r := looptest.NewRelay(t, 1)
	f := New(r.Loop, r.Core, r.Log)
	c := r.Dial(r.Serve(f.Accept))
	c.Send(firstLine + "\r\n" + strings.Repeat("x", 2*netloop.DefaultReadLimit))
	c.CloseWrite()
	_, m := r.AcceptAny(0)
	r.WaitFor("the core to count the client as gone", func() bool { return r.Core.Counts.ClientsGone == 1 })
	r.WaitFor("the attempt's connection to end", func() bool { m.Poll(); return m.EndErr != nil })
	if f.OpenRequests() != 0 || r.Core.ActiveRequests() != 0 {
		t.Errorf("front has %d open requests, core has %d active; want 0 and 0",
			f.OpenRequests(), r.Core.ActiveRequests())
	}
}

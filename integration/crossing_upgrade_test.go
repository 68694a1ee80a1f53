package integration

import (
	"fmt"
	"io"
	"net"
	"path/filepath"
	"syscall"
	"testing"
	"time"
)

// newUpgrade is a relay that can be succeeded, with flows that stand.
func newUpgrade(t *testing.T, flows int) (s *crossing, clients []*client, members []*attempt) {
	t.Helper()
	s = newCrossing(t, 2, map[string]any{"operator": "127.0.0.1:0"})
	for n := range flows {
		c, a := s.flow(n + 1)
		clients, members = append(clients, c), append(members, a)
	}
	return s, clients, members
}

// passes has the relay stop while its successor stands still, and returns once it has given flows up.
func (s *crossing) passes(next *relay) time.Time {
	s.t.Helper()
	next.freeze()
	since := s.terminate()
	s.round()
	return since
}

// round returns when the loop has been through a round: an operator's call is answered, or refused since the listeners are closed.
func (s *crossing) round() {
	c, err := net.Dial("tcp", s.addr["operator"])
	if err != nil {
		return
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(patience))
	fmt.Fprint(c, "GET /-/ready HTTP/1.1\r\nHost: relay\r\n\r\n")
	c.Read(make([]byte, 1))
}

// socketOf is the file at which a successor is waited for, by its number: a process that begins to take clients in makes it anew.
func (r *relay) socketOf() uint64 {
	r.t.Helper()
	paths, err := filepath.Glob(filepath.Join(filepath.Dir(r.path), "dahliarudder-*", "upgrade.sock"))
	if err != nil || len(paths) > 1 {
		r.t.Fatalf("sockets %q, %v", paths, err)
	}
	var at syscall.Stat_t
	if len(paths) == 0 || syscall.Stat(paths[0], &at) != nil {
		return 0 // between its end and its start
	}
	return at.Ino
}

// speaks passes a line each way on a flow.
func speaks(c *client, a *attempt, line string) {
	c.t.Helper()
	c.say(line)
	if got := a.next(); got != line {
		c.t.Errorf("the member got %q for %q", got, line)
	}
	a.write("GOT " + line + "\r\n")
	c.want("GOT " + line)
}

// TestCrossingPassBytes: bytes arrive both ways while a flow is on its way to the successor. All arrive, in order.
func TestCrossingPassBytes(t *testing.T) {
	t.Parallel()
	s, clients, members := newUpgrade(t, 6)
	next := s.successor(2)
	for i := range clients {
		members[i].write("GOT ha")
	}
	since := s.passes(next)
	for i, c := range clients {
		c.say(fmt.Sprint("line ", i))
		members[i].write("lf\r\nGOT more\r\n")
	}
	next.thaw()
	for i, c := range clients {
		c.want("GOT half")
		c.want("GOT more")
		if got, want := members[i].next(), fmt.Sprint("line ", i); got != want {
			t.Errorf("the member got %q, want %q", got, want)
		}
	}
	s.gone(since)
	for i, c := range clients {
		speaks(c, members[i], "still here")
	}
	next.stop()
	moved(clients...)
}

// TestCrossingPassEnds: the client, or the member, ends a flow while it is on its way to the successor. The other side ends in the same manner.
func TestCrossingPassEnds(t *testing.T) {
	t.Parallel()
	for what, leave := range clientEnds {
		t.Run("client "+what, func(t *testing.T) {
			t.Parallel()
			s, clients, members := newUpgrade(t, 4)
			next := s.successor(2)
			before := next.descriptors()
			since := s.passes(next)
			for _, c := range clients {
				leave(c)
			}
			next.thaw()
			for _, a := range members {
				a.waitEnd()
			}
			s.gone(since)
			next.settled(before)
			next.stop()
		})
	}
	t.Run("member", func(t *testing.T) {
		t.Parallel()
		s, clients, members := newUpgrade(t, 4)
		next := s.successor(2)
		before := next.descriptors()
		since := s.passes(next)
		for _, a := range members {
			a.over()
			a.write("BYE\r\n")
			a.Close()
		}
		next.thaw()
		for _, c := range clients {
			c.want("BYE")
			c.want(io.EOF.Error())
		}
		s.gone(since)
		next.settled(before)
		next.stop()
	})
}

// TestCrossingPassDrain: a member drains, or is gone from the list, while its flows are on their way. The successor moves them.
func TestCrossingPassDrain(t *testing.T) {
	t.Parallel()
	for _, lifecycle := range []string{"DRAINING", "DELETED"} {
		t.Run(lifecycle, func(t *testing.T) {
			t.Parallel()
			s, clients, members := newUpgrade(t, 4)
			next := s.successor(2)
			since := s.passes(next)
			for _, m := range s.members {
				s.d.SetLifecycle(m.id, lifecycle)
			}
			next.thaw()
			moved(clients...)
			for _, a := range members {
				a.waitEnd()
			}
			s.gone(since)
			next.stop()
		})
	}
}

// TestCrossingPassNewerKilled: the successor is killed with flows on their way to it. The first one, which has given them up, moves their clients.
func TestCrossingPassNewerKilled(t *testing.T) {
	t.Parallel()
	s, clients, _ := newUpgrade(t, 6)
	next := s.successor(2)
	since := s.passes(next)
	next.cmd.Process.Kill()
	<-next.done
	moved(clients...)
	s.gone(since)
}

// TestCrossingFreshNewerKilled: the successor is killed with connections on their way to it whose first lines have come or are still to come. The
// first one serves them.
func TestCrossingFreshNewerKilled(t *testing.T) {
	t.Parallel()
	s := newCrossing(t, 2, map[string]any{"operator": "127.0.0.1:0"})
	for _, m := range s.members {
		m.answers(true)
		s.d.SetLifecycle(m.id, "DRAINING")
	}
	until(t, "no member", func() bool { return s.call("GET", "/-/ready") == 503 })
	quiet, half, asks, front := s.dial(), s.dial(), s.dial(), s.dial()
	line := firstLine(3, 2900*time.Millisecond) + "\r\n"
	fmt.Fprint(half, line[:30])
	front.say("PING")
	front.want("PONG")          // the others were accepted before
	next := start(t, s.path, 2) // it takes no clients in before it has a member
	s.logged("a successor starts")
	s.freeze()
	before := s.socketOf()
	for _, m := range s.members {
		s.d.SetLifecycle(m.id, "SERVING")
	}
	until(t, "the successor's beginning", func() bool { now := s.socketOf(); return now != 0 && now != before })
	next.freeze()
	asks.say(firstLine(1, 2900*time.Millisecond))
	s.thaw()
	s.logged("a successor serves")
	s.round()
	next.cmd.Process.Kill()
	<-next.done
	asks.want("UP ")
	quiet.say(firstLine(2, 2900*time.Millisecond))
	quiet.want("UP ")
	fmt.Fprint(half, line[30:])
	half.want("UP ")
	front.say("PING")
	front.want("PONG")
	s.open(900, "").want("UP ")
	s.checkTries()
	s.stop()
}

// TestCrossingPassOlderKilled: the first process is killed with flows on their way to its successor, which serves them.
func TestCrossingPassOlderKilled(t *testing.T) {
	t.Parallel()
	s, clients, members := newUpgrade(t, 6)
	next := s.successor(2)
	s.passes(next)
	s.cmd.Process.Kill()
	<-s.done
	next.thaw()
	for i, c := range clients {
		speaks(c, members[i], "still here")
	}
	next.logged("the other process is gone")
	next.stop()
	moved(clients...)
}

// TestCrossingFreshMany: SIGTERM comes while more connections that have asked for nothing wait to be handed over than may be on their way, and
// then their first lines come. The successor serves each.
func TestCrossingFreshMany(t *testing.T) {
	t.Parallel()
	const many = 20 // passBurst of the program is 8
	s := newCrossing(t, 8, map[string]any{"operator": "127.0.0.1:0"})
	for _, m := range s.members {
		m.answers(true)
		s.d.SetLifecycle(m.id, "DRAINING")
	}
	until(t, "no member", func() bool { return s.call("GET", "/-/ready") == 503 })
	var all []*client
	for range many {
		all = append(all, s.dial())
	}
	front := s.dial()
	front.say("PING")
	front.want("PONG")          // the others were accepted before
	next := start(t, s.path, 2) // it takes no clients in before it has a member
	s.logged("a successor starts")
	s.freeze()
	before := s.socketOf()
	for _, m := range s.members {
		s.d.SetLifecycle(m.id, "SERVING")
	}
	until(t, "the successor's beginning", func() bool { now := s.socketOf(); return now != 0 && now != before })
	next.freeze()
	s.thaw()
	s.logged("a successor serves")
	s.terminate()
	s.round()
	for n, c := range all {
		c.say(firstLine(100+n, 2900*time.Millisecond))
	}
	s.round()
	next.thaw()
	s.ends()
	for _, c := range all {
		c.want("UP ")
	}
	s.checkTries()
	next.stop()
}

// TestCrossingBothStop: SIGTERM to both, at the first one before, at the successor before, or with the first one already past its listeners. Who
// still arrives is answered by one of them, and flows are moved.
func TestCrossingBothStop(t *testing.T) {
	t.Parallel()
	arrives := func(t *testing.T, s *crossing, n int) {
		t.Helper()
		c := s.openFor(n, 2*time.Second)
		c.want("BUSY ")
		c.want(io.EOF.Error())
	}
	t.Run("the first is past its listeners", func(t *testing.T) {
		t.Parallel()
		s, _, _ := newUpgrade(t, 0)
		next := s.successor(2)
		s.terminate()
		s.freeze() // within the time that its last answers have
		since := time.Now()
		next.cmd.Process.Signal(syscall.SIGTERM)
		next.logged("msg=stopping")
		for n := range 5 {
			arrives(t, s, 100+n)
		}
		next.ends()
		if took := time.Since(since); took > longestStop+stopReserve {
			t.Errorf("the successor ended %v after SIGTERM", took)
		}
		s.thaw()
		s.ends()
	})
	for what, first := range map[string]bool{"at once, the first stands still": true, "at once, the successor stands still": false} {
		t.Run(what, func(t *testing.T) {
			t.Parallel()
			s, _, _ := newUpgrade(t, 0)
			next := s.successor(2)
			still, other := s.relay, next
			if !first {
				still, other = next, s.relay
			}
			still.freeze() // its own SIGTERM and the other's word wait for the same round
			other.cmd.Process.Signal(syscall.SIGTERM)
			other.logged("msg=stopping")
			still.cmd.Process.Signal(syscall.SIGTERM)
			still.thaw()
			still.logged("msg=stopping")
			for n := range 5 {
				arrives(t, s, 100+n)
			}
			next.ends()
			s.ends()
		})
	}
	for what, first := range map[string]bool{"the first at first": true, "the successor at first": false} {
		t.Run(what, func(t *testing.T) {
			t.Parallel()
			s, clients, _ := newUpgrade(t, 4)
			held := s.open(50, "") // keeps the first one from ending
			a := s.attempt()
			next := s.successor(2)
			one, other := s.relay, next
			if !first {
				one, other = next, s.relay
			}
			since := time.Now()
			one.cmd.Process.Signal(syscall.SIGTERM)
			one.logged("msg=stopping")
			other.cmd.Process.Signal(syscall.SIGTERM)
			other.logged("msg=stopping")
			for n := range 5 {
				arrives(t, s, 100+n)
			}
			a.up()
			held.want("UP ")
			moved(append(clients, held)...)
			next.ends()
			s.gone(since)
		})
	}
}

// TestCrossingElsewhere: a request is on its way in the first process while its id is asked for at the successor: before the flow stands, while it
// passes, and after. It is turned away each time, and there is one attempt.
func TestCrossingElsewhere(t *testing.T) {
	t.Parallel()
	s, _, _ := newUpgrade(t, 0)
	c := s.open(7, "")
	a := s.attempt()
	next := s.successor(2)
	for _, m := range s.members {
		m.answers(true) // a second attempt would succeed
	}
	s.call("GET", "/-/ready")
	next.open(7, "").want("ERR")
	since := s.terminate()
	next.open(7, "").want("ERR")
	a.up()
	c.want("UP ")
	s.gone(since)
	next.open(7, "").want("ERR")
	if n := s.attempts(7); n != 1 {
		t.Errorf("%d attempts", n)
	}
	speaks(c, a, "still here")
	next.stop()
	moved(c)
}

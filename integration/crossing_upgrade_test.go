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
	if err != nil || len(paths) != 1 {
		r.t.Fatalf("sockets %q, %v", paths, err)
	}
	var at syscall.Stat_t
	if err := syscall.Stat(paths[0], &at); err != nil {
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
				s.d.Set(m.id, lifecycle)
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
		s.d.Set(m.id, "DRAINING")
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
		s.d.Set(m.id, "SERVING")
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

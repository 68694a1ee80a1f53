package integration

import (
	"fmt"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"dahliarudder/internal/fakes"
)

// TestCrossingStopAnswered: an attempt is in flight at its member when SIGTERM comes, and is answered after that. The client
// gets UP, then MOVE, before the process ends.
func TestCrossingStopAnswered(t *testing.T) {
	t.Parallel()
	s := newScriptedRig(t, 2, nil)
	c := s.openFlow(1, "")
	a := s.nextAttempt()
	since := s.terminate()
	a.accept()
	c.wantLine("UP " + a.member.id + "/")
	wantMoved(c)
	s.wantTimelyExit(since)
	if n := s.attemptCount(1); n != 1 {
		t.Errorf("%d attempts", n)
	}
}

// TestCrossingStopInFlight: a request that a member leaves unanswered until its deadline gets its one answer in time, and no
// attempt starts after that.
func TestCrossingStopInFlight(t *testing.T) {
	t.Parallel()
	for _, deadline := range []time.Duration{time.Second, 2900 * time.Millisecond} {
		t.Run(deadline.String(), func(t *testing.T) {
			t.Parallel()
			s := newScriptedRig(t, 2, nil)
			sent := time.Now()
			c := s.openWithDeadline(1, deadline)
			a := s.nextAttempt()
			since := s.terminate()
			answer := c.line()
			took := time.Since(sent)
			t.Logf("%q after %v of %v", answer, took.Round(time.Millisecond), deadline)
			if !strings.HasPrefix(answer, "BUSY") && answer != "ERR" {
				t.Errorf("answered %q", answer)
			}
			if took > deadline+lostAnswerDelay {
				t.Errorf("answered after %v of %v", took, deadline)
			}
			c.wantLine(io.EOF.Error())
			before := s.attemptCount(1)
			a.waitClosed()
			s.wantTimelyExit(since)
			if n := s.attemptCount(1); n != before {
				t.Errorf("%d attempts after the answer", n-before)
			}
		})
	}
}

// TestCrossingStopNewRequests: a request after SIGTERM, on a new connection, on an idle one, on one with half a line and on one
// that was answered PONG, is answered BUSY and never forwarded.
func TestCrossingStopNewRequests(t *testing.T) {
	t.Parallel()
	s := newScriptedRig(t, 2, nil)
	idle, half, front := s.dial(), s.dial(), s.dial()
	line := firstLine(2, 2*time.Second) + "\r\n"
	fmt.Fprint(half, line[:30])
	front.send("PING")
	front.wantLine("PONG") // the others were accepted before
	since := s.terminate()
	newClient := s.openWithDeadline(1, 2*time.Second)
	fmt.Fprint(half, line[30:])
	idle.send(firstLine(3, 2*time.Second))
	front.send(firstLine(4, 2*time.Second))
	for _, c := range []*client{newClient, half, idle, front} {
		c.wantLine("BUSY ")
		c.wantLine(io.EOF.Error())
	}
	s.wantTimelyExit(since)
	for n := 1; n <= 4; n++ {
		if s.attemptCount(n) > 0 {
			t.Errorf("request %d was sent on", n)
		}
	}
}

// TestCrossingStopHalfLine: half of a member's line has reached the client when SIGTERM comes. The rest follows, then MOVE.
func TestCrossingStopHalfLine(t *testing.T) {
	t.Parallel()
	s := newScriptedRig(t, 2, nil)
	c, a := s.newFlow(1)
	a.write("GOT ha")
	got := make([]byte, len("GOT ha"))
	if _, err := io.ReadFull(c.in, got); err != nil {
		t.Fatal(err)
	}
	since := s.terminate()
	a.write("lf\r\n")
	if line := c.line(); line != "lf" {
		t.Errorf("the rest came as %q", line)
	}
	wantMoved(c)
	s.wantTimelyExit(since)
}

// TestCrossingStopIdleClient: a client that was answered PONG stays until the relay closes the connection, and sends a request just
// then. It sees an orderly close, with or without BUSY before, and no member gets the request.
func TestCrossingStopIdleClient(t *testing.T) {
	t.Parallel()
	s := newScriptedRig(t, 1, nil)
	c := s.dial()
	c.send("PING")
	c.wantLine("PONG")
	since := s.terminate()
	if line := c.line(); strings.HasPrefix(line, "BUSY") {
		c.wantLine(io.EOF.Error())
	} else if line != io.EOF.Error() {
		t.Errorf("ended by %q", line)
	}
	fmt.Fprint(c, firstLine(1, 2*time.Second)+"\r\n") // may fail
	s.wantTimelyExit(since)
	if s.attemptCount(1) > 0 {
		t.Error("sent on after the end of its connection")
	}
}

// TestCrossingStopSilentFlows: a flow's client and member stay silent, and the client rests after MOVE without ending its side. The process ends all
// the same, and MOVE is not lost by its end.
func TestCrossingStopSilentFlows(t *testing.T) {
	t.Parallel()
	s := newScriptedRig(t, 2, nil)
	all := s.newFlows(6)
	since := s.terminate()
	s.wantTimelyExit(since)
	wantMoved(all...) // read only now
}

// TestCrossingStopClientWrites: clients write lines on open flows while they are moved: MOVE reaches each, no connection is reset under it.
func TestCrossingStopClientWrites(t *testing.T) {
	t.Parallel()
	s := newScriptedRig(t, 2, nil)
	all := s.newFlows(6)
	since := s.terminate()
	ended := make(chan struct{})
	for _, c := range all {
		go func() {
			for {
				select {
				case <-ended:
					return
				default:
				}
				if _, err := fmt.Fprint(c, "a line\r\n"); err != nil {
					return
				}
				time.Sleep(time.Millisecond)
			}
		}()
	}
	for _, c := range all {
		c.wantLine("MOVE")
	}
	close(ended)
	s.wantTimelyExit(since)
}

// TestCrossingStopRepeatedSignal: a second and a third SIGTERM change nothing: requests in flight are answered, open flows are moved,
// and the process exits without error.
func TestCrossingStopRepeatedSignal(t *testing.T) {
	t.Parallel()
	s := newScriptedRig(t, 2, nil)
	flow, _ := s.newFlow(1)
	c := s.openFlow(2, "")
	a := s.nextAttempt()
	since := s.terminate()
	s.cmd.Process.Signal(syscall.SIGTERM)
	late := s.openWithDeadline(3, time.Second)
	late.wantLine("BUSY ")
	s.cmd.Process.Signal(syscall.SIGTERM)
	a.accept()
	c.wantLine("UP ")
	wantMoved(flow, c)
	s.wantTimelyExit(since)
}

// TestCrossingStopRejected: a member rejects a request after SIGTERM. The client gets one answer, and attempts never overlap.
func TestCrossingStopRejected(t *testing.T) {
	t.Parallel()
	for name, end := range map[string]func(*attempt){"busy": (*attempt).reject, "reset": (*attempt).reset} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newScriptedRig(t, 2, nil)
			c := s.openFlow(1, "")
			a := s.nextAttempt()
			for _, m := range s.members {
				m.setAutoAccept(m != a.member)
			}
			since := s.terminate()
			end(a)
			answer, _, _ := strings.Cut(c.line(), " ")
			switch answer {
			case "UP":
				wantMoved(c)
			case "BUSY", "ERR":
				c.wantLine(io.EOF.Error())
			default:
				t.Errorf("answered %q", answer)
			}
			s.wantTimelyExit(since)
		})
	}
}

// ends by which a client goes away.
var clientEnds = map[string]func(*client){
	"close": func(c *client) { c.Close() },
	"reset": func(c *client) {
		c.Conn.(*net.TCPConn).SetLinger(0)
		c.Close()
	},
}

// TestCrossingClientLeavesInFlight: the client leaves while its attempt is in flight at a member, which rejects or resets it after
// that. No further attempt starts.
func TestCrossingClientLeavesInFlight(t *testing.T) {
	t.Parallel()
	for clientEnd, leave := range clientEnds {
		for memberEnd, end := range map[string]func(*attempt){"busy": (*attempt).reject, "reset": (*attempt).reset} {
			t.Run(clientEnd+" "+memberEnd, func(t *testing.T) {
				t.Parallel()
				s := newScriptedRig(t, 3, nil)
				before := s.descriptors()
				c := s.openFlow(1, "")
				a := s.nextAttempt()
				s.suspend() // both events wait for the same round, the client's first
				leave(c)
				end(a)
				s.resume()
				a.waitClosed()
				s.serveOne(2)
				s.waitDescriptorsReleased(before)
				s.wantTimelyExit(s.terminate())
				if n := s.attemptCount(1); n != 1 {
					t.Errorf("%d attempts for a client that has gone", n)
				}
			})
		}
	}
}

// serveOne is a request that is served to its end: what came to the relay before it has been handled.
func (s *scriptedRig) serveOne(n int) {
	s.t.Helper()
	c, a := s.newFlow(n)
	c.send("END")
	if got := a.nextLine(); got != "END" {
		s.t.Errorf("the member got %q", got)
	}
	a.countEnd()
	a.write("BYE\r\n")
	a.Close()
	c.wantLine("BYE")
	c.wantLine(io.EOF.Error())
}

// TestCrossingClientLeavesConnecting: the client leaves while no member accepts the connection. Once they do, none gets the request.
func TestCrossingClientLeavesConnecting(t *testing.T) {
	t.Parallel()
	for name, leave := range clientEnds {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			counter := fakes.NewAttemptCounter()
			members, list := newScriptedMembers(t, 1, counter)
			blocked := newBlockedListener(t, members[0].serve)
			list[0].Addr = blocked.addr()
			s := &scriptedRig{d: newDiscovery(t, list...), members: members, attemptCounter: counter}
			s.relay = start(t, configure(t, s.d, nil), 1)
			waitFor(t, "the first watch", func() bool { return s.d.Calls() > 1 })
			before := s.descriptors()
			c := s.openFlow(1, "")
			waitFor(t, "a connection that does not come up", func() bool { return sockets(t, blocked.addr(), synSent) > 0 })
			leave(c)
			s.waitDescriptorsReleased(before)
			blocked.unblock()
			since := s.terminate()
			s.wantTimelyExit(since)
			if n := s.attemptCount(1); n != 0 {
				t.Errorf("%d attempts for a client that has gone", n)
			}
		})
	}
}

// TestCrossingClientLeavesBeforeUp: the client goes just before its member answers UP: the flow ends at the member, and nothing else starts.
func TestCrossingClientLeavesBeforeUp(t *testing.T) {
	t.Parallel()
	for name, leave := range clientEnds {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newScriptedRig(t, 2, nil)
			before := s.descriptors()
			c := s.openFlow(1, "")
			a := s.nextAttempt()
			s.suspend()
			leave(c)
			a.accept()
			s.resume()
			a.waitClosed()
			s.serveOne(2)
			s.waitDescriptorsReleased(before)
			s.wantTimelyExit(s.terminate())
			if n := s.attemptCount(1); n != 1 {
				t.Errorf("%d attempts", n)
			}
		})
	}
}

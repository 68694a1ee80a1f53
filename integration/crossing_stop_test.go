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

// TestCrossingStopAnswered: SIGTERM comes while an attempt waits for its member, which then accepts it.
// The client must get UP and then MOVE before the process ends.
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
		t.Errorf("%d attempts for the request, want 1", n)
	}
}

// TestCrossingStopInFlight: SIGTERM comes while an attempt waits for a member that never answers. The
// request must get its one final answer by its deadline, and no attempt must start after that.
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
			t.Logf("answered %q after %v, deadline %v", answer, took.Round(time.Millisecond), deadline)
			if !strings.HasPrefix(answer, "BUSY") && answer != "ERR" {
				t.Errorf("answered %q, want BUSY or ERR", answer)
			}
			if took > deadline+lostAnswerDelay {
				t.Errorf("answered after %v, want at most %v", took, deadline+lostAnswerDelay)
			}
			c.wantLine(io.EOF.Error())
			before := s.attemptCount(1)
			a.waitClosed()
			s.wantTimelyExit(since)
			if n := s.attemptCount(1); n != before {
				t.Errorf("%d attempts started after the final answer, want 0", n-before)
			}
		})
	}
}

// TestCrossingStopNewRequests: requests arrive after SIGTERM on a new connection, on an idle one, on one
// with half a first line and on one that has been answered PONG. Each must be answered BUSY and none
// must be forwarded.
func TestCrossingStopNewRequests(t *testing.T) {
	t.Parallel()
	s := newScriptedRig(t, 2, nil)
	idle, half, front := s.dial(), s.dial(), s.dial()
	line := firstLine(2, 2*time.Second) + "\r\n"
	fmt.Fprint(half, line[:30])
	front.send("PING")
	front.wantLine("PONG") // the earlier connections have been accepted by now
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
			t.Errorf("request %d was forwarded to a member after SIGTERM", n)
		}
	}
}

// TestCrossingStopHalfLine: SIGTERM comes when the client has received half of a line from the member.
// The client must get the rest of the line before MOVE.
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
		t.Errorf("rest of the line = %q, want %q", line, "lf")
	}
	wantMoved(c)
	s.wantTimelyExit(since)
}

// TestCrossingStopIdleClient: a client that has been answered PONG stays idle until the relay closes the
// connection, and sends a request at that moment. It must see an orderly close, with or without BUSY
// before it, and no member must get the request.
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
		t.Errorf("the connection ended with %q, want BUSY or %v", line, io.EOF)
	}
	fmt.Fprint(c, firstLine(1, 2*time.Second)+"\r\n") // may fail, since the connection is closed
	s.wantTimelyExit(since)
	if s.attemptCount(1) > 0 {
		t.Error("a request that came after the close of its connection was forwarded to a member")
	}
}

// TestCrossingStopSilentFlows: clients and members of open flows stay silent during the shutdown, and the
// clients do not close their side after MOVE. The process must end in time, and MOVE must not be lost.
func TestCrossingStopSilentFlows(t *testing.T) {
	t.Parallel()
	s := newScriptedRig(t, 2, nil)
	all := s.newFlows(6)
	since := s.terminate()
	s.wantTimelyExit(since)
	wantMoved(all...) // read only after the process has ended
}

// TestCrossingStopClientWrites: clients keep writing lines on open flows during the shutdown. Each must
// get MOVE, and none must have its connection reset before it.
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

// TestCrossingStopRepeatedSignal: a second and a third SIGTERM must change nothing: requests in flight are
// answered, open flows are moved, and the process exits without an error.
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

// TestCrossingStopRejected: a member rejects or resets an attempt after SIGTERM. The client must get one
// final answer, and attempts must not overlap.
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
				t.Errorf("answered %q, want UP, BUSY or ERR", answer)
			}
			s.wantTimelyExit(since)
		})
	}
}

// clientEnds are the ways in which a client closes its connection.
var clientEnds = map[string]func(*client){
	"close": func(c *client) { c.Close() },
	"reset": func(c *client) {
		c.Conn.(*net.TCPConn).SetLinger(0)
		c.Close()
	},
}

// TestCrossingClientLeavesInFlight guards against a retry for a client that has left: it leaves while its
// attempt is in flight, and then the member rejects or resets the attempt.
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
				s.suspend() // so that one round of the event loop sees both events, the client's first
				leave(c)
				end(a)
				s.resume()
				a.waitClosed()
				s.serveOne(2)
				s.waitDescriptorsReleased(before)
				s.wantTimelyExit(s.terminate())
				if n := s.attemptCount(1); n != 1 {
					t.Errorf("%d attempts for a client that has left, want 1", n)
				}
			})
		}
	}
}

// serveOne opens flow number n and ends it. When it returns, the relay has handled all earlier events.
func (s *scriptedRig) serveOne(n int) {
	s.t.Helper()
	c, a := s.newFlow(n)
	c.send("END")
	if got := a.nextLine(); got != "END" {
		s.t.Errorf("the member got %q, want END", got)
	}
	a.countEnd()
	a.write("BYE\r\n")
	a.Close()
	c.wantLine("BYE")
	c.wantLine(io.EOF.Error())
}

// TestCrossingClientLeavesConnecting: a client leaves while the relay's connection to the member is not
// yet established. Once the member accepts connections, it must not get the request.
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
			waitFor(t, "the first watch at discovery", func() bool { return s.d.Calls() > 1 })
			before := s.descriptors()
			c := s.openFlow(1, "")
			waitFor(t, "a connection in state SYN_SENT", func() bool { return sockets(t, blocked.addr(), synSent) > 0 })
			leave(c)
			s.waitDescriptorsReleased(before)
			blocked.unblock()
			since := s.terminate()
			s.wantTimelyExit(since)
			if n := s.attemptCount(1); n != 0 {
				t.Errorf("%d attempts for a client that has left, want 0", n)
			}
		})
	}
}

// TestCrossingClientLeavesBeforeUp: a client leaves just before its member answers UP. The relay must close
// the flow at the member and start no other attempt.
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
				t.Errorf("%d attempts for a client that has left, want 1", n)
			}
		})
	}
}

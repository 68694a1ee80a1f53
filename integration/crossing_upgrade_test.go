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

// newUpgradeRig returns a relay that can be upgraded, and both ends of its open flows. In an upgrade the
// relay hands over its connections to a successor: a second process with the same configuration.
func newUpgradeRig(t *testing.T, flows int) (s *scriptedRig, clients []*client, members []*attempt) {
	t.Helper()
	s = newScriptedRig(t, 2, map[string]any{"operator": "127.0.0.1:0"})
	for n := range flows {
		c, a := s.newFlow(n + 1)
		clients, members = append(clients, c), append(members, a)
	}
	return s, clients, members
}

// handOverFlows suspends the successor and then stops the relay with SIGTERM. When it returns, the relay
// has sent its flows to the successor, which has not received them yet. It returns the time of SIGTERM.
func (s *scriptedRig) handOverFlows(next *relay) time.Time {
	s.t.Helper()
	next.suspend()
	since := s.terminate()
	s.waitLoopRound()
	return since
}

// waitLoopRound waits until the event loop has completed a round: until an operator call is answered, or
// refused because the listeners are closed.
func (s *scriptedRig) waitLoopRound() {
	c, err := net.Dial("tcp", s.addrs["operator"])
	if err != nil {
		return
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(eventTimeout))
	fmt.Fprint(c, "GET /-/ready HTTP/1.1\r\nHost: relay\r\n\r\n")
	c.Read(make([]byte, 1))
}

// handoverSocketInode returns the inode of the socket on which a relay listens for its successor, or 0 if
// there is none. A process that begins to accept clients replaces the socket by one of its own.
func (r *relay) handoverSocketInode() uint64 {
	r.t.Helper()
	paths, err := filepath.Glob(filepath.Join(filepath.Dir(r.configPath), "dahliarudder-*", "upgrade.sock"))
	if err != nil || len(paths) > 1 {
		r.t.Fatalf("handover sockets %q (error: %v), want at most one", paths, err)
	}
	var at syscall.Stat_t
	if len(paths) == 0 || syscall.Stat(paths[0], &at) != nil {
		return 0 // the old one is removed and the new one not yet created
	}
	return at.Ino
}

// exchangeLine sends a line each way on a flow.
func exchangeLine(c *client, a *attempt, line string) {
	c.t.Helper()
	c.send(line)
	if got := a.nextLine(); got != line {
		c.t.Errorf("the member got %q, want %q", got, line)
	}
	a.write("GOT " + line + "\r\n")
	c.wantLine("GOT " + line)
}

// TestCrossingHandoverBytes: bytes arrive from both sides while flows are being handed over. All must
// reach the other side, in order.
func TestCrossingHandoverBytes(t *testing.T) {
	t.Parallel()
	s, clients, members := newUpgradeRig(t, 6)
	next := s.startSuccessor(2)
	for i := range clients {
		members[i].write("GOT ha")
	}
	since := s.handOverFlows(next)
	for i, c := range clients {
		c.send(fmt.Sprint("line ", i))
		members[i].write("lf\r\nGOT more\r\n")
	}
	next.resume()
	for i, c := range clients {
		c.wantLine("GOT half")
		c.wantLine("GOT more")
		if got, want := members[i].nextLine(), fmt.Sprint("line ", i); got != want {
			t.Errorf("the member got %q, want %q", got, want)
		}
	}
	s.wantTimelyExit(since)
	for i, c := range clients {
		exchangeLine(c, members[i], "still here")
	}
	next.stop()
	wantMoved(clients...)
}

// TestCrossingHandoverFlowEnds: the client or the member ends a flow while it is being handed over. The
// relay must end the other side in the same manner.
func TestCrossingHandoverFlowEnds(t *testing.T) {
	t.Parallel()
	for name, leave := range clientEnds {
		t.Run("client "+name, func(t *testing.T) {
			t.Parallel()
			s, clients, members := newUpgradeRig(t, 4)
			next := s.startSuccessor(2)
			before := next.descriptors()
			since := s.handOverFlows(next)
			for _, c := range clients {
				leave(c)
			}
			next.resume()
			for _, a := range members {
				a.waitClosed()
			}
			s.wantTimelyExit(since)
			next.waitDescriptorsReleased(before)
			next.stop()
		})
	}
	t.Run("member", func(t *testing.T) {
		t.Parallel()
		s, clients, members := newUpgradeRig(t, 4)
		next := s.startSuccessor(2)
		before := next.descriptors()
		since := s.handOverFlows(next)
		for _, a := range members {
			a.countEnd()
			a.write("BYE\r\n")
			a.Close()
		}
		next.resume()
		for _, c := range clients {
			c.wantLine("BYE")
			c.wantLine(io.EOF.Error())
		}
		s.wantTimelyExit(since)
		next.waitDescriptorsReleased(before)
		next.stop()
	})
}

// TestCrossingHandoverMemberDrains: members drain or disappear from the list while their flows are being
// handed over. The successor must move the clients.
func TestCrossingHandoverMemberDrains(t *testing.T) {
	t.Parallel()
	for _, lifecycle := range []string{"DRAINING", "DELETED"} {
		t.Run(lifecycle, func(t *testing.T) {
			t.Parallel()
			s, clients, members := newUpgradeRig(t, 4)
			next := s.startSuccessor(2)
			since := s.handOverFlows(next)
			for _, m := range s.members {
				s.d.SetLifecycle(m.id, lifecycle)
			}
			next.resume()
			wantMoved(clients...)
			for _, a := range members {
				a.waitClosed()
			}
			s.wantTimelyExit(since)
			next.stop()
		})
	}
}

// TestCrossingHandoverSuccessorKilled: the successor is killed while flows are being handed over to it.
// The first process, which no longer serves them, must move their clients.
func TestCrossingHandoverSuccessorKilled(t *testing.T) {
	t.Parallel()
	s, clients, _ := newUpgradeRig(t, 6)
	next := s.startSuccessor(2)
	since := s.handOverFlows(next)
	next.cmd.Process.Kill()
	<-next.done
	wantMoved(clients...)
	s.wantTimelyExit(since)
}

// newAllDrainingRig returns a relay whose members are all draining. They accept all attempts once the
// test lists them as serving.
func newAllDrainingRig(t *testing.T, members int) *scriptedRig {
	t.Helper()
	s := newScriptedRig(t, members, map[string]any{"operator": "127.0.0.1:0"})
	for _, m := range s.members {
		m.setAutoAccept(true)
		s.d.SetLifecycle(m.id, "DRAINING")
	}
	waitFor(t, "the relay to be without a usable member", func() bool { return s.call("GET", "/-/ready") == 503 })
	return s
}

// suspendBothAtTakeover starts a successor and suspends both processes when it begins to accept clients,
// which it does once the test lists the members as serving.
func (s *scriptedRig) suspendBothAtTakeover() *relay {
	s.t.Helper()
	next := start(s.t, s.configPath, 2) // accepts no clients until it has a usable member
	s.waitLogged("a successor starts")
	s.suspend()
	before := s.handoverSocketInode()
	for _, m := range s.members {
		s.d.SetLifecycle(m.id, "SERVING")
	}
	waitFor(s.t, "the successor to accept clients", func() bool {
		now := s.handoverSocketInode()
		return now != 0 && now != before
	})
	next.suspend()
	return next
}

// TestCrossingHandoverSuccessorKilledBeforeRequest: the successor is killed while connections without a
// flow are being handed over to it; some have sent their first line, some have not. The first process
// must serve them.
func TestCrossingHandoverSuccessorKilledBeforeRequest(t *testing.T) {
	t.Parallel()
	s := newAllDrainingRig(t, 2)
	idle, half, withRequest, front := s.dial(), s.dial(), s.dial(), s.dial()
	line := firstLine(3, 2900*time.Millisecond) + "\r\n"
	fmt.Fprint(half, line[:30])
	front.send("PING")
	front.wantLine("PONG") // the earlier connections have been accepted by now
	next := s.suspendBothAtTakeover()
	withRequest.send(firstLine(1, 2900*time.Millisecond))
	s.resume()
	s.waitLogged("a successor serves")
	s.waitLoopRound()
	next.cmd.Process.Kill()
	<-next.done
	withRequest.wantLine("UP ")
	idle.send(firstLine(2, 2900*time.Millisecond))
	idle.wantLine("UP ")
	fmt.Fprint(half, line[30:])
	half.wantLine("UP ")
	front.send("PING")
	front.wantLine("PONG")
	s.openFlow(900, "").wantLine("UP ")
	s.checkAttempts()
	s.stop()
}

// TestCrossingHandoverPredecessorKilled: the first process is killed while flows are being handed over.
// The successor must serve them.
func TestCrossingHandoverPredecessorKilled(t *testing.T) {
	t.Parallel()
	s, clients, members := newUpgradeRig(t, 6)
	next := s.startSuccessor(2)
	s.handOverFlows(next)
	s.cmd.Process.Kill()
	<-s.done
	next.resume()
	for i, c := range clients {
		exchangeLine(c, members[i], "still here")
	}
	next.waitLogged("the other process is gone")
	next.stop()
	wantMoved(clients...)
}

// TestCrossingHandoverManyIdle: SIGTERM comes while more idle connections wait for the handover than may be
// in transfer at once; then their first lines arrive. The successor must serve each of them.
func TestCrossingHandoverManyIdle(t *testing.T) {
	t.Parallel()
	const idleClients = 20 // handoverBurst of the program is 8
	s := newAllDrainingRig(t, 8)
	var all []*client
	for range idleClients {
		all = append(all, s.dial())
	}
	front := s.dial()
	front.send("PING")
	front.wantLine("PONG") // the earlier connections have been accepted by now
	next := s.suspendBothAtTakeover()
	s.resume()
	s.waitLogged("a successor serves")
	s.terminate()
	s.waitLoopRound()
	for n, c := range all {
		c.send(firstLine(100+n, 2900*time.Millisecond))
	}
	s.waitLoopRound()
	next.resume()
	s.waitExit()
	for _, c := range all {
		c.wantLine("UP ")
	}
	s.checkAttempts()
	next.stop()
}

// TestCrossingHandoverBothStop: both processes get SIGTERM: the first one before the successor, after the
// successor, at the same time, or the successor when the first one no longer accepts clients. One of the
// two must answer a client that still connects, and open flows must be moved.
func TestCrossingHandoverBothStop(t *testing.T) {
	t.Parallel()
	wantBusy := func(t *testing.T, s *scriptedRig, n int) {
		t.Helper()
		c := s.openWithDeadline(n, 2*time.Second)
		c.wantLine("BUSY ")
		c.wantLine(io.EOF.Error())
	}
	t.Run("the first no longer accepts", func(t *testing.T) {
		t.Parallel()
		s, _, _ := newUpgradeRig(t, 0)
		next := s.startSuccessor(2)
		s.terminate()
		s.suspend() // in the time that it allows for sending its last answers
		since := time.Now()
		next.cmd.Process.Signal(syscall.SIGTERM)
		next.waitLogged("msg=stopping")
		for n := range 5 {
			wantBusy(t, s, 100+n)
		}
		next.waitExit()
		if took := time.Since(since); took > maxCountedDeadline+killMargin {
			t.Errorf("the successor ended %v after SIGTERM, want at most %v", took, maxCountedDeadline+killMargin)
		}
		s.resume()
		s.waitExit()
	})
	for name, suspendFirst := range map[string]bool{"at once, the first is suspended": true, "at once, the successor is suspended": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s, _, _ := newUpgradeRig(t, 0)
			next := s.startSuccessor(2)
			suspended, other := s.relay, next
			if !suspendFirst {
				suspended, other = next, s.relay
			}
			// One round of its event loop then sees both its own SIGTERM and the message of the other process.
			suspended.suspend()
			other.cmd.Process.Signal(syscall.SIGTERM)
			other.waitLogged("msg=stopping")
			suspended.cmd.Process.Signal(syscall.SIGTERM)
			suspended.resume()
			suspended.waitLogged("msg=stopping")
			for n := range 5 {
				wantBusy(t, s, 100+n)
			}
			next.waitExit()
			s.waitExit()
		})
	}
	for name, firstBeforeSuccessor := range map[string]bool{"the first before the successor": true, "the successor before the first": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s, clients, _ := newUpgradeRig(t, 4)
			pending := s.openFlow(50, "") // prevents the first process from ending
			a := s.nextAttempt()
			next := s.startSuccessor(2)
			earlier, later := s.relay, next
			if !firstBeforeSuccessor {
				earlier, later = next, s.relay
			}
			since := time.Now()
			earlier.cmd.Process.Signal(syscall.SIGTERM)
			earlier.waitLogged("msg=stopping")
			later.cmd.Process.Signal(syscall.SIGTERM)
			later.waitLogged("msg=stopping")
			for n := range 5 {
				wantBusy(t, s, 100+n)
			}
			a.accept()
			pending.wantLine("UP ")
			wantMoved(append(clients, pending)...)
			next.waitExit()
			s.wantTimelyExit(since)
		})
	}
}

// TestCrossingHandoverDuplicateID guards against a second attempt for a request id that is in use. A
// request is in progress in the first process; the successor gets a request with the same id before the
// flow is open, during the handover and after it, and must reject it each time.
func TestCrossingHandoverDuplicateID(t *testing.T) {
	t.Parallel()
	s, _, _ := newUpgradeRig(t, 0)
	c := s.openFlow(7, "")
	a := s.nextAttempt()
	next := s.startSuccessor(2)
	for _, m := range s.members {
		m.setAutoAccept(true) // a second attempt would succeed
	}
	s.call("GET", "/-/ready")
	next.openFlow(7, "").wantLine("ERR")
	since := s.terminate()
	next.openFlow(7, "").wantLine("ERR")
	a.accept()
	c.wantLine("UP ")
	s.wantTimelyExit(since)
	next.openFlow(7, "").wantLine("ERR")
	if n := s.attemptCount(7); n != 1 {
		t.Errorf("%d attempts for one request id, want 1", n)
	}
	exchangeLine(c, a, "still here")
	next.stop()
	wantMoved(c)
}

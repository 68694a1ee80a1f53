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

// newUpgradeRig is a relay that can have a successor, with open flows.
func newUpgradeRig(t *testing.T, flows int) (s *scriptedRig, clients []*client, members []*attempt) {
	t.Helper()
	s = newScriptedRig(t, 2, map[string]any{"operator": "127.0.0.1:0"})
	for n := range flows {
		c, a := s.newFlow(n + 1)
		clients, members = append(clients, c), append(members, a)
	}
	return s, clients, members
}

// handOverFlows stops the relay while its successor is suspended, and returns once it has handed its flows over.
func (s *scriptedRig) handOverFlows(next *relay) time.Time {
	s.t.Helper()
	next.suspend()
	since := s.terminate()
	s.waitLoopRound()
	return since
}

// waitLoopRound returns when the event loop has completed a round: an operator's call is answered, or refused because the
// fronts are closed.
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

// handoverSocketInode is the inode of the socket at which a successor is awaited. A process that begins to accept clients creates it
// second.
func (r *relay) handoverSocketInode() uint64 {
	r.t.Helper()
	paths, err := filepath.Glob(filepath.Join(filepath.Dir(r.configPath), "dahliarudder-*", "upgrade.sock"))
	if err != nil || len(paths) > 1 {
		r.t.Fatalf("sockets %q, %v", paths, err)
	}
	var at syscall.Stat_t
	if len(paths) == 0 || syscall.Stat(paths[0], &at) != nil {
		return 0 // between its end and its start
	}
	return at.Ino
}

// exchangeLine passes a line each way on a flow.
func exchangeLine(c *client, a *attempt, line string) {
	c.t.Helper()
	c.send(line)
	if got := a.nextLine(); got != line {
		c.t.Errorf("the member got %q for %q", got, line)
	}
	a.write("GOT " + line + "\r\n")
	c.wantLine("GOT " + line)
}

// TestCrossingHandoverBytes: bytes arrive both ways while a flow is on its way to the successor. All arrive, in order.
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

// TestCrossingHandoverFlowEnds: the client, or the member, ends a flow while it is on its way to the successor. The other side ends in the same manner.
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

// TestCrossingHandoverMemberDrains: a member drains, or is gone from the list, while its flows are on their way. The successor moves them.
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

// TestCrossingHandoverSuccessorKilled: the successor is killed with flows on their way to it. The first one, which has given them up, moves their clients.
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

// newAllDrainingRig is a relay all of whose members drain. Once they serve they accept all attempts.
func newAllDrainingRig(t *testing.T, members int) *scriptedRig {
	t.Helper()
	s := newScriptedRig(t, members, map[string]any{"operator": "127.0.0.1:0"})
	for _, m := range s.members {
		m.setAutoAccept(true)
		s.d.SetLifecycle(m.id, "DRAINING")
	}
	waitFor(t, "no member", func() bool { return s.call("GET", "/-/ready") == 503 })
	return s
}

// suspendBothAtTakeover starts a successor, and suspends both processes just as that begins to accept clients: once the members serve.
func (s *scriptedRig) suspendBothAtTakeover() *relay {
	s.t.Helper()
	next := start(s.t, s.configPath, 2) // it accepts no clients before it has a member
	s.waitLogged("a successor starts")
	s.suspend()
	before := s.handoverSocketInode()
	for _, m := range s.members {
		s.d.SetLifecycle(m.id, "SERVING")
	}
	waitFor(s.t, "the successor's beginning", func() bool { now := s.handoverSocketInode(); return now != 0 && now != before })
	next.suspend()
	return next
}

// TestCrossingHandoverSuccessorKilledBeforeRequest: the successor is killed with connections on their way to it whose first lines have come or are still to come. The
// firstFirst one serves them.
func TestCrossingHandoverSuccessorKilledBeforeRequest(t *testing.T) {
	t.Parallel()
	s := newAllDrainingRig(t, 2)
	idle, half, sent, front := s.dial(), s.dial(), s.dial(), s.dial()
	line := firstLine(3, 2900*time.Millisecond) + "\r\n"
	fmt.Fprint(half, line[:30])
	front.send("PING")
	front.wantLine("PONG") // the others were accepted before
	next := s.suspendBothAtTakeover()
	sent.send(firstLine(1, 2900*time.Millisecond))
	s.resume()
	s.waitLogged("a successor serves")
	s.waitLoopRound()
	next.cmd.Process.Kill()
	<-next.done
	sent.wantLine("UP ")
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

// TestCrossingHandoverPredecessorKilled: the first process is killed with flows on their way to its successor, which serves them.
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

// TestCrossingHandoverManyIdle: SIGTERM comes while more idle connections wait for the handover than may be in transit, and then their
// firstFirst lines come. The successor serves each.
func TestCrossingHandoverManyIdle(t *testing.T) {
	t.Parallel()
	const idleClients = 20 // passBurst of the program is 8
	s := newAllDrainingRig(t, 8)
	var all []*client
	for range idleClients {
		all = append(all, s.dial())
	}
	front := s.dial()
	front.send("PING")
	front.wantLine("PONG") // the others were accepted before
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

// TestCrossingHandoverBothStop: SIGTERM to both, at the first one before, at the successor before, or with the first one already past its listeners. Who
// suspended arrives is answered by one of them, and flows are moved.
func TestCrossingHandoverBothStop(t *testing.T) {
	t.Parallel()
	wantBusy := func(t *testing.T, s *scriptedRig, n int) {
		t.Helper()
		c := s.openWithDeadline(n, 2*time.Second)
		c.wantLine("BUSY ")
		c.wantLine(io.EOF.Error())
	}
	t.Run("the first is past its listeners", func(t *testing.T) {
		t.Parallel()
		s, _, _ := newUpgradeRig(t, 0)
		next := s.startSuccessor(2)
		s.terminate()
		s.suspend() // within the time that its last answers have
		since := time.Now()
		next.cmd.Process.Signal(syscall.SIGTERM)
		next.waitLogged("msg=stopping")
		for n := range 5 {
			wantBusy(t, s, 100+n)
		}
		next.waitExit()
		if took := time.Since(since); took > maxCountedDeadline+killMargin {
			t.Errorf("the successor ended %v after SIGTERM", took)
		}
		s.resume()
		s.waitExit()
	})
	for name, suspendFirst := range map[string]bool{"at once, the first stands still": true, "at once, the successor stands still": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s, _, _ := newUpgradeRig(t, 0)
			next := s.startSuccessor(2)
			suspended, other := s.relay, next
			if !suspendFirst {
				suspended, other = next, s.relay
			}
			suspended.suspend() // its own SIGTERM and the other's word wait for the same round
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
	for name, firstFirst := range map[string]bool{"the first at first": true, "the successor at first": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s, clients, _ := newUpgradeRig(t, 4)
			pending := s.openFlow(50, "") // keeps the first one from ending
			a := s.nextAttempt()
			next := s.startSuccessor(2)
			one, other := s.relay, next
			if !firstFirst {
				one, other = next, s.relay
			}
			since := time.Now()
			one.cmd.Process.Signal(syscall.SIGTERM)
			one.waitLogged("msg=stopping")
			other.cmd.Process.Signal(syscall.SIGTERM)
			other.waitLogged("msg=stopping")
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

// TestCrossingHandoverDuplicateID: a request is in progress in the first process while its id is sent to the successor: before the flow
// is open, during the handover, and after it. It is rejected each time, and there is one attempt.
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
		t.Errorf("%d attempts", n)
	}
	exchangeLine(c, a, "still here")
	next.stop()
	wantMoved(c)
}

package integration

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

// startSuccessor starts a second process beside the first one, and waits until it is ready to take over.
func (r *relay) startSuccessor(fronts int) *relay {
	r.t.Helper()
	next := start(r.t, r.configPath, fronts)
	waitFor(r.t, "the successor's yes", func() bool { return next.call("GET", "/-/ready") == 200 })
	r.waitLogged("a successor serves")
	return next
}

func (r *relay) waitExit() {
	r.t.Helper()
	select {
	case err := <-r.done:
		if err != nil {
			r.t.Errorf("ended with %v", err)
		}
	case <-time.After(eventTimeout):
		r.t.Fatal("the relay does not end")
	}
}

// TestUpgrade: a second process takes over without a rejection: clients that have connected to either and sent nothing yet, or
// half a line, are served, open flows stay, through two upgrades, an id that is open at the first is refused at the second, and
// only the first exits.
func TestUpgrade(t *testing.T) {
	s := newOperatorRig(t, 3, nil)
	held := s.openFlows(6)
	quiet, half, front := s.dial(), s.dial(), s.dial()
	fmt.Fprint(half, "OPEN 00000000000000aa 00000000000000bb c=pay-sta")
	front.send("PING")
	front.wantLine("PONG")
	next := s.startSuccessor(2)
	if next.addrs["line"] != s.addrs["line"] {
		t.Fatalf("serves at %s beside %s", next.addrs["line"], s.addrs["line"])
	}
	waitFor(t, "the open ids", func() bool { return next.openFlow(3, "").line() == "ERR" })
	s.cmd.Process.Signal(syscall.SIGTERM)
	fmt.Fprint(half, "tus,t=water,d=2000\r\n")
	half.wantLine("UP ")
	quiet.send("OPEN 00000000000000ab 00000000000000bb c=pay-status,t=water,d=2000")
	quiet.wantLine("UP ")
	front.send("PING")
	front.wantLine("PONG")
	for n := range 20 {
		next.openFlow(100+n, "").wantLine("UP ")
	}
	s.waitExit()
	next.waitLogged("the other process is gone")
	next.openFlow(3, "").wantLine("ERR") // that flow has passed over
	all := append(held, quiet, half)
	speak := func(n int) {
		t.Helper()
		for _, c := range all {
			c.send("still here")
			c.wantLine("LOAD ")
			c.wantLine(fmt.Sprintf("GOT %d still here", n))
		}
	}
	speak(1)
	third := next.startSuccessor(2)
	next.cmd.Process.Signal(syscall.SIGTERM)
	next.waitExit()
	speak(2)
	third.openFlow(200, "").wantLine("UP ")
	held[0].send("END")
	held[0].wantLine("BYE")
	held[0].wantLine(io.EOF.Error())
	checkAttemptCounter(t, s.attemptCounter)
	third.cmd.Process.Signal(syscall.SIGTERM)
	wantMoved(all[1:]...)
	third.waitExit()
}

// TestUpgradeEjections: an ejection lasts through an upgrade, and while there are two processes a call to either counts for
// both.
func TestUpgradeEjections(t *testing.T) {
	s := newOperatorRig(t, 3, nil)
	first, second := s.members[0], s.members[1]
	s.mustPut("/-/backends/" + first.id + "/disable")
	next := s.startSuccessor(2)
	next.mustPut("/-/backends/" + second.id + "/disable")
	n := 100
	quiet := func(b *fakeMember) {
		t.Helper()
		for range 15 {
			n++
			c := next.openFlow(n, "")
			if s.memberOfFlow(c.wantLine("UP ")) == b {
				t.Errorf("sent to %s, which was taken out", b.id)
			}
			c.send("END") // the members that are left have little room
			c.wantLine("BYE")
		}
	}
	quiet(first)
	quiet(second)
	s.mustPut("/-/backends/" + second.id + "/enable")
	s.cmd.Process.Signal(syscall.SIGTERM)
	s.waitExit()
	waitFor(t, "the member to be used again", func() bool {
		n++
		return s.memberOfFlow(next.openFlow(n, "").wantLine("UP ")) == second
	})
	quiet(first)
	next.stop()
}

// TestUpgradeFails: a second process that cannot be used, or ends before the first one is told to stop, leaves everything to
// the first. Guards against a relay that is stuck with its listeners open.
func TestUpgradeFails(t *testing.T) {
	s := newOperatorRig(t, 2, nil)
	c := s.openFlow(1, "")
	c.wantLine("UP ")
	bad := filepath.Join(filepath.Dir(s.configPath), "bad.json")
	writeFile(t, bad, `{"name":"n0"}`)
	if out, err := runCommand("serve", "--config", bad); err == nil {
		t.Errorf("it serves: %s", out)
	}
	for n, end := range []syscall.Signal{syscall.SIGKILL, syscall.SIGTERM} {
		next := s.startSuccessor(2)
		next.openFlow(10+n, "").wantLine("UP ")
		next.cmd.Process.Signal(end)
		<-next.done
		s.openFlow(20+n, "").wantLine("UP ")
	}
	c.send("still here")
	c.wantLine("LOAD ")
	c.wantLine("GOT 1 still here")
	next := s.startSuccessor(2)
	s.cmd.Process.Signal(syscall.SIGTERM)
	s.waitExit()
	next.stop()
}

// TestUpgradeDrain: a drain and its end reach both processes.
func TestUpgradeDrain(t *testing.T) {
	s := newOperatorRig(t, 2, nil)
	next := s.startSuccessor(2)
	front := next.dial()
	s.mustPut("/-/drain")
	waitFor(t, "the no", func() bool { front.send("PING"); return front.line() == "ERR" })
	s.mustPut("/-/resume")
	waitFor(t, "the yes", func() bool { front.send("PING"); return front.line() == "PONG" })
	next.stop()
	s.stop()
}

// TestUpgradeBudget: two processes together have no more descriptors than one may, and without a free one clients are rejected
// generation once. Guards against clients that wait in an accept queue from which nobody may take them.
func TestUpgradeBudget(t *testing.T) {
	const sockets = 160
	s := newOperatorRig(t, 2, map[string]any{"limits": map[string]any{"cores": 1, "memory_mb": 32, "sockets": sockets}})
	for n := range 20 {
		s.openFlow(n, "").wantLine("UP ")
	}
	next := s.startSuccessor(2)
	for n := range 60 {
		answer := next.openFlow(100+n, "").line()
		if !strings.HasPrefix(answer, "UP ") && !strings.HasPrefix(answer, "BUSY ") {
			t.Fatalf("answer %q", answer)
		}
	}
	count := func(r *relay) int {
		held, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", r.cmd.Process.Pid))
		if err != nil {
			t.Fatal(err)
		}
		return len(held)
	}
	if both := count(s.relay) + count(next); both > sockets {
		t.Errorf("%d descriptors of %d", both, sockets)
	}
	s.cmd.Process.Signal(syscall.SIGTERM)
	s.waitExit()
	n := 300
	waitFor(t, "the first one's room", func() bool {
		n++
		return strings.HasPrefix(next.openFlow(n, "").line(), "UP ")
	})
	next.stop()
}

// TestUpgradeStore: two processes write to one SQLite file, and neither rejects for
// it.
func TestUpgradeStore(t *testing.T) {
	s := newOperatorRig(t, 2, map[string]any{"store": map[string]any{"driver": "sqlite",
		"dsn": filepath.Join(t.TempDir(), "record.db")}})
	next := s.startSuccessor(2)
	for n := range 10 {
		c := next.openFlow(n, "")
		c.wantLine("UP ")
		c.send("END")
		c.wantLine("BYE")
	}
	s.cmd.Process.Signal(syscall.SIGTERM)
	s.waitExit()
	next.openFlow(100, "").wantLine("UP ")
	if log := s.log.String() + next.log.String(); strings.Contains(log, "the store fails") {
		t.Error("the store failed")
	}
	next.stop()
}

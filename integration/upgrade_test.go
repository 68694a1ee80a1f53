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

// startSuccessor starts a second process with the same configuration, and waits until it is ready and
// the first one has noticed it.
func (r *relay) startSuccessor(fronts int) *relay {
	r.t.Helper()
	next := start(r.t, r.configPath, fronts)
	waitFor(r.t, "the successor to be ready", func() bool { return next.call("GET", "/-/ready") == 200 })
	r.waitLogged("a successor serves")
	return next
}

// waitExit waits until the relay exits, which has to be without an error.
func (r *relay) waitExit() {
	r.t.Helper()
	select {
	case err := <-r.done:
		if err != nil {
			r.t.Errorf("the relay exited with %v, want no error", err)
		}
	case <-time.After(eventTimeout):
		r.t.Fatalf("the relay did not exit within %v", eventTimeout)
	}
}

// TestUpgrade: a second process takes over and no request is rejected. Clients that have connected and
// sent nothing yet, or half a line, are served; open flows last through two upgrades; the second process
// refuses the id of a flow that is open at the first one; only the process that gets SIGTERM exits.
func TestUpgrade(t *testing.T) {
	s := newOperatorRig(t, 3, nil)
	flows := s.openFlows(6)
	idle, half, front := s.dial(), s.dial(), s.dial()
	fmt.Fprint(half, "OPEN 00000000000000aa 00000000000000bb c=pay-sta")
	front.send("PING")
	front.wantLine("PONG")
	next := s.startSuccessor(2)
	if next.addrs["line"] != s.addrs["line"] {
		t.Fatalf("the successor listens at %s, want %s as the first process", next.addrs["line"], s.addrs["line"])
	}
	waitFor(t, "the successor to refuse the id of an open flow", func() bool {
		return next.openFlow(3, "").line() == "ERR"
	})
	s.cmd.Process.Signal(syscall.SIGTERM)
	fmt.Fprint(half, "tus,t=water,d=2000\r\n")
	half.wantLine("UP ")
	idle.send("OPEN 00000000000000ab 00000000000000bb c=pay-status,t=water,d=2000")
	idle.wantLine("UP ")
	front.send("PING")
	front.wantLine("PONG")
	for n := range 20 {
		next.openFlow(100+n, "").wantLine("UP ")
	}
	s.waitExit()
	next.waitLogged("the other process is gone")
	next.openFlow(3, "").wantLine("ERR") // the open flow with this id was handed over
	all := append(flows, idle, half)
	checkFlows := func(n int) {
		t.Helper()
		for _, c := range all {
			c.send("still here")
			c.wantLine("LOAD ")
			c.wantLine(fmt.Sprintf("GOT %d still here", n))
		}
	}
	checkFlows(1)
	third := next.startSuccessor(2)
	next.cmd.Process.Signal(syscall.SIGTERM)
	next.waitExit()
	checkFlows(2)
	third.openFlow(200, "").wantLine("UP ")
	flows[0].send("END")
	flows[0].wantLine("BYE")
	flows[0].wantLine(io.EOF.Error())
	checkAttemptCounter(t, s.attemptCounter)
	third.cmd.Process.Signal(syscall.SIGTERM)
	wantMoved(all[1:]...)
	third.waitExit()
}

// TestUpgradeEjections: an ejection lasts through an upgrade, and while there are two processes an
// operator's call to either one applies to both.
func TestUpgradeEjections(t *testing.T) {
	s := newOperatorRig(t, 3, nil)
	first, second := s.members[0], s.members[1]
	s.mustPut("/-/backends/" + first.id + "/disable")
	next := s.startSuccessor(2)
	next.mustPut("/-/backends/" + second.id + "/disable")
	n := 100
	wantNoFlows := func(b *fakeMember) {
		t.Helper()
		for range 15 {
			n++
			c := next.openFlow(n, "")
			if s.memberOfFlow(c.wantLine("UP ")) == b {
				t.Errorf("a flow went to the ejected member %s", b.id)
			}
			c.send("END") // open flows would use up the remaining members' capacity
			c.wantLine("BYE")
		}
	}
	wantNoFlows(first)
	wantNoFlows(second)
	s.mustPut("/-/backends/" + second.id + "/enable")
	s.cmd.Process.Signal(syscall.SIGTERM)
	s.waitExit()
	waitFor(t, "the enabled member to be used again", func() bool {
		n++
		return s.memberOfFlow(next.openFlow(n, "").wantLine("UP ")) == second
	})
	wantNoFlows(first)
	next.stop()
}

// TestUpgradeFails: a second process that does not start, or exits before the first one gets SIGTERM,
// changes nothing for the first one, and a later upgrade succeeds. Guards against a relay that gets stuck
// with its listeners open.
func TestUpgradeFails(t *testing.T) {
	s := newOperatorRig(t, 2, nil)
	c := s.openFlow(1, "")
	c.wantLine("UP ")
	bad := filepath.Join(filepath.Dir(s.configPath), "bad.json")
	writeFile(t, bad, `{"name":"n0"}`)
	if out, err := runCommand("serve", "--config", bad); err == nil {
		t.Errorf("serve with an invalid configuration succeeded, want an error; output %s", out)
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

// TestUpgradeDrain: a drain that an operator starts at the first process, and its end, also apply to the
// second one.
func TestUpgradeDrain(t *testing.T) {
	s := newOperatorRig(t, 2, nil)
	next := s.startSuccessor(2)
	front := next.dial()
	s.mustPut("/-/drain")
	waitFor(t, "the successor to answer PING with ERR during the drain", func() bool {
		front.send("PING")
		return front.line() == "ERR"
	})
	s.mustPut("/-/resume")
	waitFor(t, "the successor to answer PING with PONG after the drain", func() bool {
		front.send("PING")
		return front.line() == "PONG"
	})
	next.stop()
	s.stop()
}

// TestUpgradeBudget: two processes together use at most as many descriptors as one may use; when none is
// free, clients are rejected at once. Guards against clients that wait in an accept queue from which no
// process may accept them.
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
			t.Fatalf("request %d was answered %q, want UP or BUSY", 100+n, answer)
		}
	}
	countDescriptors := func(r *relay) int {
		entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", r.cmd.Process.Pid))
		if err != nil {
			t.Fatal(err)
		}
		return len(entries)
	}
	if both := countDescriptors(s.relay) + countDescriptors(next); both > sockets {
		t.Errorf("both processes together have %d open descriptors, want at most %d", both, sockets)
	}
	s.cmd.Process.Signal(syscall.SIGTERM)
	s.waitExit()
	n := 300
	waitFor(t, "the successor to use the descriptors that the first process has freed", func() bool {
		n++
		return strings.HasPrefix(next.openFlow(n, "").line(), "UP ")
	})
	next.stop()
}

// TestUpgradeStore: two processes write to the same SQLite file, and neither rejects a request because of
// the other.
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
		t.Error("a process logged that the store fails, want no failure")
	}
	next.stop()
}

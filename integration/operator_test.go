package integration

import (
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"testing"
)

// newOperatorRig is a site whose relay has a second address.
func newOperatorRig(t *testing.T, members int, extra map[string]any) *lineRig {
	t.Helper()
	all := map[string]any{"operator": "127.0.0.1:0"}
	for k, v := range extra {
		all[k] = v
	}
	return newLineRig(t, members, all)
}

// TestOperatorEjection: an ejected member gets nothing more and its clients move, also when discovery lists it again and after
// SIGHUP; a second ejection changes nothing, one reinstatement undoes both, and the member is used again.
func TestOperatorEjection(t *testing.T) {
	s := newOperatorRig(t, 2, nil)
	if code := s.call("GET", "/-/ready"); code != 200 {
		t.Errorf("ready: %d", code)
	}
	for _, path := range []string{"/-/backends/s-00000000/disable", "/-/backends/s-00000000/enable"} {
		if code := s.call("PUT", path); code != 404 {
			t.Errorf("%s: %d", path, code)
		}
	}
	c := s.openFlow(1, "")
	b := s.memberOfFlow(c.wantLine("UP "))
	s.mustPut("/-/backends/" + b.id + "/disable")
	s.mustPut("/-/backends/" + b.id + "/disable")
	c.wantLine("MOVE")
	c.wantLine(io.EOF.Error())
	s.d.SetLifecycle(b.id, "DRAINING")
	s.d.SetLifecycle(b.id, "SERVING")
	s.reload()
	s.waitLogged("configuration read again")
	before := len(b.firstLines())
	for n := range 20 {
		if s.memberOfFlow(s.openFlow(100+n, "").wantLine("UP ")) == b {
			t.Fatal("sent to a member that was taken out")
		}
	}
	s.openFlow(200, ",at="+b.id).wantLine("BUSY")
	if len(b.firstLines()) != before {
		t.Error("the member got something new")
	}
	s.mustPut("/-/backends/" + b.id + "/enable")
	n := 300
	waitFor(t, "the member to be used again", func() bool {
		n++
		return s.memberOfFlow(s.openFlow(n, "").wantLine("UP ")) == b
	})
	checkAttemptCounter(t, s.attemptCounter)
	s.stop()
}

// TestOperatorDrain: a drained relay reports that to the front at once, serves what still arrives and moves everyone; resumed,
// it accepts clients and keeps them.
func TestOperatorDrain(t *testing.T) {
	s := newOperatorRig(t, 2, nil)
	flows := s.openFlows(6)
	front := s.dial()
	s.mustPut("/-/drain")
	front.send("PING")
	front.wantLine("ERR")
	late := s.openFlow(10, "")
	late.wantLine("UP ")
	wantMoved(append(flows, late)...)
	if code := s.call("GET", "/-/ready"); code != 200 {
		t.Errorf("ready while drained: %d", code)
	}
	s.mustPut("/-/resume")
	front.send("PING")
	front.wantLine("PONG")
	c := s.openFlow(11, "")
	c.wantLine("UP ")
	c.send("stay")
	c.wantLine("LOAD ")
	c.wantLine("GOT 1 stay")
	s.stop()
}

// TestOperatorSlowCallers: idle callers keep neither operators nor clients out, also when clients have every descriptor they
// may have.
func TestOperatorSlowCallers(t *testing.T) {
	s := newOperatorRig(t, 1, map[string]any{"limits": map[string]any{"cores": 1, "memory_mb": 32, "sockets": 100}})
	for range 100 {
		s.dial()
	}
	for range 40 {
		c, err := net.Dial("tcp", s.addrs["operator"])
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		fmt.Fprint(c, "PUT /-/drain HT")
	}
	if code := s.call("GET", "/-/ready"); code != 200 {
		t.Errorf("ready: %d", code)
	}
	s.openFlow(1, "").wantLine("UP ")
	s.stop()
}

// TestOperatorTornState: a file that an earlier process left half-written prevents no start, and ejections can be stored again.
func TestOperatorTornState(t *testing.T) {
	s := newOperatorRig(t, 2, nil)
	id := s.members[0].id
	s.mustPut("/-/backends/" + id + "/disable")
	s.cmd.Process.Kill()
	<-s.done
	stored, _ := filepath.Glob(filepath.Join(filepath.Dir(s.configPath), "dahliarudder-*", "bans.json"))
	if len(stored) != 1 {
		t.Fatalf("kept in %v", stored)
	}
	second := start(t, s.configPath, 2)
	second.waitLogged("msg=ejected member=" + id)
	second.cmd.Process.Kill()
	<-second.done
	writeFile(t, stored[0], `["`+id[:4])
	third := start(t, s.configPath, 2)
	third.waitLogged("no ejection is in force")
	third.mustPut("/-/backends/" + id + "/disable")
	if text, err := os.ReadFile(stored[0]); err != nil || string(text) != `["`+id+`"]` {
		t.Errorf("kept %q, %v", text, err)
	}
	third.stop()
}

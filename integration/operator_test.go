package integration

import (
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"testing"
)

// newOperatorRig returns a lineRig whose relay also listens for operator calls.
func newOperatorRig(t *testing.T, members int, extra map[string]any) *lineRig {
	t.Helper()
	all := map[string]any{"operator": "127.0.0.1:0"}
	for k, v := range extra {
		all[k] = v
	}
	return newLineRig(t, members, all)
}

// TestOperatorEjection: an ejected member gets no new requests and its clients are moved. This holds when
// discovery lists the member again and after SIGHUP. A second ejection changes nothing, and one
// reinstatement is enough for the member to be used again.
func TestOperatorEjection(t *testing.T) {
	s := newOperatorRig(t, 2, nil)
	if code := s.call("GET", "/-/ready"); code != 200 {
		t.Errorf("GET /-/ready: status %d, want 200", code)
	}
	for _, path := range []string{"/-/backends/s-00000000/disable", "/-/backends/s-00000000/enable"} {
		if code := s.call("PUT", path); code != 404 {
			t.Errorf("PUT %s of an unknown member: status %d, want 404", path, code)
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
			t.Fatalf("request %d went to the ejected member", 100+n)
		}
	}
	s.openFlow(200, ",at="+b.id).wantLine("BUSY")
	if len(b.firstLines()) != before {
		t.Error("the ejected member got a new first line")
	}
	s.mustPut("/-/backends/" + b.id + "/enable")
	n := 300
	waitFor(t, "the reinstated member to be used", func() bool {
		n++
		return s.memberOfFlow(s.openFlow(n, "").wantLine("UP ")) == b
	})
	checkAttemptCounter(t, s.attemptCounter)
	s.stop()
}

// TestOperatorDrain: a drained relay answers PING with ERR at once, serves requests that still arrive, and
// moves all its clients. After a resume it accepts clients and keeps them.
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
		t.Errorf("GET /-/ready while drained: status %d, want 200", code)
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

// TestOperatorSlowCallers guards against idle connections to the operator's address that block operator
// calls or clients, also when clients use all descriptors that they may have.
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
		t.Errorf("GET /-/ready: status %d, want 200", code)
	}
	s.openFlow(1, "").wantLine("UP ")
	s.stop()
}

// TestOperatorTornState: an ejection file that is only half written does not prevent a start, and
// ejections can be stored again.
func TestOperatorTornState(t *testing.T) {
	s := newOperatorRig(t, 2, nil)
	id := s.members[0].id
	s.mustPut("/-/backends/" + id + "/disable")
	s.cmd.Process.Kill()
	<-s.done
	stored, _ := filepath.Glob(filepath.Join(filepath.Dir(s.configPath), "dahliarudder-*", "bans.json"))
	if len(stored) != 1 {
		t.Fatalf("ejection files: %v, want one", stored)
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
		t.Errorf("ejection file = %q, %v, want the ejected member %s", text, err, id)
	}
	third.stop()
}

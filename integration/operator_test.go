package integration

import (
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"testing"
)

// operated is a site whose relay has a second address.
func operated(t *testing.T, members int, more map[string]any) *site {
	t.Helper()
	all := map[string]any{"operator": "127.0.0.1:0"}
	for k, v := range more {
		all[k] = v
	}
	return newSite(t, members, all)
}

// TestOperatorBan: a member that is taken out gets nothing more and its clients move,
// also when discovery lists it again and after SIGHUP; the second word out changes
// nothing, one word back undoes both, and the member is used again.
func TestOperatorBan(t *testing.T) {
	s := operated(t, 2, nil)
	if code := s.call("GET", "/-/ready"); code != 200 {
		t.Errorf("ready: %d", code)
	}
	for _, path := range []string{"/-/backends/s-00000000/disable", "/-/backends/s-00000000/enable"} {
		if code := s.call("PUT", path); code != 404 {
			t.Errorf("%s: %d", path, code)
		}
	}
	c := s.open(1, "")
	b := s.holder(c.want("UP "))
	s.put("/-/backends/" + b.id + "/disable")
	s.put("/-/backends/" + b.id + "/disable")
	c.want("MOVE")
	c.want(io.EOF.Error())
	s.d.SetLifecycle(b.id, "DRAINING")
	s.d.SetLifecycle(b.id, "SERVING")
	s.reload()
	s.logged("configuration read again")
	before := len(b.firstLines())
	for n := range 20 {
		if s.holder(s.open(100+n, "").want("UP ")) == b {
			t.Fatal("sent to a member that was taken out")
		}
	}
	s.open(200, ",at="+b.id).want("BUSY")
	if len(b.firstLines()) != before {
		t.Error("the member got something new")
	}
	s.put("/-/backends/" + b.id + "/enable")
	n := 300
	until(t, "the member to be used again", func() bool {
		n++
		return s.holder(s.open(n, "").want("UP ")) == b
	})
	checkTries(t, s.tries)
	s.stop()
}

// TestOperatorDrain: a drained relay says so to the front at once, serves what still
// arrives and moves everyone; resumed, it takes clients in and keeps them.
func TestOperatorDrain(t *testing.T) {
	s := operated(t, 2, nil)
	held := s.hold(6)
	front := s.dial()
	s.put("/-/drain")
	front.say("PING")
	front.want("ERR")
	late := s.open(10, "")
	late.want("UP ")
	moved(append(held, late)...)
	if code := s.call("GET", "/-/ready"); code != 200 {
		t.Errorf("ready while drained: %d", code)
	}
	s.put("/-/resume")
	front.say("PING")
	front.want("PONG")
	c := s.open(11, "")
	c.want("UP ")
	c.say("stay")
	c.want("LOAD ")
	c.want("GOT 1 stay")
	s.stop()
}

// TestOperatorSlowCallers: callers that say nothing keep neither operators nor
// clients out, also when clients have taken every descriptor they may.
func TestOperatorSlowCallers(t *testing.T) {
	s := operated(t, 1, map[string]any{"limits": map[string]any{"cores": 1, "memory_mb": 32, "sockets": 100}})
	for range 100 {
		s.dial()
	}
	for range 40 {
		c, err := net.Dial("tcp", s.addr["operator"])
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		fmt.Fprint(c, "PUT /-/drain HT")
	}
	if code := s.call("GET", "/-/ready"); code != 200 {
		t.Errorf("ready: %d", code)
	}
	s.open(1, "").want("UP ")
	s.stop()
}

// TestOperatorTornState: what an earlier process left half-written keeps none from
// starting, and bans can be kept again.
func TestOperatorTornState(t *testing.T) {
	s := operated(t, 2, nil)
	id := s.backends[0].id
	s.put("/-/backends/" + id + "/disable")
	s.cmd.Process.Kill()
	<-s.done
	kept, _ := filepath.Glob(filepath.Join(filepath.Dir(s.path), "dahliarudder-*", "bans.json"))
	if len(kept) != 1 {
		t.Fatalf("kept in %v", kept)
	}
	again := start(t, s.path, 2)
	again.logged("msg=ejected member=" + id)
	again.cmd.Process.Kill()
	<-again.done
	write(t, kept[0], `["`+id[:4])
	torn := start(t, s.path, 2)
	torn.logged("no ejection is in force")
	torn.put("/-/backends/" + id + "/disable")
	if text, err := os.ReadFile(kept[0]); err != nil || string(text) != `["`+id+`"]` {
		t.Errorf("kept %q, %v", text, err)
	}
	torn.stop()
}

package integration

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

// TestSuspended guards against a relay that acts on an outdated list after a suspension. The process is
// suspended for longer than its calls to discovery may take, while most of its members begin to drain.
// After it continues it must read what has arrived before it treats a call as timed out, and it must not
// forward any request, waiting or new, to a member that discovery lists as draining.
func TestSuspended(t *testing.T) {
	s := newLineRig(t, 6, nil)
	s.openFlows(6)
	s.cmd.Process.Signal(syscall.SIGSTOP)
	time.Sleep(4500 * time.Millisecond) // until discovery has answered the call in progress
	for _, b := range s.members[1:] {
		s.d.SetLifecycle(b.id, "DRAINING")
	}
	before := make([]int, len(s.members))
	for i, b := range s.members {
		before[i] = len(b.firstLines())
	}
	time.Sleep(2500 * time.Millisecond) // longer than the timeout of a call to discovery
	var all []*client
	for n := range 12 {
		c := s.dial()
		c.send(fmt.Sprintf("OPEN %016x %016x c=pay-status,t=water,d=9000", 100+n, 300+n))
		all = append(all, c)
	}
	s.cmd.Process.Signal(syscall.SIGCONT)
	for _, c := range all {
		if line := c.line(); !strings.HasPrefix(line, "UP "+s.members[0].id+"/") && !strings.HasPrefix(line, "BUSY") {
			t.Errorf("answered %q, want UP from %s or BUSY", line, s.members[0].id)
		}
	}
	for i, b := range s.members[1:] {
		if lines := b.firstLines(); len(lines) > before[i+1] {
			t.Errorf("%d new requests went to the draining member %s, want 0", len(lines)-before[i+1], b.id)
		}
	}
	if strings.Contains(s.log.String(), "discovery call failed") {
		t.Error("the relay logged a failed call to discovery, want none, as its answer had arrived")
	}
	checkAttemptCounter(t, s.attemptCounter)
}

// TestSnapshotRestore: a relay that was killed continues from its snapshot, which supplies the endpoint
// list while discovery is down and the configuration has none. A truncated snapshot, the snapshot of
// another relay, or a state directory that is a file must not prevent a start.
func TestSnapshotRestore(t *testing.T) {
	s := newLineRig(t, 3, map[string]any{"operator": "127.0.0.1:0", "state": map[string]any{"dir": "state", "every_ms": 1000}, "known": nil})
	waitFor(t, "the relay to be ready", func() bool { return s.call("GET", "/-/ready") == 200 })
	s.openFlows(3)
	snapshotPath := filepath.Join(filepath.Dir(s.configPath), "state", "snapshot")
	waitFor(t, "a snapshot", func() bool { _, err := os.Stat(snapshotPath); return err == nil })
	s.d.SetDown(true)
	s.cmd.Process.Kill()
	<-s.done
	recoveryText := func(r *relay) string {
		t.Helper()
		answer, err := http.Get("http://" + r.addrs["operator"] + "/-/recovery")
		if err != nil {
			t.Fatal(err)
		}
		defer answer.Body.Close()
		text, _ := io.ReadAll(answer.Body)
		return string(text)
	}
	next := start(t, s.configPath, 2)
	if text := recoveryText(next); !strings.Contains(text, `"from": "snapshot"`) {
		t.Errorf("GET /-/recovery = %s, want a restore from the snapshot", text)
	}
	next.openFlow(50, "").wantLine("UP ")
	next.cmd.Process.Kill()
	<-next.done
	text, err := os.ReadFile(snapshotPath)
	if err != nil {
		t.Fatal(err)
	}
	s.d.SetDown(false)
	for name, prepare := range map[string]func(){
		"torn": func() { writeFile(t, snapshotPath, string(text[:len(text)/2])) },
		"of another relay": func() {
			writeFile(t, snapshotPath, string(text))
			config, _ := os.ReadFile(s.configPath)
			writeFile(t, s.configPath, strings.Replace(string(config), `"name":"n0"`, `"name":"n9"`, 1))
		},
		"not a directory": func() {
			os.RemoveAll(filepath.Dir(snapshotPath))
			writeFile(t, filepath.Dir(snapshotPath), "")
		},
	} {
		prepare()
		r := start(t, s.configPath, 2)
		if text := recoveryText(r); !strings.Contains(text, `"from": "nothing"`) || !strings.Contains(text, `"why"`) {
			t.Errorf("snapshot %s: GET /-/recovery = %s, want nothing restored and a reason", name, text)
		}
		waitFor(t, "the relay to be ready", func() bool { return r.call("GET", "/-/ready") == 200 })
		r.openFlow(60, "").wantLine("UP ")
		r.cmd.Process.Kill()
		<-r.done
		os.RemoveAll(filepath.Dir(snapshotPath))
		os.MkdirAll(filepath.Dir(snapshotPath), 0o700)
	}
}

package integration

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
)

// fullDisk is a file of the system that has no room: each write to it fails as on a disk that is full.
const fullDisk = "/dev/full"

// TestStateDirFull: a state directory is full for a while: clients are served, the last complete state stays and is what the
// nextCalls process restores, and the log reports the failure and its end, once each.
func TestStateDirFull(t *testing.T) {
	t.Parallel()
	b := newFakeMember(t, "s-00000001", nil)
	d := newDiscovery(t, b.entry())
	dir := filepath.Join(t.TempDir(), "state")
	config := configure(t, d, map[string]any{"operator": "127.0.0.1:0", "state": map[string]any{"dir": dir, "every_ms": 1000}})
	r := start(t, config, 2)
	path := filepath.Join(dir, "snapshot")
	waitFor(t, "a snapshot", func() bool { _, err := os.Stat(path); return err == nil })
	readSnapshot := func() []byte {
		text, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		return text
	}
	const failed, recovered = "a snapshot could not be written", "snapshots are written again"
	wantLogCount := func(text string, n int) {
		t.Helper()
		if got := strings.Count(r.log.String(), text); got != n {
			t.Errorf("%q is told %d times, want %d", text, got, n)
		}
	}
	before := readSnapshot()
	if err := os.Symlink(fullDisk, path+".new"); err != nil { // for one write: the relay clears away what that has left
		t.Fatal(err)
	}
	r.waitLogged(recovered)
	wantLogCount(failed, 1)
	wantLogCount(recovered, 1)
	waitFor(t, "the next whole state", func() bool { return !bytes.Equal(readSnapshot(), before) })

	if err := os.MkdirAll(filepath.Join(path+".new", "in the way"), 0o700); err != nil { // for all that follow
		t.Fatal(err)
	}
	waitFor(t, "the trouble", func() bool { return strings.Count(r.log.String(), failed) == 2 })
	before = readSnapshot()
	r.openFlow(1, "").wantLine("UP ")
	r.cmd.Process.Signal(syscall.SIGKILL)
	<-r.done
	wantLogCount(recovered, 1)
	if !bytes.Equal(readSnapshot(), before) {
		t.Error("the last whole state is another one")
	}
	next := start(t, config, 2)
	next.waitLogged("restored from the snapshot")
	next.openFlow(2, "").wantLine("UP ")
	next.stop()
}

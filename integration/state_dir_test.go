package integration

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
)

// fullDisk is a device on which each write fails with ENOSPC, as on a full disk.
const fullDisk = "/dev/full"

// TestStateDirFull: the state directory is full for a while. Clients are served, the last complete snapshot
// stays and is restored by the next process, and the log reports the failure and its end once each.
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
			t.Errorf("the log contains %q %d times, want %d", text, got, n)
		}
	}
	before := readSnapshot()
	// One write fails, and the relay then removes the temporary file, here the link.
	if err := os.Symlink(fullDisk, path+".new"); err != nil {
		t.Fatal(err)
	}
	r.waitLogged(recovered)
	wantLogCount(failed, 1)
	wantLogCount(recovered, 1)
	waitFor(t, "the next complete snapshot", func() bool { return !bytes.Equal(readSnapshot(), before) })

	if err := os.MkdirAll(filepath.Join(path+".new", "in the way"), 0o700); err != nil { // all later writes fail
		t.Fatal(err)
	}
	waitFor(t, "the second failed write in the log", func() bool { return strings.Count(r.log.String(), failed) == 2 })
	before = readSnapshot()
	r.openFlow(1, "").wantLine("UP ")
	r.cmd.Process.Signal(syscall.SIGKILL)
	<-r.done
	wantLogCount(recovered, 1)
	if !bytes.Equal(readSnapshot(), before) {
		t.Error("the last complete snapshot has changed while writes failed")
	}
	next := start(t, config, 2)
	next.waitLogged("restored from the snapshot")
	next.openFlow(2, "").wantLine("UP ")
	next.stop()
}

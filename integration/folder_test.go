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

// TestStateFolderFull: a folder for kept state that is full for a while: clients are served on, the last whole state stays
// and is what the next process comes back with, and the log tells of the trouble and of its end, once each.
func TestStateFolderFull(t *testing.T) {
	t.Parallel()
	b := newBackend(t, "s-00000001", nil)
	d := newDiscovery(t, b.member())
	dir := filepath.Join(t.TempDir(), "state")
	config := configure(t, d, map[string]any{"operator": "127.0.0.1:0", "state": map[string]any{"dir": dir, "every_ms": 1000}})
	r := start(t, config, 2)
	path := filepath.Join(dir, "snapshot")
	until(t, "a snapshot", func() bool { _, err := os.Stat(path); return err == nil })
	whole := func() []byte {
		text, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		return text
	}
	const failed, works = "a snapshot could not be written", "snapshots are written again"
	for n := 1; n <= 2; n++ {
		if err := os.Symlink(fullDisk, path+".new"); err != nil {
			t.Fatal(err)
		}
		until(t, "the trouble", func() bool { return strings.Count(r.log.String(), failed) == n })
		before := whole()
		r.open(n, "").want("UP ")
		if n == 2 { // and the process is killed amid it
			r.cmd.Process.Signal(syscall.SIGKILL)
			<-r.done
			if !bytes.Equal(whole(), before) {
				t.Error("the last whole state is another one")
			}
			next := start(t, config, 2)
			next.logged("goes on from its snapshot")
			next.open(n+1, "").want("UP ")
			next.stop()
			break
		}
		if err := os.Remove(path + ".new"); err != nil {
			t.Fatal(err)
		}
		until(t, "the next whole state", func() bool { return !bytes.Equal(whole(), before) })
		r.logged(works)
		if got := strings.Count(r.log.String(), works); got != n {
			t.Errorf("the end of the trouble is told %d times", got)
		}
	}
}

package integration

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// TestMinimalConfig: a relay with a minimal configuration is a single process that listens on one TCP
// address for clients, opens no other kind of socket and writes no file.
func TestMinimalConfig(t *testing.T) {
	t.Parallel()
	b := newFakeMember(t, "s-00000001", nil)
	d := newDiscovery(t, b.entry())
	r := start(t, configure(t, d, nil), 1)
	waitFor(t, "the first watch at discovery", func() bool { return d.Calls() > 1 })
	r.openFlow(1, "").wantLine("UP ")
	pid := r.cmd.Process.Pid
	own := map[string]bool{} // inodes of the relay's sockets
	paths, _ := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", pid))
	for _, path := range paths {
		if to, err := os.Readlink(path); err == nil {
			own[strings.Trim(strings.TrimPrefix(to, "socket:"), "[]")] = true
		}
	}
	const listening = "0A" // state LISTEN in /proc/net/tcp
	listeners := 0
	for _, table := range []string{"tcp", "tcp6", "udp", "udp6", "unix"} {
		text, err := os.ReadFile("/proc/net/" + table)
		if err != nil {
			continue // the system does not have this protocol
		}
		for _, line := range strings.Split(string(text), "\n") {
			fields := strings.Fields(line)
			switch inode := 9; {
			case len(fields) < 10 && table != "unix" || len(fields) < 7:
			case table == "unix" && own[fields[6]]:
				t.Errorf("the relay has a Unix socket: %s", line)
			case table == "unix":
			case table != "tcp" && own[fields[inode]]:
				t.Errorf("the relay has a socket in /proc/net/%s: %s", table, line)
			case own[fields[inode]] && fields[3] == listening:
				listeners++
			}
		}
	}
	if listeners != 1 {
		t.Errorf("the relay has %d listening TCP sockets, want 1", listeners)
	}
	if children, err := os.ReadFile(fmt.Sprintf("/proc/%d/task/%d/children", pid, pid)); err == nil && len(strings.TrimSpace(string(children))) > 0 {
		t.Errorf("the relay has child processes: %s", children)
	}
	files, err := os.ReadDir(filepath.Dir(r.configPath))
	if err != nil || len(files) != 1 {
		t.Errorf("files in the configuration's directory: %v, %v, want only the configuration", files, err)
	}
	r.stop()
}

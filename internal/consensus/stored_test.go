package consensus

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	pb "go.etcd.io/raft/v3/raftpb"
)

// TestStoredFormsDataDir: a voter's directory written by release 63fa232 (one voter, three commands agreed; its hard state as the disk last had it) is read whole and opened
// under the identity it holds, with its hard state and entries.
func TestStoredFormsDataDir(t *testing.T) {
	written, err := os.ReadFile(filepath.Join("testdata", "head", databaseFile))
	if err != nil {
		t.Fatal(err)
	}
	loaded, err := loadFile(written)
	if err != nil {
		t.Fatal(err)
	}
	const identity = 4286738726500800039
	if loaded.identity != identity || loaded.hardState.GetTerm() != 2 || loaded.hardState.GetCommit() != 1 {
		t.Errorf("identity %d, hard state %v", loaded.identity, loaded.hardState)
	}
	var commands []string
	for _, e := range loaded.entries {
		if e.GetType() == pb.EntryNormal && len(e.GetData()) > 0 {
			commands = append(commands, string(e.GetData()))
		}
	}
	for _, c := range []string{"alpha", "beta", "gamma"} {
		if !slices.ContainsFunc(commands, func(data string) bool { return strings.Contains(data, c) }) {
			t.Errorf("no entry carries %q: %q", c, commands)
		}
	}
	dir := t.TempDir()
	if err := os.WriteFile(filepath.Join(dir, databaseFile), written, 0o600); err != nil {
		t.Fatal(err)
	}
	d := &disk{directory: dir}
	opened, damage, err := d.open(1)
	if err != nil || damage != "" {
		t.Fatalf("opened with %v: %s", err, damage)
	}
	if err := d.close(); err != nil {
		t.Fatal(err)
	}
	if opened.identity != identity || len(opened.entries) != len(loaded.entries) {
		t.Errorf("opened as %d with %d entries, read as %d with %d", opened.identity, len(opened.entries), loaded.identity, len(loaded.entries))
	}
}

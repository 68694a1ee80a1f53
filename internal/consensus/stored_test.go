package consensus

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	pb "go.etcd.io/raft/v3/raftpb"
)

// TestStoredFormsDataDir opens a voter's directory that release 63fa232 wrote, with one voter and three
// committed commands. The file is read completely, and opened with its identity, hard state and entries.
// The stored commit index is 1, since a commit index that changes alone is not written to disk.
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
		t.Errorf("loadFile: identity %d, hard state %v, want identity %d, term 2, commit index 1",
			loaded.identity, loaded.hardState, uint64(identity))
	}
	var commands []string
	for _, e := range loaded.entries {
		if e.GetType() == pb.EntryNormal && len(e.GetData()) > 0 {
			commands = append(commands, string(e.GetData()))
		}
	}
	for _, c := range []string{"alpha", "beta", "gamma"} {
		if !slices.ContainsFunc(commands, func(data string) bool { return strings.Contains(data, c) }) {
			t.Errorf("no entry contains the command %q; commands: %q", c, commands)
		}
	}
	dir := t.TempDir()
	if err := os.WriteFile(filepath.Join(dir, databaseFile), written, 0o600); err != nil {
		t.Fatal(err)
	}
	d := &disk{directory: dir}
	opened, damage, err := d.open(1)
	if err != nil || damage != "" {
		t.Fatalf("open: error %v, damage %q, want neither", err, damage)
	}
	if err := d.close(); err != nil {
		t.Fatal(err)
	}
	if opened.identity != identity || len(opened.entries) != len(loaded.entries) {
		t.Errorf("open: identity %d with %d entries, want %d with %d as read by loadFile",
			opened.identity, len(opened.entries), uint64(identity), len(loaded.entries))
	}
}

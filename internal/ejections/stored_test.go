package ejections

import (
	"os"
	"path/filepath"
	"slices"
	"testing"
)

// TestStoredFormsEjections: the file of ejected members written by release 63fa232 can be read, and
// Set writes the same format.
func TestStoredFormsEjections(t *testing.T) {
	written, err := os.ReadFile(filepath.Join("testdata", "head", "bans.json"))
	if err != nil {
		t.Fatal(err)
	}
	names, err := File{Dir: filepath.Join("testdata", "head")}.Read()
	if err != nil || !slices.Equal(names, []string{"s-7", "s-9"}) {
		t.Fatalf("Read(file of release 63fa232) = %q, %v; want [s-7 s-9]", names, err)
	}
	dir := t.TempDir()
	if err := os.WriteFile(filepath.Join(dir, "bans.json"), written, 0o600); err != nil {
		t.Fatal(err)
	}
	f := File{Dir: dir}
	if err := f.Set("s-1", true); err != nil {
		t.Fatal(err)
	}
	if err := f.Set("s-7", false); err != nil {
		t.Fatal(err)
	}
	changed, err := os.ReadFile(filepath.Join(dir, "bans.json"))
	if err != nil || string(changed) != `["s-9","s-1"]` {
		t.Errorf("file after the changes = %q, %v; want [\"s-9\",\"s-1\"]", changed, err)
	}
}

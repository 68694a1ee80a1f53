package ejections

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"testing"
)

func readNames(t *testing.T, f File) []string {
	t.Helper()
	names, err := f.Read()
	if err != nil {
		t.Fatal(err)
	}
	slices.Sort(names)
	return names
}

// TestSet: a member that is ejected twice is listed once, and one reinstatement undoes both.
func TestSet(t *testing.T) {
	f := File{t.TempDir()}
	for _, step := range []struct {
		name    string
		ejected bool
		want    []string
	}{
		{"a", false, nil}, {"a", true, []string{"a"}}, {"a", true, []string{"a"}}, {"b", true, []string{"a", "b"}},
		{"a", false, []string{"b"}}, {"a", false, []string{"b"}},
	} {
		if err := f.Set(step.name, step.ejected); err != nil {
			t.Fatal(err)
		}
		if got := readNames(t, f); !slices.Equal(got, step.want) {
			t.Errorf("after %s %v: %v, want %v", step.name, step.ejected, got, step.want)
		}
	}
}

// TestTornFile: a file that is cut short is an error and counts as empty, and the next ejection
// writes it anew. Guards against a start that fails for a file torn by a full disk.
func TestTornFile(t *testing.T) {
	f := File{t.TempDir()}
	if err := os.WriteFile(f.path(), []byte(`["a","b`), 0o600); err != nil {
		t.Fatal(err)
	}
	if names, err := f.Read(); err == nil || len(names) > 0 {
		t.Errorf("%v, %v from a torn file", names, err)
	}
	if err := f.Set("c", true); err != nil {
		t.Fatal(err)
	}
	if got := readNames(t, f); !slices.Equal(got, []string{"c"}) {
		t.Errorf("%v", got)
	}
}

// TestConcurrentWriters: two processes that write at once lose nothing of each other's, nobody
// ever reads a part of a file, and no temporary file is left. Each File opens the
// lock by itself, as processes do.
func TestConcurrentWriters(t *testing.T) {
	dir := t.TempDir()
	var wait sync.WaitGroup
	for p := range 2 {
		wait.Add(1)
		go func() {
			defer wait.Done()
			for n := range 20 {
				if err := (File{dir}).Set(fmt.Sprint(p, "-", n), true); err != nil {
					t.Error(err)
				}
				if _, err := (File{dir}).Read(); err != nil {
					t.Error(err)
				}
			}
		}()
	}
	wait.Wait()
	if got := readNames(t, File{dir}); len(got) != 40 {
		t.Errorf("%d names of 40", len(got))
	}
	if left, _ := filepath.Glob(filepath.Join(dir, "bans?*")); !slices.Equal(left, []string{filepath.Join(dir, "bans.json")}) {
		t.Errorf("left over: %v", left)
	}
}

// TestUnwritable: what cannot be stored is an error, so that it is not confirmed.
func TestUnwritable(t *testing.T) {
	if err := (File{filepath.Join(t.TempDir(), "gone")}).Set("a", true); err == nil {
		t.Error("no error")
	}
}

// TestStateDir: a directory is found again by the relay's name, and what another user or
// program may have put in its place is not taken.
func TestStateDir(t *testing.T) {
	t.Setenv("TMPDIR", t.TempDir())
	first, err := StateDir("n/../1")
	if err != nil {
		t.Fatal(err)
	}
	if again, err := StateDir("n/../1"); err != nil || again != first || filepath.Dir(first) != os.TempDir() {
		t.Errorf("%s, then %s, %v", first, again, err)
	}
	if other, err := StateDir("n2"); err != nil || other == first {
		t.Errorf("%s for another name, %v", other, err)
	}
	os.Remove(first)
	if err := os.Symlink(os.TempDir(), first); err != nil {
		t.Fatal(err)
	}
	if _, err := StateDir("n/../1"); err == nil {
		t.Error("a link was taken for the directory")
	}
}

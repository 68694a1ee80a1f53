package atomicfile

import (
	"errors"
	"os"
	"path/filepath"
	"testing"

	"golang.org/x/sys/unix"
)

// TestWriteFails: whichever step fails, with any error of a full or broken disk, Write returns the
// error, the file has its complete old or new content, no temporary file is left over, and the next
// Write succeeds.
func TestWriteFails(t *testing.T) {
	for _, errno := range []unix.Errno{unix.ENOSPC, unix.EIO, unix.EDQUOT} {
		for step, failing := range map[string]func(c *fileCalls){
			"write": func(c *fileCalls) { c.write = func(*os.File, []byte) (int, error) { return 0, errno } },
			"short write": func(c *fileCalls) {
				c.write = func(f *os.File, b []byte) (int, error) {
					n, _ := f.Write(b[:len(b)/2])
					return n, errno
				}
			},
			"sync":   func(c *fileCalls) { c.sync = func(*os.File) error { return errno } },
			"close":  func(c *fileCalls) { c.close = func(f *os.File) error { return errors.Join(f.Close(), errno) } },
			"rename": func(c *fileCalls) { c.rename = func(string, string) error { return errno } },
			"sync of the directory": func(c *fileCalls) {
				c.sync = func(f *os.File) error {
					if info, err := f.Stat(); err != nil || info.IsDir() {
						return errno
					}
					return f.Sync()
				}
			},
		} {
			t.Run(step+" "+unix.ErrnoName(errno), func(t *testing.T) {
				path := filepath.Join(t.TempDir(), "file")
				checkContent := func(want string) {
					t.Helper()
					if text, err := os.ReadFile(path); err != nil || string(text) != want {
						t.Errorf("content %q, error %v; want %q", text, err, want)
					}
					if all, err := os.ReadDir(filepath.Dir(path)); err != nil || len(all) != 1 {
						t.Errorf("files in the directory: %v, error %v; want one file", all, err)
					}
				}
				if err := Write(path, []byte("the old content")); err != nil {
					t.Fatal(err)
				}
				original := osCalls
				failing(&osCalls)
				err := Write(path, []byte("another one"))
				osCalls = original
				if !errors.Is(err, errno) {
					t.Errorf("Write = %v, want %v", err, errno)
				}
				if step == "sync of the directory" {
					checkContent("another one")
				} else {
					checkContent("the old content")
				}
				if err := Write(path, []byte("the last one")); err != nil {
					t.Fatal(err)
				}
				checkContent("the last one")
			})
		}
	}
}

// TestHalfWritten: the temporary file of a process that was killed during Write is not read and does
// not disturb the next Write.
func TestHalfWritten(t *testing.T) {
	path := filepath.Join(t.TempDir(), "file")
	if err := Write(path, []byte("the old content")); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path+tempSuffix, []byte("half of a much longer one that was never fini"), 0o600); err != nil {
		t.Fatal(err)
	}
	if text, err := os.ReadFile(path); err != nil || string(text) != "the old content" {
		t.Errorf("content beside a left-over temporary file = %q, %v; want the old content", text, err)
	}
	if err := Write(path, []byte("new")); err != nil {
		t.Fatal(err)
	}
	if text, err := os.ReadFile(path); err != nil || string(text) != "new" {
		t.Errorf("content after Write over a left-over temporary file = %q, %v; want \"new\"", text, err)
	}
}

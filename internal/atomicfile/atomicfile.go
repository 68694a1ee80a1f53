// Package atomicfile replaces files whole: whoever reads one, also after a crash or a failed write, finds the old content
// or the new one, and nothing in between.
package atomicfile

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"golang.org/x/sys/unix"
)

// suffix is what the name of a file has while its new content is written beside it.
const suffix = ".new"

// calls is the system calls that a replacement is made of. Tests put calls that fail in the place of some.
type calls struct {
	write  func(f *os.File, b []byte) (int, error)
	sync   func(f *os.File) error
	close  func(f *os.File) error
	rename func(from, to string) error
}

var system = calls{write: (*os.File).Write, sync: (*os.File).Sync, close: (*os.File).Close, rename: os.Rename}

// Write puts content in the place of a file's, or makes the file, for its owner alone. After an error the file holds what
// it held, but for an error of the last step, when the directory is synchronised: then it holds the new content, which
// may be gone after the machine's power is. Processes that write the same file take turns.
func Write(path string, content []byte) error {
	dir, err := os.Open(filepath.Dir(path))
	if err != nil {
		return err
	}
	defer dir.Close() // gives the lock back
	if err := lock(dir); err != nil {
		return err
	}
	fresh := path + suffix
	if err := fill(fresh, content); err != nil {
		os.Remove(fresh)
		return err
	}
	if err := system.rename(fresh, path); err != nil {
		os.Remove(fresh)
		return err
	}
	return system.sync(dir)
}

// lock waits until no other process writes in a directory.
func lock(dir *os.File) error {
	for {
		err := unix.Flock(int(dir.Fd()), unix.LOCK_EX)
		if err != unix.EINTR {
			if err != nil {
				err = fmt.Errorf("locking %s: %w", dir.Name(), err)
			}
			return err
		}
	}
}

// fill makes a file of that content, which is on the disk when it returns.
func fill(path string, content []byte) error {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	_, err = system.write(f, content)
	if err == nil {
		err = system.sync(f)
	}
	return errors.Join(err, system.close(f))
}

// Package atomicfile replaces files atomically: a reader finds the old content or the new one and nothing in between, also
// after a crash or a failed write.
package atomicfile

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"golang.org/x/sys/unix"
)

// tempSuffix is appended to the name of a file for the one beside it that its new content is written to.
const tempSuffix = ".new"

// fileCalls are the system calls that a replacement makes. Tests replace some of them by ones that fail.
type fileCalls struct {
	write  func(f *os.File, b []byte) (int, error)
	sync   func(f *os.File) error
	close  func(f *os.File) error
	rename func(from, to string) error
}

var osCalls = fileCalls{write: (*os.File).Write, sync: (*os.File).Sync, close: (*os.File).Close, rename: os.Rename}

// Write replaces a file's content, or creates the file, readable by its owner only. After an error the file has its old
// content, except if the last step fails, the sync of the directory: then it has the new content, which a power failure may
// undo. Processes that write files in the same directory wait for each other.
func Write(path string, content []byte) error {
	dir, err := os.Open(filepath.Dir(path))
	if err != nil {
		return err
	}
	defer dir.Close() // releases the lock
	if err := lockDir(dir); err != nil {
		return err
	}
	temp := path + tempSuffix
	if err := writeAndSync(temp, content); err != nil {
		os.Remove(temp)
		return err
	}
	if err := osCalls.rename(temp, path); err != nil {
		os.Remove(temp)
		return err
	}
	return osCalls.sync(dir)
}

// lockDir waits until no other process has the lock of a directory.
func lockDir(dir *os.File) error {
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

// writeAndSync writes a file. Its content is on the disk when it returns.
func writeAndSync(path string, content []byte) error {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	_, err = osCalls.write(f, content)
	if err == nil {
		err = osCalls.sync(f)
	}
	return errors.Join(err, osCalls.close(f))
}

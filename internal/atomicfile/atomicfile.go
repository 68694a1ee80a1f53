// Package atomicfile replaces files atomically: a reader finds either the old content or the new
// one, also after a crash or a failed write.
package atomicfile

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"golang.org/x/sys/unix"
)

// tempSuffix is appended to the name of a file to name the temporary file for its new content.
const tempSuffix = ".new"

// fileCalls are the system calls that a replacement makes. Tests replace some of them with failing
// ones.
type fileCalls struct {
	write  func(f *os.File, b []byte) (int, error)
	sync   func(f *os.File) error
	close  func(f *os.File) error
	rename func(from, to string) error
}

var osCalls = fileCalls{write: (*os.File).Write, sync: (*os.File).Sync, close: (*os.File).Close, rename: os.Rename}

// Write replaces the content of a file, or creates the file, readable by its owner only. After an
// error the file has its old content, with one exception: if the sync of the directory fails, which
// is the last step, the file has the new content, and a power failure may undo the replacement.
// Write locks the directory, so concurrent calls for one directory wait for each other.
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

// lockDir waits for an exclusive lock on a directory. Closing dir releases the lock.
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

// writeAndSync creates or truncates a file and writes its content. On success the content is on the
// disk when it returns.
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

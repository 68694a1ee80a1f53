// Package ejections stores the names of the members that operators have ejected at one
// relay, in a file that outlives the process. It decides nothing.
package ejections

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"syscall"

	"golang.org/x/sys/unix"

	"dahliarudder/internal/atomicfile"
)

// Names of files in the state directory. fileName stays as it was first written, so
// that a new version of the relay finds what an older one stored.
const (
	fileName = "bans.json"
	lockName = "lock"
)

// StateDir makes the directory in which a relay of that name stores its state, below the
// system's directory for temporary files. Others may write there too, so it must be
// this user's own.
func StateDir(relay string) (string, error) {
	dir := filepath.Join(os.TempDir(), "dahliarudder-"+fmt.Sprintf("%x", relay))
	if err := os.Mkdir(dir, 0o700); err != nil && !errors.Is(err, fs.ErrExist) {
		return "", fmt.Errorf("state: %w", err)
	}
	info, err := os.Lstat(dir)
	if err != nil {
		return "", fmt.Errorf("state: %w", err)
	}
	if owner, ok := info.Sys().(*syscall.Stat_t); !info.IsDir() || ok && int(owner.Uid) != os.Geteuid() {
		return "", fmt.Errorf("state: %s is not this user's directory", dir)
	}
	return dir, nil
}

// File is the file of ejected members in a state directory.
type File struct{ Dir string }

func (f File) path() string { return filepath.Join(f.Dir, fileName) }

// Read returns the names of the ejected members. A missing file has none, and neither has
// one that cannot be read: its error must not keep a relay from starting.
func (f File) Read() ([]string, error) {
	text, err := os.ReadFile(f.path())
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, fmt.Errorf("ejections: read: %w", err)
	}
	var names []string
	if err := json.Unmarshal(text, &names); err != nil {
		return nil, fmt.Errorf("ejections: decode: %w", err)
	}
	return names, nil
}

// Set adds a member, or removes it. Two processes may do so at once: each reads
// what the other has written, under a lock, and the new file is complete before it
// replaces the old one.
func (f File) Set(member string, ejected bool) error {
	lock, err := os.OpenFile(filepath.Join(f.Dir, lockName), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return fmt.Errorf("ejections: open lock: %w", err)
	}
	defer lock.Close() // releases the lock
	if err := unix.Flock(int(lock.Fd()), unix.LOCK_EX); err != nil {
		return fmt.Errorf("ejections: lock: %w", err)
	}
	names, err := f.Read()
	if err != nil {
		names = nil // a torn file is written anew
	}
	switch listed := slices.Contains(names, member); {
	case listed == ejected && err == nil:
		return nil
	case ejected:
		names = append(names, member)
	default:
		names = slices.DeleteFunc(names, func(n string) bool { return n == member })
	}
	text, err := json.Marshal(names)
	if err != nil {
		return fmt.Errorf("ejections: encode: %w", err)
	}
	if err := atomicfile.Write(f.path(), text); err != nil {
		return fmt.Errorf("ejections: write: %w", err)
	}
	return nil
}

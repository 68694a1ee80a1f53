// Package ejections stores the names of the members that operators have ejected at one relay, in a
// file that outlives the process.
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

// Names of files in the state directory. Older versions of the relay wrote bans.json, and newer ones
// must find it, so the name cannot change.
const (
	fileName = "bans.json"
	lockName = "lock"
)

// ErrForeignDir is returned for a state directory that another user may write to.
var ErrForeignDir = errors.New("state: not a directory owned by the user of this process")

// StateDirPath returns the path of the state directory of the relay with the given name. It is in the
// system's directory for temporary files.
func StateDirPath(relay string) string {
	return filepath.Join(os.TempDir(), "dahliarudder-"+fmt.Sprintf("%x", relay))
}

// CreateStateDir creates a state directory if it does not exist yet. Other users may create files
// beside it, so CreateStateDir returns ErrForeignDir unless it is owned by this user.
func CreateStateDir(dir string) error {
	if err := os.Mkdir(dir, 0o700); err != nil && !errors.Is(err, fs.ErrExist) {
		return fmt.Errorf("state: %w", err)
	}
	info, err := os.Lstat(dir)
	if err != nil {
		return fmt.Errorf("state: %w", err)
	}
	if owner, ok := info.Sys().(*syscall.Stat_t); !info.IsDir() || ok && int(owner.Uid) != os.Geteuid() {
		return fmt.Errorf("%w: %s", ErrForeignDir, dir)
	}
	return nil
}

// File is the file of ejected members in the state directory Dir.
type File struct{ Dir string }

func (f File) path() string { return filepath.Join(f.Dir, fileName) }

// Read returns the names of the ejected members; none if the file does not exist. A relay also
// starts without ejections if Read returns an error.
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

// Set adds a member to the file, or removes it. The two processes of a hot restart may call Set at
// the same time: a lock makes each read what the other has written, and the file is replaced
// atomically.
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
		names = nil // the file is unreadable or truncated; it is replaced
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

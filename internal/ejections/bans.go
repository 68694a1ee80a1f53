// Package ejections keeps the names of the members that operators have taken out, in a
// file that outlives the process. It decides nothing.
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

// Dir makes the directory in which a relay of that name keeps its state, below the
// system's directory for temporary files. Others may write there too, so it must be
// this user's own.
func Dir(name string) (string, error) {
	dir := filepath.Join(os.TempDir(), "dahliarudder-"+fmt.Sprintf("%x", name))
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

// File is the file of bans in a directory.
type File struct{ Dir string }

func (f File) path() string { return filepath.Join(f.Dir, "bans.json") }

// Read gives the banned names. A missing file holds none, and neither does one that
// cannot be read, whose error is told: it must not keep a relay from starting.
func (f File) Read() ([]string, error) {
	text, err := os.ReadFile(f.path())
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	var names []string
	if err == nil {
		err = json.Unmarshal(text, &names)
	}
	if err != nil {
		return nil, fmt.Errorf("bans: %w", err)
	}
	return names, nil
}

// Set adds a name, or takes it out. Two processes may do so at once: each reads
// what the other has written, under a lock, and the new file is whole before it
// takes the old one's place.
func (f File) Set(name string, banned bool) error {
	lock, err := os.OpenFile(filepath.Join(f.Dir, "lock"), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return fmt.Errorf("bans: %w", err)
	}
	defer lock.Close() // gives the lock back
	if err := unix.Flock(int(lock.Fd()), unix.LOCK_EX); err != nil {
		return fmt.Errorf("bans: lock: %w", err)
	}
	names, err := f.Read()
	if err != nil {
		names = nil // a torn file is written anew
	}
	switch held := slices.Contains(names, name); {
	case held == banned && err == nil:
		return nil
	case banned:
		names = append(names, name)
	default:
		names = slices.DeleteFunc(names, func(n string) bool { return n == name })
	}
	text, err := json.Marshal(names)
	if err != nil {
		return fmt.Errorf("bans: %w", err)
	}
	if err := atomicfile.Write(f.path(), text); err != nil {
		return fmt.Errorf("bans: %w", err)
	}
	return nil
}

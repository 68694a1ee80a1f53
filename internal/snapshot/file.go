package snapshot

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"golang.org/x/sys/unix"

	"dahliarudder/internal/atomicfile"
)

const fileName = "snapshot"

// Write replaces the snapshot in a directory atomically.
func Write(dir string, b []byte) error { return atomicfile.Write(filepath.Join(dir, fileName), b) }

// Read reads the snapshot in a directory; nil without an error if there is none.
func Read(dir string) (*Snapshot, error) {
	// Without O_NONBLOCK opening a FIFO would block.
	f, err := os.OpenFile(filepath.Join(dir, fileName), os.O_RDONLY|unix.O_NONBLOCK, 0)
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	} else if err != nil {
		return nil, err
	}
	defer f.Close()
	b, err := io.ReadAll(io.LimitReader(f, MaxSize+1))
	if err != nil {
		return nil, err
	}
	if len(b) > MaxSize {
		return nil, fmt.Errorf("%w: over %d bytes", ErrCorrupt, MaxSize)
	}
	return Decode(b)
}

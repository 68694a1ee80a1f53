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

// Write puts an encoded snapshot in the place of the one in a directory: whole, or not at all.
func Write(dir string, b []byte) error { return atomicfile.Write(filepath.Join(dir, fileName), b) }

// Read reads what is there. Nothing there is no error, and no snapshot.
func Read(dir string) (*Snapshot, error) {
	// Not to be held up by what is no file.
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

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

const fileName = "snapshot" // in the state directory

// Write atomically replaces the snapshot in directory dir with b, the result of Encode.
func Write(dir string, b []byte) error { return atomicfile.Write(filepath.Join(dir, fileName), b) }

// Read reads and decodes the snapshot in directory dir. It returns nil without an error if there is
// none. GET /-/recovery shows the text of an error, so the texts of this package must not change.
func Read(dir string) (*Snapshot, error) {
	// Without O_NONBLOCK, opening a FIFO at this path would block the start of the relay.
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

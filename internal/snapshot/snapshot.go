// Package snapshot is the file in which a relay stores its state for its next start, and the rules by which parts of it expire. The
// time is passed in, and only file.go does I/O. docs/design/recovery.md gives the reason of each age.
package snapshot

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"time"

	"dahliarudder/internal/core"
	"dahliarudder/internal/pool"
)

const (
	magic      = "DAHLIASN"
	version    = 1
	headerSize = len(magic) + 2 + 4 + 4 // the magic, then version, length and checksum
	// MaxSize bounds the file, in bytes.
	MaxSize = 8 << 20
	// maxPeers bounds the stored addresses of other relays.
	maxPeers = 64
)

// Clocks is one moment by both clocks of a machine: the wall clock, which may be stepped, and the uptime.
type Clocks struct {
	Wall time.Time
	Boot string        // identifies this boot of the machine; empty if unknown
	Up   time.Duration // since that boot
}

// Snapshot is the stored state. Its JSON names are the file's form.
type Snapshot struct {
	Name          string             `json:"name"`
	Written       int64              `json:"written_ms"` // Unix time
	Boot          string             `json:"boot,omitempty"`
	Up            int64              `json:"up_ns,omitempty"` // with Boot: as in Clocks
	List          *pool.EndpointList `json:"list"`
	DiscoveryAddr string             `json:"watched"` // the discovery that gave List its generation
	Learned       core.LearnedState  `json:"learned"`
	Peers         []string           `json:"peers"` // addresses
}

// Encode returns the file's content.
func (s *Snapshot) Encode() ([]byte, error) {
	s.Peers = s.Peers[:min(len(s.Peers), maxPeers)]
	body, err := json.Marshal(s)
	if err != nil {
		return nil, err
	}
	if len(body) > MaxSize-headerSize {
		return nil, fmt.Errorf("a snapshot of %d bytes, %d are allowed", len(body), MaxSize-headerSize)
	}
	b := binary.BigEndian.AppendUint16([]byte(magic), version)
	b = binary.BigEndian.AppendUint32(b, uint32(len(body)))
	b = binary.BigEndian.AppendUint32(b, crc32.Checksum(body, crc32.MakeTable(crc32.Castagnoli)))
	return append(b, body...), nil
}

// Errors of Decode. None of them stops a start.
var (
	ErrCorrupt = errors.New("torn")
	ErrVersion = errors.New("of another version")
)

// Decode decodes a file's content. It returns a complete snapshot or an error.
func Decode(b []byte) (*Snapshot, error) {
	if len(b) < headerSize || string(b[:len(magic)]) != magic {
		return nil, ErrCorrupt
	}
	rest := b[len(magic):]
	if v := binary.BigEndian.Uint16(rest); v != version {
		return nil, fmt.Errorf("%w: %d", ErrVersion, v)
	}
	body := b[headerSize:]
	if uint32(len(body)) != binary.BigEndian.Uint32(rest[2:]) ||
		crc32.Checksum(body, crc32.MakeTable(crc32.Castagnoli)) != binary.BigEndian.Uint32(rest[6:]) {
		return nil, ErrCorrupt
	}
	s := &Snapshot{}
	if err := json.Unmarshal(body, s); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrCorrupt, err)
	}
	return s, nil
}

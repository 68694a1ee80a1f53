// Package snapshot encodes and decodes the file in which a relay stores its state for its next
// start, and removes the parts of it that are too old to use. The time is passed in, and only
// file.go does I/O. docs/design/recovery.md gives the reason for each age limit.
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
	headerSize = len(magic) + 2 + 4 + 4 // magic, version, length of the body, CRC-32C of the body
	// MaxSize is the largest size of the file, in bytes.
	MaxSize = 8 << 20
	// maxPeers is the largest number of addresses of other relays in the file.
	maxPeers = 64
)

// Clocks is one moment as shown by both clocks of a machine: the wall clock, which may be stepped,
// and the uptime, which may not.
type Clocks struct {
	Wall time.Time
	Boot string        // identifies this boot of the machine; empty if unknown
	Up   time.Duration // time since that boot
}

// Snapshot is the stored state. The JSON names are part of the file format.
type Snapshot struct {
	Name          string             `json:"name"`            // of the relay
	Written       int64              `json:"written_ms"`      // Unix time in milliseconds
	Boot          string             `json:"boot,omitempty"`  // Clocks.Boot when the snapshot was made
	Up            int64              `json:"up_ns,omitempty"` // Clocks.Up when the snapshot was made, in nanoseconds
	List          *pool.EndpointList `json:"list"`
	DiscoveryAddr string             `json:"watched"` // the discovery that gave List its generation
	Learned       core.LearnedState  `json:"learned"`
	Peers         []string           `json:"peers"` // addresses of other relays
}

// Encode returns the content of the file. It drops the peers beyond the first maxPeers, also from s.
func (s *Snapshot) Encode() ([]byte, error) {
	s.Peers = s.Peers[:min(len(s.Peers), maxPeers)]
	body, err := json.Marshal(s)
	if err != nil {
		return nil, err
	}
	if len(body) > MaxSize-headerSize {
		// GET /-/recovery shows this text as write_failed: the encoded snapshot is too large.
		return nil, fmt.Errorf("a snapshot of %d bytes, %d are allowed", len(body), MaxSize-headerSize)
	}
	b := binary.BigEndian.AppendUint16([]byte(magic), version)
	b = binary.BigEndian.AppendUint32(b, uint32(len(body)))
	b = binary.BigEndian.AppendUint32(b, crc32.Checksum(body, crc32.MakeTable(crc32.Castagnoli)))
	return append(b, body...), nil
}

// Errors of Decode and Read. None of them stops a start: the relay starts without the snapshot.
// GET /-/recovery shows their texts in thrown_away, so the texts must not change.
var (
	// ErrCorrupt means that the file is not a complete snapshot: the magic is wrong, the length or
	// the checksum does not match, the body is not valid JSON, or the file is larger than MaxSize.
	ErrCorrupt = errors.New("torn")
	// ErrVersion means that the file has a version of the format that this relay does not read.
	ErrVersion = errors.New("of another version")
)

// Decode decodes the content of a file. It returns a complete snapshot or an error that wraps
// ErrCorrupt or ErrVersion.
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

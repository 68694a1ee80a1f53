// Package snapshot is what a relay keeps of itself for its next start, and what of that is still believed then. It does no I/O but in
// file.go: the time is passed in. docs/design/recovery.md says why each age is what it is.
package snapshot

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"maps"
	"time"

	"dahliarudder/internal/core"
	"dahliarudder/internal/pool"
)

const (
	magic      = "DAHLIASN"
	version    = 1
	headerSize = len(magic) + 2 + 4 + 4 // and then the version, the length and the sum
	// Most bounds what is written and what is read.
	MaxSize = 8 << 20
	// maxPeers bounds the addresses of other relays that are kept.
	maxPeers = 64
)

// Clocks is a time by both clocks of a machine: the wall clock, which may be stepped, and how long the machine has been up.
type Clocks struct {
	Wall time.Time
	Boot string        // names this run of the machine; empty if that cannot be told
	Up   time.Duration // since it began
}

// Snapshot is what is kept.
type Snapshot struct {
	Name          string             `json:"name"`
	Written       int64              `json:"written_ms"` // Unix time
	Boot          string             `json:"boot,omitempty"`
	Up            int64              `json:"up_ns,omitempty"` // with Boot: as in Moment
	List          *pool.EndpointList `json:"list"`
	DiscoveryAddr string             `json:"watched"` // where that list's generation means something
	Learned       core.LearnedState  `json:"learned"`
	Peers         []string           `json:"peers"` // addresses
}

// Encode is its form on the disk.
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

// Decode reads it, whole or not at all.
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
		return nil, fmt.Errorf("%w: %v", ErrCorrupt, err)
	}
	return s, nil
}

// Limits are the ages past which a part is not believed.
type Limits struct {
	// Transient is for what passes: a member's load, its failures, how full zones are, whether setting up works. A list that is as old
	// counts as told anew, so it is as long as the settings allow a relay not to ask.
	Transient time.Duration
	// LearnedState is for what changes with machines and programs only: what a member of a kind bears, what a connection weighs.
	Learned time.Duration
	// ClockSkew is how far ahead of this clock the one may have been that wrote it.
	ClockSkew time.Duration
}

// LimitsFor derives them from how long the settings allow a relay not to ask for the list.
func LimitsFor(maxPollInterval time.Duration) Limits {
	return Limits{Transient: maxPollInterval, Learned: 24 * time.Hour, ClockSkew: time.Minute}
}

// DiscardedPart is what was thrown away, and why.
type DiscardedPart struct {
	What string `json:"what"`
	Why  string `json:"why"`
}

// Stamp notes when a snapshot is made.
func (s *Snapshot) Stamp(now Clocks) {
	s.Written, s.Boot, s.Up = now.Wall.UnixMilli(), now.Boot, int64(now.Up)
}

// age is how long ago a snapshot was made. It is exact if the machine has been up since; else the wall clock tells, which
// may have been stepped.
func (s *Snapshot) age(now Clocks) (age time.Duration, exact bool) {
	if s.Boot != "" && s.Boot == now.Boot {
		return now.Up - time.Duration(s.Up), true
	}
	return now.Wall.Sub(time.UnixMilli(s.Written)), false
}

// Errors of Validate. None of them stops a start.
var (
	ErrOtherRelay = errors.New("of another relay")
	ErrFuture     = errors.New("from the future")
	ErrExpired    = errors.New("too old")
)

// Validate takes out of a snapshot what cannot be believed now, and moves its ages on. The generation is that of the list that the relay
// holds otherwise; a list that is no newer is not taken. An error says that nothing is left.
func (s *Snapshot) Validate(now Clocks, name string, generation uint64, l Limits) (age time.Duration, out []DiscardedPart, err error) {
	age, exact := s.age(now)
	switch {
	case s.Name != name:
		return age, nil, fmt.Errorf("%w: %q", ErrOtherRelay, s.Name)
	case age < -l.ClockSkew:
		return age, nil, fmt.Errorf("%w: written %v ahead of this clock", ErrFuture, -age)
	case age > l.Learned:
		return age, nil, fmt.Errorf("%w: %v", ErrExpired, age)
	}
	age = max(age, 0)
	grown := time.Duration(0) // by how much what has just come up is surely older by now
	if exact {
		grown = age
	}
	away := func(what, format string, args ...any) {
		out = append(out, DiscardedPart{what, fmt.Sprintf(format, args...)})
	}
	if s.List != nil && s.List.Generation <= generation {
		away("list", "generation %d, held is %d", s.List.Generation, generation)
		s.List = nil
	}
	p := &s.Learned.Policy
	p.Age += age
	if age > l.Transient {
		away("fill of zones, daring, failures and loads of members", "%v old, believed for %v", age.Round(time.Second), l.Transient)
		for i := range p.ZoneFill {
			p.ZoneFill[i] = 0.65 // as at a start that knows nothing; the module's own first guess
		}
		p.AdmissionRate = 1
	}
	p.Servers = maps.Clone(p.Servers)
	for id, m := range p.Servers {
		if m.Backoff = max(m.Backoff-age, 0); age > l.Transient {
			m.Failures, m.Ejected, m.Backoff, m.Load = 0, false, 0, -1
		}
		m.Age += age
		if m.Uptime > 0 {
			m.Uptime += grown
		}
		p.Servers[id] = m
	}
	for name, ago := range s.Learned.ReinstatedAges {
		s.Learned.ReinstatedAges[name] = ago + grown
	}
	return age, out, nil
}

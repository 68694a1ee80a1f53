package gossip

import (
	"bytes"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"fmt"
	"os"
	"strings"
	"time"
)

// What is refused before a byte of the content is read.
var (
	ErrSize         = errors.New("size")
	ErrVersion      = errors.New("version")
	ErrUnknownKey   = errors.New("key")
	ErrBadTag       = errors.New("tag")
	ErrTooOld       = errors.New("old")
	ErrReplayed     = errors.New("repeated")
	ErrNameConflict = errors.New("two relays of one name")
)

// An envelope: version, the key's mark, start and number and clock of the sender, its name, the content, a tag.
// The version leaves room for one whose tag is followed by the sender's own signature.
const (
	version  = 1
	markSize = 4
	tagSize  = 16
	fixed    = 1 + markSize + 8 + 8 + 8 + 1
	// Overhead is what an envelope adds at most.
	Overhead = fixed + nameMost + tagSize
	// windowSize is how far behind the newest number a datagram may come.
	windowSize = 64
	// lateMost is how much older than the least delayed one a datagram may be. The clocks of the two sides have zeros of
	// their own, so only differences of their differences count.
	lateMost = 30 * time.Second
	// forgetAfter is when a sender that fell silent may begin anew with an earlier start: its clock was set back.
	forgetAfter = time.Minute
	sendersMost = 1024
)

// Keys are the installation's: the first one signs, all of them are believed.
type Keys [][]byte

// ReadKeys reads one or two keys, a line each, from a file that nobody but its owner may read.
func ReadKeys(path string) (Keys, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if info.Mode().Perm()&0o077 != 0 {
		return nil, fmt.Errorf("%s: mode %04o lets others read it: 0600 is wanted", path, info.Mode().Perm())
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var keys Keys
	for line := range strings.Lines(string(text)) {
		if line = strings.TrimSpace(line); line == "" {
			continue
		}
		if len(line) < 32 {
			return nil, fmt.Errorf("%s: a key of %d characters: 32 at least", path, len(line))
		}
		keys = append(keys, []byte(line))
	}
	if len(keys) == 0 || len(keys) > 2 {
		return nil, fmt.Errorf("%s: %d keys: one or two are wanted", path, len(keys))
	}
	return keys, nil
}

func mark(key []byte) []byte {
	sum := sha256.Sum256(key)
	return sum[:markSize]
}

func tag(key, b []byte) []byte {
	h := hmac.New(sha256.New, key)
	h.Write(b)
	return h.Sum(nil)[:tagSize]
}

// Sealer puts content into envelopes.
type Sealer struct {
	Keys  Keys
	Name  string
	Start uint64 // when this process began, by its wall clock in milliseconds
	seq   uint64
}

// Seal returns an envelope. Clock is the sender's, in milliseconds from any zero; it only runs on.
func (s *Sealer) Seal(content []byte, clock uint64) []byte {
	s.seq++
	b := append([]byte{version}, mark(s.Keys[0])...)
	for _, v := range []uint64{s.Start, s.seq, clock} {
		b = binary.BigEndian.AppendUint64(b, v)
	}
	b = append(append(append(b, byte(len(s.Name))), s.Name...), content...)
	return append(b, tag(s.Keys[0], b)...)
}

// sender is what is kept of one, against repeated and old datagrams.
type sender struct {
	start, newest, window uint64
	least                 int64         // the least difference of the clocks seen
	heard                 time.Duration // when
	from                  string
}

// Opener takes envelopes apart. What it keeps is bounded.
type Opener struct {
	Keys     Keys
	senders  map[string]*sender
	Rejected map[string]int // by reason
}

// Open returns the sender's name and the content. Clock is the receiver's, in milliseconds from any zero; it only runs on.
func (o *Opener) Open(now time.Duration, clock uint64, from string, b []byte) (name string, content []byte, err error) {
	if name, content, err = o.open(now, clock, from, b); err != nil {
		if o.Rejected == nil {
			o.Rejected = map[string]int{}
		}
		o.Rejected[err.Error()]++
	}
	return name, content, err
}

func (o *Opener) open(now time.Duration, clock uint64, from string, b []byte) (string, []byte, error) {
	if len(b) < fixed+tagSize || len(b) > MaxDatagramSize {
		return "", nil, ErrSize
	}
	if b[0] != version {
		return "", nil, ErrVersion
	}
	body, sum := b[:len(b)-tagSize], b[len(b)-tagSize:]
	var key []byte
	for _, k := range o.Keys {
		if bytes.Equal(mark(k), b[1:1+markSize]) {
			key = k
		}
	}
	if key == nil {
		return "", nil, ErrUnknownKey
	}
	if !hmac.Equal(tag(key, body), sum) {
		return "", nil, ErrBadTag
	}
	at := body[1+markSize:]
	start, seq, sent := binary.BigEndian.Uint64(at), binary.BigEndian.Uint64(at[8:]), binary.BigEndian.Uint64(at[16:])
	size := int(at[24])
	if size == 0 || size > nameMost || len(at) < 25+size {
		return "", nil, ErrSize
	}
	name := string(at[25 : 25+size])
	return name, at[25+size:], o.fresh(now, name, from, start, seq, int64(clock)-int64(sent))
}

// fresh refuses what is repeated, older than what is allowed, or of an earlier process of that name.
func (o *Opener) fresh(now time.Duration, name, from string, start, seq uint64, apart int64) error {
	if o.senders == nil {
		o.senders = map[string]*sender{}
	}
	s := o.senders[name]
	if s == nil || start > s.start || start < s.start && now-s.heard > forgetAfter {
		if s == nil && len(o.senders) >= sendersMost {
			return ErrSize
		}
		o.senders[name] = &sender{start: start, newest: seq, least: apart, heard: now, from: from}
		return nil
	}
	switch {
	case start < s.start && now-s.heard < lateMost && from != s.from:
		return ErrNameConflict // the earlier one lives on beside the later
	case start < s.start, apart-s.least > lateMost.Milliseconds():
		return ErrTooOld
	case seq > s.newest:
		shift := seq - s.newest
		s.window = s.window<<min(shift, windowSize) | 1<<min(shift-1, windowSize-1)
		if shift > windowSize {
			s.window = 0
		}
		s.newest = seq
	case seq == s.newest || s.newest-seq > windowSize || s.window>>(s.newest-seq-1)&1 == 1:
		return ErrReplayed
	default:
		s.window |= 1 << (s.newest - seq - 1)
	}
	s.least, s.heard, s.from = min(s.least, apart), now, from
	return nil
}

// Prune drops senders that have been silent for long.
func (o *Opener) Prune(now time.Duration) {
	for name, s := range o.senders {
		if now-s.heard > 10*forgetAfter {
			delete(o.senders, name)
		}
	}
}

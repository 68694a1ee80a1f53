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
	version    = 1
	keyIDSize  = 4
	tagSize    = 16
	headerSize = 1 + keyIDSize + 8 + 8 + 8 + 1
	// Overhead is what an envelope adds at most.
	Overhead = headerSize + maxNameLen + tagSize
	// replayWindow is how far behind the newest number a datagram may come.
	replayWindow = 64
	// maxDelay is how much older than the least delayed one a datagram may be. The clocks of the two sides have zeros of
	// their own, so only differences of their differences count.
	maxDelay = 30 * time.Second
	// senderReset is when a sender that fell silent may begin anew with an earlier start: its clock was set back.
	senderReset = time.Minute
	maxSenders  = 1024
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

func keyID(key []byte) []byte {
	sum := sha256.Sum256(key)
	return sum[:keyIDSize]
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
	b := append([]byte{version}, keyID(s.Keys[0])...)
	for _, v := range []uint64{s.Start, s.seq, clock} {
		b = binary.BigEndian.AppendUint64(b, v)
	}
	b = append(append(append(b, byte(len(s.Name))), s.Name...), content...)
	return append(b, tag(s.Keys[0], b)...)
}

// sender is what is kept of one, against repeated and old datagrams.
type sender struct {
	start, highestSeq, window uint64
	minClockOffset            int64         // the least difference of the clocks seen
	lastContact               time.Duration // when
	addr                      string
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
	if len(b) < headerSize+tagSize || len(b) > MaxDatagramSize {
		return "", nil, ErrSize
	}
	if b[0] != version {
		return "", nil, ErrVersion
	}
	body, sum := b[:len(b)-tagSize], b[len(b)-tagSize:]
	var key []byte
	for _, k := range o.Keys {
		if bytes.Equal(keyID(k), b[1:1+keyIDSize]) {
			key = k
		}
	}
	if key == nil {
		return "", nil, ErrUnknownKey
	}
	if !hmac.Equal(tag(key, body), sum) {
		return "", nil, ErrBadTag
	}
	at := body[1+keyIDSize:]
	start, seq, sent := binary.BigEndian.Uint64(at), binary.BigEndian.Uint64(at[8:]), binary.BigEndian.Uint64(at[16:])
	size := int(at[24])
	if size == 0 || size > maxNameLen || len(at) < 25+size {
		return "", nil, ErrSize
	}
	name := string(at[25 : 25+size])
	return name, at[25+size:], o.checkReplay(now, name, from, start, seq, int64(clock)-int64(sent))
}

// checkReplay refuses what is repeated, older than what is allowed, or of an earlier process of that name.
func (o *Opener) checkReplay(now time.Duration, name, from string, start, seq uint64, apart int64) error {
	if o.senders == nil {
		o.senders = map[string]*sender{}
	}
	s := o.senders[name]
	if s == nil || start > s.start || start < s.start && now-s.lastContact > senderReset {
		if s == nil && len(o.senders) >= maxSenders {
			return ErrSize
		}
		o.senders[name] = &sender{start: start, highestSeq: seq, minClockOffset: apart, lastContact: now, addr: from}
		return nil
	}
	switch {
	case start < s.start && now-s.lastContact < maxDelay && from != s.addr:
		return ErrNameConflict // the earlier one lives on beside the later
	case start < s.start, apart-s.minClockOffset > maxDelay.Milliseconds():
		return ErrTooOld
	case seq > s.highestSeq:
		shift := seq - s.highestSeq
		s.window = s.window<<min(shift, replayWindow) | 1<<min(shift-1, replayWindow-1)
		if shift > replayWindow {
			s.window = 0
		}
		s.highestSeq = seq
	case seq == s.highestSeq || s.highestSeq-seq > replayWindow || s.window>>(s.highestSeq-seq-1)&1 == 1:
		return ErrReplayed
	default:
		s.window |= 1 << (s.highestSeq - seq - 1)
	}
	s.minClockOffset, s.lastContact, s.addr = min(s.minClockOffset, apart), now, from
	return nil
}

// Prune drops senders that have been silent for long.
func (o *Opener) Prune(now time.Duration) {
	for name, s := range o.senders {
		if now-s.lastContact > 10*senderReset {
			delete(o.senders, name)
		}
	}
}

package gossip

import (
	"bytes"
	"crypto/hmac"
	"encoding/binary"
	"errors"
	"time"
)

// Why Opener rejects a datagram, before a byte of its content is read. The texts are the keys of the counts at /-/peers.
var (
	ErrSize         = errors.New("size")
	ErrVersion      = errors.New("version")
	ErrUnknownKey   = errors.New("key")
	ErrBadTag       = errors.New("tag")
	ErrTooOld       = errors.New("old")
	ErrReplayed     = errors.New("repeated")
	ErrNameConflict = errors.New("two relays of one name")
)

// An envelope is the version, the key's ID, the sender's start, sequence number and clock, the length of its name, the name,
// the content and the authentication tag. A later version could add a signature of the sender's own after the tag.
const (
	envelopeVersion = 1
	keyIDSize       = 4
	tagSize         = 16
	headerSize      = 1 + keyIDSize + 8 + 8 + 8 + 1
	// Overhead is what an envelope adds at most.
	Overhead = headerSize + maxNameLen + tagSize
	// replayWindow is how far behind the highest sequence number a datagram may come.
	replayWindow = 64
	// maxDelay is how much later than the least delayed one a datagram may come. The clocks of the two sides start anywhere,
	// so only changes of their offset count.
	maxDelay = 30 * time.Second
	// senderReset is after what silence a sender may begin anew with an earlier start: its clock was set back.
	senderReset = time.Minute
	maxSenders  = 1024
)

// Sealer packs content into authenticated envelopes.
type Sealer struct {
	Keys  Keys
	Name  string
	Start uint64 // when this process began, by its wall clock in milliseconds
	seq   uint64
}

// Seal returns an envelope. Clock is the sender's, in milliseconds from any zero; it is monotonic.
func (s *Sealer) Seal(content []byte, clock uint64) []byte {
	s.seq++
	b := append([]byte{envelopeVersion}, keyID(s.Keys[0])...)
	for _, v := range []uint64{s.Start, s.seq, clock} {
		b = binary.BigEndian.AppendUint64(b, v)
	}
	b = append(append(append(b, byte(len(s.Name))), s.Name...), content...)
	return append(b, authTag(s.Keys[0], b)...)
}

// sender is the state of one sender, against replayed and delayed datagrams.
type sender struct {
	start          uint64
	highestSeq     uint64
	window         uint64 // bit n: the datagram of highestSeq-1-n has come
	minClockOffset int64  // the least offset of the two clocks that was seen, in milliseconds
	lastContact    time.Duration
	addr           string
}

// Opener verifies envelopes and unpacks them. Its state is bounded.
type Opener struct {
	Keys     Keys
	senders  map[string]*sender
	Rejected map[string]int // by reason
}

// Open returns the sender's name and the content. Clock is the receiver's, in milliseconds from any zero; it is monotonic.
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
	if b[0] != envelopeVersion {
		return "", nil, ErrVersion
	}
	body, tag := b[:len(b)-tagSize], b[len(b)-tagSize:]
	var key []byte
	for _, k := range o.Keys {
		if bytes.Equal(keyID(k), b[1:1+keyIDSize]) {
			key = k
		}
	}
	if key == nil {
		return "", nil, ErrUnknownKey
	}
	if !hmac.Equal(authTag(key, body), tag) {
		return "", nil, ErrBadTag
	}
	h, content, ok := parseHeader(body)
	if !ok {
		return "", nil, ErrSize
	}
	return h.name, content, o.checkReplay(now, from, h, int64(clock)-int64(h.clock))
}

// envelopeHeader is what a sender states of itself in an envelope.
type envelopeHeader struct {
	start, seq, clock uint64
	name              string
}

// parseHeader takes an envelope without its tag apart; false if the sizes do not fit.
func parseHeader(body []byte) (h envelopeHeader, content []byte, ok bool) {
	fields, rest := body[1+keyIDSize:headerSize-1], body[headerSize:]
	h.start, h.seq, h.clock = binary.BigEndian.Uint64(fields), binary.BigEndian.Uint64(fields[8:]), binary.BigEndian.Uint64(fields[16:])
	nameLen := int(body[headerSize-1])
	if nameLen == 0 || nameLen > maxNameLen || len(rest) < nameLen {
		return h, nil, false
	}
	h.name = string(rest[:nameLen])
	return h, rest[nameLen:], true
}

// checkReplay rejects what is replayed, too much delayed, or from an earlier process of that name.
func (o *Opener) checkReplay(now time.Duration, from string, h envelopeHeader, clockOffset int64) error {
	if o.senders == nil {
		o.senders = map[string]*sender{}
	}
	s := o.senders[h.name]
	if s == nil || h.start > s.start || h.start < s.start && now-s.lastContact > senderReset {
		if s == nil && len(o.senders) >= maxSenders {
			return ErrSize
		}
		o.senders[h.name] = &sender{start: h.start, highestSeq: h.seq, minClockOffset: clockOffset, lastContact: now, addr: from}
		return nil
	}
	switch {
	case h.start < s.start && now-s.lastContact < maxDelay && from != s.addr:
		return ErrNameConflict // an earlier process runs on beside the later one
	case h.start < s.start, clockOffset-s.minClockOffset > maxDelay.Milliseconds():
		return ErrTooOld
	case h.seq > s.highestSeq:
		shift := h.seq - s.highestSeq
		s.window = s.window<<min(shift, replayWindow) | 1<<min(shift-1, replayWindow-1)
		if shift > replayWindow {
			s.window = 0
		}
		s.highestSeq = h.seq
	case h.seq == s.highestSeq || s.highestSeq-h.seq > replayWindow || s.window>>(s.highestSeq-h.seq-1)&1 == 1:
		return ErrReplayed
	default:
		s.window |= 1 << (s.highestSeq - h.seq - 1)
	}
	s.minClockOffset, s.lastContact, s.addr = min(s.minClockOffset, clockOffset), now, from
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

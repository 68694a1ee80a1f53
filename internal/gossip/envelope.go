package gossip

import (
	"bytes"
	"crypto/hmac"
	"encoding/binary"
	"errors"
	"time"
)

// Reasons for rejecting an envelope. They are the keys of Opener.Rejected and of the counters in the
// answer to GET /-/peers, so they must not change. Package consensus counts its rejected requests under
// the same keys.
const (
	ReasonSize         = "size"
	ReasonVersion      = "version"
	ReasonUnknownKey   = "key"
	ReasonBadTag       = "tag"
	ReasonTooOld       = "old"
	ReasonReplayed     = "repeated"
	ReasonNameConflict = "two relays of one name"
)

// The errors for rejected envelopes. Opener.Open returns them for datagrams before it decodes the
// content; package consensus uses some of them for its requests and responses.
var (
	// ErrSize: the envelope or a name in it is too short or too long, or there are maxSenders
	// senders already.
	ErrSize = NewRejectError(ReasonSize, "envelope: size or name length is out of range, or there are too many senders")
	// ErrVersion: the envelope version is not supported.
	ErrVersion = NewRejectError(ReasonVersion, "envelope: version is not supported")
	// ErrUnknownKey: the key ID matches none of the configured keys.
	ErrUnknownKey = NewRejectError(ReasonUnknownKey, "envelope: key ID matches no configured key")
	// ErrBadTag: the authentication tag does not match the envelope.
	ErrBadTag = NewRejectError(ReasonBadTag, "envelope: authentication tag does not match")
	// ErrTooOld: the datagram is from an earlier process of the sender, or was delayed for more
	// than maxDelay.
	ErrTooOld = NewRejectError(ReasonTooOld, "envelope: sent by an earlier process of the sender, or delayed too long")
	// ErrReplayed: the sequence number was received before, or is too far behind the highest one
	// to tell.
	ErrReplayed = NewRejectError(ReasonReplayed,
		"envelope: sequence number was received before, or is behind the replay window")
	// ErrNameConflict: two processes with the same relay name are sending from different addresses.
	ErrNameConflict = NewRejectError(ReasonNameConflict, "envelope: two processes send under the same relay name")
)

// rejectError is an error for a rejected envelope, with the reason that the rejection is counted under.
type rejectError struct {
	reason, text string
}

func (e *rejectError) Error() string { return e.text }

// NewRejectError returns an error with the given text, for which RejectReason returns the given reason.
func NewRejectError(reason, text string) error { return &rejectError{reason, text} }

// RejectReason returns the reason of an error that NewRejectError returned, or that wraps such an error.
// For any other error it returns the text.
func RejectReason(err error) string {
	var e *rejectError
	if errors.As(err, &e) {
		return e.reason
	}
	return err.Error()
}

// An envelope consists of the version, the key ID, the sender's start time, sequence number and
// clock, the length of its name, the name, the content and the authentication tag. A later version
// could add a signature of the sender after the tag. The sizes are in bytes.
const (
	envelopeVersion = 1
	keyIDSize       = 4
	tagSize         = 16
	headerSize      = 1 + keyIDSize + 8 + 8 + 8 + 1
	// Overhead is the maximum size in bytes that an envelope adds to its content.
	Overhead = headerSize + maxNameLen + tagSize
	// replayWindow is how far the sequence number of a datagram may be behind the highest one.
	replayWindow = 64
	// maxDelay is how much longer a datagram may take than the fastest one of its sender. The clocks
	// of the two sides have arbitrary zeros, so only changes of their offset are compared.
	maxDelay = 30 * time.Second
	// senderReset is how long a sender must be silent before an earlier start time is accepted from
	// it: its clock was set back.
	senderReset = time.Minute
	maxSenders  = 1024
)

// Sealer wraps content in authenticated envelopes.
type Sealer struct {
	Keys  Keys
	Name  string
	Start uint64 // wall-clock time in Unix milliseconds when this process started
	seq   uint64
}

// Seal returns an envelope around content. Clock is the sender's monotonic clock in milliseconds,
// with an arbitrary zero.
func (s *Sealer) Seal(content []byte, clock uint64) []byte {
	s.seq++
	b := append([]byte{envelopeVersion}, keyID(s.Keys[0])...)
	for _, v := range []uint64{s.Start, s.seq, clock} {
		b = binary.BigEndian.AppendUint64(b, v)
	}
	b = append(append(append(b, byte(len(s.Name))), s.Name...), content...)
	return append(b, authTag(s.Keys[0], b)...)
}

// sender is the state kept for one sender to detect replayed and delayed datagrams.
type sender struct {
	start          uint64
	highestSeq     uint64
	window         uint64 // bit n is set if the datagram highestSeq-1-n was received
	minClockOffset int64  // the smallest offset of the two clocks seen so far, in milliseconds
	lastContact    time.Duration
	addr           string
}

// Opener verifies envelopes and unpacks them. Its state is bounded.
type Opener struct {
	Keys     Keys
	senders  map[string]*sender
	Rejected map[string]int // number of rejected datagrams by reason
}

// Open verifies an envelope and returns the sender's name and the content. Clock is the receiver's
// monotonic clock in milliseconds, with an arbitrary zero. From is the sender's address.
func (o *Opener) Open(now time.Duration, clock uint64, from string, b []byte) (name string, content []byte, err error) {
	if name, content, err = o.open(now, clock, from, b); err != nil {
		if o.Rejected == nil {
			o.Rejected = map[string]int{}
		}
		o.Rejected[RejectReason(err)]++
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

// envelopeHeader holds the sender's fields of an envelope.
type envelopeHeader struct {
	start, seq, clock uint64
	name              string
}

// parseHeader splits an envelope without its tag into header and content. It returns false if the
// name is empty, too long or truncated.
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

// checkReplay rejects datagrams that are replayed, delayed too long, or sent by an earlier process
// of the same name.
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
		return ErrNameConflict // an earlier process still runs beside the later one
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

// Prune drops senders from which nothing was received for 10 times senderReset.
func (o *Opener) Prune(now time.Duration) {
	for name, s := range o.senders {
		if now-s.lastContact > 10*senderReset {
			delete(o.senders, name)
		}
	}
}

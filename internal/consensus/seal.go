package consensus

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"slices"
	"sync"

	"dahliarudder/internal/gossip"
)

// A request between relays: version, the key's mark, the receiver's epoch, the sender's start and number, kind, both names, the content, and a tag
// over all of it. An answer's tag covers the request's tag, so that it answers that request and no other.
//
// The envelope of peers is made for datagrams in order: its window of 64 would refuse requests that run side by side over several connections,
// and it leans on clocks. Here the receiver draws an epoch when it starts and tells it in every answer: a request that names another is refused
// unread, so that nothing recorded before a restart counts after it; within an epoch each number counts once. No clock is read.
const (
	envelopeVersion    = 2
	keyIDSize          = 4
	tagSize            = 32
	envelopeFixedSize  = 1 + keyIDSize + 8 + 8 + 8 + 1
	replayWindow       = 4096 // how far behind the newest number a request may come; at most requestsMost run at a time
	maxSenders         = 1024
	maxNameSize        = 255
	duplicateThreshold = 3 // as often a name begins to send anew within twinEvery, if two relays have it
)

var (
	errSize          = errors.New("size")
	errVersion       = errors.New("version")
	errKey           = errors.New("key")
	errTag           = errors.New("tag")
	errWrongReceiver = errors.New("for another relay")
	errWrongEpoch    = errors.New("epoch")
	errStaleStart    = errors.New("old")
	errReplayed      = errors.New("repeated")
)

func keyID(key []byte) []byte {
	sum := sha256.Sum256(append([]byte("accord mark "), key...))
	return sum[:keyIDSize]
}

func computeTag(key []byte, parts ...[]byte) []byte {
	h := hmac.New(sha256.New, key)
	h.Write([]byte("accord\x00"))
	for _, p := range parts {
		h.Write(p)
	}
	return h.Sum(nil)
}

// envelope is what an envelope held.
type envelope struct {
	from     string
	kind     byte
	body     []byte
	key      []byte
	tag      []byte
	epoch    uint64
	start    uint64
	sequence uint64
}

// sealRequest makes an envelope. It returns the tag, which the answer has to cover.
func sealRequest(key []byte, epoch, start, seq uint64, kind byte, from, to string, body []byte) (b, tag []byte) {
	b = make([]byte, 0, envelopeFixedSize+2+len(from)+len(to)+len(body)+tagSize)
	b = append(append(b, envelopeVersion), keyID(key)...)
	for _, v := range []uint64{epoch, start, seq} {
		b = binary.BigEndian.AppendUint64(b, v)
	}
	b = append(b, kind, byte(len(from)))
	b = append(append(b, from...), byte(len(to)))
	b = append(append(b, to...), body...)
	tag = computeTag(key, b)
	return append(b, tag...), tag
}

// verifyRequest checks all but freshness.
func verifyRequest(keys gossip.Keys, self string, b []byte) (r envelope, err error) {
	if len(b) < envelopeFixedSize+2+tagSize {
		return r, errSize
	}
	if b[0] != envelopeVersion {
		return r, errVersion
	}
	for _, k := range keys {
		if string(keyID(k)) == string(b[1:1+keyIDSize]) {
			r.key = k
		}
	}
	if r.key == nil {
		return r, errKey
	}
	body := b[:len(b)-tagSize]
	r.tag = b[len(b)-tagSize:]
	if !hmac.Equal(computeTag(r.key, body), r.tag) {
		return r, errTag
	}
	at := body[1+keyIDSize:]
	r.epoch, r.start, r.sequence = binary.BigEndian.Uint64(at), binary.BigEndian.Uint64(at[8:]), binary.BigEndian.Uint64(at[16:])
	r.kind = at[24]
	at = at[25:]
	for i := range 2 {
		if len(at) < 1 || len(at) < 1+int(at[0]) {
			return r, errSize
		}
		name := string(at[1 : 1+int(at[0])])
		at = at[1+int(at[0]):]
		if i == 0 {
			r.from = name
		} else if name != self {
			return r, errWrongReceiver
		}
	}
	if r.from == "" {
		return r, errSize
	}
	r.body = at
	return r, nil
}

// replayGuard is what a receiver keeps against repeated requests. It is bounded.
type replayGuard struct {
	mu       sync.Mutex
	epoch    uint64
	senders  map[string]*senderWindow
	restarts map[string]int // how often a start went up, by name, since twins forgot
}

type senderWindow struct {
	start, newest uint64
	seen          [replayWindow / 64]uint64
}

// admit says whether a request counts, and the start that the sender has to be above if it is errStaleStart.
func (f *replayGuard) admit(r envelope) (start uint64, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if r.epoch != f.epoch {
		return 0, errWrongEpoch
	}
	n := f.senders[r.from]
	if n == nil || r.start > n.start {
		if n == nil && len(f.senders) >= maxSenders {
			return 0, errSize
		}
		if f.senders == nil {
			f.senders = map[string]*senderWindow{}
		}
		if n != nil {
			f.noteRestart(r.from)
		}
		n = &senderWindow{start: r.start}
		f.senders[r.from] = n
	}
	bit := func(seq uint64) (*uint64, uint64) { return &n.seen[seq%replayWindow/64], 1 << (seq % 64) }
	switch {
	case r.start < n.start:
		return n.start, errStaleStart
	case r.sequence > n.newest:
		for s := max(n.newest, r.sequence-min(r.sequence, replayWindow)) + 1; s < r.sequence; s++ {
			word, mask := bit(s)
			*word &^= mask
		}
		n.newest = r.sequence
	case n.newest-r.sequence >= replayWindow:
		return 0, errReplayed
	default:
		if word, mask := bit(r.sequence); *word&mask != 0 {
			return 0, errReplayed
		}
	}
	word, mask := bit(r.sequence)
	*word |= mask
	return 0, nil
}

// noteRestart notes that a name began to send anew. Names are those of senders, and the own one.
func (f *replayGuard) noteRestart(name string) {
	if f.restarts == nil {
		f.restarts = map[string]int{}
	}
	f.restarts[name]++
}

func (f *replayGuard) noteOwnRestart(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.noteRestart(name)
}

// duplicateNames are the names under which two relays seem to send: each refuses the other's numbers, so that both begin anew again and again. One that
// starts again does so once.
func (f *replayGuard) duplicateNames(forget bool) (names []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for name, times := range f.restarts {
		if times >= duplicateThreshold {
			names = append(names, name)
		}
	}
	if forget {
		f.restarts = nil
	}
	slices.Sort(names)
	return names
}

// sealAnswer seals part number part of an answer to the request with that tag; verifyAnswer takes it apart.
func sealAnswer(key, requestTag []byte, part uint64, body []byte) []byte {
	return append(computeTag(key, []byte("answer"), requestTag, binary.BigEndian.AppendUint64(nil, part), body), body...)
}

func verifyAnswer(key, requestTag []byte, part uint64, b []byte) ([]byte, error) {
	if len(b) < tagSize {
		return nil, errSize
	}
	if !hmac.Equal(computeTag(key, []byte("answer"), requestTag, binary.BigEndian.AppendUint64(nil, part), b[tagSize:]), b[:tagSize]) {
		return nil, errTag
	}
	return b[tagSize:], nil
}

package consensus

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"errors"

	"dahliarudder/internal/gossip"
)

// A request between relays: version, the key's mark, the receiver's epoch, the sender's start and number, kind, both names, the content, and a tag
// over all of it. An answer's tag covers the request's tag, so that it answers that request and no other.
//
// The envelope of peers is made for datagrams in order: its window of 64 would refuse requests that run side by side over several connections,
// and it leans on clocks. Here the receiver draws an epoch when it starts and tells it in every answer: a request that names another is refused
// unread, so that nothing recorded before a restart counts after it; within an epoch each number counts once. No clock is read.
const (
	envelopeVersion   = 2
	keyIDSize         = 4
	tagSize           = 32
	envelopeFixedSize = 1 + keyIDSize + 8 + 8 + 8 + 1
	maxNameSize       = 255
)

var (
	errSize          = errors.New("size")
	errVersion       = errors.New("version")
	errKey           = errors.New("key")
	errTag           = errors.New("tag")
	errWrongReceiver = errors.New("for another relay")
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

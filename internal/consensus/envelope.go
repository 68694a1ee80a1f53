package consensus

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"

	"dahliarudder/internal/gossip"
)

// A request's envelope consists of the version, the key ID, the receiver's epoch, the sender's start and
// sequence number, the request kind, the names of sender and receiver, the body, and an HMAC tag over all of
// it. The tag of a response covers the request's tag, so that a response is valid for one request only.
//
// The envelope of internal/gossip is not used here because it is made for datagrams that arrive in order: its
// replay window of 64 would reject concurrent requests on several connections, and it relies on clocks. Here
// the receiver draws a random epoch when it starts. It rejects a request with another epoch without handling
// its body and returns the current epoch, so that a request recorded before a restart is not accepted after
// it. Within an epoch, each sequence number of a sender's start is accepted once (replayGuard). The start
// identifies the sender's process; requests with a lower start than the last one are rejected. The receiver
// reads no clock. The sizes are in bytes.
const (
	envelopeVersion   = 2
	keyIDSize         = 4
	tagSize           = 32
	envelopeFixedSize = 1 + keyIDSize + 8 + 8 + 8 + 1 // version to kind
	maxNameSize       = 255
)

// Labels of the key ID and of the tags. They are part of the wire format.
const (
	keyIDLabel    = "accord mark "
	tagLabel      = "accord\x00"
	responseLabel = "answer"
)

// reasonWrongReceiver is a key of Status.Rejected and of the counters in the answer to GET /-/fleet, so it
// must not change.
const reasonWrongReceiver = "for another relay"

// errWrongReceiver rejects a request for another relay. verifyRequest's other errors are gossip's. The
// reason of each (gossip.RejectReason) is a key of Status.Rejected.
var errWrongReceiver = gossip.NewRejectError(reasonWrongReceiver, "request: addressed to another relay")

// keyID identifies the key that an envelope is sealed with.
func keyID(key []byte) []byte {
	sum := sha256.Sum256(append([]byte(keyIDLabel), key...))
	return sum[:keyIDSize]
}

func computeTag(key []byte, parts ...[]byte) []byte {
	h := hmac.New(sha256.New, key)
	h.Write([]byte(tagLabel))
	for _, p := range parts {
		h.Write(p)
	}
	return h.Sum(nil)
}

// envelope is a request whose tag is verified.
type envelope struct {
	from     string
	kind     requestKind
	body     []byte
	key      []byte
	tag      []byte
	epoch    uint64
	start    uint64
	sequence uint64
}

// sealRequest returns a request in its envelope, and the tag, which the response has to cover.
func sealRequest(key []byte, epoch, start, sequence uint64, kind requestKind, from, to string, body []byte) (sealed, tag []byte) {
	b := make([]byte, 0, envelopeFixedSize+2+len(from)+len(to)+len(body)+tagSize)
	b = append(append(b, envelopeVersion), keyID(key)...)
	for _, v := range []uint64{epoch, start, sequence} {
		b = binary.BigEndian.AppendUint64(b, v)
	}
	b = append(b, byte(kind), byte(len(from)))
	b = append(append(b, from...), byte(len(to)))
	b = append(append(b, to...), body...)
	tag = computeTag(key, b)
	return append(b, tag...), tag
}

// verifyRequest verifies an envelope and decodes it. It does not check the epoch, start and sequence number.
func verifyRequest(keys gossip.Keys, self string, b []byte) (req envelope, err error) {
	if len(b) < envelopeFixedSize+2+tagSize {
		return req, gossip.ErrSize
	}
	if b[0] != envelopeVersion {
		return req, gossip.ErrVersion
	}
	for _, key := range keys {
		if string(keyID(key)) == string(b[1:1+keyIDSize]) {
			req.key = key
		}
	}
	if req.key == nil {
		return req, gossip.ErrUnknownKey
	}
	sealed := b[:len(b)-tagSize]
	req.tag = b[len(b)-tagSize:]
	if !hmac.Equal(computeTag(req.key, sealed), req.tag) {
		return req, gossip.ErrBadTag
	}
	rest := sealed[1+keyIDSize:]
	req.epoch, req.start, req.sequence = binary.BigEndian.Uint64(rest), binary.BigEndian.Uint64(rest[8:]), binary.BigEndian.Uint64(rest[16:])
	req.kind = requestKind(rest[24])
	rest = rest[25:]
	var receiver string
	for _, name := range []*string{&req.from, &receiver} {
		if len(rest) < 1 || len(rest) < 1+int(rest[0]) {
			return req, gossip.ErrSize
		}
		*name = string(rest[1 : 1+int(rest[0])])
		rest = rest[1+int(rest[0]):]
	}
	if receiver != self {
		return req, errWrongReceiver
	}
	if req.from == "" {
		return req, gossip.ErrSize
	}
	req.body = rest
	return req, nil
}

// sealResponse seals a part of the response to the request with the given tag. The part is a stream's frame
// number, or 0 for a response that is not a stream.
func sealResponse(key, requestTag []byte, part uint64, body []byte) []byte {
	return append(responseTag(key, requestTag, part, body), body...)
}

// verifyResponse verifies a part of a response and returns the body that sealResponse was given.
func verifyResponse(key, requestTag []byte, part uint64, b []byte) ([]byte, error) {
	if len(b) < tagSize {
		return nil, gossip.ErrSize
	}
	if !hmac.Equal(responseTag(key, requestTag, part, b[tagSize:]), b[:tagSize]) {
		return nil, gossip.ErrBadTag
	}
	return b[tagSize:], nil
}

func responseTag(key, requestTag []byte, part uint64, body []byte) []byte {
	return computeTag(key, []byte(responseLabel), requestTag, binary.BigEndian.AppendUint64(nil, part), body)
}

package gossip

import (
	"errors"

	"google.golang.org/protobuf/encoding/protowire"
)

// ErrMalformed is wrapped by every error about bytes that cannot be decoded as a message.
var ErrMalformed = errors.New("gossip: malformed message")

// Limits on the content of one datagram, in bytes except for maxUpdates.
const (
	maxNameLen    = 64
	maxAddrLen    = 64
	maxUpdates    = 64
	maxUnknownLen = 256 // of the unknown fields of one update
	// MaxUserData is the maximum length of a message's user data.
	MaxUserData = 400
	// MaxDatagramSize fits into one packet on any network path, with room for headers.
	MaxDatagramSize = 1200
)

// Kind is the kind of a message.
type Kind uint64

// The message kinds. The updates in a message of an unknown kind are merged nevertheless.
const (
	Ping    Kind = 1 // to be answered with Ack
	Ack     Kind = 2
	PingReq Kind = 3 // asks the receiver to ping Target and to pass its Ack on
	Gossip  Kind = 4
	Sync    Kind = 5 // to be answered with the full state
)

// State is a relay's membership state.
type State uint64

// The states. Between updates of the same incarnation, the higher state takes precedence.
const (
	Alive   State = 1
	Suspect State = 2
	Dead    State = 3 // does not answer; may be partitioned away
	Gone    State = 4 // its address refuses connections: no process is running
	Left    State = 5 // has announced that it stops
)

// Phase is the operating phase that a relay publishes.
type Phase uint64

// The phases.
const (
	Starting   Phase = 1
	Recovering Phase = 2
	Serving    Phase = 3
	Draining   Phase = 4
	Leaving    Phase = 5
)

// Update is a statement about one relay. All fields but State and Accuser originate from that relay.
type Update struct {
	Name, Addr  string
	State       State
	Incarnation uint64
	Zone        string
	Phase       Phase
	Generation  uint64 // of the relay's endpoint list
	Flows       uint64 // open flows
	Rate        uint64 // requests per second
	Accuser     string // the relay that declared the state, unless it is the relay itself
	Unknown     []byte // encoded fields of newer protocol versions, passed on unchanged
}

// Message is one datagram's content.
type Message struct {
	Kind       Kind
	Seq        uint64
	Target     string // in a PingReq, the relay to ping; in a forwarded Ack, the relay that sent it
	TargetAddr string // in a PingReq, the address of Target
	Updates    []Update
	Observed   Digest // the sender's observations; only in Ping and Ack
	UserData   []byte // opaque data of other packages, at most MaxUserData bytes
}

// Field numbers of a message besides those in header and target.
const (
	updateField   protowire.Number = 5
	observedField protowire.Number = 6
	userDataField protowire.Number = 7
)

// header returns the fields that every message has.
func (m *Message) header() []field {
	return []field{{number: 1, value: (*uint64)(&m.Kind)}, {number: 2, value: &m.Seq}}
}

func (m *Message) target() []field {
	return []field{{number: 3, text: &m.Target}, {number: 4, text: &m.TargetAddr}}
}

func (u *Update) fields() []field {
	return []field{
		{number: 1, text: &u.Name},
		{number: 2, text: &u.Addr},
		{number: 3, value: (*uint64)(&u.State)},
		{number: 4, value: &u.Incarnation},
		{number: 5, text: &u.Zone},
		{number: 6, value: (*uint64)(&u.Phase)},
		{number: 7, value: &u.Generation},
		{number: 8, value: &u.Flows},
		{number: 9, value: &u.Rate},
		{number: 10, text: &u.Accuser},
	}
}

func (u *Update) append(b []byte) []byte {
	return append(appendFields(b, u.fields(), omitZero), u.Unknown...)
}

// Append encodes the message to b, with as many updates as fit into maxSize bytes, and returns the
// number of updates encoded.
func (m *Message) Append(b []byte, maxSize int) ([]byte, int) {
	b = appendFields(b, m.header(), keepZero)
	b = appendFields(b, m.target(), omitZero)
	var buf []byte
	if buf = m.Observed.append(buf); len(buf) > 0 {
		b = appendBytes(b, observedField, buf)
	}
	if len(m.UserData) > 0 {
		b = appendBytes(b, userDataField, m.UserData)
	}
	for i := range m.Updates {
		buf = m.Updates[i].append(buf[:0])
		if len(b)+len(buf)+4 > maxSize { // 4 bytes for the field's tag and length
			return b, i
		}
		b = appendBytes(b, updateField, buf)
	}
	return b, len(m.Updates)
}

// Decode decodes a message. Names, addresses and the number of updates are limited; unknown fields
// of an update are retained.
func Decode(b []byte) (Message, error) {
	var m Message
	var fieldErr error
	known := append(m.header(), m.target()...)
	_, err := decodeFields(b, func(n protowire.Number, v uint64, s []byte) bool {
		switch n {
		case updateField:
			u, err := decodeUpdate(s)
			if err != nil || len(m.Updates) == maxUpdates {
				fieldErr = ErrMalformed
			}
			m.Updates = append(m.Updates, u)
		case observedField:
			digest, err := decodeDigest(s)
			if m.Observed = digest; err != nil {
				fieldErr = ErrMalformed
			}
		case userDataField:
			if m.UserData = s; len(s) > MaxUserData {
				fieldErr = ErrMalformed
			}
		default:
			setField(known, n, v, s)
		}
		return true
	})
	if len(m.Target) > maxNameLen || len(m.TargetAddr) > maxAddrLen {
		fieldErr = ErrMalformed
	}
	return m, errors.Join(err, fieldErr)
}

func decodeUpdate(b []byte) (u Update, err error) {
	known := u.fields()
	u.Unknown, err = decodeFields(b, func(n protowire.Number, v uint64, s []byte) bool { return setField(known, n, v, s) })
	if u.Name == "" || len(u.Name) > maxNameLen || len(u.Addr) > maxAddrLen || len(u.Zone) > maxNameLen ||
		len(u.Accuser) > maxNameLen || u.State < Alive || u.State > Left || len(u.Unknown) > maxUnknownLen {
		err = ErrMalformed
	}
	return u, err
}

package gossip

import (
	"errors"

	"google.golang.org/protobuf/encoding/protowire"
)

// ErrMalformed is wrapped by every error about bytes that are no message.
var ErrMalformed = errors.New("malformed message")

// Bounds of one datagram's content.
const (
	maxNameLen    = 64
	maxAddrLen    = 64
	maxUpdates    = 64
	maxUnknownLen = 256 // unknown fields of one update
	// MaxUserData bounds a message's user data.
	MaxUserData = 400
	// MaxDatagramSize fits one packet on any path, with a reserve for headers.
	MaxDatagramSize = 1200
)

// Kind is what a message asks for or answers.
type Kind uint64

// The kinds. The updates on a message of an unknown kind are still merged.
const (
	Ping    Kind = 1 // answer with Ack
	Ack     Kind = 2
	PingReq Kind = 3 // ping Target on the sender's behalf, and pass its Ack on
	Gossip  Kind = 4
	Sync    Kind = 5 // answer with the full state
)

// State is a relay's membership state.
type State uint64

// The states, in the order in which one of the same incarnation takes precedence.
const (
	Alive   State = 1
	Suspect State = 2
	Dead    State = 3 // it does not answer; it may be partitioned away
	Gone    State = 4 // its address refuses connections: no process is there
	Left    State = 5 // it has announced its end
)

// Phase is the phase of its operation that a relay publishes.
type Phase uint64

// The phases.
const (
	Starting   Phase = 1
	Recovering Phase = 2
	Serving    Phase = 3
	Draining   Phase = 4
	Leaving    Phase = 5
)

// Update is an assertion about one relay. All of it but State and Accuser originates from that relay itself.
type Update struct {
	Name, Addr  string
	State       State
	Incarnation uint64
	Zone        string
	Phase       Phase
	Generation  uint64 // of its endpoint list
	Flows       uint64 // open
	Rate        uint64 // requests a second
	Accuser     string // the relay that has declared the state, where that is not the subject
	Unknown     []byte // fields of newer versions, passed on as they came
}

// Message is one datagram's content.
type Message struct {
	Kind       Kind
	Seq        uint64
	Target     string // of PingReq: the relay to ping; of an Ack that was passed on: the relay that it is from
	TargetAddr string // of PingReq
	Updates    []Update
	Observed   Digest // the sender's observations, with Ping and Ack
	UserData   []byte // for other packages than this one; at most MaxUserData bytes
}

// Field numbers of a message beyond those of header and target.
const (
	updateField   protowire.Number = 5
	observedField protowire.Number = 6
	userDataField protowire.Number = 7
)

// header is the fields that every message has.
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

// Append encodes the message, with as many of its updates as stay within maxSize bytes; it returns how many did.
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
		if len(b)+len(buf)+4 > maxSize { // with the tag and the length
			return b, i
		}
		b = appendBytes(b, updateField, buf)
	}
	return b, len(m.Updates)
}

// Decode reads a message. Names, addresses and the number of updates are bounded; unknown fields of an update are retained.
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

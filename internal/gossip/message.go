package gossip

import (
	"errors"

	"google.golang.org/protobuf/encoding/protowire"
)

// ErrMalformed is wrapped by every error about bytes that are no message.
var ErrMalformed = errors.New("malformed message")

// Bounds of what one datagram may say.
const (
	maxNameLen = 64
	maxAddrLen = 64
	maxUpdates = 64
	// MaxDatagramSize fits one packet on any path with room to spare.
	MaxDatagramSize = 1200
)

// Kind is what a message asks for or answers.
type Kind uint64

// The kinds. An unknown one is still heard for what it says of relays.
const (
	Ping    Kind = 1 // answer with Ack
	Ack     Kind = 2
	PingReq Kind = 3 // ping Target for me, and pass its Ack on
	Gossip  Kind = 4
	Sync    Kind = 5 // say all that you know
)

// State is what is held of a relay's life.
type State uint64

// The states, in the order in which one of the same incarnation takes precedence.
const (
	Alive   State = 1
	Suspect State = 2
	Dead    State = 3 // it says nothing; it may be cut off
	Gone    State = 4 // its address refuses connections: no process is there
	Left    State = 5 // it has said so itself
)

// Phase is what a relay says it is doing.
type Phase uint64

// The phases.
const (
	Starting   Phase = 1
	Recovering Phase = 2
	Serving    Phase = 3
	Draining   Phase = 4
	Leaving    Phase = 5
)

// Update is what is said of one relay. All of it but State is its own word.
type Update struct {
	Name, Addr  string
	State       State
	Incarnation uint64
	Zone        string
	Phase       Phase
	Generation  uint64 // of its list of members
	Flows       uint64 // open
	Rate        uint64 // requests a second
	Accuser     string // who suspects it
	Unknown     []byte // fields of newer versions, passed on as they came
}

// MaxUserData bounds a message's note.
const MaxUserData = 400

// Message is one datagram's content.
type Message struct {
	Kind       Kind
	Seq        uint64
	Target     string // of Ask: the name; of a passed Ack: whom it is from
	TargetAddr string // of Ask: the address
	Updates    []Update
	Observed   Digest // what the sender saw itself; with pings and answers
	UserData   []byte // what it passes on for others than this package; at most MaxUserData bytes
}

func (u *Update) append(b []byte) []byte {
	text := func(n protowire.Number, s string) {
		if s != "" {
			b = protowire.AppendString(protowire.AppendTag(b, n, protowire.BytesType), s)
		}
	}
	number := func(n protowire.Number, v uint64) {
		if v != 0 {
			b = protowire.AppendVarint(protowire.AppendTag(b, n, protowire.VarintType), v)
		}
	}
	text(1, u.Name)
	text(2, u.Addr)
	number(3, uint64(u.State))
	number(4, u.Incarnation)
	text(5, u.Zone)
	number(6, uint64(u.Phase))
	number(7, u.Generation)
	number(8, u.Flows)
	number(9, u.Rate)
	text(10, u.Accuser)
	return append(b, u.Unknown...)
}

// Append encodes the message, with as many of its updates as stay within most bytes; it returns how many did.
func (m *Message) Append(b []byte, most int) ([]byte, int) {
	for n, v := range []uint64{uint64(m.Kind), m.Seq} {
		b = protowire.AppendVarint(protowire.AppendTag(b, protowire.Number(n+1), protowire.VarintType), v)
	}
	for n, s := range []string{m.Target, m.TargetAddr} {
		if s != "" {
			b = protowire.AppendString(protowire.AppendTag(b, protowire.Number(n+3), protowire.BytesType), s)
		}
	}
	var one []byte
	if one = m.Observed.append(one); len(one) > 0 {
		b = protowire.AppendBytes(protowire.AppendTag(b, 6, protowire.BytesType), one)
	}
	if len(m.UserData) > 0 {
		b = protowire.AppendBytes(protowire.AppendTag(b, 7, protowire.BytesType), m.UserData)
	}
	for i := range m.Updates {
		one = m.Updates[i].append(one[:0])
		if len(b)+len(one)+4 > most {
			return b, i
		}
		b = protowire.AppendBytes(protowire.AppendTag(b, 5, protowire.BytesType), one)
	}
	return b, len(m.Updates)
}

// decodeFields calls take with each field; what take does not know it returns false for, and that goes to unknown.
func decodeFields(b []byte, take func(n protowire.Number, v uint64, s []byte) bool) (unknown []byte, err error) {
	for len(b) > 0 {
		n, kind, used := protowire.ConsumeTag(b)
		if used < 0 {
			return nil, ErrMalformed
		}
		var v uint64
		var s []byte
		size := 0
		switch kind {
		case protowire.VarintType:
			v, size = protowire.ConsumeVarint(b[used:])
		case protowire.BytesType:
			s, size = protowire.ConsumeBytes(b[used:])
		default:
			size = protowire.ConsumeFieldValue(n, kind, b[used:])
		}
		if size < 0 {
			return nil, ErrMalformed
		}
		if !take(n, v, s) {
			unknown = append(unknown, b[:used+size]...)
		}
		b = b[used+size:]
	}
	return unknown, nil
}

// Decode reads a message. Names, addresses and the number of updates are bounded; unknown fields of an update are kept.
func Decode(b []byte) (Message, error) {
	var m Message
	var inner error
	_, err := decodeFields(b, func(n protowire.Number, v uint64, s []byte) bool {
		switch n {
		case 1:
			m.Kind = Kind(v)
		case 2:
			m.Seq = v
		case 3:
			m.Target = string(s)
		case 4:
			m.TargetAddr = string(s)
		case 5:
			u, err := decodeUpdate(s)
			if err != nil || len(m.Updates) == maxUpdates {
				inner = ErrMalformed
			}
			m.Updates = append(m.Updates, u)
		case 6:
			seen, err := decodeDigest(s)
			if m.Observed = seen; err != nil {
				inner = ErrMalformed
			}
		case 7:
			if m.UserData = s; len(s) > MaxUserData {
				inner = ErrMalformed
			}
		}
		return true
	})
	if len(m.Target) > maxNameLen || len(m.TargetAddr) > maxAddrLen {
		inner = ErrMalformed
	}
	return m, errors.Join(err, inner)
}

func decodeUpdate(b []byte) (u Update, err error) {
	u.Unknown, err = decodeFields(b, func(n protowire.Number, v uint64, s []byte) bool {
		switch n {
		case 1:
			u.Name = string(s)
		case 2:
			u.Addr = string(s)
		case 3:
			u.State = State(v)
		case 4:
			u.Incarnation = v
		case 5:
			u.Zone = string(s)
		case 6:
			u.Phase = Phase(v)
		case 7:
			u.Generation = v
		case 8:
			u.Flows = v
		case 9:
			u.Rate = v
		case 10:
			u.Accuser = string(s)
		default:
			return false
		}
		return true
	})
	if u.Name == "" || len(u.Name) > maxNameLen || len(u.Addr) > maxAddrLen || len(u.Zone) > maxNameLen ||
		len(u.Accuser) > maxNameLen || u.State < Alive || u.State > Left || len(u.Unknown) > 256 {
		err = ErrMalformed
	}
	return u, err
}

package nats

import (
	"strconv"
)

// op is a protocol operation.
type op uint8

const (
	opNone op = iota
	opConnect
	opInfo
	opPing
	opPong
	opOK
	opErr
	opPub
	opHPub
	opMsg
	opHMsg
	opSub
	opUnsub
)

// command is one protocol message from a client or a member. Its slices refer to the buffer that it
// was parsed from.
type command struct {
	op          op
	args        []byte // the rest of the line, for CONNECT, INFO and -ERR
	subject     []byte
	sid         []byte
	reply       []byte
	queue       []byte
	maxMessages int // the limit that UNSUB sets; 0 for none
	headerLen   int // length of the header block at the start of payload
	payload     []byte
}

// isPublication reports whether the command is a publication.
func (m *command) isPublication() bool { return m.op == opPub || m.op == opHPub }

// lineOverhead is the maximum size in bytes of a protocol line without its subjects and names.
const lineOverhead = 64

// encodedSize returns an upper bound for the size of the encoded message in bytes.
func (m *command) encodedSize(sid string) int {
	return len(m.subject) + len(sid) + len(m.reply) + len(m.payload) + lineOverhead
}

// appendMessage appends the message to a buffer as MSG or HMSG, for the subscription sid.
func (m *command) appendMessage(to []byte, sid string) []byte {
	if m.headerLen > 0 {
		to = append(to, "HMSG "...)
	} else {
		to = append(to, "MSG "...)
	}
	to = append(append(to, m.subject...), ' ')
	to = append(append(to, sid...), ' ')
	return m.appendRest(to)
}

// appendPublication appends the message to a buffer as PUB or HPUB.
func (m *command) appendPublication(to []byte) []byte {
	if m.headerLen > 0 {
		to = append(to, "HPUB "...)
	} else {
		to = append(to, "PUB "...)
	}
	to = append(append(to, m.subject...), ' ')
	return m.appendRest(to)
}

// appendRest appends what follows the subject and the sid: reply subject, lengths and payload.
func (m *command) appendRest(to []byte) []byte {
	if len(m.reply) > 0 {
		to = append(append(to, m.reply...), ' ')
	}
	if m.headerLen > 0 {
		to = append(strconv.AppendInt(to, int64(m.headerLen), 10), ' ')
	}
	to = append(strconv.AppendInt(to, int64(len(m.payload)), 10), '\r', '\n')
	return append(append(to, m.payload...), '\r', '\n')
}

// Lines that have no arguments.
const (
	pingLine = "PING\r\n"
	pongLine = "PONG\r\n"
	okLine   = "+OK\r\n"
)

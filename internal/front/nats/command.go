package nats

import (
	"strconv"
)

// op is an operation of the protocol.
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

// command is one protocol message, of either side. Its slices point into the parsed buffer.
type command struct {
	op          op
	args        []byte // the rest of the line, for CONNECT, INFO and -ERR
	subject     []byte
	sid         []byte
	reply       []byte
	queue       []byte
	maxMessages int // of UNSUB
	headerLen   int // length of the header block at the start of payload
	payload     []byte
}

// lineOverhead is how many bytes a line takes besides subjects and names, at most.
const lineOverhead = 64

// encodedSize is how many bytes the encoded message takes, at most.
func (m *command) encodedSize(sid string) int {
	return len(m.subject) + len(sid) + len(m.reply) + len(m.payload) + lineOverhead
}

// appendMessage encodes a message to a subscriber.
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

// appendPublication encodes a publication.
func (m *command) appendPublication(to []byte) []byte {
	if m.headerLen > 0 {
		to = append(to, "HPUB "...)
	} else {
		to = append(to, "PUB "...)
	}
	to = append(append(to, m.subject...), ' ')
	return m.appendRest(to)
}

// appendRest encodes what follows the subject.
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

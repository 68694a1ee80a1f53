package nats

import (
	"strconv"
)

// protocolError is an error with a text of the public protocol, as it is sent after -ERR.
type protocolError string

const (
	errProtocol protocolError = "Unknown Protocol Operation"
	errParse    protocolError = "Parser Error"
	errControl  protocolError = "maximum control line exceeded"
	errPayload  protocolError = "Maximum Payload Violation"
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

// command is one protocol message, of either side. Its parts stand in the buffer that was
// parsed.
type command struct {
	op          op
	args        []byte // what stands behind the operation, for CONNECT, INFO and -ERR
	subject     []byte
	sid         []byte
	reply       []byte
	queue       []byte
	maxMessages int // of UNSUB
	headerLen   int // how much of payload is the header block
	payload     []byte
}

// lineRoom is what a line takes besides subjects and names.
const lineOverhead = 64

// encodedSize is how many bytes the text of a message takes at most.
func (m *command) encodedSize(sid string) int {
	return len(m.subject) + len(sid) + len(m.reply) + len(m.payload) + lineOverhead
}

// appendMessage appends the text of a message to a subscriber.
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

// appendPublication appends the text of a publication.
func (m *command) appendPublication(to []byte) []byte {
	if m.headerLen > 0 {
		to = append(to, "HPUB "...)
	} else {
		to = append(to, "PUB "...)
	}
	to = append(append(to, m.subject...), ' ')
	return m.appendRest(to)
}

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

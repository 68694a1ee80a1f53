package nats

import (
	"bytes"
)

// Limits of a protocol line in bytes. maxInfo is the limit of CONNECT and INFO, maxControlLine the
// default limit of the other operations.
const (
	maxControlLine = 4 << 10
	maxInfo        = 32 << 10
)

// parseOperation parses the first word of a line. Case is ignored.
func parseOperation(name []byte) op {
	var upper [8]byte
	if len(name) > len(upper) {
		return opNone
	}
	for i, b := range name {
		if 'a' <= b && b <= 'z' {
			b -= 'a' - 'A'
		}
		upper[i] = b
	}
	switch string(upper[:len(name)]) {
	case "PUB":
		return opPub
	case "HPUB":
		return opHPub
	case "MSG":
		return opMsg
	case "HMSG":
		return opHMsg
	case "SUB":
		return opSub
	case "UNSUB":
		return opUnsub
	case "PING":
		return opPing
	case "PONG":
		return opPong
	case "CONNECT":
		return opConnect
	case "INFO":
		return opInfo
	case "+OK":
		return opOK
	case "-ERR":
		return opErr
	}
	return opNone
}

// lineFields are the fields of a line after its operation. values has room for more fields than any
// operation takes; count includes fields beyond that, and parsing then fails.
type lineFields struct {
	values [6][]byte
	count  int
}

func isBlank(b byte) bool { return b == ' ' || b == '\t' }

func splitFields(line []byte) (f lineFields) {
	for i := 0; i < len(line); {
		if isBlank(line[i]) {
			i++
			continue
		}
		end := i
		for end < len(line) && !isBlank(line[end]) {
			end++
		}
		if f.count < len(f.values) {
			f.values[f.count] = line[i:end]
		}
		f.count++
		i = end
	}
	return f
}

// parseCommand parses the first message in b. maxLine and maxPayload are the maximum sizes of a
// control line and a payload in bytes. used is the size of the message in b; if it is 0 and there is
// no error, the message is incomplete.
func parseCommand(b []byte, maxLine, maxPayload int) (m command, used int, err error) {
	end := bytes.IndexByte(b[:min(len(b), maxInfo)], '\n')
	if end < 0 {
		if len(b) >= maxInfo || len(b) >= maxLine && !allowsLongLine(b) {
			return m, 0, errMaxControlLine
		}
		return m, 0, nil
	}
	if end >= maxLine && !allowsLongLine(b) {
		return m, 0, errMaxControlLine
	}
	used = end + 1
	line := bytes.TrimSuffix(b[:end], []byte("\r"))
	opEnd := 0
	for opEnd < len(line) && !isBlank(line[opEnd]) {
		opEnd++
	}
	m.op = parseOperation(line[:opEnd])
	line = line[opEnd:]
	switch m.op {
	case opConnect, opInfo, opErr:
		m.args = bytes.TrimSpace(line)
	case opPing, opPong, opOK:
	case opSub:
		fields := splitFields(line)
		switch fields.count {
		case 2:
			m.subject, m.sid = fields.values[0], fields.values[1]
		case 3:
			m.subject, m.queue, m.sid = fields.values[0], fields.values[1], fields.values[2]
		default:
			return m, 0, errParse
		}
	case opUnsub:
		fields := splitFields(line)
		if fields.count != 1 && fields.count != 2 {
			return m, 0, errParse
		}
		m.sid = fields.values[0]
		if fields.count == 2 {
			var ok bool
			if m.maxMessages, ok = parseNumber(fields.values[1]); !ok {
				return m, 0, errParse
			}
		}
	case opPub:
		return m.parsePayload(b, used, splitFields(line), false, false, maxPayload)
	case opHPub:
		return m.parsePayload(b, used, splitFields(line), false, true, maxPayload)
	case opMsg:
		return m.parsePayload(b, used, splitFields(line), true, false, maxPayload)
	case opHMsg:
		return m.parsePayload(b, used, splitFields(line), true, true, maxPayload)
	default:
		return m, 0, errProtocol
	}
	return m, used, nil
}

// allowsLongLine reports whether b begins with CONNECT or INFO, whose lines may have maxInfo bytes.
func allowsLongLine(b []byte) bool {
	name, _, found := bytes.Cut(b[:min(len(b), 8)], []byte(" "))
	o := parseOperation(name)
	return found && (o == opConnect || o == opInfo)
}

// parseNumber parses a decimal number of at most nine digits.
func parseNumber(b []byte) (n int, ok bool) {
	if len(b) == 0 || len(b) > 9 {
		return 0, false
	}
	for _, d := range b {
		if d < '0' || d > '9' {
			return 0, false
		}
		n = 10*n + int(d-'0')
	}
	return n, true
}

// parsePayload parses a message with a payload: subject [sid] [reply] [header length] length.
func (m command) parsePayload(b []byte, used int, fields lineFields, hasSID, hasHeader bool, maxPayload int) (command, int, error) {
	minFields := 2
	if hasSID {
		minFields++
	}
	if hasHeader {
		minFields++
	}
	if fields.count != minFields && fields.count != minFields+1 {
		return m, 0, errParse
	}
	m.subject = fields.values[0]
	i := 1
	if hasSID {
		m.sid = fields.values[i]
		i++
	}
	if fields.count > minFields {
		m.reply = fields.values[i]
		i++
	}
	ok := true
	if hasHeader {
		m.headerLen, ok = parseNumber(fields.values[i])
		i++
	}
	size, sizeOK := parseNumber(fields.values[i])
	if !ok || !sizeOK || m.headerLen > size {
		return m, 0, errParse
	}
	if size > maxPayload {
		return m, 0, errMaxPayload
	}
	if len(b) < used+size+2 {
		return m, 0, nil
	}
	if b[used+size] != '\r' || b[used+size+1] != '\n' {
		return m, 0, errParse
	}
	m.payload = b[used : used+size]
	return m, used + size + 2, nil
}

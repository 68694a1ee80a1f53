package nats

import (
	"bytes"
)

// Limits of a control line. CONNECT and INFO may have maxInfo bytes.
const (
	maxControl = 4 << 10
	maxInfo    = 32 << 10
)

// parseOperation parses the first word of a line, which is case-insensitive.
func parseOperation(name []byte) op {
	var up [8]byte
	if len(name) > len(up) {
		return opNone
	}
	for i, b := range name {
		if 'a' <= b && b <= 'z' {
			b -= 'a' - 'A'
		}
		up[i] = b
	}
	switch string(up[:len(name)]) {
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

// lineFields are the fields of a line behind its operation. One more than the protocol has is counted, so that
// parsing fails.
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

// parseCommand parses one message off b, given the maximum lengths of a control line and a payload. If used is 0 and
// there is no error, the message is incomplete.
func parseCommand(b []byte, control, payload int) (m command, used int, err error) {
	end := bytes.IndexByte(b[:min(len(b), maxInfo)], '\n')
	if end < 0 {
		if len(b) >= maxInfo || len(b) >= control && !allowsLongLine(b) {
			return m, 0, errControl
		}
		return m, 0, nil
	}
	if end >= control && !allowsLongLine(b) {
		return m, 0, errControl
	}
	used = end + 1
	line := bytes.TrimSuffix(b[:end], []byte("\r"))
	at := 0
	for at < len(line) && !isBlank(line[at]) {
		at++
	}
	m.op = parseOperation(line[:at])
	line = line[at:]
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
		return m.parsePayload(b, used, splitFields(line), false, false, payload)
	case opHPub:
		return m.parsePayload(b, used, splitFields(line), false, true, payload)
	case opMsg:
		return m.parsePayload(b, used, splitFields(line), true, false, payload)
	case opHMsg:
		return m.parsePayload(b, used, splitFields(line), true, true, payload)
	default:
		return m, 0, errProtocol
	}
	return m, used, nil
}

// allowsLongLine reports whether b begins with an operation whose line may be long.
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
func (m command) parsePayload(b []byte, used int, fields lineFields, sid, header bool, payload int) (command, int, error) {
	least := 2
	if sid {
		least++
	}
	if header {
		least++
	}
	if fields.count != least && fields.count != least+1 {
		return m, 0, errParse
	}
	m.subject = fields.values[0]
	i := 1
	if sid {
		m.sid = fields.values[i]
		i++
	}
	if fields.count > least {
		m.reply = fields.values[i]
		i++
	}
	ok := true
	if header {
		m.headerLen, ok = parseNumber(fields.values[i])
		i++
	}
	size, sizeOK := parseNumber(fields.values[i])
	if !ok || !sizeOK || m.headerLen > size {
		return m, 0, errParse
	}
	if size > payload {
		return m, 0, errPayload
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

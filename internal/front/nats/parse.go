package nats

import (
	"bytes"
)

// Bounds of a control line; CONNECT and INFO carry more.
const (
	maxControl = 4 << 10
	maxInfo    = 32 << 10
)

func (e protocolError) Error() string { return string(e) }

// parseOperation reads the first word of a line, in any case of letters.
func parseOperation(word []byte) op {
	var up [8]byte
	if len(word) > len(up) {
		return opNone
	}
	for i, b := range word {
		if 'a' <= b && b <= 'z' {
			b -= 'a' - 'A'
		}
		up[i] = b
	}
	switch string(up[:len(word)]) {
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

// lineFields are those of a line behind its operation; more than the protocol knows are one too
// many.
type lineFields struct {
	values [6][]byte
	count  int
}

func isBlank(b byte) bool { return b == ' ' || b == '\t' }

func splitFields(line []byte) (w lineFields) {
	for i := 0; i < len(line); {
		if isBlank(line[i]) {
			i++
			continue
		}
		end := i
		for end < len(line) && !isBlank(line[end]) {
			end++
		}
		if w.count < len(w.values) {
			w.values[w.count] = line[i:end]
		}
		w.count++
		i = end
	}
	return w
}

// parseCommand reads one message off b, in which a control line may be so long and a payload have so
// many bytes. With used 0 and no error the message is not whole yet.
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
		w := splitFields(line)
		switch w.count {
		case 2:
			m.subject, m.sid = w.values[0], w.values[1]
		case 3:
			m.subject, m.queue, m.sid = w.values[0], w.values[1], w.values[2]
		default:
			return m, 0, errParse
		}
	case opUnsub:
		w := splitFields(line)
		if w.count != 1 && w.count != 2 {
			return m, 0, errParse
		}
		m.sid = w.values[0]
		if w.count == 2 {
			var ok bool
			if m.maxMessages, ok = parseNumber(w.values[1]); !ok {
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

// allowsLongLine says whether a long line may follow.
func allowsLongLine(b []byte) bool {
	word, _, found := bytes.Cut(b[:min(len(b), 8)], []byte(" "))
	o := parseOperation(word)
	return found && (o == opConnect || o == opInfo)
}

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

// parsePayload reads a message with a payload: subject [sid] [reply] [header bytes] bytes.
func (m command) parsePayload(b []byte, used int, w lineFields, sid, header bool, payload int) (command, int, error) {
	least := 2
	if sid {
		least++
	}
	if header {
		least++
	}
	if w.count != least && w.count != least+1 {
		return m, 0, errParse
	}
	m.subject = w.values[0]
	i := 1
	if sid {
		m.sid = w.values[i]
		i++
	}
	if w.count > least {
		m.reply = w.values[i]
		i++
	}
	ok := true
	if header {
		m.headerLen, ok = parseNumber(w.values[i])
		i++
	}
	size, whole := parseNumber(w.values[i])
	if !ok || !whole || m.headerLen > size {
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

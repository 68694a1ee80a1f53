package nats

import (
	"bytes"
	"hash/maphash"
	"strconv"
)

// Bounds of a control line; CONNECT and INFO carry more.
const (
	maxControl = 4 << 10
	maxInfo    = 32 << 10
)

// protocolError is an error with a text of the public protocol, as it is sent after -ERR.
type protocolError string

func (e protocolError) Error() string { return string(e) }

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

// seed is of this process: the hashes never leave it.
var hashSeed = maphash.MakeSeed()

func subjectHash(subject []byte) uint64 { return maphash.Bytes(hashSeed, subject) }

// validSubject says whether s may be published to or, with wild, subscribed to.
func validSubject[T string | []byte](s T, wild bool) bool {
	start := 0
	for i := 0; i <= len(s); i++ {
		if i < len(s) && s[i] != '.' {
			continue
		}
		switch i - start {
		case 0:
			return false
		case 1:
			if s[start] == '*' && !wild || s[start] == '>' && (!wild || i < len(s)) {
				return false
			}
		}
		start = i + 1
	}
	return true
}

// subjectMatches says whether a subscription's pattern takes a subject.
func subjectMatches[S string | []byte](pattern string, subject S) bool {
	p, s := 0, 0
	for p <= len(pattern) && s <= len(subject) {
		pe, se := p, s
		for pe < len(pattern) && pattern[pe] != '.' {
			pe++
		}
		for se < len(subject) && subject[se] != '.' {
			se++
		}
		switch token := pattern[p:pe]; {
		case token == ">":
			return true
		case token != "*" && token != string(subject[s:se]):
			return false
		}
		p, s = pe+1, se+1
	}
	return p > len(pattern) && s > len(subject)
}

package nats

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// Bounds of a control line; CONNECT and INFO carry more.
const (
	maxControl = 4 << 10
	maxInfo    = 32 << 10
)

var (
	errProtocol = errors.New("Unknown Protocol Operation")
	errParse    = errors.New("Parser Error")
	errControl  = errors.New("maximum control line exceeded")
	errPayload  = errors.New("Maximum Payload Violation")
)

// command is one protocol message, of either side.
type command struct {
	op      string // upper case
	rest    string // what stands behind the operation, for CONNECT, INFO and -ERR
	subject string
	sid     string
	reply   string
	queue   string
	max     int    // of UNSUB
	header  int    // how much of payload is the header block
	payload []byte // stands in the buffer that was parsed
}

// sized are the operations that a payload follows: whether it has a sid and
// whether it has headers.
var sized = map[string]struct{ sid, header bool }{
	"PUB": {}, "HPUB": {header: true}, "MSG": {sid: true}, "HMSG": {sid: true, header: true},
}

// parse reads one message off b. With used 0 and no error the message is not
// whole yet.
func parse(b []byte, maxPayload int) (m command, used int, err error) {
	end := bytes.IndexByte(b[:min(len(b), maxInfo)], '\n')
	if end < 0 {
		if len(b) >= maxInfo || len(b) >= maxControl && !lengthy(b) {
			return m, 0, errControl
		}
		return m, 0, nil
	}
	if end >= maxControl && !lengthy(b) {
		return m, 0, errControl
	}
	line := strings.TrimSuffix(string(b[:end]), "\r")
	op, rest, _ := strings.Cut(strings.ReplaceAll(line, "\t", " "), " ")
	m.op, m.rest = strings.ToUpper(op), strings.TrimSpace(rest)
	words := strings.Fields(rest)
	used = end + 1
	if kind, ok := sized[m.op]; ok {
		return m.sized(b, used, words, kind.sid, kind.header, maxPayload)
	}
	switch m.op {
	case "CONNECT", "INFO", "PING", "PONG", "+OK", "-ERR":
	case "SUB":
		switch len(words) {
		case 2:
			m.subject, m.sid = words[0], words[1]
		case 3:
			m.subject, m.queue, m.sid = words[0], words[1], words[2]
		default:
			return m, 0, errParse
		}
	case "UNSUB":
		if len(words) != 1 && len(words) != 2 {
			return m, 0, errParse
		}
		m.sid = words[0]
		if len(words) == 2 {
			if m.max, err = number(words[1]); err != nil {
				return m, 0, err
			}
		}
	default:
		return m, 0, errProtocol
	}
	return m, used, nil
}

// lengthy says whether a long line may follow.
func lengthy(b []byte) bool {
	op := strings.ToUpper(string(b[:min(len(b), 8)]))
	return strings.HasPrefix(op, "CONNECT ") || strings.HasPrefix(op, "INFO ")
}

func number(s string) (int, error) {
	n, err := strconv.ParseUint(s, 10, 31)
	if err != nil {
		return 0, errParse
	}
	return int(n), nil
}

// sized reads a message with a payload: subject [sid] [reply] [header bytes] bytes.
func (m command) sized(b []byte, used int, words []string, sid, header bool, maxPayload int) (command, int, error) {
	least := 2
	for _, has := range []bool{sid, header} {
		if has {
			least++
		}
	}
	if len(words) != least && len(words) != least+1 {
		return m, 0, errParse
	}
	m.subject, words = words[0], words[1:]
	if sid {
		m.sid, words = words[0], words[1:]
	}
	if len(words) == 2 && !header || len(words) == 3 {
		m.reply, words = words[0], words[1:]
	}
	size, err := number(words[len(words)-1])
	if err == nil && header {
		m.header, err = number(words[0])
	}
	if err != nil || m.header > size {
		return m, 0, errParse
	}
	if size > maxPayload {
		return m, 0, errPayload
	}
	if len(b) < used+size+2 {
		return m, 0, nil
	}
	if string(b[used+size:used+size+2]) != "\r\n" {
		return m, 0, errParse
	}
	m.payload = b[used : used+size]
	return m, used + size + 2, nil
}

// message is the text of a message to a subscriber.
func (m command) message(sid string) []byte { return m.text("MSG", "HMSG", sid) }

// publication is the text of a publication.
func (m command) publication() []byte { return m.text("PUB", "HPUB", "") }

func (m command) text(plain, headers, sid string) []byte {
	words := []string{plain, m.subject}
	if m.header > 0 {
		words[0] = headers
	}
	for _, w := range []string{sid, m.reply} {
		if w != "" {
			words = append(words, w)
		}
	}
	if m.header > 0 {
		words = append(words, strconv.Itoa(m.header))
	}
	line := fmt.Appendf(nil, "%s %d\r\n", strings.Join(words, " "), len(m.payload))
	return append(append(line, m.payload...), "\r\n"...)
}

// validSubject says whether s may be published to or, with wild, subscribed to.
func validSubject(s string, wild bool) bool {
	tokens := strings.Split(s, ".")
	for i, t := range tokens {
		switch {
		case t == "":
			return false
		case t == "*" && !wild, t == ">" && (!wild || i < len(tokens)-1):
			return false
		}
	}
	return true
}

// matches says whether a subscription's pattern takes a subject.
func matches(pattern, subject string) bool {
	p, s := strings.Split(pattern, "."), strings.Split(subject, ".")
	for i, t := range p {
		switch {
		case t == ">":
			return len(s) > i
		case i >= len(s), t != "*" && t != s[i]:
			return false
		}
	}
	return len(p) == len(s)
}

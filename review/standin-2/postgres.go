package main

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"regexp"
	"strings"
	"sync"
	"time"
)

// postgres is a small stand-in for PostgreSQL, written from the public description of its protocol: it
// takes CREATE, INSERT and transactions, over the simple and the extended protocol, without a password.
type postgres struct {
	listener net.Listener
	mu       sync.Mutex
	delay    time.Duration       // of each answer
	rows     map[string][]string // committed rows by table and primary key
}

func newPostgres(p *play, delay time.Duration) (*postgres, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, unusable("%v", err)
	}
	db := &postgres{listener: l, delay: delay, rows: map[string][]string{}}
	p.atEnd(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go db.serve(c)
		}
	}()
	return db, nil
}

func (db *postgres) dsn() string {
	return "postgres://relay@" + db.listener.Addr().String() + "/record?sslmode=disable"
}

func (db *postgres) setDelay(d time.Duration) {
	db.mu.Lock()
	defer db.mu.Unlock()
	db.delay = d
}

// answers returns the recorded final answers, by the name of the request.
func (db *postgres) answers() map[string]string {
	db.mu.Lock()
	defer db.mu.Unlock()
	out := map[string]string{}
	for key, row := range db.rows {
		if strings.HasPrefix(key, "requests ") {
			out[row[2]] = row[5] // run, id, name, class, tenant, answer, ...
		}
	}
	return out
}

// session is one connection.
type session struct {
	db         *postgres
	out        *bufio.Writer
	status     byte // of the transaction: I (none), T (open), E (failed)
	statements map[string]string
	bound      string
	values     []string
	pending    map[string][]string
	skip       bool // after an error, until Sync
}

func (db *postgres) serve(c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	s := &session{db: db, out: bufio.NewWriter(c), status: 'I', statements: map[string]string{}, pending: map[string][]string{}}
	var size int32
	if binary.Read(in, binary.BigEndian, &size) != nil || size < 8 {
		return
	}
	if _, err := io.CopyN(io.Discard, in, int64(size-4)); err != nil {
		return
	}
	s.send('R', 0, 0, 0, 0)
	s.send('K', 0, 0, 0, 1, 0, 0, 0, 1)
	s.ready()
	for {
		kind, err := in.ReadByte()
		if err != nil || binary.Read(in, binary.BigEndian, &size) != nil || size < 4 {
			return
		}
		body := make([]byte, size-4)
		if _, err := io.ReadFull(in, body); err != nil || kind == 'X' {
			return
		}
		if s.skip && kind != 'S' {
			continue
		}
		s.handle(kind, body)
	}
}

func (s *session) send(kind byte, body ...byte) {
	s.out.WriteByte(kind)
	binary.Write(s.out, binary.BigEndian, int32(len(body)+4))
	s.out.Write(body)
}

// ready ends the answer to a command, after the time that the database takes now.
func (s *session) ready() {
	s.skip = false
	s.db.mu.Lock()
	delay := s.db.delay
	s.db.mu.Unlock()
	time.Sleep(delay)
	s.send('Z', s.status)
	s.out.Flush()
}

func (s *session) fail(text string) {
	s.send('E', []byte("SERROR\x00VERROR\x00CXX000\x00M"+text+"\x00\x00")...)
	if s.status == 'T' {
		s.status = 'E'
	}
	s.skip = true
}

// text cuts a string that ends in a zero byte off b.
func text(b []byte) (string, []byte) {
	head, rest, _ := bytes.Cut(b, []byte{0})
	return string(head), rest
}

func (s *session) handle(kind byte, b []byte) {
	switch kind {
	case 'Q':
		query, _ := text(b)
		s.query(strings.TrimSpace(query))
		s.ready()
	case 'P':
		name, rest := text(b)
		s.statements[name], _ = text(rest)
		s.send('1')
	case 'D':
		if b[0] == 'S' {
			name, _ := text(b[1:])
			s.send('t', parameters(s.statements[name])...)
		}
		s.send('n')
	case 'B':
		_, rest := text(b)
		s.bound, rest = text(rest)
		s.values = bindings(rest)
		s.send('2')
	case 'E':
		s.insert(s.statements[s.bound])
	case 'C':
		s.send('3')
	case 'H':
		s.out.Flush()
	case 'S':
		s.ready()
	}
}

func (s *session) query(query string) {
	word, _, _ := strings.Cut(strings.ToLower(query), " ")
	switch word {
	case "":
		s.send('I')
		return
	case "begin":
		s.status = 'T'
	case "commit":
		if s.status == 'T' {
			s.db.mu.Lock()
			for key, row := range s.pending {
				if s.db.rows[key] == nil {
					s.db.rows[key] = row
				}
			}
			s.db.mu.Unlock()
		}
		s.status, s.pending = 'I', map[string][]string{}
	case "rollback":
		s.status, s.pending = 'I', map[string][]string{}
	case "create":
	default:
		if strings.HasPrefix(query, "--") {
			s.send('I')
			return
		}
		s.fail("not supported: " + query)
		return
	}
	s.send('C', []byte(strings.ToUpper(word)+"\x00")...)
}

var insertion = regexp.MustCompile(`^INSERT INTO (\w+) \(([\w, ]+)\) VALUES \(([$\d, ]+)\) ON CONFLICT DO NOTHING$`)

// keyColumns is how many leading columns are the primary key.
var keyColumns = map[string]int{"requests": 2, "attempts": 3}

var textColumn = regexp.MustCompile(`^(run|name|answer|member|result)$`)

// parameters returns the count and the types of the columns of an INSERT.
func parameters(statement string) []byte {
	m := insertion.FindStringSubmatch(statement)
	if m == nil {
		return []byte{0, 0}
	}
	columns := strings.Split(m[2], ", ")
	out := binary.BigEndian.AppendUint16(nil, uint16(len(columns)))
	for _, c := range columns {
		oid := uint32(20) // int8
		if textColumn.MatchString(c) {
			oid = 25 // text
		}
		out = binary.BigEndian.AppendUint32(out, oid)
	}
	return out
}

// bindings decodes the values of a Bind message.
func bindings(b []byte) (values []string) {
	n := int(binary.BigEndian.Uint16(b))
	formats := b[2 : 2+2*n]
	b = b[2+2*n:]
	count := int(binary.BigEndian.Uint16(b))
	b = b[2:]
	for i := range count {
		size := int(int32(binary.BigEndian.Uint32(b)))
		b = b[4:]
		if size < 0 {
			values = append(values, "")
			continue
		}
		value := b[:size]
		b = b[size:]
		binaryForm := n == 1 && formats[1] == 1 || n > 1 && formats[2*i+1] == 1
		if binaryForm && size == 8 {
			values = append(values, fmt.Sprint(int64(binary.BigEndian.Uint64(value))))
		} else {
			values = append(values, string(value))
		}
	}
	return values
}

func (s *session) insert(statement string) {
	m := insertion.FindStringSubmatch(statement)
	if m == nil || s.status != 'T' || len(s.values) < keyColumns[m[1]] {
		s.fail("not supported: " + statement)
		return
	}
	s.pending[m[1]+" "+strings.Join(s.values[:keyColumns[m[1]]], " ")] = s.values
	s.send('C', []byte("INSERT 0 1\x00")...)
}

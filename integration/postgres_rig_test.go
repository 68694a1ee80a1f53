package integration

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
	"testing"
	"time"
)

// postgres is a fake PostgreSQL server, written from the public description of its protocol. It
// supports what the relay's store needs: CREATE, INSERT of rows, and transactions.
type postgres struct {
	l       net.Listener
	mu      sync.Mutex
	rows    map[string]map[string][]string // by table and primary key
	failAll bool                           // simple queries other than ROLLBACK fail, so that nothing is committed
	delay   time.Duration                  // before each answer
	silent  chan struct{}                  // if not nil, answers wait until it is closed
}

// primaryKeyColumns is the number of leading columns that are the primary key, by table.
var primaryKeyColumns = map[string]int{"requests": 2, "attempts": 3}

func newPostgres(t *testing.T) *postgres {
	p := &postgres{rows: map[string]map[string][]string{"requests": {}, "attempts": {}}}
	p.l = listen(t, p.serve)
	return p
}

func (p *postgres) dsn() string {
	return "postgres://relay@" + p.l.Addr().String() + "/record?sslmode=disable"
}

func (p *postgres) setFailing(failAll bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.failAll = failAll
}

// setDelay sets how long each answer takes from now on.
func (p *postgres) setDelay(delay time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay = delay
}

// setSilent makes the server stop answering, or answer again.
func (p *postgres) setSilent(silent bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.silent != nil {
		close(p.silent)
		p.silent = nil
	}
	if silent {
		p.silent = make(chan struct{})
	}
}

// tableRows returns the rows of a table, in no order.
func (p *postgres) tableRows(name string) (out [][]string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, row := range p.rows[name] {
		out = append(out, row)
	}
	return out
}

// pgSession is one client's connection.
type pgSession struct {
	*postgres
	out            *bufio.Writer
	status         byte              // of the transaction: I (idle), T (open) or E (failed)
	statements     map[string]string // prepared statements by name
	boundStatement string            // name of the statement that the next Execute runs
	boundValues    []string          // its values
	pending        [][]string        // rows of the open transaction, each preceded by its table
	skipToSync     bool              // after an error, messages are skipped until Sync
}

func (p *postgres) serve(c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	s := &pgSession{postgres: p, out: bufio.NewWriter(c), status: 'I', statements: map[string]string{}}
	var size int32
	if binary.Read(in, binary.BigEndian, &size) != nil {
		return
	}
	if _, err := io.CopyN(io.Discard, in, int64(size-4)); err != nil {
		return
	}
	s.send('R', 0, 0, 0, 0)
	s.send('K', 0, 0, 0, 1, 0, 0, 0, 1)
	s.sendReady()
	for {
		kind, err := in.ReadByte()
		if err != nil || binary.Read(in, binary.BigEndian, &size) != nil {
			return
		}
		body := make([]byte, size-4)
		if _, err := io.ReadFull(in, body); err != nil || kind == 'X' {
			return
		}
		s.handle(kind, body)
	}
}

func (s *pgSession) send(kind byte, body ...byte) {
	s.out.WriteByte(kind)
	binary.Write(s.out, binary.BigEndian, int32(len(body)+4))
	s.out.Write(body)
}

func (s *pgSession) sendReady() {
	s.skipToSync = false
	s.mu.Lock()
	delay, silent := s.delay, s.silent
	s.mu.Unlock()
	time.Sleep(delay)
	if silent != nil {
		<-silent
	}
	s.send('Z', s.status)
	s.out.Flush()
}

func (s *pgSession) fail(text string) {
	s.send('E', []byte("SERROR\x00VERROR\x00CXX000\x00M"+text+"\x00\x00")...)
	if s.status == 'T' {
		s.status = 'E'
	}
	s.skipToSync = true
}

func cstring(b []byte) (string, []byte) {
	end := bytes.IndexByte(b, 0)
	return string(b[:end]), b[end+1:]
}

// handle answers one message, whose type byte is kind.
func (s *pgSession) handle(kind byte, b []byte) {
	if s.skipToSync && kind != 'S' && kind != 'Q' {
		return
	}
	switch kind {
	case 'Q':
		text, _ := cstring(b)
		s.simpleQuery(strings.TrimSpace(text))
		s.sendReady()
	case 'P':
		name, rest := cstring(b)
		s.statements[name], _ = cstring(rest)
		s.send('1')
	case 'D':
		if b[0] == 'S' {
			name, _ := cstring(b[1:])
			s.send('t', parameterTypes(s.statements[name])...)
		}
		s.send('n')
	case 'B':
		_, rest := cstring(b)
		s.boundStatement, rest = cstring(rest)
		s.boundValues = bindValues(rest)
		s.send('2')
	case 'E':
		s.insert(s.statements[s.boundStatement], s.boundValues)
	case 'C':
		s.send('3')
	case 'H':
		s.out.Flush()
	case 'S':
		s.sendReady()
	}
}

func (s *pgSession) simpleQuery(text string) {
	s.mu.Lock()
	failAll := s.failAll
	s.mu.Unlock()
	word, _, _ := strings.Cut(strings.ToLower(text), " ")
	switch {
	case text == "" || strings.HasPrefix(text, "--"):
		s.send('I')
		return
	case failAll && word != "rollback":
		s.fail("the disk is full")
		return
	case word == "begin":
		s.status = 'T'
	case word == "commit" && s.status == 'T':
		s.mu.Lock()
		for _, row := range s.pending {
			table, key := row[0], strings.Join(row[1:1+primaryKeyColumns[row[0]]], " ")
			if s.rows[table][key] == nil {
				s.rows[table][key] = row[1:]
			}
		}
		s.mu.Unlock()
		fallthrough
	case word == "commit", word == "rollback":
		s.status, s.pending = 'I', nil
	case word != "create":
		s.fail("unsupported query: " + text)
		return
	}
	s.send('C', []byte(strings.ToUpper(word)+"\x00")...)
}

var insertStatement = regexp.MustCompile(`^INSERT INTO (\w+) \(([\w, ]+)\) VALUES \(([$\d, ]+)\) ON CONFLICT DO NOTHING$`)

// textColumns matches the names of columns that contain text; all other columns contain numbers.
var textColumns = regexp.MustCompile(`^(run|name|answer|member|result)$`)

// parameterTypes returns the body of the ParameterDescription of an INSERT: the count and the type of
// each column.
func parameterTypes(statement string) []byte {
	m := insertStatement.FindStringSubmatch(statement)
	if m == nil {
		return []byte{0, 0}
	}
	columns := strings.Split(m[2], ", ")
	out := binary.BigEndian.AppendUint16(nil, uint16(len(columns)))
	for _, c := range columns {
		oid := uint32(20) // int8
		if textColumns.MatchString(c) {
			oid = 25 // text
		}
		out = binary.BigEndian.AppendUint32(out, oid)
	}
	return out
}

// bindValues decodes the values of a Bind message, from its parameter format codes on.
func bindValues(b []byte) (values []string) {
	n := int(binary.BigEndian.Uint16(b))
	formats := b[2 : 2+2*n]
	b = b[2+2*n:]
	count := int(binary.BigEndian.Uint16(b))
	b = b[2:]
	for i := range count {
		size := int(binary.BigEndian.Uint32(b))
		value := b[4 : 4+size]
		b = b[4+size:]
		binaryForm := n == 1 && formats[1] == 1 || n > 1 && formats[2*i+1] == 1
		if binaryForm && size == 8 {
			values = append(values, fmt.Sprint(int64(binary.BigEndian.Uint64(value))))
		} else {
			values = append(values, string(value))
		}
	}
	return values
}

func (s *pgSession) insert(statement string, values []string) {
	m := insertStatement.FindStringSubmatch(statement)
	if m == nil || s.status != 'T' {
		s.fail("unsupported statement, or no open transaction: " + statement)
		return
	}
	s.pending = append(s.pending, append([]string{m[1]}, values...))
	s.send('C', []byte("INSERT 0 1\x00")...)
}

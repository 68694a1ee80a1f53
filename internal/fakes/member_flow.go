package fakes

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"time"
)

// flow is an attempt together with its connection.
type flow struct {
	Attempt
	conn          net.Conn
	in            *bufio.Reader
	endedByMember bool                     // guarded by the member's lock
	recordEnd     func(endedByMember bool) // records the end of the attempt; only the first call counts
}

// openLine matches a valid first line. Its last field is a list of settings.
var openLine = regexp.MustCompile(`^OPEN [0-9a-f]{16} [0-9a-f]{16} \S+$`)

// firstLineSetting returns the value of a setting in a first line, or "" if it is absent.
func firstLineSetting(line, name string) string {
	for _, f := range strings.Split(line[strings.LastIndexByte(line, ' ')+1:], ",") {
		if v, ok := strings.CutPrefix(f, name+"="); ok {
			return v
		}
	}
	return ""
}

// serve handles a connection, which carries either health checks or one flow.
func (m *Member) serve(c net.Conn, via string) {
	if m.OnConnection != nil {
		m.OnConnection(via)
	}
	m.mu.Lock()
	m.conns[c] = true
	m.mu.Unlock()
	defer func() {
		c.Close()
		m.mu.Lock()
		delete(m.conns, c)
		m.mu.Unlock()
	}()
	in := bufio.NewReader(c)
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			return
		}
		line = strings.TrimSuffix(line, "\r\n")
		if m.hasMode(ModeUnresponsive) {
			in.ReadString(0) // until the connection ends
			return
		}
		if line == "STATS" {
			if m.OnProbe != nil {
				m.OnProbe()
			}
			fmt.Fprintf(c, "PONG %s\r\n", m.loadReport())
			continue
		}
		m.serveFlow(c, in, line, via)
		return
	}
}

// serveFlow answers a first line and, if the flow is accepted, the further lines of the flow.
func (m *Member) serveFlow(c net.Conn, in *bufio.Reader, line, via string) {
	valid := openLine.MatchString(line)
	m.mu.Lock()
	m.firstLines = append(m.firstLines, line)
	if !valid {
		m.invalidLines = append(m.invalidLines, line)
	}
	mode := m.mode
	m.mu.Unlock()
	if !valid {
		fmt.Fprint(c, "SYNTAX\r\n")
		return
	}
	f := m.newFlow(c, in, line, via)
	endedByMember := true
	defer func() { f.recordEnd(endedByMember) }()
	if m.Defect.appliesTo(via) {
		time.Sleep(m.Defect.Delay)
		if rand.Float64() < m.Defect.FailureRate {
			mode = ModeErr
		}
	}
	if mode != ModeHealthy && mode != ModeUnresponsive {
		f.answerInMode(mode)
		return
	}
	if !m.admit(c, f) {
		f.Rejected = true
		f.recordEnd(true)
		fmt.Fprint(c, "BUSY\r\n")
		return
	}
	defer m.release(c, f)
	if m.OnAccept != nil {
		m.OnAccept(f.Attempt, "UP "+m.ID+"/"+f.ID)
	}
	if m.hasMode(ModeUnresponsive) {
		in.ReadString(0) // until the connection ends
		return
	}
	fmt.Fprintf(c, "UP %s/%s\r\n", m.ID, f.ID)
	endedByMember = m.answerLines(f)
}

// newFlow returns the flow that a first line requests, and records the start of its attempt.
func (m *Member) newFlow(c net.Conn, in *bufio.Reader, line, via string) *flow {
	f := &flow{Attempt: Attempt{ID: strings.Fields(line)[1], Member: m.ID, Via: via, From: c.RemoteAddr().String(),
		Group: firstLineSetting(line, "g")}, conn: c, in: in}
	f.Load, _ = strconv.ParseFloat(firstLineSetting(line, "h"), 64)
	f.Work = m.Capacity.ConnectionWork
	m.mu.Lock()
	if m.groups[f.Group] == 0 {
		f.Work += m.Capacity.GroupWork
	}
	m.mu.Unlock()
	var counted *CountedAttempt
	if m.Attempts != nil {
		counted = m.Attempts.Begin(f.ID, c)
	}
	if m.OnAttempt != nil {
		m.OnAttempt(f.Attempt)
	}
	var once sync.Once
	f.recordEnd = func(endedByMember bool) {
		once.Do(func() {
			if counted != nil {
				counted.End()
			}
			if m.OnEnd != nil {
				m.OnEnd(f.Attempt, endedByMember)
			}
		})
	}
	return f
}

// answerInMode answers a first line as the mode requires, without accepting the flow. It records the
// end of the attempt before it writes the answer, because the next attempt may arrive before this
// goroutine continues.
func (f *flow) answerInMode(mode MemberMode) {
	switch mode {
	case ModeBusy:
		f.Rejected = true
		f.recordEnd(true)
		fmt.Fprint(f.conn, "BUSY inflight=9\r\n")
	case ModeErr:
		f.recordEnd(true)
		fmt.Fprint(f.conn, "ERR\r\n")
	case ModeReset:
		f.conn.(*net.TCPConn).SetLinger(0)
	case ModeSilent:
		f.in.ReadString('\n')
	}
}

// unlimitedLoad returns the load that a member with unlimited capacity reports in its answer to line
// number n of a flow.
func unlimitedLoad(n int) float64 { return 50000 + float64(n) }

// answerLines answers the lines of an accepted flow until the flow ends. It reports whether the
// member ended it.
func (m *Member) answerLines(f *flow) (endedByMember bool) {
	for n := 1; ; n++ {
		line, err := f.in.ReadString('\n')
		if err != nil {
			m.mu.Lock()
			defer m.mu.Unlock()
			return f.endedByMember
		}
		if m.hasMode(ModeUnresponsive) {
			continue
		}
		if line == "END\r\n" {
			fmt.Fprint(f.conn, "BYE inflight=1\r\n")
			return true
		}
		time.Sleep(m.answerDelay())
		load := unlimitedLoad(n)
		if m.Capacity.Cores > 0 {
			load = f.Load
		}
		fmt.Fprintf(f.conn, "LOAD %g\r\nGOT %d %s", load, n, line)
	}
}

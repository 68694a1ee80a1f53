package line

import (
	"bytes"
	"errors"
	"io"
	"strconv"
	"strings"

	"dahliarudder/internal/core"
	"dahliarudder/internal/netloop"
	"dahliarudder/policy"
)

// This file is the member's side: attempts, and the open flows that they become.

// upstream is an upstream connection: one attempt at a member, and then the open flow.
type upstream struct {
	v      *clientConn
	c      *netloop.Conn
	member *core.Member
	try    int
	start  []byte // the first line
	opened bool
	silence
	tail   []byte  // the start of the line that is passing
	load   float64 // as the member told it last
	word   string  // the last whole line that means something: BYE or MOVE
	report policy.Report
}

// Open is told by the loop.
func (s *upstream) Open() {
	s.opened = true
	s.c.Write(s.start)
}

// Drained is told by the loop.
func (s *upstream) Drained() {
	if s.v.phase == standing && s.v.upstream == s {
		s.v.c.Resume()
	}
}

// Data is told by the loop.
func (s *upstream) Data(b []byte) int {
	if s.v.upstream != s {
		return len(b)
	}
	if s.v.phase == standing {
		return s.backward(b)
	}
	text, n, err := cutLine(b)
	if n == 0 && err == nil {
		return 0
	}
	if err != nil {
		s.settle(policy.Error, policy.NoReport)
		return len(b)
	}
	word, rest, _ := strings.Cut(text, " ")
	switch word {
	case "UP":
		if !s.v.f.Core.Up(s.v.id, s.try) {
			return len(b)
		}
		v := s.v
		v.phase, s.heard = standing, v.f.Loop.Now()
		v.f.open[v] = struct{}{}
		v.c.Write(b[:n])
		if n < len(b) {
			n += s.backward(b[n:])
		}
		// Lines that the client sent early wait in its buffer.
		v.f.Loop.After(0, v.c.Resume)
		return n
	case "BUSY":
		s.settle(policy.Full, parseReport(rest))
	case "BYE":
		v := s.v
		v.c.Write(b[:n])
		s.settle(policy.OK, parseReport(rest))
		v.close()
	case "MOVE":
		s.settle(policy.Cancelled, policy.NoReport)
	default:
		s.settle(policy.Error, parseReport(rest))
	}
	return len(b)
}

// settle ends an attempt that has not come up.
func (s *upstream) settle(result policy.Result, report policy.Report) {
	s.c.Finish()
	s.v.upstream = nil
	s.v.f.Core.Ended(s.v.id, s.try, result, report)
}

// end ends a flow that stood.
func (s *upstream) end(result policy.Result) {
	s.v.f.Core.Ended(s.v.id, s.try, result, s.report)
}

// End is told by the loop.
func (s *upstream) End(err error) {
	v := s.v
	if v.upstream != s {
		s.c.Finish()
		return
	}
	if v.phase != standing {
		result := policy.Reset
		switch {
		case errors.Is(err, netloop.ErrFull): // the relay's own want, not the member's failure
			result = policy.Moot
		case !s.opened || s.c.Unsent() > 0:
			result = policy.ConnectFailed
		}
		s.settle(result, policy.NoReport)
		return
	}
	s.c.Finish()
	if v.moving != nil {
		v.close()
		return
	}
	result := policy.Reset
	switch s.word {
	case "BYE":
		result = policy.OK
	case "MOVE":
		result = policy.Cancelled
	}
	if err != io.EOF {
		v.c.Reset() // before close, which would end it politely
	}
	v.close()
	s.end(result)
}

// forward passes a client's bytes on, and notes when a line of it went.
func (s *upstream) forward(b []byte) int {
	n := min(len(b), s.c.Room())
	s.c.Write(b[:n])
	if n > 0 {
		s.sent(s.v.f.Loop.Now(), bytes.IndexByte(b[:n], '\n') >= 0)
	}
	return n
}

// tailMost is how much of a passing line is looked at.
const tailMost = 256

// backward passes a member's bytes on, line by line, and reads what they tell.
func (s *upstream) backward(b []byte) int {
	v := s.v
	b = b[:min(len(b), v.c.Room())]
	used := 0
	for used < len(b) {
		part := b[used:]
		end := bytes.IndexByte(part, '\n')
		if end >= 0 {
			part = part[:end+1]
		}
		used += len(part)
		v.c.Write(part)
		if room := tailMost - len(s.tail); room > 0 {
			s.tail = append(s.tail, part[:min(room, len(part))]...)
		}
		v.within = end < 0
		if end >= 0 {
			s.passed(strings.TrimRight(string(s.tail), "\r\n"))
			s.tail = s.tail[:0]
			if v.moving != nil {
				v.moving.Stop()
				v.c.Write([]byte("MOVE\r\n"))
				v.endBoth()
				break
			}
		}
	}
	return used
}

// passed reads a whole line that a member sent on an open flow.
func (s *upstream) passed(text string) {
	word, rest, _ := strings.Cut(text, " ")
	switch word {
	case "LOAD":
		if load, err := strconv.ParseFloat(rest, 64); err == nil {
			s.load = load / 1e6
			s.v.f.Core.Load(s.v.id, s.load)
		}
		return
	case "BYE":
		s.word, s.report, s.last = word, parseReport(rest), s.v.f.Loop.Now()
	case "MOVE":
		s.word, s.last = word, s.v.f.Loop.Now()
	}
	if took, owed := s.answered(s.v.f.Loop.Now()); owed {
		s.v.f.Core.Message(s.v.id, took)
	}
}

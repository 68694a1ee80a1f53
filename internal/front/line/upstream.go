package line

import (
	"bytes"
	"errors"
	"io"
	"strconv"
	"strings"
	"time"

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
	until  time.Duration // when it is abandoned
	state  attemptState
	silence
	tail   []byte  // the start of the line that is passing
	load   float64 // as the member told it last
	report policy.Report
	unread int // bytes on the open flow that have had no room
}

// on has an event happen. One that ends the attempt, or the open flow, is told to the core.
func (s *upstream) on(e attemptEvent) {
	next, result, ended := s.state.next(e)
	s.state = next
	if ended {
		s.c.Finish()
		s.v.f.Core.AttemptEnded(s.v.id, s.try, result, s.report)
	}
}

// abandon ends the connection at once; what still comes on it is nobody's answer.
func (s *upstream) abandon() { s.leave(s.c.Reset) }

// leave ends the connection by end, unless it is ended already.
func (s *upstream) leave(end func()) {
	if s.state == attemptFinished {
		return
	}
	s.state, _, _ = s.state.next(attemptAbandoned)
	end()
}

// clientLeft ends an open flow by end, for its client's end. Where the member has parted before, the flow has ended by that.
func (s *upstream) clientLeft(end func()) {
	_, result, _ := s.state.next(attemptBroke)
	parted := s.state.lastWord() != ""
	s.leave(end)
	if parted {
		s.v.f.Core.AttemptEnded(s.v.id, s.try, result, s.report)
	} else {
		s.v.f.Core.ClientGone(s.v.id)
	}
}

// Open is told by the loop. The first line is written once all that the round brings has been heard: the client's
// end may be among it.
func (s *upstream) Open() {
	s.on(attemptComesUp)
	s.v.f.Loop.After(0, s.ask)
}

// ask writes the first line.
func (s *upstream) ask() {
	if s.state != attemptConnected {
		return
	}
	if !s.v.f.Core.MaySend(s.v.id, s.try) { // the member may have left while the connection was being set up
		s.on(attemptUnmade)
		return
	}
	s.on(attemptAsks)
	s.c.Write(s.v.open.line(s.until - s.v.f.Loop.Now()))
	s.c.ResumeReading() // a member may have spoken before it was asked
}

// Drained is told by the loop.
func (s *upstream) Drained() {
	if s.state.isOpen() || s.v.state == clientParting {
		s.v.c.ResumeReading()
	}
}

// Data is told by the loop.
func (s *upstream) Data(b []byte) int {
	if s.state.isOpen() {
		return s.pass(b)
	}
	switch s.state {
	case attemptFinished:
		return len(b)
	case attemptConnected:
		return 0
	}
	text, n, err := cutLine(b)
	if n == 0 && err == nil {
		return 0
	}
	if err != nil {
		s.on(attemptSaysOther)
		return len(b)
	}
	return s.answer(text, b, n)
}

// answer takes the member's answer to the first line, which is the first n bytes of b. It returns how many were taken.
func (s *upstream) answer(text string, b []byte, n int) int {
	word, rest, _ := strings.Cut(text, " ")
	if word == "UP" {
		return s.up(b, n)
	}
	if word != "MOVE" {
		s.report = parseReport(rest)
	}
	switch word {
	case "BUSY":
		s.on(attemptSaysBusy)
	case "BYE":
		s.v.c.Write(b[:n])
		s.on(attemptSaysBye)
		s.v.on(clientServed)
	case "MOVE":
		s.on(attemptSaysMove)
	default:
		s.on(attemptSaysOther)
	}
	return len(b)
}

// up passes UP on, and what follows it.
func (s *upstream) up(b []byte, n int) int {
	v := s.v
	if !v.f.Core.FlowEstablished(v.id, s.try) {
		return len(b)
	}
	s.heard = v.f.Loop.Now()
	s.on(attemptSaysUp)
	v.c.Write(b[:n])
	v.on(clientUp)
	if n < len(b) {
		n += s.pass(b[n:])
	}
	return n
}

// End is told by the loop.
func (s *upstream) End(err error) {
	open := s.state.isOpen()
	if open && err == io.EOF && s.unread > 0 {
		s.v.on(memberEndedUnread)
		return
	}
	if open || s.v.state == clientParting {
		s.endClient(err)
	}
	switch {
	case !open && errors.Is(err, netloop.ErrNoDescriptors):
		s.on(attemptUnmade)
	case !open && (s.state.isUnasked() || s.c.Unsent() > 0):
		s.on(attemptUnwritten)
	default:
		s.on(attemptBroke)
	}
}

// endClient ends the client's side in the manner of the member's.
func (s *upstream) endClient(err error) {
	if err == io.EOF {
		s.v.on(memberEnded)
	} else {
		s.v.on(memberReset)
	}
}

// forward passes a client's bytes on, and notes when a line of it went.
func (s *upstream) forward(b []byte) int {
	n := min(len(b), s.c.WriteCapacity())
	s.c.Write(b[:n])
	if n > 0 {
		s.sent(s.v.f.Loop.Now(), bytes.IndexByte(b[:n], '\n') >= 0)
	}
	return n
}

// tailMost is how much of a passing line is looked at.
const tailMost = 256

// pass passes on what there is room for of a member's bytes, and says how many they were.
func (s *upstream) pass(b []byte) int {
	n := s.backward(b)
	if s.unread = len(b) - n; s.unread == 0 {
		s.v.on(memberDrained)
	}
	return n
}

// backward passes a member's bytes on, line by line, and reads what they tell.
func (s *upstream) backward(b []byte) int {
	v := s.v
	b = b[:min(len(b), v.c.WriteCapacity())]
	used := 0
	for used < len(b) && v.state != clientClosed {
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
		if end < 0 {
			v.on(clientLinePart)
			break
		}
		text := strings.TrimRight(string(s.tail), "\r\n")
		s.tail = s.tail[:0]
		if v.on(clientLineEnd); v.state == clientClosed {
			break
		}
		s.passed(text)
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
			s.v.f.Core.UpdateLoad(s.v.id, s.load)
		}
		return
	case "BYE":
		s.report, s.last = parseReport(rest), s.v.f.Loop.Now()
		s.on(attemptSaysBye)
	case "MOVE":
		s.last = s.v.f.Loop.Now()
		s.on(attemptSaysMove)
	}
	if took, owed := s.answered(s.v.f.Loop.Now()); owed {
		s.v.f.Core.ObserveMessageLatency(s.v.id, took)
	}
}

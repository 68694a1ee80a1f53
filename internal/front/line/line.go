// Package line is the front for the platform's protocol: lines of text between
// clients, the relay and pool members. A virtual server is the client's side of a
// connection, a server-side flow is one attempt at a member. See docs/design.md,
// "The line front".
package line

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"dahliarudder/internal/core"
	"dahliarudder/internal/netloop"
	"dahliarudder/internal/settings"
	"dahliarudder/policy"
)

// Times of this front.
const (
	firstWithin = 2 * time.Second        // for a first line to come; 3 s are allowed
	pingIdle    = 30 * time.Second       // a connection that was answered PONG may stay without a request
	clientGone  = 30 * time.Second       // a client that sends no line for so long; each sends one every 2 s
	sweepEvery  = 250 * time.Millisecond // how often that is looked for
	MoveWithin  = 500 * time.Millisecond // for the line to end after which MOVE may stand; a stop waits for it too
	crowdAfter  = 500 * time.Millisecond // when a client may come again that found no descriptors
)

// Front serves the platform's protocol.
type Front struct {
	Loop *netloop.Loop
	Core *core.Core
	Log  logrus.FieldLogger

	connectWithin time.Duration
	probeIdle     time.Duration         // how long a probe's connection is kept
	open          map[*virtual]struct{} // whose flow stands
	fresh         map[*virtual]struct{} // whose first line has not come
	ids           map[uint64]*virtual   // by the client's id, from its first line to its end
	elsewhere     map[uint64]bool       // ids of requests that another process of this relay holds
	probes        map[policy.ServerID]*probe
}

// New makes a front on the core.
func New(loop *netloop.Loop, c *core.Core, log logrus.FieldLogger) *Front {
	f := &Front{Loop: loop, Core: c, Log: log, connectWithin: c.Limits().ConnectTimeout,
		probeIdle: time.Duration(probeIdle * float64(cmp.Or(settings.Span(c.Settings.Limits.Keepalive), keepalive))),
		open:      map[*virtual]struct{}{}, fresh: map[*virtual]struct{}{}, elsewhere: map[uint64]bool{}, ids: map[uint64]*virtual{}, probes: map[policy.ServerID]*probe{}}
	loop.After(sweepEvery, f.sweep)
	return f
}

// Accept serves a client's connection.
func (f *Front) Accept(c *netloop.Conn) {
	v := &virtual{f: f, c: c}
	f.fresh[v] = struct{}{}
	v.idle = f.Loop.After(firstWithin, v.Fail)
	c.Spare(v.Fail)
	c.EndFirst(true)
	c.Handle(v)
}

// Held is how many clients have asked and are not done with: they wait, their flow stands, or it waits for the end
// of a line to be moved.
func (f *Front) Held() int { return len(f.ids) }

// Leave ends the connections on which nothing was asked yet. BUSY answers who asks in that very moment.
func (f *Front) Leave() {
	for v := range f.fresh {
		v.Reject(crowdAfter)
	}
}

// sweep moves clients whose member has gone silent, and ends flows whose client
// has: a machine that vanished ends no connection.
func (f *Front) sweep() {
	now := f.Loop.Now()
	for v := range f.open {
		if s := v.flow; s.silent(now) {
			f.Log.WithField("member", s.member.Name).Warn("member has gone silent")
			v.Move()
			s.end(policy.Reset)
		} else if s.ended(now) {
			s.End(io.EOF)
		} else if s.gone(now) {
			s.c.Finish()
			v.close()
			f.Core.Left(v.id)
		}
	}
	f.Loop.After(sweepEvery, f.sweep)
}

// cutLine takes a line off b. Without one, used is 0 and err tells if none can
// come any more.
func cutLine(b []byte) (text string, used int, err error) {
	end := bytes.IndexByte(b[:min(len(b), maxLine)], '\n')
	if end < 0 {
		if len(b) >= maxLine {
			err = fmt.Errorf("%w: over %d bytes", errSyntax, maxLine)
		}
		return "", 0, err
	}
	if end == 0 || b[end-1] != '\r' {
		return "", end + 1, fmt.Errorf("%w: no CRLF", errSyntax)
	}
	return string(b[:end-1]), end + 1, nil
}

// ---- The client's side ----

type phase int

const (
	first phase = iota // its first line has not come
	placing
	standing
	over
)

// virtual is a virtual server.
type virtual struct {
	f      *Front
	c      *netloop.Conn
	id     core.ID
	phase  phase
	open   opening
	flow   *flow
	idle   *netloop.Timer
	within bool // the client has got a part of a line
	moving *netloop.Timer
}

// Open is told by the loop; the connection stands already.
func (v *virtual) Open() {}

// Data is told by the loop.
func (v *virtual) Data(b []byte) int {
	used := 0
	for v.phase == first && used < len(b) {
		text, n, err := cutLine(b[used:])
		if n == 0 && err == nil {
			return used
		}
		used += n
		if err == nil {
			err = v.line(text)
		}
		if err != nil {
			v.f.Log.WithError(err).Debug("first line")
			v.Fail()
		}
	}
	switch v.phase {
	case standing:
		return used + v.flow.forward(b[used:])
	case over:
		return len(b)
	}
	return used
}

// line takes a first line.
func (v *virtual) line(text string) error {
	if text == "PING" {
		answer := "PONG\r\n"
		if !v.f.Core.Ready() {
			answer = "ERR\r\n"
		}
		v.c.Write([]byte(answer))
		v.idle.Stop()
		v.idle = v.f.Loop.After(pingIdle, v.close)
		v.c.Spare(v.close)
		return nil
	}
	open, err := parseOpen(v.f.Core.Settings, text)
	if err != nil {
		return err
	}
	if v.f.ids[open.id] != nil || v.f.elsewhere[open.id] {
		return fmt.Errorf("%w: the id of an open request", errSyntax)
	}
	v.idle.Stop()
	v.c.Spare(nil)
	v.phase, v.open = placing, open
	delete(v.f.fresh, v)
	v.f.ids[open.id] = v
	if v.f.Loop.Short() {
		v.Reject(crowdAfter)
		return nil
	}
	v.f.Core.Open(open.request, v)
	return nil
}

// Drained is told by the loop.
func (v *virtual) Drained() {
	if v.phase == standing {
		v.flow.c.Resume()
	}
}

// End is told by the loop.
func (v *virtual) End(err error) {
	switch v.phase {
	case standing:
		// The flow ends in the same manner.
		end := v.flow.c.Finish
		if err != io.EOF {
			end = v.flow.c.Reset
		}
		v.close()
		end()
		v.f.Core.Left(v.id)
	case placing:
		v.close()
		v.f.Core.Left(v.id)
	default:
		v.close()
	}
}

// Send starts a server-side flow.
func (v *virtual) Send(id core.ID, to *core.Member, try int, wait time.Duration) {
	v.id = id
	s := &flow{v: v, member: to, try: try, start: v.open.line(wait)}
	v.flow = s
	s.c = v.f.Loop.Dial(to.Addr, min(v.f.connectWithin, wait), s)
}

// Cancel abandons it.
func (v *virtual) Cancel(int) {
	if v.flow != nil {
		v.flow.c.Reset()
		v.flow = nil
	}
}

// Reject answers that coming again is harmless.
func (v *virtual) Reject(after time.Duration) {
	answer := "BUSY\r\n"
	if after > 0 {
		answer = "BUSY " + strconv.FormatInt(max(1, after.Milliseconds()), 10) + "\r\n"
	}
	v.c.Write([]byte(answer))
	v.close()
}

// Fail answers without any promise.
func (v *virtual) Fail() {
	v.c.Write([]byte("ERR\r\n"))
	v.close()
}

// Move asks the client to come again: it puts MOVE between two lines and ends
// both sides.
func (v *virtual) Move() {
	if v.phase != standing || v.moving != nil {
		return
	}
	if !v.within {
		v.c.Write([]byte("MOVE\r\n"))
		v.endBoth()
		return
	}
	v.moving = v.f.Loop.After(MoveWithin, v.endBoth)
	delete(v.f.open, v)
}

func (v *virtual) endBoth() {
	v.flow.c.Finish()
	v.close()
}

// close is the one end of a virtual server; its client sees a polite end.
func (v *virtual) close() {
	v.idle.Stop()
	v.moving.Stop()
	v.phase = over
	delete(v.f.open, v)
	delete(v.f.fresh, v)
	if v.f.ids[v.open.id] == v {
		delete(v.f.ids, v.open.id)
	}
	v.c.Finish()
}

// ---- The member's side ----

// flow is a server-side flow.
type flow struct {
	v      *virtual
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
func (s *flow) Open() {
	if !s.v.f.Core.Begin(s.v.id, s.try) {
		s.over(policy.Moot, policy.NoReport)
		return
	}
	s.opened = true
	s.c.Write(s.start)
}

// Drained is told by the loop.
func (s *flow) Drained() {
	if s.v.phase == standing && s.v.flow == s {
		s.v.c.Resume()
	}
}

// Data is told by the loop.
func (s *flow) Data(b []byte) int {
	if s.v.flow != s {
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
		s.over(policy.Error, policy.NoReport)
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
		v.c.EndFirst(false) // what the client has sent by then goes on
		v.f.open[v] = struct{}{}
		v.c.Write(b[:n])
		if n < len(b) {
			n += s.backward(b[n:])
		}
		// Lines that the client sent early wait in its buffer.
		v.f.Loop.After(0, v.c.Resume)
		return n
	case "BUSY":
		s.over(policy.Full, parseReport(rest))
	case "BYE":
		v := s.v
		v.c.Write(b[:n])
		s.over(policy.OK, parseReport(rest))
		v.close()
	case "MOVE":
		s.over(policy.Cancelled, policy.NoReport)
	default:
		s.over(policy.Error, parseReport(rest))
	}
	return len(b)
}

// over ends a flow that has not stood.
func (s *flow) over(result policy.Result, report policy.Report) {
	s.c.Finish()
	s.v.flow = nil
	s.v.f.Core.Ended(s.v.id, s.try, result, report)
}

// end ends a flow that stood.
func (s *flow) end(result policy.Result) {
	s.v.f.Core.Ended(s.v.id, s.try, result, s.report)
}

// End is told by the loop.
func (s *flow) End(err error) {
	v := s.v
	if v.flow != s {
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
		s.over(result, policy.NoReport)
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
func (s *flow) forward(b []byte) int {
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
func (s *flow) backward(b []byte) int {
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
func (s *flow) passed(text string) {
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

// ---- Probes ----

const (
	probeWithin = 400 * time.Millisecond
	// probeIdle is the part of the settings' keepalive for which an idle connection to a member is kept: one that
	// the member ends just as it is used costs a second connection.
	probeIdle, keepalive = 0.8, 5 * time.Second // the latter where the settings do not say
)

// probe is the connection on which one member is probed.
type probe struct {
	f      *Front
	id     policy.ServerID
	addr   string
	c      *netloop.Conn
	asked  bool // an answer is owed
	reused bool // and the connection has brought one before
	within *netloop.Timer
}

// Probe asks a member for its load; the answer goes to the core.
func (f *Front) Probe(to *core.Member) {
	p := f.probes[to.ID]
	if p == nil {
		p = &probe{f: f, id: to.ID}
		f.probes[to.ID] = p
	}
	if p.asked {
		return
	}
	p.asked = true
	p.within.Stop()
	p.within = f.Loop.After(probeWithin, func() { p.done(policy.Timeout, policy.NoReport) })
	if p.c != nil && p.addr == to.Addr {
		p.reused = true
		p.c.Write(stats)
		return
	}
	p.hangUp()
	p.addr = to.Addr
	p.dial()
}

var stats = []byte("STATS\r\n")

func (p *probe) dial() {
	p.reused = false
	p.c = p.f.Loop.Dial(p.addr, p.f.connectWithin, p)
}

func (p *probe) hangUp() {
	if p.c != nil {
		p.c.Finish()
		p.c = nil
	}
}

// Open is told by the loop.
func (p *probe) Open() { p.c.Write(stats) }

// Drained is told by the loop.
func (p *probe) Drained() {}

// Data is told by the loop.
func (p *probe) Data(b []byte) int {
	text, n, err := cutLine(b)
	if n == 0 && err == nil {
		return 0
	}
	if !p.asked {
		p.hangUp()
		return len(b)
	}
	word, rest, _ := strings.Cut(text, " ")
	switch {
	case err != nil:
		p.done(policy.Error, policy.NoReport)
	case word == "PONG":
		p.done(policy.OK, parseReport(rest))
	case word == "BUSY":
		p.done(policy.Full, parseReport(rest))
	default:
		p.done(policy.Error, parseReport(rest))
	}
	return n
}

// End is told by the loop.
func (p *probe) End(err error) {
	p.hangUp()
	switch {
	case !p.asked:
		p.within.Stop()
	case errors.Is(err, netloop.ErrFull):
		p.done(policy.Moot, policy.NoReport)
	case errors.Is(err, netloop.ErrDialTimeout): // it says nothing at all
		p.done(policy.Timeout, policy.NoReport)
	case p.reused && p.f.Core.Reachable(p.id): // it may have been ended for idleness just then
		p.dial()
	case errors.Is(err, io.EOF) || p.c != nil:
		p.done(policy.Reset, policy.NoReport)
	default:
		p.done(policy.ConnectFailed, policy.NoReport)
	}
}

// done tells the answer; only a connection that brought one is kept for a while.
func (p *probe) done(result policy.Result, report policy.Report) {
	p.asked = false
	p.within.Stop()
	if result == policy.OK {
		p.within = p.f.Loop.After(p.f.probeIdle, p.hangUp)
	} else {
		p.hangUp()
	}
	p.f.Core.Probed(p.id, result, report)
}

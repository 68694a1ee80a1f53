package nats

import (
	"fmt"
	"strconv"
	"time"

	"dahliarudder/internal/core"
	"dahliarudder/internal/netloop"
	"dahliarudder/policy"
)

// sub is a subscription: a flow that stays. While its client holds it, the relay places it
// again whenever it is moved, refused or its member is lost, each time as a new request.
type sub struct {
	c       *client
	sid     string
	subject string
	queue   string
	max     int // messages after which it ends; 0 for none
	got     int
	base    int  // how many it had got when it came to its member
	local   bool // on the relay's own subjects
	filter  bool // some of what it takes its client may not see
	known   bool // it has stood, or its client was told that it does not yet
	stood   bool
	warned  bool // its client was told that it does not stand
	id      core.ID
	try     int
	link    *link
	lsid    int // its sid there
	up      bool
	since   time.Duration // when it was asked for, or lost its place
	again   *netloop.Timer
	over    bool

	// A member that it leaves sends what it had sent before, and only then does another get it.
	left     *link
	leftSid  int
	leftBy   *netloop.Timer
	then     func() // waits for that
	draining bool   // it has ended, but for that
}

func (c *client) subscribe(m *command) {
	if !validSubject(m.subject, true) {
		c.warn("Invalid Subject")
		return
	}
	if !c.may.CanSubscribe(string(m.subject), string(m.queue)) {
		text := fmt.Sprintf("Permissions Violation for Subscription to %q", m.subject)
		if len(m.queue) > 0 {
			text += fmt.Sprintf(" using queue %q", m.queue)
		}
		c.warn(text)
		return
	}
	if c.subs[string(m.sid)] != nil { // as at a server: the first one stays
		c.ok()
		return
	}
	if len(c.subs) >= c.f.MaxSubscriptions {
		c.warn("maximum subscriptions exceeded")
		return
	}
	s := &sub{c: c, sid: string(m.sid), subject: string(m.subject), queue: string(m.queue), local: ownSubject(m.subject),
		since: c.f.Loop.Now(), filter: c.may.NeedsFilter(string(m.subject))}
	if c.subs == nil {
		c.subs = map[string]*sub{}
	}
	c.subs[s.sid] = s
	if s.local {
		s.known = true
		c.ok()
		return
	}
	c.placing++
	s.place()
	text := ""
	if c.options.Verbose {
		text = "+OK\r\n"
	}
	c.answer(ticket{sub: s, text: text})
}

func (s *sub) place() {
	if s.over {
		return
	}
	f := s.c.f
	q := f.request("", f.destination([]byte(s.subject)))
	if f.Core.Recorder != nil {
		q.Name = "SUB " + s.subject
	}
	q.Key = hash(s.subject)
	q.Group, q.Reconnect = q.Key, s.stood
	s.id = f.Core.Open(q, s)
}

// Send subscribes at a member.
func (s *sub) Send(id core.ID, to *core.Member, try int, _ time.Duration) {
	s.id, s.try = id, try
	l := s.c.holder(to)
	s.link, s.lsid = l, l.add(s)
	l.do(func() {
		if s.link != l {
			return
		}
		s.then = func() { s.join(l) }
		if s.left == nil {
			s.join(l)
		}
	})
}

// join asks for the subscription, where nothing holds it any more elsewhere.
func (s *sub) join(l *link) {
	s.then = nil
	if s.link != l {
		return
	}
	if !s.c.f.Core.MaySend(s.id, s.try) { // the member has left while its connection was on its way
		l.drop(s.lsid)
		s.lost(policy.NotSent)
		return
	}
	s.base = s.got
	out := append(append(l.c.Buffer(len(s.subject)+len(s.queue)+lineRoom), "SUB "...), s.subject...)
	if s.queue != "" {
		out = append(append(out, ' '), s.queue...)
	}
	out = strconv.AppendInt(append(out, ' '), int64(s.lsid), 10)
	l.commit(append(out, '\r', '\n'))
	if s.max > 0 {
		l.queue(fmt.Appendf(nil, "UNSUB %d %d\r\n", s.lsid, s.max-s.base))
	}
	l.confirm(func() {
		if s.link == l && !s.over && s.c.f.Core.FlowEstablished(s.id, s.try) {
			s.up, s.stood, s.warned = true, true, false
			s.tell()
		}
	})
}

// tell lets publications go on that waited for the subscription.
func (s *sub) tell() {
	if !s.known {
		s.known = true
		s.c.placing--
		s.c.settle() // before the messages that may follow
		s.c.goOn()
	}
}

// leave gives up the member's side, but takes what the member has sent before it knows.
func (s *sub) leave() {
	l := s.link
	if l == nil {
		return
	}
	s.then = nil
	s.leaveDone()
	s.link, s.up = nil, false
	if !l.ready || l.over {
		l.drop(s.lsid)
		return
	}
	s.left, s.leftSid = l, s.lsid
	l.queue(fmt.Appendf(nil, "UNSUB %d\r\n", s.lsid))
	l.confirm(func() {
		if s.left == l {
			s.leaveDone()
		}
	})
	s.leftBy = s.c.f.Loop.After(drainWithin, s.leaveDone)
}

// leaveDone says that nothing more comes from the member that was left.
func (s *sub) leaveDone() {
	if s.left == nil {
		return
	}
	s.leftBy.Stop()
	s.left.drop(s.leftSid)
	s.left = nil
	if s.draining {
		s.draining = false
		s.c.goOn()
	}
	if then := s.then; then != nil {
		then()
	}
}

// Cancel abandons the attempt, or the subscription at its member.
func (s *sub) Cancel(int) {
	if l := s.link; l != nil {
		if l.ready {
			l.queue(fmt.Appendf(nil, "UNSUB %d\r\n", s.lsid))
		}
		l.drop(s.lsid)
		s.link, s.up, s.then = nil, false, nil
	}
}

// Migrate takes the subscription to another member; a relay that stops sends the
// client elsewhere instead.
func (s *sub) Migrate() {
	s.leave()
	if s.c.f.leaving {
		s.c.f.Loop.After(0, s.c.close) // it connects again, elsewhere
		return
	}
	s.since = s.c.f.Loop.Now()
	s.replace(0)
}

// replace places it again, after the core is done with its last request.
func (s *sub) replace(after time.Duration) {
	s.again.Stop()
	s.again = s.c.f.Loop.After(after, s.place)
}

// Reject has it ask again when the module says.
func (s *sub) Reject(after time.Duration) { s.refused(after) }

// Fail does the same.
func (s *sub) Fail() { s.refused(againAfter) }

// refused asks for it again until the client gives it up. A client is told once when it has
// been without its subscription for as long as its class waits.
func (s *sub) refused(after time.Duration) {
	f := s.c.f
	if f.leaving {
		f.Loop.After(0, s.c.close)
		return
	}
	if to := f.destination([]byte(s.subject)); !s.warned && f.Loop.Now()+after-s.since >= f.Core.PolicySettings().Classes[to.class].Deadline {
		s.warned = true
		f.Counts.Rejected++
		s.c.warn(fmt.Sprintf("Permissions Violation for Subscription to %q: rejected, asked for again in %d ms", s.subject, after.Milliseconds()))
		s.tell()
	}
	s.replace(max(after, againAfter))
}

// lost is told by the link when the member's side is gone.
func (s *sub) lost(result policy.Result) {
	up := s.up
	s.link, s.up, s.then = nil, false, nil
	s.c.f.Core.AttemptEnded(s.id, s.try, result, policy.NoReport)
	if up && !s.over {
		s.since = s.c.f.Loop.Now()
		s.replace(0)
	}
}

// take delivers a message.
func (s *sub) take(m *command) {
	c := s.c
	if c.over || s.over && !s.draining {
		return
	}
	if s.filter && c.may.Denies(string(m.subject)) {
		return
	}
	c.replies.RecordRequest(c.f.Loop.RoundStart(), m.reply)
	if m.header > 0 {
		if who := untag(m); who != nil && !c.echo() && string(who) == c.origin() {
			return
		}
		if m.header > 0 && !c.options.Headers {
			m.payload, m.header = m.payload[m.header:], 0
		}
	}
	c.c.Commit(m.appendMessage(c.c.Buffer(m.room(s.sid)), s.sid))
	s.counted()
}

// counted notes that a message was delivered, and ends the subscription after
// its last one.
func (s *sub) counted() {
	if s.got++; s.max > 0 && s.got >= s.max && !s.over {
		s.max = -1 // the member has ended it too
		s.end()
	}
}

// limit is the client's UNSUB.
func (s *sub) limit(most int) {
	if s.over {
		return
	}
	if most <= s.got {
		s.end()
		if s.draining { // what the client says after it waits for what it still gets
			s.c.placing++
			s.c.answers = append([]ticket{{sub: s, ends: true, then: func() { s.c.placing--; s.c.goOn() }}}, s.c.answers...)
		}
		return
	}
	s.max = most
	if s.link != nil && s.link.ready && s.then == nil {
		s.link.queue(fmt.Appendf(nil, "UNSUB %d %d\r\n", s.lsid, s.max-s.base))
	}
}

// end is the one end of a subscription.
func (s *sub) end() {
	if s.over {
		return
	}
	s.over = true
	s.again.Stop()
	delete(s.c.subs, s.sid)
	if s.local {
		return
	}
	if s.up && !s.c.over && s.max >= 0 {
		s.leave()
	}
	s.then = nil
	s.draining = s.left != nil && !s.c.over && s.max >= 0
	s.c.f.Core.ClientGone(s.id)
	if s.c.over {
		s.leaveDone()
	}
	s.tell()
}

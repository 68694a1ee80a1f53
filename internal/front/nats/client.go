package nats

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"time"

	"dahliarudder/internal/core"
	"dahliarudder/internal/netloop"
	"dahliarudder/policy"
)

// client is the connection of a NATS client. Its commands take effect one after
// another, as at a server: a publication, and a PING, wait until all before them
// have their final answer; subscriptions are placed side by side.
type client struct {
	f       *Front
	c       *netloop.Conn
	options struct {
		Verbose      bool `json:"verbose"`
		Pedantic     bool `json:"pedantic"`
		Headers      bool `json:"headers"`
		NoResponders bool `json:"no_responders"`
	}
	connect   map[string]any // what CONNECT said; nil before it
	subs      map[string]*sub
	links     map[linkKey]*link
	asked     map[core.ID]*asked
	pub       *publication // the one that has no final answer yet
	placing   int          // new subscriptions that have none
	pings     int          // that the client has not answered
	timer     *netloop.Timer
	leftBytes bool // the client has ended its sending, but what it sent is not done yet
	over      bool
}

func (c *client) write(b []byte) { c.c.Write(b) }

// Open is told by the loop.
func (c *client) Open() {}

// Drained is told by the loop.
func (c *client) Drained() {
	for _, l := range c.links {
		l.c.Resume()
	}
}

// Data is told by the loop.
func (c *client) Data(b []byte) int {
	used := 0
	for !c.over {
		m, n, err := parse(b[used:], c.f.MaxPayload)
		if err != nil {
			c.fail(err.Error())
			break
		}
		if n == 0 || c.mustWait(m.op) {
			return used
		}
		used += n
		c.do(m)
	}
	if c.over {
		return len(b)
	}
	return used
}

func (c *client) mustWait(op string) bool {
	switch op {
	case "PUB", "HPUB", "PING":
		return c.pub != nil || c.placing > 0
	case "SUB", "UNSUB":
		return c.pub != nil
	}
	return false
}

// goOn takes up the commands that waited.
func (c *client) goOn() {
	if c.over {
		return
	}
	c.f.Loop.After(0, func() {
		c.c.Resume()
		if c.leftBytes && c.pub == nil && c.placing == 0 {
			c.close()
		}
	})
}

// End is told by the loop.
func (c *client) End(err error) {
	if err == io.EOF && (c.pub != nil || c.placing > 0) {
		c.leftBytes = true
		return
	}
	c.close()
}

func (c *client) do(m command) {
	if c.connect == nil && m.op != "CONNECT" {
		c.fail("Authorization Violation")
		return
	}
	switch m.op {
	case "CONNECT":
		connect := map[string]any{}
		if json.Unmarshal([]byte(m.rest), &connect) != nil || json.Unmarshal([]byte(m.rest), &c.options) != nil {
			c.fail(errParse.Error())
			return
		}
		c.connect = connect
		c.c.Spare(nil)
		c.keepAlive()
		c.ok()
	case "PING":
		c.write([]byte("PONG\r\n"))
	case "PONG":
		c.pings = 0
	case "PUB", "HPUB":
		c.publish(m)
	case "SUB":
		c.subscribe(m)
	case "UNSUB":
		if s := c.subs[m.sid]; s != nil {
			s.limit(m.max)
		}
		c.ok()
	case "+OK", "-ERR":
	default:
		c.fail(errProtocol.Error())
	}
}

// keepAlive pings the client, and ends it when it no longer answers.
func (c *client) keepAlive() {
	c.timer.Stop()
	c.timer = c.f.Loop.After(clientPing, func() {
		if c.pings++; c.pings > clientPings {
			c.fail("Stale Connection")
			return
		}
		c.write([]byte("PING\r\n"))
		c.keepAlive()
	})
}

// holdsNothing says that the client may be sent elsewhere: no request of its is on
// its way or open.
func (c *client) holdsNothing() bool {
	for _, s := range c.subs {
		if !s.local {
			return false
		}
	}
	return c.pub == nil && len(c.asked) == 0
}

func (c *client) ok() {
	if c.options.Verbose {
		c.write([]byte("+OK\r\n"))
	}
}

// warn tells of an error that does not end the connection.
func (c *client) warn(text string) { c.write(fmt.Appendf(nil, "-ERR '%s'\r\n", text)) }

// fail tells of an error and ends the connection.
func (c *client) fail(text string) {
	c.warn(text)
	c.close()
}

// close is the one end of a client; all that it holds ends with it.
func (c *client) close() {
	if c.over {
		return
	}
	c.over = true
	delete(c.f.clients, c)
	c.timer.Stop()
	if c.pub != nil {
		c.f.Core.Left(c.pub.id)
	}
	for _, s := range c.subs {
		s.end()
	}
	for id, a := range c.asked {
		a.expire.Stop()
		c.f.Core.Left(id)
	}
	for _, l := range c.links {
		l.close()
	}
	c.c.Finish()
}

// deliver hands a message of the relay's own to the client's subscriptions.
func (c *client) deliver(m command) {
	for sid, s := range c.subs {
		if matches(s.subject, m.subject) {
			c.write(m.message(sid))
			s.counted()
			return
		}
	}
}

// ---- Publications ----

// publication is a short request: it is served once a member has taken it.
type publication struct {
	c    *client
	m    command
	id   core.ID
	try  int
	link *link
}

func (c *client) publish(m command) {
	if m.header > 0 && !c.options.Headers {
		c.fail("message headers not supported")
		return
	}
	if !validSubject(m.subject, false) {
		c.warn("Invalid Publish Subject")
		return
	}
	m.payload = append([]byte(nil), m.payload...) // it may be sent again
	if strings.HasPrefix(m.subject, reserved) {
		c.call(m)
		c.ok()
		return
	}
	p := &publication{c: c, m: m}
	c.pub = p
	p.id = c.f.Core.Open(c.f.request(m.op+" "+m.subject, m.subject), p)
}

// Send hands the publication to a member.
func (p *publication) Send(id core.ID, to *core.Member, try int, _ time.Duration) {
	p.id, p.try = id, try
	l := p.c.link(to, true)
	p.link = l
	l.do(func() {
		if p.link != l {
			return
		}
		text := p.m.publication()
		watch := p.m.reply != "" && p.c.options.NoResponders
		if watch { // the member tells only this connection that nobody listens
			text = append(fmt.Appendf(nil, "SUB %s %s\r\n", p.m.reply, noResponders), text...)
		}
		l.c.Write(text)
		l.ack(func() {
			if watch {
				l.c.Write([]byte("UNSUB " + noResponders + "\r\n"))
			}
			if p.link == l {
				p.ended(policy.OK)
			}
		})
	})
}

// noResponders is the sid by which a link hears that nobody listens.
const noResponders = "0"

// ended tells the core how the attempt ended; served, it is done.
func (p *publication) ended(result policy.Result) {
	p.link = nil
	if result == policy.OK {
		p.c.ok()
		p.done()
	}
	p.c.f.Core.Ended(p.id, p.try, result, policy.NoReport)
}

func (p *publication) done() {
	p.c.pub = nil
	p.c.goOn()
}

// Cancel abandons the attempt: only the end of its connection does that surely.
func (p *publication) Cancel(int) {
	if l := p.link; l != nil {
		p.link = nil
		l.lose(nil)
	}
}

// Reject tells the client when to come again, as far as the protocol can.
func (p *publication) Reject(after time.Duration) {
	p.refuse(fmt.Sprintf("rejected, come again in %d ms", after.Milliseconds()))
}

// Fail tells the client that the publication may or may not have been taken.
func (p *publication) Fail() { p.refuse("failed") }

// Move is for open flows; a publication is none.
func (p *publication) Move() {}

func (p *publication) refuse(why string) {
	if p.m.reply != "" && p.c.options.NoResponders {
		head := "NATS/1.0 503 " + why + "\r\n\r\n"
		p.c.deliver(command{subject: p.m.reply, header: len(head), payload: []byte(head)})
	} else {
		// The one kind of error that clients take without ending the connection.
		p.c.warn(fmt.Sprintf("Permissions Violation for Publish to %q: %s", p.m.subject, why))
	}
	p.done()
}

// ---- Subscriptions ----

// sub is a subscription: a request that stays. While its client holds it, the
// relay places it again whenever it is moved or its member is lost, each time as
// a new request.
type sub struct {
	c       *client
	sid     string
	subject string
	queue   string
	max     int // messages after which it ends; 0 for none
	got     int
	local   bool // on the relay's own subjects
	known   bool // the client has been told that it stands
	id      core.ID
	try     int
	link    *link
	lsid    string // its sid there
	up      bool
	fails   int
	again   *netloop.Timer
	over    bool
}

func (c *client) subscribe(m command) {
	if !validSubject(m.subject, true) {
		c.warn("Invalid Subject")
		return
	}
	if c.subs[m.sid] != nil { // as at a server: the first one stays
		c.ok()
		return
	}
	if len(c.subs) >= maxSubs {
		c.warn("maximum subscriptions exceeded")
		return
	}
	s := &sub{c: c, sid: m.sid, subject: m.subject, queue: m.queue, local: strings.HasPrefix(m.subject, reserved)}
	c.subs[m.sid] = s
	if s.local {
		c.ok()
		return
	}
	c.placing++
	s.place()
}

func (s *sub) place() {
	if !s.over {
		q := s.c.f.request("SUB "+s.subject, s.subject)
		q.Again = s.known
		s.id = s.c.f.Core.Open(q, s)
	}
}

// Send subscribes at a member.
func (s *sub) Send(id core.ID, to *core.Member, try int, _ time.Duration) {
	s.id, s.try = id, try
	l := s.c.link(to, false)
	s.link = l
	l.do(func() {
		if s.link != l {
			return
		}
		s.lsid = l.add(s)
		l.c.Write([]byte(strings.Join(strings.Fields("SUB "+s.subject+" "+s.queue+" "+s.lsid), " ") + "\r\n"))
		if s.max > 0 {
			l.c.Write(fmt.Appendf(nil, "UNSUB %s %d\r\n", s.lsid, s.max-s.got))
		}
		l.ack(func() {
			if s.link == l && s.c.f.Core.Up(s.id, s.try) {
				s.up, s.fails = true, 0
				s.tell()
			}
		})
	})
}

// tell tells the client, once, that the subscription stands or is refused.
func (s *sub) tell() {
	if !s.known {
		s.known = true
		s.c.placing--
		if !s.over {
			s.c.ok()
		}
		s.c.goOn()
	}
}

// detach gives up the member's side.
func (s *sub) detach() {
	if l := s.link; l != nil {
		s.link, s.up = nil, false
		l.remove(s)
	}
}

// Cancel abandons the attempt, or the subscription at its member.
func (s *sub) Cancel(int) { s.detach() }

// Move takes the subscription to another member; a relay that stops sends the
// client elsewhere instead.
func (s *sub) Move() {
	s.detach()
	if s.c.f.leaving {
		s.c.f.Loop.After(0, s.c.close) // it connects again, elsewhere
		return
	}
	s.replace(0)
}

// replace places it again, after the core is done with its last request.
func (s *sub) replace(after time.Duration) {
	s.again.Stop()
	s.again = s.c.f.Loop.After(after, s.place)
}

// Reject ends a new subscription; one that stood before comes again.
func (s *sub) Reject(after time.Duration) { s.refused(after, "rejected, come again") }

// Fail does the same.
func (s *sub) Fail() { s.refused(againAfter, "failed") }

func (s *sub) refused(after time.Duration, why string) {
	if !s.known {
		s.c.warn("maximum subscriptions exceeded: " + why)
		s.end()
		return
	}
	if s.fails++; s.fails >= againMost || s.c.f.leaving {
		s.c.f.Loop.After(0, func() { s.c.fail("Stale Connection") })
		return
	}
	s.replace(max(after, againAfter))
}

// lost is told by the link when the member's side is gone.
func (s *sub) lost(result policy.Result) {
	up := s.up
	s.link, s.up = nil, false
	s.c.f.Core.Ended(s.id, s.try, result, policy.NoReport)
	if up && !s.over {
		s.replace(0)
	}
}

// counted notes that a message was delivered, and ends the subscription after
// its last one.
func (s *sub) counted() {
	if s.got++; s.max > 0 && s.got >= s.max {
		s.end()
	}
}

// limit is the client's UNSUB.
func (s *sub) limit(most int) {
	if most <= s.got {
		s.end()
		return
	}
	s.max = most
	if s.link != nil && s.lsid != "" {
		s.link.c.Write(fmt.Appendf(nil, "UNSUB %s %d\r\n", s.lsid, s.max-s.got))
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
	if !s.local {
		s.c.f.Core.Left(s.id)
		s.detach()
		s.tell()
	}
}

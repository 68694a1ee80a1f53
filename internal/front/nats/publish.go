package nats

import (
	"bytes"
	"fmt"
	"strconv"
	"time"

	"dahliarudder/internal/core"
	"dahliarudder/internal/window"
	"dahliarudder/policy"
)

// publisher is the wire's side of a feed: it carries messages to a member and what became of
// them to the client.
type publisher struct {
	c     *client
	to    destination
	feed  *core.Feed
	link  *link
	fresh int // messages that no PING follows yet
	watch int // the oldest sid whose message is not acknowledged
	next  int // the next sid to listen by
}

// publish takes a publication in; false if its feed has no room, or subscriptions before it
// do not stand yet.
func (c *client) publish(m *command) bool {
	switch {
	case m.header > 0 && !c.options.Headers:
		c.fail("message headers not supported")
		return true
	case len(m.payload) > c.f.offers.payload:
		c.fail(errPayload.Error())
		return true
	case ownSubject(m.subject):
		if !c.mayPublish(m.subject) {
			c.forbid(m.subject)
			return true
		}
		if c.placing > 0 || c.oldest() <= c.mark {
			return false
		}
		c.call(m)
		c.ok()
		return true
	}
	if c.placing > 0 {
		return false
	}
	p := c.latest
	if p == nil || string(m.subject) != c.latestSubject {
		p = c.subjects[string(m.subject)]
	}
	if p == nil {
		if c.options.Pedantic && !validSubject(m.subject, false) { // others may have wildcards in it, as key-value watches do
			c.warn("Invalid Publish Subject")
			return true
		}
		if c.may != nil && !c.may.CanPublish(string(m.subject)) {
			if !c.replies.AllowReply(c.f.Loop.RoundStart(), string(m.subject)) {
				c.forbid(m.subject)
				return true
			}
			p = c.feedOf(c.f.destination(m.subject)) // this once: it is not remembered
		} else {
			p = c.publisher(m.subject)
		}
	}
	if !p.feed.HasCapacity() {
		return false
	}
	c.mark++
	q := window.Message{Subject: subjectKey(m.subject), Sequence: c.mark, ReplyExpected: len(m.reply) > 0 && c.options.NoResponders}
	if c.f.Core.Recorder != nil {
		q.Name = "PUB " + string(m.subject)
	}
	if c.options.Verbose {
		c.answers = append(c.answers, ticket{mark: c.mark, text: "+OK\r\n"})
	}
	if !c.echo() {
		m = c.tag(m)
	}
	p.feed.Publish(q, m.appendPublication(p.feed.Buffer(m.room(""))))
	return true
}

// forbid tells of a subject that the client may not publish to.
func (c *client) forbid(subject []byte) {
	c.warn(fmt.Sprintf("Permissions Violation for Publish to %q", subject))
}

// publisher finds the feed that a subject belongs to, and remembers it.
func (c *client) publisher(subject []byte) *publisher {
	p := c.feedOf(c.f.destination(subject))
	if len(c.subjects) >= subjectsMost || c.subjects == nil {
		c.subjects = map[string]*publisher{}
	}
	c.latest, c.latestSubject = p, string(subject)
	c.subjects[c.latestSubject] = p
	return p
}

// feedOf finds or makes the client's feed for a destination.
func (c *client) feedOf(to destination) *publisher {
	for _, p := range c.feeds {
		if p.to == to {
			return p
		}
	}
	p := &publisher{c: c, to: to, watch: 1, next: 1}
	name := "FEED " + strconv.Itoa(to.class) + " " + strconv.Itoa(to.tenant)
	p.feed = c.f.Core.NewFeed(c.f.request(name, to), core.FeedLimits{Messages: c.f.WindowMessages, Bytes: c.f.WindowBytes}, p)
	c.feeds = append(c.feeds, p)
	return p
}

// Connect starts a link.
func (p *publisher) Connect(to *core.Member, _ time.Duration) {
	p.fresh, p.watch = 0, p.next
	p.link = p.c.dial(to, p)
}

// up, lost and erred are told by the link.
func (p *publisher) up() { p.feed.Connected() }

func (p *publisher) lost(result policy.Result, left uint64) {
	p.link = nil
	p.feed.Disconnected(result, left)
}

func (p *publisher) erred(text []byte) {
	// The subject stands in quotes; only such an error concerns one message, and others end the
	// connection.
	if _, rest, ok := bytes.Cut(text, []byte(`"`)); ok {
		if subject, _, ok := bytes.Cut(rest, []byte(`"`)); ok {
			p.feed.MessageRejected(subjectKey(subject))
		}
	}
}

// FreeDescriptors says whether the link has sent most of what it was given; the feed's Drained follows.
func (p *publisher) Writable() bool { return p.link.c.Unsent() < p.c.f.water(linkWater) }

// WriteMessage hands a message to the link. Who may publish may hear on the reply subject that nobody
// listens; members tell that the publishing connection alone.
func (p *publisher) WriteMessage(text []byte, m *window.Message) {
	l := p.link
	if m.ReplyExpected {
		if q, _, err := parse(text, len(text)+1, len(text)); err == nil && len(q.reply) > 0 {
			out := append(append(l.c.Buffer(len(q.reply)+lineRoom), "SUB "...), q.reply...)
			out = strconv.AppendInt(append(out, ' '), int64(p.next), 10)
			l.commit(append(out, '\r', '\n'))
			p.next++
		}
	}
	l.commit(append(l.c.Buffer(len(text)), text...))
	m.Offset = l.written
	if p.fresh++; p.fresh == 1 {
		p.c.f.Loop.After(0, func() { p.ping(l) })
	}
}

// ping asks for the acknowledgement of all that was carried in this round.
func (p *publisher) ping(l *link) {
	if p.link != l || p.fresh == 0 {
		return
	}
	n, sids := p.fresh, p.next
	p.fresh = 0
	l.ack(func() {
		if p.link != l {
			return
		}
		if p.watch < sids {
			out := l.c.Buffer(lineRoom * (sids - p.watch))
			for ; p.watch < sids; p.watch++ {
				out = strconv.AppendInt(append(out, "UNSUB "...), int64(p.watch), 10)
				out = append(out, '\r', '\n')
			}
			l.commit(out)
		}
		p.feed.Acknowledged(n)
		p.c.goOn()
	})
}

// message is one for a sid by which the link listens for the word that nobody does.
func (p *publisher) message(m *command) {
	if m.header > 0 && bytes.HasPrefix(m.payload, []byte("NATS/1.0 503")) {
		p.c.deliver(*m)
	}
}

// Disconnect ends the link, if there is one.
func (p *publisher) Disconnect() uint64 {
	l := p.link
	if l == nil {
		return 0
	}
	p.link = nil
	left := l.written - uint64(l.c.Unsent())
	l.cut()
	return left
}

// RecordAnswer tells the client what became of a message. Nothing is said of one that was served, but
// for the +OK of a verbose client.
func (p *publisher) Answer(m *window.Message, text []byte, a core.Answer, after time.Duration) {
	c := p.c
	c.goOn()
	if a == core.Served {
		return
	}
	c.f.Counts.Rejected++
	for i := range c.answers { // its +OK will not come
		if t := &c.answers[i]; t.mark == m.Sequence && t.text == "+OK\r\n" {
			t.text = ""
			break
		}
	}
	why := "failed"
	if a == core.Rejected {
		why = fmt.Sprintf("rejected, come again in %d ms", after.Milliseconds())
	}
	q, _, err := parse(text, len(text)+1, len(text))
	if err != nil {
		return
	}
	if c.noticed(q.reply) {
		c.notice(q.reply, "503 "+why)
		return
	}
	// The one kind of error that clients take without ending the connection.
	c.warn(fmt.Sprintf("Permissions Violation for Publish to %q: %s", q.subject, why))
}

// WriteCapacity has the client's commands go on.
func (p *publisher) OnCapacity() { p.c.goOn() }

// ---- echo:false ----

// origin is the header by which the relay knows the publications of a client that does not want
// them back: its feed and its subscriptions are on connections of their own.
const origin = "Dahlia-Origin: "

func (c *client) origin() string { return c.f.Name + "-" + strconv.FormatUint(c.id, 10) }

// tag puts the origin into a publication's headers.
func (c *client) tag(m *command) *command {
	line := origin + c.origin() + "\r\n"
	n := *m
	if m.header == 0 {
		head := "NATS/1.0\r\n" + line + "\r\n"
		n.header = len(head)
		n.payload = append([]byte(head), m.payload...)
		return &n
	}
	first := bytes.Index(m.payload, []byte("\r\n")) + 2
	n.header += len(line)
	n.payload = append(append(append([]byte(nil), m.payload[:first]...), line...), m.payload[first:]...)
	return &n
}

// untag takes the origin out of a message's headers, and returns it.
func untag(m *command) (who []byte) {
	at := bytes.Index(m.payload[:m.header], []byte("\r\n"+origin))
	if at < 0 {
		return nil
	}
	at += 2
	end := bytes.Index(m.payload[at:m.header], []byte("\r\n"))
	if end < 0 {
		return nil
	}
	who = append(who, m.payload[at+len(origin):at+end]...)
	n := end + 2
	// The message stands in the link's buffer, which is read once: what is before the line
	// moves up to it.
	copy(m.payload[n:at+n], m.payload[:at])
	m.payload, m.header = m.payload[n:], m.header-n
	if string(m.payload[:m.header]) == "NATS/1.0\r\n\r\n" {
		m.payload, m.header = m.payload[m.header:], 0
	}
	return who
}

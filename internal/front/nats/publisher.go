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
	client         *client
	destination    destination
	feed           *core.Feed
	link           *link
	unpinged       int // messages that no PING follows yet
	oldestReplySID int // the oldest sid whose message is not acknowledged
	nextReplySID   int // the next sid to listen by
}

// publish takes a publication in; false if its feed has no room, or subscriptions before it
// do not stand yet.
func (c *client) publish(m *command) bool {
	switch {
	case m.headerLen > 0 && !c.options.Headers:
		c.fail("message headers not supported")
		return true
	case len(m.payload) > c.front.offers.maxPayload:
		c.fail(errPayload.Error())
		return true
	case isReserved(m.subject):
		if !c.canPublish(m.subject) {
			c.denyPublish(m.subject)
			return true
		}
		if c.pendingSubscribes > 0 || c.oldestUnanswered() <= c.publishSeq {
			return false
		}
		c.handleProxyCall(m)
		c.respondOK()
		return true
	}
	if c.pendingSubscribes > 0 {
		return false
	}
	p := c.lastPublisher
	if p == nil || string(m.subject) != c.lastSubject {
		p = c.publisherCache[string(m.subject)]
	}
	if p == nil {
		if c.options.Pedantic && !validSubject(m.subject, false) { // others may have wildcards in it, as key-value watches do
			c.sendError("Invalid Publish Subject")
			return true
		}
		if c.permissions != nil && !c.permissions.CanPublish(string(m.subject)) {
			if !c.replies.AllowReply(c.front.Loop.RoundStart(), string(m.subject)) {
				c.denyPublish(m.subject)
				return true
			}
			p = c.publisherTo(c.front.destination(m.subject)) // this once: it is not remembered
		} else {
			p = c.publisherFor(m.subject)
		}
	}
	if !p.feed.HasCapacity() {
		return false
	}
	c.publishSeq++
	q := window.Message{Subject: subjectHash(m.subject), Sequence: c.publishSeq, ReplyExpected: len(m.reply) > 0 && c.options.NoResponders}
	if c.front.Core.Recorder != nil {
		q.Name = "PUB " + string(m.subject)
	}
	if c.options.Verbose {
		c.responses = append(c.responses, response{seq: c.publishSeq, text: "+OK\r\n"})
	}
	if !c.wantsEcho() {
		m = c.addOrigin(m)
	}
	p.feed.Publish(q, m.appendPublication(p.feed.Buffer(m.encodedSize(""))))
	return true
}

// denyPublish tells of a subject that the client may not publish to.
func (c *client) denyPublish(subject []byte) {
	c.sendError(fmt.Sprintf("Permissions Violation for Publish to %q", subject))
}

// publisherFor finds the feed that a subject belongs to, and remembers it.
func (c *client) publisherFor(subject []byte) *publisher {
	p := c.publisherTo(c.front.destination(subject))
	if len(c.publisherCache) >= maxCachedSubjects || c.publisherCache == nil {
		c.publisherCache = map[string]*publisher{}
	}
	c.lastPublisher, c.lastSubject = p, string(subject)
	c.publisherCache[c.lastSubject] = p
	return p
}

// publisherTo finds or makes the client's feed for a destination.
func (c *client) publisherTo(to destination) *publisher {
	for _, p := range c.publishers {
		if p.destination == to {
			return p
		}
	}
	p := &publisher{client: c, destination: to, oldestReplySID: 1, nextReplySID: 1}
	name := "FEED " + strconv.Itoa(to.class) + " " + strconv.Itoa(to.tenant)
	p.feed = c.front.Core.NewFeed(c.front.newRequest(name, to), core.FeedLimits{Messages: c.front.WindowMessages, Bytes: c.front.WindowBytes}, p)
	c.publishers = append(c.publishers, p)
	return p
}

// Connect starts a link.
func (p *publisher) Connect(to *core.Member, _ time.Duration) {
	p.unpinged, p.oldestReplySID = 0, p.nextReplySID
	p.link = p.client.dial(to, p)
}

// linkReady, lost and erred are told by the link.
func (p *publisher) linkReady() { p.feed.Connected() }

func (p *publisher) linkLost(result policy.Result, left uint64) {
	p.link = nil
	p.feed.Disconnected(result, left)
}

func (p *publisher) linkError(text []byte) {
	// The subject stands in quotes; only such an error concerns one message, and others end the
	// connection.
	if _, rest, ok := bytes.Cut(text, []byte(`"`)); ok {
		if subject, _, ok := bytes.Cut(rest, []byte(`"`)); ok {
			p.feed.MessageRejected(subjectHash(subject))
		}
	}
}

// Writable says whether the link has sent most of what it was given; the feed's Drained follows.
func (p *publisher) Writable() bool {
	return p.link.conn.Unsent() < p.client.front.unsentLimit(linkHighWater)
}

// WriteMessage hands a message to the link. Who may publish may hear on the reply subject that nobody
// listens; members tell that the publishing connection alone.
func (p *publisher) WriteMessage(text []byte, m *window.Message) {
	l := p.link
	if m.ReplyExpected {
		if q, _, err := parseCommand(text, len(text)+1, len(text)); err == nil && len(q.reply) > 0 {
			out := append(append(l.conn.Buffer(len(q.reply)+lineOverhead), "SUB "...), q.reply...)
			out = strconv.AppendInt(append(out, ' '), int64(p.nextReplySID), 10)
			l.commit(append(out, '\r', '\n'))
			p.nextReplySID++
		}
	}
	l.commit(append(l.conn.Buffer(len(text)), text...))
	m.Offset = l.written
	if p.unpinged++; p.unpinged == 1 {
		p.client.front.Loop.After(0, func() { p.requestAck(l) })
	}
}

// requestAck asks for the acknowledgement of all that was carried in this round.
func (p *publisher) requestAck(l *link) {
	if p.link != l || p.unpinged == 0 {
		return
	}
	n, sids := p.unpinged, p.nextReplySID
	p.unpinged = 0
	l.afterPing(func() {
		if p.link != l {
			return
		}
		if p.oldestReplySID < sids {
			out := l.conn.Buffer(lineOverhead * (sids - p.oldestReplySID))
			for ; p.oldestReplySID < sids; p.oldestReplySID++ {
				out = strconv.AppendInt(append(out, "UNSUB "...), int64(p.oldestReplySID), 10)
				out = append(out, '\r', '\n')
			}
			l.commit(out)
		}
		p.feed.Acknowledged(n)
		p.client.scheduleResume()
	})
}

// handleStatus is one for a sid by which the link listens for the word that nobody does.
func (p *publisher) handleStatus(m *command) {
	if m.headerLen > 0 && bytes.HasPrefix(m.payload, []byte("NATS/1.0 503")) {
		p.client.deliverLocal(*m)
	}
}

// Disconnect ends the link, if there is one.
func (p *publisher) Disconnect() uint64 {
	l := p.link
	if l == nil {
		return 0
	}
	p.link = nil
	left := l.written - uint64(l.conn.Unsent())
	l.reset()
	return left
}

// Answer tells the client what became of a message. Nothing is said of one that was served, but
// for the +OK of a verbose client.
func (p *publisher) Answer(m *window.Message, text []byte, a core.Answer, after time.Duration) {
	c := p.client
	c.scheduleResume()
	if a == core.Served {
		return
	}
	c.front.Counts.Rejected++
	for i := range c.responses { // its +OK will not come
		if t := &c.responses[i]; t.seq == m.Sequence && t.text == "+OK\r\n" {
			t.text = ""
			break
		}
	}
	why := "failed"
	if a == core.Rejected {
		why = fmt.Sprintf("rejected, come again in %d ms", after.Milliseconds())
	}
	q, _, err := parseCommand(text, len(text)+1, len(text))
	if err != nil {
		return
	}
	if c.wantsStatus(q.reply) {
		c.deliverStatus(q.reply, "503 "+why)
		return
	}
	// The one kind of error that clients take without ending the connection.
	c.sendError(fmt.Sprintf("Permissions Violation for Publish to %q: %s", q.subject, why))
}

// OnCapacity has the client's commands go on.
func (p *publisher) OnCapacity() { p.client.scheduleResume() }

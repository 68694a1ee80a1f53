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

// publisher is the protocol side of a feed: it sends messages to a member and reports their final
// answers to the client.
type publisher struct {
	client         *client
	destination    destination
	feed           *core.Feed
	link           *link
	unpinged       int // messages since the last PING
	oldestReplySID int // oldest sid of a reply subject whose message is not acknowledged
	nextReplySID   int // next sid for a reply subject
}

// publish passes a publication to its feed. It returns false if the feed is full or earlier
// subscriptions are pending.
func (c *client) publish(m *command) bool {
	switch {
	case m.headerLen > 0 && !c.options.Headers:
		c.fail(errHeadersNotSupported)
		return true
	case len(m.payload) > c.front.advertised.maxPayload:
		c.fail(errMaxPayload)
		return true
	case isReserved(m.subject):
		if !c.canPublish(m.subject) {
			c.denyPublish(m.subject)
			return true
		}
		if !c.rejecting && (c.pendingSubscribes > 0 || c.oldestUnanswered() <= c.publishSeq) {
			return false
		}
		c.handleProxyCall(m)
		c.respondOK()
		return true
	}
	if c.pendingSubscribes > 0 && !c.rejecting {
		return false
	}
	p := c.lastPublisher
	if p == nil || string(m.subject) != c.lastSubject {
		p = c.publisherCache[string(m.subject)]
	}
	if p == nil {
		if p = c.authorizedPublisher(m.subject); p == nil {
			return true
		}
	}
	if !c.rejecting && !p.feed.HasCapacity() {
		return false
	}
	c.publishSeq++
	message := window.Message{Subject: subjectHash(m.subject), Sequence: c.publishSeq, ReplyExpected: len(m.reply) > 0 && c.options.NoResponders}
	if c.front.Core.Recorder != nil {
		message.Name = "PUB " + string(m.subject)
	}
	if c.options.Verbose && !c.rejecting {
		c.responses = append(c.responses, response{seq: c.publishSeq, text: okLine})
	}
	if !c.wantsEcho() {
		m = c.addOrigin(m)
	}
	p.feed.Publish(message, m.appendPublication(p.feed.Buffer(m.encodedSize(""))))
	return true
}

// authorizedPublisher returns the publisher for a subject that is not in the cache. If the client may
// not publish to the subject, it sends an error to the client and returns nil.
func (c *client) authorizedPublisher(subject []byte) *publisher {
	// Clients that are not pedantic may publish to wildcards, as key-value watches do.
	if c.options.Pedantic && !validSubject(subject, false) {
		c.sendError(string(errInvalidPublish))
		return nil
	}
	if c.permissions == nil || c.permissions.CanPublish(string(subject)) {
		return c.publisherFor(subject)
	}
	if !c.replies.AllowReply(c.front.Loop.RoundStart(), string(subject)) {
		c.denyPublish(subject)
		return nil
	}
	return c.publisherTo(c.front.destination(subject)) // only this reply is allowed, so it is not cached
}

// denyPublish sends the error for a subject that the client may not publish to.
func (c *client) denyPublish(subject []byte) {
	c.sendError(fmt.Sprintf("Permissions Violation for Publish to %q", subject))
}

// publisherFor returns the publisher for a subject, and caches it.
func (c *client) publisherFor(subject []byte) *publisher {
	p := c.publisherTo(c.front.destination(subject))
	if len(c.publisherCache) >= maxCachedSubjects || c.publisherCache == nil {
		c.publisherCache = map[string]*publisher{}
	}
	c.lastPublisher, c.lastSubject = p, string(subject)
	c.publisherCache[c.lastSubject] = p
	return p
}

// publisherTo returns the client's publisher to a destination, and creates it if needed.
func (c *client) publisherTo(to destination) *publisher {
	for _, p := range c.publishers {
		if p.destination == to {
			return p
		}
	}
	p := &publisher{client: c, destination: to, oldestReplySID: 1, nextReplySID: 1}
	name := "FEED " + strconv.Itoa(to.class) + " " + strconv.Itoa(to.tenant)
	p.feed = c.front.Core.NewFeed(c.front.newRequest(name, to), core.FeedLimits{Messages: c.front.WindowMessages, Bytes: c.front.WindowBytes}, p)
	if c.rejecting {
		p.feed.RejectNew()
	}
	c.publishers = append(c.publishers, p)
	return p
}

// Connect opens the link of a new flow.
func (p *publisher) Connect(to *core.Member, _ time.Duration) {
	p.unpinged, p.oldestReplySID = 0, p.nextReplySID
	p.link = p.client.dial(to, p)
}

// linkReady notifies the feed that the link is established.
func (p *publisher) linkReady() { p.feed.Connected() }

// linkLost notifies the feed that the link has ended, and how many bytes were sent on it.
func (p *publisher) linkLost(result policy.Result, sent uint64) {
	p.link = nil
	p.feed.Disconnected(result, sent)
}

// linkError handles the member's -ERR.
func (p *publisher) linkError(text []byte) {
	// Only an error with a subject in quotes concerns one message; after other errors the member
	// closes the connection.
	if _, rest, ok := bytes.Cut(text, []byte(`"`)); ok {
		if subject, _, ok := bytes.Cut(rest, []byte(`"`)); ok {
			p.feed.MessageRejected(subjectHash(subject))
		}
	}
}

// Writable reports whether the link takes more bytes now. If not, the feed's OnWritable is called when
// the link has sent what was written.
func (p *publisher) Writable() bool {
	return p.link.conn.Unsent() < p.client.front.unsentLimit(linkHighWater)
}

// WriteMessage writes a message to the link. If the client wants to be notified that there are no
// responders, it subscribes to the reply subject first: members send that status on the publishing
// connection only.
func (p *publisher) WriteMessage(text []byte, m *window.Message) {
	l := p.link
	if m.ReplyExpected {
		if publication, _, err := parseCommand(text, len(text)+1, len(text)); err == nil && len(publication.reply) > 0 {
			out := append(append(l.conn.Buffer(len(publication.reply)+lineOverhead), "SUB "...), publication.reply...)
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

// requestAck sends the PING whose answer acknowledges all messages of this loop iteration.
func (p *publisher) requestAck(l *link) {
	if p.link != l || p.unpinged == 0 {
		return
	}
	messages, endSID := p.unpinged, p.nextReplySID
	p.unpinged = 0
	l.afterPing(func() {
		if p.link != l {
			return
		}
		if p.oldestReplySID < endSID {
			out := l.conn.Buffer(lineOverhead * (endSID - p.oldestReplySID))
			for ; p.oldestReplySID < endSID; p.oldestReplySID++ {
				out = strconv.AppendInt(append(out, "UNSUB "...), int64(p.oldestReplySID), 10)
				out = append(out, '\r', '\n')
			}
			l.commit(out)
		}
		p.feed.Acknowledged(messages)
		p.client.scheduleResume()
	})
}

// handleStatus forwards a member's status that a message has no responders.
func (p *publisher) handleStatus(m *command) {
	if m.headerLen > 0 && bytes.HasPrefix(m.payload, []byte("NATS/1.0 503")) {
		p.client.deliverLocal(*m)
	}
}

// Disconnect resets the link, if there is one, and returns how many bytes were sent on it.
func (p *publisher) Disconnect() uint64 {
	l := p.link
	if l == nil {
		return 0
	}
	p.link = nil
	sent := l.written - uint64(l.conn.Unsent())
	l.reset()
	return sent
}

// Answer reports the final answer of a message to the client. The only report of a served message is
// the +OK to a verbose client.
func (p *publisher) Answer(m *window.Message, text []byte, a core.Answer, after time.Duration) {
	c := p.client
	c.scheduleResume()
	if a == core.Served {
		return
	}
	c.front.Counts.Rejected++
	for i := range c.responses { // a message that was not served gets no +OK
		if r := &c.responses[i]; r.seq == m.Sequence && r.text == okLine {
			r.text = ""
			break
		}
	}
	reason := "failed"
	if a == core.Rejected {
		reason = fmt.Sprintf("rejected, come again in %d ms", after.Milliseconds()) // the client may retry then
	}
	publication, _, err := parseCommand(text, len(text)+1, len(text))
	if err != nil {
		return
	}
	if c.wantsStatus(publication.reply) {
		c.deliverStatus(publication.reply, "503 "+reason)
		return
	}
	// Permissions Violation is the only kind of error after which clients keep the connection.
	c.sendError(fmt.Sprintf("Permissions Violation for Publish to %q: %s", publication.subject, reason))
}

// OnCapacity resumes the client's commands.
func (p *publisher) OnCapacity() { p.client.scheduleResume() }

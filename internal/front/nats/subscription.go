package nats

import (
	"fmt"
	"strconv"
	"time"

	"dahliarudder/internal/core"
	"dahliarudder/internal/netloop"
	"dahliarudder/policy"
)

// subscription is a subscription: a flow that stays. While its client holds it, the relay places it
// again whenever it is moved, refused or its member is lost, each time as a new request.
type subscription struct {
	client          *client
	sid             string
	subject         string
	queue           string
	maxMessages     int // messages after which it ends; 0 for none
	delivered       int
	deliveredBefore int  // how many it had got when it came to its member
	local           bool // on the relay's own subjects
	filtered        bool // some of what it takes its client may not see
	acknowledged    bool // it has stood, or its client was told that it does not yet
	wasActive       bool
	warned          bool // its client was told that it does not stand
	requestID       core.ID
	attempt         int
	link            *link
	linkSID         int // its sid there
	active          bool
	pendingSince    time.Duration // when it was asked for, or lost its place
	retryTimer      *netloop.Timer
	ended           bool

	// A member that it leaves sends what it had sent before, and only then does another get it.
	oldLink    *link
	oldLinkSID int
	drainTimer *netloop.Timer
	afterDrain func() // waits for that
	draining   bool   // it has ended, but for that
}

func (c *client) subscribe(m *command) {
	if !validSubject(m.subject, true) {
		c.sendError("Invalid Subject")
		return
	}
	if !c.permissions.CanSubscribe(string(m.subject), string(m.queue)) {
		text := fmt.Sprintf("Permissions Violation for Subscription to %q", m.subject)
		if len(m.queue) > 0 {
			text += fmt.Sprintf(" using queue %q", m.queue)
		}
		c.sendError(text)
		return
	}
	if c.subscriptions[string(m.sid)] != nil { // as at a server: the first one stays
		c.respondOK()
		return
	}
	if len(c.subscriptions) >= c.front.MaxSubscriptions {
		c.sendError("maximum subscriptions exceeded")
		return
	}
	s := &subscription{client: c, sid: string(m.sid), subject: string(m.subject), queue: string(m.queue), local: isReserved(m.subject),
		pendingSince: c.front.Loop.Now(), filtered: c.permissions.NeedsFilter(string(m.subject))}
	if c.subscriptions == nil {
		c.subscriptions = map[string]*subscription{}
	}
	c.subscriptions[s.sid] = s
	if s.local {
		s.acknowledged = true
		c.respondOK()
		return
	}
	c.pendingSubscribes++
	s.place()
	text := ""
	if c.options.Verbose {
		text = "+OK\r\n"
	}
	c.respond(response{subscription: s, text: text})
}

func (s *subscription) place() {
	if s.ended {
		return
	}
	f := s.client.front
	q := f.newRequest("", f.destination([]byte(s.subject)))
	if f.Core.Recorder != nil {
		q.Name = "SUB " + s.subject
	}
	q.Key = hash(s.subject)
	q.Group, q.Reconnect = q.Key, s.wasActive
	s.requestID = f.Core.Open(q, s)
}

// Send subscribes at a member.
func (s *subscription) Send(id core.ID, to *core.Member, try int, _ time.Duration) {
	s.requestID, s.attempt = id, try
	l := s.client.subscriptionLink(to)
	s.link, s.linkSID = l, l.addSubscription(s)
	l.whenReady(func() {
		if s.link != l {
			return
		}
		s.afterDrain = func() { s.subscribeAt(l) }
		if s.oldLink == nil {
			s.subscribeAt(l)
		}
	})
}

// subscribeAt asks for the subscription, where nothing holds it any more elsewhere.
func (s *subscription) subscribeAt(l *link) {
	s.afterDrain = nil
	if s.link != l {
		return
	}
	if !s.client.front.Core.MaySend(s.requestID, s.attempt) { // the member has left while its connection was on its way
		l.removeSubscription(s.linkSID)
		s.linkLost(policy.NotSent)
		return
	}
	s.deliveredBefore = s.delivered
	out := append(append(l.conn.Buffer(len(s.subject)+len(s.queue)+lineOverhead), "SUB "...), s.subject...)
	if s.queue != "" {
		out = append(append(out, ' '), s.queue...)
	}
	out = strconv.AppendInt(append(out, ' '), int64(s.linkSID), 10)
	l.commit(append(out, '\r', '\n'))
	if s.maxMessages > 0 {
		l.write(fmt.Appendf(nil, "UNSUB %d %d\r\n", s.linkSID, s.maxMessages-s.deliveredBefore))
	}
	l.afterBatchedPing(func() {
		if s.link == l && !s.ended && s.client.front.Core.FlowEstablished(s.requestID, s.attempt) {
			s.active, s.wasActive, s.warned = true, true, false
			s.acknowledge()
		}
	})
}

// acknowledge lets publications go on that waited for the subscription.
func (s *subscription) acknowledge() {
	if !s.acknowledged {
		s.acknowledged = true
		s.client.pendingSubscribes--
		s.client.flushResponses() // before the messages that may follow
		s.client.scheduleResume()
	}
}

// leaveMember gives up the member's side, but takes what the member has sent before it knows.
func (s *subscription) leaveMember() {
	l := s.link
	if l == nil {
		return
	}
	s.afterDrain = nil
	s.finishDrain()
	s.link, s.active = nil, false
	if !l.ready || l.closed {
		l.removeSubscription(s.linkSID)
		return
	}
	s.oldLink, s.oldLinkSID = l, s.linkSID
	l.write(fmt.Appendf(nil, "UNSUB %d\r\n", s.linkSID))
	l.afterBatchedPing(func() {
		if s.oldLink == l {
			s.finishDrain()
		}
	})
	s.drainTimer = s.client.front.Loop.After(drainTimeout, s.finishDrain)
}

// finishDrain says that nothing more comes from the member that was left.
func (s *subscription) finishDrain() {
	if s.oldLink == nil {
		return
	}
	s.drainTimer.Stop()
	s.oldLink.removeSubscription(s.oldLinkSID)
	s.oldLink = nil
	if s.draining {
		s.draining = false
		s.client.scheduleResume()
	}
	if then := s.afterDrain; then != nil {
		then()
	}
}

// Cancel abandons the attempt, or the subscription at its member.
func (s *subscription) Cancel(int) {
	if l := s.link; l != nil {
		if l.ready {
			l.write(fmt.Appendf(nil, "UNSUB %d\r\n", s.linkSID))
		}
		l.removeSubscription(s.linkSID)
		s.link, s.active, s.afterDrain = nil, false, nil
	}
}

// Migrate takes the subscription to another member; a relay that stops sends the
// client elsewhere instead.
func (s *subscription) Migrate() {
	s.leaveMember()
	if s.client.front.lameDuck {
		s.client.front.Loop.After(0, s.client.close) // it connects again, elsewhere
		return
	}
	s.pendingSince = s.client.front.Loop.Now()
	s.placeAfter(0)
}

// placeAfter places it again, after the core is done with its last request.
func (s *subscription) placeAfter(after time.Duration) {
	s.retryTimer.Stop()
	s.retryTimer = s.client.front.Loop.After(after, s.place)
}

// Reject has it ask again when the module says.
func (s *subscription) Reject(after time.Duration) { s.retry(after) }

// Fail does the same.
func (s *subscription) Fail() { s.retry(resubscribeBackoff) }

// retry asks for it again until the client gives it up. A client is told once when it has
// been without its subscription for as long as its class waits.
func (s *subscription) retry(after time.Duration) {
	f := s.client.front
	if f.lameDuck {
		f.Loop.After(0, s.client.close)
		return
	}
	if to := f.destination([]byte(s.subject)); !s.warned && f.Loop.Now()+after-s.pendingSince >= f.Core.PolicySettings().Classes[to.class].Deadline {
		s.warned = true
		f.Counts.Rejected++
		s.client.sendError(fmt.Sprintf("Permissions Violation for Subscription to %q: rejected, asked for again in %d ms", s.subject, after.Milliseconds()))
		s.acknowledge()
	}
	s.placeAfter(max(after, resubscribeBackoff))
}

// linkLost is told by the link when the member's side is gone.
func (s *subscription) linkLost(result policy.Result) {
	up := s.active
	s.link, s.active, s.afterDrain = nil, false, nil
	s.client.front.Core.AttemptEnded(s.requestID, s.attempt, result, policy.NoReport)
	if up && !s.ended {
		s.pendingSince = s.client.front.Loop.Now()
		s.placeAfter(0)
	}
}

// deliver delivers a message.
func (s *subscription) deliver(m *command) {
	c := s.client
	if c.closed || s.ended && !s.draining {
		return
	}
	if s.filtered && c.permissions.Denies(string(m.subject)) {
		return
	}
	c.replies.RecordRequest(c.front.Loop.RoundStart(), m.reply)
	if m.headerLen > 0 {
		if who := removeOrigin(m); who != nil && !c.wantsEcho() && string(who) == c.originID() {
			return
		}
		if m.headerLen > 0 && !c.options.Headers {
			m.payload, m.headerLen = m.payload[m.headerLen:], 0
		}
	}
	c.conn.Commit(m.appendMessage(c.conn.Buffer(m.encodedSize(s.sid)), s.sid))
	s.countDelivered()
}

// countDelivered notes that a message was delivered, and ends the subscription after
// its last one.
func (s *subscription) countDelivered() {
	if s.delivered++; s.maxMessages > 0 && s.delivered >= s.maxMessages && !s.ended {
		s.maxMessages = -1 // the member has ended it too
		s.end()
	}
}

// setMaxMessages is the client's UNSUB.
func (s *subscription) setMaxMessages(most int) {
	if s.ended {
		return
	}
	if most <= s.delivered {
		s.end()
		if s.draining { // what the client says after it waits for what it still gets
			s.client.pendingSubscribes++
			s.client.responses = append([]response{{subscription: s, untilEnded: true, then: func() { s.client.pendingSubscribes--; s.client.scheduleResume() }}}, s.client.responses...)
		}
		return
	}
	s.maxMessages = most
	if s.link != nil && s.link.ready && s.afterDrain == nil {
		s.link.write(fmt.Appendf(nil, "UNSUB %d %d\r\n", s.linkSID, s.maxMessages-s.deliveredBefore))
	}
}

// end is the one end of a subscription.
func (s *subscription) end() {
	if s.ended {
		return
	}
	s.ended = true
	s.retryTimer.Stop()
	delete(s.client.subscriptions, s.sid)
	if s.local {
		return
	}
	if s.active && !s.client.closed && s.maxMessages >= 0 {
		s.leaveMember()
	}
	s.afterDrain = nil
	s.draining = s.oldLink != nil && !s.client.closed && s.maxMessages >= 0
	s.client.front.Core.ClientGone(s.requestID)
	if s.client.closed {
		s.finishDrain()
	}
	s.acknowledge()
}

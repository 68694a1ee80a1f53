package nats

import (
	"fmt"
	"strconv"
	"time"

	"dahliarudder/internal/core"
	"dahliarudder/internal/netloop"
	"dahliarudder/policy"
)

// subscription is a client's subscription, a flow that stays open. Until the client unsubscribes, the
// relay places it again whenever it is migrated, is rejected or loses its member, each time as a new
// request.
type subscription struct {
	client          *client
	sid             string
	subject         string
	queue           string
	size            int  // reserved in the front's stateMemory
	maxMessages     int  // number of messages after which it ends; 0 for no limit
	delivered       int  // number of messages delivered so far
	deliveredBefore int  // number of messages delivered before it was sent to its current member
	local           bool // the subject is reserved
	filtered        bool // the client may not receive some of the matching messages
	acknowledged    bool // it has been active or has ended, or the client got an error that it is pending
	wasActive       bool // it has been active at some member
	warned          bool // the client got an error since it was last active
	requestID       core.ID
	attempt         int
	link            *link
	linkSID         int           // its sid on link
	active          bool          // the member has acknowledged it
	pendingSince    time.Duration // when it was created or lost its member
	retryTimer      *netloop.Timer
	ended           bool

	// The previous member delivers its last messages before the subscription is sent to another one.
	oldLink    *link
	oldLinkSID int
	drainTimer *netloop.Timer
	afterDrain func() // called when the previous member has delivered its last messages
	draining   bool   // the subscription has ended, but its last messages are still delivered
}

// subscribe handles SUB.
func (c *client) subscribe(m *command) {
	if !validSubject(m.subject, true) {
		c.sendError(string(errInvalidSubject))
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
	if c.subscriptions[string(m.sid)] != nil { // as on a NATS server, the first subscription stays
		c.respondOK()
		return
	}
	size := subscriptionMemory + len(m.subject) + len(m.queue) + len(m.sid)
	if len(c.subscriptions) >= c.front.MaxSubscriptions || !c.front.stateMemory.reserve(size) {
		c.sendError(string(errMaxSubscriptions))
		return
	}
	s := &subscription{client: c, size: size, sid: string(m.sid), subject: string(m.subject), queue: string(m.queue), local: isReserved(m.subject),
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
	if c.options.Verbose && !s.acknowledged { // else it was rejected at once
		text = okLine
	}
	c.respond(response{subscription: s, text: text})
}

// unsubscribe handles UNSUB.
func (c *client) unsubscribe(m *command) {
	s := c.subscriptions[string(m.sid)]
	switch {
	case s == nil:
		c.respondOK()
	case !s.acknowledged && m.maxMessages == 0:
		s.end() // before it was ever active
		c.respondOK()
	default:
		// Messages of earlier publications are still delivered; later publications wait until the
		// limit is set.
		limit := m.maxMessages
		c.pendingSubscribes++
		c.respond(response{subscription: s, fence: true, then: func() {
			c.pendingSubscribes--
			s.setMaxMessages(limit)
			c.scheduleResume()
		}})
		c.respondOK()
	}
}

// place requests a member for the subscription from the core.
func (s *subscription) place() {
	if s.ended {
		return
	}
	f := s.client.front
	request := f.newRequest("", f.destination([]byte(s.subject)))
	if f.Core.Recorder != nil {
		request.Name = "SUB " + s.subject
	}
	request.Key = hash(s.subject)
	request.Group, request.Reconnect = request.Key, s.wasActive
	s.requestID = f.Core.Open(request, s)
}

// Send subscribes at a member when its link is ready and the previous member has drained.
func (s *subscription) Send(id core.ID, to *core.Member, attempt int, _ time.Duration) {
	s.requestID, s.attempt = id, attempt
	l := s.client.subscriptionLink(to)
	s.link, s.linkSID = l, l.addSubscription(s)
	l.whenReady(s.linkSID, func() {
		if s.link != l {
			return
		}
		s.afterDrain = func() { s.subscribeAt(l) }
		if s.oldLink == nil {
			s.subscribeAt(l)
		}
	})
}

// subscribeAt sends SUB to the member. The previous member must have drained.
func (s *subscription) subscribeAt(l *link) {
	s.afterDrain = nil
	if s.link != l {
		return
	}
	if !s.client.front.Core.MaySend(s.requestID, s.attempt) { // e.g. the member left during the connection set-up
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

// acknowledge marks the subscription as acknowledged and resumes the publications that wait for it.
func (s *subscription) acknowledge() {
	if !s.acknowledged {
		s.acknowledged = true
		s.client.pendingSubscribes--
		s.client.flushResponses() // before the messages that may follow
		s.client.scheduleResume()
	}
}

// leaveMember unsubscribes at the member. Messages that the member sends before it has processed that
// are still delivered, until drainTimeout.
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

// finishDrain ends the wait for the last messages of the previous member.
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

// Cancel abandons the attempt, or ends the active subscription at its member.
func (s *subscription) Cancel(int) {
	if l := s.link; l != nil {
		if l.ready {
			l.write(fmt.Appendf(nil, "UNSUB %d\r\n", s.linkSID))
		}
		l.removeSubscription(s.linkSID)
		s.link, s.active, s.afterDrain = nil, false, nil
	}
}

// Migrate moves the subscription to another member. In lame duck mode it closes the client instead,
// which then connects to another relay.
func (s *subscription) Migrate() {
	s.leaveMember()
	if s.client.front.lameDuck {
		s.client.closeOnceAnswered()
		return
	}
	s.pendingSince = s.client.front.Loop.Now()
	s.placeAfter(0)
}

// placeAfter places the subscription again, once the core has finished its last request.
func (s *subscription) placeAfter(after time.Duration) {
	s.retryTimer.Stop()
	s.retryTimer = s.client.front.Loop.After(after, s.place)
}

// Reject retries after the given time.
func (s *subscription) Reject(after time.Duration) { s.retry(after) }

// Fail retries after a fixed backoff.
func (s *subscription) Fail() { s.retry(resubscribeBackoff) }

// retry places the subscription again until the client unsubscribes. The client gets one error when
// the subscription has been inactive for the deadline of its class.
func (s *subscription) retry(after time.Duration) {
	f := s.client.front
	if f.lameDuck {
		s.rejectPending(after)
		s.client.closeOnceAnswered()
		return
	}
	if to := f.destination([]byte(s.subject)); !s.warned && f.Loop.Now()+after-s.pendingSince >= f.Core.PolicySettings().Classes[to.class].Deadline {
		s.warned = true
		f.Counts.Rejected++
		// "asked for again" means that the relay retries the subscription after that time.
		s.client.sendError(fmt.Sprintf("Permissions Violation for Subscription to %q: rejected, asked for again in %d ms", s.subject, after.Milliseconds()))
		s.acknowledge()
	}
	s.placeAfter(max(after, resubscribeBackoff))
}

// rejectPending answers the client's SUB with an error, in the place of +OK, if it has no answer yet.
func (s *subscription) rejectPending(after time.Duration) {
	if s.acknowledged {
		return
	}
	c := s.client
	for i := range c.responses {
		if r := &c.responses[i]; r.subscription == s && r.text == okLine {
			r.text = ""
		}
	}
	c.front.Counts.Rejected++
	c.sendError(fmt.Sprintf("Permissions Violation for Subscription to %q: rejected, come again in %d ms", s.subject, after.Milliseconds()))
	s.acknowledge()
}

// linkLost ends the attempt, or the active subscription, after the link has ended.
func (s *subscription) linkLost(result policy.Result) {
	wasActive := s.active
	s.link, s.active, s.afterDrain = nil, false, nil
	s.client.front.Core.AttemptEnded(s.requestID, s.attempt, result, policy.NoReport)
	if wasActive && !s.ended {
		s.pendingSince = s.client.front.Loop.Now()
		s.placeAfter(0)
	}
}

// deliver delivers a member's message to the client.
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
		if origin := removeOrigin(m); origin != nil && !c.wantsEcho() && string(origin) == c.originID() {
			return
		}
		if m.headerLen > 0 && !c.options.Headers {
			m.payload, m.headerLen = m.payload[m.headerLen:], 0
		}
	}
	c.conn.Commit(m.appendMessage(c.conn.Buffer(m.encodedSize(s.sid)), s.sid))
	s.countDelivered()
}

// countDelivered counts a delivered message, and ends the subscription after the last one.
func (s *subscription) countDelivered() {
	if s.delivered++; s.maxMessages > 0 && s.delivered >= s.maxMessages && !s.ended {
		s.maxMessages = -1 // the member has ended it as well
		s.end()
	}
}

// setMaxMessages applies the limit of the client's UNSUB. The subscription ends at once if the limit is
// 0 or has been reached.
func (s *subscription) setMaxMessages(limit int) {
	if s.ended {
		return
	}
	if limit <= s.delivered {
		s.end()
		if s.draining { // later commands wait for the last messages
			s.client.pendingSubscribes++
			first := response{subscription: s, untilEnded: true, then: func() {
				s.client.pendingSubscribes--
				s.client.scheduleResume()
			}}
			s.client.responses = append([]response{first}, s.client.responses...)
		}
		return
	}
	s.maxMessages = limit
	if s.link != nil && s.link.ready && s.afterDrain == nil {
		s.link.write(fmt.Appendf(nil, "UNSUB %d %d\r\n", s.linkSID, s.maxMessages-s.deliveredBefore))
	}
}

// end ends the subscription. Every path that ends a subscription calls it.
func (s *subscription) end() {
	if s.ended {
		return
	}
	s.ended = true
	s.client.front.stateMemory.release(s.size)
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

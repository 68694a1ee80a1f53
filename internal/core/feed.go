package core

import (
	"time"

	"dahliarudder/internal/window"
	"dahliarudder/policy"
)

// A feed is the publishing side of one client for one class and tenant. The policy places it once,
// like any flow, and its messages travel on that flow. mayStart enforces the rules on attempts of
// messages; package window decides which message is sent next and which are retried. See
// docs/design/nats.md.
//
// This file holds the feed and the events that fronts report to it. feed_flow.go handles the flow
// of a feed, feed_send.go sends messages, feed_answers.go answers them and feed_timer.go holds the
// timer.

// FeedTransport is the wire side of a feed. Its methods must not call the feed back directly, only
// in a later event of the loop.
type FeedTransport interface {
	// Connect starts the link of a new flow and abandons it after timeout. The outcome is reported
	// to Connected or Disconnected.
	Connect(to *Member, timeout time.Duration)
	// Writable reports whether the link takes more bytes now. If not, the transport calls the feed's
	// OnWritable when it does.
	Writable() bool
	// WriteMessage writes a message to the link and sets its Offset there. The member acknowledges
	// messages in order; the transport reports that to Acknowledged.
	WriteMessage(text []byte, m *window.Message)
	// Disconnect ends the link, if there is one, so that the member accepts nothing more on it. It
	// returns how many bytes were written to it.
	Disconnect() (written uint64)
	// Answer passes on the final answer of a message; retryAfter applies to a rejection.
	Answer(m *window.Message, text []byte, a Answer, retryAfter time.Duration)
	// OnCapacity is called when the feed has capacity again after HasCapacity has returned false.
	OnCapacity()
}

// MessageCounts are the counters of the messages on feeds. Retried counts the attempts that the end of
// a link cut off, whether or not the message may be retried.
type MessageCounts struct{ Accepted, Served, Rejected, Failed, Attempts, Retried int }

// feedState is the state of a feed.
type feedState uint8

const (
	feedIdle      feedState = iota // without a flow
	feedPlacing                    // the core looks for a member, or the link is being set up
	feedConnected                  // the flow is open
	feedDraining                   // the flow is given up; messages in flight may still be acknowledged
	feedBackoff                    // the flow was rejected or failed; the feed is placed again later
)

const (
	// feedIdleTimeout is how long a feed keeps its flow without messages.
	feedIdleTimeout = 30 * time.Second
	// feedRetryDelay is the backoff of a feed whose rejection gave no Retry-After.
	feedRetryDelay = 150 * time.Millisecond
	// feedMinBytes is how many bytes each feed may hold even if all feeds exceed FeedMemoryLimit.
	feedMinBytes = 4 << 10
	// feedTurnMessages is how many messages a feed may send to a member in slow start before the
	// other feeds have their turn.
	feedTurnMessages = 4
)

// Feed is the publishing side of one client for one class and tenant.
type Feed struct {
	core           *Core
	request        Request
	transport      FeedTransport
	window         *window.Window
	id             ID // identifies the feed itself, for timers
	state          feedState
	flowID         ID // identifies the request of its flow
	attemptNumber  int
	member         *member // of its flow
	hadFlow        bool    // it has had an established flow
	retryAt        time.Duration
	lastUsed       time.Duration
	timerAt        time.Duration // when its timer is due; 0 if none is set
	capacityDenied bool          // HasCapacity returned false; OnCapacity is to be called
	countedBytes   int           // its share of Core.feedBytes
	queueMember    *member       // the member in whose feedQueue it waits; nil if in none
	rejectsNew     bool          // RejectNew was called
	clientLeft     bool          // ClientLeft was called
	closed         bool
}

// FeedLimits are the limits on the messages that one feed holds.
type FeedLimits struct{ Messages, Bytes int }

// NewFeed returns a feed. It requests a flow when the first message is published.
func (c *Core) NewFeed(q Request, l FeedLimits, transport FeedTransport) *Feed {
	c.lastID++
	class := c.policyCfg.Classes[q.Class]
	limits := window.Limits{MaxMessages: l.Messages, MaxBytes: l.Bytes, MaxAttempts: c.policyCfg.MaxAttempts,
		LatencyObjective: class.LatencyObjective}
	switch {
	case class.Idempotency == policy.Idempotent:
		limits.Repeatable = true
	case class.Idempotency == policy.IdempotencyKey && class.Scope == policy.ScopeAll:
		limits.Repeatable, limits.DedupWindow = class.DedupWindow > 0, class.DedupWindow
	}
	f := &Feed{core: c, request: q, transport: transport, id: c.lastID, window: window.New(limits)}
	c.feeds[f.id] = f
	return f
}

// HasCapacity reports whether Publish may be called. If not, the transport's OnCapacity is called
// when it may.
func (f *Feed) HasCapacity() bool {
	f.capacityDenied = !f.hasCapacity()
	return !f.capacityDenied
}

// hasCapacity is HasCapacity without its side effect. While all feeds together hold more than
// FeedMemoryLimit, each feed may hold an equal share of it, at least feedMinBytes, and in any case
// one message.
func (f *Feed) hasCapacity() bool {
	c := f.core
	if c.FeedMemoryLimit > 0 && c.feedBytes > c.FeedMemoryLimit && f.window.Bytes() > 0 &&
		f.window.Bytes() >= max(c.FeedMemoryLimit/len(c.feeds), feedMinBytes) {
		return false
	}
	return f.window.HasCapacity()
}

// updateMemoryUse updates the memory use of all feeds, and calls OnCapacity if this feed has
// capacity again.
func (f *Feed) updateMemoryUse() {
	f.core.feedBytes += f.window.Bytes() - f.countedBytes
	f.countedBytes = f.window.Bytes()
	if f.capacityDenied && f.hasCapacity() && !f.closed {
		f.capacityDenied = false
		f.transport.OnCapacity()
	}
}

// Buffer returns the buffer to which the text of the next message, of size bytes at most, is
// appended before Publish.
func (f *Feed) Buffer(size int) []byte { return f.window.Buffer(size) }

// OldestSequence returns the sequence number of the oldest message without a final answer, and
// false if there is none.
func (f *Feed) OldestSequence() (uint64, bool) { return f.window.OldestSequence() }

// Publish accepts a message, whose deadline is set to TimeLeft from now. text is the result of
// Buffer with the text of the message appended.
func (f *Feed) Publish(m window.Message, text []byte) {
	c, now := f.core, f.core.LoopTime()
	c.lastID++
	m.ID, m.Deadline = uint64(c.lastID), now+f.request.TimeLeft
	c.Counts.Messages.Accepted++
	f.lastUsed = now
	c.unansweredMessages.add(m.Name)
	switch {
	case !c.recorderReady(): // a message that cannot be recorded must not be sent
		f.rejectUnaccepted(&m, text, stopRetryAfter)
		return
	case f.rejectsNew || f.state == feedBackoff && c.stopping:
		f.rejectUnaccepted(&m, text, stopRetryAfter)
		return
	case f.state == feedBackoff && m.Deadline <= f.retryAt:
		f.rejectUnaccepted(&m, text, f.retryAt-now)
		return
	}
	f.window.Put(m, text)
	switch f.state {
	case feedIdle:
		f.place()
	case feedConnected:
		f.sendPending(now)
	}
	f.updateMemoryUse()
	f.scheduleTimer()
}

// RejectNew makes Publish reject all further messages. The feed keeps those that it has accepted.
func (f *Feed) RejectNew() { f.rejectsNew = true }

// settle gives each message its final answer at once, whether or not a member still has it.
func (f *Feed) settle() {
	f.requeueInFlight(policy.Cancelled, f.transport.Disconnect())
	f.window.Expire(forever, func(m *window.Message, maybeProcessed bool) {
		f.answerExpired(m, maybeProcessed, stopRetryAfter)
	})
	f.updateMemoryUse()
}

// Connected reports that the link is established and takes messages.
func (f *Feed) Connected() {
	if f.state != feedPlacing || !f.core.FlowEstablished(f.flowID, f.attemptNumber) {
		return
	}
	if f.state == feedPlacing { // FlowEstablished may have migrated the flow
		f.state, f.hadFlow = feedConnected, true
		f.sendPending(f.core.Clock())
	}
	f.scheduleTimer()
}

// OnWritable reports that the link takes more bytes again.
func (f *Feed) OnWritable() {
	if f.state == feedConnected {
		f.sendPending(f.core.Clock())
	}
}

// Acknowledged reports that the member has accepted the n oldest messages in flight, except those
// that it has rejected.
func (f *Feed) Acknowledged(n int) {
	c, now := f.core, f.core.LoopTime()
	inFlight, served := f.window.InFlight(), 0
	f.window.Acknowledged(now, n, func(m *window.Message) {
		served++
		f.recordAttempt(m, policy.OK)
		f.answerMessage(m, Served, 0)
	})
	f.lastUsed = now
	f.releaseSlowStart(inFlight-f.window.InFlight(), served)
	switch {
	case f.window.Settled():
		f.endLink(policy.Error, f.transport.Disconnect())
	case f.state == feedDraining && f.window.InFlight() == 0:
		f.endLink(policy.Cancelled, f.transport.Disconnect())
	case f.state == feedConnected:
		f.sendPending(now)
	}
	c.serveFeedQueue(f.member)
	f.updateMemoryUse()
	f.scheduleTimer()
}

// MessageRejected reports that the member has rejected the oldest message in flight of the given
// subject. It returns false if there is no such message.
func (f *Feed) MessageRejected(subject uint64) bool { return f.window.MarkRejected(subject) != nil }

// Disconnected reports that the link has ended, and how many bytes were written to it.
func (f *Feed) Disconnected(result policy.Result, written uint64) {
	f.endLink(result, written)
	f.updateMemoryUse()
	f.scheduleTimer()
}

// ClientLeft makes the feed begin no further attempt, since its client has gone. Messages in flight may
// still be acknowledged; the others are recorded as left. The transport's OnCapacity is called when no
// message is left.
func (f *Feed) ClientLeft() {
	if f.closed || f.clientLeft {
		return
	}
	f.rejectsNew, f.clientLeft = true, true
	if f.window.InFlight() == 0 {
		f.closeAndNotify()
		return
	}
	if f.state == feedConnected {
		f.state = feedDraining
		f.core.AttemptEnded(f.flowID, f.attemptNumber, policy.Cancelled, policy.NoReport)
		f.setTimer(f.core.Clock())
	}
}

func (f *Feed) closeAndNotify() {
	f.Close()
	f.transport.OnCapacity()
}

// Close ends the feed, since its client is gone. Whether the member accepts the messages in flight
// remains unknown.
func (f *Feed) Close() {
	if f.closed {
		return
	}
	f.closed = true
	f.requeueInFlight(policy.Cancelled, f.transport.Disconnect())
	f.window.Expire(forever, func(m *window.Message, _ bool) { f.recordAnswer(m, ClientGone) })
	state := f.state
	f.state = feedIdle
	if state == feedPlacing || state == feedConnected {
		f.core.ClientGone(f.flowID)
	}
	f.updateMemoryUse()
	delete(f.core.feeds, f.id)
}

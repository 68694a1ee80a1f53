package core

import (
	"time"

	"dahliarudder/internal/window"
	"dahliarudder/policy"
)

// A feed is the publishing side of one client for one class and tenant. It is placed once, like any flow, and its
// messages travel on that flow. What a message must never do is enforced here and by mayStart; package window decides
// what is sent next and what is sent again. See docs/design/nats.md.
//
// This file holds the feed and what fronts report to it. feed_flow.go is its side of the flow, feed_send.go sends
// messages, feed_answers.go answers them and feed_timer.go holds its timer.

// FeedTransport is the wire's side of a feed. None of its calls may call the feed back,
// except through the loop.
type FeedTransport interface {
	// Connect starts the link of a new flow, which is abandoned after timeout. It ends in
	// Connected or Disconnected.
	Connect(to *Member, timeout time.Duration)
	// Writable reports whether the link takes more now; if not, the feed's OnWritable says
	// when it does.
	Writable() bool
	// WriteMessage hands a message to the link and sets its Offset there. Messages are
	// acknowledged by Acknowledged, in their order.
	WriteMessage(text []byte, m *window.Message)
	// Disconnect ends the link, if there is one, so that the member can accept nothing more
	// on it. It returns how many of its bytes were written.
	Disconnect() (written uint64)
	// Answer is the final answer of a message; retryAfter is for a rejected one.
	Answer(m *window.Message, text []byte, a Answer, retryAfter time.Duration)
	// OnCapacity says that the feed has capacity again after HasCapacity denied it.
	OnCapacity()
}

// MessageCounts are the counters of the messages on feeds.
type MessageCounts struct{ Accepted, Served, Rejected, Failed, Attempts, Retried int }

// feedState is the state of a feed.
type feedState uint8

const (
	feedIdle      feedState = iota // it has no flow
	feedPlacing                    // the core looks for a member
	feedConnected                  // its flow is open
	feedDraining                   // its flow was given up; messages in flight may still be acknowledged
	feedBackoff                    // its flow was rejected; it will be placed again
)

const (
	// feedIdleTimeout is after how long without a message a feed closes its flow.
	feedIdleTimeout = 30 * time.Second
	// feedRetryDelay is the backoff of a feed that was given no retry-after.
	feedRetryDelay = 150 * time.Millisecond
	// feedMinBytes is what each feed may hold, however many there are.
	feedMinBytes = 4 << 10
	// feedTurnMessages is how many messages a feed may send to a member in slow start before
	// other feeds have a turn.
	feedTurnMessages = 4
)

// Feed is the publishing side of a client.
type Feed struct {
	core           *Core
	request        Request
	transport      FeedTransport
	window         *window.Window
	id             ID // of the feed itself, for timers
	state          feedState
	flowID         ID // the request of its flow
	attemptNumber  int
	member         *member // of its flow
	hadFlow        bool    // it had a flow before
	retryAt        time.Duration
	lastUsed       time.Duration
	timerAt        time.Duration // when its timer is due; 0 if there is none
	capacityDenied bool          // HasCapacity has denied capacity
	countedBytes   int           // its part of Core.feedBytes
	queueMember    *member       // in whose feedQueue it waits; nil if in none
	closed         bool
}

// FeedLimits bounds what one feed holds.
type FeedLimits struct{ Messages, Bytes int }

// NewFeed makes a feed. Nothing is placed before its first message.
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

// HasCapacity reports whether Publish may be called; if not, the transport's OnCapacity will say when.
func (f *Feed) HasCapacity() bool {
	f.capacityDenied = !f.hasCapacity()
	return !f.capacityDenied
}

// hasCapacity keeps the windows of all feeds together within FeedMemoryLimit: beyond it each feed has its fair
// share, and always one message.
func (f *Feed) hasCapacity() bool {
	c := f.core
	if c.FeedMemoryLimit > 0 && c.feedBytes > c.FeedMemoryLimit && f.window.Bytes() > 0 &&
		f.window.Bytes() >= max(c.FeedMemoryLimit/len(c.feeds), feedMinBytes) {
		return false
	}
	return f.window.HasCapacity()
}

// updateMemoryUse updates the memory use of all feeds, and tells the front when there is capacity again.
func (f *Feed) updateMemoryUse() {
	f.core.feedBytes += f.window.Bytes() - f.countedBytes
	f.countedBytes = f.window.Bytes()
	if f.capacityDenied && f.hasCapacity() && !f.closed {
		f.capacityDenied = false
		f.transport.OnCapacity()
	}
}

// Buffer is where the text of the next message, of that size, is appended, for Publish.
func (f *Feed) Buffer(size int) []byte { return f.window.Buffer(size) }

// OldestSequence is the sequence of the oldest message without a final answer.
func (f *Feed) OldestSequence() (uint64, bool) { return f.window.OldestSequence() }

// Publish takes a message. Its text was appended to Buffer, its time runs from now.
func (f *Feed) Publish(m window.Message, text []byte) {
	c, now := f.core, f.core.LoopTime()
	c.lastID++
	m.ID, m.Deadline = uint64(c.lastID), now+f.request.TimeLeft
	c.Counts.Messages.Accepted++
	f.lastUsed = now
	switch {
	case c.Recorder != nil && !c.Recorder.Ready(): // what cannot be recorded is not sent
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

// Connected says that the link is up and takes messages.
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

// OnWritable says that the link takes more again.
func (f *Feed) OnWritable() {
	if f.state == feedConnected {
		f.sendPending(f.core.Clock())
	}
}

// Acknowledged says that the member has accepted the n oldest messages in flight.
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

// MessageRejected says that the member has rejected the oldest message of that subject in flight. It returns whether
// there is one.
func (f *Feed) MessageRejected(subject uint64) bool { return f.window.MarkRejected(subject) != nil }

// Disconnected says that the link is gone, and how many of its bytes were written.
func (f *Feed) Disconnected(result policy.Result, written uint64) {
	f.endLink(result, written)
	f.updateMemoryUse()
	f.scheduleTimer()
}

// Close ends the feed with its client; messages in flight may or may not be accepted.
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

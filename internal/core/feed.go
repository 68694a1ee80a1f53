package core

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"dahliarudder/internal/window"
	"dahliarudder/policy"
)

// A feed is the publishing side of one client for one class and tenant. It is placed once, as
// any flow, and its messages travel on that flow. What a message may never do is enforced
// here and in gate; what is sent next and what comes back is package window's. See
// docs/design/nats.md.

// FeedTransport is the wire's side of a feed. None of its calls may call the feed back but
// through the loop.
type FeedTransport interface {
	// Connect starts the link of a new flow, which is abandoned after wait. It ends in Stands
	// or Lost.
	Connect(to *Member, wait time.Duration)
	// Writable says whether the link takes more now; if not, the feed's Drained says when.
	Writable() bool
	// WriteMessage hands a message to the link and notes its Offset there. It is acknowledged by
	// Taken, in its turn.
	WriteMessage(text []byte, m *window.Message)
	// Disconnect ends the link, if there is one, so that nothing more can be taken there. It
	// returns how many of its bytes have left.
	Disconnect() (left uint64)
	// RecordAnswer is the final answer of a message; after is when to come again with one that is
	// rejected.
	Answer(m *window.Message, text []byte, a Answer, after time.Duration)
	// OnCapacity says that the window has room again after Put found none.
	OnCapacity()
}

// MessageCounts is what has happened to the messages on feeds.
type MessageCounts struct{ Accepted, Served, Rejected, Failed, Attempts, Retried int }

// What a feed is doing.
type feedState uint8

const (
	feedIdle      feedState = iota // it has no flow
	feedPlacing                    // core looks for a member
	feedConnected                  // its flow stands
	feedDraining                   // its flow was given up; what is out may still be acknowledged
	feedBackoff                    // its flow was refused; it asks again
)

const (
	// feedIdleTimeout is after how long without a message a feed gives its place up.
	feedIdleTimeout = 30 * time.Second
	// feedRetryDelay is when a feed asks again that was failed without a word when.
	feedRetryDelay = 150 * time.Millisecond
	// feedMinBytes is what each feed may hold however many there are.
	feedMinBytes = 4 << 10
	// feedTurnMessages is how many messages a feed may send to a cold member before others have a
	// turn.
	feedTurnMessages = 4
)

// NewFeed is the publishing side of a client.
type Feed struct {
	core          *Core
	request       Request
	transport     FeedTransport
	window        *window.Window
	id            ID // its own, for alarms
	state         feedState
	flowID        ID // the flow's request
	attemptNumber int
	member        *member // where its messages go
	hadFlow       bool    // it had a flow before
	retryAt       time.Duration
	lastUsed      time.Duration
	timerAt       time.Duration // when its alarm is due; 0 if there is none
	blocked       bool          // Put found no room
	countedBytes  int           // of its bytes, in feedBytes
	queuedAt      *member       // in whose line it stands; nil if in none
	closed        bool
}

// FeedLimits bounds what one feed holds.
type FeedLimits struct{ Messages, Bytes int }

// NewFeed makes a feed. Nothing is placed before its first message.
func (c *Core) NewFeed(q Request, l FeedLimits, carrier FeedTransport) *Feed {
	c.lastID++
	class := c.policyCfg.Classes[q.Class]
	limits := window.Limits{MaxMessages: l.Messages, MaxBytes: l.Bytes, MaxAttempts: c.policyCfg.MaxAttempts, LatencyObjective: class.LatencyObjective}
	switch {
	case class.Idempotency == policy.Idempotent:
		limits.Repeatable = true
	case class.Idempotency == policy.IdempotencyKey && class.Scope == policy.ScopeAll:
		limits.Repeatable, limits.RepeatWindow = class.DedupWindow > 0, class.DedupWindow
	}
	f := &Feed{core: c, request: q, transport: carrier, id: c.lastID, window: window.New(limits)}
	c.feeds[f.id] = f
	return f
}

// ---- What fronts tell ----

// OnCapacity says whether Put may be called; if not, the carrier's Room will say when.
func (f *Feed) HasCapacity() bool {
	f.blocked = !f.withinMemory()
	return !f.blocked
}

// withinMemory keeps the windows of all feeds together within their memory: beyond it each has its
// fair part, and always one message.
func (f *Feed) withinMemory() bool {
	c := f.core
	if c.FeedMemoryLimit > 0 && c.feedBytes > c.FeedMemoryLimit && f.window.Bytes() > 0 &&
		f.window.Bytes() >= max(c.FeedMemoryLimit/len(c.feeds), feedMinBytes) {
		return false
	}
	return f.window.HasCapacity()
}

// Buffer is where the text of the next message, of so many bytes, is appended, for Put.
func (f *Feed) Buffer(size int) []byte { return f.window.Buffer(size) }

// OldestSequence is the mark of the oldest message without a final answer.
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
	f.updateUsage()
	f.scheduleTimer()
}

// rejectUnaccepted answers a message that the window has not taken in.
func (f *Feed) rejectUnaccepted(m *window.Message, text []byte, after time.Duration) {
	f.recordAnswer(m, Rejected)
	f.transport.Answer(m, text[len(f.window.Buffer(0)):], Rejected, after)
}

// Connected says that the link is up and takes messages.
func (f *Feed) Connected() {
	if f.state != feedPlacing || !f.core.FlowEstablished(f.flowID, f.attemptNumber) {
		return
	}
	if f.state == feedPlacing { // it may have been moved by that very word
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

// Accepted says that the member has taken the n oldest messages that are out.
func (f *Feed) Acknowledged(n int) {
	c, now := f.core, f.core.LoopTime()
	settled, served := f.window.Out(), 0
	f.window.Acknowledged(now, n, func(m *window.Message) {
		served++
		f.recordAttempt(m, policy.OK)
		f.answerMessage(m, Served, 0)
	})
	f.lastUsed = now
	f.releaseSlowStart(settled-f.window.Out(), served)
	switch {
	case f.window.Settled():
		f.endLink(policy.Error, f.transport.Disconnect())
	case f.state == feedDraining && f.window.Out() == 0:
		f.endLink(policy.Cancelled, f.transport.Disconnect())
	case f.state == feedConnected:
		f.sendPending(now)
	}
	c.serveFeedQueue(f.member)
	f.updateUsage()
	f.scheduleTimer()
}

// MessageRejected says that the member has refused the oldest message of that subject that is out. It
// returns whether there is one.
func (f *Feed) MessageRejected(subject uint64) bool { return f.window.MarkRejected(subject) != nil }

// ClientGone says that the link is gone, of whose bytes so many have left.
func (f *Feed) Disconnected(result policy.Result, left uint64) {
	f.endLink(result, left)
	f.updateUsage()
	f.scheduleTimer()
}

// Close ends the feed with its client; what is out may or may not be taken.
func (f *Feed) Close() {
	if f.closed {
		return
	}
	f.closed = true
	f.reclaim(policy.Cancelled, f.transport.Disconnect())
	f.window.Expire(1<<62, func(m *window.Message, _ bool) { f.recordAnswer(m, ClientGone) })
	state := f.state
	f.state = feedIdle
	if state == feedPlacing || state == feedConnected {
		f.core.ClientGone(f.flowID)
	}
	f.updateUsage()
	delete(f.core.feeds, f.id)
}

// ---- The flow: Feed is the virtual server of its own ----

func (f *Feed) place() {
	if f.closed || f.window.Idle() {
		f.state = feedIdle
		return
	}
	f.state = feedPlacing
	q := f.request
	q.Reconnect = f.hadFlow
	if id := f.core.Open(q, f); f.state == feedPlacing {
		f.flowID = id
	}
}

// Send starts a link to a member.
func (f *Feed) Send(id ID, to *Member, try int, wait time.Duration) {
	f.flowID, f.attemptNumber, f.member = id, try, f.core.members[to.ID]
	f.transport.Connect(to, wait)
}

// Cancel abandons the link, in setting up or as a whole.
func (f *Feed) Cancel(int) { f.reclaim(policy.Cancelled, f.transport.Disconnect()) }

// Reject has the feed ask again. What has no time left until then is answered at once.
func (f *Feed) Reject(after time.Duration) { f.backOff(cmp.Or(after, feedRetryDelay)) }

// Fail does the same.
func (f *Feed) Fail() { f.backOff(feedRetryDelay) }

func (f *Feed) backOff(after time.Duration) {
	now := f.core.Clock()
	until := now + after
	if f.core.stopping {
		after, until = max(after, stopRetryAfter), 1<<62
	}
	f.state, f.retryAt = feedBackoff, now+after
	f.window.Expire(until, func(m *window.Message, ran bool) { f.answerExpired(m, ran, after) })
	f.updateUsage()
	f.scheduleTimer()
}

// Migrate gives the place up: nothing more is handed to the link, and once what is out there has
// been acknowledged, or the link has ended, a new place is asked for.
func (f *Feed) Migrate() {
	f.state = feedDraining
	f.setTimer(f.core.Clock()) // after the core is done with the flow
}

// endAttempt gives a link up that has ended, or was cut just now.
func (f *Feed) endLink(result policy.Result, left uint64) {
	if f.closed {
		return
	}
	state := f.state
	f.reclaim(result, left)
	switch state {
	case feedPlacing: // core makes the next attempt or refuses
		f.core.AttemptEnded(f.flowID, f.attemptNumber, result, policy.NoReport)
	case feedConnected:
		f.state = feedDraining
		f.core.AttemptEnded(f.flowID, f.attemptNumber, result, policy.NoReport)
		f.place()
	case feedDraining:
		f.place()
	}
}

// reinstatedAt takes in what was out on a link that has surely ended.
func (f *Feed) reclaim(result policy.Result, left uint64) {
	f.leaveQueue()
	out := f.window.Out()
	f.window.LinkClosed(left, func(m *window.Message, r window.Result) {
		switch {
		case r == window.Rejected:
			f.recordAttempt(m, policy.Error)
		case r == window.NotWritten:
			f.recordAttempt(m, policy.ConnectFailed)
		case result == policy.OK || result == policy.ConnectFailed:
			f.recordAttempt(m, policy.Reset)
		default:
			f.recordAttempt(m, result)
		}
		f.core.Counts.Messages.Retried++
	}, func(m *window.Message) { f.answerMessage(m, Failed, 0) })
	f.window.Expire(f.core.Clock(), func(m *window.Message, ran bool) { f.answerExpired(m, ran, feedRetryDelay) })
	f.releaseSlowStart(out, 0)
	if f.member != nil {
		f.core.serveFeedQueue(f.member)
	}
}

// ---- Sending ----

// sendPending hands messages to the link while the window, the gate and the pace of a cold member let it.
func (f *Feed) sendPending(now time.Duration) {
	c, m := f.core, f.member
	pace := m.slowStartLimiter(c)
	for turn := 0; f.state == feedConnected && !c.dispatchPaused; turn++ {
		next := f.window.Next()
		if next == nil {
			return
		}
		if !c.mayStart(now, !next.Waiting(), next.Attempts, next.Deadline, m) {
			c.Counts.Blocked++
			if !c.reachable(now, m) { // it should have been moved before
				f.state = feedDraining
				c.AttemptEnded(f.flowID, f.attemptNumber, policy.Cancelled, policy.NoReport)
				f.setTimer(now)
			}
			return // else its time is over: the alarm gives it up
		}
		if pace.Active(now) && (!pace.MaySend(now) || turn >= feedTurnMessages && len(m.feedQueue) > 0) {
			c.enqueueFeed(m, f)
			return
		}
		if !f.transport.Writable() {
			return
		}
		pace.Sent()
		f.window.Begin(now)
		c.Counts.Messages.Attempts++
		f.transport.WriteMessage(f.window.Text(next), next)
	}
}

// sendAllPending has all feeds go on at the end of a doubt.
func (c *Core) sendAllPending() {
	for _, name := range slices.Sorted(maps.Keys(c.feeds)) {
		if f := c.feeds[name]; f != nil && f.state == feedConnected {
			f.sendPending(c.Clock())
			f.scheduleTimer()
		}
	}
}

// slowStartLimiter is what bounds the messages to a member that has just started.
func (m *member) slowStartLimiter(c *Core) *window.SlowStart {
	if started := max(m.Started, m.joinedAt); m.slowStart == nil || m.slowStartOf != started {
		m.slowStart, m.slowStartOf = window.NewSlowStart(started, c.policyCfg.SlowStartDuration), started
	}
	return m.slowStart
}

// releaseAttempt gives back what the pace counted.
func (f *Feed) releaseSlowStart(n, taken int) {
	if f.member != nil && f.member.slowStart != nil && n > 0 {
		f.member.slowStart.Release(n, taken)
	}
}

// enqueueFeed has a feed wait until the member has taken more.
func (c *Core) enqueueFeed(m *member, f *Feed) {
	if f.queuedAt != m {
		f.leaveQueue()
		f.queuedAt = m
		m.feedQueue = append(m.feedQueue, f)
	}
}

// leaveQueue ends that: a feed whose link has ended would else keep its place there, and get none
// where it goes next.
func (f *Feed) leaveQueue() {
	if m := f.queuedAt; m != nil {
		f.queuedAt = nil
		if i := slices.Index(m.feedQueue, f); i >= 0 {
			m.feedQueue = slices.Delete(m.feedQueue, i, i+1)
		}
	}
}

// serveFeedQueue lets feeds go on that wait for a cold member, in their turn.
func (c *Core) serveFeedQueue(m *member) {
	if m == nil || m.slowStart == nil {
		return
	}
	now := c.Clock()
	for n := len(m.feedQueue); n > 0 && len(m.feedQueue) > 0 && m.slowStart.MaySend(now); n-- {
		f := m.feedQueue[0]
		f.leaveQueue()
		if f.state == feedConnected && f.member == m {
			f.sendPending(now)
			f.scheduleTimer()
		}
	}
}

// ---- Answers ----

func (f *Feed) answerExpired(m *window.Message, ran bool, after time.Duration) {
	if ran {
		f.answerMessage(m, Failed, 0)
	} else {
		f.answerMessage(m, Rejected, after)
	}
}

func (f *Feed) answerMessage(m *window.Message, a Answer, after time.Duration) {
	f.recordAnswer(m, a)
	if !f.closed {
		f.transport.Answer(m, f.window.Text(m), a, after)
	}
}

// updateDeferred records the final answer of a message.
func (f *Feed) recordAnswer(m *window.Message, a Answer) {
	n := &f.core.Counts.Messages
	switch a {
	case Served:
		n.Served++
	case Rejected:
		n.Rejected++
	default:
		n.Failed++
	}
	if f.core.Recorder != nil {
		q := f.request
		q.Name = m.Name
		f.core.Recorder.RecordAnswer(&q, ID(m.ID), f.core.Clock(), a, m.Attempts)
	}
}

// recordAttempt records the end of an attempt of a message.
func (f *Feed) recordAttempt(m *window.Message, result policy.Result) {
	if f.core.Recorder != nil {
		q := f.request
		q.Name = m.Name
		f.core.Recorder.RecordAttempt(&q, ID(m.ID), m.Attempts-1, f.member.Name, m.Sent, f.core.Clock(), result)
	}
}

// updateUsage counts what the feed holds, and tells the front that there is room again.
func (f *Feed) updateUsage() {
	f.core.feedBytes += f.window.Bytes() - f.countedBytes
	f.countedBytes = f.window.Bytes()
	if f.blocked && f.withinMemory() && !f.closed {
		f.blocked = false
		f.transport.OnCapacity()
	}
}

// ---- Time ----

// scheduleTick has due called when something may be due. There is one alarm for a feed at most, which is
// not moved on with each message: when it comes too early, it is set again.
func (f *Feed) scheduleTimer() {
	at, ok := f.window.Deadline()
	if silent, out := f.window.AckDeadline(); out {
		at, ok = min(at, silent), true
	}
	if f.state == feedBackoff && (!ok || f.retryAt < at) {
		at, ok = f.retryAt, true
	}
	if f.state == feedConnected && !ok {
		at, ok = f.lastUsed+feedIdleTimeout, true
	}
	if ok {
		f.setTimer(at)
	}
}

func (f *Feed) setTimer(at time.Duration) {
	if f.timerAt == 0 || at < f.timerAt {
		f.timerAt = at
		f.core.setTimer(at, f.id, timerFeed)
		f.core.scheduleTick()
	}
}

func (f *Feed) onTimer(now time.Duration) {
	if f.timerAt > now {
		return // an alarm that an earlier one has replaced
	}
	f.timerAt = 0
	silent, out := f.window.AckDeadline()
	switch {
	case out && silent <= now:
		f.endLink(policy.Timeout, f.transport.Disconnect())
	case f.state == feedDraining && !out:
		f.endLink(policy.Cancelled, f.transport.Disconnect())
	case f.state == feedBackoff && f.retryAt <= now:
		f.place()
	case f.state == feedConnected && f.window.Idle() && now-f.lastUsed >= feedIdleTimeout:
		f.state = feedIdle
		f.core.ClientGone(f.flowID)
	case f.state == feedConnected:
		f.sendPending(now)
	}
	if _, out := f.window.AckDeadline(); !out {
		f.window.Expire(now, func(m *window.Message, ran bool) { f.answerExpired(m, ran, feedRetryDelay) })
	}
	f.updateUsage()
	f.scheduleTimer()
}

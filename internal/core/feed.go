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
	feedIdle    feedState = iota // it has no flow
	feedPlacing                  // core looks for a member
	feedUp                       // its flow stands
	feedLeaving                  // its flow was given up; what is out may still be acknowledged
	feedPausing                  // its flow was refused; it asks again
)

const (
	// feedRest is after how long without a message a feed gives its place up.
	feedRest = 30 * time.Second
	// feedAgain is when a feed asks again that was failed without a word when.
	feedAgain = 150 * time.Millisecond
	// feedLeast is what each feed may hold however many there are.
	feedLeast = 4 << 10
	// feedTurn is how many messages a feed may send to a cold member before others have a
	// turn.
	feedTurn = 4
)

// NewFeed is the publishing side of a client.
type Feed struct {
	c       *Core
	q       Request
	carrier FeedTransport
	w       *window.Window
	name    ID // its own, for alarms
	state   feedState
	flow    ID // the flow's request
	try     int
	member  *member // where its messages go
	stood   bool    // it had a flow before
	pauses  time.Duration
	used    time.Duration
	armed   time.Duration // when its alarm is due; 0 if there is none
	full    bool          // Put found no room
	counted int           // of its bytes, in feedBytes
	waits   *member       // in whose line it stands; nil if in none
	over    bool
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
	f := &Feed{c: c, q: q, carrier: carrier, name: c.lastID, w: window.New(limits)}
	c.feeds[f.name] = f
	return f
}

// ---- What fronts tell ----

// OnCapacity says whether Put may be called; if not, the carrier's Room will say when.
func (f *Feed) HasCapacity() bool {
	f.full = !f.withinMemory()
	return !f.full
}

// withinMemory keeps the windows of all feeds together within their memory: beyond it each has its
// fair part, and always one message.
func (f *Feed) withinMemory() bool {
	c := f.c
	if c.FeedMemoryLimit > 0 && c.feedBytes > c.FeedMemoryLimit && f.w.Bytes() > 0 &&
		f.w.Bytes() >= max(c.FeedMemoryLimit/len(c.feeds), feedLeast) {
		return false
	}
	return f.w.HasCapacity()
}

// Buffer is where the text of the next message, of so many bytes, is appended, for Put.
func (f *Feed) Buffer(size int) []byte { return f.w.Buffer(size) }

// OldestSequence is the mark of the oldest message without a final answer.
func (f *Feed) OldestSequence() (uint64, bool) { return f.w.OldestSequence() }

// Publish takes a message. Its text was appended to Buffer, its time runs from now.
func (f *Feed) Publish(m window.Message, text []byte) {
	c, now := f.c, f.c.LoopTime()
	c.lastID++
	m.ID, m.Deadline = uint64(c.lastID), now+f.q.TimeLeft
	c.Counts.Messages.Accepted++
	f.used = now
	switch {
	case c.Recorder != nil && !c.Recorder.Ready(): // what cannot be recorded is not sent
		f.turnAway(&m, text, stopRetryAfter)
		return
	case f.state == feedPausing && m.Deadline <= f.pauses:
		f.turnAway(&m, text, f.pauses-now)
		return
	}
	f.w.Put(m, text)
	switch f.state {
	case feedIdle:
		f.place()
	case feedUp:
		f.pump(now)
	}
	f.room()
	f.arm()
}

// turnAway answers a message that the window has not taken in.
func (f *Feed) turnAway(m *window.Message, text []byte, after time.Duration) {
	f.settle(m, Rejected)
	f.carrier.Answer(m, text[len(f.w.Buffer(0)):], Rejected, after)
}

// Connected says that the link is up and takes messages.
func (f *Feed) Connected() {
	if f.state != feedPlacing || !f.c.FlowEstablished(f.flow, f.try) {
		return
	}
	if f.state == feedPlacing { // it may have been moved by that very word
		f.state, f.stood = feedUp, true
		f.pump(f.c.Clock())
	}
	f.arm()
}

// OnWritable says that the link takes more again.
func (f *Feed) OnWritable() {
	if f.state == feedUp {
		f.pump(f.c.Clock())
	}
}

// Accepted says that the member has taken the n oldest messages that are out.
func (f *Feed) Acknowledged(n int) {
	c, now := f.c, f.c.LoopTime()
	settled, served := f.w.Out(), 0
	f.w.Acknowledged(now, n, func(m *window.Message) {
		served++
		f.attempt(m, policy.OK)
		f.answer(m, Served, 0)
	})
	f.used = now
	f.release(settled-f.w.Out(), served)
	switch {
	case f.w.Settled():
		f.end(policy.Error, f.carrier.Disconnect())
	case f.state == feedLeaving && f.w.Out() == 0:
		f.end(policy.Cancelled, f.carrier.Disconnect())
	case f.state == feedUp:
		f.pump(now)
	}
	c.serveLine(f.member)
	f.room()
	f.arm()
}

// MessageRejected says that the member has refused the oldest message of that subject that is out. It
// returns whether there is one.
func (f *Feed) MessageRejected(subject uint64) bool { return f.w.MarkRejected(subject) != nil }

// ClientGone says that the link is gone, of whose bytes so many have left.
func (f *Feed) Disconnected(result policy.Result, left uint64) {
	f.end(result, left)
	f.room()
	f.arm()
}

// Close ends the feed with its client; what is out may or may not be taken.
func (f *Feed) Close() {
	if f.over {
		return
	}
	f.over = true
	f.back(policy.Cancelled, f.carrier.Disconnect())
	f.w.Expire(1<<62, func(m *window.Message, _ bool) { f.settle(m, ClientGone) })
	state := f.state
	f.state = feedIdle
	if state == feedPlacing || state == feedUp {
		f.c.ClientGone(f.flow)
	}
	f.room()
	delete(f.c.feeds, f.name)
}

// ---- The flow: Feed is the virtual server of its own ----

func (f *Feed) place() {
	if f.over || f.w.Idle() {
		f.state = feedIdle
		return
	}
	f.state = feedPlacing
	q := f.q
	q.Reconnect = f.stood
	if id := f.c.Open(q, f); f.state == feedPlacing {
		f.flow = id
	}
}

// Send starts a link to a member.
func (f *Feed) Send(id ID, to *Member, try int, wait time.Duration) {
	f.flow, f.try, f.member = id, try, f.c.members[to.ID]
	f.carrier.Connect(to, wait)
}

// Cancel abandons the link, in setting up or as a whole.
func (f *Feed) Cancel(int) { f.back(policy.Cancelled, f.carrier.Disconnect()) }

// Reject has the feed ask again. What has no time left until then is answered at once.
func (f *Feed) Reject(after time.Duration) { f.pause(cmp.Or(after, feedAgain)) }

// Fail does the same.
func (f *Feed) Fail() { f.pause(feedAgain) }

func (f *Feed) pause(after time.Duration) {
	now := f.c.Clock()
	until := now + after
	if f.c.stopping {
		after, until = max(after, stopRetryAfter), 1<<62
	}
	f.state, f.pauses = feedPausing, now+after
	f.w.Expire(until, func(m *window.Message, ran bool) { f.giveUp(m, ran, after) })
	f.room()
	f.arm()
}

// Migrate gives the place up: nothing more is handed to the link, and once what is out there has
// been acknowledged, or the link has ended, a new place is asked for.
func (f *Feed) Migrate() {
	f.state = feedLeaving
	f.soon(f.c.Clock()) // after the core is done with the flow
}

// endAttempt gives a link up that has ended, or was cut just now.
func (f *Feed) end(result policy.Result, left uint64) {
	if f.over {
		return
	}
	state := f.state
	f.back(result, left)
	switch state {
	case feedPlacing: // core makes the next attempt or refuses
		f.c.AttemptEnded(f.flow, f.try, result, policy.NoReport)
	case feedUp:
		f.state = feedLeaving
		f.c.AttemptEnded(f.flow, f.try, result, policy.NoReport)
		f.place()
	case feedLeaving:
		f.place()
	}
}

// reinstatedAt takes in what was out on a link that has surely ended.
func (f *Feed) back(result policy.Result, left uint64) {
	f.leaveLine()
	out := f.w.Out()
	f.w.LinkClosed(left, func(m *window.Message, r window.Result) {
		switch {
		case r == window.Rejected:
			f.attempt(m, policy.Error)
		case r == window.NotWritten:
			f.attempt(m, policy.ConnectFailed)
		case result == policy.OK || result == policy.ConnectFailed:
			f.attempt(m, policy.Reset)
		default:
			f.attempt(m, result)
		}
		f.c.Counts.Messages.Retried++
	}, func(m *window.Message) { f.answer(m, Failed, 0) })
	f.w.Expire(f.c.Clock(), func(m *window.Message, ran bool) { f.giveUp(m, ran, feedAgain) })
	f.release(out, 0)
	if f.member != nil {
		f.c.serveLine(f.member)
	}
}

// ---- Sending ----

// pump hands messages to the link while the window, the gate and the pace of a cold member let it.
func (f *Feed) pump(now time.Duration) {
	c, m := f.c, f.member
	pace := m.paceOf(c)
	for turn := 0; f.state == feedUp && !c.dispatchPaused; turn++ {
		next := f.w.Next()
		if next == nil {
			return
		}
		if !c.mayStart(now, !next.Waiting(), next.Attempts, next.Deadline, m) {
			c.Counts.Blocked++
			if !c.reachable(now, m) { // it should have been moved before
				f.state = feedLeaving
				c.AttemptEnded(f.flow, f.try, policy.Cancelled, policy.NoReport)
				f.soon(now)
			}
			return // else its time is over: the alarm gives it up
		}
		if pace.Active(now) && (!pace.MaySend(now) || turn >= feedTurn && len(m.feedQueue) > 0) {
			c.lineUp(m, f)
			return
		}
		if !f.carrier.Writable() {
			return
		}
		pace.Sent()
		f.w.Begin(now)
		c.Counts.Messages.Attempts++
		f.carrier.WriteMessage(f.w.Text(next), next)
	}
}

// pumpAll has all feeds go on at the end of a doubt.
func (c *Core) pumpAll() {
	for _, name := range slices.Sorted(maps.Keys(c.feeds)) {
		if f := c.feeds[name]; f != nil && f.state == feedUp {
			f.pump(c.Clock())
			f.arm()
		}
	}
}

// paceOf is what bounds the messages to a member that has just started.
func (m *member) paceOf(c *Core) *window.SlowStart {
	if started := max(m.Started, m.joinedAt); m.slowStart == nil || m.slowStartOf != started {
		m.slowStart, m.slowStartOf = window.NewSlowStart(started, c.policyCfg.SlowStartDuration), started
	}
	return m.slowStart
}

// releaseAttempt gives back what the pace counted.
func (f *Feed) release(n, taken int) {
	if f.member != nil && f.member.slowStart != nil && n > 0 {
		f.member.slowStart.Release(n, taken)
	}
}

// lineUp has a feed wait until the member has taken more.
func (c *Core) lineUp(m *member, f *Feed) {
	if f.waits != m {
		f.leaveLine()
		f.waits = m
		m.feedQueue = append(m.feedQueue, f)
	}
}

// leaveLine ends that: a feed whose link has ended would else keep its place there, and get none
// where it goes next.
func (f *Feed) leaveLine() {
	if m := f.waits; m != nil {
		f.waits = nil
		if i := slices.Index(m.feedQueue, f); i >= 0 {
			m.feedQueue = slices.Delete(m.feedQueue, i, i+1)
		}
	}
}

// serveLine lets feeds go on that wait for a cold member, in their turn.
func (c *Core) serveLine(m *member) {
	if m == nil || m.slowStart == nil {
		return
	}
	now := c.Clock()
	for n := len(m.feedQueue); n > 0 && len(m.feedQueue) > 0 && m.slowStart.MaySend(now); n-- {
		f := m.feedQueue[0]
		f.leaveLine()
		if f.state == feedUp && f.member == m {
			f.pump(now)
			f.arm()
		}
	}
}

// ---- Answers ----

func (f *Feed) giveUp(m *window.Message, ran bool, after time.Duration) {
	if ran {
		f.answer(m, Failed, 0)
	} else {
		f.answer(m, Rejected, after)
	}
}

func (f *Feed) answer(m *window.Message, a Answer, after time.Duration) {
	f.settle(m, a)
	if !f.over {
		f.carrier.Answer(m, f.w.Text(m), a, after)
	}
}

// updateDeferred records the final answer of a message.
func (f *Feed) settle(m *window.Message, a Answer) {
	n := &f.c.Counts.Messages
	switch a {
	case Served:
		n.Served++
	case Rejected:
		n.Rejected++
	default:
		n.Failed++
	}
	if f.c.Recorder != nil {
		q := f.q
		q.Name = m.Name
		f.c.Recorder.RecordAnswer(&q, ID(m.ID), f.c.Clock(), a, m.Attempts)
	}
}

// attempt records the end of an attempt of a message.
func (f *Feed) attempt(m *window.Message, result policy.Result) {
	if f.c.Recorder != nil {
		q := f.q
		q.Name = m.Name
		f.c.Recorder.RecordAttempt(&q, ID(m.ID), m.Attempts-1, f.member.Name, m.Sent, f.c.Clock(), result)
	}
}

// room counts what the feed holds, and tells the front that there is room again.
func (f *Feed) room() {
	f.c.feedBytes += f.w.Bytes() - f.counted
	f.counted = f.w.Bytes()
	if f.full && f.withinMemory() && !f.over {
		f.full = false
		f.carrier.OnCapacity()
	}
}

// ---- Time ----

// scheduleTick has due called when something may be due. There is one alarm for a feed at most, which is
// not moved on with each message: when it comes too early, it is set again.
func (f *Feed) arm() {
	at, ok := f.w.Deadline()
	if silent, out := f.w.AckDeadline(); out {
		at, ok = min(at, silent), true
	}
	if f.state == feedPausing && (!ok || f.pauses < at) {
		at, ok = f.pauses, true
	}
	if f.state == feedUp && !ok {
		at, ok = f.used+feedRest, true
	}
	if ok {
		f.soon(at)
	}
}

func (f *Feed) soon(at time.Duration) {
	if f.armed == 0 || at < f.armed {
		f.armed = at
		f.c.setTimer(at, f.name, timerFeed)
		f.c.scheduleTick()
	}
}

func (f *Feed) due(now time.Duration) {
	if f.armed > now {
		return // an alarm that an earlier one has replaced
	}
	f.armed = 0
	silent, out := f.w.AckDeadline()
	switch {
	case out && silent <= now:
		f.end(policy.Timeout, f.carrier.Disconnect())
	case f.state == feedLeaving && !out:
		f.end(policy.Cancelled, f.carrier.Disconnect())
	case f.state == feedPausing && f.pauses <= now:
		f.place()
	case f.state == feedUp && f.w.Idle() && now-f.used >= feedRest:
		f.state = feedIdle
		f.c.ClientGone(f.flow)
	case f.state == feedUp:
		f.pump(now)
	}
	if _, out := f.w.AckDeadline(); !out {
		f.w.Expire(now, func(m *window.Message, ran bool) { f.giveUp(m, ran, feedAgain) })
	}
	f.room()
	f.arm()
}

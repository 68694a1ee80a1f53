package core

import (
	"maps"
	"slices"
	"time"

	"dahliarudder/internal/window"
	"dahliarudder/policy"
)

// This file sends the messages of feeds, in turns where a member is in slow start.

// sendPending writes messages to the link while the window, mayStart and the member's slow start
// allow it.
func (f *Feed) sendPending(now time.Duration) {
	c, m := f.core, f.member
	slowStart := m.slowStartLimiter(c)
	for turn := 0; f.state == feedConnected && !c.dispatchPaused; turn++ {
		next := f.window.Next()
		if next == nil {
			return
		}
		if !c.mayStart(now, !next.Waiting(), next.Attempts, next.Deadline, m) {
			c.Counts.Blocked++
			if !c.reachable(now, m) { // the flow has not been migrated in time
				f.state = feedDraining
				c.AttemptEnded(f.flowID, f.attemptNumber, policy.Cancelled, policy.NoReport)
				f.setTimer(now)
			}
			return // in the other cases the message has expired, and the timer answers it
		}
		if slowStart.Active(now) && (!slowStart.MaySend(now) || turn >= feedTurnMessages && len(m.feedQueue) > 0) {
			c.enqueueFeed(m, f)
			return
		}
		if !f.transport.Writable() {
			return
		}
		slowStart.Sent()
		f.window.Begin(now)
		c.Counts.Messages.Attempts++
		f.transport.WriteMessage(f.window.Text(next), next)
	}
}

// sendAllPending lets all feeds send when dispatch resumes.
func (c *Core) sendAllPending() {
	for _, id := range slices.Sorted(maps.Keys(c.feeds)) {
		if f := c.feeds[id]; f != nil && f.state == feedConnected {
			f.sendPending(c.Clock())
			f.scheduleTimer()
		}
	}
}

// slowStartLimiter returns the limiter of the messages in flight at a member. It makes a new one if
// the member has started again.
func (m *member) slowStartLimiter(c *Core) *window.SlowStart {
	if started := max(m.Started, m.joinedAt); m.slowStart == nil || m.slowStartFrom != started {
		m.slowStart, m.slowStartFrom = window.NewSlowStart(started, c.policyCfg.SlowStartDuration), started
	}
	return m.slowStart
}

// releaseSlowStart reports to the limiter of the feed's member that n messages are no longer in flight,
// of which the member has accepted the given number.
func (f *Feed) releaseSlowStart(n, accepted int) {
	if f.member != nil && f.member.slowStart != nil && n > 0 {
		f.member.slowStart.Release(n, accepted)
	}
}

// enqueueFeed queues a feed until the slow start of the member allows more messages in flight.
func (c *Core) enqueueFeed(m *member, f *Feed) {
	if f.queueMember != m {
		f.leaveQueue()
		f.queueMember = m
		m.feedQueue = append(m.feedQueue, f)
	}
}

// leaveQueue removes a feed from the queue that it waits in. Without it, a feed whose link has ended
// would stay queued at that member and get no turn at its next one.
func (f *Feed) leaveQueue() {
	if m := f.queueMember; m != nil {
		f.queueMember = nil
		if i := slices.Index(m.feedQueue, f); i >= 0 {
			m.feedQueue = slices.Delete(m.feedQueue, i, i+1)
		}
	}
}

// serveFeedQueue lets the feeds that wait for a member in slow start send, each in its turn.
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

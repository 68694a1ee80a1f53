package core

import (
	"cmp"
	"time"

	"dahliarudder/internal/window"
	"dahliarudder/policy"
)

// This file handles the flow of a feed. Feed implements Downstream for the request of its flow.

// forever is a time after every deadline.
const forever = time.Duration(1 << 62)

// place requests a flow. Without messages the feed becomes idle instead.
func (f *Feed) place() {
	if f.clientLeft && !f.closed {
		f.closeAndNotify()
		return
	}
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

// Send starts a link to a member. It is part of Downstream, like Cancel, Reject, Fail
// and Migrate.
func (f *Feed) Send(id ID, to *Member, attempt int, timeout time.Duration) {
	f.flowID, f.attemptNumber, f.member = id, attempt, f.core.members[to.ID]
	f.transport.Connect(to, timeout)
}

// Cancel abandons the link, whether it is established or not.
func (f *Feed) Cancel(int) { f.requeueInFlight(policy.Cancelled, f.transport.Disconnect()) }

// Reject schedules another placement of the feed after retryAfter, or after feedRetryDelay if that is
// 0. Messages that expire before then are answered at once.
func (f *Feed) Reject(retryAfter time.Duration) { f.backOff(cmp.Or(retryAfter, feedRetryDelay)) }

// Fail schedules another placement of the feed after feedRetryDelay, like Reject.
func (f *Feed) Fail() { f.backOff(feedRetryDelay) }

func (f *Feed) backOff(retryAfter time.Duration) {
	now := f.core.Clock()
	expireBy := now + retryAfter
	if f.core.stopping {
		retryAfter, expireBy = max(retryAfter, stopRetryAfter), forever
	}
	f.state, f.retryAt = feedBackoff, now+retryAfter
	f.window.Expire(expireBy, func(m *window.Message, maybeProcessed bool) {
		f.answerExpired(m, maybeProcessed, retryAfter)
	})
	f.updateMemoryUse()
	f.scheduleTimer()
}

// Migrate gives up the flow: nothing more is written to the link. A new flow is requested once the
// messages in flight are acknowledged or the link has ended.
func (f *Feed) Migrate() {
	f.state = feedDraining
	f.setTimer(f.core.Clock()) // runs after the core has ended the flow
}

// endLink handles the end of a link, whether it failed or was disconnected by this feed just now.
func (f *Feed) endLink(result policy.Result, written uint64) {
	if f.closed {
		return
	}
	state := f.state
	f.requeueInFlight(result, written)
	switch state {
	case feedPlacing: // the core starts the next attempt or answers the request
		f.core.AttemptEnded(f.flowID, f.attemptNumber, result, policy.NoReport)
	case feedConnected:
		f.state = feedDraining
		f.core.AttemptEnded(f.flowID, f.attemptNumber, result, policy.NoReport)
		f.place()
	case feedDraining:
		f.place()
	}
}

// requeueInFlight makes the messages in flight wait again, now that their link has ended, and
// answers those that may not be retried or have expired.
func (f *Feed) requeueInFlight(result policy.Result, written uint64) {
	f.leaveQueue()
	inFlight := f.window.InFlight()
	f.window.LinkClosed(written, func(m *window.Message, r window.Result) {
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
	f.window.Expire(f.core.Clock(), func(m *window.Message, maybeProcessed bool) {
		f.answerExpired(m, maybeProcessed, feedRetryDelay)
	})
	f.releaseSlowStart(inFlight, 0)
	if f.member != nil {
		f.core.serveFeedQueue(f.member)
	}
}

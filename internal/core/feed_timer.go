package core

import (
	"time"

	"dahliarudder/internal/window"
	"dahliarudder/policy"
)

// This file holds the timer of a feed.

// scheduleTimer sets the timer to the next time at which onTimer may have something to do. A feed
// has at most one timer, which is not moved with each message: if it expires too early, onTimer
// sets it again.
func (f *Feed) scheduleTimer() {
	at, ok := f.window.Deadline()
	if ackBy, inFlight := f.window.AckDeadline(); inFlight {
		at, ok = min(at, ackBy), true
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
		return // an earlier timer has replaced this one
	}
	f.timerAt = 0
	ackBy, inFlight := f.window.AckDeadline()
	switch {
	case inFlight && ackBy <= now:
		f.endLink(policy.Timeout, f.transport.Disconnect())
	case f.state == feedDraining && !inFlight:
		f.endLink(policy.Cancelled, f.transport.Disconnect())
	case f.state == feedBackoff && f.retryAt <= now:
		f.place()
	case f.state == feedConnected && f.window.Idle() && now-f.lastUsed >= feedIdleTimeout:
		f.state = feedIdle
		f.core.ClientGone(f.flowID)
	case f.state == feedConnected:
		f.sendPending(now)
	}
	if _, inFlight := f.window.AckDeadline(); !inFlight {
		f.window.Expire(now, func(m *window.Message, maybeProcessed bool) {
			f.answerExpired(m, maybeProcessed, feedRetryDelay)
		})
	}
	f.updateMemoryUse()
	f.scheduleTimer()
}

package nats

import (
	"time"

	"dahliarudder/internal/netloop"
)

// checkLiveness pings the member of a link with subscriptions, times its answer, and fails the link if none comes.
func (l *link) checkLiveness(now time.Duration) {
	switch {
	case l.pingSentAt > 0 && l.client.slowSince > 0: // the link is not read
		l.pingSentAt = now
	case l.pingSentAt > 0 && now-l.pingSentAt > memberSilenceTimeout:
		l.front.Log.WithField("member", l.member.Name).Warn("member has gone silent")
		l.fail(netloop.ErrDialTimeout)
	case l.pingSentAt == 0 && l.ready && len(l.subscriptions) > 0 && now-l.lastPingAt >= memberPingInterval:
		l.pingSentAt, l.lastPingAt, l.readPaused = now, now, false
		l.afterPing(func() {
			took, valid := l.front.responseTime(l.pingSentAt)
			l.pingSentAt = 0
			if l.readPaused || !valid { // the answer has waited in this process
				return
			}
			for _, s := range l.subscriptions {
				if s.active {
					l.front.Core.ObserveMessageLatency(s.requestID, took)
					break
				}
			}
			l.front.loadEstimate.ObserveLatency(l.member.ID, took)
		})
	}
}

// maxTimedUtilization is the loop's utilization up to which members' answers are timed. Beyond it answers wait for the
// loop, and members would be blamed for that.
const maxTimedUtilization = 0.8

// responseTime is how long a member has taken for an answer, less the loop's own delay; false if the loop is too busy
// to know.
func (f *Front) responseTime(since time.Duration) (time.Duration, bool) {
	return max(f.Loop.Now()-since-2*f.Loop.LastRoundDuration(), 0), f.Loop.Utilization() < maxTimedUtilization
}

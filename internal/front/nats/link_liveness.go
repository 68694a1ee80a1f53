package nats

import (
	"time"

	"dahliarudder/internal/netloop"
)

// checkLiveness pings the member of a link with subscriptions at intervals, measures the response
// time, and fails the link if no PONG arrives.
func (l *link) checkLiveness(now time.Duration) {
	switch {
	case l.pingSentAt > 0 && l.client.slowSince > 0: // the link is not read, so a PONG would go unnoticed
		l.pingSentAt = now
	case l.pingSentAt > 0 && now-l.pingSentAt > memberSilenceTimeout:
		l.front.Log.WithField("member", l.member.Name).Warn("member did not answer PING; closing its connection")
		l.fail(netloop.ErrDialTimeout)
	case l.pingSentAt == 0 && l.ready && len(l.subscriptions) > 0 && now-l.lastPingAt >= memberPingInterval:
		l.pingSentAt, l.lastPingAt, l.readPaused = now, now, false
		l.afterPing(func() {
			latency, valid := l.front.responseTime(l.pingSentAt)
			l.pingSentAt = 0
			if l.readPaused || !valid { // the PONG may have waited in this process
				return
			}
			for _, s := range l.subscriptions {
				if s.active {
					l.front.Core.ObserveMessageLatency(s.requestID, latency)
					break
				}
			}
			l.front.loadEstimate.ObserveLatency(l.member.ID, latency)
		})
	}
}

// maxTimedUtilization is the utilization of the loop up to which response times are measured. Above
// it, responses wait for the loop, and that delay would be attributed to the members.
const maxTimedUtilization = 0.8

// responseTime returns how long a member took to respond, less the delay of the loop itself. The
// second result is false if the loop is too busy for a valid measurement.
func (f *Front) responseTime(since time.Duration) (time.Duration, bool) {
	return max(f.Loop.Now()-since-2*f.Loop.LastRoundDuration(), 0), f.Loop.Utilization() < maxTimedUtilization
}

package policy

import (
	"time"
)

// This file is the slow start of servers that have just come up.

// warmupFraction is the part of its capacity that a server surely has.
func (b *Balancer) warmupFraction(now time.Duration, s *server) float64 {
	age := now - s.Started
	if s.Started == 0 || age >= b.cfg.SlowStartDuration {
		return 1
	}
	// Capacity rises no slower than evenly.
	return min(b.cfg.SlowStartMinCapacity+(1-b.cfg.SlowStartMinCapacity)*max(age, 0).Seconds()/b.cfg.SlowStartDuration.Seconds(), 1)
}

// startSlowStart begins the budget of a cold server. What slowStartMargin leaves of a window is there at once: a proxy with
// few requests comes late with what it may send, and nothing was sent before the server was listed.
func (b *Balancer) startSlowStart(now time.Duration, s *server) {
	early := b.cfg.OverloadWindow.Seconds() * (1/slowStartMargin - 1)
	s.slowStartOffset, s.slowStartSent = b.rng.Float64(), 0
	s.slowStartTokens, s.slowStartRefilledAt = -s.slowStartOffset, now-time.Duration(early*float64(time.Second))
}

// slowStartAllows keeps this proxy within its part of what all may send to a cold server together.
func (b *Balancer) slowStartAllows(now time.Duration, r *request, s *server) bool {
	if b.warmupFraction(now, s) == 1 {
		return true
	}
	k, rivals := b.capacityOf(now, s)/b.unitLoad(), b.activeRelays
	if b.cfg.Groups && r.Group != 0 { // the other proxies have none that wants it: its budget is not for them
		rivals = min(rivals, max(groupDemand*max(b.meanFill(), fillLow)*k/b.warmupFraction(now, s), 1))
	}
	// In mean loads a second: filling it over its warm-up, at the part of its capacity that it surely has.
	rate := slowStartMargin * b.cfg.OverloadFactor * k / b.cfg.SlowStartDuration.Seconds() / rivals
	if now-s.slowStartRefilledAt > b.cfg.OverloadWindow && s.slowStartTokens+rate*(now-s.slowStartRefilledAt).Seconds() >= 0 {
		// Nothing was asked of it for a window. What many proxies save in such a time they could use all at once.
		b.startSlowStart(now, s)
	}
	s.slowStartTokens = min(s.slowStartTokens+rate*(now-s.slowStartRefilledAt).Seconds(), 1)
	s.slowStartRefilledAt = now
	// What it bears now, as far as a window allows, is there from the start, by the same draw: tokens that
	// accrue came 2 to 5 s late. A send pays for both, so all together spend the larger of the two.
	atOnce := min(fillHigh*k/rivals, rate/slowStartMargin*b.cfg.OverloadWindow.Seconds())
	// A heavy connection could spend the budget of all proxies at one stroke.
	return (s.slowStartTokens >= 0 || s.slowStartSent+s.slowStartOffset <= atOnce) && b.loadOf(r) <= 2*b.unitLoad()
}

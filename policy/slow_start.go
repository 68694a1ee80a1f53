package policy

import "time"

// This file holds the slow start of servers that have just started.

// warmupFraction is the part of its capacity that a server has at least.
func (b *Balancer) warmupFraction(now time.Duration, s *server) float64 {
	age := now - s.Started
	if s.Started == 0 || age >= b.cfg.SlowStartDuration {
		return 1
	}
	// The capacity rises at least linearly.
	from := b.cfg.SlowStartMinCapacity
	return min(from+(1-from)*max(age, 0).Seconds()/b.cfg.SlowStartDuration.Seconds(), 1)
}

// startSlowStart begins the send budget of a server that is warming up. What slowStartMargin leaves of a
// window is available at once: a proxy with few requests uses its budget late, and nothing was sent before
// the server was listed.
func (b *Balancer) startSlowStart(now time.Duration, s *server) {
	early := b.cfg.OverloadWindow.Seconds() * (1/slowStartMargin - 1)
	s.slowStartOffset, s.slowStartSent = b.rng.Float64(), 0
	s.slowStartTokens, s.slowStartRefilledAt = -s.slowStartOffset, now-time.Duration(early*float64(time.Second))
}

// slowStartAllows keeps this proxy within its part of what all proxies may send to a server that is warming
// up.
func (b *Balancer) slowStartAllows(now time.Duration, r *request, s *server) bool {
	if b.warmupFraction(now, s) == 1 {
		return true
	}
	capacity, sharers := b.capacityOf(now, s)/b.unitLoad(), b.activeRelays
	// Few other proxies have connections for it, and need no part of the budget.
	if b.cfg.Groups && r.Group != 0 {
		sharers = min(sharers, max(groupDemand*max(b.meanFill(), fillLow)*capacity/b.warmupFraction(now, s), 1))
	}
	// In mean loads a second: filling it over its warm-up, at the part of its capacity that it has at least.
	rate := slowStartMargin * b.cfg.OverloadFactor * capacity / b.cfg.SlowStartDuration.Seconds() / sharers
	accrued := rate * (now - s.slowStartRefilledAt).Seconds()
	if now-s.slowStartRefilledAt > b.cfg.OverloadWindow && s.slowStartTokens+accrued >= 0 {
		// Nothing was sent to it for a window. What many proxies save meanwhile they could spend all at once.
		b.startSlowStart(now, s)
	}
	s.slowStartTokens = min(s.slowStartTokens+rate*(now-s.slowStartRefilledAt).Seconds(), 1)
	s.slowStartRefilledAt = now
	// Its present capacity, as far as a window allows, may be sent from the start, by the same random offset:
	// tokens that accrue came 2 to 5 s late. A send is charged to both, so all proxies together spend the
	// larger one.
	atOnce := min(fillHigh*capacity/sharers, rate/slowStartMargin*b.cfg.OverloadWindow.Seconds())
	// One heavy connection could spend the budget of all proxies.
	return (s.slowStartTokens >= 0 || s.slowStartSent+s.slowStartOffset <= atOnce) &&
		b.loadOf(r) <= 2*b.unitLoad()
}

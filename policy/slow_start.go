package policy

import "time"

// This file holds the slow start of servers that have just started.

// warmupFraction is the part of its capacity that a server has at least.
func (b *Balancer) warmupFraction(now time.Duration, m *member) float64 {
	age := now - m.Started
	if m.Started == 0 || age >= b.cfg.SlowStartDuration {
		return 1
	}
	// The capacity rises at least linearly.
	from := b.cfg.SlowStartMinCapacity
	return min(from+(1-from)*max(age, 0).Seconds()/b.cfg.SlowStartDuration.Seconds(), 1)
}

// startSlowStart begins the send budget of a server that is warming up. What slowStartMargin leaves of a
// window is available at once: a proxy with few requests uses its budget late, and nothing was sent before
// the server was listed.
func (b *Balancer) startSlowStart(now time.Duration, m *member) {
	early := b.cfg.OverloadWindow.Seconds() * (1/slowStartMargin - 1)
	m.slowStartOffset, m.slowStartSent = b.rng.Float64(), 0
	m.slowStartTokens, m.slowStartRefilledAt = -m.slowStartOffset, now-time.Duration(early*float64(time.Second))
}

// slowStartAllows keeps this proxy within its part of what all proxies may send to a server that is warming
// up.
func (b *Balancer) slowStartAllows(now time.Duration, r *request, m *member) bool {
	if b.warmupFraction(now, m) == 1 {
		return true
	}
	capacity, sharers := b.capacityOf(now, m)/b.unitLoad(), b.activeRelays
	// Few other proxies have connections for it, and need no part of the budget.
	if b.cfg.Groups && r.Group != 0 {
		sharers = min(sharers, max(groupDemand*max(b.meanFill(), fillLow)*capacity/b.warmupFraction(now, m), 1))
	}
	// In mean loads a second: filling it over its warm-up, at the part of its capacity that it has at least.
	rate := slowStartMargin * b.cfg.OverloadFactor * capacity / b.cfg.SlowStartDuration.Seconds() / sharers
	accrued := rate * (now - m.slowStartRefilledAt).Seconds()
	if now-m.slowStartRefilledAt > b.cfg.OverloadWindow && m.slowStartTokens+accrued >= 0 {
		// Nothing was sent to it for a window. What many proxies save meanwhile they could spend all at once.
		b.startSlowStart(now, m)
	}
	m.slowStartTokens = min(m.slowStartTokens+rate*(now-m.slowStartRefilledAt).Seconds(), 1)
	m.slowStartRefilledAt = now
	// Its present capacity, as far as a window allows, may be sent from the start, by the same random offset:
	// tokens that accrue came 2 to 5 s late. A send is charged to both, so all proxies together spend the
	// larger one.
	atOnce := min(fillHigh*capacity/sharers, rate/slowStartMargin*b.cfg.OverloadWindow.Seconds())
	// One heavy connection could spend the budget of all proxies.
	return (m.slowStartTokens >= 0 || m.slowStartSent+m.slowStartOffset <= atOnce) &&
		b.loadOf(r) <= 2*b.unitLoad()
}

package policy

import "time"

// This file limits what is sent to members that have just started.

// warmupFraction returns the fraction of its capacity that a member has at least, given its age.
func (b *Balancer) warmupFraction(now time.Duration, m *member) float64 {
	age := now - m.Started
	if m.Started == 0 || age >= b.cfg.SlowStartDuration {
		return 1
	}
	// The capacity rises at least linearly from SlowStartMinCapacity.
	from := b.cfg.SlowStartMinCapacity
	return min(from+(1-from)*max(age, 0).Seconds()/b.cfg.SlowStartDuration.Seconds(), 1)
}

// startSlowStart resets the send budget of a member that is warming up. The part of OverloadWindow
// that slowStartMargin leaves unused is available at once: a relay with few requests uses its
// budget late, and nothing was sent before the member was listed.
func (b *Balancer) startSlowStart(now time.Duration, m *member) {
	early := b.cfg.OverloadWindow.Seconds() * (1/slowStartMargin - 1)
	m.slowStartOffset, m.slowStartSent = b.rng.Float64(), 0
	m.slowStartTokens, m.slowStartRefilledAt = -m.slowStartOffset, now-time.Duration(early*float64(time.Second))
}

// slowStartAllows reports whether the request fits this relay's share of what all relays may send
// to a member that is warming up.
func (b *Balancer) slowStartAllows(now time.Duration, r *request, m *member) bool {
	if b.warmupFraction(now, m) == 1 {
		return true
	}
	capacity, sharers := b.capacityOf(now, m)/b.unitLoad(), b.activeRelays
	// Of the other relays, only a few have connections of a group for this member; the rest need no
	// share of the budget.
	if b.cfg.Groups && r.Group != 0 {
		sharers = min(sharers, max(groupDemand*max(b.meanFill(), fillLow)*capacity/b.warmupFraction(now, m), 1))
	}
	// In mean loads per second: the rate that fills the member's present capacity within
	// SlowStartDuration.
	rate := slowStartMargin * b.cfg.OverloadFactor * capacity / b.cfg.SlowStartDuration.Seconds() / sharers
	accrued := rate * (now - m.slowStartRefilledAt).Seconds()
	if now-m.slowStartRefilledAt > b.cfg.OverloadWindow && m.slowStartTokens+accrued >= 0 {
		// Nothing was sent to it for OverloadWindow. Without the reset many relays could spend the
		// tokens that accrued in that time all at once.
		b.startSlowStart(now, m)
	}
	m.slowStartTokens = min(m.slowStartTokens+rate*(now-m.slowStartRefilledAt).Seconds(), 1)
	m.slowStartRefilledAt = now
	// The member's present capacity, as far as OverloadWindow allows it, may also be used from the
	// start, with the same random offset: tokens alone would allow the first connections 2 to 5 s
	// late. A send counts against both limits, so that all relays together use at most the larger
	// one.
	atOnce := min(fillHigh*capacity/sharers, rate/slowStartMargin*b.cfg.OverloadWindow.Seconds())
	// Excludes heavy connections: a single one could exceed the budget of all relays.
	return (m.slowStartTokens >= 0 || m.slowStartSent+m.slowStartOffset <= atOnce) &&
		b.loadOf(r) <= 2*b.unitLoad()
}

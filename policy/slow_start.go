package policy

import (
	"time"
)

// This file is the slow start of servers that have just come up.

// warmth is the part of its capacity that a server surely has.
func (b *Balancer) warmth(now time.Duration, s *server) float64 {
	age := now - s.Started
	if s.Started == 0 || age >= b.set.SlowStartDuration {
		return 1
	}
	// Capacity rises no slower than evenly.
	return min(b.set.SlowStartMinCapacity+(1-b.set.SlowStartMinCapacity)*max(age, 0).Seconds()/b.set.SlowStartDuration.Seconds(), 1)
}

// chill begins the budget of a cold server. What coldPart leaves of a window is there at once: a proxy with
// few requests comes late with what it may send, and nothing was sent before the server was listed.
func (b *Balancer) chill(now time.Duration, s *server) {
	early := b.set.OverloadWindow.Seconds() * (1/coldPart - 1)
	s.coldDraw, s.coldSent = b.rng.Float64(), 0
	s.coldTokens, s.coldRefilled = -s.coldDraw, now-time.Duration(early*float64(time.Second))
}

// warmEnough keeps this proxy within its part of what all may send to a cold server together.
func (b *Balancer) warmEnough(now time.Duration, r *request, s *server) bool {
	if b.warmth(now, s) == 1 {
		return true
	}
	k, rivals := b.capacityOf(now, s)/b.unit(), b.relays
	if b.set.Groups && r.Group != 0 { // the other proxies have none that wants it: its budget is not for them
		rivals = min(rivals, max(groupRush*max(b.fill(), easy)*k/b.warmth(now, s), 1))
	}
	// In mean loads a second: filling it over its warm-up, at the part of its capacity that it surely has.
	rate := coldPart * b.set.OverloadFactor * k / b.set.SlowStartDuration.Seconds() / rivals
	if now-s.coldRefilled > b.set.OverloadWindow && s.coldTokens+rate*(now-s.coldRefilled).Seconds() >= 0 {
		// Nothing was asked of it for a window. What many proxies save in such a time they could use all at once.
		b.chill(now, s)
	}
	s.coldTokens = min(s.coldTokens+rate*(now-s.coldRefilled).Seconds(), 1)
	s.coldRefilled = now
	// What it bears now, as far as a window allows, is there from the start, by the same draw: tokens that
	// accrue came 2 to 5 s late. A send pays for both, so all together spend the larger of the two.
	atOnce := min(brim*k/rivals, rate/coldPart*b.set.OverloadWindow.Seconds())
	// A heavy connection could spend the budget of all proxies at one stroke.
	return (s.coldTokens >= 0 || s.coldSent+s.coldDraw <= atOnce) && b.loadOf(r) <= 2*b.unit()
}

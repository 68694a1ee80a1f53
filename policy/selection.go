package policy

import (
	"math"
	"time"
)

// This file picks one member among the candidates of a tier.

// pick chooses among the candidates of one tier that have spare capacity at the fill level: at
// random with a preference for more spare capacity, or, with an affinity key, by rank. It returns
// nil if no candidate has spare capacity.
func (b *Balancer) pick(now time.Duration, r *request, tier int, list []*member, level float64) *member {
	foreign := tier == foreignLocal || tier == foreignRemote
	if tier >= homeRemote {
		level -= crossZoneFill * b.cfg.CrossZonePrice
	}
	ordered, load := b.affinityKey(r) != 0, b.loadOf(r)
	var eligible []*member
	var weights []float64
	sum := 0.0
	for _, m := range list {
		if r.MidFlow {
			return m // the highest-ranked member most likely has the connection
		}
		if m.ejected || !b.slowStartAllows(now, r, m) ||
			b.probeAllowance() > 0 && !m.hasReport && b.warmupFraction(now, m) == 1 {
			continue
		}
		capacity, used := b.capacityOf(now, m), b.usedOf(now, m)
		// The levels are fractions of the member's capacity after its warm-up.
		level := min(level/b.warmupFraction(now, m), max(fillHigh, level))
		spare := capacity*level - used - load
		if spare <= 0 || foreign && used*b.foreignShare(m)+load > capacity*level*b.lendingThreshold(m) {
			continue
		}
		if ordered {
			// Members are filled one after the other, in the order that all relays share, so that
			// few carry the shared work of a group. As the home member fills, a random part of the
			// connections passes it over, since otherwise all relays would overload it before its
			// reports show it. With PassThrough there is no randomness: another relay must find the
			// same member.
			if b.cfg.PassThrough || tier != homeLocal || b.rng.Float64()*groupTaper*capacity < spare {
				return m
			}
			continue
		}
		eligible = append(eligible, m)
		// Cubed, so that the emptier of two members is clearly preferred but not always chosen: all
		// relays may act on the same outdated report.
		weight := math.Pow(spare/capacity, 3) * capacity
		weights = append(weights, weight)
		sum += weight
	}
	at := b.rng.Float64() * sum
	for i, m := range eligible {
		if at -= weights[i]; at <= 0 || i == len(eligible)-1 {
			return m
		}
	}
	return nil
}

// lendingThreshold returns the fraction of a member's capacity that foreign connections may use. It
// is learned only in the relay's own zone, the zone of the owners that this relay serves.
func (b *Balancer) lendingThreshold(m *member) float64 {
	if m.Zone != b.cfg.Zone {
		return 1
	}
	return b.lendingThresholds[m.owner]
}

package policy

import (
	"math"
	"time"
)

// This file picks one server among the candidates of a tier.

// pick chooses among the candidates of one tier that have capacity at the fill level, weighted by their
// spare capacity. It returns nil if none has.
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
			return m // the first in the order of its key most likely holds the connection
		}
		if m.ejected || !b.slowStartAllows(now, r, m) ||
			b.probeAllowance() > 0 && !m.hasReport && b.warmupFraction(now, m) == 1 {
			continue
		}
		capacity, used := b.capacityOf(now, m), b.usedOf(now, m)
		// The levels are parts of the server's capacity once it has warmed up.
		level := min(level/b.warmupFraction(now, m), max(fillHigh, level))
		spare := capacity*level - used - load
		if spare <= 0 || foreign && used*b.foreignShare(m)+load > capacity*level*b.lendingThreshold(m) {
			continue
		}
		if ordered {
			// All proxies use the same order, and few servers are to bear the shared work of a group: they are
			// filled one after the other. As the first one fills, fewer connections go there, or all proxies
			// would herd on one late report. With packets passed through no draw is made: another proxy must
			// find the same server.
			if b.cfg.PassThrough || tier != homeLocal || b.rng.Float64()*groupTaper*capacity < spare {
				return m
			}
			continue
		}
		eligible = append(eligible, m)
		// Cubed, so that of two servers the emptier is clearly preferred, yet not always: all proxies may be
		// reading the same late report.
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

// lendingThreshold is up to which part of its capacity a server takes foreign connections. It is learned in
// the own zone, whose owners this proxy serves.
func (b *Balancer) lendingThreshold(m *member) float64 {
	if m.Zone != b.cfg.Zone {
		return 1
	}
	return b.lendingThresholds[m.owner]
}

package policy

import (
	"math"
	"time"
)

// This file picks one server among the candidates of a tier.

// pick chooses among the candidates of one tier that have capacity at the fill level, weighted by their
// spare capacity. It returns nil if none has.
func (b *Balancer) pick(now time.Duration, r *request, tier int, list []*server, level float64) *server {
	foreign := tier == foreignLocal || tier == foreignRemote
	if tier >= homeRemote {
		level -= crossZoneFill * b.cfg.CrossZonePrice
	}
	ordered, load := b.affinityKey(r) != 0, b.loadOf(r)
	var eligible []*server
	var weights []float64
	sum := 0.0
	for _, s := range list {
		if r.MidFlow {
			return s // the first in the order of its key most likely holds the connection
		}
		if s.ejected || !b.slowStartAllows(now, r, s) ||
			b.probeAllowance() > 0 && !s.hasReport && b.warmupFraction(now, s) == 1 {
			continue
		}
		capacity, used := b.capacityOf(now, s), b.usedOf(now, s)
		// The levels are parts of the server's capacity once it has warmed up.
		level := min(level/b.warmupFraction(now, s), max(fillHigh, level))
		spare := capacity*level - used - load
		if spare <= 0 || foreign && used*b.foreignShare(s)+load > capacity*level*b.lendingThreshold(s) {
			continue
		}
		if ordered {
			// All proxies use the same order, and few servers are to bear the shared work of a group: they are
			// filled one after the other. As the first one fills, fewer connections go there, or all proxies
			// would herd on one late report. With packets passed through no draw is made: another proxy must
			// find the same server.
			if b.cfg.PassThrough || tier != homeLocal || b.rng.Float64()*groupTaper*capacity < spare {
				return s
			}
			continue
		}
		eligible = append(eligible, s)
		// Cubed, so that of two servers the emptier is clearly preferred, yet not always: all proxies may be
		// reading the same late report.
		weight := math.Pow(spare/capacity, 3) * capacity
		weights = append(weights, weight)
		sum += weight
	}
	at := b.rng.Float64() * sum
	for i, s := range eligible {
		if at -= weights[i]; at <= 0 || i == len(eligible)-1 {
			return s
		}
	}
	return nil
}

// lendingThreshold is up to which part of its capacity a server takes foreign connections. It is learned in
// the own zone, whose owners this proxy serves.
func (b *Balancer) lendingThreshold(s *server) float64 {
	if s.Zone != b.cfg.Zone {
		return 1
	}
	return b.lendingThresholds[s.owner]
}

package policy

import (
	"cmp"
	"slices"
	"time"
)

// This file decides which open connections are migrated off a server.

// migrateExcess moves own connections off a server that is over its capacity: on an overloaded server none
// is served well. Each proxy moves a part of its own load, so that all together move the excess and no
// more. Connections of the least value for their load go first, so that the fewest clients and the least
// value move.
func (b *Balancer) migrateExcess(now time.Duration, m *member) {
	fill := b.usedOf(now, m) / b.capacityOf(now, m)
	if m.rawReport.Load > stallLoad {
		fill = min(fill, max(m.previousLoad, 1))
	}
	// Guards against moving the same excess twice: reports go on showing it for a while.
	if fill <= fillHigh || m.migratedAt > 0 && m.rawReportAt-b.minObjective < m.migratedAt {
		return
	}
	m.migratedAt = now
	excess := 0.0 // the load to migrate
	for _, r := range m.conns {
		excess += b.loadOf(r)
	}
	part := b.admissionRate * (fill - fillHigh) / fill
	excess *= part * (2 - part) // as two passes would: each proxy checks only now and then
	list := slices.Clone(m.conns)
	slices.SortStableFunc(list, func(p, q *request) int {
		return cmp.Compare(b.valuePerLoad(p), b.valuePerLoad(q))
	})
	for _, r := range list {
		if load := b.loadOf(r); b.rng.Float64()*load < excess {
			b.migrate(r)
			excess -= load
		}
	}
}

// valuePerLoad is the priority weight of a connection for its load; beyond a tenant's quota it counts for
// nothing.
func (b *Balancer) valuePerLoad(r *request) float64 {
	if b.overQuota(r.Tenant) {
		return 0
	}
	return b.cfg.Classes[r.Class].PriorityWeight / b.loadOf(r)
}

// isLowValue reports whether a class is worth under lowValueRatio of what the best one is for its load,
// once its load is known.
func (b *Balancer) isLowValue(class int) bool {
	best, load := 0.0, b.classLoad[class]
	for i, other := range b.classLoad {
		if other > 0 {
			best = max(best, b.cfg.Classes[i].PriorityWeight/other)
		}
	}
	return load > 0 && b.cfg.Classes[class].PriorityWeight/load < lowValueRatio*best
}

// migrate asks the client of an open connection to reconnect, once.
func (b *Balancer) migrate(r *request) {
	if r.established && !r.migrated {
		r.migrated = true
		b.executor.Migrate(r.ID)
	}
}

// migrateAll moves all own connections off a server.
func (b *Balancer) migrateAll(m *member) {
	for _, r := range slices.Clone(m.conns) {
		b.migrate(r)
	}
}

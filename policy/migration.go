package policy

import (
	"cmp"
	"slices"
	"time"
)

// This file decides which open connections migrate away from a member.

// migrateExcess migrates this relay's connections from a member that is over its capacity, where no
// connection is served well. Each relay moves the same fraction of its own load, so that all relays
// together move the excess and no more. Connections of the least value per load go first, so that
// few clients and little value are affected.
func (b *Balancer) migrateExcess(now time.Duration, m *member) {
	fill := b.usedOf(now, m) / b.capacityOf(now, m)
	if m.rawReport.Load > stallLoad {
		fill = min(fill, max(m.previousLoad, 1))
	}
	// Prevents moving the same excess twice: reports still show it for some time after a migration.
	if fill <= fillHigh || m.migratedAt > 0 && m.rawReportAt-b.minObjective < m.migratedAt {
		return
	}
	m.migratedAt = now
	excess := 0.0 // load to migrate
	for _, r := range m.conns {
		excess += b.loadOf(r)
	}
	part := b.admissionRate * (fill - fillHigh) / fill
	excess *= part * (2 - part) // as much as two passes would move, since each relay checks rarely
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

// valuePerLoad returns the priority weight of a connection divided by its load; 0 for tenants that
// are over their quota.
func (b *Balancer) valuePerLoad(r *request) float64 {
	if b.overQuota(r.Tenant) {
		return 0
	}
	return b.cfg.Classes[r.Class].PriorityWeight / b.loadOf(r)
}

// isLowValue reports whether the value per load of a class is less than lowValueRatio of the best
// class's. It is false until the load of the class is known.
func (b *Balancer) isLowValue(class int) bool {
	best, load := 0.0, b.classLoad[class]
	for i, other := range b.classLoad {
		if other > 0 {
			best = max(best, b.cfg.Classes[i].PriorityWeight/other)
		}
	}
	return load > 0 && b.cfg.Classes[class].PriorityWeight/load < lowValueRatio*best
}

// migrate asks the client of an open connection to reconnect, at most once per connection.
func (b *Balancer) migrate(r *request) {
	if r.established && !r.migrated {
		r.migrated = true
		b.executor.Migrate(r.ID)
	}
}

// migrateAll migrates all of this relay's connections from a member.
func (b *Balancer) migrateAll(m *member) {
	for _, r := range slices.Clone(m.conns) {
		b.migrate(r)
	}
}

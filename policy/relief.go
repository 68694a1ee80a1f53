package policy

import (
	"cmp"
	"slices"
	"time"
)

// This file is which open connections leave a server.

// relieve moves own connections off a server that is over its capacity: on a full server none is served
// well. Each proxy moves a part of its own load, so that all together move what is too much and no more. What
// earns least for its load goes first: the fewest clients move, and the least worth waits for room.
func (b *Balancer) relieve(now time.Duration, s *server) {
	x := b.usedOf(now, s) / b.capacityOf(now, s)
	if s.told.Load > jolt {
		x = min(x, max(s.before, 1))
	}
	// Guards against emptying it twice for one and the same overload, which a report shows for a while yet.
	if x <= brim || s.relieved > 0 && s.toldAt-b.horizon < s.relieved {
		return
	}
	s.relieved = now
	left := 0.0
	for _, r := range s.conns {
		left += b.loadOf(r)
	}
	part := b.daring * (x - brim) / x
	left *= part * (2 - part) // as two looks would: each proxy looks but now and then
	list := slices.Clone(s.conns)
	slices.SortStableFunc(list, func(p, q *request) int { return cmp.Compare(b.earns(p), b.earns(q)) })
	for _, r := range list {
		if load := b.loadOf(r); b.rng.Float64()*load < left {
			b.move(r)
			left -= load
		}
	}
}

// earns is what a connection earns for its load; what is over a share is worth little.
func (b *Balancer) earns(r *request) float64 {
	if b.overShare(r.Tenant) {
		return 0
	}
	return b.set.Classes[r.Class].PriorityWeight / b.loadOf(r)
}

// isCheap says whether a class earns less for its load, once that is known, than a part of what others do.
func (b *Balancer) isCheap(class int) bool {
	best, load := 0.0, b.classLoad[class]
	for i, other := range b.classLoad {
		if other > 0 {
			best = max(best, b.set.Classes[i].PriorityWeight/other)
		}
	}
	return load > 0 && b.set.Classes[class].PriorityWeight/load < cheapPart*best
}

// move asks the client of an open connection to come again, once.
func (b *Balancer) move(r *request) {
	if r.established && !r.moved {
		r.moved = true
		b.act.Migrate(r.ID)
	}
}

// empty moves all own connections off a server.
func (b *Balancer) empty(s *server) {
	for _, r := range slices.Clone(s.conns) {
		b.move(r)
	}
}

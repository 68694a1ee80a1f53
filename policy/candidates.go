package policy

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// This file finds the servers that may take a connection, in tiers and in the order of its affinity key.

// The tiers of candidates in the order in which they are tried: the home slice first, then servers outside
// it.
const (
	homeLocal = iota
	foreignLocal
	homeRemote
	foreignRemote
	tierCount
)

// candidates sorts the usable servers into tiers.
func (b *Balancer) candidates(now time.Duration, r *request) (tiered [tierCount][]*member) {
	key := b.affinityKey(r)
	if b.cfg.Groups && r.Group != 0 { // one slice for all zones: the first in the order of the key
		list := b.topRanked(now, r, key)
		n := min(len(list), groupSlice)
		tiered[homeLocal], tiered[foreignLocal] = list[:n:n], list[n:]
		return tiered
	}
	for _, m := range b.members {
		if !b.usable(now, r, m) {
			continue
		}
		tier := foreignLocal
		if m.Zone != b.cfg.Zone {
			tier = foreignRemote
		}
		if key == 0 && slices.Contains(b.homeSlice(r.Tenant), m) {
			tier -= foreignLocal
		}
		tiered[tier] = append(tiered[tier], m)
	}
	// Connections that belong together share a slice of their own instead of their tenants': the first servers
	// in the weighted order of their key. Otherwise every tenant's slice would bear the shared work of a
	// group.
	for tier := homeLocal; key != 0 && tier < tierCount; tier += 2 {
		list := tiered[tier+foreignLocal]
		for _, m := range list {
			m.rank = b.rankOf(m, key)
		}
		slices.SortStableFunc(list, func(x, y *member) int { return cmp.Compare(y.rank, x.rank) })
		n := min(len(list), groupSlice)
		tiered[tier], tiered[tier+foreignLocal] = list[:n:n], list[n:]
	}
	return tiered
}

// rankOf is a server's rank in the order of a key: the highest comes first.
func (b *Balancer) rankOf(m *member, key uint64) float64 {
	if b.cfg.Groups && m.hasGroup(key) {
		return math.Inf(1) // it bears the shared work of the group already
	}
	return rendezvous(uint64(m.ID), key, m.Weight)
}

// topRanked is the groupReach usable servers that come first in the order of a group's key. No more are
// sorted: in a large fleet sorting all for each request took most of a relay's time.
func (b *Balancer) topRanked(now time.Duration, r *request, key uint64) []*member {
	first := make([]*member, 0, groupReach+1)
	for _, m := range b.members {
		if !b.usable(now, r, m) {
			continue
		}
		m.rank = b.rankOf(m, key)
		if len(first) == groupReach && m.rank <= first[groupReach-1].rank {
			continue
		}
		at := len(first)
		for at > 0 && first[at-1].rank < m.rank { // behind its equals, which come before it in the list
			at--
		}
		first = slices.Insert(first, at, m)
		first = first[:min(len(first), groupReach)]
	}
	return first
}

// usable reports whether a server may be sent this request at all, capacity aside.
func (b *Balancer) usable(now time.Duration, r *request, m *member) bool {
	return !slices.Contains(r.triedMembers, m.ID) && r.maySendTo(b, now, m) && now >= m.retryAt &&
		now >= b.zones[m.Zone].retryAt
}

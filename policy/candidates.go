package policy

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// This file finds the members that may take a connection: it sorts them into tiers and, within a
// tier, by affinity key.

// The tiers of candidates in the order in which placement tries them. Home means the home slice of
// the connection, foreign the members outside it; local means the relay's own zone, remote the
// other zones.
const (
	homeLocal = iota
	foreignLocal
	homeRemote
	foreignRemote
	tierCount
)

// candidates returns the usable members of each tier.
func (b *Balancer) candidates(now time.Duration, r *request) (tiered [tierCount][]*member) {
	key := b.affinityKey(r)
	if b.cfg.Groups && r.Group != 0 { // one slice for all zones: the members that rank highest for the key
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
	// Connections with an affinity key do not use their tenants' home slices: the members of every
	// slice would then carry the shared work of a group. Their home slice is the groupSlice members
	// that rank highest for the key.
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

// rankOf returns a member's rank for a key; the highest rank is tried first.
func (b *Balancer) rankOf(m *member, key uint64) float64 {
	if b.cfg.Groups && m.hasGroup(key) {
		return math.Inf(1) // it already carries the shared work of the group
	}
	return rendezvous(uint64(m.ID), key, m.Weight)
}

// topRanked returns the groupReach usable members that rank highest for a group's key. It does not
// sort the others, since sorting every member of a large fleet for each request takes most of a
// relay's CPU time.
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
		for at > 0 && first[at-1].rank < m.rank { // after members of equal rank, which precede it in b.members
			at--
		}
		first = slices.Insert(first, at, m)
		first = first[:min(len(first), groupReach)]
	}
	return first
}

// usable reports whether the request may be sent to a member now, regardless of the member's
// capacity.
func (b *Balancer) usable(now time.Duration, r *request, m *member) bool {
	return !slices.Contains(r.triedMembers, m.ID) && r.maySendTo(b, now, m) && now >= m.retryAt &&
		now >= b.zones[m.Zone].retryAt
}

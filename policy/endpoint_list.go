package policy

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// This file keeps the endpoint list: it schedules polls, applies updates, and assigns members to
// home slices.

// Start schedules the first poll of the endpoint list, if the relay subscribes to it, and the first
// health check.
func (b *Balancer) Start() {
	if b.cfg.Subscribe {
		b.schedulePoll() // delayed, since all relays of a site may start together
	}
	// The first check is early: connections that were already open may be on an overloaded member.
	b.scheduleHealthCheck(b.minObjective / 2)
}

// schedulePoll spreads polls over time: if relays whose polls failed together polled again
// together, the polls would overload discovery and fail again. The spread grows with the number of
// relays and of failed polls. It is at most MaxPollInterval, the time after which the relay has to
// know a change.
func (b *Balancer) schedulePoll() {
	crowding := max(b.activeRelays/concurrentPolls, 1)
	span := min(crowding*math.Exp2(float64(min(b.failedPolls, 2)))/20, 1) * float64(b.cfg.MaxPollInterval)
	b.executor.Timer(time.Duration(span*b.rng.Float64()), tokenPoll)
}

// UpdateEndpoints applies a list event of discovery.
func (b *Balancer) UpdateEndpoints(now time.Duration, kind ListKind, list []Endpoint) {
	if kind == ListFailed {
		if b.cfg.Subscribe {
			b.watching = false
			b.failedPolls++
			b.schedulePoll()
		}
		return
	}
	b.failedPolls = 0
	if kind != ListDelta {
		named := make(map[MemberID]bool, len(list))
		for _, e := range list {
			named[e.ID] = true
		}
		for _, m := range b.members {
			if !named[m.ID] {
				m.State = Gone
			}
		}
	}
	before := len(b.members)
	for _, e := range list {
		b.updateMember(now, kind, e)
	}
	added := len(b.members) > before
	for _, m := range b.members {
		if m.State != Ready { // clients reconnect before the member cuts them off
			b.migrateAll(m)
		}
	}
	b.members = slices.DeleteFunc(b.members, func(m *member) bool {
		if m.State == Gone && m.ownFlows == 0 {
			delete(b.byID, m.ID)
			return true
		}
		return false
	})
	if added {
		slices.SortFunc(b.members, func(x, y *member) int { return cmp.Compare(x.ID, y.ID) })
	}
	b.homeSlices = nil // rebuilt on demand: in a large fleet changes are more frequent than requests
}

// homeSlice returns the home slice of a tenant.
func (b *Balancer) homeSlice(tenant int) []*member {
	if b.homeSlices == nil {
		b.rebuildHomeSlices()
	}
	return b.homeSlices[tenant]
}

func (b *Balancer) updateMember(now time.Duration, kind ListKind, e Endpoint) {
	e = normalizeEndpoint(e, b.cfg.Zones)
	m := b.byID[e.ID]
	if m == nil {
		if e.State == Gone {
			return
		}
		if e.Started == 0 && kind == ListDelta {
			e.Started = now // it joined while this relay was subscribed, so it has just started
		}
		m = &member{owner: b.ownerOf(e.ID), report: NoReport}
		b.byID[e.ID] = m
		b.members = append(b.members, m)
		b.startSlowStart(now, m)
	} else if e.Started > m.Started {
		// The member has restarted: what was learned of the earlier process does not apply.
		m.health, m.hasReport, m.pendingPlacements = health{}, false, nil
		b.startSlowStart(now, m)
	}
	m.Endpoint, m.inCanary = e, b.inCanary(e.ID)
}

// ownerOf returns the tenant whose home slice a member belongs to. It depends only on the ID and
// the shares, so that all relays agree and a change of the list moves only the members that
// changed.
func (b *Balancer) ownerOf(id MemberID) int {
	best, owner := -1.0, 0
	for t, tenant := range b.cfg.Tenants {
		if score := rendezvous(uint64(id), uint64(t), tenant.Share); score > best {
			best, owner = score, t
		}
	}
	return owner
}

// rebuildHomeSlices rebuilds the home slices. A tenant that owns no member in a zone uses the
// member of another tenant that ranks highest for it there.
func (b *Balancer) rebuildHomeSlices() {
	b.homeSlices = make([][]*member, len(b.cfg.Tenants))
	for t := range b.cfg.Tenants {
		substitute := make([]*member, b.cfg.Zones)
		owns := make([]bool, b.cfg.Zones)
		best := make([]float64, b.cfg.Zones)
		for _, m := range b.members {
			if m.State != Ready {
				continue
			}
			if m.owner == t {
				owns[m.Zone] = true
				b.homeSlices[t] = append(b.homeSlices[t], m)
			} else if score := rendezvous(uint64(m.ID), uint64(t), m.Weight); score > best[m.Zone] {
				best[m.Zone], substitute[m.Zone] = score, m
			}
		}
		for z, m := range substitute {
			if !owns[z] && m != nil {
				b.homeSlices[t] = append(b.homeSlices[t], m)
			}
		}
	}
}

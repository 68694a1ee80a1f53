package policy

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// This file holds the server list: updates, slow start and ownership of its servers, and when it is polled.

// Start schedules the first poll of the server list, where the list is polled, and the first health check.
func (b *Balancer) Start() {
	if b.cfg.Subscribe {
		b.schedulePoll() // not at once: all proxies of a site may start together
	}
	// Soon: connections that were open before may be on an overloaded server.
	b.scheduleHealthCheck(b.minObjective / 2)
}

// schedulePoll guards against a polling storm: proxies whose calls failed together poll again spread out,
// later each time and the more proxies there are, or all calls would wait too long for good. The spread is
// bounded, since changes count as known MaxPollInterval after they were made.
func (b *Balancer) schedulePoll() {
	crowding := max(b.activeRelays/concurrentPolls, 1)
	span := min(crowding*math.Exp2(float64(min(b.failedPolls, 2)))/20, 1) * float64(b.cfg.MaxPollInterval)
	b.executor.Timer(time.Duration(span*b.rng.Float64()), tokenPoll)
}

// UpdateEndpoints takes a list event of discovery.
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
		if m.State != Ready { // clients reconnect before the server cuts them off
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
	b.homeSlices = nil // rebuilt on demand: in a large fleet changes come faster than requests
}

// homeSlice is the home slice of a tenant.
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
			e.Started = now // it joined while we watched: it has just started
		}
		m = &member{owner: b.ownerOf(e.ID), report: NoReport}
		b.byID[e.ID] = m
		b.members = append(b.members, m)
		b.startSlowStart(now, m)
	} else if e.Started > m.Started {
		// A new process: what was learned of the old one no longer holds.
		m.health, m.hasReport, m.pendingPlacements = health{}, false, nil
		b.startSlowStart(now, m)
	}
	m.Endpoint, m.inCanary = e, b.inCanary(e.ID)
}

// ownerOf is the tenant whose slice a server belongs to. It depends on the id and the shares alone, so
// that all proxies agree and a change of membership moves only the servers that changed.
func (b *Balancer) ownerOf(id MemberID) int {
	best, owner := -1.0, 0
	for t, tenant := range b.cfg.Tenants {
		if score := rendezvous(uint64(id), uint64(t), tenant.Share); score > best {
			best, owner = score, t
		}
	}
	return owner
}

// rebuildHomeSlices rebuilds the home slices. A tenant that owns no server in a zone shares the one that it
// ranks highest there.
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

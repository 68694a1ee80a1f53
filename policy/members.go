package policy

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// This file is the server list: what it makes of a server, whose home it is, and when it is asked for.

// Start asks for the server list where it comes only when asked for.
func (b *Balancer) Start() {
	if b.set.Subscribe {
		b.askLater() // not at once: all proxies of a site may start together
	}
	b.lookLater(b.horizon / 2) // soon: connections that were open before may stand on a full server
}

func (b *Balancer) lookLater(within time.Duration) {
	if b.probeAllowance() > 0 {
		b.act.Timer(time.Duration(float64(within)*(0.5+b.rng.Float64())), tokenLook)
	}
}

// look asks the servers that hold own connections, and condemned ones whose pause is over, for reports, also
// while no request comes: what piles up there shows nowhere else.
func (b *Balancer) look(now time.Duration) {
	for _, s := range b.servers {
		if b.tokens >= 1 && s.State == Ready && !s.probing && now-s.reported >= b.lag()/2 &&
			(s.mine > 0 || s.bad && now >= s.until) {
			b.probe(s)
		}
	}
	b.lookLater(b.lag())
}

func (b *Balancer) askLater() {
	// Guards against a polling storm: proxies that fail together come back spread out, later each time and the
	// more there are, or all calls wait too long for good. Yet what is not asked for in time counts as told.
	many := max(b.relays/askTogether, 1)
	span := min(many*math.Exp2(float64(min(b.asked, 2)))/20, 1) * float64(b.set.MaxPollInterval)
	b.act.Timer(time.Duration(span*b.rng.Float64()), tokenWatch)
}

// UpdateServers takes what discovery says of the servers.
func (b *Balancer) UpdateServers(now time.Duration, how ListKind, list []Server) {
	if how == ListFailed {
		if b.set.Subscribe {
			b.watching = false
			b.asked++
			b.askLater()
		}
		return
	}
	b.asked = 0
	if how != ListDelta {
		named := make(map[ServerID]bool, len(list))
		for _, e := range list {
			named[e.ID] = true
		}
		for _, s := range b.servers {
			if !named[s.ID] {
				s.State = Gone
			}
		}
	}
	before := len(b.servers)
	for _, e := range list {
		b.listed(now, how, e)
	}
	added := len(b.servers) > before
	for _, s := range b.servers {
		if s.State != Ready { // its clients come again before it cuts them off
			b.empty(s)
		}
	}
	b.servers = slices.DeleteFunc(b.servers, func(s *server) bool {
		if s.State == Gone && s.mine == 0 {
			delete(b.byID, s.ID)
			return true
		}
		return false
	})
	if added {
		slices.SortFunc(b.servers, func(x, y *server) int { return cmp.Compare(x.ID, y.ID) })
	}
	b.slices = nil // made anew when they are asked for: in a large fleet changes come faster than requests
}

// homeSlice is the home slice of a tenant.
func (b *Balancer) homeSlice(tenant int) []*server {
	if b.slices == nil {
		b.slice()
	}
	return b.slices[tenant]
}

func (b *Balancer) listed(now time.Duration, how ListKind, e Server) {
	e = normalizeServer(e, b.set.Zones)
	s := b.byID[e.ID]
	if s == nil {
		if e.State == Gone {
			return
		}
		if e.Started == 0 && how == ListDelta {
			e.Started = now // it joined while we watched: take it for cold
		}
		s = &server{owner: b.owner(e.ID), report: NoReport}
		b.byID[e.ID] = s
		b.servers = append(b.servers, s)
		b.chill(now, s)
	} else if e.Started > s.Started {
		// A new process: what was known of the old one is void.
		s.health, s.has, s.recent = health{}, false, nil
		b.chill(now, s)
	}
	s.Server, s.arm = e, b.inArm(e.ID)
}

// owner is the tenant whose slice a server belongs to. It depends on the id and the shares alone, so
// that all proxies agree and a change of membership moves only the servers that changed.
func (b *Balancer) owner(id ServerID) int {
	best, owner := -1.0, 0
	for t, tenant := range b.set.Tenants {
		if score := rendezvous(uint64(id), uint64(t), tenant.Share); score > best {
			best, owner = score, t
		}
	}
	return owner
}

// slice rebuilds the home slices. A tenant that owns no server in a zone shares the one it ranks
// highest there.
func (b *Balancer) slice() {
	b.slices = make([][]*server, len(b.set.Tenants))
	for t := range b.set.Tenants {
		stand := make([]*server, b.set.Zones)
		owns := make([]bool, b.set.Zones)
		best := make([]float64, b.set.Zones)
		for _, s := range b.servers {
			if s.State != Ready {
				continue
			}
			if s.owner == t {
				owns[s.Zone] = true
				b.slices[t] = append(b.slices[t], s)
			} else if score := rendezvous(uint64(s.ID), uint64(t), s.Weight); score > best[s.Zone] {
				best[s.Zone], stand[s.Zone] = score, s
			}
		}
		for z, s := range stand {
			if !owns[z] && s != nil {
				b.slices[t] = append(b.slices[t], s)
			}
		}
	}
}

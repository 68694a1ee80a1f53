package core

import (
	"maps"
	"math"
	"slices"
	"time"

	"dahliarudder/policy"
)

// This file is what the core holds of pool members: what discovery says of them, what operators do, and what is passed on.

// ServerList is what discovery says of the members.
func (c *Core) UpdateMembers(kind policy.ListKind, list []Member) {
	now := c.Clock()
	servers := make([]policy.Server, len(list))
	named := map[policy.ServerID]bool{}
	for i, e := range list {
		named[e.ID] = true
		m := c.members[e.ID]
		if m == nil {
			m = &member{slowReportedAt: -slowReportInterval, ejected: c.isRemoved(e.Name), startedAtEjection: e.Started}
			c.members[e.ID] = m
			if kind == policy.ListDelta {
				m.joinedAt = now
			}
		}
		m.Member, m.listed = e, e.Server
		c.byName[e.Name] = m
		c.refreshMember(now, m)
		servers[i] = m.Server
	}
	if kind == policy.ListFull || kind == policy.ListCached {
		for _, id := range slices.Sorted(maps.Keys(c.members)) {
			if m := c.members[id]; !named[id] {
				m.listed.State = policy.Gone
				c.refreshMember(now, m)
			}
		}
	}
	c.notifyPolicy(policy.ServerList{Kind: kind, Servers: servers})
}

// refreshMember makes of what discovery and the operators say of a member what the module
// and the gate go by. A banned member is one that drains; one put back has started
// just then, unless discovery knows of a start since the ban.
func (c *Core) refreshMember(now time.Duration, m *member) {
	m.Server = m.listed
	if m.reinstatedAt > 0 && m.Started <= m.startedAtEjection {
		m.Started = m.reinstatedAt
	}
	if m.ejected && m.State == policy.Ready {
		m.State = policy.Draining
	}
	left := m.State != policy.Ready
	if left && !m.unavailable {
		m.unavailableSince = now
	}
	m.unavailable = left
	if c.migrationsDeferred {
		c.updateDeferred(m)
	}
}

// ---- What operators and the fleet tell ----

// IsKnownMember says whether a member of that name is or was in the pool, or is banned.
func (c *Core) IsKnownMember(name string) bool { return c.byName[name] != nil || c.isRemoved(name) }

// Removal is how a member that the fleet has agreed to take out is left.
type Removal struct {
	SpreadOver time.Duration // its flows are moved spread over so long; 0: at once
	Ejection   bool          // an operator's word, after which the member may be another one; else it is drained, and warm if that is revoked
}

// isRemoved says whether an operator of this relay or the fleet has taken a member out.
func (c *Core) isRemoved(name string) bool {
	_, agreed := c.fleetRemovals[name]
	return agreed || c.ejections[name]
}

// Eject has nothing new sent to a member, whatever the pool says of it, and its flows
// moved.
func (c *Core) Eject(name string) {
	c.ejections[name] = true
	c.applyRemoval(name, false)
}

// Reinstate ends a ban. Whatever the member was restarted for meanwhile, it is taken
// for cold, and nothing that was learned of it before counts.
func (c *Core) Reinstate(name string) {
	delete(c.ejections, name)
	c.applyRemoval(name, false)
}

// SetFleetRemovals puts what the fleet has agreed on in the place of all that it agreed on before. Bans of this relay's own operators stay.
func (c *Core) SetFleetRemovals(out map[string]Removal) {
	before := c.fleetRemovals
	c.fleetRemovals = maps.Clone(out)
	for _, name := range slices.Sorted(maps.Keys(before)) {
		if _, still := out[name]; !still {
			c.applyRemoval(name, !before[name].Ejection)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(out)) {
		if was, still := before[name]; !still || was != out[name] {
			c.applyRemoval(name, false)
		}
	}
}

// applyRemoval has a member be in or out as is ruled now, and its flows leave as is said now. One that is back is taken for just started, but for a drain that was revoked
// (warm): discovery would know of a new start.
func (c *Core) applyRemoval(name string, warm bool) {
	m, out := c.byName[name], c.isRemoved(name)
	switch {
	case m == nil || !m.ejected && !out:
		return
	case m.ejected && out: // still out, maybe by another word
		if c.migrationsDeferred {
			c.updateDeferred(m)
			c.scheduleTick()
		}
		return
	case out:
		m.startedAtEjection = m.listed.Started
	case !warm:
		m.reinstatedAt = c.Clock()
	}
	m.ejected = out
	c.notifyMemberChange(m)
}

// notifyMemberChange tells the module of a member about which somebody has spoken.
func (c *Core) notifyMemberChange(m *member) {
	c.refreshMember(c.Clock(), m)
	c.notifyPolicy(policy.ServerList{Kind: policy.ListDelta, Servers: []policy.Server{m.Server}})
}

// SetEjections puts these names in the place of all that are banned.
func (c *Core) SetEjections(names []string) {
	for _, name := range c.Ejected() {
		if !slices.Contains(names, name) {
			c.Reinstate(name)
		}
	}
	for _, name := range names {
		c.Eject(name)
	}
}

// Ejected are the members that this relay's own operators have taken out, in order.
func (c *Core) Ejected() []string { return slices.Sorted(maps.Keys(c.ejections)) }

// slowStart puts the move of a flow off that the module asks for, where its member leaves by agreement and the flows of all relays are
// spread over a time. The module asks once, so what is put off is the core's to do.
func (c *Core) deferMigration(r *request) bool {
	if r.state != serving || r.member.listed.State != policy.Ready { // it leaves by itself, and sends its clients away soon
		return false
	}
	over := c.fleetRemovals[r.member.Name].SpreadOver
	if !r.member.ejected || c.ejections[r.member.Name] || over <= 0 { // an operator of this relay wants it left now
		return false
	}
	r.migrationDeferred, c.migrationsDeferred = true, true
	// A part of the span that is the request's own, and spreads those of one relay evenly.
	part := math.Mod(float64(r.id)*math.Phi, 1)
	c.migrateForMemberAt(r, max(c.Clock(), r.member.unavailableSince+time.Duration(part*float64(over))))
	return true
}

// migrateIfUnavailable has a flow moved that has just come to a member that is being left: the module asks for moves only as it hears of that.
func (c *Core) migrateIfUnavailable(r *request) {
	if r.state == serving && r.member.unavailable && !c.deferMigration(r) {
		c.migrateForMemberAt(r, c.Clock())
	}
}

// updateDeferred looks at flows of a member whose move was put off, when what is said of it changes: it leaves after all, sooner, or stays.
func (c *Core) updateDeferred(m *member) {
	for _, r := range c.requestsInOrder() {
		switch {
		case r.state != serving || r.member != m || !r.migrationDeferred:
		case !m.unavailable:
			r.memberMigrateAt = 0
		case m.unavailable && !c.deferMigration(r):
			c.migrate(r)
		}
	}
}

// MemberStatus is a pool member as this relay holds it, for those who look.
type MemberStatus struct {
	Name                string
	Zone                int
	State               policy.ServerState // as discovery has it
	Started             time.Duration
	Removed             bool // by an operator or by agreement
	Flows               int
	Capacity            float64 // in flows, as far as it is known; 0: not known
	Successes, Failures uint64  // attempts and probes that ended so, since this process started
}

// Members is what is held of all members that discovery names, by name.
func (c *Core) Members() (all []MemberStatus) {
	learned := c.facade.LearnedState(c.Clock()).Servers
	for _, name := range slices.Sorted(maps.Keys(c.byName)) {
		m := c.byName[name]
		v := MemberStatus{Name: name, Zone: m.Zone, State: m.listed.State, Started: m.listed.Started, Removed: m.ejected, Flows: m.flows, Successes: m.successes, Failures: m.failures}
		if l, ok := learned[m.ID]; ok && l.Reports > 0 {
			v.Capacity = l.Capacity
		}
		if m.listed.State != policy.Gone || m.flows > 0 {
			all = append(all, v)
		}
	}
	return all
}

// LearnedState is what another core can go on from. Times are ages.
type LearnedState struct {
	Policy         policy.LearnedState      `json:"policy"`
	ReinstatedAges map[string]time.Duration `json:"back"` // how long ago members were put back
}

// LearnedState is what has been learned so far.
func (c *Core) LearnedState() LearnedState {
	now := c.Clock()
	l := LearnedState{Policy: c.facade.LearnedState(now), ReinstatedAges: map[string]time.Duration{}}
	for name, m := range c.byName {
		if m.reinstatedAt > 0 {
			l.ReinstatedAges[name] = now - m.reinstatedAt
		}
	}
	return l
}

// Restore goes on from what another core has learned. It comes after Pool.
func (c *Core) Restore(l LearnedState) {
	now := c.Clock()
	for name, ago := range l.ReinstatedAges {
		if m := c.byName[name]; m != nil {
			m.startedAtEjection, m.reinstatedAt = m.listed.Started, now-ago
			c.refreshMember(now, m)
		}
	}
	c.facade.Restore(now, l.Policy)
}

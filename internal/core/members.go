package core

import (
	"slices"
	"time"

	"dahliarudder/policy"
)

// This file is what the core holds of pool members: what discovery says of them, what operators do, and what is passed on.

// Pool is what discovery says of the members.
func (c *Core) Pool(kind policy.ListKind, list []Member) {
	now := c.Clock()
	servers := make([]policy.Server, len(list))
	named := map[policy.ServerID]bool{}
	for i, e := range list {
		named[e.ID] = true
		m := c.members[e.ID]
		if m == nil {
			m = &member{noted: -noteEvery, banned: c.bans[e.Name], started: e.Started}
			c.members[e.ID] = m
			if kind == policy.ListDelta {
				m.joined = now
			}
		}
		m.Member, m.listed = e, e.Server
		c.byName[e.Name] = m
		c.see(now, m)
		servers[i] = m.Server
	}
	if kind == policy.ListFull || kind == policy.ListCached {
		for id, m := range c.members {
			if !named[id] {
				m.listed.State = policy.Gone
				c.see(now, m)
			}
		}
	}
	c.tell(policy.Pool{Kind: kind, Servers: servers})
}

// see makes of what discovery and the operators say of a member what the module
// and the gate go by. A banned member is one that drains; one put back has started
// just then, unless discovery knows of a start since the ban.
func (c *Core) see(now time.Duration, m *member) {
	m.Server = m.listed
	if m.back > 0 && m.Started <= m.started {
		m.Started = m.back
	}
	if m.banned && m.State == policy.Ready {
		m.State = policy.Draining
	}
	left := m.State != policy.Ready
	if left && !m.left {
		m.told = now
	}
	m.left = left
}

// ---- What operators tell ----

// Known says whether a member of that name is or was in the pool, or is banned.
func (c *Core) Known(name string) bool { return c.byName[name] != nil || c.bans[name] }

// Ban has nothing new sent to a member, whatever the pool says of it, and its flows
// moved.
func (c *Core) Ban(name string) {
	c.bans[name] = true
	if m := c.byName[name]; m != nil && !m.banned {
		m.banned, m.started = true, m.listed.Started
		c.word(m)
	}
}

// Allow ends a ban. Whatever the member was restarted for meanwhile, it is taken
// for cold, and nothing that was learned of it before counts.
func (c *Core) Allow(name string) {
	delete(c.bans, name)
	if m := c.byName[name]; m != nil && m.banned {
		m.banned, m.back = false, c.Clock()
		c.word(m)
	}
}

// word tells the module of a member about which the operators have spoken.
func (c *Core) word(m *member) {
	c.see(c.Clock(), m)
	c.tell(policy.Pool{Kind: policy.ListDelta, Servers: []policy.Server{m.Server}})
}

// Bans puts these names in the place of all that are banned.
func (c *Core) Bans(names []string) {
	for name := range c.bans {
		if !slices.Contains(names, name) {
			c.Allow(name)
		}
	}
	for _, name := range names {
		c.Ban(name)
	}
}

// Learned is what another core can go on from. Times are ages.
type Learned struct {
	Policy policy.Learned           `json:"policy"`
	Back   map[string]time.Duration `json:"back"` // how long ago members were put back
}

// Learned is what has been learned so far.
func (c *Core) Learned() Learned {
	now := c.Clock()
	l := Learned{Policy: c.facade.Learned(now), Back: map[string]time.Duration{}}
	for name, m := range c.byName {
		if m.back > 0 {
			l.Back[name] = now - m.back
		}
	}
	return l
}

// Recall goes on from what another core has learned. It comes after Pool.
func (c *Core) Recall(l Learned) {
	now := c.Clock()
	for name, ago := range l.Back {
		if m := c.byName[name]; m != nil {
			m.started, m.back = m.listed.Started, now-ago
			c.see(now, m)
		}
	}
	c.facade.Recall(now, l.Policy)
}

package core

import (
	"maps"
	"slices"
	"time"

	"dahliarudder/internal/window"
	"dahliarudder/policy"
)

// This file holds the pool members as discovery lists them and as operators and the fleet change them.

// member is what the core knows of a pool member.
type member struct {
	Member // as the policy knows it

	listed           policy.Endpoint // as discovery lists it
	unavailable      bool            // it drains, is gone or is removed
	unavailableSince time.Duration   // when this relay learned that
	joinedAt         time.Duration   // when it was first listed, if that was a delta

	removed          bool          // removed by operators or the fleet
	startedAtRemoval time.Duration // its start as listed when it was removed
	reinstatedAt     time.Duration // when it was reinstated

	flows     int    // attempts in flight and open flows
	successes uint64 // attempts and probes
	failures  uint64

	slow           bool // its messages were slow lately
	slowReportedAt time.Duration

	slowStart     *window.SlowStart // limits the messages in flight there
	slowStartFrom time.Duration     // the start that slowStart was made for
	feedQueue     []*Feed           // that wait for slowStart
}

// UpdateMembers takes a list event of discovery.
func (c *Core) UpdateMembers(kind policy.ListKind, list []Member) {
	now := c.Clock()
	endpoints := make([]policy.Endpoint, len(list))
	listed := map[policy.MemberID]bool{}
	for i, e := range list {
		listed[e.ID] = true
		m := c.members[e.ID]
		if m == nil {
			m = &member{slowReportedAt: -slowReportInterval, removed: c.isRemoved(e.Name), startedAtRemoval: e.Started}
			c.members[e.ID] = m
			if kind == policy.ListDelta {
				m.joinedAt = now
			}
		}
		m.Member, m.listed = e, e.Endpoint
		c.byName[e.Name] = m
		c.refreshMember(now, m)
		endpoints[i] = m.Endpoint
	}
	if kind == policy.ListFull || kind == policy.ListCached {
		for _, id := range slices.Sorted(maps.Keys(c.members)) {
			if m := c.members[id]; !listed[id] {
				m.listed.State = policy.Gone
				c.refreshMember(now, m)
			}
		}
	}
	c.notifyPolicy(policy.EndpointList{Kind: kind, Endpoints: endpoints})
}

// refreshMember derives the effective state of a member from the list and from removals. A removed member counts as
// draining; a reinstated one has started at that moment, unless discovery lists a start since the removal.
func (c *Core) refreshMember(now time.Duration, m *member) {
	m.Endpoint = m.listed
	if m.reinstatedAt > 0 && m.Started <= m.startedAtRemoval {
		m.Started = m.reinstatedAt
	}
	if m.removed && m.State == policy.Ready {
		m.State = policy.Draining
	}
	unavailable := m.State != policy.Ready
	if unavailable && !m.unavailable {
		m.unavailableSince = now
	}
	m.unavailable = unavailable
	if c.migrationsDeferred {
		c.updateDeferred(m)
	}
}

// notifyMemberChange tells the policy that a removal has changed a member.
func (c *Core) notifyMemberChange(m *member) {
	c.refreshMember(c.Clock(), m)
	c.notifyPolicy(policy.EndpointList{Kind: policy.ListDelta, Endpoints: []policy.Endpoint{m.Endpoint}})
}

// IsKnownMember reports whether a member of that name is or was in the pool, or is removed.
func (c *Core) IsKnownMember(name string) bool { return c.byName[name] != nil || c.isRemoved(name) }

// MemberStatus is a pool member as this relay sees it, for operators.
type MemberStatus struct {
	Name                string
	Zone                int
	State               policy.MemberState // as discovery lists it
	Started             time.Duration
	Removed             bool // by operators or the fleet
	Flows               int
	Capacity            float64 // in flows; 0 while it is unknown
	Successes, Failures uint64  // of attempts and probes, since this process started
}

// Members is the status of all members that are listed or hold flows, by name.
func (c *Core) Members() (all []MemberStatus) {
	learned := c.facade.LearnedState(c.Clock()).Members
	for _, name := range slices.Sorted(maps.Keys(c.byName)) {
		m := c.byName[name]
		status := MemberStatus{Name: name, Zone: m.Zone, State: m.listed.State, Started: m.listed.Started,
			Removed: m.removed, Flows: m.flows, Successes: m.successes, Failures: m.failures}
		if l, ok := learned[m.ID]; ok && l.Reports > 0 {
			status.Capacity = l.Capacity
		}
		if m.listed.State != policy.Gone || m.flows > 0 {
			all = append(all, status)
		}
	}
	return all
}

package core

import (
	"maps"
	"slices"
	"time"

	"dahliarudder/internal/window"
	"dahliarudder/policy"
)

// This file holds the pool members, as discovery lists them and as operators and the fleet remove
// them.

// member is the state that the core keeps for a pool member.
type member struct {
	Member // its effective state, as passed to the policy

	listed           policy.Endpoint // as discovery lists it
	unavailable      bool            // it drains, is gone or is removed
	unavailableSince time.Duration   // when this relay learned that it is unavailable
	joinedAt         time.Duration   // when a delta first listed it; 0 if a full list did

	removed          bool          // removed by operators or the fleet
	startedAtRemoval time.Duration // its listed start time when it was removed
	reinstatedAt     time.Duration // when it was reinstated

	flows     int    // attempts in flight and open flows
	successes uint64 // of attempts and probes
	failures  uint64

	slow           bool          // the latest message latency reported to the policy was slow
	slowReportedAt time.Duration // when the latest message latency was reported

	slowStart     *window.SlowStart // limits the messages in flight at the member; nil before the first feed
	slowStartFrom time.Duration     // the start time of the member for which slowStart was made
	feedQueue     []*Feed           // feeds that wait until slowStart allows more messages
}

// UpdateMembers applies an event of discovery: an endpoint list or a part of it.
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

// refreshMember derives the effective state of a member from the endpoint list and from removals. A
// removed member counts as draining. A reinstated member counts as started when it was reinstated,
// unless discovery lists a start since the removal.
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

// notifyMemberChange refreshes a member whose removal has changed and notifies the policy.
func (c *Core) notifyMemberChange(m *member) {
	c.refreshMember(c.Clock(), m)
	c.notifyPolicy(policy.EndpointList{Kind: policy.ListDelta, Endpoints: []policy.Endpoint{m.Endpoint}})
}

// IsKnownMember reports whether a member of that name has ever been listed, or is removed.
func (c *Core) IsKnownMember(name string) bool { return c.byName[name] != nil || c.isRemoved(name) }

// MemberStatus is the status of a pool member as this relay sees it, for operators.
type MemberStatus struct {
	Name                string
	Zone                int
	State               policy.MemberState // as discovery lists it
	Started             time.Duration
	Removed             bool    // by operators or the fleet
	Flows               int     // attempts in flight and open flows
	Capacity            float64 // in flows; 0 while unknown
	Successes, Failures uint64  // of attempts and probes since this process started
}

// Members returns the status of all members that are listed or have flows, sorted by name.
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

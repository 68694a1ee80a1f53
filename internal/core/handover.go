package core

import (
	"time"

	"dahliarudder/policy"
)

// This file hands over open flows and learned state to the process that takes over, and adopts
// those of another process.

// FlowTransfer is an open flow that is handed over to another process. Age is how long ago its
// attempt was sent; a time would not do, since the clocks of the processes differ.
type FlowTransfer struct {
	Request Request       `json:"request"`
	Member  string        `json:"member"`
	Age     time.Duration `json:"age"`
}

// ReleaseFlow gives up an open flow that another process takes over. It returns false if there is
// no such open flow.
func (c *Core) ReleaseFlow(id ID) (FlowTransfer, bool) {
	r := c.requests[id]
	if r == nil || !c.transition(r, handedOver) {
		return FlowTransfer{}, false
	}
	t := FlowTransfer{r.Request, r.member.Name, c.Clock() - r.sentAt}
	c.releaseAttempt(r, serving, policy.Cancelled, policy.NoReport)
	return t, true
}

// AdoptFlow takes over an open flow of another process. It returns false if the member of the flow
// is not known here.
func (c *Core) AdoptFlow(t FlowTransfer, d Downstream) (ID, *Member, bool) {
	now, m := c.Clock(), c.byName[t.Member]
	if m == nil {
		return 0, nil, false
	}
	c.lastID++
	r := &request{Request: t.Request, id: c.lastID, downstream: d, deadline: now, attempts: 1, policySends: 1,
		member: m, sentAt: now - t.Age, preexisting: true, state: serving}
	c.requests[r.id] = r
	m.flows++
	c.Counts.Requests++
	c.Counts.Attempts++
	c.unansweredRequests.add(r.Name)
	c.recordAnswer(r, Served)
	c.notifyPolicy(policy.ExistingFlow{Request: r.policyRequest(), Member: m.ID})
	if !c.AcceptsClients() {
		c.migrateAt(r, c.migrateNotBefore)
	}
	c.migrateIfUnavailable(r)
	c.scheduleTick()
	return r.id, &m.Member, true
}

// LearnedState is what a Core has learned and hands over to its successor. Times are ages, since
// the clocks of the processes differ. The JSON names must not change.
type LearnedState struct {
	Policy         policy.LearnedState      `json:"policy"`
	ReinstatedAges map[string]time.Duration `json:"back"` // how long ago members were reinstated
}

// LearnedState returns what this Core has learned so far.
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

// Restore adopts the learned state of another Core. It must be called after the first UpdateMembers.
func (c *Core) Restore(l LearnedState) {
	now := c.Clock()
	for name, ago := range l.ReinstatedAges {
		if m := c.byName[name]; m != nil {
			m.startedAtRemoval, m.reinstatedAt = m.listed.Started, now-ago
			c.refreshMember(now, m)
		}
	}
	c.facade.Restore(now, l.Policy)
}

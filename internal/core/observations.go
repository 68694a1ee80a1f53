package core

import (
	"time"

	"dahliarudder/policy"
)

// This file handles what fronts observe of members and open flows.

// slowReportInterval is the least time between two reports to the policy of slow messages at a
// member.
const slowReportInterval = time.Second

// UpdateLoad sets the load of an open flow, in work per second.
func (c *Core) UpdateLoad(id ID, load float64) { c.notifyPolicy(policy.FlowLoad{ID: id, Load: load}) }

// ObserveMessageLatency records how long a message on an open flow took. The policy is notified
// while messages are slow, at most once per slowReportInterval, and once more when they are fast
// again.
func (c *Core) ObserveMessageLatency(id ID, latency time.Duration) {
	r := c.requests[id]
	if r == nil || !r.state.atMember() {
		return
	}
	m, now, slow := r.member, c.Clock(), false
	c.emitMemberEvent(r, m, MessageAnswered, latency)
	for _, class := range c.policyCfg.Classes {
		slow = slow || latency > class.MessageLatencyObjective/3
	}
	if slow && now-m.slowReportedAt < slowReportInterval || !slow && !m.slow {
		return
	}
	m.slow, m.slowReportedAt = slow, now
	c.notifyPolicy(policy.MessageLatency{ID: id, Latency: latency})
}

// SetActiveRelays sets the number of relays that share the budgets.
func (c *Core) SetActiveRelays(count float64) { c.notifyPolicy(policy.ActiveRelays{Count: count}) }

// ProbeResult reports the outcome of a probe.
func (c *Core) ProbeResult(id policy.MemberID, result policy.Result, report policy.Report) {
	if m := c.members[id]; m != nil {
		c.countResult(m, result)
	}
	c.notifyPolicy(policy.ProbeResult{Member: id, Result: result, Report: report})
}

// countResult counts the result of an attempt or a probe. Results that the client or the relay
// caused are not counted, since they say nothing about the member.
func (c *Core) countResult(m *member, result policy.Result) {
	switch result {
	case policy.OK, policy.Full:
		m.successes++
	case policy.Error, policy.Reset, policy.ConnectFailed, policy.Timeout:
		m.failures++
	}
	if c.OnResult != nil {
		c.OnResult(&m.Member, result)
	}
}

package core

import (
	"time"

	"dahliarudder/policy"
)

// modelMember is a pool member as the model knows it.
type modelMember struct {
	Member
	known            bool // the core has received it in an endpoint list
	unavailable      bool // draining, gone, ejected, or removed by the fleet
	unavailableSince time.Duration
	spreadOver       time.Duration // the period over which its flows may be migrated
	spreadChangedAt  time.Duration // when spreadOver last changed
}

// modelAttempt is an attempt, or the flow that it became.
type modelAttempt struct {
	member       *modelMember
	memberAtSend Member // a copy, since the zone or cell of a member may change
	sentAt       time.Duration
	timeoutAt    time.Duration
	result       policy.Result
	ended        bool
}

// modelClient is a client with one request. It implements Downstream, and checks each call.
type modelClient struct {
	model            *model
	id               ID
	request          Request
	deadline         time.Duration
	arrivedAfterStop bool // the request arrived after Stop or BeginHandover
	gone             bool
	answers          []string
	attempts         []*modelAttempt
	established      bool
	establishedAt    time.Duration
	migrations       int
	flowEnded        bool // the flow was established and has ended
}

func (c *modelClient) class() policy.Class { return c.model.core.policyCfg.Classes[c.request.Class] }

// currentAttempt returns the attempt in flight or the open flow; nil if there is neither.
func (c *modelClient) currentAttempt() *modelAttempt {
	if n := len(c.attempts); n > 0 && !c.attempts[n-1].ended {
		return c.attempts[n-1]
	}
	return nil
}

func (c *modelClient) flowOpen() bool { return c.established && !c.flowEnded }

// settled reports whether the core must not call the downstream any more.
func (c *modelClient) settled() bool { return c.gone || len(c.answers) > 0 && !c.flowOpen() }

// firstPossibleRun returns the first attempt that its member may have run; nil if there is none.
func (c *modelClient) firstPossibleRun() *modelAttempt {
	for _, a := range c.attempts {
		if !a.ended || a.result != policy.Full && a.result != policy.ConnectFailed && a.result != policy.NotSent {
			return a
		}
	}
	return nil
}

// checkMayCall fails the test if the core must not make the given call any more.
func (c *modelClient) checkMayCall(call string) {
	m := c.model
	if c.gone || c.migrations > 0 || m.finished && call != "migrate" && call != "cancel" && !c.arrivedAfterStop {
		m.Fatalf("request %d: call of %s, which is not allowed any more (client gone %v, migrated %d times, "+
			"FinishStop called %v)",
			c.id, call, c.gone, c.migrations, m.finished)
	}
}

// reenter makes another event happen before a call to a downstream returns: another client
// disconnects, another attempt ends, or a request arrives.
func (c *modelClient) reenter() {
	m := c.model
	if !m.reentrant {
		return
	}
	m.reentrant = false
	pickOther := func(matches func(*modelClient) bool) *modelClient {
		return m.pickClient(func(other *modelClient) bool { return other != c && other != m.opening && matches(other) })
	}
	switch m.draw(3, "meanwhile") {
	case 0:
		if other := pickOther(func(other *modelClient) bool { return !other.settled() }); other != nil {
			other.disconnect()
		}
	case 1:
		if other := pickOther(func(other *modelClient) bool { return other.currentAttempt() != nil }); other != nil {
			other.endAttempt()
		}
	case 2:
		m.arrive()
	}
}

func (c *modelClient) Send(id ID, to *Member, attempt int, timeout time.Duration) {
	m := c.model
	c.checkMayCall("send")
	c.id = id
	member := m.byName[to.Name]
	switch maxAttempts := m.core.Settings.Limits.MaxAttempts; {
	case len(c.answers) > 0, c.currentAttempt() != nil, attempt != len(c.attempts), attempt >= maxAttempts:
		m.Fatalf("request %d: Send of attempt %d, %d sent before, at most %d, answers %v, in flight %v",
			id, attempt, len(c.attempts), maxAttempts, c.answers, c.currentAttempt() != nil)
	case timeout <= 0, m.now+timeout > c.deadline:
		m.Fatalf("request %d: Send at %v with timeout %v, want a positive one that ends by the deadline %v",
			id, m.now, timeout, c.deadline)
	case c.arrivedAfterStop:
		m.Fatalf("request %d: Send, though the request arrived after the stop", id)
	case c.request.CurrentMember == "" && member.unavailable && (m.resuming || m.now-member.unavailableSince > 250*time.Millisecond):
		m.Fatalf("request %d: Send to %s, which became unavailable %v ago; resuming dispatch %v",
			id, member.Name, m.now-member.unavailableSince, m.resuming)
	case c.request.CurrentMember == "" && m.paused:
		m.Fatalf("request %d: Send while dispatch is paused", id)
	case to.Addr != member.Addr:
		m.Fatalf("request %d: Send to %s with address %s, want %s", id, to.Name, to.Addr, member.Addr)
	}
	if first := c.firstPossibleRun(); first != nil {
		class := c.class()
		inScope := class.Scope == policy.ScopeAll || class.Scope == policy.ScopeZone && member.Zone == first.memberAtSend.Zone ||
			class.Scope == policy.ScopeCell && member.Cell == first.memberAtSend.Cell
		if class.Idempotency == policy.NonIdempotent || class.Idempotency == policy.IdempotencyKey && (!inScope || m.now >= first.sentAt+class.DedupWindow) {
			m.Fatalf("request %d: retry that its class does not allow: first sent at %v to %s, now at %v to %s",
				id, first.sentAt, first.memberAtSend.Name, m.now, member.Name)
		}
	}
	c.attempts = append(c.attempts, &modelAttempt{member: member, memberAtSend: member.Member, sentAt: m.now, timeoutAt: m.now + timeout})
	c.reenter()
}

func (c *modelClient) Cancel(attempt int) {
	a := c.currentAttempt()
	if a == nil || attempt != len(c.attempts)-1 {
		c.model.Fatalf("request %d: Cancel(%d), but that attempt is not in flight", c.id, attempt)
	}
	a.ended, a.result = true, policy.Cancelled
	c.flowEnded = c.established
	c.reenter()
}

func (c *modelClient) Reject(retryAfter time.Duration) {
	class := c.class()
	if c.firstPossibleRun() != nil && !(class.Idempotency == policy.Idempotent || class.Idempotency == policy.IdempotencyKey && class.Scope == policy.ScopeAll) {
		c.model.Fatalf("request %d: Reject, though the request may have run and a retry is not harmless", c.id)
	}
	if retryAfter < 0 {
		c.model.Fatalf("request %d: Reject with Retry-After %v, want at least 0", c.id, retryAfter)
	}
	c.answer("rejected")
}

func (c *modelClient) Fail() { c.answer("failed") }

func (c *modelClient) answer(answer string) {
	c.checkMayCall(answer)
	if c.answers = append(c.answers, answer); len(c.answers) > 1 || c.currentAttempt() != nil {
		c.model.Fatalf("request %d: answers %v, attempt in flight %v; want one answer and no attempt",
			c.id, c.answers, c.currentAttempt() != nil)
	}
	c.reenter()
}

func (c *modelClient) Migrate() {
	c.checkMayCall("migrate")
	if !c.flowOpen() {
		c.model.Fatalf("request %d: Migrate, though it has no open flow", c.id)
	}
	a := c.currentAttempt()
	c.migrations++
	c.flowEnded, a.ended, a.result = true, true, policy.Cancelled
	c.reenter()
}

func (c *modelClient) disconnect() {
	if !c.settled() {
		c.model.core.ClientGone(c.id)
		c.gone = true
		if c.currentAttempt() != nil {
			c.model.Fatalf("request %d: an attempt is still in flight after ClientGone", c.id)
		}
	}
}

// endAttempt ends the attempt in flight, or the open flow, with a randomly drawn result.
func (c *modelClient) endAttempt() {
	m := c.model
	a, number := c.currentAttempt(), len(c.attempts)-1
	a.ended, a.result = true, modelResults[m.draw(len(modelResults), "result")]
	if c.established {
		c.flowEnded = true
	} else if a.result == policy.OK {
		c.answers, c.established, c.flowEnded = append(c.answers, "served"), true, true
	}
	m.core.AttemptEnded(c.id, number, a.result, m.report())
}

// checkOverdue fails the test if an answer, the end of an attempt or the migration of a flow is
// overdue.
func (c *modelClient) checkOverdue(a *modelAttempt) {
	m := c.model
	switch {
	case len(c.answers) == 0 && m.now >= c.deadline:
		m.Fatalf("request %d: no answer at %v, the deadline was %v", c.id, m.now, c.deadline)
	case a != nil && !c.established && m.now >= a.timeoutAt:
		m.Fatalf("request %d: attempt still in flight at %v, its timeout was at %v", c.id, m.now, a.timeoutAt)
	case !c.flowOpen():
		return
	case m.migrateBy > 0 && m.now > max(m.migrateBy, c.establishedAt+StopNotice/2):
		m.Fatalf("request %d: flow not migrated at %v, but a drain or stop had to migrate it by %v",
			c.id, m.now, m.migrateBy)
	}
	// The flows of an unavailable member are migrated at the request of the policy.
	if member := a.member; member.unavailable && !m.faultyPolicy {
		if m.now > max(member.unavailableSince+member.spreadOver, member.spreadChangedAt, c.establishedAt) {
			m.Fatalf("request %d: flow not migrated %v after %s became unavailable, want it within %v",
				c.id, m.now-member.unavailableSince, member.Name, member.spreadOver)
		}
	}
}

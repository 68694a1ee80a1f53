package core

import (
	"slices"
	"time"

	"dahliarudder/policy"
)

// This file carries out the actions of the policy, and holds the rules that every attempt is checked against.

// PauseDispatch holds back everything new to members: this process was suspended, and a member may have begun to drain
// or gone meanwhile. ResumeDispatch ends it.
func (c *Core) PauseDispatch() { c.dispatchPaused = true }

// ResumeDispatch is called once the server list is up to date again, or when no update is available. What was
// held back is sent where that is still allowed, and placed anew where it is not.
func (c *Core) ResumeDispatch() {
	if !c.dispatchPaused {
		return
	}
	paused := c.pausedActions
	c.dispatchPaused, c.pausedActions, c.ignoreGrace = false, nil, true
	c.apply(paused)
	c.sendAllPending()
	c.ignoreGrace = false
}

func (c *Core) notifyPolicy(e policy.Event) { c.apply(c.facade.Observe(c.Clock(), e)) }

// apply carries out actions in their order; the actions that these lead to come after them.
func (c *Core) apply(actions []policy.Action) {
	c.pendingActions = append(c.pendingActions, actions...)
	if c.applying {
		return
	}
	c.applying = true
	for len(c.pendingActions) > 0 {
		a := c.pendingActions[0]
		c.pendingActions = c.pendingActions[1:]
		c.execute(a)
	}
	c.pendingActions, c.applying = nil, false
	c.scheduleTick()
}

func (c *Core) execute(a policy.Action) {
	r := c.requests[a.ID]
	if c.dispatchPaused && (a.Kind == policy.ActionSend || a.Kind == policy.ActionProbe) {
		c.pausedActions = append(c.pausedActions, a)
		return
	}
	switch a.Kind {
	case policy.ActionProbe:
		c.sendProbe(a.Member)
		return
	case policy.ActionWatch:
		c.Watch()
		return
	}
	if r == nil {
		if a.Kind == policy.ActionSend { // the request has ended since the policy decided
			c.notifyPolicy(policy.SendSkipped{ID: a.ID, Final: true})
		}
		return
	}
	switch a.Kind {
	case policy.ActionSend:
		c.dispatch(r, a)
	case policy.ActionReject:
		c.rejectOrFail(r, a.Duration)
	case policy.ActionFail: // or reject: the policy counts a send that is held back as an attempt
		c.rejectOrFail(r, stopRetryAfter)
	case policy.ActionCancel:
		if a.Attempt == r.policySends-1 && r.state == attempting {
			r.downstream.Cancel(r.attempts - 1)
			c.endAttempt(r, policy.Cancelled, policy.NoReport)
		}
	case policy.ActionMigrate:
		if !c.deferMigration(r) {
			c.migrate(r)
		}
	}
}

func (c *Core) sendProbe(id policy.MemberID) {
	m := c.members[id]
	switch {
	case m == nil:
	case c.reachable(c.Clock(), m):
		c.Probe(&m.Member)
	default:
		c.Counts.Blocked++
		c.notifyPolicy(policy.ProbeResult{Member: id, Result: policy.NotSent, Report: policy.NoReport})
	}
}

// mayStart is the one place that decides whether an attempt may start, of a request or of a message on a feed: none
// after the final answer, no second one in flight, no more than the settings allow, none after the client's
// deadline, and none to a member that became unavailable longer than the drain grace ago.
func (c *Core) mayStart(now time.Duration, busyOrAnswered bool, attempts int, deadline time.Duration, m *member) bool {
	return !busyOrAnswered && attempts < c.policyCfg.MaxAttempts && now < deadline && m != nil && c.reachable(now, m)
}

// reachable reports whether anything new may go to a member, probes included.
func (c *Core) reachable(now time.Duration, m *member) bool {
	return !m.unavailable || !c.ignoreGrace && now-m.unavailableSince <= c.drainGrace
}

// Reachable is the same for fronts that start something new by themselves.
func (c *Core) Reachable(id policy.MemberID) bool {
	m := c.members[id]
	return m != nil && !c.dispatchPaused && c.reachable(c.Clock(), m)
}

// answerPending reports whether a final answer of that request is among the pending actions: when Tick is late, the
// policy's timers run together.
func (c *Core) answerPending(id ID) bool {
	return slices.ContainsFunc(c.pendingActions, func(a policy.Action) bool {
		return a.ID == id && (a.Kind == policy.ActionReject || a.Kind == policy.ActionFail)
	})
}

// dispatch starts an attempt as the policy decided, if the rules allow it.
func (c *Core) dispatch(r *request, a policy.Action) {
	now, m := c.Clock(), c.members[a.Member]
	r.policySends++
	if c.answerPending(r.id) || !c.mayStart(now, r.state != placing, r.attempts, r.deadline, m) ||
		!c.mayRetryAt(now, r, m) {
		c.Counts.Blocked++
		if r.state == placing { // otherwise the policy is notified when the attempt in flight ends
			c.notifyPolicy(policy.SendSkipped{ID: r.id})
		}
		return
	}
	timeout := r.deadline - now
	if a.Duration > 0 && a.Duration < timeout {
		timeout = a.Duration
		c.setTimer(now+timeout, r.id, r.attempts)
	}
	c.startAttempt(now, r, m, timeout)
}

// MaySend reports whether an attempt may be sent now that its connection is established. It may not if its member has
// become unavailable meanwhile, however recently: its first byte would come later than mayStart assumed. Nor may it
// while dispatch is paused, nor as a repeat whose dedup window is over by now. It then ends as one that was never
// sent. A flow that its member holds already is exempt.
func (c *Core) MaySend(id ID, attempt int) bool {
	r := c.currentAttempt(id, attempt)
	if r == nil || r.state != attempting {
		return false
	}
	return r.preexisting || !r.member.unavailable && !c.dispatchPaused && c.mayRetryAt(c.Clock(), r, r.member)
}

package core

import (
	"slices"
	"time"

	"dahliarudder/policy"
)

// This file carries out the actions of the policy and holds the rules that every attempt must meet.

// PauseDispatch holds back new attempts, probes and messages until ResumeDispatch. It is called
// after this process was suspended, since members may have begun to drain or left the pool in the
// meantime, and at the start of a relay with a fleet record, since the fleet may have removed members
// while the relay was down.
func (c *Core) PauseDispatch() { c.dispatchPaused = true }

// ResumeDispatch ends PauseDispatch. It is called once the endpoint list or the fleet record is up to
// date, or if no update is available in time. Attempts that were held back are sent if that is still
// allowed; for the others the policy picks another member.
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

// apply carries out actions in order. Actions that result from them are carried out after them.
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
	case policy.ActionFail: // the core may reject instead: the policy counts a paused send as in flight
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

// mayStart reports whether an attempt of a request, or of a message on a feed, may start. It is the
// only place that decides this. An attempt may not start after the final answer, while another one
// is in flight, if the maximum of attempts is reached, after the client's deadline, or at a member
// that became unavailable longer ago than the drain grace.
func (c *Core) mayStart(now time.Duration, busyOrAnswered bool, attempts int, deadline time.Duration, m *member) bool {
	return !busyOrAnswered && attempts < c.policyCfg.MaxAttempts && now < deadline && m != nil && c.reachable(now, m)
}

// reachable reports whether a new attempt or probe may go to a member.
func (c *Core) reachable(now time.Duration, m *member) bool {
	return !m.unavailable || !c.ignoreGrace && now-m.unavailableSince <= c.drainGrace
}

// Reachable reports whether a front may start something new at a member by itself.
func (c *Core) Reachable(id policy.MemberID) bool {
	m := c.members[id]
	return m != nil && !c.dispatchPaused && c.reachable(c.Clock(), m)
}

// answerPending reports whether the pending actions include a final answer of the request. That
// happens if Tick is late, since several timers of the policy then expire in one call.
func (c *Core) answerPending(id ID) bool {
	return slices.ContainsFunc(c.pendingActions, func(a policy.Action) bool {
		return a.ID == id && (a.Kind == policy.ActionReject || a.Kind == policy.ActionFail)
	})
}

// dispatch starts the attempt that the policy decided on, if the rules allow it.
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

// MaySend reports whether the request may be written now that the connection of its attempt is
// established. It may not if the member has become unavailable in the meantime, even within the
// drain grace, since mayStart did not allow for the time to connect; nor while dispatch is paused;
// nor if it is a retry whose deduplication window is over. The front then ends the attempt as one
// that was not sent. A flow that its member already has is exempt.
func (c *Core) MaySend(id ID, attempt int) bool {
	r := c.currentAttempt(id, attempt)
	if r == nil || r.state != attempting {
		return false
	}
	return r.preexisting || !r.member.unavailable && !c.dispatchPaused && c.mayRetryAt(c.Clock(), r, r.member)
}

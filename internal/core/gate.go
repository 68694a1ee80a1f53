package core

import (
	"slices"
	"time"

	"dahliarudder/policy"
)

// This file is what verdicts of the module do, and the gate that every attempt goes through.

// ---- Doubt ----

// PauseDispatch has whatever is new to a member wait: this process stood still, and discovery may have said meanwhile that the member
// drains or is gone. Sure ends it: what has waited goes where it may still go, and what may not is decided anew.
func (c *Core) PauseDispatch() { c.dispatchPaused = true }

// ResumeDispatch is called when the news is told, and also when there is none to be had.
func (c *Core) ResumeDispatch() {
	if !c.dispatchPaused {
		return
	}
	later := c.pausedActions
	c.dispatchPaused, c.pausedActions, c.ignoreGrace = false, nil, true
	c.apply(later)
	c.sendAllPending()
	c.ignoreGrace = false
}

// ---- What the module's verdicts do ----

func (c *Core) notifyPolicy(n policy.Event) { c.apply(c.facade.Observe(c.Clock(), n)) }

// apply carries verdicts out in their order; what they lead to comes after them.
func (c *Core) apply(verdicts []policy.Action) {
	c.pendingActions = append(c.pendingActions, verdicts...)
	if c.applying {
		return
	}
	c.applying = true
	for len(c.pendingActions) > 0 {
		v := c.pendingActions[0]
		c.pendingActions = c.pendingActions[1:]
		c.execute(v)
	}
	c.pendingActions, c.applying = nil, false
	c.scheduleTick()
}

func (c *Core) execute(v policy.Action) {
	r := c.requests[v.ID]
	if c.dispatchPaused && (v.Kind == policy.ActionSend || v.Kind == policy.ActionProbe) {
		c.pausedActions = append(c.pausedActions, v)
		return
	}
	switch v.Kind {
	case policy.ActionProbe:
		switch m := c.members[v.Server]; {
		case m == nil:
		case c.reachable(c.Clock(), m):
			c.Probe(&m.Member)
		default:
			c.Counts.Blocked++
			c.notifyPolicy(policy.ProbeResult{Server: v.Server, Result: policy.NotSent, Report: policy.NoReport})
		}
		return
	case policy.ActionWatch:
		c.Watch()
		return
	}
	if r == nil {
		if v.Kind == policy.ActionSend { // it has ended since this was asked for
			c.notifyPolicy(policy.SendSkipped{ID: v.ID, Final: true})
		}
		return
	}
	switch v.Kind {
	case policy.ActionSend:
		c.dispatch(r, v)
	case policy.ActionReject:
		c.rejectOrFail(r, v.Duration)
	case policy.ActionFail: // or rejected: the module takes a send that waits for the end of a doubt for an attempt
		c.rejectOrFail(r, stopRetryAfter)
	case policy.ActionCancel:
		if v.Attempt == r.policySends-1 && r.state == attempting {
			r.downstream.Cancel(r.attempts - 1)
			c.endAttempt(r, policy.Cancelled, policy.NoReport)
		}
	case policy.ActionMigrate:
		if !c.deferMigration(r) {
			c.migrate(r)
		}
	}
}

// mayStart is the one place that says whether an attempt may start, of a request or of a
// message on a feed: none after the final answer, no second one out, no more than the
// settings allow, none that the client no longer waits for, and none to a member that has
// left for longer than the grace.
func (c *Core) mayStart(now time.Duration, settled bool, tries int, due time.Duration, m *member) bool {
	return !settled && tries < c.policyCfg.MaxAttempts && now < due && m != nil && c.reachable(now, m)
}

// reachable says whether anything new may go to a member, a probe as well.
func (c *Core) reachable(now time.Duration, m *member) bool {
	return !m.unavailable || !c.ignoreGrace && now-m.unavailableSince <= c.drainGrace
}

// Reachable says the same to fronts that start something anew by themselves.
func (c *Core) Reachable(id policy.ServerID) bool {
	m := c.members[id]
	return m != nil && !c.dispatchPaused && c.reachable(c.Clock(), m)
}

// answerPending says whether a final answer of that request is among the verdicts that are still to be carried out: the module's timers of
// a late Tick come together.
func (c *Core) answerPending(id ID) bool {
	return slices.ContainsFunc(c.pendingActions, func(v policy.Action) bool {
		return v.ID == id && (v.Kind == policy.ActionReject || v.Kind == policy.ActionFail)
	})
}

func (c *Core) dispatch(r *request, v policy.Action) {
	now, m := c.Clock(), c.members[v.Server]
	r.policySends++
	if c.answerPending(r.id) || !c.mayStart(now, r.state != placing, r.attempts, r.deadline, m) || !c.safeToRepeat(now, r, m) {
		c.Counts.Blocked++
		if r.state == placing { // else the module hears of what is out as that ends
			c.notifyPolicy(policy.SendSkipped{ID: r.id})
		}
		return
	}
	wait := r.deadline - now
	if v.Duration > 0 && v.Duration < wait {
		wait = v.Duration
		c.setTimer(now+wait, r.id, r.attempts)
	}
	c.startAttempt(now, r, m, wait)
}

// NewFacade says whether an attempt may be sent now that its connection stands. One whose member has left meanwhile may
// not, however long ago that was told: its first byte would come later than the gate has judged by. Nor may any
// during a doubt, nor a repeat whose window is over by now. It ends as one that was never made. A flow that its
// member holds already is exempt.
func (c *Core) MaySend(id ID, try int) bool {
	r := c.currentAttempt(id, try)
	if r == nil || r.state != attempting {
		return false
	}
	return r.preexisting || !r.member.unavailable && !c.dispatchPaused && c.safeToRepeat(c.Clock(), r, r.member)
}

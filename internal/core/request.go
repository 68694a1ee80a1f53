package core

import (
	"time"

	"dahliarudder/policy"
)

// This file handles the events of a request. Each event goes through transition first, and takes
// effect only if the state of the request allows it.

// Open accepts a request and returns its ID. The final answer is passed to d, possibly before Open
// returns.
func (c *Core) Open(q Request, d Downstream) ID {
	now := c.Clock()
	c.lastID++
	r := &request{Request: q, id: c.lastID, downstream: d, deadline: now + q.TimeLeft}
	c.requests[r.id] = r
	c.Counts.Requests++
	c.unansweredRequests.add(q.Name)
	switch {
	case c.stopping:
		c.answer(r, Rejected, stopRetryAfter)
	case !c.recorderReady():
		c.answer(r, Rejected, stopRetryAfter)
	case q.TimeLeft <= 0:
		c.answer(r, Rejected, stopRetryAfter)
	case q.CurrentMember != "":
		c.resumeFlow(now, r)
	default:
		c.setTimer(r.deadline, r.id, timerDeadline)
		c.apply(c.facade.Pick(now, r.policyRequest()))
	}
	return r.id
}

// resumeFlow sends a request to the member that already has its flow.
func (c *Core) resumeFlow(now time.Duration, r *request) {
	m := c.byName[r.CurrentMember]
	if m == nil {
		c.answer(r, Failed, 0)
		return
	}
	if m.removed {
		c.answer(r, Rejected, stopRetryAfter)
		return
	}
	r.preexisting, r.policySends = true, 1 // for the policy the flow counts as one send
	c.setTimer(r.deadline, r.id, timerDeadline)
	c.startAttempt(now, r, m, r.TimeLeft)
	c.scheduleTick()
}

func (r *request) policyRequest() policy.Request {
	return policy.Request{ID: r.id, Class: r.Class, Tenant: r.Tenant, Key: r.Key, Group: r.Group,
		Deadline: r.deadline, Load: r.Load, Reconnect: r.Reconnect}
}

// currentAttempt returns the request if the attempt with that number is in flight or an open flow,
// and nil otherwise.
func (c *Core) currentAttempt(id ID, attempt int) *request {
	if r := c.requests[id]; r != nil && r.state.atMember() && r.attempts-1 == attempt {
		return r
	}
	return nil
}

// FlowEstablished reports that an attempt has become an open flow. It returns whether the front may
// answer the client that its request is served.
func (c *Core) FlowEstablished(id ID, attempt int) bool {
	r := c.currentAttempt(id, attempt)
	if r == nil || !c.transition(r, attemptEstablished) {
		return false
	}
	c.recordAnswer(r, Served)
	c.countResult(r.member, policy.OK)
	if !r.preexisting {
		c.emitMemberEvent(r, r.member, FlowEstablished, c.Clock()-r.sentAt)
	}
	if r.preexisting {
		c.notifyPolicy(policy.ExistingFlow{Request: r.policyRequest(), Member: r.member.ID})
	} else {
		c.notifyPolicy(policy.FlowEstablished{ID: id})
	}
	if !c.AcceptsClients() {
		c.migrateAt(r, max(c.migrateNotBefore, c.Clock()+StopNotice/2))
	}
	c.migrateIfUnavailable(r)
	c.scheduleTick()
	return true
}

// AttemptEnded reports how an attempt ended, before or after it became an open flow. If the result
// of an attempt that did not become a flow is policy.OK, its request is served.
func (c *Core) AttemptEnded(id ID, attempt int, result policy.Result, report policy.Report) {
	if r := c.currentAttempt(id, attempt); r != nil {
		c.endAttempt(r, result, report)
	}
}

// ClientGone reports that the client of a request went away. It returns whether a retry by the client
// is safe: if the client still reads, the front may then answer with a rejection.
func (c *Core) ClientGone(id ID) (safeToRetry bool) {
	r := c.requests[id]
	if r == nil {
		return false
	}
	previous := r.state
	safeToRetry = c.clientMayRetry(r)
	c.transition(r, clientGone)
	if !previous.final() {
		c.recordAnswer(r, ClientGone)
		if !r.preexisting {
			c.notifyPolicy(policy.ClientGone{ID: id})
		}
	}
	c.abandon(r, previous)
	return safeToRetry
}

// startAttempt sends an attempt to a member.
func (c *Core) startAttempt(now time.Duration, r *request, m *member, timeout time.Duration) {
	if !c.transition(r, attemptStarted) {
		return
	}
	r.member, r.sentAt = m, now
	m.flows++
	r.attempts++
	c.Counts.Attempts++
	if m.removed && now-m.unavailableSince > c.drainGrace {
		c.Counts.SentAfterGrace++ // mayStart prevents this: counting what was actually sent verifies it
	}
	r.downstream.Send(r.id, &m.Member, r.attempts-1, timeout)
}

// endAttempt handles the end of an attempt or an open flow.
func (c *Core) endAttempt(r *request, result policy.Result, report policy.Report) {
	previous, e := r.state, attemptEnded
	if previous == attempting && result == policy.OK {
		e = servedWithoutFlow
	}
	if !c.transition(r, e) {
		return
	}
	if e == servedWithoutFlow {
		c.recordAnswer(r, Served)
	}
	c.releaseAttempt(r, previous, result, report)
	if r.preexisting && r.state == placing { // no other member has the flow, so there is no retry
		c.answer(r, Failed, 0)
	}
}

// abandon cancels the attempt or the open flow, if there was one, of a request that has finished.
func (c *Core) abandon(r *request, previous state) {
	if previous.atMember() {
		r.downstream.Cancel(r.attempts - 1)
		c.releaseAttempt(r, previous, policy.Cancelled, policy.NoReport)
	}
}

// releaseAttempt counts and records the end of an attempt or an open flow, and notifies the policy.
func (c *Core) releaseAttempt(r *request, previous state, result policy.Result, report policy.Report) {
	m, attempt := r.member, r.attempts-1
	r.member = nil
	if r.firstRun == nil && mayHaveRun(result) {
		r.firstRun = &firstRun{r.sentAt, m.Endpoint}
	}
	m.flows--
	if result != policy.OK || previous == attempting { // an open flow was counted when it was established
		c.countResult(m, result)
	}
	if kind, ok := memberEventKinds[attemptEnd{previous == serving, result}]; ok {
		c.emitMemberEvent(r, m, kind, c.Clock()-r.sentAt)
	}
	if c.Recorder != nil {
		c.Recorder.RecordAttempt(&r.Request, r.id, attempt, m.Name, r.sentAt, c.Clock(), result)
	}
	// The policy learns of a preexisting flow only when it is established.
	if r.preexisting && previous != serving {
		return
	}
	c.notifyPolicy(policy.AttemptEnded{ID: r.id, Attempt: r.policySends - 1, Member: m.ID, Result: result,
		Final: r.state.final(), Report: report})
}

package core

import (
	"time"

	"dahliarudder/policy"
)

// This file is what happens to a request from its arrival to its end. Each event goes through step first, and takes effect only if
// the state of the request allows it.

// ---- What fronts tell ----

// Open takes a request. The final answer comes by v, perhaps at once.
func (c *Core) Open(q Request, v Downstream) ID {
	now := c.Clock()
	c.lastID++
	r := &request{Request: q, id: c.lastID, downstream: v, deadline: now + q.TimeLeft}
	c.requests[r.id] = r
	c.Counts.Requests++
	switch {
	case c.stopping:
		c.answer(r, Rejected, stopRetryAfter)
	case c.Recorder != nil && !c.Recorder.Ready():
		c.answer(r, Rejected, stopRetryAfter)
	case q.TimeLeft <= 0:
		c.answer(r, Rejected, stopRetryAfter)
	case q.CurrentMember != "":
		c.resumeFlow(now, r)
	default:
		c.setTimer(r.deadline, r.id, -1)
		c.apply(c.facade.Pick(now, r.policy()))
	}
	return r.id
}

// resumeFlow sends a flow on to the member that already holds it.
func (c *Core) resumeFlow(now time.Duration, r *request) {
	m := c.byName[r.CurrentMember]
	if m == nil {
		c.answer(r, Failed, 0)
		return
	}
	if m.ejected {
		c.answer(r, Rejected, stopRetryAfter)
		return
	}
	r.preexisting, r.policySends = true, 1 // the module takes it for sent
	c.setTimer(r.deadline, r.id, -1)
	c.startAttempt(now, r, m, r.TimeLeft)
	c.scheduleTick()
}

func (r *request) policy() policy.Request {
	return policy.Request{ID: r.id, Class: r.Class, Tenant: r.Tenant, Key: r.Key, Group: r.Group,
		Deadline: r.deadline, Load: r.Load, Reconnect: r.Reconnect}
}

// currentAttempt is the request whose attempt of that number is out or open.
func (c *Core) currentAttempt(id ID, try int) *request {
	if r := c.requests[id]; r != nil && r.state.out() && r.attempts-1 == try {
		return r
	}
	return nil
}

// Up says that a server-side flow stands. It returns whether the client may be
// told so.
func (c *Core) FlowEstablished(id ID, try int) bool {
	r := c.currentAttempt(id, try)
	if r == nil || !c.transition(r, attemptEstablished) {
		return false
	}
	c.recordAnswer(r, Served)
	c.countResult(r.member, policy.OK)
	if !r.preexisting {
		c.emitMemberEvent(r, r.member, FlowEstablished, c.Clock()-r.sentAt)
	}
	if r.preexisting {
		c.notifyPolicy(policy.ExistingFlow{Request: r.policy(), Server: r.member.ID})
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

// AttemptEnded says how a server-side flow ended, before it stood or after. A flow
// served to its end has its final answer by that.
func (c *Core) AttemptEnded(id ID, try int, result policy.Result, report policy.Report) {
	if r := c.currentAttempt(id, try); r != nil {
		c.endAttempt(r, result, report)
	}
}

// ClientGone says that the client of a request went away. It returns whether a client that still listens may be told that
// coming again is harmless.
func (c *Core) ClientGone(id ID) (harmless bool) {
	r := c.requests[id]
	if r == nil {
		return false
	}
	was := r.state
	harmless = c.safeToRetry(r)
	c.transition(r, clientGone)
	if !was.final() {
		c.recordAnswer(r, ClientGone)
		if !r.preexisting {
			c.notifyPolicy(policy.ClientGone{ID: id})
		}
	}
	c.abandon(r, was)
	return harmless
}

// ---- Attempts and flows ----

// startAttempt sends an attempt out.
func (c *Core) startAttempt(now time.Duration, r *request, m *member, wait time.Duration) {
	if !c.transition(r, attemptStarted) {
		return
	}
	r.member, r.sentAt = m, now
	m.flows++
	r.attempts++
	c.Counts.Attempts++
	if m.ejected && now-m.unavailableSince > c.drainGrace {
		c.Counts.SentAfterGrace++ // the gate lets none pass: this counts what it did, not what it meant
	}
	r.downstream.Send(r.id, &m.Member, r.attempts-1, wait)
}

// endAttempt takes in that an attempt or a flow has ended.
func (c *Core) endAttempt(r *request, result policy.Result, report policy.Report) {
	was, e := r.state, attemptEnded
	if was == attempting && result == policy.OK {
		e = servedWithoutFlow
	}
	if !c.transition(r, e) {
		return
	}
	if e == servedWithoutFlow {
		c.recordAnswer(r, Served)
	}
	c.releaseAttempt(r, was, result, report)
	if r.preexisting && r.state == placing { // only its own member has it
		c.answer(r, Failed, 0)
	}
}

// abandon cancels what is out of a request that is over.
func (c *Core) abandon(r *request, was state) {
	if was.out() {
		r.downstream.Cancel(r.attempts - 1)
		c.releaseAttempt(r, was, policy.Cancelled, policy.NoReport)
	}
}

// releaseAttempt closes an attempt that was out, or a flow that stood, and tells the module.
func (c *Core) releaseAttempt(r *request, was state, result policy.Result, report policy.Report) {
	m, try := r.member, r.attempts-1
	r.member = nil
	if r.firstRun == nil && mayHaveRun(result) {
		r.firstRun = &firstRun{r.sentAt, m.Server}
	}
	m.flows--
	if result != policy.OK || was == attempting { // an open flow was seen when it came up
		c.countResult(m, result)
	}
	if what, ok := eventKinds[attemptEnd{was == serving, result}]; ok {
		c.emitMemberEvent(r, m, what, c.Clock()-r.sentAt)
	}
	if c.Recorder != nil {
		c.Recorder.RecordAttempt(&r.Request, r.id, try, m.Name, r.sentAt, c.Clock(), result)
	}
	if r.preexisting && was != serving { // the module has not heard of it
		return
	}
	c.notifyPolicy(policy.AttemptEnded{ID: r.id, Attempt: r.policySends - 1, Server: m.ID, Result: result, Final: r.state.final(), Report: report})
}

// countResult counts how an attempt or a probe went. A client that leaves says nothing of the member.
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

// ---- Answers ----

// abort answers a request without the module's word, and tells it so.
func (c *Core) abort(r *request) {
	c.notifyPolicy(policy.ClientGone{ID: r.id})
	c.rejectOrFail(r, stopRetryAfter)
}

// rejectOrFail rejects a request, or fails one whose repeat may do harm.
func (c *Core) rejectOrFail(r *request, after time.Duration) {
	if c.safeToRetry(r) {
		c.answer(r, Rejected, after)
	} else {
		c.answer(r, Failed, 0)
	}
}

// RetryAfter is how soon a rejected client is told to come again that should do so after some time: no later than clients
// heed, and 0, which is no advice, where the settings have none.
func (c *Core) RetryAfter(after time.Duration) time.Duration {
	if advised := c.Settings.Limits.RetryAfter; advised != nil && !*advised {
		return 0
	}
	return min(after, c.policyCfg.MaxRetryAfter)
}

// answer rejects or fails a request, once. What is out of it is abandoned.
func (c *Core) answer(r *request, a Answer, after time.Duration) {
	was := r.state
	if !c.transition(r, answered) {
		return
	}
	c.abandon(r, was)
	c.recordAnswer(r, a)
	if a == Rejected {
		after = c.RetryAfter(after)
		c.Counts.BackoffTime += after
		r.downstream.Reject(after)
	} else {
		c.Counts.BackoffTime += r.TimeLeft
		r.downstream.Fail()
	}
}

// recordAnswer notes that a request has its final answer.
func (c *Core) recordAnswer(r *request, a Answer) {
	switch a {
	case Served:
		c.Counts.Served++
	case Rejected:
		c.Counts.Rejected++
	case Failed:
		c.Counts.Failed++
	case ClientGone:
		c.Counts.ClientsGone++
	}
	if c.Recorder != nil {
		c.Recorder.RecordAnswer(&r.Request, r.id, c.Clock(), a, r.attempts)
	}
}

// migrate asks the client of an open flow to come again.
func (c *Core) migrate(r *request) {
	if !c.transition(r, migrated) {
		return
	}
	c.Counts.Migrations++
	r.downstream.Migrate()
	c.releaseAttempt(r, serving, policy.Cancelled, policy.NoReport)
}

package core

import (
	"time"

	"dahliarudder/policy"
)

// This file is what verdicts of the module do: the gate that every attempt goes through, and the one final answer.

// ---- Doubt ----

// Doubt has whatever is new to a member wait: this process stood still, and discovery may have said meanwhile that the member
// drains or is gone. Sure ends it: what has waited goes where it may still go, and what may not is decided anew.
func (c *Core) Doubt() { c.doubting = true }

// Sure is called when the news is told, and also when there is none to be had.
func (c *Core) Sure() {
	if !c.doubting {
		return
	}
	later := c.later
	c.doubting, c.later, c.strict = false, nil, true
	c.apply(later)
	c.strict = false
}

// ---- What the module's verdicts do ----

func (c *Core) tell(n policy.News) { c.apply(c.facade.Report(c.Clock(), n)) }

// apply carries verdicts out in their order; what they lead to comes after them.
func (c *Core) apply(verdicts []policy.Verdict) {
	c.pending = append(c.pending, verdicts...)
	if c.running {
		return
	}
	c.running = true
	for len(c.pending) > 0 {
		v := c.pending[0]
		c.pending = c.pending[1:]
		c.do(v)
	}
	c.pending, c.running = nil, false
	c.arm()
}

func (c *Core) do(v policy.Verdict) {
	r := c.requests[v.ID]
	if c.doubting && (v.Do == policy.DoSend || v.Do == policy.DoProbe) {
		c.later = append(c.later, v)
		return
	}
	switch v.Do {
	case policy.DoProbe:
		switch m := c.members[v.Server]; {
		case m == nil:
		case c.reachable(c.Clock(), m):
			c.Probe(&m.Member)
		default:
			c.Counts.Barred++
			c.tell(policy.Probed{Server: v.Server, Result: policy.Moot, Report: policy.NoReport})
		}
		return
	case policy.DoWatch:
		c.Watch()
		return
	}
	if r == nil {
		return
	}
	switch v.Do {
	case policy.DoSend:
		c.send(r, v)
	case policy.DoReject:
		c.abandon(r)
		c.answer(r, Rejected, v.For)
	case policy.DoFail:
		c.abandon(r)
		c.answer(r, Failed, 0)
	case policy.DoCancel:
		if c.current(v.ID, v.Try) != nil && !r.open {
			c.abandon(r)
		}
	case policy.DoMove:
		if !c.pace(r) {
			c.move(r)
		}
	}
}

// gate is the one place that says whether an attempt may start, of a request or of a
// message on a feed: none after the final answer, no second one out, no more than the
// settings allow, none that the client no longer waits for, and none to a member that has
// left for longer than the grace.
func (c *Core) gate(now time.Duration, settled bool, tries int, due time.Duration, m *member) bool {
	return !settled && tries < c.set.MaxAttempts && now < due && m != nil && c.reachable(now, m)
}

// reachable says whether anything new may go to a member, a probe as well.
func (c *Core) reachable(now time.Duration, m *member) bool {
	return !m.left || !c.strict && now-m.told <= c.grace
}

// Reachable says the same to fronts that start something anew by themselves.
func (c *Core) Reachable(id policy.ServerID) bool {
	m := c.members[id]
	return m != nil && c.reachable(c.Clock(), m)
}

func (c *Core) send(r *request, v policy.Verdict) {
	now, m := c.Clock(), c.members[v.Server]
	if !c.gate(now, r.answered || r.member != nil, r.tries, r.deadline, m) {
		c.Counts.Barred++
		c.tell(policy.End{ID: r.id, Try: r.tries, Server: v.Server, Result: policy.Moot, Closed: r.answered,
			Report: policy.NoReport})
		return
	}
	wait := r.deadline - now
	if v.For > 0 && v.For < wait {
		wait = v.For
		c.alarm(now+wait, r.id, r.tries)
	}
	c.start(now, r, m, wait)
}

// Begin says whether an attempt may be sent now that its connection stands. One whose member has left meanwhile may
// not, however long ago that was told: its first byte would come later than the gate has judged by. It ends as one
// that was never made. A flow that its member holds already is exempt.
func (c *Core) Begin(id ID, try int) bool {
	r := c.current(id, try)
	return r != nil && !r.answered && (r.standing || !r.member.left)
}

func (c *Core) start(now time.Duration, r *request, m *member, wait time.Duration) {
	r.member, r.sent = m, now
	m.flows++
	r.tries++
	c.Counts.Attempts++
	if m.banned && now-m.told > c.grace {
		c.Counts.Astray++ // the gate lets none pass: this counts what it did, not what it meant
	}
	r.v.Send(r.id, &m.Member, r.tries-1, wait)
}

// ended closes the attempt that is out, or the open flow, and tells the module.
func (c *Core) ended(r *request, result policy.Result, report policy.Report) {
	m, try := r.member, r.tries-1
	r.member = nil
	m.flows--
	if result != policy.OK { // an open flow was seen when it came up
		c.saw(m, result)
	}
	if what, ok := ends[ending{r.open, result}]; ok {
		c.happens(r, m, what, c.Clock()-r.sent)
	}
	if c.Ledger != nil {
		c.Ledger.Attempt(&r.Request, r.id, try, m.Name, r.sent, c.Clock(), result)
	}
	if r.answered {
		delete(c.requests, r.id)
	}
	if r.standing && !r.answered {
		c.answer(r, Failed, 0)
		return
	}
	c.tell(policy.End{ID: r.id, Try: try, Server: m.ID, Result: result, Closed: r.answered, Report: report})
}

// saw counts how an attempt or a probe went. A client that leaves says nothing of the member.
func (c *Core) saw(m *member, result policy.Result) {
	switch result {
	case policy.OK, policy.Full:
		m.good++
	case policy.Error, policy.Reset, policy.ConnectFailed, policy.Timeout:
		m.bad++
	}
	if c.Saw != nil {
		c.Saw(&m.Member, result)
	}
}

// giveUp answers a request without the module's word, and tells it so.
func (c *Core) giveUp(r *request, a Answer, after time.Duration) {
	c.tell(policy.Left{ID: r.id})
	c.abandon(r)
	c.answer(r, a, after)
}

// abandon cancels the attempt that is out, if any.
func (c *Core) abandon(r *request) {
	if r.member == nil {
		return
	}
	r.v.Cancel(r.tries - 1)
	c.ended(r, policy.Cancelled, policy.NoReport)
}

// answer gives the final answer, once.
func (c *Core) answer(r *request, a Answer, after time.Duration) {
	if r.answered {
		return
	}
	c.record(r, a)
	delete(c.requests, r.id)
	if a == Rejected {
		c.Counts.Away += after
		r.v.Reject(after)
	} else {
		c.Counts.Away += r.Wait
		r.v.Fail()
	}
}

// record notes that a request has its final answer.
func (c *Core) record(r *request, a Answer) {
	r.answered = true
	switch a {
	case Served:
		c.Counts.Served++
	case Rejected:
		c.Counts.Rejected++
	case Failed:
		c.Counts.Failed++
	case Lost:
		c.Counts.Left++
	}
	if c.Ledger != nil {
		c.Ledger.Answer(&r.Request, r.id, c.Clock(), a, r.tries)
	}
}

func (c *Core) move(r *request) {
	if !r.open {
		return
	}
	c.Counts.Moves++
	r.v.Move()
	c.ended(r, policy.Cancelled, policy.NoReport)
}

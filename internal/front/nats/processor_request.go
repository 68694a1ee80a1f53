package nats

import (
	"time"

	"dahliarudder/internal/core"
	"dahliarudder/internal/netloop"
	"dahliarudder/internal/settings"
	"dahliarudder/policy"
)

// caller is the connection that gets the verdicts on a request: one of this process, or one of the other
// process of a hot restart.
type caller interface {
	sendVerdict(subject string, v verdict)
	attach(p *proxiedRequest)
	detach(p *proxiedRequest)
	hasEnded() bool
}

// proxiedRequest is a request whose attempts another proxy makes itself. It is the core's downstream
// for that request. Its process is its only owner, also while callers ask for it at the other process.
type proxiedRequest struct {
	front          *Front
	caller         caller // the one that has asked last
	login          string // see client.login
	size           int    // reserved in the front's stateMemory; 0 once it is released
	requestID      core.ID
	attempt        int
	waiting        []waitingCall // calls that wait for the next verdict, at most maxWaitingCalls
	controlSubject string        // where the proxy receives unsolicited verdicts; may be empty
	undelivered    *verdict      // the last verdict, if there was no subject to deliver it to
	deadline       time.Duration // of the attempt in flight
	// current is the send or up verdict on the attempt in flight or the open flow; nil if there is none.
	current     *verdict
	key         string // see requestKey
	finished    bool   // the final answer has been given
	expiryTimer *netloop.Timer
}

// maxWaitingCalls limits the calls for one request that wait for its next verdict.
const maxWaitingCalls = 8

// waitingCall is a call that waits for the next verdict.
type waitingCall struct {
	caller  caller
	subject string // of the reply
}

// assignTo attaches the request to a caller.
func (p *proxiedRequest) assignTo(c caller) {
	p.caller = c
	c.attach(p)
	p.front.proxiedByID[p.requestID] = p
	if p.key != "" {
		p.front.proxied[p.key] = p
	}
}

// attach implements caller.
func (c *client) attach(p *proxiedRequest) {
	if c.proxied == nil {
		c.proxied = map[core.ID]*proxiedRequest{}
	}
	c.proxied[p.requestID] = p
}

// detach implements caller.
func (c *client) detach(p *proxiedRequest) {
	delete(c.proxied, p.requestID)
	c.scheduleResume() // a client that is being closed may have waited for it
}

// hasEnded implements caller.
func (c *client) hasEnded() bool { return c.closed }

// awaitVerdict adds a call that waits for the next verdict. Of too many calls the oldest is forgotten:
// its proxy has asked again.
func (p *proxiedRequest) awaitVerdict(c caller, subject string) {
	if subject == "" {
		return
	}
	if len(p.waiting) == maxWaitingCalls {
		p.waiting = p.waiting[1:]
	}
	p.waiting = append(p.waiting, waitingCall{c, subject})
}

// answerWaiting delivers a verdict to the calls that wait for one, and reports whether there was any.
func (p *proxiedRequest) answerWaiting(v verdict) (any bool) {
	waiting := p.waiting
	p.waiting = nil
	for _, call := range waiting {
		if !call.caller.hasEnded() {
			call.caller.sendVerdict(call.subject, v)
			any = true
		}
	}
	return any
}

// setCurrent replaces the verdict on the attempt in flight, and tells the other process, if there is one,
// whether an attempt is in flight.
func (p *proxiedRequest) setCurrent(v *verdict) {
	had := p.current != nil && p.current.Verdict == verdictSend
	p.current = v
	switch has := v != nil && v.Verdict == verdictSend; {
	case has:
		p.front.sibling.attemptBegun(p)
	case had:
		p.front.sibling.attemptOver(p)
	}
}

// resume handles a repeated call for an open request. A proxy repeats the call if it has missed an
// earlier answer. It receives the current verdict, or the next one if there is none.
func (p *proxiedRequest) resume(c caller, control, reply string) {
	if p.caller != c {
		p.caller.detach(p)
		p.assignTo(c)
	}
	if control != "" {
		p.controlSubject = control
	}
	switch {
	case p.undelivered != nil:
		p.awaitVerdict(c, reply)
		p.deliver(*p.undelivered)
	case p.current != nil:
		v := *p.current
		if v.WaitMS > 0 {
			v.WaitMS = max(1, (p.deadline - p.front.Loop.Now()).Milliseconds())
		}
		c.sendVerdict(reply, v)
	default:
		p.awaitVerdict(c, reply)
	}
}

// report applies a proxy's report, which may come from any connection with the same login.
func (p *proxiedRequest) report(c caller, o outcomeReport, reply string) {
	result, known := outcomes[o.Outcome]
	switch {
	case p.undelivered != nil: // the attempt has ended already; this verdict follows it
		p.awaitVerdict(c, reply)
		p.deliver(*p.undelivered)
	case o.Attempt != p.attempt || p.finished:
		c.sendVerdict(reply, verdict{Verdict: verdictUnknown, ID: o.ID, Attempt: o.Attempt})
	case o.Outcome == outcomeUp:
		p.reportUp(c, reply)
	case o.Outcome == outcomeMessage:
		p.front.Core.ObserveMessageLatency(p.requestID, settings.Duration(o.Message))
		c.sendVerdict(reply, verdict{Verdict: verdictUp, ID: p.requestID, Attempt: p.attempt})
	case !known:
		c.sendVerdict(reply, verdict{Verdict: verdictError, ID: p.requestID, Attempt: p.attempt, Error: "unknown outcome"})
	default:
		p.awaitVerdict(c, reply)
		p.reportEnd(result, o)
	}
}

// reportUp applies the report that the attempt in flight has become an open flow.
func (p *proxiedRequest) reportUp(c caller, reply string) {
	v := verdict{Verdict: verdictUp, ID: p.requestID, Attempt: p.attempt}
	if p.front.Core.FlowEstablished(p.requestID, p.attempt) {
		p.setCurrent(&v)
	} else {
		v.Verdict = verdictUnknown
	}
	c.sendVerdict(reply, v)
}

// reportEnd applies the report that the attempt in flight or the open flow has ended.
func (p *proxiedRequest) reportEnd(result policy.Result, o outcomeReport) {
	p.setCurrent(nil)
	p.front.Core.AttemptEnded(p.requestID, p.attempt, result, settings.Report(o.Load))
	if !p.front.Core.IsActive(p.requestID) && !p.finished { // the report has ended it
		v := verdict{Verdict: verdictEnded, ID: p.requestID, Attempt: p.attempt}
		if result == policy.OK {
			v.Verdict = verdictServed
		}
		p.finish(v)
	}
}

// deliver delivers a verdict to the calls that wait for one or, if there is none, on the control
// subject. Without either, it stores the verdict for the proxy's next call.
func (p *proxiedRequest) deliver(v verdict) {
	p.undelivered = nil
	switch {
	case p.answerWaiting(v):
	case p.controlSubject != "" && !p.caller.hasEnded():
		p.caller.sendVerdict(p.controlSubject, v)
	default:
		p.undelivered = &v
		return
	}
	if p.finished {
		p.remove()
	}
}

// finish delivers the final verdict. If it cannot be delivered, it is dropped after
// verdictRetention.
func (p *proxiedRequest) finish(v verdict) {
	p.finished = true
	p.setCurrent(nil)
	p.expiryTimer.Stop()
	p.expiryTimer = p.front.Loop.After(verdictRetention, p.remove)
	p.deliver(v)
}

// remove deletes the request from its caller and from the front.
func (p *proxiedRequest) remove() {
	p.expiryTimer.Stop()
	p.releaseMemory()
	p.setCurrent(nil)
	p.caller.detach(p)
	delete(p.front.proxiedByID, p.requestID)
	if p.front.proxied[p.key] == p {
		delete(p.front.proxied, p.key)
	}
}

// releaseMemory releases what was reserved for the request.
func (p *proxiedRequest) releaseMemory() {
	p.front.stateMemory.release(p.size)
	p.size = 0
}

// Send tells the proxy to make an attempt. If the proxy never reports, the core's timeout ends the
// attempt.
func (p *proxiedRequest) Send(id core.ID, to *core.Member, attempt int, wait time.Duration) {
	v := verdict{Verdict: verdictSend, ID: id, Attempt: attempt, Member: to.Name, Addr: to.Addr, WaitMS: wait.Milliseconds()}
	p.requestID, p.attempt, p.deadline = id, attempt, p.front.Loop.Now()+wait
	p.setCurrent(&v)
	p.deliver(v)
}

// Cancel tells the proxy to abandon its attempt, if it has a control subject.
func (p *proxiedRequest) Cancel(attempt int) {
	p.setCurrent(nil)
	if p.controlSubject != "" {
		p.caller.sendVerdict(p.controlSubject, verdict{Verdict: verdictCancel, ID: p.requestID, Attempt: attempt})
	}
}

// Reject delivers the final answer that the request may be retried after the given time.
func (p *proxiedRequest) Reject(after time.Duration) {
	p.finish(verdict{Verdict: verdictReject, ID: p.requestID, Attempt: p.attempt, AfterMS: after.Milliseconds()})
}

// Fail delivers the final answer that the request may have run.
func (p *proxiedRequest) Fail() {
	p.finish(verdict{Verdict: verdictFail, ID: p.requestID, Attempt: p.attempt})
}

// Migrate tells the proxy to migrate its client. That is the final answer.
func (p *proxiedRequest) Migrate() {
	p.finish(verdict{Verdict: verdictMove, ID: p.requestID, Attempt: p.attempt})
}

package nats

import (
	"encoding/json"
	"time"

	"dahliarudder/internal/core"
	"dahliarudder/internal/netloop"
	"dahliarudder/internal/settings"
	"dahliarudder/policy"
)

// The reserved subjects. The relay serves subscriptions to them itself and does not place them at
// members.
const (
	reservedPrefix = "_dahlia."
	pickSubject    = reservedPrefix + "pick"   // opens a request; the answer is the first verdict
	reportSubject  = reservedPrefix + "report" // reports an attempt's outcome; the answer is the next verdict
)

// pickRequest is a proxy's call for the first verdict on a request. The name of the type appears in
// JSON errors that are sent to proxies in verdict.Error.
type pickRequest struct {
	Name    string  `json:"name"`
	Class   string  `json:"class"`
	Tenant  string  `json:"tenant"`
	Key     string  `json:"key"`
	Group   string  `json:"group"`
	WaitMS  float64 `json:"wait_ms"`
	Load    float64 `json:"load"`
	Control string  `json:"control"` // subject for unsolicited verdicts
}

// outcomeReport is a proxy's report of an attempt's outcome. The name of the type appears in JSON
// errors that are sent to proxies in verdict.Error.
type outcomeReport struct {
	ID      core.ID            `json:"id"`
	Attempt int                `json:"try"`
	Outcome string             `json:"outcome"`
	Load    map[string]float64 `json:"load"`
	Message float64            `json:"message_ms"` // the latency of a message on the open flow
}

// verdictKind tells a proxy what to do, or the state of its request.
type verdictKind string

const (
	verdictSend    verdictKind = "send"    // make an attempt
	verdictCancel  verdictKind = "cancel"  // abandon the attempt
	verdictReject  verdictKind = "reject"  // final answer: the request may be retried
	verdictFail    verdictKind = "fail"    // final answer: the request may have run
	verdictUp      verdictKind = "up"      // the flow is open
	verdictMove    verdictKind = "move"    // migrate the client
	verdictServed  verdictKind = "served"  // the request is complete
	verdictEnded   verdictKind = "ended"   // the open flow has ended
	verdictUnknown verdictKind = "unknown" // no such request or attempt
	verdictError   verdictKind = "error"   // the call is invalid
)

// verdict is the answer to a proxy.
type verdict struct {
	Verdict verdictKind `json:"verdict"`
	ID      core.ID     `json:"id,omitempty"`
	Attempt int         `json:"try"`
	Member  string      `json:"member,omitempty"`
	Addr    string      `json:"addr,omitempty"`
	WaitMS  int64       `json:"wait_ms,omitempty"`
	AfterMS int64       `json:"after_ms,omitempty"`
	Error   string      `json:"error,omitempty"`
}

// Outcomes that do not end the attempt.
const (
	outcomeUp      = "up"
	outcomeMessage = "message"
)

// outcomes maps the outcomes that proxies report to the results of attempts.
var outcomes = map[string]policy.Result{
	"ok": policy.OK, "error": policy.Error, "full": policy.Full, "timeout": policy.Timeout,
	"connect_failed": policy.ConnectFailed, "reset": policy.Reset, "cancelled": policy.Cancelled,
}

// proxiedRequest is a request whose attempts another proxy makes itself. It is the core's downstream
// for that request.
type proxiedRequest struct {
	client         *client
	requestID      core.ID
	attempt        int
	replySubject   string        // where the proxy awaits a verdict; empty if it does not
	controlSubject string        // where the proxy receives unsolicited verdicts; may be empty
	undelivered    *verdict      // the last verdict, if there was no subject to deliver it to
	deadline       time.Duration // of the attempt in flight
	// current is the send or up verdict on the attempt in flight or the open flow; nil if there is none.
	current     *verdict
	key         string // see requestKey
	finished    bool   // the final answer has been given
	expiryTimer *netloop.Timer
}

// handleProxyCall serves a publication on a reserved subject.
func (c *client) handleProxyCall(m *command) {
	var err error
	reply := string(m.reply)
	switch string(m.subject) {
	case pickSubject:
		var q pickRequest
		if err = json.Unmarshal(m.payload[m.headerLen:], &q); err == nil {
			c.handlePick(q, reply)
			return
		}
	case reportSubject:
		var o outcomeReport
		if err = json.Unmarshal(m.payload[m.headerLen:], &o); err == nil {
			c.handleReport(o, reply)
			return
		}
	default:
		if c.wantsStatus(m.reply) {
			c.deliverStatus(m.reply, "503")
		}
		return
	}
	c.sendVerdict(reply, verdict{Verdict: verdictError, Error: err.Error()})
}

// sendVerdict delivers a verdict on a subject.
func (c *client) sendVerdict(subject string, v verdict) {
	text, _ := json.Marshal(v)
	c.deliverLocal(command{subject: []byte(subject), payload: text})
}

// handlePick opens a request, or resumes the open request with the same key.
func (c *client) handlePick(q pickRequest, reply string) {
	key := c.requestKey(q.Name)
	if p := c.front.proxied[key]; p != nil {
		p.resume(c, q, reply)
		return
	}
	set := c.front.Core.Settings
	class, classOK := set.Class(q.Class)
	tenant, tenantOK := set.Tenant(q.Tenant)
	if !classOK || !tenantOK {
		c.sendVerdict(reply, verdict{Verdict: verdictError, Error: "unknown class or tenant"})
		return
	}
	r := core.Request{Name: q.Name, Class: class, Tenant: tenant, Load: max(q.Load, 0), TimeLeft: settings.Duration(q.WaitMS)}
	if r.TimeLeft <= 0 {
		r.TimeLeft = c.front.Core.PolicySettings().Classes[class].Deadline
	}
	if q.Key != "" {
		r.Key = hash(q.Key)
	}
	if q.Group != "" {
		r.Group = hash(q.Group)
	}
	if c.rejecting {
		c.sendVerdict(reply, verdict{Verdict: verdictReject, AfterMS: resubscribeBackoff.Milliseconds()})
		return
	}
	if len(c.proxied) >= c.front.MaxSubscriptions { // limits the memory for requests that are not removed yet
		c.sendVerdict(reply, verdict{Verdict: verdictReject, AfterMS: verdictRetention.Milliseconds()})
		return
	}
	p := &proxiedRequest{client: c, replySubject: reply, controlSubject: q.Control}
	p.requestID = c.front.Core.Open(r, p)
	if !p.finished {
		p.key = key
		p.assignTo(c)
	}
}

// requestKey returns a key that identifies the request of that name among all connections with the
// same login. It is empty without a name: such a request is never resumed.
func (c *client) requestKey(name string) string {
	if name == "" {
		return ""
	}
	var login struct {
		User  string `json:"user"`
		Token string `json:"auth_token"`
		NKey  string `json:"nkey"`
		JWT   string `json:"jwt"`
	}
	json.Unmarshal(c.connect, &login) // cannot fail on syntax: handleConnect has checked it
	text, _ := json.Marshal(login)
	return string(text) + name
}

// assignTo attaches the request to a client.
func (p *proxiedRequest) assignTo(c *client) {
	if c.proxied == nil {
		c.proxied = map[core.ID]*proxiedRequest{}
	}
	p.client, c.proxied[p.requestID] = c, p
	if p.key != "" {
		c.front.proxied[p.key] = p
	}
}

// resume handles a repeated call for an open request. A proxy repeats the call if it has missed an
// earlier answer. It receives the current verdict, or the next one if there is none.
func (p *proxiedRequest) resume(c *client, q pickRequest, reply string) {
	delete(p.client.proxied, p.requestID)
	p.assignTo(c)
	if q.Control != "" {
		p.controlSubject = q.Control
	}
	switch {
	case p.undelivered != nil:
		p.replySubject = reply
		p.deliver(*p.undelivered)
	case p.current != nil:
		v := *p.current
		if v.WaitMS > 0 {
			v.WaitMS = max(1, (p.deadline - c.front.Loop.Now()).Milliseconds())
		}
		c.sendVerdict(reply, v)
	default:
		p.replySubject = reply
	}
}

// handleReport applies a proxy's report to its request.
func (c *client) handleReport(o outcomeReport, reply string) {
	p := c.proxied[o.ID]
	if p == nil {
		c.sendVerdict(reply, verdict{Verdict: verdictUnknown, ID: o.ID})
		return
	}
	result, known := outcomes[o.Outcome]
	switch {
	case p.undelivered != nil: // the attempt has ended already; this verdict follows it
		p.replySubject = reply
		p.deliver(*p.undelivered)
		return
	case o.Attempt != p.attempt || p.finished:
		c.sendVerdict(reply, verdict{Verdict: verdictUnknown, ID: o.ID, Attempt: o.Attempt})
		return
	case o.Outcome == outcomeUp:
		v := verdict{Verdict: verdictUp, ID: p.requestID, Attempt: p.attempt}
		if c.front.Core.FlowEstablished(p.requestID, p.attempt) {
			p.current = &v
		} else {
			v.Verdict = verdictUnknown
		}
		c.sendVerdict(reply, v)
	case o.Outcome == outcomeMessage:
		c.front.Core.ObserveMessageLatency(p.requestID, settings.Duration(o.Message))
		c.sendVerdict(reply, verdict{Verdict: verdictUp, ID: p.requestID, Attempt: p.attempt})
	case !known:
		c.sendVerdict(reply, verdict{Verdict: verdictError, ID: p.requestID, Attempt: p.attempt, Error: "unknown outcome"})
	default:
		p.replySubject, p.current = reply, nil
		c.front.Core.AttemptEnded(p.requestID, p.attempt, result, settings.Report(o.Load))
		if !c.front.Core.IsActive(p.requestID) && !p.finished { // the report has ended it
			v := verdict{Verdict: verdictEnded, ID: p.requestID, Attempt: p.attempt}
			if result == policy.OK {
				v.Verdict = verdictServed
			}
			p.finish(v)
		}
	}
}

// deliver delivers a verdict on the reply subject or, if the proxy awaits none there, on the control
// subject. Without either, it stores the verdict for the proxy's next call.
func (p *proxiedRequest) deliver(v verdict) {
	p.undelivered = nil
	switch {
	case p.replySubject != "":
		p.client.sendVerdict(p.replySubject, v)
		p.replySubject = ""
	case p.controlSubject != "":
		p.client.sendVerdict(p.controlSubject, v)
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
	p.finished, p.current = true, nil
	p.expiryTimer.Stop()
	p.expiryTimer = p.client.front.Loop.After(verdictRetention, p.remove)
	p.deliver(v)
}

// remove deletes the request from its client and from the front.
func (p *proxiedRequest) remove() {
	p.expiryTimer.Stop()
	delete(p.client.proxied, p.requestID)
	p.client.scheduleResume() // a client that is being closed may have waited for it
	if p.client.front.proxied[p.key] == p {
		delete(p.client.front.proxied, p.key)
	}
}

// Send tells the proxy to make an attempt. If the proxy never reports, the core's timeout ends the
// attempt.
func (p *proxiedRequest) Send(id core.ID, to *core.Member, attempt int, wait time.Duration) {
	v := verdict{Verdict: verdictSend, ID: id, Attempt: attempt, Member: to.Name, Addr: to.Addr, WaitMS: wait.Milliseconds()}
	p.requestID, p.attempt, p.current, p.deadline = id, attempt, &v, p.client.front.Loop.Now()+wait
	p.deliver(v)
}

// Cancel tells the proxy to abandon its attempt, if it has a control subject.
func (p *proxiedRequest) Cancel(attempt int) {
	p.current = nil
	if p.controlSubject != "" {
		p.client.sendVerdict(p.controlSubject, verdict{Verdict: verdictCancel, ID: p.requestID, Attempt: attempt})
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

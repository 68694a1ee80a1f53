package nats

import (
	"encoding/json"
	"time"

	"dahliarudder/internal/core"
	"dahliarudder/internal/netloop"
	"dahliarudder/internal/settings"
	"dahliarudder/policy"
)

// The reserved subjects. Subscriptions below them stand at the relay itself, not at members.
const (
	reservedPrefix = "_dahlia."
	pickSubject    = reservedPrefix + "pick"   // request a verdict on a request
	reportSubject  = reservedPrefix + "report" // report an attempt's outcome, get the next verdict
)

// pickRequest is a proxy's call for the first verdict on a request.
type pickRequest struct {
	Name    string  `json:"name"`
	Class   string  `json:"class"`
	Tenant  string  `json:"tenant"`
	Key     string  `json:"key"`
	Group   string  `json:"group"`
	WaitMS  float64 `json:"wait_ms"`
	Load    float64 `json:"load"`
	Control string  `json:"control"` // where unsolicited verdicts go
}

// outcomeReport is a proxy's report of an attempt's outcome.
type outcomeReport struct {
	ID      core.ID            `json:"id"`
	Attempt int                `json:"try"`
	Outcome string             `json:"outcome"`
	Load    map[string]float64 `json:"load"`
	Message float64            `json:"message_ms"` // how long a message took on the open flow
}

// verdictKind is what a proxy has to do, or the state of its request.
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

// outcomes are the results of attempts by the names that proxies report.
var outcomes = map[string]policy.Result{
	"ok": policy.OK, "error": policy.Error, "full": policy.Full, "timeout": policy.Timeout,
	"connect_failed": policy.ConnectFailed, "reset": policy.Reset, "cancelled": policy.Cancelled,
}

// proxiedRequest is a request whose attempts another proxy makes itself. It is the core's downstream for that request.
type proxiedRequest struct {
	client         *client
	requestID      core.ID
	attempt        int
	replySubject   string        // where the proxy awaits a verdict; empty if it does not
	controlSubject string        // where it takes unsolicited verdicts; may be empty
	undelivered    *verdict      // the last verdict, if there was no subject for it
	deadline       time.Duration // of the attempt in flight
	current        *verdict      // the last verdict, send or up, on the attempt in flight or the open flow; nil if there is none
	key            string        // see requestKey
	finished       bool          // it has its final answer
	expiryTimer    *netloop.Timer
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

// handlePick opens a request, or resumes the open one of the same key.
func (c *client) handlePick(q pickRequest, reply string) {
	key := c.requestKey(q.Name)
	if a := c.front.proxied[key]; a != nil {
		a.resume(c, q, reply)
		return
	}
	set := c.front.Core.Settings
	class, ok := set.Class(q.Class)
	tenant, ok2 := set.Tenant(q.Tenant)
	if !ok || !ok2 {
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
	if len(c.proxied) >= c.front.MaxSubscriptions { // each takes memory until it is removed
		c.sendVerdict(reply, verdict{Verdict: verdictReject, AfterMS: verdictRetention.Milliseconds()})
		return
	}
	a := &proxiedRequest{client: c, replySubject: reply, controlSubject: q.Control}
	a.requestID = c.front.Core.Open(r, a)
	if !a.finished {
		a.key = key
		a.assignTo(c)
	}
}

// requestKey identifies a request of that name among all connections of the same login. It is empty without a name:
// such a request is never resumed.
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
	json.Unmarshal(c.connect, &login) // it was valid when it came
	text, _ := json.Marshal(login)
	return string(text) + name
}

// assignTo attaches the request to a client.
func (a *proxiedRequest) assignTo(c *client) {
	if c.proxied == nil {
		c.proxied = map[core.ID]*proxiedRequest{}
	}
	a.client, c.proxied[a.requestID] = c, a
	if a.key != "" {
		c.front.proxied[a.key] = a
	}
}

// resume handles a repeated call for an open request, whose proxy has missed an earlier answer. It gets the current
// verdict, or the next one.
func (a *proxiedRequest) resume(c *client, q pickRequest, reply string) {
	delete(a.client.proxied, a.requestID)
	a.assignTo(c)
	if q.Control != "" {
		a.controlSubject = q.Control
	}
	switch {
	case a.undelivered != nil:
		a.replySubject = reply
		a.deliver(*a.undelivered)
	case a.current != nil:
		v := *a.current
		if v.WaitMS > 0 {
			v.WaitMS = max(1, (a.deadline - c.front.Loop.Now()).Milliseconds())
		}
		c.sendVerdict(reply, v)
	default:
		a.replySubject = reply
	}
}

// handleReport applies a proxy's report to its request.
func (c *client) handleReport(o outcomeReport, reply string) {
	a := c.proxied[o.ID]
	if a == nil {
		c.sendVerdict(reply, verdict{Verdict: verdictUnknown, ID: o.ID})
		return
	}
	result, known := outcomes[o.Outcome]
	switch {
	case a.undelivered != nil: // the attempt is over already
		a.replySubject = reply
		a.deliver(*a.undelivered)
		return
	case o.Attempt != a.attempt || a.finished:
		c.sendVerdict(reply, verdict{Verdict: verdictUnknown, ID: o.ID, Attempt: o.Attempt})
		return
	case o.Outcome == outcomeUp:
		v := verdict{Verdict: verdictUp, ID: a.requestID, Attempt: a.attempt}
		if c.front.Core.FlowEstablished(a.requestID, a.attempt) {
			a.current = &v
		} else {
			v.Verdict = verdictUnknown
		}
		c.sendVerdict(reply, v)
	case o.Outcome == outcomeMessage:
		c.front.Core.ObserveMessageLatency(a.requestID, settings.Duration(o.Message))
		c.sendVerdict(reply, verdict{Verdict: verdictUp, ID: a.requestID, Attempt: a.attempt})
	case !known:
		c.sendVerdict(reply, verdict{Verdict: verdictError, ID: a.requestID, Attempt: a.attempt, Error: "unknown outcome"})
	default:
		a.replySubject, a.current = reply, nil
		c.front.Core.AttemptEnded(a.requestID, a.attempt, result, settings.Report(o.Load))
		if !c.front.Core.IsActive(a.requestID) && !a.finished { // the report has ended it
			v := verdict{Verdict: verdictEnded, ID: a.requestID, Attempt: a.attempt}
			if result == policy.OK {
				v.Verdict = verdictServed
			}
			a.finish(v)
		}
	}
}

// deliver delivers a verdict on the subject that awaits it, or keeps it if there is none.
func (a *proxiedRequest) deliver(v verdict) {
	a.undelivered = nil
	switch {
	case a.replySubject != "":
		a.client.sendVerdict(a.replySubject, v)
		a.replySubject = ""
	case a.controlSubject != "":
		a.client.sendVerdict(a.controlSubject, v)
	default:
		a.undelivered = &v
		return
	}
	if a.finished {
		a.remove()
	}
}

// finish delivers the final verdict; one that nobody takes is retained for verdictRetention.
func (a *proxiedRequest) finish(v verdict) {
	a.finished, a.current = true, nil
	a.expiryTimer.Stop()
	a.expiryTimer = a.client.front.Loop.After(verdictRetention, a.remove)
	a.deliver(v)
}

// remove forgets the request.
func (a *proxiedRequest) remove() {
	a.expiryTimer.Stop()
	delete(a.client.proxied, a.requestID)
	if a.client.front.proxied[a.key] == a {
		delete(a.client.front.proxied, a.key)
	}
}

// Send has the proxy make an attempt. The core's timeout ends the attempt if the proxy never reports.
func (a *proxiedRequest) Send(id core.ID, to *core.Member, attempt int, wait time.Duration) {
	v := verdict{Verdict: verdictSend, ID: id, Attempt: attempt, Member: to.Name, Addr: to.Addr, WaitMS: wait.Milliseconds()}
	a.requestID, a.attempt, a.current, a.deadline = id, attempt, &v, a.client.front.Loop.Now()+wait
	a.deliver(v)
}

// Cancel has the proxy abandon its attempt, if it has a control subject.
func (a *proxiedRequest) Cancel(attempt int) {
	a.current = nil
	if a.controlSubject != "" {
		a.client.sendVerdict(a.controlSubject, verdict{Verdict: verdictCancel, ID: a.requestID, Attempt: attempt})
	}
}

// Reject delivers the final answer.
func (a *proxiedRequest) Reject(after time.Duration) {
	a.finish(verdict{Verdict: verdictReject, ID: a.requestID, Attempt: a.attempt, AfterMS: after.Milliseconds()})
}

// Fail delivers the final answer.
func (a *proxiedRequest) Fail() {
	a.finish(verdict{Verdict: verdictFail, ID: a.requestID, Attempt: a.attempt})
}

// Migrate has the proxy migrate its client.
func (a *proxiedRequest) Migrate() {
	a.finish(verdict{Verdict: verdictMove, ID: a.requestID, Attempt: a.attempt})
}

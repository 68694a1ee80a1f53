package nats

import (
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"time"

	"dahliarudder/internal/core"
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

// maxCallBytes limits the payload of a proxy's call.
const maxCallBytes = 16 << 10

var errCallTooLarge = fmt.Errorf("the call is larger than %d bytes", maxCallBytes)

// handleProxyCall serves a publication on a reserved subject.
func (c *client) handleProxyCall(m *command) {
	var err error
	reply := string(m.reply)
	if len(m.payload) > maxCallBytes {
		c.sendVerdict(reply, verdict{Verdict: verdictError, Error: errCallTooLarge.Error()})
		return
	}
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

// handlePick opens a request, or resumes the open request with the same key, whichever process has it.
func (c *client) handlePick(q pickRequest, reply string) {
	key := c.requestKey(q.Name)
	switch p := c.front.proxied[key]; {
	case p != nil:
		p.resume(c, q.Control, reply)
	case key != "" && c.front.sibling.asks():
		c.front.sibling.askPick(c, key, q, reply)
	default:
		c.openPick(key, q, reply, 0)
	}
}

// openPick opens a request, unless another process may have an attempt of it in flight. waited is how
// long the call has waited already.
func (c *client) openPick(key string, q pickRequest, reply string, waited time.Duration) {
	if remaining := c.front.sibling.orphanedFor(key); remaining > 0 {
		c.sendVerdict(reply, verdict{Verdict: verdictReject, AfterMS: max(1, remaining.Milliseconds())})
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
	r.TimeLeft = max(r.TimeLeft-waited, 1)
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
	size := requestMemory + len(q.Name) + len(q.Control)
	if len(c.proxied) >= c.front.MaxSubscriptions || !c.front.stateMemory.reserve(size) { // requests that are not removed yet
		c.sendVerdict(reply, verdict{Verdict: verdictReject, AfterMS: verdictRetention.Milliseconds()})
		return
	}
	p := &proxiedRequest{front: c.front, size: size, caller: c, login: c.login(), key: key, controlSubject: q.Control}
	p.awaitVerdict(c, reply)
	p.requestID = c.front.Core.Open(r, p)
	if p.finished {
		p.releaseMemory()
	} else {
		p.assignTo(c)
	}
}

// login returns a digest of the client's credentials. Connections with the same credentials may ask for
// each other's requests.
func (c *client) login() string {
	if c.loginDigest == "" {
		var credentials struct {
			User  string `json:"user"`
			Token string `json:"auth_token"`
			NKey  string `json:"nkey"`
			JWT   string `json:"jwt"`
		}
		json.Unmarshal(c.connect, &credentials) // cannot fail on syntax: handleConnect has checked it
		text, _ := json.Marshal(credentials)
		c.loginDigest = digest(string(text))
	}
	return c.loginDigest
}

// requestKey returns a key of fixed length that identifies the request of that name among all
// connections with the same login. It is empty without a name: such a request is never resumed.
func (c *client) requestKey(name string) string {
	if name == "" {
		return ""
	}
	return digest(c.login() + name)
}

// digest returns a digest of a text that no other text is expected to have.
func digest(text string) string {
	sum := sha256.Sum256([]byte(text))
	return string(sum[:])
}

// handleReport applies a proxy's report to its request, whichever process has it.
func (c *client) handleReport(o outcomeReport, reply string) {
	switch p := c.front.proxiedByID[o.ID]; {
	case p != nil && p.login == c.login():
		p.report(c, o, reply)
	case p == nil && c.front.sibling.asks():
		c.front.sibling.askReport(c, o, reply)
	default:
		c.front.sibling.endOrphan(o.ID)
		c.sendVerdict(reply, verdict{Verdict: verdictUnknown, ID: o.ID})
	}
}

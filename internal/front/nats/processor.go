package nats

import (
	"encoding/json"
	"time"

	"dahliarudder/internal/core"
	"dahliarudder/internal/netloop"
	"dahliarudder/internal/settings"
	"dahliarudder/policy"
)

// The reserved subjects. Whoever subscribes below them subscribes at the relay
// alone.
const (
	reservedPrefix = "_dahlia."
	pickSubject    = reservedPrefix + "pick"   // ask for a verdict for a request
	reportSubject  = reservedPrefix + "report" // report an attempt's outcome, get the next verdict
)

// pickRequest is what a proxy asks.
type pickRequest struct {
	Name    string  `json:"name"`
	Class   string  `json:"class"`
	Tenant  string  `json:"tenant"`
	Key     string  `json:"key"`
	Group   string  `json:"group"`
	WaitMS  float64 `json:"wait_ms"`
	Load    float64 `json:"load"`
	Control string  `json:"control"` // where verdicts go that nobody has asked for
}

// outcomeReport is what a proxy reports.
type outcomeReport struct {
	ID      core.ID            `json:"id"`
	Try     int                `json:"try"`
	Outcome string             `json:"outcome"`
	Load    map[string]float64 `json:"load"`
	Message float64            `json:"message_ms"` // how long a message took on the open flow
}

// verdict is what a proxy gets.
type verdict struct {
	Verdict string  `json:"verdict"` // send, reject, fail, served, up, move, cancel, wait, ended, unknown or error
	ID      core.ID `json:"id,omitempty"`
	Try     int     `json:"try"`
	Member  string  `json:"member,omitempty"`
	Addr    string  `json:"addr,omitempty"`
	WaitMS  int64   `json:"wait_ms,omitempty"`
	AfterMS int64   `json:"after_ms,omitempty"`
	Error   string  `json:"error,omitempty"`
}

var outcomes = map[string]policy.Result{
	"ok": policy.OK, "error": policy.Error, "full": policy.Full, "timeout": policy.Timeout,
	"connect_failed": policy.ConnectFailed, "reset": policy.Reset, "cancelled": policy.Cancelled,
}

// proxiedRequest is a request of a proxy that carries it itself.
type proxiedRequest struct {
	client         *client
	requestID      core.ID
	attempt        int
	replySubject   string        // where the proxy waits for a verdict; empty if nowhere
	controlSubject string        // where it takes others
	undelivered    *verdict      // the last one that had nowhere to go
	deadline       time.Duration // when the attempt that is out is given up
	current        *verdict      // send or up: what the proxy was last told of the attempt that is out, or of the open flow; nil if there is none
	key            string        // by which it is found when it is asked for again; empty if it has no name
	finished       bool          // it has its final answer, and is not open
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
	c.sendVerdict(reply, verdict{Verdict: "error", Error: err.Error()})
}

func (c *client) sendVerdict(subject string, v verdict) {
	text, _ := json.Marshal(v)
	c.deliverLocal(command{subject: []byte(subject), payload: text})
}

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
		c.sendVerdict(reply, verdict{Verdict: "error", Error: "unknown class or tenant"})
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
	if len(c.proxied) >= c.front.MaxSubscriptions { // each is held until it has ended and is forgotten
		c.sendVerdict(reply, verdict{Verdict: "reject", AfterMS: verdictRetention.Milliseconds()})
		return
	}
	a := &proxiedRequest{client: c, replySubject: reply, controlSubject: q.Control}
	a.requestID = c.front.Core.Open(r, a)
	if !a.finished {
		a.key = key
		a.assignTo(c)
	}
}

// requestKey is by what a request of that name is found again, asked for on any connection of the same login. A request
// without a name is never found.
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
	json.Unmarshal(c.connect, &login) // it was read when it came
	text, _ := json.Marshal(login)
	return string(text) + name
}

// assignTo makes a request that client's.
func (a *proxiedRequest) assignTo(c *client) {
	if c.proxied == nil {
		c.proxied = map[core.ID]*proxiedRequest{}
	}
	a.client, c.proxied[a.requestID] = c, a
	if a.key != "" {
		c.front.proxied[a.key] = a
	}
}

// resume is a call for a request that is held already: its proxy has not had the answer to an earlier one. It gets
// what stands, and whatever comes next.
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

func (c *client) handleReport(o outcomeReport, reply string) {
	a := c.proxied[o.ID]
	if a == nil {
		c.sendVerdict(reply, verdict{Verdict: "unknown", ID: o.ID})
		return
	}
	result, known := outcomes[o.Outcome]
	switch {
	case a.undelivered != nil: // the attempt it speaks of is over already
		a.replySubject = reply
		a.deliver(*a.undelivered)
		return
	case o.Try != a.attempt || a.finished:
		c.sendVerdict(reply, verdict{Verdict: "unknown", ID: o.ID, Try: o.Try})
		return
	case o.Outcome == "up":
		v := verdict{Verdict: "up", ID: a.requestID, Try: a.attempt}
		if c.front.Core.FlowEstablished(a.requestID, a.attempt) {
			a.current = &v
		} else {
			v.Verdict = "unknown"
		}
		c.sendVerdict(reply, v)
	case o.Outcome == "message":
		c.front.Core.ObserveMessageLatency(a.requestID, settings.Duration(o.Message))
		c.sendVerdict(reply, verdict{Verdict: "up", ID: a.requestID, Try: a.attempt})
	case !known:
		c.sendVerdict(reply, verdict{Verdict: "error", ID: a.requestID, Try: a.attempt, Error: "unknown outcome"})
	default:
		a.replySubject, a.current = reply, nil
		c.front.Core.AttemptEnded(a.requestID, a.attempt, result, settings.Report(o.Load))
		if !c.front.Core.IsActive(a.requestID) && !a.finished { // that was its end
			v := verdict{Verdict: "ended", ID: a.requestID, Try: a.attempt}
			if result == policy.OK {
				v.Verdict = "served"
			}
			a.finish(v)
		}
	}
}

// deliver hands a verdict to whoever waits for it.
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

// finish gives the last verdict; one that nobody takes is kept for a while.
func (a *proxiedRequest) finish(v verdict) {
	a.finished, a.current = true, nil
	a.expiryTimer.Stop()
	a.expiryTimer = a.client.front.Loop.After(verdictRetention, a.remove)
	a.deliver(v)
}

func (a *proxiedRequest) remove() {
	a.expiryTimer.Stop()
	delete(a.client.proxied, a.requestID)
	if a.client.front.proxied[a.key] == a {
		delete(a.client.front.proxied, a.key)
	}
}

// Send tells the proxy to make an attempt. Its silence ends the attempt as any
// other's.
func (a *proxiedRequest) Send(id core.ID, to *core.Member, try int, wait time.Duration) {
	v := verdict{Verdict: "send", ID: id, Try: try, Member: to.Name, Addr: to.Addr, WaitMS: wait.Milliseconds()}
	a.requestID, a.attempt, a.current, a.deadline = id, try, &v, a.client.front.Loop.Now()+wait
	a.deliver(v)
}

// Cancel tells the proxy to abandon its attempt, if it takes such word.
func (a *proxiedRequest) Cancel(try int) {
	a.current = nil
	if a.controlSubject != "" {
		a.client.sendVerdict(a.controlSubject, verdict{Verdict: "cancel", ID: a.requestID, Try: try})
	}
}

// Reject passes the final answer on.
func (a *proxiedRequest) Reject(after time.Duration) {
	a.finish(verdict{Verdict: "reject", ID: a.requestID, Try: a.attempt, AfterMS: after.Milliseconds()})
}

// Fail passes the final answer on.
func (a *proxiedRequest) Fail() { a.finish(verdict{Verdict: "fail", ID: a.requestID, Try: a.attempt}) }

// Migrate asks the proxy to move its client.
func (a *proxiedRequest) Migrate() {
	a.finish(verdict{Verdict: "move", ID: a.requestID, Try: a.attempt})
}

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
	reserved      = "_dahlia."
	pickSubject   = reserved + "pick"   // ask for a verdict for a request
	reportSubject = reserved + "report" // report an attempt's outcome, get the next verdict
)

// pick is what a proxy asks.
type pick struct {
	Name    string  `json:"name"`
	Class   string  `json:"class"`
	Tenant  string  `json:"tenant"`
	Key     string  `json:"key"`
	Group   string  `json:"group"`
	WaitMS  float64 `json:"wait_ms"`
	Load    float64 `json:"load"`
	Control string  `json:"control"` // where verdicts go that nobody has asked for
}

// outcome is what a proxy reports.
type outcome struct {
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

// asked is a request of a proxy that carries it itself.
type asked struct {
	c       *client
	id      core.ID
	try     int
	reply   string        // where the proxy waits for a verdict; empty if nowhere
	control string        // where it takes others
	kept    *verdict      // the last one that had nowhere to go
	until   time.Duration // when the attempt that is out is given up
	stands  *verdict      // send or up: what the proxy was last told of the attempt that is out, or of the open flow; nil if there is none
	key     string        // by which it is found when it is asked for again; empty if it has no name
	over    bool          // it has its final answer, and is not open
	expire  *netloop.Timer
}

// call serves a publication on a reserved subject.
func (c *client) call(m *command) {
	var err error
	reply := string(m.reply)
	switch string(m.subject) {
	case pickSubject:
		var q pick
		if err = json.Unmarshal(m.payload[m.header:], &q); err == nil {
			c.pick(q, reply)
			return
		}
	case reportSubject:
		var o outcome
		if err = json.Unmarshal(m.payload[m.header:], &o); err == nil {
			c.report(o, reply)
			return
		}
	default:
		if c.noticed(m.reply) {
			c.notice(m.reply, "503")
		}
		return
	}
	c.say(reply, verdict{Verdict: "error", Error: err.Error()})
}

func (c *client) say(subject string, v verdict) {
	text, _ := json.Marshal(v)
	c.deliver(command{subject: []byte(subject), payload: text})
}

func (c *client) pick(q pick, reply string) {
	key := c.requestKey(q.Name)
	if a := c.f.carried[key]; a != nil {
		a.askedAgain(c, q, reply)
		return
	}
	set := c.f.Core.Settings
	class, ok := set.Class(q.Class)
	tenant, ok2 := set.Tenant(q.Tenant)
	if !ok || !ok2 {
		c.say(reply, verdict{Verdict: "error", Error: "unknown class or tenant"})
		return
	}
	r := core.Request{Name: q.Name, Class: class, Tenant: tenant, Load: max(q.Load, 0), TimeLeft: settings.Duration(q.WaitMS)}
	if r.TimeLeft <= 0 {
		r.TimeLeft = c.f.Core.PolicySettings().Classes[class].Deadline
	}
	if q.Key != "" {
		r.Key = hash(q.Key)
	}
	if q.Group != "" {
		r.Group = hash(q.Group)
	}
	if len(c.asked) >= c.f.MaxSubscriptions { // each is held until it has ended and is forgotten
		c.say(reply, verdict{Verdict: "reject", AfterMS: keepVerdict.Milliseconds()})
		return
	}
	a := &asked{c: c, reply: reply, control: q.Control}
	a.id = c.f.Core.Open(r, a)
	if !a.over {
		a.key = key
		a.hold(c)
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

// hold makes a request that client's.
func (a *asked) hold(c *client) {
	if c.asked == nil {
		c.asked = map[core.ID]*asked{}
	}
	a.c, c.asked[a.id] = c, a
	if a.key != "" {
		c.f.carried[a.key] = a
	}
}

// askedAgain is a call for a request that is held already: its proxy has not had the answer to an earlier one. It gets
// what stands, and whatever comes next.
func (a *asked) askedAgain(c *client, q pick, reply string) {
	delete(a.c.asked, a.id)
	a.hold(c)
	if q.Control != "" {
		a.control = q.Control
	}
	switch {
	case a.kept != nil:
		a.reply = reply
		a.give(*a.kept)
	case a.stands != nil:
		v := *a.stands
		if v.WaitMS > 0 {
			v.WaitMS = max(1, (a.until - c.f.Loop.Now()).Milliseconds())
		}
		c.say(reply, v)
	default:
		a.reply = reply
	}
}

func (c *client) report(o outcome, reply string) {
	a := c.asked[o.ID]
	if a == nil {
		c.say(reply, verdict{Verdict: "unknown", ID: o.ID})
		return
	}
	result, known := outcomes[o.Outcome]
	switch {
	case a.kept != nil: // the attempt it speaks of is over already
		a.reply = reply
		a.give(*a.kept)
		return
	case o.Try != a.try || a.over:
		c.say(reply, verdict{Verdict: "unknown", ID: o.ID, Try: o.Try})
		return
	case o.Outcome == "up":
		v := verdict{Verdict: "up", ID: a.id, Try: a.try}
		if c.f.Core.FlowEstablished(a.id, a.try) {
			a.stands = &v
		} else {
			v.Verdict = "unknown"
		}
		c.say(reply, v)
	case o.Outcome == "message":
		c.f.Core.ObserveMessageLatency(a.id, settings.Duration(o.Message))
		c.say(reply, verdict{Verdict: "up", ID: a.id, Try: a.try})
	case !known:
		c.say(reply, verdict{Verdict: "error", ID: a.id, Try: a.try, Error: "unknown outcome"})
	default:
		a.reply, a.stands = reply, nil
		c.f.Core.AttemptEnded(a.id, a.try, result, settings.Report(o.Load))
		if !c.f.Core.IsActive(a.id) && !a.over { // that was its end
			v := verdict{Verdict: "ended", ID: a.id, Try: a.try}
			if result == policy.OK {
				v.Verdict = "served"
			}
			a.final(v)
		}
	}
}

// give hands a verdict to whoever waits for it.
func (a *asked) give(v verdict) {
	a.kept = nil
	switch {
	case a.reply != "":
		a.c.say(a.reply, v)
		a.reply = ""
	case a.control != "":
		a.c.say(a.control, v)
	default:
		a.kept = &v
		return
	}
	if a.over {
		a.forget()
	}
}

// final gives the last verdict; one that nobody takes is kept for a while.
func (a *asked) final(v verdict) {
	a.over, a.stands = true, nil
	a.expire.Stop()
	a.expire = a.c.f.Loop.After(keepVerdict, a.forget)
	a.give(v)
}

func (a *asked) forget() {
	a.expire.Stop()
	delete(a.c.asked, a.id)
	if a.c.f.carried[a.key] == a {
		delete(a.c.f.carried, a.key)
	}
}

// Send tells the proxy to make an attempt. Its silence ends the attempt as any
// other's.
func (a *asked) Send(id core.ID, to *core.Member, try int, wait time.Duration) {
	v := verdict{Verdict: "send", ID: id, Try: try, Member: to.Name, Addr: to.Addr, WaitMS: wait.Milliseconds()}
	a.id, a.try, a.stands, a.until = id, try, &v, a.c.f.Loop.Now()+wait
	a.give(v)
}

// Cancel tells the proxy to abandon its attempt, if it takes such word.
func (a *asked) Cancel(try int) {
	a.stands = nil
	if a.control != "" {
		a.c.say(a.control, verdict{Verdict: "cancel", ID: a.id, Try: try})
	}
}

// Reject passes the final answer on.
func (a *asked) Reject(after time.Duration) {
	a.final(verdict{Verdict: "reject", ID: a.id, Try: a.try, AfterMS: after.Milliseconds()})
}

// Fail passes the final answer on.
func (a *asked) Fail() { a.final(verdict{Verdict: "fail", ID: a.id, Try: a.try}) }

// Migrate asks the proxy to move its client.
func (a *asked) Migrate() { a.final(verdict{Verdict: "move", ID: a.id, Try: a.try}) }

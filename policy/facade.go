package policy

import (
	"container/heap"
	"time"
)

// This file is the face that a real relay sees: calls that return what is to be
// done, and when the next call is due. It decides nothing; see docs/design.md,
// "The facade".

// Do says what a Verdict asks for.
type ActionKind int

// What a Verdict may ask for.
const (
	ActionSend    ActionKind = iota // start a server-side flow to Server, for at most For (0: until the client gives up)
	ActionReject                    // final answer: a further try is harmless, after For
	ActionFail                      // final answer without any promise
	ActionCancel                    // give up waiting for attempt Try
	ActionMigrate                   // ask the client of an open flow to come again
	ActionProbe                     // ask Server for its load report
	ActionWatch                     // ask discovery for the pool and its changes from now on
	ActionWait                      // nothing yet: the request is held until a later call
)

// Action is one thing to do. Fields that its Do does not mention are zero.
type Action struct {
	Kind     ActionKind
	ID       RequestID
	Server   ServerID
	Attempt  int
	Duration time.Duration
}

// Event is something a relay has learned: one of the types below.
type Event interface {
	apply(b *Balancer, now time.Duration)
}

type (
	// ServerList is what discovery says of the servers.
	ServerList struct {
		Kind    ListKind
		Servers []Server
	}
	// ExistingFlow is a flow that was open before the relay knew of it.
	ExistingFlow struct {
		Request Request
		Server  ServerID
	}
	// Up says that an attempt stands as an open flow.
	FlowEstablished struct{ ID RequestID }
	// AttemptEnded is the end of an attempt or of an open flow.
	AttemptEnded Outcome
	// SendSkipped says that the latest send for a request was not carried out; Closed is as of an End.
	SendSkipped struct {
		ID    RequestID
		Final bool
	}
	// ClientGone says that the client of a request went away.
	ClientGone struct{ ID RequestID }
	// ProbeResult is the answer to a probe.
	ProbeResult struct {
		Server ServerID
		Result Result
		Report Report
	}
	// FlowLoad is the load that an open flow has now, as work a second.
	FlowLoad struct {
		ID   RequestID
		Load float64
	}
	// ActiveRelays is by how many the budgets are divided that all relays share.
	ActiveRelays struct{ Count float64 }
	// CanaryGroup is which servers are of a canary's arm, and whose connections go there: by the group, or the key where there is none. Nobody
	// else's do. Nil: none.
	CanaryGroup struct {
		Contains func(ServerID) bool
		Assigned func(group uint64) bool
	}
	// MessageLatency is how long a message on an open flow takes at its server.
	MessageLatency struct {
		ID      RequestID
		Latency time.Duration
	}
)

func (n ServerList) apply(b *Balancer, now time.Duration)      { b.UpdateServers(now, n.Kind, n.Servers) }
func (n ExistingFlow) apply(b *Balancer, now time.Duration)    { b.AddExisting(now, n.Request, n.Server) }
func (n FlowEstablished) apply(b *Balancer, now time.Duration) { b.Established(now, n.ID) }
func (n AttemptEnded) apply(b *Balancer, now time.Duration)    { b.AttemptEnded(now, Outcome(n)) }
func (n SendSkipped) apply(b *Balancer, now time.Duration) {
	if r := b.requests[n.ID]; r != nil && r.server != nil {
		b.AttemptEnded(now, Outcome{ID: n.ID, Attempt: r.attempts - 1, Server: r.server.ID, Result: NotSent, Final: n.Final, Report: NoReport})
	}
}
func (n ClientGone) apply(b *Balancer, now time.Duration) { b.RequestEnded(now, n.ID) }
func (n ProbeResult) apply(b *Balancer, now time.Duration) {
	b.ProbeResult(now, n.Server, n.Result, n.Report)
}
func (n FlowLoad) apply(b *Balancer, now time.Duration) { b.UpdateLoad(now, n.ID, n.Load) }
func (n ActiveRelays) apply(b *Balancer, _ time.Duration) {
	if n.Count >= 1 { // a senseless one moves nothing
		b.activeRelays = n.Count
	}
}
func (n CanaryGroup) apply(b *Balancer, _ time.Duration) {
	b.canary = n
	for _, s := range b.servers {
		s.inCanary = b.inCanary(s.ID)
	}
}
func (n MessageLatency) apply(b *Balancer, now time.Duration) { b.ObserveLatency(now, n.ID, n.Latency) }

// CanaryOverflows is how many connections were drawn for an arm and went elsewhere, since it had no room.
func (f *Facade) CanaryOverflows() uint64 { return f.balancer.canaryOverflows }

// Facade drives a Balancer by calls that return verdicts. The slice that a call
// returns is valid until the next call.
type Facade struct {
	balancer  *Balancer
	collector actionCollector
}

// Normalize returns the settings as a Balancer reads them, with safe values in place
// of missing or senseless ones.
func Normalize(set Settings) Settings { return normalize(set) }

// NewFacade makes a Facade for one relay; the settings are made sane as by New.
func NewFacade(now time.Duration, set Settings, seed uint64) *Facade {
	f := &Facade{}
	f.collector.now = now
	f.balancer = New(set, seed, &f.collector)
	f.balancer.Start()
	return f
}

// Pick asks where a new request goes. Without a verdict on the request itself
// the answer holds ActionWait, and a later Report or Tick brings the verdict.
func (f *Facade) Pick(now time.Duration, q Request) []Action {
	f.collector.begin(now)
	f.balancer.Request(now, q)
	for _, v := range f.collector.actions {
		if v.ID == q.ID && v.Kind <= ActionFail {
			return f.collector.actions
		}
	}
	f.collector.add(Action{Kind: ActionWait, ID: q.ID})
	return f.collector.actions
}

// Observe tells what the relay has learned.
func (f *Facade) Observe(now time.Duration, n Event) []Action {
	f.collector.begin(now)
	n.apply(f.balancer, now)
	return f.collector.actions
}

// Tick does what is due by now. It never runs timers that it has itself set.
func (f *Facade) Tick(now time.Duration) []Action {
	f.collector.begin(now)
	var due []uint64
	for len(f.collector.timers) > 0 && f.collector.timers[0].at <= now {
		due = append(due, heap.Pop(&f.collector.timers).(scheduledTimer).token)
	}
	for _, token := range due {
		f.balancer.Timer(now, token)
	}
	return f.collector.actions
}

// Next is the time of the next Tick; false if none is due.
func (f *Facade) Next() (time.Duration, bool) {
	if len(f.collector.timers) == 0 {
		return 0, false
	}
	return f.collector.timers[0].at, true
}

// actionCollector is the Actions that collects verdicts and keeps the timers.
type actionCollector struct {
	now       time.Duration
	actions   []Action
	timers    timerHeap
	timersSet uint64
}

func (g *actionCollector) begin(now time.Duration) { g.now, g.actions = now, g.actions[:0] }
func (g *actionCollector) add(v Action)            { g.actions = append(g.actions, v) }

func (g *actionCollector) Send(id RequestID, server ServerID, timeout time.Duration) {
	g.add(Action{Kind: ActionSend, ID: id, Server: server, Duration: timeout})
}
func (g *actionCollector) Reject(id RequestID, retryAfter time.Duration) {
	g.add(Action{Kind: ActionReject, ID: id, Duration: retryAfter})
}
func (g *actionCollector) Fail(id RequestID) { g.add(Action{Kind: ActionFail, ID: id}) }
func (g *actionCollector) Cancel(id RequestID, try int) {
	g.add(Action{Kind: ActionCancel, ID: id, Attempt: try})
}
func (g *actionCollector) Migrate(id RequestID)  { g.add(Action{Kind: ActionMigrate, ID: id}) }
func (g *actionCollector) Probe(server ServerID) { g.add(Action{Kind: ActionProbe, Server: server}) }
func (g *actionCollector) Watch()                { g.add(Action{Kind: ActionWatch}) }
func (g *actionCollector) Timer(delay time.Duration, token uint64) {
	g.timersSet++
	heap.Push(&g.timers, scheduledTimer{at: g.now + max(delay, 0), order: g.timersSet, token: token})
}

type scheduledTimer struct {
	at           time.Duration
	order, token uint64
}

type timerHeap []scheduledTimer

func (a timerHeap) Len() int      { return len(a) }
func (a timerHeap) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a timerHeap) Less(i, j int) bool {
	return a[i].at < a[j].at || a[i].at == a[j].at && a[i].order < a[j].order
}
func (a *timerHeap) Push(x any) { *a = append(*a, x.(scheduledTimer)) }
func (a *timerHeap) Pop() any {
	last := len(*a) - 1
	x := (*a)[last]
	*a = (*a)[:last]
	return x
}

package policy

import (
	"container/heap"
	"time"
)

// This file is the interface for a real relay: calls that return the actions to carry
// out, and when the next call is due. It decides nothing; see docs/design.md, "The
// facade".

// ActionKind says what an Action requests.
type ActionKind int

// The kinds of actions.
const (
	// Start a server-side flow to Server, for at most Duration (0: until the client gives up).
	ActionSend    ActionKind = iota
	ActionReject             // final answer: a retry is harmless, after Duration
	ActionFail               // final answer without any promise
	ActionCancel             // abandon attempt Attempt
	ActionMigrate            // ask the client of an open flow to reconnect
	ActionProbe              // request a load report of Server
	ActionWatch              // subscribe to the server list and its changes
	ActionWait               // nothing yet: the request waits for a later call
)

// Action is one thing to do. Fields that its Kind does not mention are zero.
type Action struct {
	Kind     ActionKind
	ID       RequestID
	Member   MemberID
	Attempt  int
	Duration time.Duration
}

// Event is something that a relay reports: one of the types below.
type Event interface {
	apply(b *Balancer, now time.Duration)
}

type (
	// EndpointList is a list event of discovery.
	EndpointList struct {
		Kind      ListKind
		Endpoints []Endpoint
	}
	// ExistingFlow is a flow that was open before the relay started.
	ExistingFlow struct {
		Request Request
		Member  MemberID
	}
	// FlowEstablished says that an attempt has become an open flow.
	FlowEstablished struct{ ID RequestID }
	// AttemptEnded is the end of an attempt or of an open flow.
	AttemptEnded Outcome
	// SendSkipped says that the latest ActionSend of a request was not carried out; Final is as in an Outcome.
	SendSkipped struct {
		ID    RequestID
		Final bool
	}
	// ClientGone says that the client of a request has gone.
	ClientGone struct{ ID RequestID }
	// ProbeResult is the answer to a probe.
	ProbeResult struct {
		Member MemberID
		Result Result
		Report Report
	}
	// FlowLoad is the load that an open flow has now, as work a second.
	FlowLoad struct {
		ID   RequestID
		Load float64
	}
	// ActiveRelays is the number of relays among which shared budgets are divided.
	ActiveRelays struct{ Count float64 }
	// CanaryGroup says which servers belong to the canary group, and which connections are assigned to it, by
	// their Group, or their Key where they have none. Servers of the canary group get no others. With nil
	// functions there is no canary.
	CanaryGroup struct {
		Contains func(MemberID) bool
		Assigned func(group uint64) bool
	}
	// MessageLatency is how long a message on an open flow took at its server.
	MessageLatency struct {
		ID      RequestID
		Latency time.Duration
	}
)

func (e EndpointList) apply(b *Balancer, now time.Duration) {
	b.UpdateEndpoints(now, e.Kind, e.Endpoints)
}
func (e ExistingFlow) apply(b *Balancer, now time.Duration)    { b.AddExisting(now, e.Request, e.Member) }
func (e FlowEstablished) apply(b *Balancer, now time.Duration) { b.Established(now, e.ID) }
func (e AttemptEnded) apply(b *Balancer, now time.Duration)    { b.AttemptEnded(now, Outcome(e)) }
func (e SendSkipped) apply(b *Balancer, now time.Duration) {
	if r := b.requests[e.ID]; r != nil && r.member != nil {
		b.AttemptEnded(now, Outcome{ID: e.ID, Attempt: r.attempts - 1, Member: r.member.ID, Result: NotSent,
			Final: e.Final, Report: NoReport})
	}
}
func (e ClientGone) apply(b *Balancer, now time.Duration) { b.RequestEnded(now, e.ID) }
func (e ProbeResult) apply(b *Balancer, now time.Duration) {
	b.ProbeResult(now, e.Member, e.Result, e.Report)
}
func (e FlowLoad) apply(b *Balancer, now time.Duration) { b.UpdateLoad(now, e.ID, e.Load) }
func (e ActiveRelays) apply(b *Balancer, _ time.Duration) {
	if e.Count >= 1 { // ignore senseless counts
		b.activeRelays = e.Count
	}
}
func (e CanaryGroup) apply(b *Balancer, _ time.Duration) {
	b.canary = e
	for _, m := range b.members {
		m.inCanary = b.inCanary(m.ID)
	}
}
func (e MessageLatency) apply(b *Balancer, now time.Duration) { b.ObserveLatency(now, e.ID, e.Latency) }

// CanaryOverflows is how many connections were assigned to the canary group and went elsewhere, since it
// had no capacity.
func (f *Facade) CanaryOverflows() uint64 { return f.balancer.canaryOverflows }

// Facade drives a Balancer by calls that return actions. The slice that a call
// returns is valid until the next call.
type Facade struct {
	balancer  *Balancer
	collector actionCollector
}

// Normalize returns the settings as a Balancer reads them, with safe values in place
// of missing or senseless ones.
func Normalize(set Settings) Settings { return normalize(set) }

// NewFacade makes a Facade for one relay; the settings are normalized as by New.
func NewFacade(now time.Duration, set Settings, seed uint64) *Facade {
	f := &Facade{}
	f.collector.now = now
	f.balancer = New(set, seed, &f.collector)
	f.balancer.Start()
	return f
}

// Pick decides where a new request goes. If the request itself is not decided yet,
// the result holds ActionWait, and a later Observe or Tick brings the decision.
func (f *Facade) Pick(now time.Duration, q Request) []Action {
	f.collector.begin(now)
	f.balancer.Request(now, q)
	for _, a := range f.collector.actions {
		if a.ID == q.ID && a.Kind <= ActionFail {
			return f.collector.actions
		}
	}
	f.collector.add(Action{Kind: ActionWait, ID: q.ID})
	return f.collector.actions
}

// Observe takes an event that the relay reports.
func (f *Facade) Observe(now time.Duration, e Event) []Action {
	f.collector.begin(now)
	e.apply(f.balancer, now)
	return f.collector.actions
}

// Tick runs the timers that are due by now, but none that it has set itself.
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

// actionCollector is the Executor that collects actions and holds the timers.
type actionCollector struct {
	now       time.Duration
	actions   []Action
	timers    timerHeap
	timersSet uint64 // orders timers of the same time
}

func (c *actionCollector) begin(now time.Duration) { c.now, c.actions = now, c.actions[:0] }
func (c *actionCollector) add(a Action)            { c.actions = append(c.actions, a) }

func (c *actionCollector) Send(id RequestID, member MemberID, timeout time.Duration) {
	c.add(Action{Kind: ActionSend, ID: id, Member: member, Duration: timeout})
}
func (c *actionCollector) Reject(id RequestID, retryAfter time.Duration) {
	c.add(Action{Kind: ActionReject, ID: id, Duration: retryAfter})
}
func (c *actionCollector) Fail(id RequestID) { c.add(Action{Kind: ActionFail, ID: id}) }
func (c *actionCollector) Cancel(id RequestID, attempt int) {
	c.add(Action{Kind: ActionCancel, ID: id, Attempt: attempt})
}
func (c *actionCollector) Migrate(id RequestID)  { c.add(Action{Kind: ActionMigrate, ID: id}) }
func (c *actionCollector) Probe(member MemberID) { c.add(Action{Kind: ActionProbe, Member: member}) }
func (c *actionCollector) Watch()                { c.add(Action{Kind: ActionWatch}) }
func (c *actionCollector) Timer(delay time.Duration, token uint64) {
	c.timersSet++
	heap.Push(&c.timers, scheduledTimer{at: c.now + max(delay, 0), order: c.timersSet, token: token})
}

// scheduledTimer is a timer that the Balancer has set; timers of the same time expire in the order of
// setting.
type scheduledTimer struct {
	at           time.Duration
	order, token uint64
}

// timerHeap is the timers as a heap.
type timerHeap []scheduledTimer

func (h timerHeap) Len() int      { return len(h) }
func (h timerHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h timerHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].order < h[j].order
}
func (h *timerHeap) Push(x any) { *h = append(*h, x.(scheduledTimer)) }
func (h *timerHeap) Pop() any {
	last := len(*h) - 1
	x := (*h)[last]
	*h = (*h)[:last]
	return x
}

// Package core carries requests from their arrival to their one final answer. It
// knows requests, attempts and outcomes, and no wire: a front tells it what
// happens and carries out what it asks for. Every decision is package policy's;
// what a request may never do is enforced here, in gate and by the states of
// lifecycle.go. See docs/design.md, "The core".
package core

import (
	"math"
	"time"

	"dahliarudder/internal/settings"
	"dahliarudder/internal/window"
	"dahliarudder/policy"
)

// ID names a request from its arrival to its end.
type ID = policy.RequestID

// Member is a pool member.
type Member struct {
	policy.Server
	Name string
	Addr string
}

// Request is what a client asks for.
type Request struct {
	Name          string        `json:"Name"` // the client's own name for it, for the record
	Class         int           `json:"Class"`
	Tenant        int           `json:"Tenant"`
	Key           uint64        `json:"Key"`
	Group         uint64        `json:"Group"`
	Load          float64       `json:"Load"`
	TimeLeft      time.Duration `json:"Wait"`  // how long the client still waits
	Reconnect     bool          `json:"Again"` // the client reconnects after a break or a migration
	CurrentMember string        `json:"At"`    // the member that already holds the flow; empty for a new one
}

// Downstream is the client's side of one request. The core never calls it
// again after a final answer, but for Move of a flow that stands.
type Downstream interface {
	// Send starts a server-side flow, which is abandoned after wait.
	Send(id ID, to *Member, try int, wait time.Duration)
	// Cancel abandons the server-side flow.
	Cancel(try int)
	// Reject is a final answer: coming again, after some time, is harmless.
	Reject(after time.Duration)
	// Fail is a final answer without any promise.
	Fail()
	// Migrate asks the client of an open flow to come again, and ends the flow.
	Migrate()
}

// RecordAnswer is a final answer.
type Answer string

// The final answers. Lost is that of a request whose client went away first.
const (
	Served     Answer = "served"
	Rejected   Answer = "rejected"
	Failed     Answer = "failed"
	ClientGone Answer = "left"
)

// Recorder keeps the record of what happened. Its calls must not block.
type Recorder interface {
	// Ready says whether what follows will be recorded.
	Ready() bool
	// RecordAttempt records the end of a server-side flow, or of its setting up.
	RecordAttempt(q *Request, id ID, try int, member string, start, end time.Duration, result policy.Result)
	// RecordAnswer records the final answer.
	RecordAnswer(q *Request, id ID, at time.Duration, answer Answer, tries int)
}

// Options is what a Core is made of.
type Options struct {
	Settings *settings.Settings
	Seed     uint64
	Clock    func() time.Duration
	LoopTime func() time.Duration   // the time as of the loop's round, for messages; Clock if nil
	Wake     func(at time.Duration) // have Tick called once at that time; replaces an earlier wish
	Probe    func(to *Member)       // ends in Probed
	Watch    func()                 // ask discovery; ends in Pool
	Recorder Recorder               // nil for none
	// Saw is told how each attempt and probe went; nil if nobody wants to know.
	OnResult func(m *Member, result policy.Result)
	// OnMemberEvent is told what happens at members, by request; nil if nobody counts it.
	OnMemberEvent func(MemberEvent)
	// FeedMemoryLimit is how many bytes the messages on all feeds may hold; 0 for no bound.
	FeedMemoryLimit int
}

// slowReportInterval is how often slow messages at one member are told to the module.
const slowReportInterval = time.Second

type member struct {
	Member                          // as the module sees it
	listed            policy.Server // as discovery has it
	ejected           bool          // the operators or the fleet have taken it out
	startedAtEjection time.Duration // when discovery said that it started, as it was taken out
	reinstatedAt      time.Duration // when they put it back
	unavailable       bool          // it drains, is gone or is banned
	unavailableSince  time.Duration // when that was told
	flows             int           // attempts out and open flows
	slow              bool
	slowReportedAt    time.Duration
	slowStart         *window.SlowStart // of the messages that are out there
	slowStartOf       time.Duration     // the start that it was made for
	joinedAt          time.Duration     // when it was first named, if that was while we watched
	feedQueue         []*Feed           // that wait for it
	successes         uint64            // attempts and probes that ended well
	failures          uint64            // and that did not
}

// Core is the state of one relay. All calls come from one goroutine.
type Core struct {
	Options
	policyCfg          policy.Settings // as the module made them sane
	drainGrace         time.Duration
	facade             *policy.Facade
	requests           map[ID]*request
	lastID             ID
	members            map[policy.ServerID]*member
	byName             map[string]*member
	pendingActions     []policy.Action
	applying           bool
	timers             timerHeap
	tickAt             time.Duration
	feeds              map[ID]*Feed
	feedBytes          int                // of their messages
	ejections          map[string]bool    // by name, also of members that are not listed
	fleetRemovals      map[string]Removal // the same, by the fleet's word
	stopping           bool
	draining           bool
	migrationsDeferred bool // some move was ever put off
	dispatchPaused     bool
	syncing            bool
	ignoreGrace        bool            // nothing goes to a member that has left, within the grace neither
	pausedActions      []policy.Action // what waits for the end of the doubt
	migrateNotBefore   time.Duration   // during a stop or a drain nobody is moved before
	Counts             Counts
}

// Counts is what has happened so far.
type Counts struct {
	Requests, Served, Rejected, Failed, ClientsGone, Attempts, Migrations, Blocked int
	SentAfterGrace                                                                 int // attempts begun at members that were out for longer than the grace
	Messages                                                                       MessageCounts
	IgnoredEvents                                                                  int           // events that the state of their request does not allow
	BackoffTime                                                                    time.Duration // for which clients were sent away, or waited in vain
}

// New makes a Core.
func New(o Options) *Core {
	c := &Core{Options: o, policyCfg: policy.Normalize(o.Settings.Policy()), requests: map[ID]*request{},
		members: map[policy.ServerID]*member{}, byName: map[string]*member{}, feeds: map[ID]*Feed{}, ejections: map[string]bool{}, tickAt: math.MaxInt64}
	if c.drainGrace = settings.Duration(o.Settings.Guarantees.Grace); c.drainGrace <= 0 {
		c.drainGrace = 250 * time.Millisecond
	}
	if c.LoopTime == nil {
		c.LoopTime = c.Clock
	}
	c.facade = policy.NewFacade(c.Clock(), c.policyCfg, o.Seed)
	c.scheduleTick()
	return c
}

// DrainGrace is how long after a member's leaving is told something may still be sent there.
func (c *Core) DrainGrace() time.Duration { return c.drainGrace }

// ActiveRequests is how many requests are on their way or stand as open flows.
func (c *Core) ActiveRequests() int { return len(c.requests) }

// IsActive says whether a request is on its way or stands as an open flow.
func (c *Core) IsActive(id ID) bool { return c.requests[id] != nil }

// FlowCount is how many flows this relay holds at a member or is setting up there.
func (c *Core) FlowCount(id policy.ServerID) int {
	if m := c.members[id]; m != nil {
		return m.flows
	}
	return 0
}

// PolicySettings is the settings as the module made them sane.
func (c *Core) PolicySettings() policy.Settings { return c.policyCfg }

// AcceptsClients says whether clients should be sent here: no stop or drain is on.
func (c *Core) AcceptsClients() bool { return !c.stopping && !c.draining }

// SetSyncing has fronts say that they take no clients, while this relay waits to hear what was agreed when it was down. Who comes all the same is taken.
func (c *Core) SetSyncing(on bool) { c.syncing = on }

// Ready is what fronts say of it: clients may be sent here.
func (c *Core) Ready() bool { return c.AcceptsClients() && !c.syncing }

// HasUsableMember says whether some member may be sent to.
func (c *Core) HasUsableMember() bool {
	for _, m := range c.members {
		if !m.unavailable {
			return true
		}
	}
	return false
}

// ---- What fronts tell ----

// UpdateLoad is the load that an open flow has now, as work a second.
func (c *Core) UpdateLoad(id ID, load float64) { c.notifyPolicy(policy.FlowLoad{ID: id, Load: load}) }

// ObserveMessageLatency says how long a message on an open flow took. The module hears of it
// while messages are slow, and once more when they no longer are.
func (c *Core) ObserveMessageLatency(id ID, took time.Duration) {
	r := c.requests[id]
	if r == nil || !r.state.out() {
		return
	}
	m, now, slow := r.member, c.Clock(), false
	c.emitMemberEvent(r, m, MessageAnswered, took)
	for _, class := range c.policyCfg.Classes {
		slow = slow || took > class.MessageLatencyObjective/3
	}
	if slow && now-m.slowReportedAt < slowReportInterval || !slow && !m.slow {
		return
	}
	m.slow, m.slowReportedAt = slow, now
	c.notifyPolicy(policy.MessageLatency{ID: id, Latency: took})
}

// ActiveRelays is by how many the budgets are divided that all relays share.
func (c *Core) SetActiveRelays(share float64) { c.notifyPolicy(policy.ActiveRelays{Count: share}) }

// ProbeResult is the answer to a probe.
func (c *Core) ProbeResult(server policy.ServerID, result policy.Result, report policy.Report) {
	if m := c.members[server]; m != nil {
		c.countResult(m, result)
	}
	c.notifyPolicy(policy.ProbeResult{Server: server, Result: result, Report: report})
}

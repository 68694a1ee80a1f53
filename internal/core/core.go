// Package core carries each request from its arrival to its one final answer. It
// knows requests, attempts and results, but no wire: fronts report events to it and
// carry out what it asks for through Downstream. Every decision is package policy's;
// what a request must never do is enforced here, by mayStart and by the states in
// lifecycle.go, whatever the policy decides. See docs/design.md, "The core".
package core

import (
	"math"
	"time"

	"dahliarudder/internal/settings"
	"dahliarudder/policy"
)

// ID names a request from its arrival to its end.
type ID = policy.RequestID

// Member is a pool member.
type Member struct {
	policy.Endpoint
	Name string
	Addr string
}

// Request is what a client asks for. Its JSON names are a stored form: processes hand
// over open flows with it.
type Request struct {
	Name          string        `json:"Name"` // the client's own name for it, for the record
	Class         int           `json:"Class"`
	Tenant        int           `json:"Tenant"`
	Key           uint64        `json:"Key"`
	Group         uint64        `json:"Group"`
	Load          float64       `json:"Load"`
	TimeLeft      time.Duration `json:"Wait"`  // how long the client still waits
	Reconnect     bool          `json:"Again"` // the client comes back after a break or a migration
	CurrentMember string        `json:"At"`    // the member that already holds the flow; empty for a new one
}

// Downstream is the client's side of one request. The core never calls it again after
// a final answer, except for Migrate of an open flow.
type Downstream interface {
	// Send starts a server-side flow, which is abandoned after timeout.
	Send(id ID, to *Member, attempt int, timeout time.Duration)
	// Cancel abandons the server-side flow.
	Cancel(attempt int)
	// Reject is a final answer: a retry, after some time, is harmless.
	Reject(retryAfter time.Duration)
	// Fail is a final answer without any promise.
	Fail()
	// Migrate asks the client of an open flow to reconnect, and ends the flow.
	Migrate()
}

// Answer is a final answer.
type Answer string

// The final answers. ClientGone is that of a request whose client went away first.
const (
	Served     Answer = "served"
	Rejected   Answer = "rejected"
	Failed     Answer = "failed"
	ClientGone Answer = "left"
)

// Recorder keeps the record of attempts and answers. Its calls must not block.
type Recorder interface {
	// Ready reports whether what follows will be recorded.
	Ready() bool
	// RecordAttempt records the end of a server-side flow, or of its setup.
	RecordAttempt(q *Request, id ID, attempt int, member string, start, end time.Duration, result policy.Result)
	// RecordAnswer records the final answer.
	RecordAnswer(q *Request, id ID, at time.Duration, answer Answer, attempts int)
}

// Options are the dependencies and settings of a Core.
type Options struct {
	Settings *settings.Settings
	Seed     uint64
	Clock    func() time.Duration
	LoopTime func() time.Duration   // the time at which the loop's round began, for messages; Clock if nil
	Wake     func(at time.Duration) // have Tick called once at that time; replaces an earlier call
	Probe    func(to *Member)       // ends in ProbeResult
	Watch    func()                 // subscribe to the server list; ends in UpdateMembers
	Recorder Recorder               // nil for none
	// OnResult gets the result of each attempt and probe; may be nil.
	OnResult func(m *Member, result policy.Result)
	// OnMemberEvent gets the events of attempts and flows at members; may be nil.
	OnMemberEvent func(MemberEvent)
	// FeedMemoryLimit is how many bytes the messages on all feeds may hold; 0 for no limit.
	FeedMemoryLimit int
}

// Core is the state of one relay. All calls come from one goroutine.
type Core struct {
	Options
	policyCfg  policy.Settings // normalized
	drainGrace time.Duration
	facade     *policy.Facade
	Counts     Counts

	requests map[ID]*request
	lastID   ID

	members       map[policy.MemberID]*member
	byName        map[string]*member
	ejections     map[string]bool    // by this relay's operators; also of members that are not listed
	fleetRemovals map[string]Removal // by agreement of the fleet

	feeds     map[ID]*Feed
	feedBytes int // of the messages on all feeds

	pendingActions []policy.Action
	applying       bool // apply is on the stack
	dispatchPaused bool
	pausedActions  []policy.Action // wait for ResumeDispatch
	ignoreGrace    bool            // nothing goes to an unavailable member, not even within the drain grace

	timers timerHeap
	tickAt time.Duration

	stopping           bool
	draining           bool
	syncing            bool
	migrateNotBefore   time.Duration // during a stop or a drain
	migrationsDeferred bool          // some migration was ever deferred
}

// Counts are the counters of a Core.
type Counts struct {
	Requests, Served, Rejected, Failed, ClientsGone, Attempts, Migrations, Blocked int
	SentAfterGrace                                                                 int // attempts begun at members that were removed for longer than the grace
	Messages                                                                       MessageCounts
	IgnoredEvents                                                                  int           // events that the state of their request does not allow
	BackoffTime                                                                    time.Duration // retry-after of rejected clients, and the time that failed ones may have waited
}

// defaultDrainGrace is the drain grace where the settings have none.
const defaultDrainGrace = 250 * time.Millisecond

// New makes a Core.
func New(o Options) *Core {
	c := &Core{
		Options:   o,
		policyCfg: policy.Normalize(o.Settings.Policy()),
		requests:  map[ID]*request{},
		members:   map[policy.MemberID]*member{},
		byName:    map[string]*member{},
		feeds:     map[ID]*Feed{},
		ejections: map[string]bool{},
		tickAt:    math.MaxInt64,
	}
	if c.drainGrace = settings.Duration(o.Settings.Guarantees.DrainGrace); c.drainGrace <= 0 {
		c.drainGrace = defaultDrainGrace
	}
	if c.LoopTime == nil {
		c.LoopTime = c.Clock
	}
	c.facade = policy.NewFacade(c.Clock(), c.policyCfg, o.Seed)
	c.scheduleTick()
	return c
}

// DrainGrace is how long after a member became unavailable something may still be sent there.
func (c *Core) DrainGrace() time.Duration { return c.drainGrace }

// ActiveRequests is how many requests wait, are in flight or are open flows.
func (c *Core) ActiveRequests() int { return len(c.requests) }

// IsActive reports whether a request waits, is in flight or is an open flow.
func (c *Core) IsActive(id ID) bool { return c.requests[id] != nil }

// FlowCount is how many flows this relay holds at a member or is setting up there.
func (c *Core) FlowCount(id policy.MemberID) int {
	if m := c.members[id]; m != nil {
		return m.flows
	}
	return 0
}

// PolicySettings are the normalized settings of the policy.
func (c *Core) PolicySettings() policy.Settings { return c.policyCfg }

// AcceptsClients reports whether clients should be sent here: there is no stop or drain.
func (c *Core) AcceptsClients() bool { return !c.stopping && !c.draining }

// SetSyncing has fronts report that they are not ready, while this relay waits for what the fleet agreed on when
// it was down. Clients that come all the same are served.
func (c *Core) SetSyncing(on bool) { c.syncing = on }

// Ready is the readiness that fronts report: clients may be sent here.
func (c *Core) Ready() bool { return c.AcceptsClients() && !c.syncing }

// HasUsableMember reports whether some member may be sent to.
func (c *Core) HasUsableMember() bool {
	for _, m := range c.members {
		if !m.unavailable {
			return true
		}
	}
	return false
}

// Package core carries each request from its arrival to its one final answer. It handles requests,
// attempts and results, but no wire protocol: fronts report events to it, and it calls them back
// through Downstream. Package policy makes every decision. Whatever it decides, this package enforces
// the rules on attempts and final answers: in mayStart, with the states in lifecycle.go, and with the
// rules on retries in idempotency.go. See docs/design.md, "The core".
package core

import (
	"math"
	"time"

	"dahliarudder/internal/settings"
	"dahliarudder/policy"
)

// ID identifies a request from its arrival to its end.
type ID = policy.RequestID

// Member is a pool member.
type Member struct {
	policy.Endpoint
	Name string
	Addr string
}

// Request is what a client asks for. Its JSON names must not change: processes of different
// versions exchange it when they hand over open flows.
type Request struct {
	Name          string        `json:"Name"` // the client's own name for the request, used by Recorder
	Class         int           `json:"Class"`
	Tenant        int           `json:"Tenant"`
	Key           uint64        `json:"Key"`
	Group         uint64        `json:"Group"`
	Load          float64       `json:"Load"`
	TimeLeft      time.Duration `json:"Wait"`  // how much longer the client waits for an answer
	Reconnect     bool          `json:"Again"` // the client reconnects after a disconnection or a migration
	CurrentMember string        `json:"At"`    // the member that already has the flow; empty for a new flow
}

// Downstream is the client's side of one request. After Reject or Fail the core calls it no more;
// once FlowEstablished has made the request an open flow, the core calls only Migrate or Cancel.
type Downstream interface {
	// Send starts an attempt: it sets up a flow to a member. The core abandons it after timeout.
	Send(id ID, to *Member, attempt int, timeout time.Duration)
	// Cancel abandons the attempt or the open flow.
	Cancel(attempt int)
	// Reject gives a final answer that promises that a retry after retryAfter is harmless.
	Reject(retryAfter time.Duration)
	// Fail gives a final answer that promises nothing: the request may have taken effect.
	Fail()
	// Migrate asks the client of an open flow to reconnect, and ends the flow.
	Migrate()
}

// Answer is the final answer of a request or a message.
type Answer string

// The final answers. ClientGone means that the client went away before any other answer.
const (
	Served     Answer = "served"
	Rejected   Answer = "rejected"
	Failed     Answer = "failed"
	ClientGone Answer = "left"
)

// Recorder records attempts and answers. Its methods must not block.
type Recorder interface {
	// Ready reports whether it can record all that follows from the requests that the core has not
	// answered yet, a new one included. If not, the core rejects the new one.
	Ready(owed RecordBacklog) bool
	// RecordAttempt records the end of an attempt, or of the flow that it became.
	RecordAttempt(q *Request, id ID, attempt int, member string, start, end time.Duration, result policy.Result)
	// RecordAnswer records a final answer.
	RecordAnswer(q *Request, id ID, at time.Duration, answer Answer, attempts int)
}

// Options are the dependencies and settings of a Core.
type Options struct {
	Settings *settings.Settings
	Seed     uint64
	// FirstID is the ID before that of the first request. The IDs of processes differ if each starts at a random one,
	// below MaxFirstID.
	FirstID  ID
	Clock    func() time.Duration
	LoopTime func() time.Duration   // start of the event loop's current round, used for messages; Clock if nil
	Wake     func(at time.Duration) // schedules one call of Tick, in place of an earlier scheduled one
	Probe    func(to *Member)       // starts a probe, whose outcome is passed to ProbeResult
	Watch    func()                 // subscribes to the endpoint list, which is passed to UpdateMembers
	Recorder Recorder               // nil for none
	// OnResult gets the result of each attempt and probe; may be nil.
	OnResult func(m *Member, result policy.Result)
	// OnMemberEvent gets the events of attempts and flows at members; may be nil.
	OnMemberEvent func(MemberEvent)
	// FeedMemoryLimit is how many bytes of messages all feeds together may hold; 0 for no limit.
	FeedMemoryLimit int
}

// MaxFirstID is the limit of Options.FirstID. It leaves as many IDs again until the limit of policy.RequestID,
// which a JSON number holds exactly.
const MaxFirstID ID = 1 << 51

// Core is the state of one relay. All its methods must be called from one goroutine.
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
	ejections     map[string]bool    // by operators of this relay; also of members that are not listed
	fleetRemovals map[string]Removal // agreed by the fleet

	feeds     map[ID]*Feed
	feedBytes int // of the messages of all feeds

	unansweredRequests unanswered
	unansweredMessages unanswered

	pendingActions []policy.Action
	applying       bool // a call of apply is running
	dispatchPaused bool
	pausedActions  []policy.Action // sends and probes that wait for ResumeDispatch
	ignoreGrace    bool            // no attempt or probe may go to an unavailable member, even within the drain grace

	timers timerHeap
	tickAt time.Duration

	stopping           bool
	draining           bool
	syncing            bool
	migrateNotBefore   time.Duration // the earliest time of migrations during a stop or a drain
	migrationsDeferred bool          // a migration has been deferred at least once
}

// Counts are the counters of a Core. Blocked counts the sends, of requests and of messages, and the
// probes that were due but not allowed by mayStart or another rule.
type Counts struct {
	Requests, Served, Rejected, Failed, ClientsGone, Attempts, Migrations, Blocked int
	// SentAfterGrace counts attempts sent to members that were removed longer ago than the drain grace.
	SentAfterGrace int
	Messages       MessageCounts
	// IgnoredEvents counts events that the state of their request does not allow.
	IgnoredEvents int
	// BackoffTime is the Retry-After of all rejections, plus the TimeLeft that failed requests
	// arrived with.
	BackoffTime time.Duration
}

// defaultDrainGrace applies if the settings give no drain grace.
const defaultDrainGrace = 250 * time.Millisecond

// New returns a Core without members.
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
		lastID:    o.FirstID,
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

// DrainGrace returns how long after a member became unavailable new attempts may still go there.
func (c *Core) DrainGrace() time.Duration { return c.drainGrace }

// ActiveRequests returns how many requests are waiting, in flight or open flows.
func (c *Core) ActiveRequests() int { return len(c.requests) }

// UnansweredMessages returns how many messages of feeds have no final answer.
func (c *Core) UnansweredMessages() int { return c.unansweredMessages.count }

// IsActive reports whether a request is waiting, in flight or an open flow.
func (c *Core) IsActive(id ID) bool { return c.requests[id] != nil }

// FlowCount returns how many flows this relay has at a member, including those being set up.
func (c *Core) FlowCount(id policy.MemberID) int {
	if m := c.members[id]; m != nil {
		return m.flows
	}
	return 0
}

// PolicySettings returns the normalized settings of the policy.
func (c *Core) PolicySettings() policy.Settings { return c.policyCfg }

// AcceptsClients reports whether clients should be sent to this relay: it is neither stopping nor
// draining.
func (c *Core) AcceptsClients() bool { return !c.stopping && !c.draining }

// SetSyncing sets whether fronts report that they are not ready because this relay is still
// fetching what the fleet agreed on while it was down. Clients that connect anyway are served.
func (c *Core) SetSyncing(on bool) { c.syncing = on }

// Ready returns the readiness that fronts report, that is, whether clients may be sent here.
func (c *Core) Ready() bool { return c.AcceptsClients() && !c.syncing }

// HasUsableMember reports whether at least one member is available.
func (c *Core) HasUsableMember() bool {
	for _, m := range c.members {
		if !m.unavailable {
			return true
		}
	}
	return false
}

// Package policy decides which pool member a relay uses for each long-lived connection.
//
// A relay makes one Balancer with New, calls one method for each event that it observes, and
// carries out the actions that the Balancer requests of its Executor. Calls must come from one
// goroutine at a time. Times are readings of any monotonic clock that the relay passes in; the
// same settings, seed and events give the same actions. Facade offers the same decisions through
// calls that return the actions; it calls an open connection a flow.
//
// This file declares the interface; each kind of decision has a file of its own.
package policy

import "time"

// MemberID identifies a member of the pool. It is the same at every relay.
type MemberID uint32

// RequestID identifies a request; it must be less than 1<<52 and must not be reused.
type RequestID uint64

// Idempotency says whether a request of a class may be repeated.
type Idempotency int

// The kinds of idempotency.
const (
	Idempotent     Idempotency = iota // may be repeated and rejected freely
	IdempotencyKey                    // carries a key by which members of its scope discard repeats
	NonIdempotent                     // must not be repeated once an attempt may have run
)

// Scope says which members recognize the idempotency key of a request that another member received.
type Scope int

// The scopes of idempotency keys.
const (
	ScopeAll  Scope = iota // all members
	ScopeZone              // the members of the same zone
	ScopeCell              // the members of the same cell
)

// Class describes one class of requests.
type Class struct {
	LatencyObjective        time.Duration // for establishing a connection
	Deadline                time.Duration // how long the client waits for an answer
	MessageLatencyObjective time.Duration // for one message on an open connection
	PriorityWeight          float64       // value of one second in which a connection is well served
	Idempotency             Idempotency
	Scope                   Scope
	DedupWindow             time.Duration // how long members discard repeats of an idempotency key
}

// Tenant is one of the customers that share the members.
type Tenant struct {
	Share float64 // fraction of the service; the shares need not add up to one
	Quota float64 // open connections, at all relays together, that the share entitles to; 0 if unknown
}

// ReportSource says how load reports reach the relay.
type ReportSource int

// The sources of load reports.
const (
	ReportsOff ReportSource = iota
	ReportsOnProbe
	ReportsInline // with outcomes and probe results
)

// Settings configures a Balancer. New replaces missing and invalid values with safe ones.
type Settings struct {
	Balancers   int // number of relays that share the members, this one included
	Zone        int // zone of this relay
	Zones       int
	Classes     []Class
	Tenants     []Tenant
	Groups      bool // connections of one group share work on a member
	PassThrough bool // the relay forwards packets, so packets of an open connection may reach another relay
	Subscribe   bool // the relay subscribes to the endpoint list; otherwise the list is pushed
	Reports     ReportSource

	CanProbe       bool
	CanCancel      bool
	MaxAttempts    int
	ConnectTimeout time.Duration
	MaxRetryAfter  time.Duration // longest Retry-After that clients follow

	MaxPollInterval      time.Duration // longest time between two polls of the endpoint list
	AnswerSlack          time.Duration // the Balancer answers this long before the deadline
	SlowStartMinCapacity float64       // fraction of its capacity that a member has when it starts
	SlowStartDuration    time.Duration // a member has its full capacity at the latest this long after its start
	OverloadFactor       float64       // a member is overloaded above this multiple of its present capacity
	OverloadWindow       time.Duration // time that the load must stay above OverloadFactor

	// Cost of one cross-zone connection or one probe per request, as a fraction of the total value.
	CrossZonePrice float64
	ProbePrice     float64
}

// MemberState is the state of a member in the endpoint list.
type MemberState int

// The states of a member.
const (
	Gone MemberState = iota
	Ready
	Draining
)

// Endpoint is one entry of the endpoint list: a member of the pool as discovery describes it.
type Endpoint struct {
	ID      MemberID
	Zone    int
	Kind    int // members of one kind have a similar capacity per unit of Weight
	Cell    int // see ScopeCell
	State   MemberState
	Weight  float64       // relative size; a rough guide
	Started time.Duration // time of the latest start; 0 if unknown or long ago
}

// ListKind says which entries a list event has.
type ListKind int

// The kinds of list events.
const (
	ListFailed ListKind = iota // a poll failed or the subscription broke; no entries
	ListDelta                  // only the entries that changed
	ListFull
	ListCached // the whole list from a cache, possibly out of date
)

// Request is a connection that a client asks for.
type Request struct {
	ID        RequestID
	Class     int
	Tenant    int
	Key       uint64        // identifies what the request is about; 0 if none
	Group     uint64        // connections of one group share work; 0 if none
	Deadline  time.Duration // time at which the client stops waiting
	Load      float64       // expected work per second; 0 if unknown
	MidFlow   bool          // carries packets of a connection that is already open
	Reconnect bool          // the client returns after a broken connection or a migration
}

// Result is how an attempt or a probe ended.
type Result int

// The results. Only Full, ConnectFailed and NotSent prove that the attempt did not run.
const (
	OK Result = iota
	Error
	Full
	Timeout
	ConnectFailed
	Reset
	Cancelled
	NotSent
)

// Report is a member's report of its own load. A negative field is missing.
type Report struct {
	Connections float64
	Load        float64 // load divided by capacity
	Util        float64 // CPU utilization
	Backlog     float64 // seconds of queued work
}

// NoReport is a Report with every field missing.
var NoReport = Report{Connections: -1, Load: -1, Util: -1, Backlog: -1}

// Outcome is the end of one attempt.
type Outcome struct {
	ID      RequestID
	Attempt int // attempts count from 0 in the order of Send
	Member  MemberID
	Result  Result
	Final   bool // the request has its final answer, with this outcome or earlier
	Report  Report
}

// Executor carries out the decisions of a Balancer.
type Executor interface {
	// Send starts an attempt. With timeout 0 the attempt runs until the client's deadline.
	Send(id RequestID, member MemberID, timeout time.Duration)
	// Reject is a final answer that tells the client that a retry after retryAfter is safe.
	Reject(id RequestID, retryAfter time.Duration)
	// Fail is a final answer that does not say whether a retry is safe.
	Fail(id RequestID)
	// Cancel abandons an attempt.
	Cancel(id RequestID, attempt int)
	// Migrate ends an open connection gracefully; its client then reconnects.
	Migrate(id RequestID)
	// Probe requests a load report from a member.
	Probe(member MemberID)
	// Timer requests a call of Balancer.Timer with the token after the delay.
	Timer(delay time.Duration, token uint64)
	// Watch subscribes to the endpoint list and its changes.
	Watch()
}

// Package policy decides where a proxy places long-lived connections.
//
// This file holds the interface only; the decisions are in files of their names. A proxy
// makes one Balancer with New, calls one method for each event that it sees, and carries
// out the actions that the Balancer requests of its Executor. Calls must come from one
// goroutine at a time. Time is whatever monotonic clock the proxy passes in; equal
// settings, seed and events give equal actions.
package policy

import "time"

// MemberID identifies a member of the pool. It is the same at every proxy.
type MemberID uint32

// RequestID names a request; it must be under 1<<52 and never be used again.
type RequestID uint64

// Idempotency says what repeating a request of a class does.
type Idempotency int

// The kinds of idempotency.
const (
	Idempotent     Idempotency = iota // may be repeated and rejected freely
	IdempotencyKey                    // carries a key by which the servers of one scope discard repeats for a while
	NonIdempotent                     // must not be repeated unless no attempt ran
)

// Scope says which servers discard repeats of a request with an idempotency key.
type Scope int

// The scopes of idempotency keys.
const (
	ScopeAll Scope = iota
	ScopeZone
	ScopeCell
)

// Class describes one class of requests.
type Class struct {
	LatencyObjective        time.Duration // for setting a connection up
	Deadline                time.Duration // the client waits no longer than this
	MessageLatencyObjective time.Duration // for a message on an open connection
	PriorityWeight          float64       // value of a second in which a connection is well served
	Idempotency             Idempotency
	Scope                   Scope
	DedupWindow             time.Duration // how long servers discard repeats of an idempotency key
}

// Tenant is one of the customers that share the servers.
type Tenant struct {
	Share float64 // part of the service; the module scales shares to sum to one
	Quota float64 // open connections over all proxies within its share; 0 if unknown
}

// ReportSource says how load reports reach the proxy.
type ReportSource int

// The sources of load reports.
const (
	ReportsOff ReportSource = iota
	ReportsOnProbe
	ReportsInline // with outcomes and probe results
)

// Settings is the configuration of a Balancer. New puts safe values in place of
// missing or senseless ones.
type Settings struct {
	Balancers   int // proxies in this tier, this one included
	Zone        int // the zone of this proxy
	Zones       int
	Classes     []Class
	Tenants     []Tenant
	Groups      bool // connections of one group share work on a server
	PassThrough bool // packets pass through: open connections may reach another proxy
	Subscribe   bool // the server list has to be subscribed to
	Reports     ReportSource

	CanProbe       bool
	CanCancel      bool
	MaxAttempts    int
	ConnectTimeout time.Duration
	MaxRetryAfter  time.Duration // the longest that clients follow

	MaxPollInterval      time.Duration // longest time without a poll of the server list
	AnswerSlack          time.Duration // how long after the deadline an answer still counts
	SlowStartMinCapacity float64       // least part of its capacity that a server has at its start
	SlowStartDuration    time.Duration // after which it has all its capacity at the latest
	OverloadFactor       float64       // a load over this multiple of its present capacity overloads it
	OverloadWindow       time.Duration // when it lasts for so long

	CrossZonePrice float64 // each price: what one per request costs, as a part of all value
	ProbePrice     float64
}

// MemberState is the state of a member in the endpoint list.
type MemberState int

// The states of a server.
const (
	Gone MemberState = iota
	Ready
	Draining
)

// Endpoint is one entry of the endpoint list: a member of the pool as discovery describes it.
type Endpoint struct {
	ID      MemberID
	Zone    int
	Kind    int
	Cell    int
	State   MemberState
	Weight  float64       // relative size; a rough guide
	Started time.Duration // time of the latest start; 0 if long ago
}

// ListKind says what a list event holds.
type ListKind int

// The kinds of list events.
const (
	ListFailed ListKind = iota // a call failed or the subscription broke; no entries
	ListDelta                  // only changed entries
	ListFull
	ListCached // the whole list from a cache, maybe out of date
)

// Request is a connection that a client wants.
type Request struct {
	ID        RequestID
	Class     int
	Tenant    int
	Key       uint64        // subject of the request; 0 if none
	Group     uint64        // connections of one group share work; 0 if none
	Deadline  time.Duration // clock time at which the client gives up
	Load      float64       // expected load, as work a second; 0 if unknown
	MidFlow   bool          // packets of a connection that is already open
	Reconnect bool          // its client comes back after a break or a migration
}

// Result is how an attempt or a probe ended.
type Result int

// The results. Only Full, ConnectFailed and NotSent prove that nothing ran.
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

// Report is a server's own account of its load. A negative field is missing.
type Report struct {
	Connections float64
	Load        float64 // load over capacity
	Util        float64 // utilization of its cores
	Backlog     float64 // seconds of queued work
}

// NoReport has every field missing.
var NoReport = Report{Connections: -1, Load: -1, Util: -1, Backlog: -1}

// Outcome is the end of one attempt.
type Outcome struct {
	ID      RequestID
	Attempt int // attempts are numbered from 0 in the order of Send
	Member  MemberID
	Result  Result
	Final   bool // the request has its final answer, by this outcome or before
	Report  Report
}

// Executor carries out the decisions of a Balancer.
type Executor interface {
	// Send starts an attempt. A timeout of 0 lasts until the client gives up.
	Send(id RequestID, member MemberID, timeout time.Duration)
	// Reject is a final answer by which a retry of the client is harmless.
	Reject(id RequestID, retryAfter time.Duration)
	// Fail is a final answer without any promise.
	Fail(id RequestID)
	// Cancel abandons an attempt.
	Cancel(id RequestID, attempt int)
	// Migrate ends an open connection gracefully; its client reconnects.
	Migrate(id RequestID)
	// Probe requests a load report of a server.
	Probe(member MemberID)
	// Timer requests a Timer event after the delay.
	Timer(delay time.Duration, token uint64)
	// Watch subscribes to the server list and its changes.
	Watch()
}

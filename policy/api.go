// Package policy decides where a proxy places long-lived connections.
//
// This file holds the interface only; the decisions are in files of their names. A proxy
// makes one Balancer with New, calls one method for each event it sees, and
// carries out what the Balancer asks for through Actions. Calls must come from
// one goroutine at a time. Time is whatever monotonic clock the proxy passes
// in; equal settings, seed and events give equal actions.
package policy

import "time"

// ServerID names a server. It is the same at every proxy and carries no meaning.
type ServerID uint32

// RequestID names a request; it must be under 1<<52 and never be used again.
type RequestID uint64

// Idempotency says what repeating a request of a class does.
type Idempotency int

// The effects of a class.
const (
	Idempotent     Idempotency = iota // may be repeated and refused freely
	IdempotencyKey                    // servers of one scope discard repeats for a while
	NonIdempotent                     // must not be repeated unless no attempt ran
)

// Scope says which servers discard repeats of a keyed request.
type Scope int

// The scopes of a keyed class.
const (
	ScopeAll Scope = iota
	ScopeZone
	ScopeCell
)

// Class describes one class of requests.
type Class struct {
	LatencyObjective        time.Duration // a connection is wanted within this time
	Deadline                time.Duration // the client waits no longer than this
	MessageLatencyObjective time.Duration // a message on an open connection is wanted within this time
	PriorityWeight          float64       // of a second in which a connection is well served
	Idempotency             Idempotency
	Scope                   Scope
	DedupWindow             time.Duration // how long repeats of a keyed request are discarded
}

// Tenant is one of those that share the servers.
type Tenant struct {
	Share float64 // part of the service; the module scales shares to sum to one
	Quota float64 // open connections over all proxies within its share; 0 if unknown
}

// Source says how load reports reach the proxy.
type Source int

// The sources of load reports.
const (
	ReportsOff Source = iota
	ReportsOnProbe
	ReportsInline // with outcomes and probe results
)

// Settings is what a Balancer is told at its start. New puts safe values in
// place of missing or senseless ones.
type Settings struct {
	Balancers   int // proxies in this tier, this one included
	Zone        int // the zone of this proxy
	Zones       int
	Classes     []Class
	Tenants     []Tenant
	Groups      bool // connections of one group share work on a server
	PassThrough bool // packets pass through: open connections may reach another proxy
	Subscribe   bool // the server list comes only when asked for
	Reports     Source

	CanProbe       bool
	CanCancel      bool
	MaxAttempts    int
	ConnectTimeout time.Duration
	MaxRetryAfter  time.Duration // the longest that a client heeds

	MaxPollInterval      time.Duration // longest time without asking for the list
	AnswerSlack          time.Duration // how long after the deadline an answer still counts
	SlowStartMinCapacity float64       // least part of its capacity a started server has
	SlowStartDuration    time.Duration // time after which it is warm at the latest
	OverloadFactor       float64       // more than this multiple of its present capacity pushes it over
	OverloadWindow       time.Duration // when kept up for so long

	CrossZonePrice float64 // each price: what one a request costs, as a part of all worth
	ProbePrice     float64
}

// ServerState is the state of a server as the list has it.
type ServerState int

// The states of a server.
const (
	Gone ServerState = iota
	Ready
	Draining
)

// Server is one entry of the server list.
type Server struct {
	ID      ServerID
	Zone    int
	Kind    int
	Cell    int
	State   ServerState
	Weight  float64       // relative size; at most a guide
	Started time.Duration // time of the latest start; 0 if long ago
}

// ListKind says what a list event holds.
type ListKind int

// The kinds of list events.
const (
	ListFailed ListKind = iota // a call failed or the subscription broke; no entries
	ListDelta                  // only changed entries
	ListFull
	ListCached // the whole list as last held, maybe out of date
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
	Reconnect bool          // its client came again after a break or a move
}

// Result is how an attempt or a probe ended.
type Result int

// The results. Only Full, ConnectFailed and Moot prove that nothing ran.
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
	Util        float64 // part of its cores that is busy
	Backlog     float64 // seconds of work piled up
}

// NoReport has every field missing.
var NoReport = Report{Connections: -1, Load: -1, Util: -1, Backlog: -1}

// Outcome is the end of one attempt.
type Outcome struct {
	ID      RequestID
	Attempt int // attempts are numbered from 0 in the order of Send
	Server  ServerID
	Result  Result
	Final   bool // the request has its final answer, by this outcome or before
	Report  Report
}

// Executor carries out what a Balancer decides.
type Executor interface {
	// Send starts an attempt. A timeout of 0 lasts until the client gives up.
	Send(id RequestID, server ServerID, timeout time.Duration)
	// Reject is a final answer that tells the client a further try is harmless.
	Reject(id RequestID, retryAfter time.Duration)
	// Fail is a final answer without any promise.
	Fail(id RequestID)
	// Cancel gives up waiting for an attempt.
	Cancel(id RequestID, try int)
	// Migrate ends an open connection politely; its client comes again.
	Migrate(id RequestID)
	// Probe asks a server for its report.
	Probe(server ServerID)
	// Timer asks for a Timer event after the delay.
	Timer(delay time.Duration, token uint64)
	// Watch asks for the server list and its changes from now on.
	Watch()
}

package policy

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// This file holds the state of a Balancer; it decides nothing.

// The purpose of a timer is in the top byte of its token, the request in the rest.
const (
	tokenDeadline    uint64 = iota << 56
	tokenRetry       uint64 = iota << 56
	tokenPoll        uint64 = iota << 56
	tokenHealthCheck uint64 = iota << 56
	tokenMask        uint64 = 0xff << 56
)

// health counts failures in a row, of a server or of a zone.
type health struct {
	failures int
	retryAt  time.Duration // nothing is sent before; then a probe must succeed first
	ejected  bool
}

// placement is a change of load that a server's report cannot include yet.
type placement struct {
	at   time.Duration
	load float64
}

// zone is what is known of the servers of a zone together.
type zone struct {
	health
	fill float64 // mean fill of its servers in the reports of this proxy
}

// member is an Endpoint of the list with the state that this Balancer has learned of it.
type member struct {
	Endpoint
	health
	owner             int  // tenant whose home slice it belongs to
	inCanary          bool // it belongs to the canary group
	report            Report
	reportedAt        time.Duration // when the latest report came
	reportChangedAt   time.Duration // when these values were first seen
	rawReport         Report        // the latest report as it came
	rawReportAt       time.Duration // when that was first seen
	previousLoad      float64       // the load of the report before rawReport
	hasReport         bool
	rank              float64 // in the order of the key that is being placed
	consecutiveFull   int     // attempts in a row that it answered Full
	probing           bool
	migratedAt        time.Duration // when own connections were last migrated off it for its load
	capacity          float64       // learned capacity, in connections
	reportCount       float64       // reports that capacity was learned from, up to a limit
	pendingPlacements []placement
	placedAt          time.Duration // of the latest placement
	conns             []*request    // own connections here, those being set up included
	ownFlows          float64       // number of conns
	foreignFlows      float64       // those of ownFlows whose tenant does not own the server

	// The send budget while it warms up, in mean loads.
	slowStartTokens     float64
	slowStartOffset     float64 // random position of this proxy among all in the budget
	slowStartSent       float64
	slowStartRefilledAt time.Duration
}

// request is the one owner of what may still be done for a request.
type request struct {
	Request
	load          float64 // 0 while it is unknown
	arrivedAt     time.Duration
	attempts      int
	stage         int // how far placement has looked
	probedStage   int // the stages before this one have been probed
	pendingProbes int // probes that it waits for
	pendingTimers int // retry timers that are set; only the last one counts
	triedMembers  []MemberID
	member        *member // of the attempt in flight or of the open connection
	foreign       bool    // the server is outside its tenant's home slice
	canary        bool    // it is assigned to the canary group
	inFlight      bool    // an attempt is in flight
	established   bool
	migrated      bool // its client was asked to reconnect
	answered      bool // it has its final answer
	mayHaveRun    bool // an attempt may have run
	firstRunAt    time.Duration
	firstRunOn    Endpoint
}

// kind holds sums over reports that give the capacity of one unit of weight.
type kind struct{ inflight, capacity float64 }

// Balancer decides for one proxy.
type Balancer struct {
	cfg      Settings
	executor Executor
	rng      *rand.Rand

	members    []*member // in order of id
	byID       map[MemberID]*member
	zones      []zone
	kinds      map[int]*kind
	homeSlices [][]*member // of each tenant, over all zones; nil until they are needed

	requests     map[RequestID]*request
	probeWaiters map[MemberID][]RequestID

	lendingThresholds []float64 // of each tenant's servers, as a part of their capacity
	openByTenant      []float64 // own connections of each tenant
	ownFlows          float64
	foreignFlows      float64
	meanLoad          float64
	classLoad         []float64
	admissionRate     float64 // part of its requests that it sends, less while setting up fails
	rejectionRate     float64 // part of the recent requests that were rejected
	probeTokens       float64 // probes that it may send
	// Number of proxies that share budgets: Settings.Balancers until an event updates it.
	activeRelays float64

	watching    bool
	failedPolls int // in a row

	minObjective        time.Duration // the shortest latency objective of all classes
	maxDeadline         time.Duration
	minMessageObjective time.Duration

	canary          CanaryGroup
	canaryOverflows uint64 // connections that were assigned to the canary group and went elsewhere
}

// inCanary reports whether a server belongs to the canary group.
func (b *Balancer) inCanary(id MemberID) bool {
	return b.canary.Contains != nil && b.canary.Contains(id)
}

// isCanaryFlow reports whether a connection is assigned to the canary group.
func (b *Balancer) isCanaryFlow(q Request) bool {
	return b.canary.Assigned != nil && !q.MidFlow && b.canary.Assigned(cmp.Or(q.Group, q.Key))
}

// hasGroup reports whether the server holds own connections of a group.
func (m *member) hasGroup(group uint64) bool {
	return slices.ContainsFunc(m.conns, func(r *request) bool { return r.Group == group })
}

// attach counts a connection on a server.
func (b *Balancer) attach(now time.Duration, r *request, m *member) {
	r.member = m
	m.pendingPlacements, m.placedAt = append(m.pendingPlacements, placement{now, b.loadOf(r)}), now
	b.countFlow(r, m, 1)
}

// detach takes it off its server again.
func (b *Balancer) detach(now time.Duration, r *request) {
	if m := r.member; m != nil {
		m.pendingPlacements = append(m.pendingPlacements, placement{now, -b.loadOf(r)})
		b.countFlow(r, m, -1)
		r.member, r.inFlight = nil, false
	}
}

func (b *Balancer) countFlow(r *request, m *member, n float64) {
	if n > 0 {
		m.conns = append(m.conns, r)
	} else if i := slices.Index(m.conns, r); i >= 0 {
		m.conns = slices.Delete(m.conns, i, i+1)
	}
	m.ownFlows += n
	b.ownFlows += n
	b.openByTenant[r.Tenant] += n
	if r.foreign {
		m.foreignFlows += n
		b.foreignFlows += n
	}
}

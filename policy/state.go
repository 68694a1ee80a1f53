package policy

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// This file declares the state of a Balancer; it makes no decisions.

// The top byte of a timer token is the timer's purpose, the rest the request ID.
const (
	tokenDeadline    uint64 = iota << 56
	tokenRetry       uint64 = iota << 56
	tokenPoll        uint64 = iota << 56
	tokenHealthCheck uint64 = iota << 56
	tokenMask        uint64 = 0xff << 56
)

// health counts the consecutive failures of a member or of a zone.
type health struct {
	failures int
	retryAt  time.Duration // end of the backoff: nothing is sent earlier
	ejected  bool
}

// placement is a change of a member's load that its reports may not include yet.
type placement struct {
	at   time.Duration
	load float64
}

// zone is the state of the members of a zone together.
type zone struct {
	health
	fill float64 // mean fill of its members, from the reports that this relay received
}

// member is an Endpoint of the list with the state that this Balancer has learned of it. It is not
// the core's member type, which also covers names, addresses and ejections by operators.
type member struct {
	Endpoint
	health
	owner             int  // tenant whose home slice it belongs to
	inCanary          bool // it belongs to the canary group
	report            Report
	reportedAt        time.Duration // when the latest report arrived
	reportChangedAt   time.Duration // when the values of report were first seen
	rawReport         Report        // latest report as received; ObserveLatency changes report
	rawReportAt       time.Duration // when the values of rawReport were first seen
	previousLoad      float64       // load in the report before rawReport
	hasReport         bool
	rank              float64 // for the affinity key that is being placed
	consecutiveFull   int     // consecutive attempts that ended with Full
	probing           bool
	migratedAt        time.Duration // when this relay last migrated connections from it because of its load
	capacity          float64       // learned capacity, in connections
	reportCount       float64       // number of reports from which capacity was learned, up to a limit
	pendingPlacements []placement
	placedAt          time.Duration // time of the latest placement
	conns             []*request    // this relay's attempts and open connections at the member
	ownFlows          float64       // length of conns
	foreignFlows      float64       // number of conns that are foreign: placed outside their home slice

	// Send budget during the warm-up, in mean loads.
	slowStartTokens     float64
	slowStartOffset     float64 // random offset of this relay in the budget, so that not all relays send at once
	slowStartSent       float64
	slowStartRefilledAt time.Duration
}

// request is the state of a request until it has its final answer and no attempt in flight. Whether
// another attempt or answer is allowed depends on this state alone.
type request struct {
	Request
	load          float64 // 0 if unknown
	arrivedAt     time.Duration
	attempts      int
	stage         int // stage that placement has reached: stageHomeSlice to stageEverywhere
	probedStage   int // number of stages for which members were probed
	pendingProbes int // probes whose answers it waits for
	pendingTimers int // retry timers that are set; only the last to expire has an effect
	triedMembers  []MemberID
	member        *member // of the attempt in flight or of the open connection
	foreign       bool    // placed outside its home slice
	canary        bool    // assigned to the canary group
	inFlight      bool    // an attempt was sent and has not ended
	established   bool
	migrated      bool // the client was asked to reconnect
	answered      bool // the request has its final answer
	mayHaveRun    bool // an attempt may have run
	firstRunAt    time.Duration
	firstRunOn    Endpoint
}

// kind holds decaying sums over the reports of members of one kind. Their ratio is the capacity, in
// connections, per unit of weight.
type kind struct{ connections, weightedLoad float64 }

// Balancer makes the decisions of one relay. See the package comment.
type Balancer struct {
	cfg      Settings
	executor Executor
	rng      *rand.Rand

	members    []*member // sorted by ID
	byID       map[MemberID]*member
	zones      []zone
	kinds      map[int]*kind
	homeSlices [][]*member // per tenant, over all zones; nil until needed

	requests     map[RequestID]*request
	probeWaiters map[MemberID][]RequestID

	lendingThresholds []float64 // per tenant: fraction of its members' capacity that foreign connections may use
	openByTenant      []float64 // this relay's connections per tenant
	ownFlows          float64
	foreignFlows      float64
	meanLoad          float64
	classLoad         []float64
	admissionRate     float64 // fraction of its requests that the relay sends; lower while attempts fail
	rejectionRate     float64 // fraction of the recent requests that were rejected
	probeTokens       float64 // number of probes that may be sent
	// Number of relays that share budgets: Settings.Balancers until ActiveRelays changes it.
	activeRelays float64

	watching    bool
	failedPolls int // consecutive

	minObjective        time.Duration // the shortest latency objective of all classes
	maxDeadline         time.Duration
	minMessageObjective time.Duration

	canary          CanaryGroup
	canaryOverflows uint64 // connections assigned to the canary group that were placed without it
}

// inCanary reports whether a member belongs to the canary group.
func (b *Balancer) inCanary(id MemberID) bool {
	return b.canary.Contains != nil && b.canary.Contains(id)
}

// isCanaryFlow reports whether a connection is assigned to the canary group.
func (b *Balancer) isCanaryFlow(q Request) bool {
	return b.canary.Assigned != nil && !q.MidFlow && b.canary.Assigned(cmp.Or(q.Group, q.Key))
}

// hasGroup reports whether the member has connections of a group from this relay.
func (m *member) hasGroup(group uint64) bool {
	return slices.ContainsFunc(m.conns, func(r *request) bool { return r.Group == group })
}

// attach adds a connection to a member.
func (b *Balancer) attach(now time.Duration, r *request, m *member) {
	r.member = m
	m.pendingPlacements, m.placedAt = append(m.pendingPlacements, placement{now, b.loadOf(r)}), now
	b.countFlow(r, m, 1)
}

// detach removes a connection from its member.
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

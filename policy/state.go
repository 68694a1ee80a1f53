package policy

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// This file holds what a Balancer remembers; it decides nothing.

// What a timer is for stands in the top byte of its token, the request in the rest.
const (
	tokenDeadline    uint64 = iota << 56
	tokenRetry       uint64 = iota << 56
	tokenPoll        uint64 = iota << 56
	tokenHealthCheck uint64 = iota << 56
	tokenMask        uint64 = 0xff << 56
)

// health counts failures in a row. It is kept for each server and each zone.
type health struct {
	failures int
	retryAt  time.Duration // not to be used before; then a probe must succeed first
	ejected  bool
}

// placement is a change of load that a server's report cannot know of yet.
type placement struct {
	at   time.Duration
	load float64
}

type zone struct {
	health
	fill float64 // mean fill of its servers as this proxy's reports show it
}

type server struct {
	Server
	health
	owner                  int  // tenant whose slice it belongs to
	inCanary               bool // it is of a canary's arm
	report                 Report
	reportedAt             time.Duration // when the report came
	reportChangedAt        time.Duration // when these values were first seen
	rawReport              Report        // the last one as it came
	rawReportAt            time.Duration // when that was first seen
	previousLoad           float64       // the load that the one before told
	hasReport              bool
	rank                   float64 // place in the order of the key being placed
	consecutiveFull        int     // times in a row that it answered full
	probing                bool
	relievedAt             time.Duration // when own connections were last moved off it for its load
	capacity               float64       // learned capacity, in connections
	reportCount            float64
	pendingPlacements      []placement
	placedAt               time.Duration // when the last one was
	conns                  []*request    // own connections here, those being set up included
	ownFlows, foreignFlows float64       // how many they are, and the foreign ones of them
	slowStartTokens        float64
	slowStartOffset        float64 // where this proxy stands among all in the budget of a cold server
	slowStartSent          float64
	slowStartRefilledAt    time.Duration
}

// request is the one owner of what may still be done for a request.
type request struct {
	Request
	load          float64 // 0 while it is unknown
	arrivedAt     time.Duration
	attempts      int
	stage         int // how far placement has looked: own slice, own zone, everywhere
	probedStage   int // the stage up to which it has asked for reports
	pendingProbes int // probes it waits for
	pendingTimers int // guards against late wait timers
	triedServers  []ServerID
	server        *server // where the open attempt went
	foreign       bool
	canary        bool // it is drawn for a canary's arm
	inFlight      bool // an attempt is out
	established   bool
	migrated      bool // probedStage to come again
	answered      bool // has its final answer
	mayHaveRun    bool // an attempt may have run
	firstRunAt    time.Duration
	firstRunOn    Server
}

type kind struct{ inflight, capacity float64 } // sums that give the capacity of one unit of weight

// Balancer decides for one proxy.
type Balancer struct {
	cfg                 Settings
	executor            Executor
	rng                 *rand.Rand
	servers             []*server // in order of id
	byID                map[ServerID]*server
	zones               []zone
	requests            map[RequestID]*request
	probeWaiters        map[ServerID][]RequestID
	homeSlices          [][]*server // home slice of each tenant, all zones
	lendingThresholds   []float64   // threshold of each tenant's servers, as a part of k
	openByTenant        []float64   // own open connections of each tenant
	ownFlows            float64
	foreignFlows        float64
	kinds               map[int]*kind
	meanLoad            float64
	classLoad           []float64
	admissionRate       float64 // part of its requests that it sends, less while setting up fails
	probeTokens         float64 // probes it may send
	rejectionRate       float64 // part of the requests that were refused lately
	activeRelays        float64 // by how many budgets are divided that all share: as many as are configured until news says otherwise
	watching            bool
	failedPolls         int // calls for the list that failed in a row
	minObjective        time.Duration
	maxDeadline         time.Duration
	minMessageObjective time.Duration // the shortest of all classes
	canary              CanaryGroup
	canaryOverflows     uint64 // connections that were drawn for an arm and went elsewhere
}

// inCanary and isCanaryFlow ask the news of arms, if there was any.
func (b *Balancer) inCanary(id ServerID) bool {
	return b.canary.Contains != nil && b.canary.Contains(id)
}
func (b *Balancer) isCanaryFlow(q Request) bool {
	return b.canary.Assigned != nil && !q.MidFlow && b.canary.Assigned(cmp.Or(q.Group, q.Key))
}

// hasGroup says whether own connections of a group are there.
func (s *server) hasGroup(group uint64) bool {
	return slices.ContainsFunc(s.conns, func(r *request) bool { return r.Group == group })
}

// attach and vacate keep count of what is where.
func (b *Balancer) attach(now time.Duration, r *request, s *server) {
	r.server = s
	s.pendingPlacements, s.placedAt = append(s.pendingPlacements, placement{now, b.loadOf(r)}), now
	b.countFlow(r, s, 1)
}

func (b *Balancer) detach(now time.Duration, r *request) {
	if s := r.server; s != nil {
		s.pendingPlacements = append(s.pendingPlacements, placement{now, -b.loadOf(r)})
		b.countFlow(r, s, -1)
		r.server, r.inFlight = nil, false
	}
}

func (b *Balancer) countFlow(r *request, s *server, n float64) {
	if n > 0 {
		s.conns = append(s.conns, r)
	} else if i := slices.Index(s.conns, r); i >= 0 {
		s.conns = slices.Delete(s.conns, i, i+1)
	}
	s.ownFlows += n
	b.ownFlows += n
	b.openByTenant[r.Tenant] += n
	if r.foreign {
		s.foreignFlows += n
		b.foreignFlows += n
	}
}

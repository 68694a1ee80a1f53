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
	tokenDeadline uint64 = iota << 56
	tokenWait     uint64 = iota << 56
	tokenWatch    uint64 = iota << 56
	tokenLook     uint64 = iota << 56
	tokenMask     uint64 = 0xff << 56
)

// health counts failures in a row. It is kept for each server and each zone.
type health struct {
	fails int
	until time.Duration // not to be used before; then a probe must succeed first
	bad   bool
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
	owner        int  // tenant whose slice it belongs to
	arm          bool // it is of a canary's arm
	report       Report
	reported     time.Duration // when the report came
	since        time.Duration // when these values were first seen
	told         Report        // the last one as it came
	toldAt       time.Duration // when that was first seen
	before       float64       // the load that the one before told
	has          bool
	rank         float64 // place in the order of the key being placed
	fulls        int     // times in a row that it answered full
	probing      bool
	relieved     time.Duration // when own connections were last moved off it for its load
	capacity     float64       // learned capacity, in connections
	reports      float64
	recent       []placement
	placed       time.Duration // when the last one was
	conns        []*request    // own connections here, those being set up included
	mine, alien  float64       // how many they are, and the foreign ones of them
	coldTokens   float64
	coldDraw     float64 // where this proxy stands among all in the budget of a cold server
	coldSent     float64
	coldRefilled time.Duration
}

// request is the one owner of what may still be done for a request.
type request struct {
	Request
	load        float64 // 0 while it is unknown
	arrived     time.Duration
	tries       int
	stage       int // how far placement has looked: own slice, own zone, everywhere
	asked       int // the stage up to which it has asked for reports
	waiting     int // probes it waits for
	round       int // guards against late wait timers
	tried       []ServerID
	at          *server // where the open attempt went
	foreign     bool
	arm         bool // it is drawn for a canary's arm
	open        bool // an attempt is out
	established bool
	moved       bool // asked to come again
	done        bool // has its final answer
	ran         bool // an attempt may have run
	ranAt       time.Duration
	ranOn       Server
}

type kind struct{ inflight, capacity float64 } // sums that give the capacity of one unit of weight

// Balancer decides for one proxy.
type Balancer struct {
	set        Settings
	act        Executor
	rng        *rand.Rand
	servers    []*server // in order of id
	byID       map[ServerID]*server
	zones      []zone
	requests   map[RequestID]*request
	waiters    map[ServerID][]RequestID
	slices     [][]*server // home slice of each tenant, all zones
	h          []float64   // threshold of each tenant's servers, as a part of k
	held       []float64   // own open connections of each tenant
	mine       float64
	alien      float64
	kinds      map[int]*kind
	meanLoad   float64
	classLoad  []float64
	daring     float64 // part of its requests that it sends, less while setting up fails
	tokens     float64 // probes it may send
	pressed    float64 // part of the requests that were refused lately
	relays     float64 // by how many budgets are divided that all share: as many as are configured until news says otherwise
	watching   bool
	asked      int // calls for the list that failed in a row
	horizon    time.Duration
	slowest    time.Duration
	messageAim time.Duration // the shortest of all classes
	arms       CanaryGroup
	strayed    uint64 // connections that were drawn for an arm and went elsewhere
}

// inArm and isDrawn ask the news of arms, if there was any.
func (b *Balancer) inArm(id ServerID) bool { return b.arms.Contains != nil && b.arms.Contains(id) }
func (b *Balancer) isDrawn(q Request) bool {
	return b.arms.Assigned != nil && !q.MidFlow && b.arms.Assigned(cmp.Or(q.Group, q.Key))
}

// holds says whether own connections of a group are there.
func (s *server) holds(group uint64) bool {
	return slices.ContainsFunc(s.conns, func(r *request) bool { return r.Group == group })
}

// occupy and vacate keep count of what is where.
func (b *Balancer) occupy(now time.Duration, r *request, s *server) {
	r.at = s
	s.recent, s.placed = append(s.recent, placement{now, b.loadOf(r)}), now
	b.count(r, s, 1)
}

func (b *Balancer) vacate(now time.Duration, r *request) {
	if s := r.at; s != nil {
		s.recent = append(s.recent, placement{now, -b.loadOf(r)})
		b.count(r, s, -1)
		r.at, r.open = nil, false
	}
}

func (b *Balancer) count(r *request, s *server, n float64) {
	if n > 0 {
		s.conns = append(s.conns, r)
	} else if i := slices.Index(s.conns, r); i >= 0 {
		s.conns = slices.Delete(s.conns, i, i+1)
	}
	s.mine += n
	b.mine += n
	b.held[r.Tenant] += n
	if r.foreign {
		s.alien += n
		b.alien += n
	}
}

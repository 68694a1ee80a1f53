// Package loadestimate estimates the load of pool members that report none from what this
// relay sees of them, and supplies the capacity of members that report but are idle. It
// does no I/O. See docs/design/nats.md, "Members without load reports".
package loadestimate

import (
	"time"

	"dahliarudder/policy"
)

const (
	// minLoad is the load under which a member's report shows nothing of its capacity; the
	// policy learns a capacity from loads over 0.05.
	minLoad = 0.06
	// latencyNoise is how far over its best latency a member may answer without that being
	// taken for a backlog: the noise of the network and of the relay's own loop.
	latencyNoise = 5 * time.Millisecond
	// learningRate is the weight of one answer, and forgetRate how fast the best latency is
	// forgotten, so that a member that has moved farther away does not look slow forever.
	learningRate = 0.25
	forgetRate   = 1.0 / 256
)

// Estimator estimates the load of members.
type Estimator struct {
	Capacity float64 // flows that fill a member
	Relays   float64 // that are assumed to hold as many flows as this one
	members  map[policy.MemberID]*memberEstimate
}

// memberEstimate is what is known of a member, in seconds.
type memberEstimate struct{ bestLatency, lateness float64 }

// New makes an Estimator.
func New(capacity, relays int) *Estimator {
	return &Estimator{Capacity: max(float64(capacity), 1), Relays: max(float64(relays), 1),
		members: map[policy.MemberID]*memberEstimate{}}
}

// ObserveLatency takes how long a member took for an answer.
func (e *Estimator) ObserveLatency(id policy.MemberID, latency time.Duration) {
	t := latency.Seconds()
	m := e.members[id]
	if m == nil {
		m = &memberEstimate{bestLatency: t}
		e.members[id] = m
	}
	if t < m.bestLatency {
		m.bestLatency = t
	}
	m.lateness += learningRate * (max(t-m.bestLatency-latencyNoise.Seconds(), 0) - m.lateness)
	m.bestLatency += forgetRate * (t - m.bestLatency)
}

// Forget drops members that are not known any more.
func (e *Estimator) Forget(known func(policy.MemberID) bool) {
	for id := range e.members {
		if !known(id) {
			delete(e.members, id)
		}
	}
}

// Report is the estimated load report of a member: the flows of all relays against its
// capacity, and the lateness of its answers as its backlog.
func (e *Estimator) Report(id policy.MemberID, flows int) policy.Report {
	r := policy.NoReport
	r.Load, r.Backlog = float64(flows)*e.Relays/e.Capacity, 0
	if m := e.members[id]; m != nil {
		r.Backlog = m.lateness
	}
	r.Connections = float64(flows) * e.Relays
	return e.FillMissing(r)
}

// FillMissing puts the configured capacity in place of what an idle member's report does not show.
func (e *Estimator) FillMissing(r policy.Report) policy.Report {
	if r.Load >= 0 && r.Load < minLoad && r.Connections < minLoad*e.Capacity {
		r.Load, r.Connections = minLoad, minLoad*e.Capacity
	}
	return r
}

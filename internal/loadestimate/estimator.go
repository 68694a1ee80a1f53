// Package loadestimate estimates the load of pool members that send no load reports, from the
// flows and latencies that this relay observes. For members that report but are idle, it supplies
// the capacity. It does no I/O. See docs/design/nats.md, "Members without load reports".
package loadestimate

import (
	"time"

	"dahliarudder/policy"
)

const (
	// minLoad is the lowest load of a report that the capacity of a member can be derived from:
	// the policy learns a capacity only from loads over 0.05.
	minLoad = 0.06
	// latencyNoise is how far a latency may exceed the best latency of the member without counting
	// as backlog. It covers variations of the network and of the relay's own event loop.
	latencyNoise = 5 * time.Millisecond
	// learningRate is the weight of a new latency in the moving average of the lateness.
	learningRate = 0.25
	// forgetRate is the weight of a new latency in the best latency, so that a member that has
	// become more distant is not taken for overloaded forever.
	forgetRate = 1.0 / 256
)

// Estimator estimates the load of members.
type Estimator struct {
	Capacity float64 // number of flows at which a member has a load of 1
	Relays   float64 // number of relays; each is assumed to hold as many flows as this one
	members  map[policy.MemberID]*memberEstimate
}

// memberEstimate is what this relay has learned of a member from its latencies, in seconds.
type memberEstimate struct {
	bestLatency float64
	lateness    float64 // average excess over bestLatency and latencyNoise
}

// New returns an Estimator. A capacity or a number of relays below 1 counts as 1.
func New(capacity, relays int) *Estimator {
	return &Estimator{Capacity: max(float64(capacity), 1), Relays: max(float64(relays), 1),
		members: map[policy.MemberID]*memberEstimate{}}
}

// ObserveLatency records how long a member took to answer.
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

// Forget drops the estimates of the members for which known returns false.
func (e *Estimator) Forget(known func(policy.MemberID) bool) {
	for id := range e.members {
		if !known(id) {
			delete(e.members, id)
		}
	}
}

// Report returns the estimated load report of a member at which this relay has flows flows. The
// load is the estimated flows of all relays divided by the capacity; the backlog, in seconds, is
// how much later than usual the member answers.
func (e *Estimator) Report(id policy.MemberID, flows int) policy.Report {
	r := policy.NoReport
	r.Load, r.Backlog = float64(flows)*e.Relays/e.Capacity, 0
	if m := e.members[id]; m != nil {
		r.Backlog = m.lateness
	}
	r.Connections = float64(flows) * e.Relays
	return e.FillMissing(r)
}

// FillMissing returns the report r; if its load is too low to derive a capacity from it, the load
// and the connections are replaced so that they yield the configured capacity.
func (e *Estimator) FillMissing(r policy.Report) policy.Report {
	if r.Load >= 0 && r.Load < minLoad && r.Connections < minLoad*e.Capacity {
		r.Load, r.Connections = minLoad, minLoad*e.Capacity
	}
	return r
}

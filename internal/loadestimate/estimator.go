// Package loadestimate takes a pool member's load from what this relay sees of it, for members that
// report none, and says how wide a member is that reports but stands idle. It does no I/O. See
// docs/design/nats.md, "Members without load reports".
package loadestimate

import (
	"time"

	"dahliarudder/policy"
)

const (
	// minLoad is the load under which a member's report tells nothing of its width; the module
	// learns a width from loads over 0.05.
	minLoad = 0.06
	// latencyNoise is how much later than at its best a member may answer without it being taken
	// for work piled up: the noise of a network and of the relay's own loop.
	latencyNoise = 5 * time.Millisecond
	// learningRate is the weight of one answer, and forget how fast the best answer is forgotten,
	// so that a member that has moved farther away is not taken for a slow one for good.
	learningRate = 0.25
	forgetRate   = 1.0 / 256
)

// Estimator is what is known of the members.
type Estimator struct {
	Capacity float64 // flows that fill a member
	Relays   float64 // that are taken to hold as many flows as this one
	members  map[policy.ServerID]*memberEstimate
}

type memberEstimate struct{ bestLatency, lateness float64 } // seconds

// New makes a Gauge.
func New(width, relays int) *Estimator {
	return &Estimator{Capacity: max(float64(width), 1), Relays: max(float64(relays), 1), members: map[policy.ServerID]*memberEstimate{}}
}

// ObserveLatency says how long a member took for an answer.
func (g *Estimator) ObserveLatency(id policy.ServerID, took time.Duration) {
	t := took.Seconds()
	m := g.members[id]
	if m == nil {
		m = &memberEstimate{bestLatency: t}
		g.members[id] = m
	}
	if t < m.bestLatency {
		m.bestLatency = t
	}
	m.lateness += learningRate * (max(t-m.bestLatency-latencyNoise.Seconds(), 0) - m.lateness)
	m.bestLatency += forgetRate * (t - m.bestLatency)
}

// Forget drops members that the pool no longer names.
func (g *Estimator) Forget(known func(policy.ServerID) bool) {
	for id := range g.members {
		if !known(id) {
			delete(g.members, id)
		}
	}
}

// Report is what a member would report, as far as the relay can see: flows held by all relays
// against its width, and the lateness of its answers as seconds of work piled up.
func (g *Estimator) Report(id policy.ServerID, flows int) policy.Report {
	r := policy.NoReport
	r.Load, r.Backlog = float64(flows)*g.Relays/g.Capacity, 0
	if m := g.members[id]; m != nil {
		r.Backlog = m.lateness
	}
	r.Connections = float64(flows) * g.Relays
	return g.FillMissing(r)
}

// FillMissing puts the configured width in the place of what an idle member does not tell.
func (g *Estimator) FillMissing(r policy.Report) policy.Report {
	if r.Load >= 0 && r.Load < minLoad && r.Connections < minLoad*g.Capacity {
		r.Load, r.Connections = minLoad, minLoad*g.Capacity
	}
	return r
}

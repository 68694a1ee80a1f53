// Package loadestimate takes a pool member's load from what this relay sees of it, for members that
// report none, and says how wide a member is that reports but stands idle. It does no I/O. See
// docs/design/nats.md, "Members without load reports".
package loadestimate

import (
	"time"

	"dahliarudder/policy"
)

const (
	// idle is the load under which a member's report tells nothing of its width; the module
	// learns a width from loads over 0.05.
	idle = 0.06
	// still is how much later than at its best a member may answer without it being taken
	// for work piled up: the noise of a network and of the relay's own loop.
	still = 5 * time.Millisecond
	// learn is the weight of one answer, and forget how fast the best answer is forgotten,
	// so that a member that has moved farther away is not taken for a slow one for good.
	learn  = 0.25
	forget = 1.0 / 256
)

// Estimator is what is known of the members.
type Estimator struct {
	Capacity float64 // flows that fill a member
	Relays   float64 // that are taken to hold as many flows as this one
	seen     map[policy.ServerID]*member
}

type member struct{ best, late float64 } // seconds

// New makes a Gauge.
func New(width, relays int) *Estimator {
	return &Estimator{Capacity: max(float64(width), 1), Relays: max(float64(relays), 1), seen: map[policy.ServerID]*member{}}
}

// ObserveLatency says how long a member took for an answer.
func (g *Estimator) ObserveLatency(id policy.ServerID, took time.Duration) {
	t := took.Seconds()
	m := g.seen[id]
	if m == nil {
		m = &member{best: t}
		g.seen[id] = m
	}
	if t < m.best {
		m.best = t
	}
	m.late += learn * (max(t-m.best-still.Seconds(), 0) - m.late)
	m.best += forget * (t - m.best)
}

// Forget drops members that the pool no longer names.
func (g *Estimator) Forget(known func(policy.ServerID) bool) {
	for id := range g.seen {
		if !known(id) {
			delete(g.seen, id)
		}
	}
}

// Report is what a member would report, as far as the relay can see: flows held by all relays
// against its width, and the lateness of its answers as seconds of work piled up.
func (g *Estimator) Report(id policy.ServerID, flows int) policy.Report {
	r := policy.NoReport
	r.Load, r.Backlog = float64(flows)*g.Relays/g.Capacity, 0
	if m := g.seen[id]; m != nil {
		r.Backlog = m.late
	}
	r.Connections = float64(flows) * g.Relays
	return g.FillMissing(r)
}

// FillMissing puts the configured width in the place of what an idle member does not tell.
func (g *Estimator) FillMissing(r policy.Report) policy.Report {
	if r.Load >= 0 && r.Load < idle && r.Connections < idle*g.Capacity {
		r.Load, r.Connections = idle, idle*g.Capacity
	}
	return r
}

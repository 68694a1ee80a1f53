package policy

import (
	"cmp"
	"math"
	"time"
)

// This file is a connection's arrival.

// Request takes a connection that a client wants.
func (b *Balancer) Request(now time.Duration, q Request) {
	if b.requests[q.ID] != nil {
		return
	}
	r := b.admit(now, q)
	b.tokens = max(b.tokens, min(b.tokens+b.probeAllowance(), 3*probeMost))
	if left := q.Deadline - b.set.AnswerSlack - now; left > 0 {
		b.act.Timer(left, tokenDeadline|uint64(q.ID))
		b.place(now, r)
	} else {
		b.end(r)
	}
}

// AddExisting takes a connection that was open through this proxy at its start.
func (b *Balancer) AddExisting(now time.Duration, q Request, id ServerID) {
	if b.requests[q.ID] != nil {
		return
	}
	r := b.admit(now, q)
	r.tries, r.established, r.done = 1, true, true
	b.tokens += b.probeAllowance() // it was a request once, and has to be looked after all the same
	if s := b.byID[id]; s != nil {
		b.occupy(now, r, s)
		s.recent = nil // its reports know of it
	} else {
		delete(b.requests, q.ID)
	}
}

func (b *Balancer) admit(now time.Duration, q Request) *request {
	q.Class = min(max(q.Class, 0), len(b.set.Classes)-1)
	q.Tenant = min(max(q.Tenant, 0), len(b.set.Tenants)-1)
	r := &request{Request: q, arrived: now, arm: b.isDrawn(q)}
	if q.Load > 0 && !math.IsInf(q.Load, 1) {
		r.load = q.Load
	}
	if load := cmp.Or(r.load, b.classLoad[q.Class]); load > 0 { // a guess teaches nothing
		b.meanLoad = cmp.Or(b.meanLoad, load)
		b.meanLoad += learn / 4 * (load - b.meanLoad)
	}
	b.requests[q.ID] = r
	return r
}

// loadOf is the load of a connection as far as it is known by now: what left a server is worth no more there
// than what came.
func (b *Balancer) loadOf(r *request) float64 {
	return cmp.Or(r.load, b.classLoad[r.Class], b.unit())
}

// unit is the mean load of a connection. Capacities are kept as connections and turned into load by it, since
// what a connection's load is may be known only later than how many fill a server.
func (b *Balancer) unit() float64 { return cmp.Or(b.meanLoad, 1) }

func (b *Balancer) probeAllowance() float64 {
	if !b.set.CanProbe || b.set.Reports == ReportsOff {
		return 0
	}
	return min(probeBudget/max(b.set.ProbePrice, 1e-9), probeMost)
}

// affinity is the key by which connections belong on one server, 0 if none.
func (b *Balancer) affinity(r *request) uint64 {
	if b.set.Groups && r.Group != 0 {
		return r.Group
	}
	if b.set.PassThrough { // another proxy must find the same server for packets of an open connection
		return r.Key
	}
	return 0
}

package policy

import (
	"cmp"
	"math"
	"time"
)

// This file holds the arrival of connections.

// Request takes a connection that a client wants.
func (b *Balancer) Request(now time.Duration, q Request) {
	if b.requests[q.ID] != nil {
		return
	}
	r := b.newRequest(now, q)
	b.probeTokens = max(b.probeTokens, min(b.probeTokens+b.probeAllowance(), 3*maxProbes))
	if left := q.Deadline - b.cfg.AnswerSlack - now; left > 0 {
		b.executor.Timer(left, tokenDeadline|uint64(q.ID))
		b.place(now, r)
	} else {
		b.finish(r)
	}
}

// AddExisting takes a connection that was open through this proxy at its start.
func (b *Balancer) AddExisting(now time.Duration, q Request, id MemberID) {
	if b.requests[q.ID] != nil {
		return
	}
	r := b.newRequest(now, q)
	r.attempts, r.established, r.answered = 1, true, true
	b.probeTokens += b.probeAllowance() // it was a request once, and its server is to be probed all the same
	if m := b.byID[id]; m != nil {
		b.attach(now, r, m)
		m.pendingPlacements = nil // the server's reports include it already
	} else {
		delete(b.requests, q.ID)
	}
}

func (b *Balancer) newRequest(now time.Duration, q Request) *request {
	q.Class = min(max(q.Class, 0), len(b.cfg.Classes)-1)
	q.Tenant = min(max(q.Tenant, 0), len(b.cfg.Tenants)-1)
	r := &request{Request: q, arrivedAt: now, canary: b.isCanaryFlow(q)}
	if q.Load > 0 && !math.IsInf(q.Load, 1) {
		r.load = q.Load
	}
	if load := cmp.Or(r.load, b.classLoad[q.Class]); load > 0 { // a default would teach the mean nothing
		b.meanLoad = cmp.Or(b.meanLoad, load)
		b.meanLoad += learningRate / 4 * (load - b.meanLoad)
	}
	b.requests[q.ID] = r
	return r
}

// loadOf is the load of a connection as far as it is known now: its own, else its class's mean, else the
// mean of all. Attach and detach use the same value, so that what a connection frees is what it took.
func (b *Balancer) loadOf(r *request) float64 {
	return cmp.Or(r.load, b.classLoad[r.Class], b.unitLoad())
}

// unitLoad is the mean load of a connection. Capacities are kept in connections and multiplied by it, since
// the load of a connection may be known only after the number of connections that fill a server.
func (b *Balancer) unitLoad() float64 { return cmp.Or(b.meanLoad, 1) }

// probeAllowance is how many probes one request may pay for; 0 if probes are off.
func (b *Balancer) probeAllowance() float64 {
	if !b.cfg.CanProbe || b.cfg.Reports == ReportsOff {
		return 0
	}
	return min(probeBudget/max(b.cfg.ProbePrice, 1e-9), maxProbes)
}

// affinityKey is the key by which connections belong on one server, 0 if none.
func (b *Balancer) affinityKey(r *request) uint64 {
	if b.cfg.Groups && r.Group != 0 {
		return r.Group
	}
	if b.cfg.PassThrough { // another proxy must find the same server for packets of an open connection
		return r.Key
	}
	return 0
}

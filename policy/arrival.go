package policy

import (
	"cmp"
	"math"
	"time"
)

// This file handles requests and open connections that are new to the Balancer.

// Request places a connection that a client asks for.
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

// AddExisting registers a connection that was already open through this relay when it started.
func (b *Balancer) AddExisting(now time.Duration, q Request, id MemberID) {
	if b.requests[q.ID] != nil {
		return
	}
	r := b.newRequest(now, q)
	r.attempts, r.established, r.answered = 1, true, true
	b.probeTokens += b.probeAllowance() // as for a request: its member needs probes as well
	if m := b.byID[id]; m != nil {
		b.attach(now, r, m)
		m.pendingPlacements = nil // the member's reports already include it
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
	if load := cmp.Or(r.load, b.classLoad[q.Class]); load > 0 { // unknown loads do not enter the mean
		b.meanLoad = cmp.Or(b.meanLoad, load)
		b.meanLoad += learningRate / 4 * (load - b.meanLoad)
	}
	b.requests[q.ID] = r
	return r
}

// loadOf returns the load of a connection: its own if known, otherwise the mean of its class,
// otherwise the mean of all connections. attach and detach both use it, so that a connection
// releases at its end the load that it was counted with.
func (b *Balancer) loadOf(r *request) float64 {
	return cmp.Or(r.load, b.classLoad[r.Class], b.unitLoad())
}

// unitLoad returns the mean load of a connection. Capacities are stored in connections and
// multiplied by unitLoad, since the number of connections that fill a member may be known before
// the load of one connection is.
func (b *Balancer) unitLoad() float64 { return cmp.Or(b.meanLoad, 1) }

// probeAllowance returns how many probes one request may pay for; 0 if probes are off.
func (b *Balancer) probeAllowance() float64 {
	if !b.cfg.CanProbe || b.cfg.Reports == ReportsOff {
		return 0
	}
	return min(probeBudget/max(b.cfg.ProbePrice, 1e-9), maxProbes)
}

// affinityKey returns the key by which connections belong on the same member; 0 if there is none.
func (b *Balancer) affinityKey(r *request) uint64 {
	if b.cfg.Groups && r.Group != 0 {
		return r.Group
	}
	if b.cfg.PassThrough { // another relay must find the same member for packets of an open connection
		return r.Key
	}
	return 0
}

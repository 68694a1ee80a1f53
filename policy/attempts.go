package policy

import "time"

// This file holds the rules on attempts and final answers: every one of them goes through here.

// maySendTo reports whether the rules allow an attempt on the server now.
func (r *request) maySendTo(b *Balancer, now time.Duration, m *member) bool {
	if r.answered || r.inFlight || r.attempts >= b.cfg.MaxAttempts || now >= r.Deadline || m.State != Ready {
		return false
	}
	if !r.mayHaveRun || m.inCanary != r.canary {
		return m.inCanary == r.canary
	}
	switch c := b.cfg.Classes[r.Class]; c.Idempotency {
	case Idempotent:
		return true
	case IdempotencyKey:
		return now < r.firstRunAt+c.DedupWindow &&
			(c.Scope == ScopeAll || c.Scope == ScopeZone && m.Zone == r.firstRunOn.Zone ||
				c.Scope == ScopeCell && m.Cell == r.firstRunOn.Cell)
	}
	return false
}

// mayReject reports whether the client may be answered that a further try is harmless.
func (r *request) mayReject(b *Balancer) bool {
	c := b.cfg.Classes[r.Class]
	return c.Idempotency == Idempotent || !r.mayHaveRun && !r.inFlight ||
		c.Idempotency == IdempotencyKey && c.Scope == ScopeAll
}

// send starts an attempt if the rules allow it.
func (b *Balancer) send(now time.Duration, r *request, m *member, foreign bool) {
	if !r.maySendTo(b, now, m) {
		return
	}
	left := r.Deadline - now
	// A server that accepts an attempt and never answers must leave time for another attempt.
	timeout := max(b.cfg.Classes[r.Class].LatencyObjective, left*6/10)
	if r.attempts+1 >= b.cfg.MaxAttempts || timeout >= left {
		timeout = 0
	}
	r.attempts++
	r.inFlight = true
	r.foreign = foreign
	r.triedMembers = append(r.triedMembers, m.ID)
	if !r.mayHaveRun {
		r.firstRunAt, r.firstRunOn = now, m.Endpoint
	}
	m.slowStartTokens -= b.loadOf(r) / b.unitLoad()
	m.slowStartSent += b.loadOf(r) / b.unitLoad()
	b.attach(now, r, m)
	if !foreign {
		b.adaptLending(r, lendStep*lendTolerance)
	}
	b.executor.Send(r.ID, m.ID, timeout)
}

// finish gives the final answer that the rules allow, to a request that has none.
func (b *Balancer) finish(r *request) {
	r.answered = true
	if r.mayReject(b) {
		// By then there are new reports, and as many attempts have passed as it takes to be admitted now; spread,
		// so that clients that were rejected together do not come back together. See docs/design.md, "Coming
		// again".
		b.rejectionRate += learningRate * (1 - b.rejectionRate)
		retryAfter := float64(b.minObjective) / max(1-b.rejectionRate, learningRate)
		retryAfter = min(retryAfter, float64(b.cfg.MaxRetryAfter)/1.5)
		b.executor.Reject(r.ID, time.Duration(retryAfter*(0.5+b.rng.Float64())))
	} else {
		b.executor.Fail(r.ID)
	}
	if r.inFlight && b.cfg.CanCancel {
		b.executor.Cancel(r.ID, r.attempts-1)
	}
	b.forget(r)
}

// forget drops a request once it is answered and none of its attempts is in flight.
func (b *Balancer) forget(r *request) {
	if r.answered && r.member == nil {
		delete(b.requests, r.ID)
	}
}

package policy

import "time"

// This file enforces the rules on attempts and final answers: every attempt and every final answer
// goes through it.

// maySendTo reports whether the rules allow an attempt of the request at the member now.
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

// mayReject reports whether the rules allow the answer that a retry is safe.
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
	// If the member accepts the attempt and never answers, there must be time left for another
	// attempt.
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
		// The delay leaves time for new reports. It grows with the number of attempts that a client
		// needs on average until it is admitted, at the current rejection rate, and is randomized so
		// that clients rejected together do not return together. See docs/design.md, "Coming again".
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

// forget drops a request that has its final answer and no attempt in flight.
func (b *Balancer) forget(r *request) {
	if r.answered && r.member == nil {
		delete(b.requests, r.ID)
	}
}

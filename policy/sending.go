package policy

import (
	"time"
)

// This file is what may be done for a request: every send and every final answer goes through here.

// maySendTo says whether the rules allow an attempt on the server now.
func (r *request) maySendTo(b *Balancer, now time.Duration, s *server) bool {
	if r.done || r.open || r.tries >= b.set.MaxAttempts || now >= r.Deadline || s.State != Ready {
		return false
	}
	if !r.ran || s.arm != r.arm {
		return s.arm == r.arm
	}
	switch c := b.set.Classes[r.Class]; c.Idempotency {
	case Idempotent:
		return true
	case IdempotencyKey:
		return now < r.ranAt+c.DedupWindow && (c.Scope == ScopeAll || c.Scope == ScopeZone && s.Zone == r.ranOn.Zone ||
			c.Scope == ScopeCell && s.Cell == r.ranOn.Cell)
	}
	return false
}

func (r *request) mayRefuse(b *Balancer) bool {
	c := b.set.Classes[r.Class]
	return c.Idempotency == Idempotent || !r.ran && !r.open || c.Idempotency == IdempotencyKey && c.Scope == ScopeAll
}

func (b *Balancer) send(now time.Duration, r *request, s *server, foreign bool) {
	if !r.maySendTo(b, now, s) {
		return
	}
	left := r.Deadline - now
	// A server that takes an attempt and never answers must leave time for another try.
	timeout := max(b.set.Classes[r.Class].LatencyObjective, left*6/10)
	if r.tries+1 >= b.set.MaxAttempts || timeout >= left {
		timeout = 0
	}
	r.tries++
	r.open = true
	r.foreign = foreign
	r.tried = append(r.tried, s.ID)
	if !r.ran {
		r.ranAt, r.ranOn = now, s.Server
	}
	s.coldTokens -= b.loadOf(r) / b.unit()
	s.coldSent += b.loadOf(r) / b.unit()
	b.occupy(now, r, s)
	if !foreign {
		b.adapt(r, hStep*tolerance)
	}
	b.act.Send(r.ID, s.ID, timeout)
}

// end gives the final answer that the rules allow, to a request that has none.
func (b *Balancer) end(r *request) {
	r.done = true
	if r.mayRefuse(b) {
		// By then reports are new, and as many tries as it takes to be let in now have passed; spread, so that
		// who were refused together do not come back together. docs/design.md, "Coming again".
		b.pressed += learn * (1 - b.pressed)
		wait := min(float64(b.horizon)/max(1-b.pressed, learn), float64(b.set.MaxRetryAfter)/1.5)
		b.act.Reject(r.ID, time.Duration(wait*(0.5+b.rng.Float64())))
	} else {
		b.act.Fail(r.ID)
	}
	if r.open && b.set.CanCancel {
		b.act.Cancel(r.ID, r.tries-1)
	}
	b.forget(r)
}

// forget drops a request once it is answered and none of its attempts is out.
func (b *Balancer) forget(r *request) {
	if r.done && r.at == nil {
		delete(b.requests, r.ID)
	}
}

package scenariorunner

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"dahliarudder/internal/scenario"
	"dahliarudder/internal/settings"
	"dahliarudder/policy"
)

// sessionStream separates a session's random numbers from others drawn from the same seed.
const sessionStream = 5

// session is one client from its arrival to its end. It reconnects until its stay is over, or until
// it or the relay has ended its flow.
type session struct {
	*run
	planned    scenario.Session
	className  string
	tenantName string
	deadlineMs float64
	deadline   time.Duration
	effect     scenario.Effect
	tags       []string
	end        time.Duration
	rng        *rand.Rand

	attempts    int
	wantedSince time.Duration // when the client began to wait for a connection
	reconnects  bool          // the client was connected before
	retries     bool          // an earlier attempt failed
}

func (r *run) newSession(plan scenario.Session) *session {
	class := r.settings.Classes[plan.Class]
	s := &session{run: r, planned: plan, className: class.Name, deadlineMs: class.Deadline, deadline: settings.Duration(class.Deadline),
		effect: effectOf(r.settings.Policy().Classes[plan.Class]), end: plan.Arrival + plan.Stay, wantedSince: plan.Arrival,
		rng: rand.New(rand.NewPCG(plan.Seed, sessionStream))}
	s.tags = []string{"class " + class.Name, "zone " + site(r.settings).Zones[plan.Zone]}
	if len(r.settings.Tenants) > 0 {
		s.tenantName = r.settings.Tenants[plan.Tenant].Name
		s.tags = append(s.tags, "tenant "+s.tenantName)
	}
	return s
}

// runSession simulates one client from its arrival to its end.
func (r *run) runSession(ctx context.Context, plan scenario.Session) {
	s := r.newSession(plan)
	r.locked(func(time.Duration) { r.service.AddDemand(s.tags, plan.Arrival, s.end) })
	defer r.locked(func(time.Duration) {
		r.attempts += s.attempts
		r.maxAttempts = max(r.maxAttempts, s.attempts)
	})
	for ctx.Err() == nil && r.now() < s.end {
		wait := drawBetween(s.rng, r.File.Clients.ReconnectMs)
		if n := r.front.pick(plan.Zone, s.rng); n != nil {
			retryAfter, over := s.connect(ctx, n)
			if over {
				return
			}
			if retryAfter > 0 { // jitter keeps clients from retrying all at once
				wait = retryAfter + time.Duration(s.rng.Float64()*float64(retryAfter)/10)
			}
		}
		if !sleep(ctx, wait) {
			return
		}
	}
}

// connect makes one attempt at a relay. It returns the wait that the relay asks for, and whether the
// session is over.
func (s *session) connect(ctx context.Context, n *relay) (retryAfter time.Duration, over bool) {
	s.attempts++
	f := s.newFlow(n)
	outcome, retryAfter := f.attempt(ctx)
	s.locked(func(at time.Duration) {
		s.answers[string(outcome)]++
		s.usage[n.name].recordAnswer(at, outcome == outcomeRejected || outcome == outcomeFailed)
	})
	switch outcome {
	case outcomeEnded:
		return 0, true
	case outcomeMoved, outcomeBroken:
		s.reconnects, s.wantedSince = true, s.now()
	default:
		s.retries = true
	}
	return retryAfter, false
}

// newFlow draws an attempt's id and whether its client leaves early.
func (s *session) newFlow(n *relay) *flow {
	f := &flow{session: s, relay: n, id: fmt.Sprintf("%016x", s.rng.Uint64())}
	f.openLine = fmt.Sprintf("OPEN %s %016x c=%s,t=%s,d=%g,g=%016x,h=%.4f", f.id, s.planned.Key, s.className, s.tenantName, s.deadlineMs,
		s.planned.Group, s.planned.Load)
	if s.reconnects {
		f.openLine += ",again=1"
	} else if s.retries {
		f.openLine += ",r=1"
	}
	f.earlyLeave = s.drawEarlyLeave(s.rng, s.deadline)
	return f
}

// effectOf converts the idempotency of a class to the judge's effect.
func effectOf(class policy.Class) scenario.Effect {
	switch class.Idempotency {
	case policy.NonIdempotent:
		return scenario.Effect{Kind: scenario.NonIdempotent}
	case policy.IdempotencyKey:
		return scenario.Effect{Kind: scenario.IdempotencyKey, Window: class.DedupWindow}
	}
	return scenario.Effect{}
}

// drawBetween draws a duration between two bounds in milliseconds.
func drawBetween(rng *rand.Rand, bounds [2]float64) time.Duration {
	return scenario.Millis(bounds[0] + (bounds[1]-bounds[0])*rng.Float64())
}

package policy

import (
	"slices"
	"time"
)

// This file handles requests for which no member has capacity.

// waitForCapacity schedules another placement of a request for which no member has capacity. If
// that would be too late, it tries without the canary restriction, then a last resort, and
// otherwise ends the request.
func (b *Balancer) waitForCapacity(now time.Duration, r *request) {
	objective := b.cfg.Classes[r.Class].LatencyObjective
	delay := time.Duration(float64(objective) / 4 * (0.5 + b.rng.Float64()))
	if b.overQuota(r.Tenant) || r.attempts >= b.cfg.MaxAttempts ||
		now+delay > min(r.arrivedAt+objective, r.Deadline) ||
		r.mayHaveRun && b.cfg.Classes[r.Class].Idempotency == NonIdempotent {
		if r.canary {
			// No canary member has capacity. Capacity limits, drains and slow start take precedence
			// over the canary's share of the requests, so the request is placed elsewhere.
			r.canary, r.stage, r.probedStage = false, 0, 0
			b.canaryOverflows++
			b.place(now, r)
			return
		}
		if m := b.lastResort(now, r); m != nil {
			b.send(now, r, m, true)
			return
		}
		b.finish(r)
		return
	}
	r.stage, r.probedStage, r.triedMembers = 0, 0, r.triedMembers[:0]
	b.scheduleRetry(r, delay)
}

// lastResort returns a random member that is ejected, if at least nine in ten are: then the cause
// is probably this relay or its network, not the members. Otherwise it returns nil.
func (b *Balancer) lastResort(now time.Duration, r *request) *member {
	var ejected []*member
	usable := 0
	for _, m := range b.members {
		if m.State == Ready && !m.ejected && !b.zones[m.Zone].ejected {
			usable++
		} else if r.maySendTo(b, now, m) && b.slowStartAllows(now, r, m) && !slices.Contains(r.triedMembers, m.ID) {
			ejected = append(ejected, m)
		}
	}
	if len(ejected) == 0 || usable > len(ejected)/9 { // under nine in ten: the members have probably failed
		return nil
	}
	return ejected[b.rng.IntN(len(ejected))]
}

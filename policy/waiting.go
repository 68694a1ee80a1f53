package policy

import (
	"slices"
	"time"
)

// This file handles requests for which no server has capacity.

// waitForCapacity schedules another placement of a request for which no server had capacity, and ends the
// request once that would come too late.
func (b *Balancer) waitForCapacity(now time.Duration, r *request) {
	objective := b.cfg.Classes[r.Class].LatencyObjective
	delay := time.Duration(float64(objective) / 4 * (0.5 + b.rng.Float64()))
	if b.overQuota(r.Tenant) || r.attempts >= b.cfg.MaxAttempts ||
		now+delay > min(r.arrivedAt+objective, r.Deadline) ||
		r.mayHaveRun && b.cfg.Classes[r.Class].Idempotency == NonIdempotent {
		if r.canary { // no capacity in the canary: limits, drains and slow start go before its share
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

// lastResort is the panic mode: if nearly all servers are ejected, the failure is probably this proxy's
// own, and one of them is tried all the same.
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
	if len(ejected) == 0 || usable > len(ejected)/9 { // under nine in ten: they may well have failed
		return nil
	}
	return ejected[b.rng.IntN(len(ejected))]
}

package policy

import (
	"slices"
	"time"
)

// This file is connections that have found no room.

// waitForCapacity keeps a request that found no room for another look, and refuses it once that would come too
// late.
func (b *Balancer) waitForCapacity(now time.Duration, r *request) {
	aim := b.cfg.Classes[r.Class].LatencyObjective
	again := time.Duration(float64(aim) / 4 * (0.5 + b.rng.Float64()))
	if b.overQuota(r.Tenant) || r.attempts >= b.cfg.MaxAttempts || now+again > min(r.arrivedAt+aim, r.Deadline) ||
		r.mayHaveRun && b.cfg.Classes[r.Class].Idempotency == NonIdempotent {
		if r.canary { // its arm has no room: limits, drains and cold budgets go before the arm's share
			r.canary, r.stage, r.probedStage = false, 0, 0
			b.canaryOverflows++
			b.place(now, r)
			return
		}
		if s := b.lastResort(now, r); s != nil {
			b.send(now, r, s, true)
			return
		}
		b.finish(r)
		return
	}
	r.stage, r.probedStage, r.triedServers = 0, 0, r.triedServers[:0]
	b.scheduleRetry(r, again)
}

// lastResort doubts the view when nearly all servers look bad: then one of them is tried all the same.
func (b *Balancer) lastResort(now time.Duration, r *request) *server {
	var bad []*server
	good := 0
	for _, s := range b.servers {
		if s.State == Ready && !s.ejected && !b.zones[s.Zone].ejected {
			good++
		} else if r.maySendTo(b, now, s) && b.slowStartAllows(now, r, s) && !slices.Contains(r.triedServers, s.ID) {
			bad = append(bad, s)
		}
	}
	if len(bad) == 0 || good > len(bad)/9 { // under nine in ten: it may well be the servers
		return nil
	}
	return bad[b.rng.IntN(len(bad))]
}

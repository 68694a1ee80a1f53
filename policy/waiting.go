package policy

import (
	"slices"
	"time"
)

// This file is connections that have found no room.

// hold keeps a request that found no room for another look, and refuses it once that would come too
// late.
func (b *Balancer) hold(now time.Duration, r *request) {
	aim := b.set.Classes[r.Class].LatencyObjective
	again := time.Duration(float64(aim) / 4 * (0.5 + b.rng.Float64()))
	if b.overShare(r.Tenant) || r.tries >= b.set.MaxAttempts || now+again > min(r.arrived+aim, r.Deadline) ||
		r.ran && b.set.Classes[r.Class].Idempotency == NonIdempotent {
		if r.arm { // its arm has no room: limits, drains and cold budgets go before the arm's share
			r.arm, r.stage, r.asked = false, 0, 0
			b.strayed++
			b.place(now, r)
			return
		}
		if s := b.lastResort(now, r); s != nil {
			b.send(now, r, s, true)
			return
		}
		b.end(r)
		return
	}
	r.stage, r.asked, r.tried = 0, 0, r.tried[:0]
	b.wait(r, again)
}

// lastResort doubts the view when nearly all servers look bad: then one of them is tried all the same.
func (b *Balancer) lastResort(now time.Duration, r *request) *server {
	var bad []*server
	good := 0
	for _, s := range b.servers {
		if s.State == Ready && !s.bad && !b.zones[s.Zone].bad {
			good++
		} else if r.maySendTo(b, now, s) && b.warmEnough(now, r, s) && !slices.Contains(r.tried, s.ID) {
			bad = append(bad, s)
		}
	}
	if len(bad) == 0 || good > len(bad)/9 { // under nine in ten: it may well be the servers
		return nil
	}
	return bad[b.rng.IntN(len(bad))]
}

package policy

import (
	"slices"
	"time"
)

// This file decides where a connection goes, and which reports that decision needs first.

// The stages of placement: how far it has looked.
const (
	stageHomeSlice = iota
	stageOwnZone
	stageEverywhere
)

// place decides where a connection goes, or probes for the reports that the decision needs.
func (b *Balancer) place(now time.Duration, r *request) {
	if r.answered || r.inFlight || r.pendingProbes > 0 {
		return
	}
	// Guards against a retry storm that keeps a shared session store down: only a part of the attempts is sent
	// while setting up fails, as by congestion control in TCP.
	if r.probedStage == 0 && !r.MidFlow && b.rng.Float64() > b.admissionRate {
		b.finish(r)
		return
	}
	for ; r.stage <= stageEverywhere; r.stage++ {
		tiered := b.candidates(now, r)
		if b.probeCandidates(now, r, tiered) {
			return
		}
		levels, ordered := []float64{fillLow, fillMedium, fillHigh}, b.affinityKey(r) != 0
		if b.overQuota(r.Tenant) || r.stage < stageEverywhere && !ordered {
			levels = levels[:1] // over its quota: only capacity that nobody else needs
		} else if ordered {
			levels = levels[2:]
		}
		if b.isLowValue(r.Class) {
			levels = []float64{min(levels[len(levels)-1], lowValueFill)}
		}
		lastTier := r.stage + max(0, r.stage-1)
		for i := range (lastTier + 1) * len(levels) {
			tier, level := i%(lastTier+1), levels[i/(lastTier+1)]
			if b.cfg.Groups && ordered && tier != homeLocal {
				level = min(level, groupSpillFill) // a server outside the slice bears the shared work again
			}
			if m := b.pick(now, r, tier, tiered[tier], level); m != nil {
				b.send(now, r, m, tier == foreignLocal || tier == foreignRemote)
				return
			}
		}
		if r.stage == stageHomeSlice {
			b.adaptLending(r, -lendStep*(1-lendTolerance)) // its home was full
		}
	}
	b.waitForCapacity(now, r)
}

// probeCandidates probes candidates of the stage whose reports are old, within the budget, and reports
// whether the request waits for the answers.
func (b *Balancer) probeCandidates(now time.Duration, r *request, tiered [tierCount][]*member) bool {
	if b.probeAllowance() == 0 || r.MidFlow || r.probedStage > r.stage {
		return false
	}
	r.probedStage = r.stage + 1 // once: a server that answers without a report must not be probed forever
	want := slices.Clone(tiered[min(r.stage, homeRemote)])
	if r.stage == stageEverywhere {
		want = append(want, tiered[foreignRemote]...)
		if near := tiered[foreignLocal]; b.cfg.Groups && r.Group != 0 { // those that were not probed before
			want = slices.Clone(near[min(probesPerTier, len(near)):])
		}
	}
	if b.affinityKey(r) == 0 {
		b.rng.Shuffle(len(want), func(i, j int) { want[i], want[j] = want[j], want[i] })
	}
	for _, m := range want[:min(len(want), probesPerTier)] {
		fresh := m.hasReport && now-m.reportedAt < 2*b.minObjective &&
			(m.ownFlows < shrinkage || m.placedAt <= m.reportedAt)
		if fresh || b.probeTokens < 1 && !m.probing {
			continue
		}
		if !m.probing {
			b.probe(m)
		}
		b.probeWaiters[m.ID] = append(b.probeWaiters[m.ID], r.ID)
		r.pendingProbes++
	}
	if r.pendingProbes > 0 {
		// A lost probe must not delay the request.
		b.scheduleRetry(r, b.cfg.Classes[r.Class].LatencyObjective/8)
	}
	return r.pendingProbes > 0
}

// scheduleRetry has the request placed after a delay. Only the latest timer of a request counts.
func (b *Balancer) scheduleRetry(r *request, d time.Duration) {
	r.pendingTimers++
	b.executor.Timer(d, tokenRetry|uint64(r.ID))
}

package policy

import (
	"slices"
	"time"
)

// This file decides where a connection goes, and which reports it needs before the decision.

// The stages of placement, each of which considers more candidates than the one before.
const (
	stageHomeSlice = iota
	stageOwnZone
	stageEverywhere
)

// place sends the request to a member, probes for the reports that the decision needs, or postpones
// it.
func (b *Balancer) place(now time.Duration, r *request) {
	if r.answered || r.inFlight || r.pendingProbes > 0 {
		return
	}
	// While attempts to establish connections fail, only a part of the requests is sent, as in TCP
	// congestion control: otherwise retries could prevent the recovery of a session store that the
	// members share.
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
			levels = levels[:1] // over its quota: only capacity that no other tenant needs
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
				// Members outside the slice have to repeat the group's shared work.
				level = min(level, groupSpillFill)
			}
			if m := b.pick(now, r, tier, tiered[tier], level); m != nil {
				b.send(now, r, m, tier == foreignLocal || tier == foreignRemote)
				return
			}
		}
		if r.stage == stageHomeSlice {
			b.adaptLending(r, -lendStep*(1-lendTolerance)) // the home slice was full
		}
	}
	b.waitForCapacity(now, r)
}

// probeCandidates probes the stage's candidates that have no recent report, within the probe
// budget, and reports whether the request waits for the answers.
func (b *Balancer) probeCandidates(now time.Duration, r *request, tiered [tierCount][]*member) bool {
	if b.probeAllowance() == 0 || r.MidFlow || r.probedStage > r.stage {
		return false
	}
	r.probedStage = r.stage + 1 // probe once per stage, also if a member answers without a report
	toProbe := slices.Clone(tiered[min(r.stage, homeRemote)])
	if r.stage == stageEverywhere {
		toProbe = append(toProbe, tiered[foreignRemote]...)
		if near := tiered[foreignLocal]; b.cfg.Groups && r.Group != 0 { // those that no earlier stage probed
			toProbe = slices.Clone(near[min(probesPerTier, len(near)):])
		}
	}
	if b.affinityKey(r) == 0 {
		b.rng.Shuffle(len(toProbe), func(i, j int) { toProbe[i], toProbe[j] = toProbe[j], toProbe[i] })
	}
	for _, m := range toProbe[:min(len(toProbe), probesPerTier)] {
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

// scheduleRetry places the request again after a delay. Only the latest timer of a request has an
// effect.
func (b *Balancer) scheduleRetry(r *request, d time.Duration) {
	r.pendingTimers++
	b.executor.Timer(d, tokenRetry|uint64(r.ID))
}

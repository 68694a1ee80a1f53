package policy

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// This file is where a connection goes: the candidates in their tiers, and the pick among them.

// The tiers of candidates in the order of the mechanism: home first, then servers outside the slice.
const (
	homeLocal = iota
	foreignLocal
	homeRemote
	foreignRemote
	tierCount
)

// reportLag is how old what this proxy knows may be: two refreshes of reports about as long as the shortest
// aim, and the way they take.
func (b *Balancer) reportLag() time.Duration { return 3 * b.minObjective }

// meanFill is the mean fill of the zones.
func (b *Balancer) meanFill() float64 {
	sum := 0.0
	for _, z := range b.zones {
		sum += z.fill
	}
	return sum / float64(len(b.zones))
}

// place decides where a connection goes, or asks for the reports it needs to decide.
func (b *Balancer) place(now time.Duration, r *request) {
	if r.answered || r.inFlight || r.pendingProbes > 0 {
		return
	}
	// Guards against a storm: tries that keep a session store down are not sent (daring), as in TCP.
	if r.probedStage == 0 && !r.MidFlow && b.rng.Float64() > b.admissionRate {
		b.finish(r)
		return
	}
	for ; r.stage <= 2; r.stage++ {
		tiered := b.candidates(now, r)
		if b.probeCandidates(now, r, tiered) {
			return
		}
		levels, ordered := []float64{fillLow, fillMedium, fillHigh}, b.affinityKey(r) != 0
		if b.overQuota(r.Tenant) || r.stage < 2 && !ordered {
			levels = levels[:1] // overloadFill its share: only room that nobody else presses for
		} else if ordered {
			levels = levels[2:]
		}
		if b.isLowValue(r.Class) {
			levels = []float64{min(levels[len(levels)-1], lowValueFill)}
		}
		reach := r.stage + max(0, r.stage-1)
		for i := range (reach + 1) * len(levels) {
			tier, level := i%(reach+1), levels[i/(reach+1)]
			if b.cfg.Groups && ordered && tier != homeLocal {
				level = min(level, groupSpillFill) // a server outside the slice pays for the group again
			}
			if s := b.pick(now, r, tier, tiered[tier], level); s != nil {
				b.send(now, r, s, tier == foreignLocal || tier == foreignRemote)
				return
			}
		}
		if r.stage == 0 {
			b.adaptLending(r, -lendStep*(1-lendTolerance)) // its home was full
		}
	}
	b.waitForCapacity(now, r)
}

// candidates sorts the servers that may be sent to into tiers.
func (b *Balancer) candidates(now time.Duration, r *request) (tiered [tierCount][]*server) {
	key := b.affinityKey(r)
	if b.cfg.Groups && r.Group != 0 { // one slice for all zones, of the first in the order of its key
		list := b.topRanked(now, r, key)
		n := min(len(list), groupSlice)
		tiered[homeLocal], tiered[foreignLocal] = list[:n:n], list[n:]
		return tiered
	}
	for _, s := range b.servers {
		if !b.usable(now, r, s) {
			continue
		}
		tier := foreignLocal
		if s.Zone != b.cfg.Zone {
			tier = foreignRemote
		}
		if key == 0 && slices.Contains(b.homeSlice(r.Tenant), s) {
			tier -= foreignLocal
		}
		tiered[tier] = append(tiered[tier], s)
	}
	// Connections that belong together share a slice of their own instead of their tenants': the first
	// servers in the weighted order of their key. Without this a group is paid for in the slice of
	// every tenant.
	for tier := homeLocal; key != 0 && tier < tierCount; tier += 2 {
		list := tiered[tier+foreignLocal]
		for _, s := range list {
			s.rank = b.rankOf(s, key)
		}
		slices.SortStableFunc(list, func(x, y *server) int { return cmp.Compare(y.rank, x.rank) })
		n := min(len(list), groupSlice)
		tiered[tier], tiered[tier+foreignLocal] = list[:n:n], list[n:]
	}
	return tiered
}

// rankOf is a server's place in the order of a key: the highest comes first.
func (b *Balancer) rankOf(s *server, key uint64) float64 {
	if b.cfg.Groups && s.hasGroup(key) {
		return math.Inf(1) // the group is paid for there
	}
	return rendezvous(uint64(s.ID), key, s.Weight)
}

// topRanked is the groupReach usable servers that come first in the order of a group's key. No more is sorted:
// in a large fleet doing so for each request took most of a relay's time.
func (b *Balancer) topRanked(now time.Duration, r *request, key uint64) []*server {
	first := make([]*server, 0, groupReach+1)
	for _, s := range b.servers {
		if !b.usable(now, r, s) {
			continue
		}
		s.rank = b.rankOf(s, key)
		if len(first) == groupReach && s.rank <= first[groupReach-1].rank {
			continue
		}
		at := len(first)
		for at > 0 && first[at-1].rank < s.rank { // behind its equals, which come before it in the list
			at--
		}
		first = slices.Insert(first, at, s)
		first = first[:min(len(first), groupReach)]
	}
	return first
}

// usable says whether a server may be sent this request at all, room aside.
func (b *Balancer) usable(now time.Duration, r *request, s *server) bool {
	return !slices.Contains(r.triedServers, s.ID) && r.maySendTo(b, now, s) && now >= s.retryAt &&
		now >= b.zones[s.Zone].retryAt
}

// probeCandidates probes candidates of the stage whose report is old, within the budget, and says whether to wait
// for them.
func (b *Balancer) probeCandidates(now time.Duration, r *request, tiered [tierCount][]*server) bool {
	if b.probeAllowance() == 0 || r.MidFlow || r.probedStage > r.stage {
		return false
	}
	r.probedStage = r.stage + 1 // once: a server that answers without a report must not be asked for ever
	want := slices.Clone(tiered[min(r.stage, homeRemote)])
	if r.stage == 2 {
		want = append(want, tiered[foreignRemote]...)
		if near := tiered[foreignLocal]; b.cfg.Groups && r.Group != 0 { // those that were not asked before
			want = slices.Clone(near[min(probesPerTier, len(near)):])
		}
	}
	if b.affinityKey(r) == 0 {
		b.rng.Shuffle(len(want), func(i, j int) { want[i], want[j] = want[j], want[i] })
	}
	for _, s := range want[:min(len(want), probesPerTier)] {
		fresh := s.hasReport && now-s.reportedAt < 2*b.minObjective && (s.ownFlows < shrinkage || s.placedAt <= s.reportedAt)
		if fresh || b.probeTokens < 1 && !s.probing {
			continue
		}
		if !s.probing {
			b.probe(s)
		}
		b.probeWaiters[s.ID] = append(b.probeWaiters[s.ID], r.ID)
		r.pendingProbes++
	}
	if r.pendingProbes > 0 {
		b.scheduleRetry(r, b.cfg.Classes[r.Class].LatencyObjective/8) // a lost probe must not hold the request up
	}
	return r.pendingProbes > 0
}

func (b *Balancer) scheduleRetry(r *request, d time.Duration) {
	r.pendingTimers++
	b.executor.Timer(d, tokenRetry|uint64(r.ID))
}

func (b *Balancer) probe(s *server) {
	s.probing = true
	b.probeTokens--
	b.executor.Probe(s.ID)
}

// pick chooses among the candidates of one tier those with room at the level, weighted by spare
// capacity.
func (b *Balancer) pick(now time.Duration, r *request, tier int, list []*server, level float64) *server {
	guest := tier == foreignLocal || tier == foreignRemote
	if tier >= homeRemote {
		level -= crossZoneFill * b.cfg.CrossZonePrice
	}
	ordered, load := b.affinityKey(r) != 0, b.loadOf(r)
	var fit []*server
	var weights []float64
	sum := 0.0
	for _, s := range list {
		if r.MidFlow {
			return s // the first in the order of its key most likely holds the connection
		}
		if s.ejected || !b.slowStartAllows(now, r, s) || b.probeAllowance() > 0 && !s.hasReport && b.warmupFraction(now, s) == 1 {
			continue
		}
		k, used := b.capacityOf(now, s), b.usedOf(now, s)
		level := min(level/b.warmupFraction(now, s), max(fillHigh, level)) // the levels are of what it will bear once warm
		spare := k*level - used - load
		if spare <= 0 || guest && used*b.foreignShare(s)+load > k*level*b.lendingThreshold(s) {
			continue
		}
		if ordered {
			// All proxies know the same order, and few servers are to pay for a group: they fill one after
			// the other. As its home fills fewer go there, or what all send by one late report would herd.
			// Packets of an open connection must be found again by another proxy.
			if b.cfg.PassThrough || tier != homeLocal || b.rng.Float64()*groupTaper*k < spare {
				return s
			}
			continue
		}
		fit = append(fit, s)
		// Cubed, so that of two servers the emptier is clearly preferred, yet never surely: all proxies
		// may be reading the same late report.
		weight := math.Pow(spare/k, 3) * k
		weights = append(weights, weight)
		sum += weight
	}
	at := b.rng.Float64() * sum
	for i, s := range fit {
		if at -= weights[i]; at <= 0 || i == len(fit)-1 {
			return s
		}
	}
	return nil
}

// lendingThreshold is h of a server as a part of k. It is learned in the own zone, whose owners this proxy serves.
func (b *Balancer) lendingThreshold(s *server) float64 {
	if s.Zone != b.cfg.Zone {
		return 1
	}
	return b.lendingThresholds[s.owner]
}

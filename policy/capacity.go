package policy

import (
	"math"
	"time"
)

// This file is what servers bear and what tenants may use.

// capacityOf is k in units of load: what the server's reports say, shrunk to what its kind's say.
func (b *Balancer) capacityOf(now time.Duration, s *server) float64 {
	prior := s.Weight * 16 // a guess that the first reports replace
	if k := b.kinds[s.Kind]; k != nil && k.capacity > 0 {
		prior = s.Weight * k.inflight / k.capacity
	}
	return b.unitLoad() * b.warmupFraction(now, s) * (priorReports*prior + s.reportCount*s.capacity) / (priorReports + s.reportCount)
}

// usedOf is the load on a server: its report, which loses weight with age, and what was placed since.
func (b *Balancer) usedOf(now time.Duration, s *server) float64 {
	fill := b.zones[s.Zone].fill
	x := fill
	if s.hasReport {
		trust := 1 / (1 + max(0, (now-s.reportChangedAt).Seconds())/b.maxDeadline.Seconds())
		// What is piled up keeps every message waiting: it counts as load to be gone by the next report.
		x = trust*(s.report.Load+max(s.report.Backlog, 0)/b.reportLag().Seconds()) + (1-trust)*fill
	} else if b.cfg.Reports == ReportsOff {
		// Nothing is reported: this proxy's own connections, taken for a fair sample, are all there is.
		x = fill * (s.ownFlows + 1) / ((b.ownFlows+1)/max(float64(len(b.servers)), 1) + 1)
	}
	used := x * b.capacityOf(now, s)
	for _, p := range s.pendingPlacements {
		if now-p.at < 2*b.minObjective {
			used += p.load
		}
	}
	return max(used, 0)
}

// foreignShare estimates which part of a server's connections is foreign there.
func (b *Balancer) foreignShare(s *server) float64 {
	wide := (b.foreignFlows + shrinkage*0.5) / (b.ownFlows + shrinkage) // knowing nothing, half
	return (s.foreignFlows + shrinkage*wide) / (s.ownFlows + shrinkage)
}

// adaptLending moves h of a tenant's servers: the highest that its owner tolerates (paper 5.4).
func (b *Balancer) adaptLending(r *request, by float64) {
	b.lendingThresholds[r.Tenant] = min(max(b.lendingThresholds[r.Tenant]+by, lendMin), 1)
}

// overQuota says whether a tenant holds more than this proxy's part of its quota, chance allowed for.
func (b *Balancer) overQuota(t int) bool {
	part := b.cfg.Tenants[t].Quota / b.servingRelays()
	return part > 0 && b.openByTenant[t] > part+math.Sqrt(part)
}

// servingRelays is how many proxies share the work: all of them, or fewer where the servers' reports show that this
// one holds more than its part, since others are down or drained.
func (b *Balancer) servingRelays() float64 {
	all, told := 0.0, 0.0
	for _, s := range b.servers {
		if s.hasReport && s.report.Connections >= 0 {
			all, told = all+s.report.Connections, told+1
		}
	}
	most := float64(b.cfg.Balancers)
	if told == 0 || b.ownFlows == 0 {
		return most
	}
	return min(max(all/told*float64(len(b.servers))/b.ownFlows, 1), most)
}

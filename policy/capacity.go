package policy

import (
	"math"
	"time"
)

// This file estimates the capacity and use of servers, and the quotas of tenants.

// capacityOf is the capacity of a server now, in units of load: what its own reports say, shrunk towards
// what the reports of its kind say.
func (b *Balancer) capacityOf(now time.Duration, m *member) float64 {
	prior := m.Weight * 16 // a guess that the first reports replace
	if k := b.kinds[m.Kind]; k != nil && k.capacity > 0 {
		prior = m.Weight * k.inflight / k.capacity
	}
	return b.unitLoad() * b.warmupFraction(now, m) *
		(priorReports*prior + m.reportCount*m.capacity) / (priorReports + m.reportCount)
}

// usedOf is the load on a server: its report, which loses weight with age, and what was placed since.
func (b *Balancer) usedOf(now time.Duration, m *member) float64 {
	zoneFill := b.zones[m.Zone].fill
	fill := zoneFill
	if m.hasReport {
		trust := 1 / (1 + max(0, (now-m.reportChangedAt).Seconds())/b.maxDeadline.Seconds())
		// A backlog keeps every message waiting: it counts as load to be worked off by the next report.
		fill = trust*(m.report.Load+max(m.report.Backlog, 0)/b.reportLag().Seconds()) + (1-trust)*zoneFill
	} else if b.cfg.Reports == ReportsOff {
		// Nothing is reported: this proxy's own connections, taken for a fair sample, are all there is.
		fill = zoneFill * (m.ownFlows + 1) / ((b.ownFlows+1)/max(float64(len(b.members)), 1) + 1)
	}
	used := fill * b.capacityOf(now, m)
	for _, p := range m.pendingPlacements {
		if now-p.at < 2*b.minObjective {
			used += p.load
		}
	}
	return max(used, 0)
}

// foreignShare estimates which part of a server's connections is of tenants that do not own it.
func (b *Balancer) foreignShare(m *member) float64 {
	overall := (b.foreignFlows + shrinkage*0.5) / (b.ownFlows + shrinkage) // half while nothing is known
	return (m.foreignFlows + shrinkage*overall) / (m.ownFlows + shrinkage)
}

// adaptLending moves the lending threshold of a tenant's servers towards the highest that the owner
// tolerates (paper 5.4).
func (b *Balancer) adaptLending(r *request, by float64) {
	b.lendingThresholds[r.Tenant] = min(max(b.lendingThresholds[r.Tenant]+by, lendMin), 1)
}

// overQuota reports whether a tenant holds more than this proxy's part of its quota, with an allowance for
// chance.
func (b *Balancer) overQuota(t int) bool {
	part := b.cfg.Tenants[t].Quota / b.servingRelays()
	return part > 0 && b.openByTenant[t] > part+math.Sqrt(part)
}

// servingRelays is how many proxies share the work: all of them, or fewer where the servers' reports show
// that this one holds more than its part, since others are down or draining.
func (b *Balancer) servingRelays() float64 {
	connections, reporting := 0.0, 0.0
	for _, m := range b.members {
		if m.hasReport && m.report.Connections >= 0 {
			connections, reporting = connections+m.report.Connections, reporting+1
		}
	}
	all := float64(b.cfg.Balancers)
	if reporting == 0 || b.ownFlows == 0 {
		return all
	}
	return min(max(connections/reporting*float64(len(b.members))/b.ownFlows, 1), all)
}

// reportLag is how old the reports that this proxy has may be: two refresh intervals, each taken for about
// the shortest latency objective, and the time in transit.
func (b *Balancer) reportLag() time.Duration { return 3 * b.minObjective }

// meanFill is the mean fill of the zones.
func (b *Balancer) meanFill() float64 {
	sum := 0.0
	for _, z := range b.zones {
		sum += z.fill
	}
	return sum / float64(len(b.zones))
}

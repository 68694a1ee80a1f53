package policy

import (
	"math"
	"time"
)

// This file estimates the capacity and the load of members, and the tenants' use of their quotas.

// capacityOf returns the present capacity of a member in units of load: an average of what its own
// reports and those of its kind show, weighted by the number of its own reports.
func (b *Balancer) capacityOf(now time.Duration, m *member) float64 {
	prior := m.Weight * 16 // default per unit of weight, until the kind has reports
	if k := b.kinds[m.Kind]; k != nil && k.weightedLoad > 0 {
		prior = m.Weight * k.connections / k.weightedLoad
	}
	return b.unitLoad() * b.warmupFraction(now, m) *
		(priorReports*prior + m.reportCount*m.capacity) / (priorReports + m.reportCount)
}

// usedOf returns the load on a member: the latest report, which loses weight with age, plus the
// changes since then.
func (b *Balancer) usedOf(now time.Duration, m *member) float64 {
	zoneFill := b.zones[m.Zone].fill
	fill := zoneFill
	if m.hasReport {
		trust := 1 / (1 + max(0, (now-m.reportChangedAt).Seconds())/b.maxDeadline.Seconds())
		// Every message waits behind a backlog: it counts as load to be worked off before the next
		// report.
		fill = trust*(m.report.Load+max(m.report.Backlog, 0)/b.reportLag().Seconds()) + (1-trust)*zoneFill
	} else if b.cfg.Reports == ReportsOff {
		// Without reports this relay's own connections are the only evidence; they are taken as a
		// fair sample.
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

// foreignShare estimates the fraction of a member's connections that are foreign: placed outside
// their home slice.
func (b *Balancer) foreignShare(m *member) float64 {
	overall := (b.foreignFlows + shrinkage*0.5) / (b.ownFlows + shrinkage) // 0.5 without own connections
	return (m.foreignFlows + shrinkage*overall) / (m.ownFlows + shrinkage)
}

// adaptLending changes the lending threshold of a tenant's members. Its callers move the threshold
// towards the highest one at which the owner still finds its home slice full no more often than
// lendTolerance (SERES paper, 5.4).
func (b *Balancer) adaptLending(r *request, by float64) {
	b.lendingThresholds[r.Tenant] = min(max(b.lendingThresholds[r.Tenant]+by, lendMin), 1)
}

// overQuota reports whether a tenant has more open connections than this relay's share of its quota
// plus an allowance of one standard deviation for random variation.
func (b *Balancer) overQuota(t int) bool {
	part := b.cfg.Tenants[t].Quota / b.servingRelays()
	return part > 0 && b.openByTenant[t] > part+math.Sqrt(part)
}

// servingRelays estimates how many relays share the work. It is less than Settings.Balancers when
// the members' reports show that this relay has more than its share, since others are down or
// draining.
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

// reportLag returns how old the reports that this relay uses may be: two refresh intervals, each
// estimated as the shortest latency objective, plus the time in transit.
func (b *Balancer) reportLag() time.Duration { return 3 * b.minObjective }

// meanFill returns the mean fill of the zones.
func (b *Balancer) meanFill() float64 {
	sum := 0.0
	for _, z := range b.zones {
		sum += z.fill
	}
	return sum / float64(len(b.zones))
}

package policy

import (
	"math"
	"slices"
	"time"
)

// This file takes the reports of servers and the loads and latencies of connections.

// ProbeResult takes the answer to a probe.
func (b *Balancer) ProbeResult(now time.Duration, id MemberID, result Result, report Report) {
	m := b.byID[id]
	if m != nil {
		m.probing = false
		switch result {
		case OK:
			b.readmit(m)
			b.applyReport(now, m, report)
			// Messages wait for the backlog or, where none is reported, for the load beyond the capacity.
			overloaded := report.Backlog > b.minMessageObjective.Seconds()/2 ||
				report.Backlog < 0 && report.Load > overloadFill
			if overloaded && now-m.migratedAt >= b.reportLag() {
				b.migrateExcess(now, m)
			}
		case Full: // it answers, but is probed by too many: not a failure
			b.readmit(m)
		case NotSent: // it was not probed
		default:
			if b.recordFailure(now, m); m.ejected && result == Timeout {
				b.migrateAll(m) // it most likely does not answer its clients either
			}
		}
	}
	waiters := b.probeWaiters[id]
	delete(b.probeWaiters, id)
	for _, w := range waiters {
		if r := b.requests[w]; r != nil && r.pendingProbes > 0 {
			if r.pendingProbes--; r.pendingProbes == 0 {
				b.place(now, r)
			}
		}
	}
}

// applyReport learns from a report. Any field may be missing.
func (b *Balancer) applyReport(now time.Duration, m *member, p Report) {
	if !(p.Load >= 0) {
		p.Load = p.Util
	}
	if !(p.Load >= 0) || math.IsInf(p.Load, 0) {
		return
	}
	if !m.hasReport || p != m.report {
		m.reportChangedAt = now
	}
	if p != m.rawReport {
		m.rawReport, m.previousLoad, m.rawReportAt = p, m.rawReport.Load, now
	}
	m.pendingPlacements = slices.DeleteFunc(m.pendingPlacements, func(x placement) bool {
		return now-x.at >= 2*b.minObjective
	})
	m.report, m.reportedAt, m.hasReport = p, now, true
	b.zones[m.Zone].fill += learningRate * (min(p.Load, 2) - b.zones[m.Zone].fill)
	if p.Connections > 0 && p.Load > minLearningLoad && b.warmupFraction(now, m) == 1 {
		// Connections against load over capacity: pooled over the kind, and for the server itself.
		k := b.kinds[m.Kind]
		if k == nil {
			k = &kind{}
			b.kinds[m.Kind] = k
		}
		k.inflight = k.inflight*(1-learningRate/4) + p.Connections
		k.capacity = k.capacity*(1-learningRate/4) + p.Load*m.Weight
		m.capacity = (m.capacity*m.reportCount + p.Connections/p.Load) / (m.reportCount + 1)
		m.reportCount = min(m.reportCount+1, 4*priorReports)
	}
}

// UpdateLoad sets the load that an open connection has now.
func (b *Balancer) UpdateLoad(now time.Duration, id RequestID, load float64) {
	if r := b.requests[id]; r != nil && load > 0 && !math.IsInf(load, 0) {
		if b.classLoad[r.Class] == 0 {
			b.classLoad[r.Class] = load
		}
		b.classLoad[r.Class] += learningRate / 4 * (load - b.classLoad[r.Class])
		r.load = load
	}
}

// ObserveLatency takes how long a message took at the server of an open connection.
func (b *Balancer) ObserveLatency(now time.Duration, id RequestID, message time.Duration) {
	r := b.requests[id]
	if r == nil || r.member == nil {
		return
	}
	m := r.member
	if objective := b.cfg.Classes[r.Class].MessageLatencyObjective; message > objective {
		m.report.Load, m.reportChangedAt = max(m.report.Load, 1), now
	} else if message < objective/2 {
		return
	}
	b.migrateExcess(now, m)
}

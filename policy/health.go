package policy

import (
	"math"
	"time"
)

// This file ejects members and zones that fail, readmits them, and schedules health checks.

// recordSuccess clears the failures of a member and of its zone.
func (b *Balancer) recordSuccess(m *member) {
	m.health, b.zones[m.Zone].health = health{}, health{}
}

// readmit ends the ejection of a member that has answered a probe. Its failure count stays until a
// connection is established: a member that fails connections may still answer probes, and would
// attract the next connections because it is empty.
func (b *Balancer) readmit(m *member) {
	m.ejected, b.zones[m.Zone].health = false, health{}
}

// recordFailure counts a failure of a member and of its zone. memberFailureThreshold consecutive
// failures eject the member, zoneFailureThreshold the zone unless it is the relay's own. Nothing is
// sent to an ejected member or zone during its backoff, nor, where the relay can probe, to the
// member until it has answered a probe.
func (b *Balancer) recordFailure(now time.Duration, m *member) {
	if now >= m.retryAt {
		m.failures++
	}
	if m.failures == 1 && b.cfg.CanProbe && !m.probing {
		b.probe(m) // one failure is not enough to eject: probe
	}
	b.eject(now, &m.health, memberFailureThreshold)
	z := &b.zones[m.Zone]
	z.failures++
	if m.Zone != b.cfg.Zone {
		b.eject(now, &z.health, zoneFailureThreshold)
	}
}

func (b *Balancer) eject(now time.Duration, h *health, threshold int) {
	// Attempts that were in flight at the ejection are not counted as further failures.
	if h.failures < threshold || now < h.retryAt {
		return
	}
	doublings := float64(min(h.failures-threshold+1, maxBackoffDoublings))
	backoff := float64(b.cfg.ConnectTimeout) * math.Exp2(doublings)
	h.ejected, h.retryAt = b.cfg.CanProbe, now+time.Duration(backoff*(0.5+b.rng.Float64()))
}

// mostMembersFail reports whether more than half of the members have recent failures.
func (b *Balancer) mostMembersFail() bool {
	failing := 0
	for _, m := range b.members {
		if m.failures > 0 {
			failing++
		}
	}
	return 2*failing > len(b.members)
}

func (b *Balancer) scheduleHealthCheck(within time.Duration) {
	if b.probeAllowance() > 0 {
		b.executor.Timer(time.Duration(float64(within)*(0.5+b.rng.Float64())), tokenHealthCheck)
	}
}

// checkHealth probes the members that have connections of this relay, and ejected members after
// their backoff. It runs also while no requests arrive, when a backlog would otherwise remain
// undetected.
func (b *Balancer) checkHealth(now time.Duration) {
	for _, m := range b.members {
		if b.probeTokens >= 1 && m.State == Ready && !m.probing && now-m.reportedAt >= b.reportLag()/2 &&
			(m.ownFlows > 0 || m.ejected && now >= m.retryAt) {
			b.probe(m)
		}
	}
	b.scheduleHealthCheck(b.reportLag())
}

func (b *Balancer) probe(m *member) {
	m.probing = true
	b.probeTokens--
	b.executor.Probe(m.ID)
}

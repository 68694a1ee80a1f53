package policy

import (
	"math"
	"time"
)

// This file ejects servers and zones that fail, readmits them, and schedules health checks.

// recordSuccess clears the failures of a server and of its zone.
func (b *Balancer) recordSuccess(m *member) {
	m.health, b.zones[m.Zone].health = health{}, health{}
}

// readmit takes a server back that has answered a probe. Its failures stay counted until a connection is
// established: a server that fails connections may well answer probes, and would attract the next ones
// because it is empty.
func (b *Balancer) readmit(m *member) {
	m.ejected, b.zones[m.Zone].health = false, health{}
}

// recordFailure counts a failure against a server and its zone. memberFailureThreshold failures in a row
// eject the server and zoneFailureThreshold the zone: nothing is sent to either until its backoff is over
// and a probe has been answered.
func (b *Balancer) recordFailure(now time.Duration, m *member) {
	if now >= m.retryAt {
		m.failures++
	}
	if m.failures == 1 && b.cfg.CanProbe && !m.probing {
		b.probe(m) // one failure proves nothing: probe
	}
	b.eject(now, &m.health, memberFailureThreshold)
	z := &b.zones[m.Zone]
	z.failures++
	if m.Zone != b.cfg.Zone {
		b.eject(now, &z.health, zoneFailureThreshold)
	}
}

func (b *Balancer) eject(now time.Duration, h *health, threshold int) {
	// Attempts that were in flight at the ejection prove nothing new.
	if h.failures < threshold || now < h.retryAt {
		return
	}
	doublings := float64(min(h.failures-threshold+1, maxBackoffDoublings))
	backoff := float64(b.cfg.ConnectTimeout) * math.Exp2(doublings)
	h.ejected, h.retryAt = b.cfg.CanProbe, now+time.Duration(backoff*(0.5+b.rng.Float64()))
}

// mostMembersFail says that the failures are not those of a few servers.
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

// checkHealth probes the servers that hold own connections, and ejected ones whose backoff is over, also
// while no request arrives: a backlog there shows nowhere else.
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

package policy

import (
	"math"
	"time"
)

// This file ejects servers and zones that fail, readmits them, and schedules health checks.

// recordSuccess clears the failures of a server and of its zone.
func (b *Balancer) recordSuccess(s *server) {
	s.health, b.zones[s.Zone].health = health{}, health{}
}

// readmit takes a server back that has answered a probe. Its failures stay counted until a connection is
// established: a server that fails connections may well answer probes, and would attract the next ones
// because it is empty.
func (b *Balancer) readmit(s *server) {
	s.ejected, b.zones[s.Zone].health = false, health{}
}

// recordFailure counts a failure against a server and its zone. serverFailureThreshold failures in a row
// eject the server and zoneFailureThreshold the zone: nothing is sent to either until its backoff is over
// and a probe has been answered.
func (b *Balancer) recordFailure(now time.Duration, s *server) {
	if now >= s.retryAt {
		s.failures++
	}
	if s.failures == 1 && b.cfg.CanProbe && !s.probing {
		b.probe(s) // one failure proves nothing: probe
	}
	b.eject(now, &s.health, serverFailureThreshold)
	z := &b.zones[s.Zone]
	z.failures++
	if s.Zone != b.cfg.Zone {
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

// mostServersFail says that the failures are not those of a few servers.
func (b *Balancer) mostServersFail() bool {
	failing := 0
	for _, s := range b.servers {
		if s.failures > 0 {
			failing++
		}
	}
	return 2*failing > len(b.servers)
}

func (b *Balancer) scheduleHealthCheck(within time.Duration) {
	if b.probeAllowance() > 0 {
		b.executor.Timer(time.Duration(float64(within)*(0.5+b.rng.Float64())), tokenHealthCheck)
	}
}

// checkHealth probes the servers that hold own connections, and ejected ones whose backoff is over, also
// while no request arrives: a backlog there shows nowhere else.
func (b *Balancer) checkHealth(now time.Duration) {
	for _, s := range b.servers {
		if b.probeTokens >= 1 && s.State == Ready && !s.probing && now-s.reportedAt >= b.reportLag()/2 &&
			(s.ownFlows > 0 || s.ejected && now >= s.retryAt) {
			b.probe(s)
		}
	}
	b.scheduleHealthCheck(b.reportLag())
}

func (b *Balancer) probe(s *server) {
	s.probing = true
	b.probeTokens--
	b.executor.Probe(s.ID)
}

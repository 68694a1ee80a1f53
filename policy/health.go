package policy

import (
	"math"
	"time"
)

// This file is when a server or a zone is not to be sent to.

func (b *Balancer) recordSuccess(s *server) {
	s.health, b.zones[s.Zone].health = health{}, health{}
}

// readmit takes a server back that has answered a probe. Its failures stay counted until a connection stands:
// one that fails connections may well answer probes, and would draw the next ones for being empty.
func (b *Balancer) readmit(s *server) {
	s.ejected, b.zones[s.Zone].health = false, health{}
}

// recordFailure counts a failure against a server and its zone. A second in a row condemns the server, and a few
// in a row from one zone the zone: then neither is sent to until a pause is over and a probe has been
// answered.
func (b *Balancer) recordFailure(now time.Duration, s *server) {
	if now >= s.retryAt {
		s.failures++
	}
	if s.failures == 1 && b.cfg.CanProbe && !s.probing {
		b.probe(s) // one failure is no verdict: ask
	}
	b.eject(now, &s.health, serverFailureThreshold)
	z := &b.zones[s.Zone]
	z.failures++
	if s.Zone != b.cfg.Zone {
		b.eject(now, &z.health, zoneFailureThreshold)
	}
}

func (b *Balancer) eject(now time.Duration, h *health, most int) {
	if h.failures < most || now < h.retryAt { // what was under way when it was condemned is no further sign
		return
	}
	pause := float64(b.cfg.ConnectTimeout) * math.Exp2(float64(min(h.failures-most+1, maxBackoffDoublings)))
	h.ejected, h.retryAt = b.cfg.CanProbe, now+time.Duration(pause*(0.5+b.rng.Float64()))
}

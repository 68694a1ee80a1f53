package policy

import (
	"math"
	"slices"
	"time"
)

// normalize returns settings with safe values, on which every decision can rely.
func normalize(s Settings) Settings {
	within := func(v, lo, hi, otherwise float64) float64 {
		if math.IsNaN(v) || v < lo || v > hi {
			return otherwise
		}
		return v
	}
	span := func(d *time.Duration, otherwise time.Duration) {
		if *d <= 0 || *d > 24*time.Hour {
			*d = otherwise
		}
	}
	s.Balancers, s.Zones = max(s.Balancers, 1), min(max(s.Zones, 1, s.Zone+1), 256)
	s.Zone = min(max(s.Zone, 0), s.Zones-1)
	s.Classes = slices.Clone(s.Classes)
	if len(s.Classes) == 0 {
		s.Classes = []Class{{}}
	}
	for i := range s.Classes {
		c := &s.Classes[i]
		span(&c.Deadline, 2*time.Second)
		span(&c.LatencyObjective, c.Deadline/4)
		span(&c.MessageLatencyObjective, c.LatencyObjective)
		c.DedupWindow = max(c.DedupWindow, 0) // without one a repeat is never known to be harmless
		c.PriorityWeight = within(c.PriorityWeight, 1e-6, 1e9, 1)
	}
	s.Tenants = slices.Clone(s.Tenants)
	if len(s.Tenants) == 0 {
		s.Tenants = []Tenant{{Share: 1}}
	}
	for i := range s.Tenants {
		s.Tenants[i].Share = within(s.Tenants[i].Share, 1e-6, 1e6, 1e-6)
		s.Tenants[i].Quota = within(s.Tenants[i].Quota, 0, math.MaxFloat64, 0)
	}
	s.MaxAttempts = max(s.MaxAttempts, 1)
	span(&s.ConnectTimeout, 250*time.Millisecond)
	span(&s.MaxPollInterval, 10*time.Second)
	span(&s.MaxRetryAfter, 2*time.Second)
	span(&s.SlowStartDuration, 10*time.Second)
	span(&s.OverloadWindow, 3*time.Second)
	s.AnswerSlack = max(s.AnswerSlack, 0)
	s.SlowStartMinCapacity = within(s.SlowStartMinCapacity, 0.01, 1, 0.1)
	s.OverloadFactor = within(s.OverloadFactor, 1, 1e3, 1)
	s.CrossZonePrice, s.ProbePrice = within(s.CrossZonePrice, 0, 1, 0), within(s.ProbePrice, 0, 1, 0)
	return s
}

// normalizeEndpoint does the same for an entry of the server list.
func normalizeEndpoint(e Endpoint, zones int) Endpoint {
	e.Zone = min(max(e.Zone, 0), zones-1)
	if math.IsNaN(e.Weight) || e.Weight <= 0 || e.Weight > 1e9 {
		e.Weight = 1
	}
	return e
}

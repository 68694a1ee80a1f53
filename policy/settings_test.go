package policy

import (
	"math"
	"testing"
	"time"
)

// TestInvalidSettings checks that a Balancer with missing or invalid settings still answers
// requests.
func TestInvalidSettings(t *testing.T) {
	invalid := settings()
	invalid.Balancers, invalid.Zone, invalid.Zones, invalid.MaxAttempts = -3, 900, -1, -1
	invalid.SlowStartMinCapacity, invalid.OverloadFactor, invalid.ProbePrice = -1, 0, -5
	invalid.Classes[0].LatencyObjective = -time.Hour
	for _, set := range []Settings{{}, invalid} {
		h := newHarness(set, fleet(4, 1))
		h.submit(Request{Load: math.Inf(1)})
		id := h.submit(Request{Class: 99, Tenant: -4})
		if math.IsNaN(h.meanLoad) || math.IsInf(h.meanLoad, 0) {
			t.Errorf("mean load %v after a request with infinite load, want a finite value", h.meanLoad)
		}
		h.fireTimers(5 * time.Second)
		if h.memberOf(id) == 0 && h.answers[id] == "" {
			t.Error("request of an invalid class and tenant was neither sent nor answered")
		}
	}
}

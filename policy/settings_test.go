package policy

import (
	"math"
	"testing"
	"time"
)

// TestInvalidSettings: New accepts missing and absurd settings, and still answers requests.
func TestInvalidSettings(t *testing.T) {
	absurd := settings()
	absurd.Balancers, absurd.Zone, absurd.Zones, absurd.MaxAttempts = -3, 900, -1, -1
	absurd.SlowStartMinCapacity, absurd.OverloadFactor, absurd.ProbePrice = -1, 0, -5
	absurd.Classes[0].LatencyObjective = -time.Hour
	for _, set := range []Settings{{}, absurd} {
		h := newHarness(set, fleet(4, 1))
		h.submit(Request{Load: math.Inf(1)})
		id := h.submit(Request{Class: 99, Tenant: -4})
		if math.IsNaN(h.meanLoad) || math.IsInf(h.meanLoad, 0) {
			t.Errorf("mean load %v after an absurd hint", h.meanLoad)
		}
		h.fireTimers(5 * time.Second)
		if h.memberOf(id) == 0 && h.answers[id] == "" {
			t.Error("request neither sent nor answered")
		}
	}
}

package policy

import (
	"strings"
	"testing"
	"time"
)

// TestHealth checks that two consecutive failures eject a member, that one does not, and that a
// successful probe ends the ejection.
func TestHealth(t *testing.T) {
	h := newHarness(settings(), fleet(6, 1))
	m := h.members[0]
	h.recordFailure(h.now, m)
	if m.ejected {
		t.Error("one failure ejected the member")
	}
	if len(h.probes) != 1 || h.probes[0] != m.ID {
		t.Errorf("after one failure probed members %v, want only %d", h.probes, m.ID)
	}
	h.ProbeResult(h.now, m.ID, Timeout, NoReport)
	if !m.ejected || m.retryAt <= h.now {
		t.Error("two consecutive failures did not eject the member")
	}
	h.ProbeResult(h.now, m.ID, OK, Report{Connections: 1, Load: 0.1, Util: -1})
	if m.ejected {
		t.Error("a successful probe did not end the ejection")
	}
}

// TestZoneEjection checks that zoneFailureThreshold failures eject another zone and that the
// relay's own zone is not ejected.
func TestZoneEjection(t *testing.T) {
	set := settings()
	set.Zones = 2
	h := newHarness(set, fleet(20, 2))
	for _, m := range h.members {
		if n := h.zones[m.Zone].failures; n < zoneFailureThreshold {
			h.recordFailure(h.now, m)
		}
	}
	if !h.zones[1].ejected || h.zones[0].ejected {
		t.Errorf("other zone ejected: %v, own zone ejected: %v; want true, false",
			h.zones[1].ejected, h.zones[0].ejected)
	}
}

// TestFullBackoff checks that the backoff of a member grows with each consecutive Full, since it
// may drain before the endpoint list says so.
func TestFullBackoff(t *testing.T) {
	h := newHarness(settings(), fleet(6, 1))
	var previous time.Duration
	for i := range 3 {
		h.now += time.Minute
		id := h.submit(Request{Tenant: 0})
		m := h.byID[h.memberOf(id)]
		m.consecutiveFull = 2 * i
		h.AttemptEnded(h.now, Outcome{ID: id, Member: m.ID, Result: Full, Report: NoReport})
		backoff := m.retryAt - h.now
		if backoff <= previous {
			t.Errorf("after %d consecutive Full: backoff %v, want more than %v",
				m.consecutiveFull, backoff, previous)
		}
		previous = backoff
	}
}

// TestProbeTimeoutMigrates checks that two probes that time out cause the migration of a member's
// connections, since the member may be unreachable. Errors and resets do not: such a member may
// still serve its clients, and otherwise it resets them itself.
func TestProbeTimeoutMigrates(t *testing.T) {
	for name, set := range siteSettings() {
		for result, want := range map[Result]int{Timeout: 5, ConnectFailed: 0, Reset: 0, Error: 0, Full: 0} {
			h := newHarness(set, fleet(4, 1))
			for id := range RequestID(5) {
				h.AddExisting(h.now, Request{ID: 100 + id, Load: 0.1}, h.members[0].ID)
			}
			for n := range memberFailureThreshold {
				if h.ProbeResult(h.now, h.members[0].ID, result, NoReport); n == 0 && len(h.migrations) > 0 {
					t.Errorf("%s, result %v: %d migrations after one probe, want 0",
						name, result, len(h.migrations))
				}
			}
			if len(h.migrations) != want {
				t.Errorf("%s, result %v: %d of 5 connections migrated, want %d",
					name, result, len(h.migrations), want)
			}
		}
	}
}

// TestProbeBudget checks that the number of probes stays within the budget that ProbePrice allows,
// and that none are sent if CanProbe is false.
func TestProbeBudget(t *testing.T) {
	for _, tt := range []struct {
		name          string
		price         float64
		canProbe      bool
		maxPerRequest float64
	}{{"priced", 0.002, true, 4}, {"expensive", 0.01, true, 1}, {"free", 0, true, maxProbes + 1}, {"forbidden", 0, false, 0}} {
		t.Run(tt.name, func(t *testing.T) {
			set := settings()
			set.ProbePrice, set.CanProbe = tt.price, tt.canProbe
			h := newHarness(set, fleet(100, 1))
			for i := range 200 {
				h.now += 300 * ms
				h.submit(Request{Tenant: i % 2, Load: 0.01})
			}
			probes := 0.0
			for _, action := range h.log {
				if strings.HasPrefix(action, "probe") {
					probes++
				}
			}
			if probes > 200*tt.maxPerRequest+30 || tt.maxPerRequest > 0 && probes == 0 {
				t.Errorf("%v probes for 200 requests, want at most %v per request plus 30, and some "+
					"unless forbidden", probes, tt.maxPerRequest)
			}
		})
	}
}

// TestHealthCheck checks that members with connections of this relay, and no others, are probed
// while no requests arrive, when a backlog would otherwise remain undetected, and never beyond the
// probe budget.
func TestHealthCheck(t *testing.T) {
	h := newHarness(settings(), fleet(3, 1))
	m := h.members[1]
	h.AddExisting(h.now, Request{ID: 900, Load: 0.1}, m.ID)
	h.load[m.ID] = 0.5
	for n := range 3 {
		h.now += 2 * h.reportLag()
		h.probes = nil
		h.Balancer.Timer(h.now, tokenHealthCheck)
		if len(h.probes) != 1 || h.probes[0] != m.ID {
			t.Fatalf("health check %d probed members %v, want only %d, which has the connection",
				n, h.probes, m.ID)
		}
		h.answerProbes()
	}
	if last := h.timers[len(h.timers)-1]; last.token != tokenHealthCheck || last.delay < h.reportLag()/2 {
		t.Errorf("last timer %+v, want the next health check after at least %v", last, h.reportLag()/2)
	}
	h.now += 2 * h.reportLag()
	h.probeTokens = 0.5
	if h.Balancer.Timer(h.now, tokenHealthCheck); len(h.probes) != 0 {
		t.Errorf("probed members %v without budget, want none", h.probes)
	}
}

// TestFailuresOutlastProbes checks a member that fails connections but answers probes: a probe
// after the backoff readmits it, but one more failure ejects it again unless a connection was
// established there. Failures of attempts that were in flight at the ejection do not lengthen the
// backoff, and the member is not probed during it.
func TestFailuresOutlastProbes(t *testing.T) {
	h := newHarness(settings(), fleet(1, 1))
	m := h.members[0]
	for range memberFailureThreshold {
		h.recordFailure(h.now, m)
	}
	until := m.retryAt
	for range 5 {
		h.recordFailure(h.now, m)
	}
	h.probes, m.probing = nil, false
	h.checkHealth(h.now)
	if !m.ejected || m.retryAt != until || m.failures != memberFailureThreshold || len(h.probes) != 0 {
		t.Fatalf("during the backoff: ejected %v, %d failures, backoff longer by %v, probed %v; want "+
			"ejected, %d failures, the same backoff, no probes",
			m.ejected, m.failures, m.retryAt-until, h.probes, memberFailureThreshold)
	}
	h.now = until
	h.ProbeResult(h.now, m.ID, OK, Report{Connections: 1, Load: 0.1, Util: -1})
	if m.ejected {
		t.Fatal("a successful probe after the backoff did not readmit the member")
	}
	if h.recordFailure(h.now, m); !m.ejected {
		t.Fatal("a failure after the readmission did not eject the member again")
	}
	h.now = m.retryAt
	h.ProbeResult(h.now, m.ID, OK, Report{Connections: 1, Load: 0.1, Util: -1})
	id := h.submit(Request{Load: 0.1})
	h.Established(h.now, id)
	if h.recordFailure(h.now, m); m.ejected {
		t.Error("a single failure after an established connection ejected the member")
	}
}

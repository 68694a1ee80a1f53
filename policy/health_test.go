package policy

import (
	"strings"
	"testing"
	"time"
)

// TestHealth: two failures in a row eject a server, one does not; a probe that succeeds ends the ejection.
func TestHealth(t *testing.T) {
	h := newHarness(settings(), fleet(6, 1))
	m := h.members[0]
	h.recordFailure(h.now, m)
	if m.ejected {
		t.Error("one failure ejected the server")
	}
	if len(h.probes) != 1 || h.probes[0] != m.ID {
		t.Errorf("after one failure probed %v", h.probes)
	}
	h.ProbeResult(h.now, m.ID, Timeout, NoReport)
	if !m.ejected || m.retryAt <= h.now {
		t.Error("two failures in a row did not eject the server")
	}
	h.ProbeResult(h.now, m.ID, OK, Report{Connections: 1, Load: 0.1, Util: -1})
	if m.ejected {
		t.Error("a probe that succeeded did not end the ejection")
	}
}

// TestZoneEjection: a few failures in another zone eject all of it; the proxy's own zone is never ejected.
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
		t.Errorf("other zone ejected: %v, own zone: %v", h.zones[1].ejected, h.zones[0].ejected)
	}
}

// TestFullBackoff: a server that answers full gets nothing for a backoff that grows each time, as it may drain without being listed so.
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
			t.Errorf("backoff %v after %v", backoff, previous)
		}
		previous = backoff
	}
}

// TestProbeTimeoutMigrates: two probes that time out migrate a server's connections, as it may have vanished. Errors and resets do not: such a
// server may still serve its clients, and otherwise it resets them itself.
func TestProbeTimeoutMigrates(t *testing.T) {
	for name, set := range siteSettings() {
		for result, want := range map[Result]int{Timeout: 5, ConnectFailed: 0, Reset: 0, Error: 0, Full: 0} {
			h := newHarness(set, fleet(4, 1))
			for id := range RequestID(5) {
				h.AddExisting(h.now, Request{ID: 100 + id, Load: 0.1}, h.members[0].ID)
			}
			for n := range memberFailureThreshold {
				if h.ProbeResult(h.now, h.members[0].ID, result, NoReport); n == 0 && len(h.migrations) > 0 {
					t.Errorf("%s, %v: migrated %d after one probe", name, result, len(h.migrations))
				}
			}
			if len(h.migrations) != want {
				t.Errorf("%s, %v: migrated %d of 5, want %d", name, result, len(h.migrations), want)
			}
		}
	}
}

// TestProbeBudget: probes stay within the budget that their price allows, and there are none if the settings forbid them.
func TestProbeBudget(t *testing.T) {
	for _, tt := range []struct {
		name           string
		price          float64
		canProbe       bool
		mostPerRequest float64
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
			if probes > 200*tt.mostPerRequest+30 || tt.mostPerRequest > 0 && probes == 0 {
				t.Errorf("%v probes for 200 requests", probes)
			}
		})
	}
}

// TestHealthCheck: servers with own connections are probed even while no request arrives, or a backlog would go unseen; others are not, and
// never beyond the budget of probes.
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
			t.Fatalf("check %d probed %v, want only the server with the connection", n, h.probes)
		}
		h.answerProbes()
	}
	if last := h.timers[len(h.timers)-1]; last.token != tokenHealthCheck || last.delay < h.reportLag()/2 {
		t.Errorf("the next check: %+v", last)
	}
	h.now += 2 * h.reportLag()
	h.probeTokens = 0.5
	if h.Balancer.Timer(h.now, tokenHealthCheck); len(h.probes) != 0 {
		t.Errorf("probed %v beyond the budget", h.probes)
	}
}

// TestFailuresOutlastProbes: a server that fails connections but answers probes is reinstated by a probe after its backoff, yet one more
// failure ejects it again, until a connection is established there. Failures of attempts that were in flight at the ejection do not lengthen
// the backoff, and there are no probes meanwhile.
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
		t.Fatalf("ejected %v, %d failures, backoff longer by %v, probed %v", m.ejected, m.failures, m.retryAt-until, h.probes)
	}
	h.now = until
	h.ProbeResult(h.now, m.ID, OK, Report{Connections: 1, Load: 0.1, Util: -1})
	if m.ejected {
		t.Fatal("not reinstated by a successful probe")
	}
	if h.recordFailure(h.now, m); !m.ejected {
		t.Fatal("not ejected by a further failure")
	}
	h.now = m.retryAt
	h.ProbeResult(h.now, m.ID, OK, Report{Connections: 1, Load: 0.1, Util: -1})
	id := h.submit(Request{Load: 0.1})
	h.Established(h.now, id)
	if h.recordFailure(h.now, m); m.ejected {
		t.Error("ejected for one failure after a connection was established")
	}
}

package fleet

import (
	"testing"

	"dahliarudder/internal/rollout"
)

// memberNamed returns the member of a view with that name, or the zero value.
func memberNamed(v rollout.View, name string) (m rollout.Member) {
	for _, m = range v.Members {
		if m.Name == name {
			return m
		}
	}
	return rollout.Member{}
}

// TestBuildView: the reports of several relays become one view. A member that has just started has
// little usable capacity, although no relay has reported its capacity yet; flows count while a relay
// reports them; old failures do not count; a report of an earlier process, or one that arrives after a
// later report, changes nothing; a relay is in service only if gossip sees the same process serve.
func TestBuildView(t *testing.T) {
	status, warmup := newFleetStatus(), slowStart{0.25, 8000}
	const now = 1_000_000
	own := ObservedState{Members: []MemberState{{Name: "old", DiscoveryState: "ready", Capacity: 40}, {Name: "new", DiscoveryState: "ready", StartedAt: now - 4000}},
		Peers: []Peer{{Name: "b", Alive: true, Serving: true, Incarnation: 70}, {Name: "c", Gone: true, Incarnation: 5}}}
	newReport := func(start, demandMS, failures uint64, flows int) statusReport {
		return statusReport{Incarnation: start, Phase: RelayServing, DemandMS: demandMS, ServedMS: demandMS, Members: []memberReport{{Name: "old", Flows: flows, Failures: failures}}}
	}
	status.receive(now-3000, "a", newReport(50, 10, 0, 3))
	status.receive(now-2500, "b", newReport(71, 20, 0, 4))
	status.receive(now-2000, "b", newReport(71, 30, 5, 6))
	status.receive(now-1500, "b", newReport(70, 90, 90, 90)) // from an earlier process
	status.receive(now-1400, "b", newReport(71, 25, 5, 90))  // older than the last report, by its counters
	v := status.buildView(now, now-9000, 8000, "a", own, warmup)
	if m := memberNamed(v, "new"); m.Capacity != 40 || m.UsableCapacity != 25 {
		t.Errorf("member in slow start: usable capacity %v of %v, want 25 of 40", m.UsableCapacity, m.Capacity)
	}
	if m := memberNamed(v, "old"); m.FlowsByRelay["a"].Flows != 3 || m.FlowsByRelay["b"].Flows != 6 || !m.Failing || m.UsableCapacity != 40 || v.Load != 9 {
		t.Errorf("member %+v, load %v; want 3 flows of a, 6 of b, load 9, failing, usable capacity 40", m, v.Load)
	}
	if m := memberNamed(status.buildView(now+attemptWindowMS, now-9000, 8000, "a", own, warmup), "old"); m.Failing {
		t.Errorf("member still failing %d ms later, after all failures have left the window", attemptWindowMS)
	}
	for _, r := range v.Relays {
		want := map[string][2]bool{"a": {true, false}, "b": {false, false}, "c": {false, true}}[r.Name]
		if r.InService != want[0] || r.Exited != want[1] {
			t.Errorf("relay %+v: want InService %v, Exited %v", r, want[0], want[1])
		}
	}
	later := status.buildView(now+60_000, now-9000, 8000, "a", own, warmup).Relays
	if later[0].ReportAgeMS != 63_000 || later[1].ReportAgeMS != 8000 || later[2].ReportAgeMS != 69_000 {
		t.Errorf("report ages %d (a), %d (b, alive by gossip), %d (c, never reported); want 63000, 8000, 69000",
			later[0].ReportAgeMS, later[1].ReportAgeMS, later[2].ReportAgeMS)
	}
	own.Peers[0].Incarnation = 71
	if v := status.buildView(now, now-9000, 8000, "a", own, warmup); !v.Relays[1].InService {
		t.Errorf("relay %+v: not in service although gossip sees the same process serve", v.Relays[1])
	}
	status.receive(now-1000, "a", newReport(50, 14, 0, 0))
	if m := memberNamed(status.buildView(now, now-9000, 8000, "a", own, warmup), "old"); len(m.FlowsByRelay) != 1 {
		t.Errorf("flows by relay %v, want only those of b", m.FlowsByRelay)
	}
	if n := len(status.serviceWindows); n == 0 || status.serviceWindows[n-1].Served == 0 {
		t.Errorf("service windows %v, want served time in the last one", status.serviceWindows)
	}
	status.receive(now, "c", statusReport{Incarnation: 5, Members: []memberReport{{Name: "ended", Flows: 2}}})
	for _, next := range []Peer{own.Peers[1], {Name: "c", Alive: true, Incarnation: 6}} {
		own.Peers[1] = next
		if m := memberNamed(status.buildView(now, now-9000, 8000, "a", own, warmup), "ended"); m.Name != "" {
			t.Errorf("flows of a process that has ended keep their member in the view: %+v", m)
		}
	}
}

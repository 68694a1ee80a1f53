package loadestimate

import (
	"testing"
	"time"

	"dahliarudder/policy"
)

// TestReport checks that an idle member has its configured capacity and no backlog, that the flows
// of all relays count, and that latencies above the member's best show as a backlog that decays.
func TestReport(t *testing.T) {
	e := New(1000, 4)
	if r := e.Report(1, 0); r.Connections/r.Load != 1000 || r.Load > 0.1 || r.Backlog != 0 {
		t.Errorf("Report of an idle member = %+v, want connections/load = 1000, load at most 0.1, no backlog", r)
	}
	if r := e.Report(1, 200); r.Load != 0.8 || r.Connections != 800 {
		t.Errorf("Report with 200 flows, 4 relays, capacity 1000 = %+v, want load 0.8, 800 connections", r)
	}
	for range 50 {
		e.ObserveLatency(1, time.Millisecond)
	}
	for range 20 {
		e.ObserveLatency(1, 200*time.Millisecond)
	}
	if r := e.Report(1, 0); r.Backlog < 0.1 || r.Backlog > 0.2 {
		t.Errorf("backlog after latencies 199 ms above the best = %v s, want 0.1 to 0.2", r.Backlog)
	}
	for range 40 {
		e.ObserveLatency(1, 4*time.Millisecond)
	}
	if r := e.Report(1, 0); r.Backlog > 0.001 {
		t.Errorf("backlog after 40 latencies below the noise limit = %v s, want at most 0.001", r.Backlog)
	}
	e.Forget(func(policy.MemberID) bool { return false })
	if len(e.members) != 0 {
		t.Errorf("%d members have estimates after Forget, want none", len(e.members))
	}
}

// TestFillMissing checks that only a report without a usable capacity is changed.
func TestFillMissing(t *testing.T) {
	e := New(1000, 1)
	for _, r := range []policy.Report{{Connections: 75, Load: 0.5}, {Connections: 100, Load: 0.01}, policy.NoReport} {
		if got := e.FillMissing(r); got != r {
			t.Errorf("FillMissing(%+v) = %+v, want it unchanged", r, got)
		}
	}
	if got := e.FillMissing(policy.Report{Connections: 3, Load: 0.001, Backlog: 0.5}); got.Connections/got.Load != 1000 || got.Backlog != 0.5 {
		t.Errorf("FillMissing of an idle member's report = %+v, want connections/load = 1000 and backlog 0.5", got)
	}
}

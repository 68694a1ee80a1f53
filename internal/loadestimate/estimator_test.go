package loadestimate

import (
	"testing"
	"time"

	"dahliarudder/policy"
)

// TestReport: an idle member has its configured capacity and no backlog. The flows of all relays count. Latencies above the member's best
// show as a backlog, which decays again.
func TestReport(t *testing.T) {
	e := New(1000, 4)
	if r := e.Report(1, 0); r.Connections/r.Load != 1000 || r.Load > 0.1 || r.Backlog != 0 {
		t.Errorf("idle: %+v", r)
	}
	if r := e.Report(1, 200); r.Load != 0.8 || r.Connections != 800 {
		t.Errorf("200 flows of 4 relays on a capacity of 1000: %+v", r)
	}
	for range 50 {
		e.ObserveLatency(1, time.Millisecond)
	}
	for range 20 {
		e.ObserveLatency(1, 200*time.Millisecond)
	}
	if r := e.Report(1, 0); r.Backlog < 0.1 || r.Backlog > 0.2 {
		t.Errorf("backlog %v after latencies 199 ms above the best", r.Backlog)
	}
	for range 40 {
		e.ObserveLatency(1, 4*time.Millisecond)
	}
	if r := e.Report(1, 0); r.Backlog > 0.001 {
		t.Errorf("backlog %v after low latencies", r.Backlog)
	}
	e.Forget(func(policy.MemberID) bool { return false })
	if len(e.members) != 0 {
		t.Error("a forgotten member is still known")
	}
}

// TestFillMissing: only a report without a usable capacity is completed.
func TestFillMissing(t *testing.T) {
	e := New(1000, 1)
	for _, r := range []policy.Report{{Connections: 75, Load: 0.5}, {Connections: 100, Load: 0.01}, policy.NoReport} {
		if got := e.FillMissing(r); got != r {
			t.Errorf("%+v was changed to %+v", r, got)
		}
	}
	if got := e.FillMissing(policy.Report{Connections: 3, Load: 0.001, Backlog: 0.5}); got.Connections/got.Load != 1000 || got.Backlog != 0.5 {
		t.Errorf("%+v", got)
	}
}

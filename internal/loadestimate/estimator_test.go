package loadestimate

import (
	"testing"
	"time"

	"dahliarudder/policy"
)

// TestReport: an idle member has its configured width and no work piled up; flows of all
// relays count; answers later than its best show as work piled up and are forgotten again.
func TestReport(t *testing.T) {
	g := New(1000, 4)
	if r := g.Report(1, 0); r.Connections/r.Load != 1000 || r.Load > 0.1 || r.Backlog != 0 {
		t.Errorf("idle: %+v", r)
	}
	if r := g.Report(1, 200); r.Load != 0.8 || r.Connections != 800 {
		t.Errorf("200 flows of 4 relays on a width of 1000: %+v", r)
	}
	for range 50 {
		g.ObserveLatency(1, time.Millisecond)
	}
	for range 20 {
		g.ObserveLatency(1, 200*time.Millisecond)
	}
	if r := g.Report(1, 0); r.Backlog < 0.1 || r.Backlog > 0.2 {
		t.Errorf("backlog %v after answers 199 ms late", r.Backlog)
	}
	for range 40 {
		g.ObserveLatency(1, 4*time.Millisecond)
	}
	if r := g.Report(1, 0); r.Backlog > 0.001 {
		t.Errorf("backlog %v long after", r.Backlog)
	}
	g.Forget(func(policy.ServerID) bool { return false })
	if len(g.members) != 0 {
		t.Error("a member that is gone is kept")
	}
}

// TestFill: a report that tells something is left alone.
func TestFill(t *testing.T) {
	g := New(1000, 1)
	for _, r := range []policy.Report{{Connections: 75, Load: 0.5}, {Connections: 100, Load: 0.01}, policy.NoReport} {
		if got := g.FillMissing(r); got != r {
			t.Errorf("%+v became %+v", r, got)
		}
	}
	if got := g.FillMissing(policy.Report{Connections: 3, Load: 0.001, Backlog: 0.5}); got.Connections/got.Load != 1000 || got.Backlog != 0.5 {
		t.Errorf("%+v", got)
	}
}

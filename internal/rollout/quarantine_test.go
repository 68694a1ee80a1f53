package rollout

import (
	"slices"
	"strconv"
	"testing"
)

// TestQuarantine lets half of the fleet drift. The worst relays are quarantined first, as many as the budget
// allows by number, zone and capacity. A release may take a quarantined relay without using up more of the
// budget, and the relay counts as out until it is seen to serve again.
func TestQuarantine(t *testing.T) {
	b := Budgets{Relays: Budget{Total: Limit{Count: 3}}, SilentAfterMS: 100, ViewMaxAgeMS: 100, DrainTimeoutMS: 100, StartTimeoutMS: 100, PermitWindowMS: 100}
	var s *State
	var v View
	reset := func() {
		s, v = New(), View{At: 1e6, Unfit: map[string]string{}, UnfitOrder: []string{"n6", "n2", "n1"}}
		for i := range 8 {
			r := Relay{Name: "n" + strconv.Itoa(i), Zone: "z" + strconv.Itoa(i%2), StartNumber: 5, Phase: "serving", InService: true, Flows: 50, Capacity: 100}
			if v.Relays = append(v.Relays, r); i%2 == 0 {
				v.Unfit[r.Name] = "late"
			}
		}
	}
	// plan applies the planned commands and compares the quarantined relays with want.
	plan := func(b Budgets, want string) {
		t.Helper()
		for _, c := range s.Plan(v.At, v, b) {
			expect(t, s, v.At, "", c)
		}
		got := ""
		for _, x := range s.Quarantines() {
			got += x.Name + " "
		}
		if got != want {
			t.Errorf("quarantined relays after Plan = %q, want %q", got, want)
		}
	}
	zonal, tight, wide := b, b, b
	zonal.Relays.PerZone, tight.CapacityReserve, wide.Relays.Total = Limit{Count: 2}, 0.7, Limit{Count: 9}
	for want, budgets := range map[string]Budgets{"n6 n2 ": zonal, "n6 ": tight, "n6 n2 n0 n4 ": wide} {
		reset()
		plan(budgets, want)
		plan(budgets, want)
	}
	reset()
	plan(b, "n6 n2 n0 ")
	if o := s.Orders("n6").Quarantine; o == nil || o.Reason != "late" || o.StartNumber != 5 || s.Orders("n1").Quarantine != nil {
		t.Errorf("quarantine orders: n6 %+v, n1 %+v, want reason late and start number 5 for n6, none for n1",
			o, s.Orders("n1").Quarantine)
	}
	if withoutQuarantines, err := Decode([]byte(`{"version":3,"at":9,"number":1}`)); err != nil || len(withoutQuarantines.Quarantines()) > 0 {
		t.Errorf("Decode of a state without quarantines: error %v, want a state with none", err)
	}
	// A quarantine that exceeds the budget, or was planned from a stale state or view, is rejected.
	c := Command{Kind: CommandQuarantine, Name: "n4", Zone: "z0", StartNumber: 5, BaseVersion: s.Version(), ViewSummary: s.record.newPlanner(v.At, v, b).viewSummary()}
	expect(t, s, v.At, "3 of 3", c)
	expect(t, s, v.At+101, "ms old", c)
	c.BaseVersion--
	expect(t, s, v.At, "version", c)

	// A release takes the quarantined relays although the budget is used up, and no other relays.
	expect(t, s, v.At, ReleaseQueued, Command{Kind: CommandOpen, Name: "r", Release: &ReleaseSpec{Kind: KindRelay, All: true}})
	plan(b, "n6 n2 n0 ")
	plan(b, "n6 n2 n0 ")
	for _, r := range v.Relays {
		if o := s.Orders(r.Name); (o.Leave != nil) != (o.Quarantine != nil) {
			t.Errorf("Orders(%q) = %+v, want a leave order exactly if it is quarantined", r.Name, o)
		}
	}
	// A unit with a revoked order is pending again once its relay has applied the revocation, although the
	// quarantined relay does not serve. It can then be ordered to leave again.
	expect(t, s, v.At, ReleaseHalted, Command{Kind: CommandHalt, Name: "r"})
	for i := range v.Relays {
		if x := &v.Relays[i]; v.Unfit[x.Name] != "" && x.Name != "n4" {
			x.Phase, x.InService = "shut", false
			plan(b, "n6 n2 n0 ")
			x.AppliedVersion = s.Version()
		}
	}
	plan(b, "n6 n2 n0 ")
	expect(t, s, v.At, ReleaseRunning, Command{Kind: CommandResume, Name: "r"})
	plan(b, "n6 n2 n0 ")
	if s.Orders("n2").Leave == nil {
		t.Errorf("unit n2 after the release resumed = %+v, want a leave order",
			s.record.findRelease("r").findUnit("n2"))
	}
	// A restarted relay is readmitted, and counts as out until it is seen to serve after that. Then the next
	// relay is quarantined.
	r := &v.Relays[6]
	r.StartNumber, r.Phase, r.InService = 6, "shut", false
	delete(v.Unfit, "n6")
	plan(b, "n2 n0 ")
	r.Phase, r.InService = "serving", true
	plan(b, "n2 n0 ")
	r.AppliedVersion = s.Version()
	plan(b, "n2 n0 n4 ")

	// A relay that no longer drifts is readmitted, but not before SilentAfterMS and not while it is silent.
	delete(v.Unfit, "n4")
	plan(b, "n2 n0 n4 ")
	v.At += b.SilentAfterMS
	v.Relays[4].ReportAgeMS = b.SilentAfterMS + 1
	plan(b, "n2 n0 n4 ")
	v.Relays[4].ReportAgeMS = 0
	plan(b, "n2 n0 ")

	// An operator's readmission overrides the drift until the relay restarts. The quarantine of a relay that
	// has left the view is removed.
	reset()
	r = &v.Relays[6]
	plan(b, "n6 n2 n0 ")
	expect(t, s, v.At, CommandReadmit, Command{Kind: CommandReadmit, Name: "n6"})
	expect(t, s, v.At, "not shut", Command{Kind: CommandReadmit, Name: "n6"})
	plan(b, "n2 n0 ")
	r.AppliedVersion = s.Version()
	plan(b, "n2 n0 n4 ")
	plan(b, "n2 n0 n4 ")
	r.StartNumber = 6
	v.Relays = slices.DeleteFunc(v.Relays, func(r Relay) bool { return r.Name == "n2" })
	plan(b, "n0 n4 ")
	plan(b, "n0 n4 n6 ")
	if s.record.findQuarantine("n2") != nil {
		t.Errorf("quarantine of n2 = %+v, want none: n2 is not in the view any more", s.record.findQuarantine("n2"))
	}
}

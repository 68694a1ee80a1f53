package rollout

import (
	"slices"
	"strconv"
	"testing"
)

// TestQuarantine: half of the fleet drifts: the worst go first, no more than the budget allows by number, zone and capacity. A quarantined relay may be
// released at no further cost, and counts until it is seen to serve again.
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
	// plan applies what is planned, and wants these relays quarantined then.
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
			t.Errorf("shut: %s, not %s", got, want)
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
		t.Errorf("%+v", o)
	}
	if withoutQuarantines, err := Decode([]byte(`{"version":3,"at":9,"number":1}`)); err != nil || len(withoutQuarantines.Quarantines()) > 0 {
		t.Error("a state of before", err)
	}
	// What was planned from a stale state or view takes nothing out.
	c := Command{Kind: CommandQuarantine, Name: "n4", Zone: "z0", StartNumber: 5, BaseVersion: s.Version(), ViewSummary: s.record.newPlanner(v.At, v, b).viewSummary()}
	expect(t, s, v.At, "3 of 3", c)
	expect(t, s, v.At+101, "ms old", c)
	c.BaseVersion--
	expect(t, s, v.At, "version", c)

	// A release takes the quarantined relays although the budget is used up, and no other.
	expect(t, s, v.At, ReleaseQueued, Command{Kind: CommandOpen, Name: "r", Release: &ReleaseSpec{Kind: KindRelay, All: true}})
	plan(b, "n6 n2 n0 ")
	plan(b, "n6 n2 n0 ")
	for _, r := range v.Relays {
		if o := s.Orders(r.Name); (o.Leave != nil) != (o.Quarantine != nil) {
			t.Errorf("%s: %+v", r.Name, o)
		}
	}
	// A revoked one is pending again once it has applied that, although it does not serve; so it may go again.
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
		t.Errorf("%+v", s.record.findRelease("r").findUnit("n2"))
	}
	// One comes back: it is readmitted, and counts until it is seen to serve after that; then the next is quarantined.
	r := &v.Relays[6]
	r.StartNumber, r.Phase, r.InService = 6, "shut", false
	delete(v.Unfit, "n6")
	plan(b, "n2 n0 ")
	r.Phase, r.InService = "serving", true
	plan(b, "n2 n0 ")
	r.AppliedVersion = s.Version()
	plan(b, "n2 n0 n4 ")

	// One that is fit again is readmitted, but not at each look; and not while it is silent.
	delete(v.Unfit, "n4")
	plan(b, "n2 n0 n4 ")
	v.At += b.SilentAfterMS
	v.Relays[4].ReportAgeMS = b.SilentAfterMS + 1
	plan(b, "n2 n0 n4 ")
	v.Relays[4].ReportAgeMS = 0
	plan(b, "n2 n0 ")

	// An operator's readmission overrides the drift, until the relay restarts. One that is gone needs no tracking.
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
		t.Error("it is gone, and still counts")
	}
}

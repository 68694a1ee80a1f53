package rollout

import (
	"cmp"
	"encoding/json"
	"strconv"
	"strings"
	"testing"
)

// expect applies a command and wants it answered with a state, or with an error that contains a text.
func expect[S ~string](t *testing.T, s *State, at int64, want S, c Command) {
	t.Helper()
	var result Result
	if err := json.Unmarshal(s.Apply(at, "n1", c.Encode()), &result); err != nil || !strings.Contains(result.State+result.Error, string(want)) {
		t.Fatalf("%+v: %+v, %v, not %q", c, result, err, want)
	}
}

// TestHalts: who may resume what: nobody but an operator after an operator or a verdict, nor after a second time for the same cause.
func TestHalts(t *testing.T) {
	open := func() *State {
		s := New()
		expect(t, s, 1, ReleaseQueued, Command{Kind: CommandOpen, Name: "r", Release: &ReleaseSpec{Kind: KindRelay, Names: []string{"a", "b"}}})
		expect(t, s, 2, ReleaseRunning, Command{Kind: CommandSetUnits, Name: "r", Units: []Unit{{Name: "a", Kind: KindRelay}, {Name: "b", Kind: KindRelay}}})
		return s
	}
	leaderCommand := func(s *State, kind CommandKind, cause Cause) Command {
		return Command{Kind: kind, Name: "r", Cause: cause, BaseVersion: s.Version()}
	}
	for _, cause := range []Cause{HaltOverBudget, HaltOverdue, HaltServiceDegraded, HaltDrift, HaltStalled, HaltVerdict, ""} {
		s := open()
		halt := leaderCommand(s, CommandHalt, cause)
		expect(t, s, 3, ReleaseHalted, halt)
		expect(t, s, 4, "", leaderCommand(s, CommandResume, cmp.Or(cause, HaltOverdue)))
		needsOperator := cause == HaltVerdict || cause == ""
		if a, _ := s.Release("r"); (a.State == ReleaseHalted) != needsOperator {
			t.Errorf("%q: %s after it resumed by itself", cause, a.State)
		}
		if !needsOperator {
			expect(t, s, 5, ReleaseHalted, leaderCommand(s, CommandHalt, cause))
			s.Apply(6, "n1", leaderCommand(s, CommandResume, cause).Encode())
			if a, _ := s.Release("r"); (a.State == ReleaseHalted) != (cause == HaltServiceDegraded || cause == HaltOverdue) {
				t.Errorf("%q a second time: %s", cause, a.State)
			}
		}
		s.Apply(7, "n1", Command{Kind: CommandResume, Name: "r"}.Encode())
		if a, _ := s.Release("r"); a.State != ReleaseRunning {
			t.Errorf("%q: an operator could not resume it", cause)
		}
	}
	s := open()
	expect(t, s, 3, "version", Command{Kind: CommandHalt, Name: "r", Cause: HaltDrift, BaseVersion: s.Version() - 1})
	expect(t, s, 3, ReleaseHalted, leaderCommand(s, CommandHalt, HaltDrift))
	expect(t, s, 4, ReleaseHalted, Command{Kind: CommandHalt, Name: "r"}) // an operator's takes precedence
	expect(t, s, 5, "operator", leaderCommand(s, CommandResume, HaltDrift))
}

// TestOverlappingReleases: of two that touch the same members the second waits, or is rejected with the first's name.
func TestOverlappingReleases(t *testing.T) {
	s := New()
	expect(t, s, 1, ReleaseQueued, Command{Kind: CommandOpen, Name: "first", Release: &ReleaseSpec{Kind: KindMember, Names: []string{"a", "b"}}})
	expect(t, s, 1, `"first"`, Command{Kind: CommandOpen, Name: "second", Release: &ReleaseSpec{Kind: KindMember, Zones: []string{"z"}}})
	expect(t, s, 1, `"first"`, Command{Kind: CommandOpen, Name: "second", Release: &ReleaseSpec{Kind: KindEject, Eject: []string{"b"}}})
	expect(t, s, 1, ReleaseQueued, Command{Kind: CommandOpen, Name: "other", Release: &ReleaseSpec{Kind: KindMember, Names: []string{"c"}}})
	expect(t, s, 1, ReleaseQueued, Command{Kind: CommandOpen, Name: "second", Release: &ReleaseSpec{Kind: KindMember, All: true, Queue: true}})
	expect(t, s, 2, "laid out", Command{Kind: CommandSetUnits, Name: "second", Units: []Unit{{Name: "a", Kind: KindMember}}})
	expect(t, s, 3, ReleaseRolledBack, Command{Kind: CommandRollBack, Name: "first"})
	if a, _ := s.Release("second"); a.QueuedBehind != "other" {
		t.Errorf("it waits behind %q", a.QueuedBehind)
	}
	expect(t, s, 3, ReleaseRolledBack, Command{Kind: CommandRollBack, Name: "other"})
	expect(t, s, 4, ReleaseRunning, Command{Kind: CommandSetUnits, Name: "second", Units: []Unit{{Name: "a", Kind: KindMember}}})
	expect(t, s, 5, `"second"`, Command{Kind: CommandRollBack, Name: "first"})

	// A stranded unit is reverted as soon as what blocked it has ended: no other command may ever come.
	s = New()
	s.record.Releases = []release{{ReleaseStatus: ReleaseStatus{Name: "first", State: ReleaseRolledBack, Spec: ReleaseSpec{Kind: KindMember, All: true}, Units: []Unit{{Name: "a", Kind: KindMember, Phase: PhaseDone, Updated: true}}}},
		{ReleaseStatus: ReleaseStatus{Name: "second", State: ReleaseRollingBack, Spec: ReleaseSpec{Kind: KindEject, Eject: []string{"a"}}, Units: []Unit{{Name: "a", Kind: KindEject, Phase: PhaseLeaving, Reverting: true}}}}}
	expect(t, s, 6, "", Command{Kind: CommandObserve, Observations: []Observation{{Release: "second", Unit: "a", Phase: PhaseDone}}})
	for name, want := range map[string]ReleaseState{"first": ReleaseRollingBack, "second": ReleaseRolledBack} {
		if a, _ := s.Release(name); a.State != want {
			t.Errorf("%s is %s", name, a.State)
		}
	}
}

// TestStranded: a stranded member is out until it is back as it was, is gone, or an operator accepts it as it is. Each is reported once.
func TestStranded(t *testing.T) {
	b := Budgets{SilentAfterMS: 100, ViewMaxAgeMS: 100, DrainTimeoutMS: 100, StartTimeoutMS: 100, PermitWindowMS: 100}
	for _, reinstate := range []bool{false, true} {
		s, v := New(), View{At: 1e6, Relays: []Relay{{Name: "n", InService: true}}, Members: []Member{{Name: "a", Program: "b3", Started: 9, Capacity: 1, UsableCapacity: 1}}}
		s.record.Releases = []release{{ReleaseStatus: ReleaseStatus{Name: "r", State: ReleaseRolledBack, RollingBack: true, Spec: ReleaseSpec{Kind: KindMember, All: true, Program: "b2"}, Units: []Unit{
			{Name: "a", Kind: KindMember, PreviousProgram: "b1", Phase: PhaseDrained, Stranded: true, OrderNumber: 1, SeenStart: 5}}}}}
		if plan := s.Plan(v.At, v, b); plan != nil || s.Orders("n").Exclusions["a"].Reason != "drain" {
			t.Errorf("%+v, %+v", plan, s.Orders("n"))
		}
		if reinstate {
			expect(t, s, v.At, "", Command{Kind: CommandReinstate, Names: []string{"a"}})
		} else {
			v.Members = nil
			expect(t, s, v.At, "", s.Plan(v.At, v, b)[0])
		}
		a, _ := s.Release("r")
		if plan := s.Plan(v.At, v, b); plan != nil || s.Orders("n").Exclusions != nil || len(s.record.plannedOut(KindMember)) > 0 || len(a.Exceptions) != 1 {
			t.Errorf("allowed %v: %+v, %+v", reinstate, plan, a)
		}
	}
}

// TestUnknownVersions: a relay that has not reported what it runs could not be reverted: its release waits for the report, unless it stays silent. Then
// it cannot be reverted.
func TestUnknownVersions(t *testing.T) {
	s, b := New(), Budgets{SilentAfterMS: 100, ViewMaxAgeMS: 100, DrainTimeoutMS: 500, StartTimeoutMS: 500, PermitWindowMS: 100}
	v := View{At: 1000, Relays: []Relay{{Name: "a", ReportAgeMS: 1}, {Name: "b", Program: "p1", StartNumber: 1, InService: true}}}
	expect(t, s, v.At, ReleaseQueued, Command{Kind: CommandOpen, Name: "first", Release: &ReleaseSpec{Kind: KindRelay, Names: []string{"b"}}})
	expect(t, s, v.At, ReleaseQueued, Command{Kind: CommandOpen, Name: "r", Release: &ReleaseSpec{Kind: KindRelay, All: true, Program: "p2", Queue: true}})
	v.At += 5000
	expect(t, s, v.At, ReleaseRolledBack, Command{Kind: CommandRollBack, Name: "first"})
	v.At += 1000 // since it is queued behind none
	if plan := s.Plan(v.At, v, b); plan != nil {
		t.Errorf("%+v", plan)
	}
	v.At++
	expect(t, s, v.At, ReleaseRunning, s.Plan(v.At, v, b)[0])
	r := s.record.findRelease("r")
	for i := range r.Units {
		r.Units[i].Updated = true
	}
	if r.revertible(r.findUnit("a")) || !r.revertible(r.findUnit("b")) {
		t.Errorf("%+v", r.Units)
	}
}

// TestUnitOrder: the smallest first, one of each zone in turn; zone by zone where all that may be out fits into one.
func TestUnitOrder(t *testing.T) {
	v := View{At: 1, Relays: []Relay{{Name: "r", Zone: "a"}}}
	for i, zone := range []string{"a", "b", "a", "b"} {
		v.Members = append(v.Members, Member{Name: "m" + strconv.Itoa(i), Zone: zone, Capacity: 9, UsableCapacity: float64(9 - i)})
	}
	for want, budget := range map[string]Budget{
		"m3 m2 m1 m0 ": {Total: Limit{Count: 2}, PerZone: Limit{Count: 1}},
		"m3 m1 m2 m0 ": {Total: Limit{Count: 1}, PerZone: Limit{Count: 1}},
	} {
		s := New()
		expect(t, s, 1, ReleaseQueued, Command{Kind: CommandOpen, Name: "r", Release: &ReleaseSpec{Kind: KindMember, All: true}})
		got := ""
		for _, u := range s.Plan(1, v, Budgets{Members: budget})[0].Units {
			got += u.Name + " "
		}
		if got != want {
			t.Errorf("%+v: %s, not %s", budget, got, want)
		}
	}
}

// TestSuccessorIsNotLost: a successor of another name does not count as lost beside the member that it replaces: the release does not halt for it.
func TestSuccessorIsNotLost(t *testing.T) {
	b := Budgets{SilentAfterMS: 100, ViewMaxAgeMS: 100, DrainTimeoutMS: 1000, StartTimeoutMS: 1000, WarmupMS: 1000, PermitWindowMS: 100}
	v := View{At: 1000, Relays: []Relay{{Name: "n", InService: true}}, Members: []Member{{Name: "a.1", Started: 990, Capacity: 1, UsableCapacity: 0.3}, {Name: "b", Capacity: 1, UsableCapacity: 1}}}
	s := New()
	s.record.Releases = []release{{UnitsSet: true, ReleaseStatus: ReleaseStatus{Name: "r", State: ReleaseRunning, Spec: ReleaseSpec{Kind: KindMember, All: true}, Units: []Unit{
		{Name: "a", Kind: KindMember, Phase: PhaseDrained, OrderNumber: 1, OrderedAt: 900, SeenStart: 5}, {Name: "b", Kind: KindMember}}}}}
	for _, c := range s.Plan(v.At, v, b) {
		expect(t, s, v.At, "", c)
	}
	if a, _ := s.Release("r"); a.State != ReleaseRunning || a.Units[0].Phase != PhaseReplaced || a.Units[0].Successor != "a.1" {
		t.Errorf("%+v, %+v", a, a.Halt)
	}
}

package rollout

import (
	"cmp"
	"encoding/json"
	"strconv"
	"strings"
	"testing"
)

// expect applies a command and checks that the answer's state or error contains want.
func expect[S ~string](t *testing.T, s *State, at int64, want S, c Command) {
	t.Helper()
	var result Result
	if err := json.Unmarshal(s.Apply(at, "n1", c.Encode()), &result); err != nil || !strings.Contains(result.State+result.Error, string(want)) {
		t.Fatalf("Apply(%+v) = %+v, %v, want state or error to contain %q", c, result, err, want)
	}
}

// TestHalts checks who may resume a halted release. Only an operator may after an operator's halt, after a
// verdict, and after a second halt for degraded service or an overdue unit.
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
			t.Errorf("halt cause %q: state after a resume by the leader = %s, want it halted: %v",
				cause, a.State, needsOperator)
		}
		if !needsOperator {
			expect(t, s, 5, ReleaseHalted, leaderCommand(s, CommandHalt, cause))
			s.Apply(6, "n1", leaderCommand(s, CommandResume, cause).Encode())
			if a, _ := s.Release("r"); (a.State == ReleaseHalted) != (cause == HaltServiceDegraded || cause == HaltOverdue) {
				t.Errorf("second halt with cause %q: state after a resume by the leader = %s, want it halted only for %q and %q",
					cause, a.State, HaltServiceDegraded, HaltOverdue)
			}
		}
		s.Apply(7, "n1", Command{Kind: CommandResume, Name: "r"}.Encode())
		if a, _ := s.Release("r"); a.State != ReleaseRunning {
			t.Errorf("halt cause %q: state after a resume by an operator = %s, want %s", cause, a.State, ReleaseRunning)
		}
	}
	s := open()
	expect(t, s, 3, "version", Command{Kind: CommandHalt, Name: "r", Cause: HaltDrift, BaseVersion: s.Version() - 1})
	expect(t, s, 3, ReleaseHalted, leaderCommand(s, CommandHalt, HaltDrift))
	// An operator's halt takes precedence over the leader's.
	expect(t, s, 4, ReleaseHalted, Command{Kind: CommandHalt, Name: "r"})
	expect(t, s, 5, "operator", leaderCommand(s, CommandResume, HaltDrift))
}

// TestOverlappingReleases checks that a release that overlaps an earlier one is queued behind it, or is
// rejected with the earlier one's name if it may not be queued.
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
		t.Errorf("QueuedBehind of release second = %q, want %q", a.QueuedBehind, "other")
	}
	expect(t, s, 3, ReleaseRolledBack, Command{Kind: CommandRollBack, Name: "other"})
	expect(t, s, 4, ReleaseRunning, Command{Kind: CommandSetUnits, Name: "second", Units: []Unit{{Name: "a", Kind: KindMember}}})
	expect(t, s, 5, `"second"`, Command{Kind: CommandRollBack, Name: "first"})

	// A stranded unit that is back is reverted as soon as the release that blocked it has ended, without a
	// further command: none might ever come.
	s = New()
	s.record.Releases = []release{{ReleaseStatus: ReleaseStatus{Name: "first", State: ReleaseRolledBack, Spec: ReleaseSpec{Kind: KindMember, All: true}, Units: []Unit{{Name: "a", Kind: KindMember, Phase: PhaseDone, Updated: true}}}},
		{ReleaseStatus: ReleaseStatus{Name: "second", State: ReleaseRollingBack, Spec: ReleaseSpec{Kind: KindEject, Eject: []string{"a"}}, Units: []Unit{{Name: "a", Kind: KindEject, Phase: PhaseLeaving, Reverting: true}}}}}
	expect(t, s, 6, "", Command{Kind: CommandObserve, Observations: []Observation{{Release: "second", Unit: "a", Phase: PhaseDone}}})
	for name, want := range map[string]ReleaseState{"first": ReleaseRollingBack, "second": ReleaseRolledBack} {
		if a, _ := s.Release(name); a.State != want {
			t.Errorf("state of release %s = %s, want %s", name, a.State, want)
		}
	}
}

// TestStranded checks that a stranded member counts as out until it is back in service with its previous
// program, has left the view, or is accepted by an operator as it is, and that it is listed as an exception
// once.
func TestStranded(t *testing.T) {
	b := Budgets{SilentAfterMS: 100, ViewMaxAgeMS: 100, DrainTimeoutMS: 100, StartTimeoutMS: 100, PermitWindowMS: 100}
	for _, reinstate := range []bool{false, true} {
		s, v := New(), View{At: 1e6, Relays: []Relay{{Name: "n", InService: true}}, Members: []Member{{Name: "a", Program: "b3", Started: 9, Capacity: 1, UsableCapacity: 1}}}
		s.record.Releases = []release{{ReleaseStatus: ReleaseStatus{Name: "r", State: ReleaseRolledBack, RollingBack: true, Spec: ReleaseSpec{Kind: KindMember, All: true, Program: "b2"}, Units: []Unit{
			{Name: "a", Kind: KindMember, PreviousProgram: "b1", Phase: PhaseDrained, Stranded: true, OrderNumber: 1, SeenStart: 5}}}}}
		if plan := s.Plan(v.At, v, b); plan != nil || s.Orders("n").Exclusions["a"].Reason != "drain" {
			t.Errorf("stranded member: Plan() = %+v, Orders(n) = %+v, want no command, and the member excluded by a drain",
				plan, s.Orders("n"))
		}
		if reinstate {
			expect(t, s, v.At, "", Command{Kind: CommandReinstate, Names: []string{"a"}})
		} else {
			v.Members = nil
			expect(t, s, v.At, "", s.Plan(v.At, v, b)[0])
		}
		a, _ := s.Release("r")
		if plan := s.Plan(v.At, v, b); plan != nil || s.Orders("n").Exclusions != nil || len(s.record.plannedOut(KindMember)) > 0 || len(a.Exceptions) != 1 {
			t.Errorf("stranded member reinstated (%v) or not in the view: Plan() = %+v, release %+v, want no command, no exclusion, nothing out and one exception",
				reinstate, plan, a)
		}
	}
}

// TestUnknownVersions checks that a release waits for a relay that has not reported its program, because the
// relay could not be reverted. If the relay stays silent, the release starts and the relay is not revertible.
func TestUnknownVersions(t *testing.T) {
	s, b := New(), Budgets{SilentAfterMS: 100, ViewMaxAgeMS: 100, DrainTimeoutMS: 500, StartTimeoutMS: 500, PermitWindowMS: 100}
	v := View{At: 1000, Relays: []Relay{{Name: "a", ReportAgeMS: 1}, {Name: "b", Program: "p1", StartNumber: 1, InService: true}}}
	expect(t, s, v.At, ReleaseQueued, Command{Kind: CommandOpen, Name: "first", Release: &ReleaseSpec{Kind: KindRelay, Names: []string{"b"}}})
	expect(t, s, v.At, ReleaseQueued, Command{Kind: CommandOpen, Name: "r", Release: &ReleaseSpec{Kind: KindRelay, All: true, Program: "p2", Queue: true}})
	v.At += 5000
	expect(t, s, v.At, ReleaseRolledBack, Command{Kind: CommandRollBack, Name: "first"})
	v.At += 1000 // since the release left the queue
	if plan := s.Plan(v.At, v, b); plan != nil {
		t.Errorf("Plan() = %+v, want no command while relay a may still report its program", plan)
	}
	v.At++
	expect(t, s, v.At, ReleaseRunning, s.Plan(v.At, v, b)[0])
	r := s.record.findRelease("r")
	for i := range r.Units {
		r.Units[i].Updated = true
	}
	if r.revertible(r.findUnit("a")) || !r.revertible(r.findUnit("b")) {
		t.Errorf("units %+v: want a not revertible and b revertible", r.Units)
	}
}

// TestUnitOrder checks the order of the units: the smallest usable capacity first, taking one of each zone in
// turn; zone by zone if all that may be out fits into one zone.
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
			t.Errorf("budget %+v: units in order %q, want %q", budget, got, want)
		}
	}
}

// TestSuccessorIsNotUnavailable checks that a successor with a new name does not count as unavailable in
// addition to the member that it replaces, which would halt the release.
func TestSuccessorIsNotUnavailable(t *testing.T) {
	b := Budgets{SilentAfterMS: 100, ViewMaxAgeMS: 100, DrainTimeoutMS: 1000, StartTimeoutMS: 1000, WarmupMS: 1000, PermitWindowMS: 100}
	v := View{At: 1000, Relays: []Relay{{Name: "n", InService: true}}, Members: []Member{{Name: "a.1", Started: 990, Capacity: 1, UsableCapacity: 0.3}, {Name: "b", Capacity: 1, UsableCapacity: 1}}}
	s := New()
	s.record.Releases = []release{{UnitsSet: true, ReleaseStatus: ReleaseStatus{Name: "r", State: ReleaseRunning, Spec: ReleaseSpec{Kind: KindMember, All: true}, Units: []Unit{
		{Name: "a", Kind: KindMember, Phase: PhaseDrained, OrderNumber: 1, OrderedAt: 900, SeenStart: 5}, {Name: "b", Kind: KindMember}}}}}
	for _, c := range s.Plan(v.At, v, b) {
		expect(t, s, v.At, "", c)
	}
	if a, _ := s.Release("r"); a.State != ReleaseRunning || a.Units[0].Phase != PhaseReplaced || a.Units[0].Successor != "a.1" {
		t.Errorf("release = %+v, halt %+v, want it running with unit a replaced by a.1", a, a.Halt)
	}
}

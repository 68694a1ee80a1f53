package core

import (
	"testing"
	"time"

	"dahliarudder/policy"
)

// TestEject checks that an ejected member gets nothing new, neither when discovery lists it as ready
// nor for a resumed flow, and that its flows are migrated. A reinstated member counts as just started
// until discovery lists its start, and its old failures are forgotten. One reinstatement ends two
// ejections of the same member.
func TestEject(t *testing.T) {
	h := newHarness(t, 1)
	var probed int
	h.Probe = func(*Member) { probed++ }
	d := h.openRequest()
	h.FlowEstablished(d.id, 0)
	h.Eject("m0")
	h.Eject("m0")
	if d.migrations != 1 || !h.IsKnownMember("m0") || h.IsKnownMember("m9") || h.HasUsableMember() {
		t.Errorf("after Eject: migrated %d times, m0 known %v, m9 known %v, usable member %v; want 1, true, false, false",
			d.migrations, h.IsKnownMember("m0"), h.IsKnownMember("m9"), h.HasUsableMember())
	}
	h.UpdateMembers(policy.ListFull, testMembers(1, policy.Ready))
	h.advance(251 * time.Millisecond)
	if late := h.openRequest(); late.attempts != 0 {
		t.Error("a request was sent to an ejected member that discovery lists as ready")
	}
	resumed := &downstream{harness: h}
	if h.Open(Request{CurrentMember: "m0", TimeLeft: time.Second}, resumed); resumed.attempts != 0 || len(resumed.answers) != 1 || resumed.answers[0] != "rejected" {
		t.Errorf("resumed flow of an ejected member: %d attempts, answers %v; want none, a rejection",
			resumed.attempts, resumed.answers)
	}
	h.execute(policy.Action{Kind: policy.ActionProbe, Member: 10})
	if probed != 0 || h.Reachable(10) {
		t.Errorf("an ejected member was probed %d times, Reachable = %v; want 0, false", probed, h.Reachable(10))
	}
	h.Reinstate("m0")
	m := h.members[10]
	if m.unavailable || m.Started != h.now || !h.HasUsableMember() {
		t.Errorf("reinstated member: %+v, want it available and started at %v", m, h.now)
	}
	h.Reinstate("m0")
	listed := testMembers(1, policy.Ready)
	listed[0].Started = h.now - 3*time.Second
	h.UpdateMembers(policy.ListDelta, listed)
	if m.Started != listed[0].Started {
		t.Errorf("start of a reinstated member = %v, want %v as discovery lists it", m.Started, listed[0].Started)
	}
	until := h.now + 10*time.Second
	for d = h.openRequest(); d.attempts == 0 && h.now < until; d = h.openRequest() {
		h.advance(100 * time.Millisecond)
	}
	if d.attempts == 0 {
		t.Error("no request was sent to the reinstated member within 10 s")
	}
}

// TestEjectUnlisted checks that an ejection, for example one restored from an earlier process,
// applies to a member that discovery lists only later.
func TestEjectUnlisted(t *testing.T) {
	h := newHarness(t, 0)
	h.Eject("m0")
	h.UpdateMembers(policy.ListFull, testMembers(1, policy.Ready))
	if h.HasUsableMember() || h.openRequest().attempts != 0 {
		t.Error("a member that was ejected before it was listed is usable")
	}
	h.Reinstate("m0")
	if !h.HasUsableMember() {
		t.Error("the member is not usable after Reinstate")
	}
}

// TestFleetRemovals checks that a member that the fleet removes gets nothing new, and that its flows
// are migrated over the agreed period. If the removal is revoked, the remaining flows stay. If the
// member is removed again, they are migrated, although the policy asks for that only once. When
// discovery lists the member as draining, all are migrated at once. An operator's ejection remains
// when the fleet revokes its removal.
func TestFleetRemovals(t *testing.T) {
	const members = 12
	h := newHarness(t, members)
	var flows []*downstream
	for _, d := range h.establishFlows(40) {
		if d.inFlight == 1 {
			flows = append(flows, d)
		}
	}
	total := len(flows)
	removals := map[string]Removal{}
	for _, m := range testMembers(members, policy.Ready) {
		removals[m.Name] = Removal{SpreadOver: 10 * time.Second}
	}
	h.SetFleetRemovals(removals)
	h.advance(5 * time.Second)
	if n := migrations(flows); total < 20 || n < total/3 || n > total-total/3 {
		t.Fatalf("%d of %d flows migrated after half of the period, want at least 20 flows and one to two thirds of them",
			n, total)
	}
	if d := h.openRequest(); d.inFlight > 0 {
		t.Error("a request was sent to a member that the fleet removed")
	}
	h.SetFleetRemovals(nil)
	before := migrations(flows)
	h.advance(20 * time.Second)
	if migrations(flows) != before {
		t.Fatalf("%d flows migrated after the removal was revoked, want 0", migrations(flows)-before)
	}
	if d := h.openRequest(); d.inFlight == 0 {
		t.Error("members that were warm before the revoked removal get no request")
	}
	h.SetFleetRemovals(removals)
	h.advance(7 * time.Second) // the first removal has migrated the flows that are due in the first 5 s
	if n := migrations(flows); n == before || n == total {
		t.Errorf("%d of %d flows migrated 7 s after the second removal, %d before it; want more, but not all",
			n, total, before)
	}
	h.UpdateMembers(policy.ListDelta, testMembers(members, policy.Draining))
	if n := migrations(flows); n != total {
		t.Errorf("%d of %d flows migrated when discovery lists the members as draining, want all", n, total)
	}
	h.UpdateMembers(policy.ListDelta, testMembers(1, policy.Ready))
	h.Eject("m0")
	h.SetFleetRemovals(nil)
	if d := h.openRequest(); d.inFlight > 0 {
		t.Error("a request was sent to an ejected member after the fleet revoked its removal")
	}
	if got := h.Ejected(); len(got) != 1 {
		t.Errorf("Ejected() = %v, want one member", got)
	}
}

// TestDeferredAndDrained checks that if the fleet removes a member while this relay drains, the
// earlier of the two migrates the flow, and that resuming the relay does not cancel the removal.
func TestDeferredAndDrained(t *testing.T) {
	removal := func(spreadOver time.Duration) map[string]Removal {
		return map[string]Removal{"m0": {SpreadOver: spreadOver}}
	}
	wantMigrated := func(h *harness, d *downstream, within time.Duration, trigger string) {
		t.Helper()
		if h.advance(within); d.migrations != 1 {
			t.Errorf("%s: migrated %d times within %v, want 1", trigger, d.migrations, within)
		}
	}
	start := func() (*harness, *downstream) {
		h := newHarnessWith(t, classesText, testMembers(1, policy.Ready))
		return h, h.establishFlows(1)[0]
	}
	h, d := start()
	h.SetFleetRemovals(removal(time.Second))
	h.Drain()
	h.Resume()
	wantMigrated(h, d, time.Second, "resume")

	h, d = start()
	h.Drain()
	h.SetFleetRemovals(removal(time.Hour))
	wantMigrated(h, d, drainMigrationEnd, "removal after the drain")

	h, d = start()
	h.Stop()
	h.SetFleetRemovals(removal(time.Hour))
	wantMigrated(h, d, h.StopTimeout(), "removal after the stop")

	h, d = start()
	h.SetFleetRemovals(removal(100 * time.Millisecond))
	h.Drain()
	wantMigrated(h, d, 100*time.Millisecond, "drain after the removal")
}

// TestDeferredChanges checks that while a removal by the fleet migrates the flows of a member over a
// period, a later decision takes effect at once: an ejection by the fleet or by operators of this
// relay migrates the remaining flows immediately, and a removal with a shorter period within that
// period.
func TestDeferredChanges(t *testing.T) {
	removal := func(spreadOver time.Duration, ejection bool) map[string]Removal {
		return map[string]Removal{"m0": {SpreadOver: spreadOver, Ejection: ejection}}
	}
	for name, change := range map[string]func(h *harness){
		"ejection by the fleet":      func(h *harness) { h.SetFleetRemovals(removal(0, true)) },
		"ejection by an operator":    func(h *harness) { h.Eject("m0") },
		"removal with less time":     func(h *harness) { h.SetFleetRemovals(removal(2*time.Second, false)); h.advance(time.Second) },
		"ejection after the removal": func(h *harness) { h.Eject("m0"); h.SetFleetRemovals(nil) },
	} {
		h := newHarnessWith(t, classesText, testMembers(1, policy.Ready))
		flows := h.establishFlows(8)
		h.SetFleetRemovals(removal(time.Hour, false))
		h.advance(time.Second)
		change(h)
		h.advance(0)
		for _, d := range flows {
			if d.inFlight > 0 {
				t.Errorf("%s: the flow of request %d is not migrated", name, d.id)
			}
		}
	}
	h := newHarnessWith(t, classesText, testMembers(1, policy.Ready))
	h.establishFlows(1)
	h.SetFleetRemovals(removal(time.Hour, false))
	before := len(h.timers)
	for range 10 {
		h.SetFleetRemovals(removal(time.Hour, false))
	}
	if n := len(h.timers); n != before {
		t.Errorf("%d timers after the same removal was set again 10 times, want %d as before", n, before)
	}
}

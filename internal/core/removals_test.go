package core

import (
	"testing"
	"time"

	"dahliarudder/policy"
)

// TestEject: an ejected member gets nothing new, neither by discovery nor by a resumed flow, and its flows are migrated. Reinstated, it
// counts as just started until discovery knows its start, and its old failures are forgotten. Two ejections need one reinstatement.
func TestEject(t *testing.T) {
	h := newHarness(t, 1)
	var probed int
	h.Probe = func(*Member) { probed++ }
	d := h.openRequest()
	h.FlowEstablished(d.id, 0)
	h.Eject("m0")
	h.Eject("m0")
	if d.migrations != 1 || !h.IsKnownMember("m0") || h.IsKnownMember("m9") || h.HasUsableMember() {
		t.Errorf("migrated %d times", d.migrations)
	}
	h.UpdateMembers(policy.ListFull, testMembers(1, policy.Ready))
	h.advance(251 * time.Millisecond)
	if late := h.openRequest(); late.attempts != 0 {
		t.Error("sent to an ejected member")
	}
	resumed := &downstream{harness: h}
	if h.Open(Request{CurrentMember: "m0", TimeLeft: time.Second}, resumed); resumed.attempts != 0 || len(resumed.answers) != 1 || resumed.answers[0] != "rejected" {
		t.Errorf("a resumed flow of an ejected member: %d attempts, answers %v", resumed.attempts, resumed.answers)
	}
	h.execute(policy.Action{Kind: policy.ActionProbe, Member: 10})
	if probed != 0 || h.Reachable(10) {
		t.Error("an ejected member was probed")
	}
	h.Reinstate("m0")
	m := h.members[10]
	if m.unavailable || m.Started != h.now || !h.HasUsableMember() {
		t.Errorf("reinstated: %+v", m)
	}
	h.Reinstate("m0")
	listed := testMembers(1, policy.Ready)
	listed[0].Started = h.now - 3*time.Second
	h.UpdateMembers(policy.ListDelta, listed)
	if m.Started != listed[0].Started {
		t.Errorf("started at %v by discovery, at %v by the core", listed[0].Started, m.Started)
	}
	until := h.now + 10*time.Second
	for d = h.openRequest(); d.attempts == 0 && h.now < until; d = h.openRequest() {
		h.advance(100 * time.Millisecond)
	}
	if d.attempts == 0 {
		t.Error("never used again")
	}
}

// TestEjectUnlisted: an ejection, as one restored from an earlier process, applies to a member that discovery lists only later.
func TestEjectUnlisted(t *testing.T) {
	h := newHarness(t, 0)
	h.Eject("m0")
	h.UpdateMembers(policy.ListFull, testMembers(1, policy.Ready))
	if h.HasUsableMember() || h.openRequest().attempts != 0 {
		t.Error("sent to an ejected member")
	}
	h.Reinstate("m0")
	if !h.HasUsableMember() {
		t.Error("not reinstated")
	}
}

// TestFleetRemovals: a member that the fleet removes gets nothing new, and its flows are migrated over the agreed time. If the removal is
// revoked, the other flows stay; removed again, they are migrated, though the policy requests that once. When discovery lists the member
// as draining, all are migrated at once. An operator's ejection outlives the fleet's removal.
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
		t.Fatalf("%d of %d migrated after half of the time", n, total)
	}
	if d := h.openRequest(); d.inFlight > 0 {
		t.Error("sent to a member that the fleet removed")
	}
	h.SetFleetRemovals(nil)
	before := migrations(flows)
	h.advance(20 * time.Second)
	if migrations(flows) != before {
		t.Fatalf("%d migrated after the removal was revoked", migrations(flows)-before)
	}
	if d := h.openRequest(); d.inFlight == 0 {
		t.Error("a member that was warm before the revoked removal gets nothing")
	}
	h.SetFleetRemovals(removals)
	h.advance(7 * time.Second) // the earliest were migrated by the first removal
	if n := migrations(flows); n == before || n == total {
		t.Errorf("%d migrated seven seconds after the second removal", n)
	}
	h.UpdateMembers(policy.ListDelta, testMembers(members, policy.Draining))
	if n := migrations(flows); n != total {
		t.Errorf("%d of %d migrated when discovery lists the members as draining", n, total)
	}
	h.UpdateMembers(policy.ListDelta, testMembers(1, policy.Ready))
	h.Eject("m0")
	h.SetFleetRemovals(nil)
	if d := h.openRequest(); d.inFlight > 0 {
		t.Error("an operator's ejection ended with the fleet's removal")
	}
	if got := h.Ejected(); len(got) != 1 {
		t.Errorf("ejected here: %v", got)
	}
}

// TestDeferredAndDrained: if the fleet removes a member while this relay drains, the earlier of the two migrates the flow; resuming the
// relay does not cancel the removal.
func TestDeferredAndDrained(t *testing.T) {
	removal := func(spreadOver time.Duration) map[string]Removal {
		return map[string]Removal{"m0": {SpreadOver: spreadOver}}
	}
	wantMigrated := func(h *harness, d *downstream, within time.Duration, trigger string) {
		t.Helper()
		if h.advance(within); d.migrations != 1 {
			t.Errorf("%s: migrated %d times within %v", trigger, d.migrations, within)
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

// TestDeferredChanges: while a removal by the fleet migrates a member's flows over a time, a later decision counts at once: an ejection by
// the fleet or by this relay's operators migrates the rest now, and a removal with less time within that.
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
				t.Errorf("%s: request %d is not migrated", name, d.id)
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
		t.Errorf("%d timers, %d after the same removal again", before, n)
	}
}

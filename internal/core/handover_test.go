package core

import (
	"encoding/json"
	"testing"
	"time"

	"dahliarudder/policy"
)

// TestRestore checks that a core continues from another core's learned state, though their clocks
// differ: a reinstated member stays at the same point of its slow start. It also checks that
// SetEjections replaces the earlier ejections.
func TestRestore(t *testing.T) {
	old, next := newHarness(t, 3), newHarness(t, 3)
	old.Eject("m1")
	old.Reinstate("m1")
	old.advance(2 * time.Second)
	text, err := json.Marshal(old.LearnedState())
	if err != nil {
		t.Fatal(err)
	}
	var learned LearnedState
	if err := json.Unmarshal(text, &learned); err != nil {
		t.Fatal(err)
	}
	next.now += 5 * time.Minute
	next.Restore(learned)
	if uptime := next.now - next.members[11].Started; uptime != 2*time.Second || next.members[10].Started != 0 {
		t.Errorf("uptime of the reinstated member = %v, want 2s; start of another member = %v, want 0",
			uptime, next.members[10].Started)
	}
	next.SetEjections([]string{"m0", "m2"})
	next.SetEjections([]string{"m2", "m9"})
	if next.members[10].removed || !next.members[12].removed || !next.IsKnownMember("m9") {
		t.Errorf("after SetEjections of m2 and m9: m0 removed %v, m2 removed %v, m9 known %v; want false, true, true",
			next.members[10].removed, next.members[12].removed, next.IsKnownMember("m9"))
	}
}

// TestBeginHandover checks that flows are released one by one to the process that takes over, and
// that those that are left after a while are migrated within the time of a graceful shutdown.
func TestBeginHandover(t *testing.T) {
	h := newHarness(t, 2)
	flows := h.establishFlows(5)
	h.BeginHandover()
	next := newHarness(t, 2)
	next.now += time.Hour
	transfer, ok := h.ReleaseFlow(flows[0].id)
	if _, twice := h.ReleaseFlow(flows[0].id); !ok || twice || h.ActiveRequests() != 4 {
		t.Errorf("ReleaseFlow = %v, for the second time %v, then %d active requests; want true, false, 4",
			ok, twice, h.ActiveRequests())
	}
	d := &downstream{harness: next, inFlight: 1, attempts: 1}
	id, m, ok := next.AdoptFlow(transfer, d)
	if !ok || m.Name != transfer.Member || !next.IsActive(id) || next.FlowEstablished(id, 0) || next.Counts.Served != 1 {
		t.Errorf("AdoptFlow = %v at %v, counts %+v; want true at %s, served once",
			ok, m, next.Counts, transfer.Member)
	}
	next.AttemptEnded(id, 0, policy.OK, policy.NoReport)
	if next.ActiveRequests() != 0 || d.migrations != 0 || len(d.answers) != 0 {
		t.Errorf("after the adopted flow has ended: %d active requests, %d migrations, answers %v; want none",
			next.ActiveRequests(), d.migrations, d.answers)
	}
	if _, _, ok := next.AdoptFlow(FlowTransfer{Member: "m9"}, d); ok {
		t.Error("AdoptFlow accepted a flow at an unknown member")
	}
	h.advance(fraction(handoverEnd, h.StopTimeout()) - time.Millisecond)
	early := migrations(flows)
	h.advance(fraction(stopMigrationEnd, h.StopTimeout()))
	if early != 0 || h.ActiveRequests() != 0 || flows[0].migrations != 0 || flows[1].migrations != 1 {
		t.Errorf("%d flows migrated during the handover, the released one %d times, another one %d times; want 0, 0, 1; "+
			"%d active requests at the end, want 0", early, flows[0].migrations, flows[1].migrations, h.ActiveRequests())
	}
}

// TestAdoptDeferred checks that flows adopted from another process are migrated over the period of a
// removal, like this process's own flows.
func TestAdoptDeferred(t *testing.T) {
	h := newHarnessWith(t, classesText, testMembers(1, policy.Ready))
	h.SetFleetRemovals(map[string]Removal{"m0": {SpreadOver: 10 * time.Second}})
	var adopted []*downstream
	for range 10 {
		d := &downstream{harness: h, inFlight: 1, attempts: 1}
		d.id, _, _ = h.AdoptFlow(FlowTransfer{Member: "m0"}, d)
		adopted = append(adopted, d)
	}
	h.advance(5 * time.Second)
	if n := migrations(adopted); n < 3 || n > 7 {
		t.Errorf("%d of 10 flows migrated after half of the period, want 3 to 7", n)
	}
	if h.advance(5 * time.Second); migrations(adopted) != 10 {
		t.Errorf("%d of 10 flows migrated after the period, want all", migrations(adopted))
	}
}

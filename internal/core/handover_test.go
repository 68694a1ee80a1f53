package core

import (
	"encoding/json"
	"testing"
	"time"

	"dahliarudder/policy"
)

// TestRestore: a core continues from another's learned state on a clock of its own: a reinstated member is as far warmed up as it was.
// SetEjections replaces the ejections before it.
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
		t.Errorf("uptime %v", uptime)
	}
	next.SetEjections([]string{"m0", "m2"})
	next.SetEjections([]string{"m2", "m9"})
	if next.members[10].removed || !next.members[12].removed || !next.IsKnownMember("m9") {
		t.Error("SetEjections did not replace the ejections")
	}
}

// TestBeginHandover: flows are released to the process that takes over, one by one; those that are left after a while are migrated, all
// within the time of a graceful shutdown.
func TestBeginHandover(t *testing.T) {
	h := newHarness(t, 2)
	flows := h.establishFlows(5)
	h.BeginHandover()
	next := newHarness(t, 2)
	next.now += time.Hour
	transfer, ok := h.ReleaseFlow(flows[0].id)
	if _, twice := h.ReleaseFlow(flows[0].id); !ok || twice || h.ActiveRequests() != 4 {
		t.Errorf("released %v, twice %v, %d active", ok, twice, h.ActiveRequests())
	}
	d := &downstream{harness: next, inFlight: 1, attempts: 1}
	id, m, ok := next.AdoptFlow(transfer, d)
	if !ok || m.Name != transfer.Member || !next.IsActive(id) || next.FlowEstablished(id, 0) || next.Counts.Served != 1 {
		t.Errorf("adopted %v at %v, counts %+v", ok, m, next.Counts)
	}
	next.AttemptEnded(id, 0, policy.OK, policy.NoReport)
	if next.ActiveRequests() != 0 || d.migrations != 0 || len(d.answers) != 0 {
		t.Errorf("%d active, %+v", next.ActiveRequests(), d)
	}
	if _, _, ok := next.AdoptFlow(FlowTransfer{Member: "m9"}, d); ok {
		t.Error("a flow at an unknown member was adopted")
	}
	h.advance(fraction(handoverEnd, h.StopTimeout()) - time.Millisecond)
	early := migrations(flows)
	h.advance(fraction(stopMigrationEnd, h.StopTimeout()))
	if early != 0 || h.ActiveRequests() != 0 || flows[0].migrations != 0 || flows[1].migrations != 1 {
		t.Errorf("%d migrated early, %d active", early, h.ActiveRequests())
	}
}

// TestAdoptDeferred: flows adopted from another process are migrated over the time of a removal, like this process's own.
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
		t.Errorf("%d of 10 migrated after half of the time", n)
	}
	if h.advance(5 * time.Second); migrations(adopted) != 10 {
		t.Errorf("%d of 10 migrated after the time", migrations(adopted))
	}
}

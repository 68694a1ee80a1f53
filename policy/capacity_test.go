package policy

import (
	"testing"
)

// TestCapacityAfterStart checks that a relay that has just started and gets many clients at once
// learns the capacity of members from their reports. The first report, with one connection and load
// from other sources, suggests a capacity that is far too small.
func TestCapacityAfterStart(t *testing.T) {
	for name, set := range siteSettings() {
		t.Run(name, func(t *testing.T) {
			set.Zones, set.Groups = 1, true
			h := newHarness(set, fleet(2, 1))
			for n := range 20 {
				h.now += ms
				for _, m := range h.members {
					h.load[m.ID], h.connections[m.ID] = 0.1+0.01*m.ownFlows, m.ownFlows
				}
				id := h.submit(Request{Group: uint64(n + 2), Load: -1})
				if h.memberOf(id) == 0 {
					t.Fatalf("client %d was not placed; the members have %v and %v connections",
						n, h.members[0].ownFlows, h.members[1].ownFlows)
				}
				h.Established(h.now, id)
			}
		})
	}
}

// TestCapacityWithUnknownLoads checks that a member's capacity in connections follows from its
// reports before the load of any connection is known. Assuming a load of 1 overestimates the
// capacity fifteenfold.
func TestCapacityWithUnknownLoads(t *testing.T) {
	h := newHarness(settings(), fleet(1, 1))
	id := fleet(1, 1)[0].ID
	m := h.byID[id]
	connections := func() float64 { return h.capacityOf(h.now, m) / h.unitLoad() }
	h.AddExisting(h.now, Request{ID: 900}, id)
	h.load[id], h.connections[id] = 0.5, 20
	report := Report{Connections: 20, Load: 0.5, Util: -1}
	for range 40 {
		h.ProbeResult(h.now, id, OK, report)
	}
	if n := connections(); n < 38 || n > 42 {
		t.Fatalf("capacity %.1f connections, want 38 to 42, as 20 make a load of 0.5", n)
	}
	h.Balancer.UpdateLoad(h.now, 900, 0.04)
	for range 3 {
		h.submit(Request{Load: -1})
	}
	if n := connections(); n < 38 || n > 42 || h.unitLoad() > 0.05 {
		t.Errorf("after loads of 0.04 are known: capacity %.1f connections of load %.2f, want 38 to "+
			"42 of at most 0.05", n, h.unitLoad())
	}
	// The end of a connection releases its last known load, not the estimate at its arrival.
	m.pendingPlacements = nil
	before := h.usedOf(h.now, m)
	h.AttemptEnded(h.now, Outcome{ID: 900, Member: id, Result: OK, Final: true, Report: NoReport})
	if freed := before - h.usedOf(h.now, m); freed < 0.039 || freed > 0.041 {
		t.Errorf("the end of a connection of load 0.04 released a load of %.3f, want 0.039 to 0.041", freed)
	}
}

package policy

import (
	"cmp"
	"slices"
	"testing"
	"time"
)

// TestGroups checks that a group uses the same member for all tenants, since each further member
// costs capacity for the shared work.
func TestGroups(t *testing.T) {
	set := settings()
	set.Groups = true
	usedMembers := map[MemberID]bool{}
	for seed := range uint64(40) {
		rec := &recorder{}
		h := &harness{Balancer: New(set, seed, rec), recorder: rec, now: t0, load: map[MemberID]float64{}}
		h.UpdateEndpoints(t0, ListCached, fleet(20, 1))
		usedMembers[h.memberOf(h.submit(Request{Tenant: int(seed % 2), Group: 77, Load: 0.1}))] = true
	}
	if len(usedMembers) > 1 || usedMembers[0] {
		t.Errorf("group sent to members %v while the first had capacity, want one member", usedMembers)
	}
}

// TestGroupKeepsMember checks that a relay with a connection of a group sends the next ones to the
// same member until it is full, even if another member ranks first for the group.
func TestGroupKeepsMember(t *testing.T) {
	set := settings()
	set.Groups = true
	for _, load := range []float64{0.4, 0.9} {
		first := firstChoice(set, Request{Group: 77, Load: 0.1})
		h := newHarness(set, fleet(8, 1))
		var current MemberID
		for _, m := range h.members {
			if m.ID != first {
				current = m.ID
			}
		}
		h.AddExisting(h.now, Request{ID: 500, Group: 77, Load: 0.1}, current)
		h.load[current] = load
		h.now += time.Second
		if to := h.memberOf(h.submit(Request{Group: 77, Load: 0.1})); (to == current) != (load < fillHigh) {
			t.Errorf("at load %v of the current member %d: sent to member %d, want the current one below "+
				"load %v and another one above (first in rank: %d)", load, current, to, fillHigh, first)
		}
	}
}

// firstChoice returns the member that the request is sent to when all eight members are empty.
func firstChoice(set Settings, q Request) MemberID {
	h := newHarness(set, fleet(8, 1))
	return h.memberOf(h.submit(q))
}

// TestGroupSpill checks that once the first member of a group is full, the group spills to the next
// one in rank that has capacity for many connections, and is rejected if all others have capacity
// for only a few.
func TestGroupSpill(t *testing.T) {
	set := settings()
	set.Groups = true
	home := firstChoice(set, Request{Group: 77, Load: 0.1})
	for _, others := range []float64{0.2, 0.7} {
		usedMembers := map[MemberID]bool{}
		for seed := range uint64(40) {
			rec := &recorder{}
			h := &harness{Balancer: New(set, seed, rec), recorder: rec, now: t0, load: map[MemberID]float64{}}
			h.UpdateEndpoints(t0, ListCached, fleet(8, 1))
			for _, m := range h.members {
				h.load[m.ID] = others
			}
			h.load[home] = 0.95
			usedMembers[h.memberOf(h.submit(Request{Group: 77, Load: 0.1}))] = true
		}
		if placed := !usedMembers[0]; placed != (others < groupSpillFill) || len(usedMembers) > 1 || usedMembers[home] {
			t.Errorf("with the home member full and the others at load %v: sent to members %v (0: "+
				"none); want one member, none if the load is %v or more",
				others, usedMembers, groupSpillFill)
		}
	}
}

// TestGroupReach checks that a group is sent only to the groupReach members that rank highest for
// it. Relays have reports of different members and would otherwise scatter the group over all of
// them.
func TestGroupReach(t *testing.T) {
	set := settings()
	set.Groups = true
	list := fleet(20, 1)
	slices.SortFunc(list, func(x, y Endpoint) int {
		return cmp.Compare(rendezvous(uint64(y.ID), 77, y.Weight), rendezvous(uint64(x.ID), 77, x.Weight))
	})
	// firstFree is the rank of the first member with capacity.
	for firstFree, want := range map[int]MemberID{groupReach - 1: list[groupReach-1].ID, groupReach: 0} {
		h := newHarness(set, nil)
		h.UpdateEndpoints(t0, ListCached, slices.Clone(list))
		for i, e := range list {
			h.load[e.ID] = 0.95
			if i >= firstFree {
				h.load[e.ID] = 0.1
				h.applyReport(t0, h.byID[e.ID], Report{Connections: 3, Load: 0.1, Util: 0.1})
			}
		}
		if id := h.memberOf(h.submit(Request{Group: 77, Load: 0.1})); id != want {
			t.Errorf("with capacity from rank %d on: sent to member %d, want %d (0: none)", firstFree, id, want)
		}
	}
}

// TestGroupSpillSlowStart checks that a group spills to a member in slow start at a load at which a
// warm member would not get it, since the member's capacity once it is warm counts. Otherwise
// members in slow start would stay empty.
func TestGroupSpillSlowStart(t *testing.T) {
	set := settings()
	set.Groups = true
	for _, slowStart := range []bool{false, true} {
		h := newHarness(set, nil)
		list := fleet(4, 1)
		if slowStart {
			for i := range list {
				list[i].Started = t0 - 3*time.Second
			}
		}
		h.UpdateEndpoints(t0-3*time.Second, ListCached, list)
		for _, m := range h.members {
			h.load[m.ID] = 0.6
		}
		h.load[firstChoice(set, Request{Group: 77, Load: 0.1})] = 0.95
		if sent := h.memberOf(h.submit(Request{Group: 77, Load: 0.1})) != 0; sent != slowStart {
			t.Errorf("members in slow start %v: sent %v, want %v", slowStart, sent, slowStart)
		}
	}
}

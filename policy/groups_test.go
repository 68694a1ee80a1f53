package policy

import (
	"cmp"
	"slices"
	"testing"
	"time"
)

// TestGroups: the few servers of a group are the same for all tenants, as each further server costs capacity for the group.
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
		t.Errorf("one group went to %d servers while the first had capacity", len(usedMembers))
	}
}

// TestGroupKeepsMember: a proxy with a connection of a group sends the next ones to the same server until it is full, even if another
// server is first in the order of the group.
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
			t.Errorf("at load %v: sent to %d, current is %d, first is %d", load, to, current, first)
		}
	}
}

// firstChoice returns the server that a request is sent to while all eight are empty.
func firstChoice(set Settings, q Request) MemberID {
	h := newHarness(set, fleet(8, 1))
	return h.memberOf(h.submit(q))
}

// TestGroupSpill: once the first server of a group is full, the group spills to the next one in its order that has capacity for many of its
// connections, and is rejected if all others have capacity for a few only.
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
			t.Errorf("home full, others at %v: sent to %v", others, usedMembers)
		}
	}
}

// TestGroupReach: a group is sent to the first groupReach servers of its order only. Relays have reports of different servers, and would
// otherwise scatter the group over all that they happen to know.
func TestGroupReach(t *testing.T) {
	set := settings()
	set.Groups = true
	list := fleet(20, 1)
	slices.SortFunc(list, func(x, y Endpoint) int {
		return cmp.Compare(rendezvous(uint64(y.ID), 77, y.Weight), rendezvous(uint64(x.ID), 77, x.Weight))
	})
	for firstFree, want := range map[int]MemberID{groupReach - 1: list[groupReach-1].ID, groupReach: 0} { // the first with capacity
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
			t.Errorf("capacity from place %d of the order on: sent to %d, want %d", firstFree, id, want)
		}
	}
}

// TestGroupSpillSlowStart: a group spills to a server in slow start at a load at which a warm one would not get it, as what counts is the
// server's capacity once it is warm. Otherwise servers in slow start would stay empty.
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
			t.Errorf("slow start %v: sent %v", slowStart, sent)
		}
	}
}

package rollout

import (
	"fmt"
	"slices"
)

// checkCommand checks an applied command against the real state of the simulated fleet. It compares the
// budgets with the targets that were let out and are still out, plus those that have been unavailable for so
// long that the leader must have known.
func (sim *simulation) checkCommand(c Command) {
	if c.Kind == CommandObserve {
		for _, s := range c.Observations {
			if s.Phase == PhaseDrained {
				sim.checkDrained(s)
			}
		}
	}
	sim.dropReturned()
	newlyOut, takesCapacity := map[string]bool{}, c.Kind == CommandQuarantine && c.Capacity > 0
	switch c.Kind {
	case CommandQuarantine:
		sim.quarantines++
		newlyOut[targetKey(KindRelay, c.Name)] = true
		sim.markOut(KindRelay, c.Name, 0)
	case CommandStep:
	default:
		return
	}
	for _, g := range c.Grants {
		var kind Kind
		var name string
		if p := sim.state.record.findPermit(g.Permit); p != nil {
			kind, name = p.Kind, p.Name
		} else if u := sim.state.record.findRelease(g.Release).findUnit(g.Unit); u.Kind == KindRelay || u.Kind == KindMember {
			kind, name = u.Kind, u.currentName()
		} else {
			continue
		}
		takesCapacity = takesCapacity || kind == KindRelay && g.Capacity > 0
		newlyOut[targetKey(kind, name)] = true
		sim.markOut(kind, name, g.Permit)
	}
	sim.dropReturned()
	// After this time the leader's view must show that a target is unavailable.
	detectionMS := sim.budgets.SilentAfterMS + sim.budgets.ViewMaxAgeMS + 3500
	out, outByZone, total := map[Kind]int{}, map[string]int{}, map[string]int{}
	memberCapacity, relayCapacity, details := 0.0, 0.0, ""
	count := func(kind Kind, name, zone string, unavailableSince int64, capacity float64) {
		total[string(kind)]++
		total[string(kind)+zone]++
		plannedOut := sim.out[targetKey(kind, name)] != nil
		if plannedOut || unavailableSince > 0 && sim.now-unavailableSince > detectionMS {
			out[kind]++
			outByZone[string(kind)+zone]++
			details += fmt.Sprintf(" %s (out by plan %v, unavailable since %d)", name, plannedOut, unavailableSince)
		}
		if kind == KindMember {
			memberCapacity += capacity
		} else if !plannedOut {
			relayCapacity += capacity
		}
	}
	for _, h := range sim.relays {
		capacity := h.capacity
		if h.unavailableSince > 0 && sim.now-h.unavailableSince > detectionMS {
			capacity = 0
		}
		count(KindRelay, h.name, h.zone, h.unavailableSince, capacity)
	}
	if needed := c.ViewSummary.Relays.Load * (1 + sim.budgets.CapacityReserve); takesCapacity && relayCapacity < needed {
		sim.violation("the remaining relays have capacity %.0f, want at least %.0f; out:%s",
			relayCapacity, needed, details)
	}
	for _, x := range sim.members {
		capacity := x.capacity
		_, excluded := sim.log[len(sim.log)-1].excluded[x.name]
		switch {
		case excluded:
			capacity = 0
		case sim.now-x.unavailableSince > detectionMS && x.unavailableSince > 0 && !x.up:
			capacity = 0
		case sim.now < x.warmAt:
			capacity *= slowStartShare
		}
		count(KindMember, x.name, x.zone, x.unavailableSince, capacity)
	}
	for _, kind := range []Kind{KindRelay, KindMember} {
		b := sim.budgets.Members
		if kind == KindRelay {
			b = sim.budgets.Relays
		}
		sim.peak = max(sim.peak, out[kind])
		hasNewlyOut := false
		for key := range newlyOut {
			hasNewlyOut = hasNewlyOut || key[:3] == string(kind[:3])
		}
		if !hasNewlyOut {
			continue
		}
		if limit := b.totalLimit(total[string(kind)]); out[kind] > limit {
			sim.violation("%d of kind %s are out, want at most %d; out:%s", out[kind], kind, limit, details)
		}
		for z, n := range outByZone {
			if len(z) > len(kind) && z[:len(kind)] == string(kind) && n > b.zoneLimit(total[z]) {
				sim.violation("%d are out in kind and zone %s, want at most %d; out:%s",
					n, z, b.zoneLimit(total[z]), details)
			}
		}
		if kind == KindMember && memberCapacity < sim.load*(1+sim.budgets.CapacityReserve) {
			for key := range newlyOut {
				i := slices.IndexFunc(sim.members, func(x *simMember) bool { return targetKey(KindMember, x.name) == key })
				if i >= 0 && sim.members[i].unavailableSince == 0 {
					sim.violation("the remaining members have capacity %.0f, want at least %.0f",
						memberCapacity, sim.load*(1+sim.budgets.CapacityReserve))
					break
				}
			}
		}
	}
}

// targetKey returns a key for a relay or member that is unique over both kinds.
func targetKey(kind Kind, name string) string { return string(kind) + " " + name }

// dropReturned removes the targets that were let out and are really back.
func (sim *simulation) dropReturned() {
	for key, out := range sim.out {
		if !out() {
			delete(sim.out, key)
		}
	}
}

// markOut records that a target was let out, with a function that reports whether it is still really out.
func (sim *simulation) markOut(kind Kind, name string, permit uint64) {
	var stillOut func() bool
	if kind == KindRelay {
		h := sim.relays[slices.IndexFunc(sim.relays, func(h *simRelay) bool { return h.name == name })]
		stillOut = func() bool { return !sim.serves(h) || sim.mayStopServing(h) }
	} else {
		i := slices.IndexFunc(sim.members, func(x *simMember) bool { return x.name == name })
		if i < 0 {
			return // the member has another name by now: its unit is already being replaced
		}
		x := sim.members[i]
		stillOut = func() bool { return sim.memberUnavailable(x) }
	}
	if permit != 0 {
		i := slices.IndexFunc(sim.requesters, func(a *requester) bool { return a.kind == kind && a.name == name })
		if i < 0 {
			return
		}
		a := sim.requesters[i]
		targetOut := stillOut
		stillOut = func() bool {
			mayBegin := a.permit == permit && !a.begun && !a.finished && sim.now < a.beginBy
			mayTakeDown := a.permit == permit && a.begun && !a.finished && (a.down || sim.now < a.takeDownBy)
			granted := sim.state.record.findPermit(permit)
			return granted != nil && granted.State == PermitGranted || mayBegin || mayTakeDown || targetOut()
		}
	}
	sim.out[targetKey(kind, name)] = stillOut
}

// checkDrained checks that no relay can have flows at a member that was observed as drained.
func (sim *simulation) checkDrained(o Observation) {
	r := sim.state.record.findRelease(o.Release)
	if r == nil || r.findUnit(o.Unit) == nil || r.findUnit(o.Unit).Phase != PhaseDrained {
		return
	}
	name := r.findUnit(o.Unit).currentName()
	if slices.ContainsFunc(sim.members, func(x *simMember) bool { return x.name == name && !x.up }) {
		return // the member's process has ended, and its flows with it
	}
	for _, h := range sim.relays {
		if !sim.serves(h) || max(h.serveAt, h.reconnectAt, h.unpauseAt) > sim.now-5000 || sim.now-h.lastContact > sim.releasesFlowsAfterMS() {
			// The relay may have started, resumed or reconnected since the observation. Such a relay applies
			// the record before it serves.
			continue
		}
		until, migrating := h.flowsUntil[name]
		_, out := sim.log[h.appliedIndex].excluded[name]
		if migrating && until > sim.now {
			sim.violation("%s was observed as drained, but relay %s still migrates flows from it", name, h.name)
		}
		if !out {
			sim.violation("%s was observed as drained, but relay %s has not applied its exclusion", name, h.name)
		}
	}
}

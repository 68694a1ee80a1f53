package rollout

import (
	"fmt"
	"slices"
)

// checkCommand checks an agreed command against the truth of the fleet: what was let out and is, and what is lost for so long that it had to be
// known, against the budgets.
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
	// Long enough that the view had it.
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
			details += fmt.Sprintf(" %s (given %v, lost since %d)", name, plannedOut, unavailableSince)
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
		sim.violation("the relays that are left bear %.0f, %.0f are needed:%s", relayCapacity, needed, details)
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
			sim.violation("%d of kind %s are out, of %d:%s", out[kind], kind, limit, details)
		}
		for z, n := range outByZone {
			if len(z) > len(kind) && z[:len(kind)] == string(kind) && n > b.zoneLimit(total[z]) {
				sim.violation("%d are out in %s of %d:%s", n, z, b.zoneLimit(total[z]), details)
			}
		}
		if kind == KindMember && memberCapacity < sim.load*(1+sim.budgets.CapacityReserve) {
			for key := range newlyOut {
				i := slices.IndexFunc(sim.members, func(x *simMember) bool { return targetKey(KindMember, x.name) == key })
				if i >= 0 && sim.members[i].unavailableSince == 0 {
					sim.violation("what is left bears %.0f, the load is %.0f", memberCapacity, sim.load)
					break
				}
			}
		}
	}
}

// targetKey is the key of a relay or member among both.
func targetKey(kind Kind, name string) string { return string(kind) + " " + name }

// dropReturned forgets what was let out and is really back.
func (sim *simulation) dropReturned() {
	for key, out := range sim.out {
		if !out() {
			delete(sim.out, key)
		}
	}
}

// markOut notes that a thing was let out, and how to tell that it is really back.
func (sim *simulation) markOut(kind Kind, name string, permit uint64) {
	var stillOut func() bool
	if kind == KindRelay {
		h := sim.relays[slices.IndexFunc(sim.relays, func(h *simRelay) bool { return h.name == name })]
		stillOut = func() bool { return !sim.serves(h) || sim.mayStopServing(h) }
	} else {
		i := slices.IndexFunc(sim.members, func(x *simMember) bool { return x.name == name })
		if i < 0 {
			return // it has another name by now: its unit is already being replaced
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

func (sim *simulation) checkDrained(o Observation) {
	r := sim.state.record.findRelease(o.Release)
	if r == nil || r.findUnit(o.Unit) == nil || r.findUnit(o.Unit).Phase != PhaseDrained {
		return
	}
	name := r.findUnit(o.Unit).currentName()
	if slices.ContainsFunc(sim.members, func(x *simMember) bool { return x.name == name && !x.up }) {
		return // no flow outlives it
	}
	for _, h := range sim.relays {
		if !sim.serves(h) || max(h.serveAt, h.reconnectAt, h.unpauseAt) > sim.now-5000 || sim.now-h.lastContact > sim.releasesFlowsAfterMS() {
			continue // it may have come back since: such a relay catches up before it serves
		}
		until, migrating := h.flowsUntil[name]
		_, out := sim.log[h.appliedIndex].excluded[name]
		if migrating && until > sim.now {
			sim.violation("%s counts as drained, %s migrates its flows", name, h.name)
		}
		if !out {
			sim.violation("%s counts as drained, %s has not applied that it is out", name, h.name)
		}
	}
}

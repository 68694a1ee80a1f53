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
	fresh, bears := map[string]bool{}, c.Kind == CommandQuarantine && c.Capacity > 0
	switch c.Kind {
	case CommandQuarantine:
		sim.quarantines++
		fresh[thingKey(KindRelay, c.Name)] = true
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
		bears = bears || kind == KindRelay && g.Capacity > 0
		fresh[thingKey(kind, name)] = true
		sim.markOut(kind, name, g.Permit)
	}
	sim.dropReturned()
	// Long enough that the view had it.
	known := sim.budgets.SilentAfterMS + sim.budgets.ViewMaxAgeMS + 3500
	out, zones, total := map[Kind]int{}, map[string]int{}, map[string]int{}
	left, serve, who := 0.0, 0.0, ""
	count := func(kind Kind, name, zone string, lost int64, bears float64) {
		total[string(kind)]++
		total[string(kind)+zone]++
		is := sim.out[thingKey(kind, name)] != nil
		if is || lost > 0 && sim.now-lost > known {
			out[kind]++
			zones[string(kind)+zone]++
			who += fmt.Sprintf(" %s (given %v, lost since %d)", name, is, lost)
		}
		if kind == KindMember {
			left += bears
		} else if !is {
			serve += bears
		}
	}
	for _, h := range sim.relays {
		bears := h.capacity
		if h.unavailableSince > 0 && sim.now-h.unavailableSince > known {
			bears = 0
		}
		count(KindRelay, h.name, h.zone, h.unavailableSince, bears)
	}
	if need := c.Basis.Relays.Load * (1 + sim.budgets.CapacityReserve); bears && serve < need {
		sim.violation("the relays that are left bear %.0f, %.0f are needed:%s", serve, need, who)
	}
	for _, x := range sim.members {
		bears := x.capacity
		_, excluded := sim.log[len(sim.log)-1].excluded[x.name]
		switch {
		case excluded:
			bears = 0
		case sim.now-x.unavailableSince > known && x.unavailableSince > 0 && !x.up:
			bears = 0
		case sim.now < x.warmAt:
			bears *= slowStartShare
		}
		count(KindMember, x.name, x.zone, x.unavailableSince, bears)
	}
	for _, kind := range []Kind{KindRelay, KindMember} {
		b := sim.budgets.Members
		if kind == KindRelay {
			b = sim.budgets.Relays
		}
		sim.peak = max(sim.peak, out[kind])
		any := false
		for key := range fresh {
			any = any || key[:3] == string(kind[:3])
		}
		if !any {
			continue
		}
		if most := b.totalLimit(total[string(kind)]); out[kind] > most {
			sim.violation("%d of kind %s are out, of %d:%s", out[kind], kind, most, who)
		}
		for z, n := range zones {
			if len(z) > len(kind) && z[:len(kind)] == string(kind) && n > b.zoneLimit(total[z]) {
				sim.violation("%d are out in %s of %d:%s", n, z, b.zoneLimit(total[z]), who)
			}
		}
		if kind == KindMember && left < sim.load*(1+sim.budgets.CapacityReserve) {
			for key := range fresh {
				i := slices.IndexFunc(sim.members, func(x *simMember) bool { return thingKey(KindMember, x.name) == key })
				if i >= 0 && sim.members[i].unavailableSince == 0 {
					sim.violation("what is left bears %.0f, the load is %.0f", left, sim.load)
					break
				}
			}
		}
	}
}

// thingKey is the key of a relay or member among both.
func thingKey(kind Kind, name string) string { return string(kind) + " " + name }

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
	var truth func() bool
	if kind == KindRelay {
		h := sim.relays[slices.IndexFunc(sim.relays, func(h *simRelay) bool { return h.name == name })]
		truth = func() bool { return !sim.serves(h) || sim.mayStopServing(h) }
	} else {
		i := slices.IndexFunc(sim.members, func(x *simMember) bool { return x.name == name })
		if i < 0 {
			return // it has another name by now: its unit is already being replaced
		}
		x := sim.members[i]
		truth = func() bool { return sim.memberUnavailable(x) }
	}
	if permit != 0 {
		i := slices.IndexFunc(sim.requesters, func(a *requester) bool { return a.kind == kind && a.name == name })
		if i < 0 {
			return
		}
		a := sim.requesters[i]
		thing := truth
		truth = func() bool {
			mayBegin := a.permit == permit && !a.begun && !a.finished && sim.now < a.beginBy
			mayTake := a.permit == permit && a.begun && !a.finished && (a.down || sim.now < a.takeDownBy)
			granted := sim.state.record.findPermit(permit)
			return granted != nil && granted.State == PermitGranted || mayBegin || mayTake || thing()
		}
	}
	sim.out[thingKey(kind, name)] = truth
}

func (sim *simulation) checkDrained(s Observation) {
	r := sim.state.record.findRelease(s.Release)
	if r == nil || r.findUnit(s.Unit) == nil || r.findUnit(s.Unit).Phase != PhaseDrained {
		return
	}
	name := r.findUnit(s.Unit).currentName()
	if slices.ContainsFunc(sim.members, func(x *simMember) bool { return x.name == name && !x.up }) {
		return // no flow outlives it
	}
	for _, h := range sim.relays {
		if !sim.serves(h) || max(h.serveAt, h.reconnectAt, h.unpauseAt) > sim.now-5000 || sim.now-h.lastContact > sim.releasesFlowsAfterMS() {
			continue // it may have come back since: such a relay catches up before it serves
		}
		until, moving := h.flowsUntil[name]
		_, out := sim.log[h.appliedIndex].excluded[name]
		if moving && until > sim.now {
			sim.violation("%s counts as drained, %s migrates its flows", name, h.name)
		}
		if !out {
			sim.violation("%s counts as drained, %s has not applied that it is out", name, h.name)
		}
	}
}

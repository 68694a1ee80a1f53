package rollout

import (
	"cmp"
	"slices"
)

// setUnitsCommand returns the command that sets the units of the first release that is ready for it, or
// nil.
func (p *planner) setUnitsCommand() *Command {
	r := findFirst(p.record.Releases, func(r *release) bool {
		return r.State == ReleaseQueued && !r.UnitsSet && r.QueuedBehind == "" && !p.versionsUnknown(r)
	})
	if r == nil || len(p.view.Relays) == 0 {
		return nil
	}
	var units []Unit
	if r.Spec.Kind == KindEject {
		units = p.ejectionUnits(&r.Spec)
	} else {
		units = p.orderedUnits(&r.Spec)
	}
	return &Command{Kind: CommandSetUnits, Name: r.Name, Units: units, Baseline: p.baselineWindows()}
}

// ejectionUnits returns the units of a release of ejections, the reinstated members first.
func (p *planner) ejectionUnits(spec *ReleaseSpec) []Unit {
	var units []Unit
	add := func(kind Kind, names []string) {
		for _, name := range slices.Sorted(slices.Values(names)) {
			u := Unit{Name: name, Kind: kind}
			if m := p.members[name]; m != nil {
				u.Zone, u.Capacity = m.Zone, m.Capacity
			}
			units = append(units, u)
		}
	}
	add(KindReinstate, spec.Reinstate)
	add(KindEject, spec.Eject)
	return units
}

// orderedUnits returns the relays or members that a spec selects, in the order in which they are to go out
// (lowest risk first: a relay's flows, a member's usable capacity), followed by the names in the spec
// that are not in the view.
func (p *planner) orderedUnits(spec *ReleaseSpec) []Unit {
	var units []Unit
	risk := map[string]float64{} // by name, for those in the view
	if spec.Kind == KindRelay {
		for _, r := range p.view.Relays {
			if spec.selects(r.Name, r.Zone) {
				units = append(units, Unit{Name: r.Name, Zone: r.Zone, Kind: spec.Kind, Capacity: r.Capacity, PreviousProgram: r.Program, PreviousConfig: r.Config})
				risk[r.Name] = float64(r.Flows)
			}
		}
	} else {
		for _, m := range p.view.Members {
			if spec.selects(m.Name, m.Zone) {
				units = append(units, Unit{Name: m.Name, Zone: m.Zone, Kind: spec.Kind, Capacity: m.Capacity, PreviousProgram: m.Program})
				risk[m.Name] = m.UsableCapacity
			}
		}
	}
	if plantedDefect != defectMapOrder {
		slices.SortFunc(units, func(x, y Unit) int {
			return cmp.Or(cmp.Compare(risk[x.Name], risk[y.Name]), cmp.Compare(x.Name, y.Name))
		})
	}
	units = orderByZone(units, p.zoneByZone(spec), risk)
	for _, name := range spec.Names {
		if _, present := risk[name]; !present {
			units = append(units, Unit{Name: name, Kind: spec.Kind, Phase: PhaseMissing})
		}
	}
	return units
}

// versionsUnknown reports whether a relay of the release has not yet reported its versions, without which
// it could not be reverted. It stops waiting for a relay that stays silent beyond the drain and start
// timeouts.
func (p *planner) versionsUnknown(r *release) bool {
	spec := &r.Spec
	if spec.Kind != KindRelay || p.now-r.ProgressAt > p.budgets.DrainTimeoutMS+p.budgets.StartTimeoutMS {
		return false
	}
	return slices.ContainsFunc(p.view.Relays, func(x Relay) bool {
		return spec.selects(x.Name, x.Zone) && (spec.Program != "" && x.Program == "" || spec.Config != "" && x.Config == "")
	})
}

// baselineWindows returns the valid service windows of the view, for the baseline.
func (p *planner) baselineWindows() []ServiceWindow {
	var windows []ServiceWindow
	for _, w := range p.view.Service[max(0, len(p.view.Service)-maxBaselineWindows):] {
		if w.Requested >= 0 && w.Served >= 0 && w.Requested <= maxWindowRequests {
			windows = append(windows, ServiceWindow{w.EndsAt, w.Requested, min(w.Served, w.Requested)})
		}
	}
	return windows
}

// zoneByZone reports whether the units of one zone all go out before those of the next: if the spec says
// so, or if every zone's limit allows as many out as the total limit.
func (p *planner) zoneByZone(spec *ReleaseSpec) bool {
	a := p.allowanceFor(spec.Kind)
	if spec.ZoneByZone || !a.budget.PerZone.isSet() {
		return spec.ZoneByZone
	}
	for _, n := range a.summary.CountByZone {
		if a.budget.zoneLimit(n) < a.budget.totalLimit(a.total) {
			return false
		}
	}
	return len(a.summary.CountByZone) > 1
}

// orderByZone orders units, either zone by zone or taking one unit of each zone in turn. The zone with the
// smallest total risk comes first.
func orderByZone(units []Unit, zoneByZone bool, risk map[string]float64) []Unit {
	byZone, total, zones := map[string][]Unit{}, map[string]float64{}, []string{}
	for _, u := range units {
		if byZone[u.Zone] == nil {
			zones = append(zones, u.Zone)
		}
		byZone[u.Zone] = append(byZone[u.Zone], u)
		total[u.Zone] += risk[u.Name]
	}
	if plantedDefect == defectMapOrder {
		zones = nil
		for zone := range byZone {
			zones = append(zones, zone)
		}
	} else {
		slices.SortFunc(zones, func(x, y string) int { return cmp.Or(cmp.Compare(total[x], total[y]), cmp.Compare(x, y)) })
	}
	var ordered []Unit
	if zoneByZone {
		for _, zone := range zones {
			ordered = append(ordered, byZone[zone]...)
		}
		return ordered
	}
	for i := 0; len(ordered) < len(units); i++ {
		for _, zone := range zones {
			if i < len(byZone[zone]) {
				ordered = append(ordered, byZone[zone][i])
			}
		}
	}
	return ordered
}

package fleet

import (
	"cmp"
	"maps"
	"slices"

	"dahliarudder/internal/drift"
)

// reporter is what a relay says of itself, its book kept: what its loop really goes by, as its Look has it, not what it was told. No I/O.
type statusReporter struct {
	relay, zone, program, configDigest string
	incarnation                        uint64

	driftBook      *drift.Reporter
	lastState      ObservedState // as last said
	listGeneration uint64
	listRestarted  bool // the list's generation fell
	rejected       map[string]rejectedItem
	sections       map[string]bool // in the book
}

type rejectedItem struct {
	running drift.Item
	version uint64
	reason  string
}

func newStatusReporter(o *Options) *statusReporter {
	g := &statusReporter{relay: o.Name, zone: o.Zone, program: o.Program, configDigest: o.ConfigDigest, incarnation: o.Incarnation, driftBook: drift.NewReporter(o.Name, o.Incarnation),
		rejected: map[string]rejectedItem{}, sections: map[string]bool{}}
	g.driftBook.CountActivity(drift.ItemEjections, drift.KindRemovedMember, 0, 0) // so that the first time is seen to be one
	return g
}

// statusReport is what to say now.
func (g *statusReporter) buildReport(now int64, l ObservedState, r *Record, voters drift.Item) statusReport {
	w := statusReport{Incarnation: g.incarnation, Zone: g.zone, Phase: l.Phase, Program: g.program, Config: g.configDigest, AppliedVersion: l.AppliedVersion, ListGeneration: l.ListGeneration,
		Flows: l.Flows, DemandMS: l.DemandMS, ServedMS: l.ServedMS, LocalEjections: l.LocalEjections, CanaryVersion: l.CanaryVersion, CanaryCounts: l.CanaryCounts, QuarantineOrder: l.QuarantineOrder}
	if l.ListGeneration > 0 {
		g.listRestarted, g.listGeneration = g.listRestarted || l.ListGeneration < g.listGeneration, l.ListGeneration
	}
	w.ListRestarted = g.listRestarted
	last := map[string]MemberState{}
	for _, m := range g.lastState.Members {
		last[m.Name] = m
	}
	for _, m := range l.Members {
		if b, known := last[m.Name]; m.Flows > 0 || !known && m.Successes+m.Failures > 0 || m.Successes != b.Successes || m.Failures != b.Failures {
			w.Members = append(w.Members, memberReport{m.Name, m.Flows, m.Capacity, m.Successes, m.Failures})
		}
	}
	w.ConfigSections, w.RejectedItems = reportableSections(l, g.configDigest), slices.Sorted(maps.Keys(l.RejectedItems))
	w.RejectedItems = slices.DeleteFunc(w.RejectedItems, func(n string) bool { return len(n) > drift.MaxNameBytes })
	w.RejectedItems = w.RejectedItems[:min(len(w.RejectedItems), maxIntentItems)]
	w.ReportedGroups = g.noteApplied(now, l, r, w.ConfigSections, voters)
	w.Drift = g.driftBook.NextReport(now).Encode()
	g.lastState = l
	return w
}

// reportableSections are those of a look, as far as they can be told. Whole stands for all where they are not known apart.
func reportableSections(l ObservedState, whole string) map[string]string {
	all := l.ConfigSections
	if all == nil {
		all = map[string]string{"settings": whole}
	}
	out := map[string]string{}
	for _, name := range slices.Sorted(maps.Keys(all)) {
		if len(out) < maxIntentItems-1 && checkIntentItem(drift.ItemConfig+"."+name, all[name]) == "" {
			out[name] = all[name]
		}
	}
	return out
}

// noteApplied notes what the relay runs now. It returns the groups of which it tells anything: it is held to these alone.
func (g *statusReporter) noteApplied(now int64, l ObservedState, r *Record, sections map[string]string, voters drift.Item) (tells []string) {
	r.mu.RLock()
	h, in := r.items, r.intent
	bans, drains := splitExclusions(r.rollout.Orders(g.relay).Exclusions)
	out := relayRelease{}
	if len(l.RejectedItems) > 0 {
		out = unsettledReleases(r.rollout.Releases(), in)[g.relay]
	}
	r.mu.RUnlock()

	g.noteMembers(now, l, h, bans, drains)
	if n := l.MisroutedFlows - g.lastState.MisroutedFlows; n > 0 {
		g.driftBook.CountActivity(drift.ItemEjections, drift.KindRemovedMember, n, n)
	}
	tells = []string{drift.ItemEjections, drift.ItemDrains}
	told := func(name string, yes bool) bool {
		if yes {
			tells = append(tells, name)
		}
		return yes
	}
	if told(drift.ItemProgram, checkIntentItem(drift.ItemProgram, g.program) == "") {
		g.noteItem(now, l, in, out, drift.ItemProgram, g.program)
	}
	told(drift.ItemConfig, true)
	for name := range g.sections {
		if _, ok := sections[name]; !ok {
			g.driftBook.Remove(drift.ItemConfig + "." + name)
			delete(g.rejected, drift.ItemConfig+"."+name)
			delete(g.sections, name)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(sections)) {
		g.sections[name] = true
		g.noteItem(now, l, in, out, drift.ItemConfig+"."+name, sections[name])
	}
	if told(drift.ItemEndpointList, l.ListGeneration > 0) {
		g.driftBook.RecordApplied(now, listDriftItem(l.ListGeneration), "discovery")
	}
	if told(drift.ItemCanaryWeights, true); l.CanaryVersion == h.CanaryWeights.Version {
		g.driftBook.RecordApplied(now, h.CanaryWeights, "record")
	}
	if told(drift.ItemPermits, l.PermitsVersion > 0) && l.PermitsVersion == permitsVersion(h) {
		g.driftBook.RecordApplied(now, h.Permits, "record")
	}
	if told(drift.ItemVoters, voters.Digest != 0) {
		g.driftBook.RecordApplied(now, voters, "engine")
	}
	return tells
}

// permitsVersion is Orders.Permits.
func permitsVersion(h recordItems) uint64 { return h.Permits.Version + 1 }

// running notes program or a section. What it refused is told where it runs something else than is meant, or was sent for a restart with it: one
// that runs what is meant has nothing to refuse.
func (g *statusReporter) noteItem(now int64, l ObservedState, in *intent, u relayRelease, name, value string) {
	it := in.driftItem(g.relay, name, value)
	why, refused := l.RejectedItems[name]
	m, meant := in.valueFor(g.relay, name)
	if !refused || !meant || m.Value == value && !(u.restarting() && u.changes(name)) {
		delete(g.rejected, name)
		g.driftBook.RecordApplied(now, it, "file")
		return
	}
	c := rejectedItem{it, m.Version, cmp.Or(why, "refused")}
	if g.rejected[name] != c {
		g.rejected[name] = c
		g.driftBook.RecordApplied(now, it, "file")
		g.driftBook.RecordRejected(now, drift.Item{Name: name, Version: c.version}, "file", c.reason)
	}
}

// addMembers notes bans and drains, as the core has them.
func (g *statusReporter) noteMembers(now int64, l ObservedState, h recordItems, bans, drains []string) {
	inForce := func(names []string) (in []string) {
		for _, n := range names {
			if slices.Contains(l.AppliedExclusions, n) {
				in = append(in, n)
			}
		}
		return in
	}
	ours := slices.Clone(l.LocalEjections)
	ours = slices.DeleteFunc(ours, func(n string) bool { return slices.Contains(bans, n) })
	applied := inForce(bans)
	if item := (drift.Item{Name: drift.ItemEjections, Version: h.Ejections.Version, Digest: digestOf(applied)}); len(ours) > 0 {
		all := append(applied, ours...)
		slices.Sort(all)
		item.Digest = digestOf(all)
		g.driftBook.RecordOverride(now, item, "an operator's call")
	} else if item.Digest == h.Ejections.Digest {
		g.driftBook.RecordApplied(now, item, "record")
	}
	if d := digestOf(inForce(drains)); d == h.Drains.Digest {
		g.driftBook.RecordApplied(now, drift.Item{Name: drift.ItemDrains, Version: h.Drains.Version, Digest: d}, "record")
	}
}

package fleet

import (
	"cmp"
	"maps"
	"slices"

	"dahliarudder/internal/drift"
)

// statusReporter builds a relay's status reports from its actual state, not from the state that it was
// ordered to have. It does no I/O.
type statusReporter struct {
	relay, zone, program, configDigest string
	incarnation                        uint64

	driftReporter  *drift.Reporter
	lastState      ObservedState // as last reported
	listGeneration uint64
	listRestarted  bool                    // the list's generation has fallen during this process
	rejected       map[string]rejectedItem // as last recorded, by item
	sections       map[string]bool         // sections that driftReporter has
}

// rejectedItem is an item of which a relay has rejected the intended value.
type rejectedItem struct {
	running drift.Item
	version uint64 // of the intended value
	reason  string
}

func newStatusReporter(o *Options) *statusReporter {
	r := &statusReporter{relay: o.Name, zone: o.Zone, program: o.Program, configDigest: o.ConfigDigest, incarnation: o.Incarnation,
		driftReporter: drift.NewReporter(o.Name, o.Incarnation), rejected: map[string]rejectedItem{}, sections: map[string]bool{}}
	// Start the count at zero, so that the first misrouted flow is reported as a change.
	r.driftReporter.CountActivity(drift.ItemEjections, drift.KindRemovedMember, 0, 0)
	return r
}

// buildReport returns the status report of the observed state.
func (r *statusReporter) buildReport(now int64, observed ObservedState, record *Record, voters drift.Item) statusReport {
	if observed.ListGeneration > 0 {
		r.listRestarted = r.listRestarted || observed.ListGeneration < r.listGeneration
		r.listGeneration = observed.ListGeneration
	}
	sections := reportableSections(observed, r.configDigest)
	groups := r.recordItems(now, observed, record, sections, voters)
	report := statusReport{Incarnation: r.incarnation, Zone: r.zone, Phase: observed.Phase, Program: r.program, Config: r.configDigest,
		AppliedVersion: observed.AppliedVersion, ListGeneration: observed.ListGeneration, ListRestarted: r.listRestarted,
		Flows: observed.Flows, DemandMS: observed.DemandMS, ServedMS: observed.ServedMS, Members: r.memberReports(observed.Members),
		CanaryVersion: observed.CanaryVersion, CanaryCounts: observed.CanaryCounts, LocalEjections: observed.LocalEjections,
		ConfigSections: sections, RejectedItems: reportableRejections(observed), ReportedGroups: groups, QuarantineOrder: observed.QuarantineOrder,
		Drift: r.driftReporter.NextReport(now).Encode()}
	r.lastState = observed
	return report
}

// memberReports returns the reports on members that have flows, or attempts since the last report.
func (r *statusReporter) memberReports(members []MemberState) (reports []memberReport) {
	last := map[string]MemberState{}
	for _, m := range r.lastState.Members {
		last[m.Name] = m
	}
	for _, m := range members {
		previous, known := last[m.Name]
		attempted := m.Successes != previous.Successes || m.Failures != previous.Failures || !known && m.Successes+m.Failures > 0
		if m.Flows > 0 || attempted {
			reports = append(reports, memberReport{m.Name, m.Flows, m.Capacity, m.Successes, m.Failures})
		}
	}
	return reports
}

// reportableSections returns the sections that fit into a report, with their digests. If observed has
// no sections, configDigest is reported as the section "settings".
func reportableSections(observed ObservedState, configDigest string) map[string]string {
	sections := observed.ConfigSections
	if sections == nil {
		sections = map[string]string{"settings": configDigest}
	}
	reportable := map[string]string{}
	for _, name := range slices.Sorted(maps.Keys(sections)) {
		if len(reportable) < maxIntentItems-1 && checkIntentItem(configItem(name), sections[name]) == "" {
			reportable[name] = sections[name]
		}
	}
	return reportable
}

// reportableRejections returns the names of the rejected items that fit into a report.
func reportableRejections(observed ObservedState) []string {
	names := slices.Sorted(maps.Keys(observed.RejectedItems))
	names = slices.DeleteFunc(names, func(n string) bool { return len(n) > drift.MaxNameBytes })
	return names[:min(len(names), maxIntentItems)]
}

// recordItems passes the items that the relay has applied to the drift reporter. It returns the groups
// of items that the relay reports; the leader expects only items of these groups.
func (r *statusReporter) recordItems(now int64, observed ObservedState, record *Record, sections map[string]string, voters drift.Item) (groups []string) {
	record.mu.RLock()
	items, intent := record.items, record.intent
	ejected, draining := splitExclusions(record.rollout.Orders(r.relay).Exclusions)
	release := relayRelease{}
	if len(observed.RejectedItems) > 0 {
		release = unsettledReleases(record.rollout.Releases(), intent)[r.relay]
	}
	record.mu.RUnlock()

	r.recordExclusions(now, observed, items, ejected, draining)
	if n := observed.MisroutedFlows - r.lastState.MisroutedFlows; n > 0 {
		r.driftReporter.CountActivity(drift.ItemEjections, drift.KindRemovedMember, n, n)
	}
	groups = []string{drift.ItemEjections, drift.ItemDrains}
	if checkIntentItem(drift.ItemProgram, r.program) == "" {
		groups = append(groups, drift.ItemProgram)
		r.recordIntended(now, observed, intent, release, drift.ItemProgram, r.program)
	}
	groups = append(groups, drift.ItemConfig)
	r.removeSectionsExcept(sections)
	for _, name := range slices.Sorted(maps.Keys(sections)) {
		r.sections[name] = true
		r.recordIntended(now, observed, intent, release, configItem(name), sections[name])
	}
	if observed.ListGeneration > 0 {
		groups = append(groups, drift.ItemEndpointList)
		r.driftReporter.RecordApplied(now, listDriftItem(observed.ListGeneration), "discovery")
	}
	groups = append(groups, drift.ItemCanaryWeights)
	if observed.CanaryVersion == items.CanaryWeights.Version {
		r.driftReporter.RecordApplied(now, items.CanaryWeights, "record")
	}
	if observed.PermitsVersion > 0 {
		groups = append(groups, drift.ItemPermits)
		if observed.PermitsVersion == permitsVersion(items) {
			r.driftReporter.RecordApplied(now, items.Permits, "record")
		}
	}
	if voters.Digest != 0 {
		groups = append(groups, drift.ItemVoters)
		r.driftReporter.RecordApplied(now, voters, "engine")
	}
	return groups
}

// removeSectionsExcept removes the sections that the configuration no longer has from the drift
// reporter.
func (r *statusReporter) removeSectionsExcept(sections map[string]string) {
	for name := range r.sections {
		if _, ok := sections[name]; !ok {
			r.driftReporter.Remove(configItem(name))
			delete(r.rejected, configItem(name))
			delete(r.sections, name)
		}
	}
}

// permitsVersion returns DesiredState.PermitsVersion. It is one more than the version of the permits,
// so that it is never 0.
func permitsVersion(items recordItems) uint64 { return items.Permits.Version + 1 }

// recordIntended passes the running value of the program or of a section to the drift reporter. A
// rejection is reported only while the relay runs something other than the intended value, or while a
// release restarts it for a new value; otherwise it has nothing to reject.
func (r *statusReporter) recordIntended(now int64, observed ObservedState, in *intent, release relayRelease, name, value string) {
	running := in.driftItem(r.relay, name, value)
	reason, rejected := observed.RejectedItems[name]
	intended, ok := in.valueFor(r.relay, name)
	if !rejected || !ok || intended.Value == value && !(release.restarting() && release.changes(name)) {
		delete(r.rejected, name)
		r.driftReporter.RecordApplied(now, running, "file")
		return
	}
	// The reason is sent to the leader and shown in GET /-/drift.
	item := rejectedItem{running, intended.Version, cmp.Or(reason, "refused")}
	if r.rejected[name] != item {
		r.rejected[name] = item
		r.driftReporter.RecordApplied(now, running, "file")
		r.driftReporter.RecordRejected(now, drift.Item{Name: name, Version: item.version}, "file", item.reason)
	}
}

// recordExclusions passes ejections and drains, as the core has applied them, to the drift reporter.
// Local ejections are reported as an override of the record.
func (r *statusReporter) recordExclusions(now int64, observed ObservedState, items recordItems, ejected, draining []string) {
	applied := func(names []string) (in []string) {
		for _, n := range names {
			if slices.Contains(observed.AppliedExclusions, n) {
				in = append(in, n)
			}
		}
		return in
	}
	local := slices.DeleteFunc(slices.Clone(observed.LocalEjections), func(n string) bool { return slices.Contains(ejected, n) })
	ejections := drift.Item{Name: drift.ItemEjections, Version: items.Ejections.Version, Digest: digestOf(applied(ejected))}
	if len(local) > 0 {
		all := append(applied(ejected), local...)
		slices.Sort(all)
		ejections.Digest = digestOf(all)
		r.driftReporter.RecordOverride(now, ejections, "an operator's call") // the source is sent to the leader
	} else if ejections.Digest == items.Ejections.Digest {
		r.driftReporter.RecordApplied(now, ejections, "record")
	}
	if digest := digestOf(applied(draining)); digest == items.Drains.Digest {
		r.driftReporter.RecordApplied(now, drift.Item{Name: drift.ItemDrains, Version: items.Drains.Version, Digest: digest}, "record")
	}
}

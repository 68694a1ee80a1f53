package fleet

import (
	"encoding/json"
	"maps"
	"slices"

	"dahliarudder/internal/drift"
	"dahliarudder/internal/rollout"
)

// updateExpected tells the watch what is agreed for a relay.
func (h *controller) updateExpected(now int64, relay string) {
	items := h.expectedItems(now, relay)
	x := h.fleet.relays[relay]
	if x != nil && !x.listState.resetWatch && slices.Equal(items, x.expected) {
		return
	}
	if x != nil && x.listState.resetWatch {
		if x.listState.resetWatch = false; h.driftWatch.StateOf(relay, drift.ItemEndpointList) < drift.Lagging {
			h.driftWatch.SetIntent(now, relay, slices.DeleteFunc(slices.Clone(items), func(i drift.Item) bool { return i.Name == drift.ItemEndpointList }))
		}
	}
	if h.driftWatch.SetIntent(now, relay, items); x != nil {
		x.expected = items
	}
}

// expectedItems are those that a relay is held to: what the record says, of what it tells anything of. One that is of an older program tells less.
func (h *controller) expectedItems(now int64, relay string) []drift.Item {
	items := []drift.Item{h.recordItems.Ejections, h.recordItems.Drains}
	x := h.fleet.relays[relay]
	if x == nil {
		return items
	}
	if x.reports(drift.ItemProgram) {
		if value := h.expectedProgram(relay, x); value != "" {
			items = append(items, h.intent.driftItem(relay, drift.ItemProgram, value))
		}
	}
	if x.reports(drift.ItemConfig) {
		all := h.expectedConfig(relay, x)
		for section, value := range x.ConfigSections {
			if name := drift.ItemConfig + "." + section; h.contested[name] && len(all) > 0 && all[name] == "" {
				all = maps.Clone(all)
				all[name] = value
			}
		}
		for _, name := range slices.Sorted(maps.Keys(all)) {
			items = append(items, h.intent.driftItem(relay, name, all[name]))
		}
	}
	if x.reports(drift.ItemEndpointList) && x.listState.generation > 0 {
		items = append(items, h.fleet.expectedList(now, &x.listState))
	}
	if x.reports(drift.ItemCanaryWeights) {
		items = append(items, h.recordItems.CanaryWeights)
	}
	if x.reports(drift.ItemPermits) {
		items = append(items, h.recordItems.Permits)
	}
	if x.reports(drift.ItemVoters) && h.voters.Digest != 0 {
		items = append(items, h.voters)
	}
	return items
}

// expectedProgram is what a relay is to run, "" if nobody has agreed on any. Under a release: what is new once it is through, what it had while it
// waits, and either while it is out.
func (h *controller) expectedProgram(relay string, x *relayStatus) string {
	m, _ := h.intent.valueFor(relay, drift.ItemProgram)
	u, ok := h.pendingReleases[relay]
	if !ok || !u.changes(drift.ItemProgram) {
		return m.Value
	}
	old, fresh := m.Value, u.release.Spec.Program
	if u.adopted {
		old = u.unit.PreviousProgram
	}
	switch {
	case u.restarting() && (x.Program == fresh || slices.Contains(x.RejectedItems, drift.ItemProgram)), u.unit.Phase == rollout.PhaseDone && u.unit.Updated && !u.restarting():
		return fresh
	}
	return old
}

// expectedConfig is the same of the configuration, by item.
func (h *controller) expectedConfig(relay string, x *relayStatus) map[string]string {
	meant := map[string]string{}
	for _, name := range h.intent.itemNames(relay) {
		if m, _ := h.intent.valueFor(relay, name); name != drift.ItemProgram {
			meant[name] = m.Value
		}
	}
	u, ok := h.pendingReleases[relay]
	if !ok || !u.changes(drift.ItemConfig) {
		return meant
	}
	old, fresh := meant, h.releaseSections[u.release.Name]
	if u.adopted {
		old = map[string]string{}
		for name, value := range u.previous {
			if name != drift.ItemProgram {
				old[name] = value
			}
		}
	}
	switch {
	case u.restarting() && x.Config != u.release.Spec.Config:
		for _, name := range x.RejectedItems { // it was sent for the new one
			if drift.GroupOf(name) == drift.ItemConfig && old[name] != "" {
				old = maps.Clone(old)
				if old[name] = fresh[name]; old[name] == "" {
					old[name] = "that of " + u.release.Name
				}
			}
		}
		return old
	case u.restarting(), u.unit.Phase == rollout.PhaseDone && u.unit.Updated:
		return fresh
	}
	return old
}

// learnReleaseSections takes the sections of new configurations from the units that have them, as most of them say, and which ones nobody agreed on.
func (h *controller) learnReleaseSections() {
	h.releaseSections = map[string]map[string]string{}
	count := map[string]map[string]int{}
	for relay, u := range h.pendingReleases {
		x := h.fleet.relays[relay]
		if x == nil || u.release.Spec.Config == "" || x.Config != u.release.Spec.Config || len(x.ConfigSections) == 0 ||
			!(u.unit.Updated || u.restarting()) {
			continue
		}
		text, _ := json.Marshal(x.ConfigSections)
		if count[u.release.Name] == nil {
			count[u.release.Name] = map[string]int{}
		}
		count[u.release.Name][string(text)]++
	}
	has, tell := map[string]int{}, 0
	for _, x := range h.fleet.relays {
		if x.reports(drift.ItemConfig) {
			tell++
			for section := range x.ConfigSections {
				has[drift.ItemConfig+"."+section]++
			}
		}
	}
	h.contested = map[string]bool{}
	for name, n := range has {
		h.contested[name] = 2*n >= tell && len(h.intent.Items[name]) == 0
	}
	for name, by := range count {
		best := ""
		for text, n := range by {
			if best == "" || n > by[best] || n == by[best] && text < best {
				best = text
			}
		}
		var all map[string]string
		json.Unmarshal([]byte(best), &all)
		h.releaseSections[name] = map[string]string{}
		for section, value := range all {
			h.releaseSections[name][drift.ItemConfig+"."+section] = value
		}
	}
}

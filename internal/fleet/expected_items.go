package fleet

import (
	"encoding/json"
	"maps"
	"slices"

	"dahliarudder/internal/drift"
	"dahliarudder/internal/rollout"
)

// updateExpected passes the items that a relay is expected to have applied to the drift monitor. If
// list.resetMonitor is set and the list has not drifted yet, it first removes the list from the
// expected items: the monitor then starts over with this item.
func (c *controller) updateExpected(now int64, relay string) {
	items := c.expectedItems(now, relay)
	status := c.fleet.relays[relay]
	if status == nil {
		c.driftMonitor.SetIntent(now, relay, items)
		return
	}
	if !status.list.resetMonitor && slices.Equal(items, status.expected) {
		return
	}
	if status.list.resetMonitor {
		status.list.resetMonitor = false
		if c.driftMonitor.StateOf(relay, drift.ItemEndpointList) < drift.Lagging {
			withoutList := slices.DeleteFunc(slices.Clone(items), func(i drift.Item) bool { return i.Name == drift.ItemEndpointList })
			c.driftMonitor.SetIntent(now, relay, withoutList)
		}
	}
	c.driftMonitor.SetIntent(now, relay, items)
	status.expected = items
}

// expectedItems returns the items that a relay is expected to have applied, limited to the groups
// that it reports: a relay of an earlier version reports fewer groups.
func (c *controller) expectedItems(now int64, relay string) []drift.Item {
	items := []drift.Item{c.recordItems.Ejections, c.recordItems.Drains}
	status := c.fleet.relays[relay]
	if status == nil {
		return items
	}
	if status.reports(drift.ItemProgram) {
		if value := c.expectedProgram(relay, status); value != "" {
			items = append(items, c.intent.driftItem(relay, drift.ItemProgram, value))
		}
	}
	if status.reports(drift.ItemConfig) {
		config := c.expectedConfig(relay, status)
		for section, value := range status.ConfigSections {
			if name := configItem(section); c.acceptAnyValue[name] && len(config) > 0 && config[name] == "" {
				config = maps.Clone(config)
				config[name] = value
			}
		}
		for _, name := range slices.Sorted(maps.Keys(config)) {
			items = append(items, c.intent.driftItem(relay, name, config[name]))
		}
	}
	if status.reports(drift.ItemEndpointList) && status.list.generation > 0 {
		items = append(items, c.fleet.expectedList(now, &status.list))
	}
	if status.reports(drift.ItemCanaryWeights) {
		items = append(items, c.recordItems.CanaryWeights)
	}
	if status.reports(drift.ItemPermits) {
		items = append(items, c.recordItems.Permits)
	}
	if status.reports(drift.ItemVoters) && c.voters.Digest != 0 {
		items = append(items, c.voters)
	}
	return items
}

// expectedProgram returns the program that a relay is expected to run, "" if there is no intent.
// During a release, a relay that is done must run the new program and a relay that waits must run
// the previous one; while a relay restarts, either is accepted.
func (c *controller) expectedProgram(relay string, status *relayStatus) string {
	intended, _ := c.intent.valueFor(relay, drift.ItemProgram)
	release, ok := c.pendingReleases[relay]
	if !ok || !release.changes(drift.ItemProgram) {
		return intended.Value
	}
	previous, next := intended.Value, release.release.Spec.Program
	if release.adopted {
		previous = release.unit.PreviousProgram
	}
	runsOrRejectsNext := status.Program == next || slices.Contains(status.RejectedItems, drift.ItemProgram)
	switch {
	case release.restarting() && runsOrRejectsNext, release.unit.Phase == rollout.PhaseDone && release.unit.Updated && !release.restarting():
		return next
	}
	return previous
}

// expectedConfig returns the expected values of the configuration sections by item, under the same
// rules as expectedProgram.
func (c *controller) expectedConfig(relay string, status *relayStatus) map[string]string {
	intended := map[string]string{}
	for _, name := range c.intent.itemNames(relay) {
		if value, _ := c.intent.valueFor(relay, name); name != drift.ItemProgram {
			intended[name] = value.Value
		}
	}
	release, ok := c.pendingReleases[relay]
	if !ok || !release.changes(drift.ItemConfig) {
		return intended
	}
	previous, next := intended, c.releaseSections[release.release.Name]
	if release.adopted {
		previous = configItems(release.previous)
	}
	switch {
	case release.restarting() && status.Config != release.release.Spec.Config:
		return withRejected(previous, next, status.RejectedItems, release.release.Name)
	case release.restarting(), release.unit.Phase == rollout.PhaseDone && release.unit.Updated:
		return next
	}
	return previous
}

// withRejected returns the previous values, with the next value for each item that the relay
// rejected: the relay restarted in order to apply it.
func withRejected(previous, next map[string]string, rejected []string, release string) map[string]string {
	for _, name := range rejected {
		if drift.GroupOf(name) == drift.ItemConfig && previous[name] != "" {
			previous = maps.Clone(previous)
			if previous[name] = next[name]; previous[name] == "" {
				// No relay has reported the new value yet: expect a text that differs from every value.
				previous[name] = "that of " + release
			}
		}
	}
	return previous
}

// configItem returns the name of the drift item of a configuration section.
func configItem(section string) string { return drift.ItemConfig + "." + section }

// configItems returns the items that are configuration sections: all but the program.
func configItems(items map[string]string) map[string]string {
	config := map[string]string{}
	for name, value := range items {
		if name != drift.ItemProgram {
			config[name] = value
		}
	}
	return config
}

// learnReleaseSections updates releaseSections and acceptAnyValue from the relays' reports. The
// sections of a release's configuration are those that most of the relays that run it report.
func (c *controller) learnReleaseSections() {
	votes := map[string]map[string]int{} // by release and encoded sections
	for relay, release := range c.pendingReleases {
		status, config := c.fleet.relays[relay], release.release.Spec.Config
		if status == nil || config == "" || status.Config != config || len(status.ConfigSections) == 0 ||
			!(release.unit.Updated || release.restarting()) {
			continue
		}
		text, _ := json.Marshal(status.ConfigSections)
		name := release.release.Name
		if votes[name] == nil {
			votes[name] = map[string]int{}
		}
		votes[name][string(text)]++
	}
	c.releaseSections = map[string]map[string]string{}
	for release, bySections := range votes {
		var sections map[string]string
		json.Unmarshal([]byte(mostVotes(bySections)), &sections)
		c.releaseSections[release] = map[string]string{}
		for section, value := range sections {
			c.releaseSections[release][configItem(section)] = value
		}
	}
	c.updateAcceptAnyValue()
}

// mostVotes returns the candidate with the most votes; if several have as many, the smallest string.
func mostVotes(votes map[string]int) (best string) {
	for candidate, n := range votes {
		if best == "" || n > votes[best] || n == votes[best] && candidate < best {
			best = candidate
		}
	}
	return best
}

// updateAcceptAnyValue finds the sections without intent that at least half of the reporting relays
// have.
func (c *controller) updateAcceptAnyValue() {
	relaysWithSection, relayCount := map[string]int{}, 0 // relayCount: relays that report sections
	for _, status := range c.fleet.relays {
		if status.reports(drift.ItemConfig) {
			relayCount++
			for section := range status.ConfigSections {
				relaysWithSection[configItem(section)]++
			}
		}
	}
	c.acceptAnyValue = map[string]bool{}
	for name, n := range relaysWithSection {
		c.acceptAnyValue[name] = 2*n >= relayCount && len(c.intent.Items[name]) == 0
	}
}

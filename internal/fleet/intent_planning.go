package fleet

import (
	"fmt"
	"maps"
	"slices"

	"dahliarudder/internal/drift"
	"dahliarudder/internal/rollout"
)

// candidateValue is the value that most relays run of an item without intent, and since when (wall clock, ms).
type candidateValue struct {
	value string
	since int64
}

// planIntent returns the changes of intent to propose: what follows from releases that are over, an item that relays have come to agree on,
// and what most relays run of items without intent.
func (c *controller) planIntent(now int64, v *rollout.View) (plan []intentCommand) {
	for _, release := range c.unadopted {
		command := intentCommand{Action: adoptAction, Release: release.Name}
		if release.State == rollout.ReleaseCompleted && release.Spec.Config != "" {
			command.Items = c.releaseSections[release.Name]
			if command.Items == nil && slices.ContainsFunc(release.Units, func(u rollout.Unit) bool { return u.Updated }) {
				continue // until a relay that runs the configuration has reported it
			}
		}
		plan = append(plan, command)
	}
	if command, ok := c.uniformItem(v); ok && len(plan) == 0 {
		plan = append(plan, command)
	}
	if items := c.majorityItems(now, v); len(items) > 0 {
		plan = append(plan, intentCommand{Action: adoptAction, Items: items})
	}
	return plan
}

// majorityItems returns the items without intent of which more than half of all known relays have run the same value for silenceTimeout.
// Silent relays are counted as known, but not as running anything.
func (c *controller) majorityItems(now int64, v *rollout.View) map[string]string {
	candidates, items := map[string]candidateValue{}, map[string]string{}
	for name, byValue := range c.countValues(v) {
		for value, n := range byValue {
			if 2*n <= len(v.Relays) {
				continue
			}
			candidate := candidateValue{value, now}
			if c.candidates[name].value == value {
				candidate = c.candidates[name]
			}
			candidates[name] = candidate
			if now-candidate.since >= silenceTimeout.Milliseconds() && len(c.intent.Items)+len(items) < maxIntentItems {
				items[name] = value
			}
		}
	}
	c.candidates = candidates
	return items
}

// countValues counts by item without intent how many relays run which value. A relay does not count for what an unsettled release changes.
func (c *controller) countValues(v *rollout.View) map[string]map[string]int {
	counts := map[string]map[string]int{}
	add := func(name, value string) {
		if len(c.intent.Items[name]) > 0 || checkIntentItem(name, value) != "" {
			return
		}
		if counts[name] == nil {
			counts[name] = map[string]int{}
		}
		counts[name][value]++
	}
	for _, r := range v.Relays {
		status, release := c.fleet.relays[r.Name], c.pendingReleases[r.Name]
		if status == nil || r.ReportAgeMS > silenceTimeout.Milliseconds() {
			continue
		}
		if status.reports(drift.ItemProgram) && !release.changes(drift.ItemProgram) {
			add(drift.ItemProgram, status.Program)
		}
		if status.reports(drift.ItemConfig) && !release.changes(drift.ItemConfig) {
			for section, value := range status.ConfigSections {
				add(configItem(section), value)
			}
		}
	}
	return counts
}

// uniformItem finds an item whose intent of single relays has become the same for all known relays: then it is the intent of future ones too.
func (c *controller) uniformItem(v *rollout.View) (intentCommand, bool) {
	if len(c.intent.PerRelay) == 0 || len(c.unadopted) > 0 || len(v.Relays) == 0 {
		return intentCommand{}, false
	}
	first := c.intent.PerRelay[v.Relays[0].Name]
	for _, name := range slices.Sorted(maps.Keys(first)) {
		value := first[name].Value
		if !slices.ContainsFunc(v.Relays, func(r rollout.Relay) bool {
			other, _ := c.intent.valueFor(r.Name, name)
			return other.Value != value
		}) {
			return intentCommand{Action: adoptAction, Uniform: true, BaseVersion: c.intent.Version, Items: map[string]string{name: value}}, true
		}
	}
	return intentCommand{}, false
}

// intentFromRelay is an operator's command that makes what a relay reported last the intent: of one item, or of all if item is "".
func (c *controller) intentFromRelay(relay, item, operator string) (intentCommand, error) {
	status := c.fleet.relays[relay]
	if status == nil {
		return intentCommand{}, fmt.Errorf("%q was not heard by this leader", relay)
	}
	items := map[string]string{drift.ItemProgram: status.Program}
	for section, value := range status.ConfigSections {
		items[configItem(section)] = value
	}
	if item == "" {
		return intentCommand{Action: adoptAction, Operator: operator, Items: items, ReplaceAll: true}, nil
	}
	if items[item] == "" {
		return intentCommand{}, fmt.Errorf("%q tells nothing of %q", relay, item)
	}
	return intentCommand{Action: adoptAction, Operator: operator, Items: map[string]string{item: items[item]}}, nil
}

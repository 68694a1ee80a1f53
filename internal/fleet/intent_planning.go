package fleet

import (
	"fmt"
	"maps"
	"slices"

	"dahliarudder/internal/drift"
	"dahliarudder/internal/rollout"
)

// candidateValue is the value that most relays run of an item without intent, and the time since when
// they do (wall clock, ms).
type candidateValue struct {
	value string
	since int64
}

// planIntent returns the changes of intent to propose. They come from releases that are over, from an
// item whose intent has become the same at all relays, and from values that most relays run of items
// without intent.
func (c *controller) planIntent(now int64, v *rollout.View) (plan []intentCommand) {
	for _, release := range c.unadopted {
		command := intentCommand{Action: adoptAction, Release: release.Name}
		if release.State == rollout.ReleaseCompleted && release.Spec.Config != "" {
			command.Items = c.releaseSections[release.Name]
			if command.Items == nil && slices.ContainsFunc(release.Units, func(u rollout.Unit) bool { return u.Updated }) {
				continue // wait until a relay that runs the configuration has reported its sections
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

// majorityItems returns the items without intent of which more than half of all known relays have
// run the same value for silenceTimeout. Silent relays count as known but run no value.
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

// countValues returns how many relays run each value of each item without intent. A relay is not
// counted for items that its unsettled release changes.
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

// uniformItem returns a command for an item whose intent at single relays has become the same for all
// known relays. The command makes it the intent for all relays, so that it applies to new ones too.
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

// intentFromRelay returns an operator's command that makes what a relay last reported the intent: of
// one item, or of all items if item is "". The errors say that this leader has no report of the
// relay, or none of the item. The API sends them, so their text must not change.
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

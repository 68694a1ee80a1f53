package fleet

import (
	"fmt"
	"maps"
	"slices"

	"dahliarudder/internal/drift"
	"dahliarudder/internal/rollout"
)

// candidateValue is what most relays run of an item, and since when.
type candidateValue struct {
	value   string
	sinceMS int64
}

// planIntent is what to have agreed on next.
func (h *controller) planIntent(now int64, v *rollout.View) (list []intentCommand) {
	for _, a := range h.unadopted {
		c := intentCommand{Action: "adopt", Release: a.Name}
		if a.State == rollout.ReleaseCompleted && a.Spec.Config != "" {
			c.Items = h.releaseSections[a.Name]
			if c.Items == nil && slices.ContainsFunc(a.Units, func(u rollout.Unit) bool { return u.Updated }) {
				continue // until one that runs it has said so
			}
		}
		list = append(list, c)
	}
	if c, ok := h.uniformItem(v); ok && len(list) == 0 {
		list = append(list, c)
	}
	if items := h.majorityItems(now, v); len(items) > 0 {
		list = append(list, intentCommand{Action: "adopt", Items: items})
	}
	return list
}

// majorityItems are the items that nobody agreed on, and more than half of all known relays have run the same of for long enough. Who is silent is known too,
// and runs nothing.
func (h *controller) majorityItems(now int64, v *rollout.View) map[string]string {
	count := map[string]map[string]int{}
	add := func(name, value string) {
		if len(h.intent.Items[name]) > 0 || checkIntentItem(name, value) != "" {
			return
		}
		if count[name] == nil {
			count[name] = map[string]int{}
		}
		count[name][value]++
	}
	for _, r := range v.Relays {
		x, u := h.fleet.relays[r.Name], h.pendingReleases[r.Name]
		if x == nil || r.ReportAgeMS > silenceTimeout.Milliseconds() {
			continue
		}
		if x.reports(drift.ItemProgram) && !u.changes(drift.ItemProgram) {
			add(drift.ItemProgram, x.Program)
		}
		if x.reports(drift.ItemConfig) && !u.changes(drift.ItemConfig+".") {
			for section, value := range x.ConfigSections {
				add(drift.ItemConfig+"."+section, value)
			}
		}
	}
	runs, items := map[string]candidateValue{}, map[string]string{}
	for name, by := range count {
		for value, n := range by {
			if 2*n <= len(v.Relays) {
				continue
			}
			if runs[name] = (candidateValue{value, now}); h.candidates[name].value == value {
				runs[name] = h.candidates[name]
			}
			if now-runs[name].sinceMS >= silenceTimeout.Milliseconds() && len(h.intent.Items)+len(items) < maxIntentItems {
				items[name] = value
			}
		}
	}
	h.candidates = runs
	return items
}

// uniformItem is an item that is meant of single relays, and has come to be meant the same of all that are known: so it is meant of those that come.
func (h *controller) uniformItem(v *rollout.View) (intentCommand, bool) {
	if len(h.intent.PerRelay) == 0 || len(h.unadopted) > 0 || len(v.Relays) == 0 {
		return intentCommand{}, false
	}
	first := v.Relays[0].Name
	for _, name := range slices.Sorted(maps.Keys(h.intent.PerRelay[first])) {
		value := h.intent.PerRelay[first][name].Value
		if !slices.ContainsFunc(v.Relays, func(r rollout.Relay) bool {
			m, _ := h.intent.valueFor(r.Name, name)
			return m.Value != value
		}) {
			return intentCommand{Action: "adopt", Uniform: true, BaseVersion: h.intent.Version, Items: map[string]string{name: value}}, true
		}
	}
	return intentCommand{}, false
}

// as is what a relay said last that it runs, as an operator's word on what is meant. Item may be "" for all.
func (h *controller) intentFromRelay(relay, item, who string) (intentCommand, error) {
	x := h.fleet.relays[relay]
	if x == nil {
		return intentCommand{}, fmt.Errorf("%q was not heard by this leader", relay)
	}
	all := map[string]string{drift.ItemProgram: x.Program}
	for section, value := range x.ConfigSections {
		all[drift.ItemConfig+"."+section] = value
	}
	c := intentCommand{Action: "adopt", Operator: who, Items: all, ReplaceAll: true}
	if item != "" {
		if all[item] == "" {
			return intentCommand{}, fmt.Errorf("%q tells nothing of %q", relay, item)
		}
		c.Items, c.ReplaceAll = map[string]string{item: all[item]}, false
	}
	return c, nil
}

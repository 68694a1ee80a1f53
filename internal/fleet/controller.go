package fleet

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"dahliarudder/internal/drift"
	"dahliarudder/internal/rollout"
)

// controller is what the leader knows of all relays, and reckons from that and the record. No I/O, no clock; a new leader begins with an empty one.
type controller struct {
	record     *Record
	fleet      *fleetStatus
	driftWatch *drift.Watch
	voters     drift.Item // in force

	// Derived from the record at its change count.
	recordChanges   uint64
	recordItems     recordItems
	intent          *intent
	pendingReleases map[string]relayRelease
	unadopted       []rollout.ReleaseStatus // releases that are over, and what is meant does not follow them yet
	quarantined     map[string]rollout.Quarantine

	releaseSections map[string]map[string]string // by release: the new configuration, from the relays that run it
	blockReason     string                       // why no release may step on, but one that mends it
	blockReasons    map[string]string            // by release, where one mends what holds up others; "" is for all that mend nothing
	candidates      map[string]candidateValue    // by item that nobody agreed on
	contested       map[string]bool              // sections that nobody agreed on, and half of the relays have: any will do. A rarer one is too much
}

// candidateValue is what most relays run of an item, and since when.
type candidateValue struct {
	value   string
	sinceMS int64
}

func newController(r *Record) *controller {
	return &controller{record: r, fleet: newFleetStatus(), driftWatch: drift.New(drift.Settings{Period: reportInterval.Milliseconds(), Unpaced: []string{drift.List}}), candidates: map[string]candidateValue{}}
}

// refresh takes over what the record has become.
func (h *controller) refresh() {
	r := h.record
	r.mu.RLock()
	defer r.mu.RUnlock()
	if h.intent != nil && h.recordChanges == r.changes {
		return
	}
	h.recordChanges, h.recordItems, h.intent = r.changes, r.items, r.intent
	all := r.rollout.Releases()
	h.pendingReleases, h.unadopted, h.quarantined = unsettledReleases(all, r.intent), nil, map[string]rollout.Quarantine{}
	for _, x := range r.rollout.Quarantines() {
		h.quarantined[x.Name] = x
	}
	for _, a := range all {
		if _, settled := r.intent.releaseAdoption(&a); !settled && a.Spec.Kind == rollout.KindRelay && a.Spec.Program+a.Spec.Config != "" &&
			(a.State == rollout.ReleaseCompleted || a.State == rollout.ReleaseRolledBack) {
			h.unadopted = append(h.unadopted, a)
		}
	}
}

// receive takes a relay's word. What it answers is encoded; nil: nothing.
func (h *controller) receive(now int64, from string, w statusReport) []byte {
	h.refresh()
	h.fleet.receive(now, from, w)
	d, ok := w.driftReport(from)
	if !ok || h.fleet.relays[from] == nil {
		return nil
	}
	h.fleet.updateLists(now)
	h.updateExpected(now, from)
	h.driftWatch.Hear(now, d)
	if reply, ok := h.driftWatch.Reply(from); ok {
		return reply.Encode()
	}
	return nil
}

// ---- What is agreed for a relay ----

// updateExpected tells the watch what is agreed for a relay.
func (h *controller) updateExpected(now int64, relay string) {
	items := h.expectedItems(now, relay)
	x := h.fleet.relays[relay]
	if x != nil && !x.listState.resetWatch && slices.Equal(items, x.expected) {
		return
	}
	if x != nil && x.listState.resetWatch {
		if x.listState.resetWatch = false; h.driftWatch.State(relay, drift.List) < drift.Late {
			h.driftWatch.Intend(now, relay, slices.DeleteFunc(slices.Clone(items), func(i drift.Item) bool { return i.Name == drift.List }))
		}
	}
	if h.driftWatch.Intend(now, relay, items); x != nil {
		x.expected = items
	}
}

// expectedItems are those that a relay is held to: what the record says, of what it tells anything of. One that is of an older program tells less.
func (h *controller) expectedItems(now int64, relay string) []drift.Item {
	items := []drift.Item{h.recordItems.Bans, h.recordItems.Drains}
	x := h.fleet.relays[relay]
	if x == nil {
		return items
	}
	if x.reports(drift.Program) {
		if value := h.expectedProgram(relay, x); value != "" {
			items = append(items, h.intent.driftItem(relay, drift.Program, value))
		}
	}
	if x.reports(drift.Config) {
		all := h.expectedConfig(relay, x)
		for section, value := range x.ConfigSections {
			if name := drift.Config + "." + section; h.contested[name] && len(all) > 0 && all[name] == "" {
				all = maps.Clone(all)
				all[name] = value
			}
		}
		for _, name := range slices.Sorted(maps.Keys(all)) {
			items = append(items, h.intent.driftItem(relay, name, all[name]))
		}
	}
	if x.reports(drift.List) && x.listState.generation > 0 {
		items = append(items, h.fleet.expectedList(now, &x.listState))
	}
	if x.reports(drift.Weights) {
		items = append(items, h.recordItems.Weights)
	}
	if x.reports(drift.Permits) {
		items = append(items, h.recordItems.Permits)
	}
	if x.reports(drift.Voters) && h.voters.Digest != 0 {
		items = append(items, h.voters)
	}
	return items
}

func (x *relayStatus) reports(group string) bool { return slices.Contains(x.ReportedGroups, group) }

// expectedProgram is what a relay is to run, "" if nobody has agreed on any. Under a release: what is new once it is through, what it had while it
// waits, and either while it is out.
func (h *controller) expectedProgram(relay string, x *relayStatus) string {
	m, _ := h.intent.valueFor(relay, drift.Program)
	u, ok := h.pendingReleases[relay]
	if !ok || !u.changes(drift.Program) {
		return m.Value
	}
	old, fresh := m.Value, u.release.Spec.Program
	if u.adopted {
		old = u.unit.PreviousProgram
	}
	switch {
	case u.restarting() && (x.Program == fresh || slices.Contains(x.RejectedItems, drift.Program)), u.unit.Phase == rollout.PhaseDone && u.unit.Updated && !u.restarting():
		return fresh
	}
	return old
}

// expectedConfig is the same of the configuration, by item.
func (h *controller) expectedConfig(relay string, x *relayStatus) map[string]string {
	meant := map[string]string{}
	for _, name := range h.intent.itemNames(relay) {
		if m, _ := h.intent.valueFor(relay, name); name != drift.Program {
			meant[name] = m.Value
		}
	}
	u, ok := h.pendingReleases[relay]
	if !ok || !u.changes(drift.Config) {
		return meant
	}
	old, fresh := meant, h.releaseSections[u.release.Name]
	if u.adopted {
		old = map[string]string{}
		for name, value := range u.previous {
			if name != drift.Program {
				old[name] = value
			}
		}
	}
	switch {
	case u.restarting() && x.Config != u.release.Spec.Config:
		for _, name := range x.RejectedItems { // it was sent for the new one
			if drift.GroupOf(name) == drift.Config && old[name] != "" {
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
		if x.reports(drift.Config) {
			tell++
			for section := range x.ConfigSections {
				has[drift.Config+"."+section]++
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
			h.releaseSections[name][drift.Config+"."+section] = value
		}
	}
}

// ---- What is found ----

// evaluateDrift tells the watch what is agreed and who lives, and puts what it finds into the view.
func (h *controller) evaluateDrift(now int64, v *rollout.View) []drift.Change {
	h.refresh()
	h.fleet.updateLists(now)
	h.learnReleaseSections()
	var count []string
	for _, r := range v.Relays {
		x, u := h.fleet.relays[r.Name], h.pendingReleases[r.Name]
		h.updateExpected(now, r.Name)
		switch {
		case r.Exited:
			h.driftWatch.Alive(now, r.Name, drift.Gone)
		case x == nil || r.ReportAgeMS > silenceTimeout.Milliseconds():
			h.driftWatch.Alive(now, r.Name, drift.Silent)
		case r.Phase == "leaving" || r.Phase == "starting" || u.unit.Phase == rollout.PhaseLeaving && r.StartNumber <= uint64(u.unit.SeenStart):
			h.driftWatch.Alive(now, r.Name, drift.Restarting)
		default:
			h.driftWatch.Alive(now, r.Name, drift.Live)
			if _, shut := h.quarantined[r.Name]; !shut { // it is out, and counts as that
				count = append(count, r.Name)
			}
		}
	}
	changes := h.driftWatch.Tick(now)
	var since int64
	if v.Drift, since = h.driftWatch.Blocks(count, h.repairedBy("")); since > 0 {
		v.DriftMS = now - since
	}
	h.blockReasons = map[string]string{}
	if h.blockReason, _ = h.driftWatch.Blocks(count, nil); h.blockReason != v.Drift {
		h.blockReasons[""] = h.blockReason
		for _, u := range h.pendingReleases {
			if _, ok := h.blockReasons[u.release.Name]; !ok {
				h.blockReasons[u.release.Name], _ = h.driftWatch.Blocks(count, h.repairedBy(u.release.Name))
			}
		}
	}
	return changes
}

// repairedBy says what a release mends by itself, "" for any release: what a relay takes as it starts, where its restart is still to come. What it does to
// members it must not is not spared: nothing is to be moved meanwhile.
func (h *controller) repairedBy(release string) func(relay, item string) bool {
	return func(relay, item string) bool {
		u := h.pendingReleases[relay]
		return u.restartPending() && (release == "" || u.release.Name == release) && item != drift.Bans && item != drift.Drains
	}
}

// withholdBlocked leaves out what a release would give out while something drifts that it does not mend itself.
func (h *controller) withholdBlocked(plan []rollout.Command) (out []rollout.Command) {
	for _, c := range plan {
		if c.Kind == rollout.CommandStep && len(h.blockReasons) > 0 {
			had := len(c.Grants)
			c.Grants = slices.DeleteFunc(slices.Clone(c.Grants), func(g rollout.Grant) bool {
				why, ok := h.blockReasons[g.Release]
				if !ok {
					why = h.blockReasons[""]
				}
				return why != "" && g.Permit == 0 && !h.rollingBack(g.Release)
			})
			if had > 0 && len(c.Grants) == 0 {
				continue
			}
		}
		out = append(out, c)
	}
	return out
}

// rollingBack says that a release is on its way back, which no drift holds up.
func (h *controller) rollingBack(release string) bool {
	h.record.mu.RLock()
	defer h.record.mu.RUnlock()
	a, _ := h.record.rollout.Release(release)
	return a.RollingBack
}

// markUnfit puts into the view who is to take no clients, the worst first. Who is shut stays so until it is heard and in step with all, or has started anew: a
// new leader knows nothing of it yet, and a silent one has not mended. One whose list alone is newer than others' is not unfit: it may be right.
func (h *controller) markUnfit(v *rollout.View) {
	v.UnfitOrder, v.Unfit = nil, map[string]string{}
	for _, u := range h.driftWatch.TakeOut(drift.RelaysMost, slices.Sorted(maps.Keys(h.quarantined)), func(relay, item string) bool {
		return item == drift.List && h.driftWatch.State(relay, item) == drift.Ahead
	}) {
		v.UnfitOrder, v.Unfit[u.Relay] = append(v.UnfitOrder, u.Relay), u.Why
	}
	for _, relay := range slices.Sorted(maps.Keys(h.quarantined)) {
		x := h.fleet.relays[relay]
		if v.Unfit[relay] == "" && !h.driftWatch.Clear(relay) && (x == nil || x.Incarnation <= h.quarantined[relay].StartNumber) {
			v.UnfitOrder, v.Unfit[relay] = append(v.UnfitOrder, relay), h.quarantined[relay].Reason
		}
	}
}

// ---- What is to be meant ----

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
		if x.reports(drift.Program) && !u.changes(drift.Program) {
			add(drift.Program, x.Program)
		}
		if x.reports(drift.Config) && !u.changes(drift.Config+".") {
			for section, value := range x.ConfigSections {
				add(drift.Config+"."+section, value)
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
	all := map[string]string{drift.Program: x.Program}
	for section, value := range x.ConfigSections {
		all[drift.Config+"."+section] = value
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

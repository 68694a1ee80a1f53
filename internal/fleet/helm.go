package fleet

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"dahliarudder/internal/drift"
	"dahliarudder/internal/rollout"
)

// helm is what the leader knows of all relays, and reckons from that and the record. No I/O, no clock; a new leader begins with an empty one.
type helm struct {
	record *Record
	scene  *scene
	watch  *drift.Watch
	voters drift.Item // in force

	// Derived from the record at its change count.
	changes uint64
	held    held
	intent  *intent
	under   map[string]under
	over    []rollout.ReleaseStatus // releases that are over, and what is meant does not follow them yet
	shuts   map[string]rollout.Quarantine

	sections map[string]map[string]string // by release: the new configuration, from the relays that run it
	blocks   string                       // why no release may step on, but one that mends it
	blocked  map[string]string            // by release, where one mends what holds up others; "" is for all that mend nothing
	runs     map[string]run               // by item that nobody agreed on
	split    map[string]bool              // sections that nobody agreed on, and half of the relays have: any will do. A rarer one is too much
}

// run is what most relays run of an item, and since when.
type run struct {
	value string
	since int64
}

func newHelm(r *Record) *helm {
	return &helm{record: r, scene: newScene(), watch: drift.New(drift.Settings{Period: sayEvery.Milliseconds(), Unpaced: []string{drift.List}}), runs: map[string]run{}}
}

// read takes over what the record has become.
func (h *helm) read() {
	r := h.record
	r.mu.RLock()
	defer r.mu.RUnlock()
	if h.intent != nil && h.changes == r.changes {
		return
	}
	h.changes, h.held, h.intent = r.changes, r.held, r.intent
	all := r.rollout.Releases()
	h.under, h.over, h.shuts = underOf(all, r.intent), nil, map[string]rollout.Quarantine{}
	for _, x := range r.rollout.Quarantines() {
		h.shuts[x.Name] = x
	}
	for _, a := range all {
		if _, settled := r.intent.follows(&a); !settled && a.Spec.Kind == rollout.KindRelay && a.Spec.Program+a.Spec.Config != "" &&
			(a.State == rollout.ReleaseCompleted || a.State == rollout.ReleaseRolledBack) {
			h.over = append(h.over, a)
		}
	}
}

// hear takes a relay's word. What it answers is encoded; nil: nothing.
func (h *helm) hear(now int64, from string, w word) []byte {
	h.read()
	h.scene.hear(now, from, w)
	d, ok := w.decodeDrift(from)
	if !ok || h.scene.words[from] == nil {
		return nil
	}
	h.scene.relist(now)
	h.intend(now, from)
	h.watch.Hear(now, d)
	if reply, ok := h.watch.Reply(from); ok {
		return reply.Encode()
	}
	return nil
}

// ---- What is agreed for a relay ----

// intend tells the watch what is agreed for a relay.
func (h *helm) intend(now int64, relay string) {
	items := h.items(now, relay)
	x := h.scene.words[relay]
	if x != nil && !x.list.forget && slices.Equal(items, x.intended) {
		return
	}
	if x != nil && x.list.forget {
		if x.list.forget = false; h.watch.State(relay, drift.List) < drift.Late {
			h.watch.Intend(now, relay, slices.DeleteFunc(slices.Clone(items), func(i drift.Item) bool { return i.Name == drift.List }))
		}
	}
	if h.watch.Intend(now, relay, items); x != nil {
		x.intended = items
	}
}

// items are those that a relay is held to: what the record says, of what it tells anything of. One that is of an older program tells less.
func (h *helm) items(now int64, relay string) []drift.Item {
	items := []drift.Item{h.held.Bans, h.held.Drains}
	x := h.scene.words[relay]
	if x == nil {
		return items
	}
	if x.tells(drift.Program) {
		if value := h.program(relay, x); value != "" {
			items = append(items, h.intent.item(relay, drift.Program, value))
		}
	}
	if x.tells(drift.Config) {
		all := h.config(relay, x)
		for section, value := range x.Sections {
			if name := drift.Config + "." + section; h.split[name] && len(all) > 0 && all[name] == "" {
				all = maps.Clone(all)
				all[name] = value
			}
		}
		for _, name := range slices.Sorted(maps.Keys(all)) {
			items = append(items, h.intent.item(relay, name, all[name]))
		}
	}
	if x.tells(drift.List) && x.list.gen > 0 {
		items = append(items, h.scene.listItem(now, &x.list))
	}
	if x.tells(drift.Weights) {
		items = append(items, h.held.Weights)
	}
	if x.tells(drift.Permits) {
		items = append(items, h.held.Permits)
	}
	if x.tells(drift.Voters) && h.voters.Digest != 0 {
		items = append(items, h.voters)
	}
	return items
}

func (x *heard) tells(group string) bool { return slices.Contains(x.Tells, group) }

// program is what a relay is to run, "" if nobody has agreed on any. Under a release: what is new once it is through, what it had while it
// waits, and either while it is out.
func (h *helm) program(relay string, x *heard) string {
	m, _ := h.intent.meant(relay, drift.Program)
	u, ok := h.under[relay]
	if !ok || !u.names(drift.Program) {
		return m.Value
	}
	old, fresh := m.Value, u.release.Spec.Program
	if u.taken {
		old = u.unit.PreviousProgram
	}
	switch {
	case u.out() && (x.Program == fresh || slices.Contains(x.Refused, drift.Program)), u.unit.Phase == rollout.PhaseDone && u.unit.Updated && !u.out():
		return fresh
	}
	return old
}

// config is the same of the configuration, by item.
func (h *helm) config(relay string, x *heard) map[string]string {
	meant := map[string]string{}
	for _, name := range h.intent.names(relay) {
		if m, _ := h.intent.meant(relay, name); name != drift.Program {
			meant[name] = m.Value
		}
	}
	u, ok := h.under[relay]
	if !ok || !u.names(drift.Config) {
		return meant
	}
	old, fresh := meant, h.sections[u.release.Name]
	if u.taken {
		old = map[string]string{}
		for name, value := range u.before {
			if name != drift.Program {
				old[name] = value
			}
		}
	}
	switch {
	case u.out() && x.Config != u.release.Spec.Config:
		for _, name := range x.Refused { // it was sent for the new one
			if drift.GroupOf(name) == drift.Config && old[name] != "" {
				old = maps.Clone(old)
				if old[name] = fresh[name]; old[name] == "" {
					old[name] = "that of " + u.release.Name
				}
			}
		}
		return old
	case u.out(), u.unit.Phase == rollout.PhaseDone && u.unit.Updated:
		return fresh
	}
	return old
}

// learn takes the sections of new configurations from the units that have them, as most of them say, and which ones nobody agreed on.
func (h *helm) learn() {
	h.sections = map[string]map[string]string{}
	count := map[string]map[string]int{}
	for relay, u := range h.under {
		x := h.scene.words[relay]
		if x == nil || u.release.Spec.Config == "" || x.Config != u.release.Spec.Config || len(x.Sections) == 0 ||
			!(u.unit.Updated || u.out()) {
			continue
		}
		text, _ := json.Marshal(x.Sections)
		if count[u.release.Name] == nil {
			count[u.release.Name] = map[string]int{}
		}
		count[u.release.Name][string(text)]++
	}
	has, tell := map[string]int{}, 0
	for _, x := range h.scene.words {
		if x.tells(drift.Config) {
			tell++
			for section := range x.Sections {
				has[drift.Config+"."+section]++
			}
		}
	}
	h.split = map[string]bool{}
	for name, n := range has {
		h.split[name] = 2*n >= tell && len(h.intent.Items[name]) == 0
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
		h.sections[name] = map[string]string{}
		for section, value := range all {
			h.sections[name][drift.Config+"."+section] = value
		}
	}
}

// ---- What is found ----

// look tells the watch what is agreed and who lives, and puts what it finds into the view.
func (h *helm) look(now int64, v *rollout.View) []drift.Change {
	h.read()
	h.scene.relist(now)
	h.learn()
	var count []string
	for _, r := range v.Relays {
		x, u := h.scene.words[r.Name], h.under[r.Name]
		h.intend(now, r.Name)
		switch {
		case r.Exited:
			h.watch.Alive(now, r.Name, drift.Gone)
		case x == nil || r.ReportAgeMS > silentAfter.Milliseconds():
			h.watch.Alive(now, r.Name, drift.Silent)
		case r.Phase == "leaving" || r.Phase == "starting" || u.unit.Phase == rollout.PhaseLeaving && r.StartNumber <= uint64(u.unit.SeenStart):
			h.watch.Alive(now, r.Name, drift.Restarting)
		default:
			h.watch.Alive(now, r.Name, drift.Live)
			if _, shut := h.shuts[r.Name]; !shut { // it is out, and counts as that
				count = append(count, r.Name)
			}
		}
	}
	changes := h.watch.Tick(now)
	var since int64
	if v.Drift, since = h.watch.Blocks(count, h.mends("")); since > 0 {
		v.DriftMS = now - since
	}
	h.blocked = map[string]string{}
	if h.blocks, _ = h.watch.Blocks(count, nil); h.blocks != v.Drift {
		h.blocked[""] = h.blocks
		for _, u := range h.under {
			if _, ok := h.blocked[u.release.Name]; !ok {
				h.blocked[u.release.Name], _ = h.watch.Blocks(count, h.mends(u.release.Name))
			}
		}
	}
	return changes
}

// mends says what a release mends by itself, "" for any release: what a relay takes as it starts, where its restart is still to come. What it does to
// members it must not is not spared: nothing is to be moved meanwhile.
func (h *helm) mends(release string) func(relay, item string) bool {
	return func(relay, item string) bool {
		u := h.under[relay]
		return u.ahead() && (release == "" || u.release.Name == release) && item != drift.Bans && item != drift.Drains
	}
}

// gate leaves out what a release would give out while something drifts that it does not mend itself.
func (h *helm) gate(plan []rollout.Command) (out []rollout.Command) {
	for _, c := range plan {
		if c.Kind == rollout.CommandStep && len(h.blocked) > 0 {
			had := len(c.Grants)
			c.Grants = slices.DeleteFunc(slices.Clone(c.Grants), func(g rollout.Grant) bool {
				why, ok := h.blocked[g.Release]
				if !ok {
					why = h.blocked[""]
				}
				return why != "" && g.Permit == 0 && !h.backing(g.Release)
			})
			if had > 0 && len(c.Grants) == 0 {
				continue
			}
		}
		out = append(out, c)
	}
	return out
}

// backing says that a release is on its way back, which no drift holds up.
func (h *helm) backing(release string) bool {
	h.record.mu.RLock()
	defer h.record.mu.RUnlock()
	a, _ := h.record.rollout.Release(release)
	return a.RollingBack
}

// unfit puts into the view who is to take no clients, the worst first. Who is shut stays so until it is heard and in step with all, or has started anew: a
// new leader knows nothing of it yet, and a silent one has not mended. One whose list alone is newer than others' is not unfit: it may be right.
func (h *helm) unfit(v *rollout.View) {
	v.UnfitOrder, v.Unfit = nil, map[string]string{}
	for _, u := range h.watch.TakeOut(drift.RelaysMost, slices.Sorted(maps.Keys(h.shuts)), func(relay, item string) bool {
		return item == drift.List && h.watch.State(relay, item) == drift.Ahead
	}) {
		v.UnfitOrder, v.Unfit[u.Relay] = append(v.UnfitOrder, u.Relay), u.Why
	}
	for _, relay := range slices.Sorted(maps.Keys(h.shuts)) {
		x := h.scene.words[relay]
		if v.Unfit[relay] == "" && !h.watch.Clear(relay) && (x == nil || x.Start <= h.shuts[relay].StartNumber) {
			v.UnfitOrder, v.Unfit[relay] = append(v.UnfitOrder, relay), h.shuts[relay].Reason
		}
	}
}

// ---- What is to be meant ----

// meaning is what to have agreed on next.
func (h *helm) meaning(now int64, v *rollout.View) (list []meaning) {
	for _, a := range h.over {
		c := meaning{Do: "adopt", Release: a.Name}
		if a.State == rollout.ReleaseCompleted && a.Spec.Config != "" {
			c.Items = h.sections[a.Name]
			if c.Items == nil && slices.ContainsFunc(a.Units, func(u rollout.Unit) bool { return u.Updated }) {
				continue // until one that runs it has said so
			}
		}
		list = append(list, c)
	}
	if c, ok := h.even(v); ok && len(list) == 0 {
		list = append(list, c)
	}
	if items := h.most(now, v); len(items) > 0 {
		list = append(list, meaning{Do: "adopt", Items: items})
	}
	return list
}

// most are the items that nobody agreed on, and more than half of all known relays have run the same of for long enough. Who is silent is known too,
// and runs nothing.
func (h *helm) most(now int64, v *rollout.View) map[string]string {
	count := map[string]map[string]int{}
	add := func(name, value string) {
		if len(h.intent.Items[name]) > 0 || meanable(name, value) != "" {
			return
		}
		if count[name] == nil {
			count[name] = map[string]int{}
		}
		count[name][value]++
	}
	for _, r := range v.Relays {
		x, u := h.scene.words[r.Name], h.under[r.Name]
		if x == nil || r.ReportAgeMS > silentAfter.Milliseconds() {
			continue
		}
		if x.tells(drift.Program) && !u.names(drift.Program) {
			add(drift.Program, x.Program)
		}
		if x.tells(drift.Config) && !u.names(drift.Config+".") {
			for section, value := range x.Sections {
				add(drift.Config+"."+section, value)
			}
		}
	}
	runs, items := map[string]run{}, map[string]string{}
	for name, by := range count {
		for value, n := range by {
			if 2*n <= len(v.Relays) {
				continue
			}
			if runs[name] = (run{value, now}); h.runs[name].value == value {
				runs[name] = h.runs[name]
			}
			if now-runs[name].since >= silentAfter.Milliseconds() && len(h.intent.Items)+len(items) < meantMost {
				items[name] = value
			}
		}
	}
	h.runs = runs
	return items
}

// even is an item that is meant of single relays, and has come to be meant the same of all that are known: so it is meant of those that come.
func (h *helm) even(v *rollout.View) (meaning, bool) {
	if len(h.intent.Of) == 0 || len(h.over) > 0 || len(v.Relays) == 0 {
		return meaning{}, false
	}
	first := v.Relays[0].Name
	for _, name := range slices.Sorted(maps.Keys(h.intent.Of[first])) {
		value := h.intent.Of[first][name].Value
		if !slices.ContainsFunc(v.Relays, func(r rollout.Relay) bool {
			m, _ := h.intent.meant(r.Name, name)
			return m.Value != value
		}) {
			return meaning{Do: "adopt", Even: true, Base: h.intent.Version, Items: map[string]string{name: value}}, true
		}
	}
	return meaning{}, false
}

// as is what a relay said last that it runs, as an operator's word on what is meant. Item may be "" for all.
func (h *helm) as(relay, item, who string) (meaning, error) {
	x := h.scene.words[relay]
	if x == nil {
		return meaning{}, fmt.Errorf("%q was not heard by this leader", relay)
	}
	all := map[string]string{drift.Program: x.Program}
	for section, value := range x.Sections {
		all[drift.Config+"."+section] = value
	}
	c := meaning{Do: "adopt", Who: who, Items: all, Whole: true}
	if item != "" {
		if all[item] == "" {
			return meaning{}, fmt.Errorf("%q tells nothing of %q", relay, item)
		}
		c.Items, c.Whole = map[string]string{item: all[item]}, false
	}
	return c, nil
}

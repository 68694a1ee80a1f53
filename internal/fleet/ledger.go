package fleet

import (
	"cmp"
	"maps"
	"slices"

	"dahliarudder/internal/drift"
	"dahliarudder/internal/rollout"
)

// ledger is what a relay says of itself, its book kept: what its loop really goes by, as its Look has it, not what it was told. No I/O.
type ledger struct {
	relay, zone, program, settings string
	start                          uint64

	book     *drift.Book
	before   ObservedState // as last said
	list     uint64
	anew     bool // the list's generation fell
	refused  map[string]refusedClaim
	sections map[string]bool // in the book
}

type refusedClaim struct {
	runs    drift.Item
	version uint64
	why     string
}

func newLedger(o *Options) *ledger {
	g := &ledger{relay: o.Name, zone: o.Zone, program: o.Program, settings: o.ConfigDigest, start: o.Incarnation, book: drift.NewBook(o.Name, o.Incarnation),
		refused: map[string]refusedClaim{}, sections: map[string]bool{}}
	g.book.Count(drift.Bans, drift.KindOut, 0, 0) // so that the first time is seen to be one
	return g
}

// word is what to say now.
func (g *ledger) word(now int64, l ObservedState, r *Record, voters drift.Item) word {
	w := word{Start: g.start, Zone: g.zone, Phase: l.Phase, Program: g.program, Config: g.settings, Follows: l.AppliedVersion, List: l.ListGeneration,
		Flows: l.Flows, Asked: l.DemandMS, Served: l.ServedMS, Local: l.LocalEjections, Weighs: l.CanaryVersion, Counts: l.CanaryCounts, Shut: l.ShutOrder}
	if l.ListGeneration > 0 {
		g.anew, g.list = g.anew || l.ListGeneration < g.list, l.ListGeneration
	}
	w.Anew = g.anew
	last := map[string]MemberState{}
	for _, m := range g.before.Members {
		last[m.Name] = m
	}
	for _, m := range l.Members {
		if b, known := last[m.Name]; m.Flows > 0 || !known && m.Successes+m.Failures > 0 || m.Successes != b.Successes || m.Failures != b.Failures {
			w.Members = append(w.Members, sight{m.Name, m.Flows, m.Capacity, m.Successes, m.Failures})
		}
	}
	w.Sections, w.Refused = sectionsOf(l, g.settings), slices.Sorted(maps.Keys(l.RejectedItems))
	w.Refused = slices.DeleteFunc(w.Refused, func(n string) bool { return len(n) > drift.NameMost })
	w.Refused = w.Refused[:min(len(w.Refused), meantMost)]
	w.Tells = g.keep(now, l, r, w.Sections, voters)
	w.Drift = g.book.Word(now).Encode()
	g.before = l
	return w
}

// sectionsOf are those of a look, as far as they can be told. Whole stands for all where they are not known apart.
func sectionsOf(l ObservedState, whole string) map[string]string {
	all := l.ConfigSections
	if all == nil {
		all = map[string]string{"settings": whole}
	}
	out := map[string]string{}
	for _, name := range slices.Sorted(maps.Keys(all)) {
		if len(out) < meantMost-1 && meanable(drift.Config+"."+name, all[name]) == "" {
			out[name] = all[name]
		}
	}
	return out
}

// keep notes what the relay runs now. It returns the groups of which it tells anything: it is held to these alone.
func (g *ledger) keep(now int64, l ObservedState, r *Record, sections map[string]string, voters drift.Item) (tells []string) {
	r.mu.RLock()
	h, in := r.held, r.intent
	bans, drains := split(r.rollout.Orders(g.relay).Exclusions)
	out := under{}
	if len(l.RejectedItems) > 0 {
		out = underOf(r.rollout.Releases(), in)[g.relay]
	}
	r.mu.RUnlock()

	g.members(now, l, h, bans, drains)
	if n := l.MisroutedFlows - g.before.MisroutedFlows; n > 0 {
		g.book.Count(drift.Bans, drift.KindOut, n, n)
	}
	tells = []string{drift.Bans, drift.Drains}
	told := func(name string, yes bool) bool {
		if yes {
			tells = append(tells, name)
		}
		return yes
	}
	if told(drift.Program, meanable(drift.Program, g.program) == "") {
		g.runs(now, l, in, out, drift.Program, g.program)
	}
	told(drift.Config, true)
	for name := range g.sections {
		if _, ok := sections[name]; !ok {
			g.book.Drop(drift.Config + "." + name)
			delete(g.refused, drift.Config+"."+name)
			delete(g.sections, name)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(sections)) {
		g.sections[name] = true
		g.runs(now, l, in, out, drift.Config+"."+name, sections[name])
	}
	if told(drift.List, l.ListGeneration > 0) {
		g.book.Note(now, listOf(l.ListGeneration), "discovery")
	}
	if told(drift.Weights, true); l.CanaryVersion == h.Weights.Version {
		g.book.Note(now, h.Weights, "record")
	}
	if told(drift.Permits, l.PermitsVersion > 0) && l.PermitsVersion == permitsNumber(h) {
		g.book.Note(now, h.Permits, "record")
	}
	if told(drift.Voters, voters.Digest != 0) {
		g.book.Note(now, voters, "engine")
	}
	return tells
}

// permitsNumber is Orders.Permits.
func permitsNumber(h held) uint64 { return h.Permits.Version + 1 }

// runs notes program or a section. What it refused is told where it runs something else than is meant, or was sent for a restart with it: one
// that runs what is meant has nothing to refuse.
func (g *ledger) runs(now int64, l ObservedState, in *intent, u under, name, value string) {
	it := in.item(g.relay, name, value)
	why, refused := l.RejectedItems[name]
	m, meant := in.meant(g.relay, name)
	if !refused || !meant || m.Value == value && !(u.out() && u.names(name)) {
		delete(g.refused, name)
		g.book.Note(now, it, "file")
		return
	}
	c := refusedClaim{it, m.Version, cmp.Or(why, "refused")}
	if g.refused[name] != c {
		g.refused[name] = c
		g.book.Note(now, it, "file")
		g.book.Refuse(now, drift.Item{Name: name, Version: c.version}, "file", c.why)
	}
}

// members notes bans and drains, as the core has them.
func (g *ledger) members(now int64, l ObservedState, h held, bans, drains []string) {
	inForce := func(names []string) (in []string) {
		for _, n := range names {
			if slices.Contains(l.AppliedOut, n) {
				in = append(in, n)
			}
		}
		return in
	}
	ours := slices.Clone(l.LocalEjections)
	ours = slices.DeleteFunc(ours, func(n string) bool { return slices.Contains(bans, n) })
	applied := inForce(bans)
	if item := (drift.Item{Name: drift.Bans, Version: h.Bans.Version, Digest: digestOf(applied)}); len(ours) > 0 {
		all := append(applied, ours...)
		slices.Sort(all)
		item.Digest = digestOf(all)
		g.book.Local(now, item, "an operator's call")
	} else if item.Digest == h.Bans.Digest {
		g.book.Note(now, item, "record")
	}
	if d := digestOf(inForce(drains)); d == h.Drains.Digest {
		g.book.Note(now, drift.Item{Name: drift.Drains, Version: h.Drains.Version, Digest: d}, "record")
	}
}

// under is a relay's part in a release of relays that is not settled yet: it goes on, or what is meant does not follow it so far.
type under struct {
	release rollout.ReleaseStatus // without its units
	unit    rollout.Unit
	taken   bool              // what is meant is what the release brought, though it goes back now
	before  map[string]string // and this is what was meant before
}

// underOf is by relay. Releases that go on come before those that are over.
func underOf(all []rollout.ReleaseStatus, in *intent) map[string]under {
	out := map[string]under{}
	for _, over := range []bool{true, false} {
		for _, a := range all {
			taken, settled := in.follows(&a)
			if a.Spec.Kind != rollout.KindRelay || (a.State == rollout.ReleaseCompleted || a.State == rollout.ReleaseRolledBack) != over ||
				over && (settled || a.Spec.Program+a.Spec.Config == "") {
				continue
			}
			units := a.Units
			a.Units = nil
			for _, u := range units {
				out[u.Name] = under{a, u, taken, in.Ended[a.Name].Before}
			}
		}
	}
	return out
}

// names says whether the release brings a new value of an item.
func (u *under) names(item string) bool {
	if item == drift.Program {
		return u.release.Spec.Program != ""
	}
	return u.release.Spec.Config != "" && drift.GroupOf(item) == drift.Config
}

// out says whether the relay may run either: the new thing or what it had.
func (u *under) out() bool {
	switch u.unit.Phase {
	case rollout.PhaseLeaving, rollout.PhaseDrained, rollout.PhaseReplaced, rollout.PhaseRevoked:
		return true
	}
	return u.unit.Stranded
}

// ahead says that the release has a restart of this relay before it.
func (u *under) ahead() bool {
	switch {
	case u.release.Name == "" || u.unit.Phase == rollout.PhaseMissing:
		return false
	case u.release.RollingBack:
		return u.out() || u.unit.Phase == rollout.PhaseDone && u.unit.Updated
	}
	return u.out() || u.unit.Phase == rollout.PhasePending && !u.unit.Updated && u.release.State != rollout.ReleaseCompleted
}

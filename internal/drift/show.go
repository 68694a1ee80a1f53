package drift

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Rows is all that is not in step, by relay and item. A relay that is not heard has one row.
func (w *Watch) Rows() []Row {
	var rows []Row
	for _, r := range w.order {
		if r.quiet {
			rows = append(rows, Row{Relay: r.name, State: NotHeard, Since: r.quietAt, Why: r.silence()})
			continue
		}
		for _, g := range r.groups {
			for _, p := range g.pairs {
				if p.state == InStep {
					continue
				}
				row := Row{Relay: r.name, State: p.state, Since: p.since, Behind: p.behind, Intent: p.intent, Applied: p.has}
				if p.trouble != nil {
					row.Why, row.Evidence = p.trouble.why, slices.Clone(p.trouble.evidence)
				}
				rows = append(rows, row)
			}
		}
	}
	return rows
}

// History is the last changes, oldest first.
func (w *Watch) History() []Change { return slices.Clone(w.history) }

// rank orders what drifts by how much it is to be mistrusted.
var rank = map[State]int{Contradicts: 6, GoneBack: 5, Ahead: 4, Refused: 3, Late: 2, Local: 1}

// worst is the pair of a relay that ranks highest, the longest in it, then by name. Those that are spared do not count.
func (r *relay) worst(spared func(relay, item string) bool) (worst *pair) {
	for _, g := range r.groups {
		for _, p := range g.pairs {
			if rank[p.state] > 0 && (worst == nil || rank[p.state] > rank[worst.state] || rank[p.state] == rank[worst.state] && p.since < worst.since) &&
				(spared == nil || !spared(r.name, p.intent.Name)) {
				worst = p
			}
		}
	}
	return worst
}

// Blocks says why a release must not step on, as to the relays that count: one of them is late or worse, or was not heard. "" if nothing. Who is on its way
// does not block; Lacking names it. Spared are those that the release itself is to mend; nil spares none. Since is the oldest drift among what blocks, 0 if none drifts.
func (w *Watch) Blocks(relays []string, spared func(relay, item string) bool) (blocks string, since int64) {
	var why []string
	for _, name := range slices.Sorted(slices.Values(relays)) {
		r := w.relays[name]
		switch {
		case r == nil:
			why = append(why, name+": nothing is known of it")
		case r.quiet:
			why = append(why, name+": not heard, "+r.silence())
		default:
			if p := r.worst(spared); p != nil {
				why = append(why, fmt.Sprintf("%s: %s %s, %s", name, p.intent.Name, p.state, p.trouble.why))
			}
			for _, g := range r.groups {
				for _, p := range g.pairs {
					if rank[p.state] > 0 && (since == 0 || p.since < since) && (spared == nil || !spared(r.name, p.intent.Name)) {
						since = p.since
					}
				}
			}
		}
	}
	if len(why) > 3 {
		why = append(why[:3], fmt.Sprintf("and %d more", len(why)-3))
	}
	return strings.Join(why, "; "), since
}

// Clear says that a relay is heard and in step with all that is agreed, but what its own operators have changed: who was taken out may come back.
func (w *Watch) Clear(relay string) bool {
	r := w.relays[relay]
	if r == nil || r.quiet {
		return false
	}
	for _, g := range r.groups {
		for _, p := range g.pairs {
			if p.state != InStep && p.state != Local {
				return false
			}
		}
	}
	return true
}

// State is that of a relay and an item. NotHeard: of the relay, or of such an item, nothing is known.
func (w *Watch) State(relay, item string) State {
	r := w.relays[relay]
	if r == nil || r.quiet {
		return NotHeard
	}
	if p := r.pair(item); p != nil {
		return p.state
	}
	return NotHeard
}

// Lacking is which of the relays are not known to be in step with an item.
func (w *Watch) Lacking(item string, relays []string) []string {
	var lack []string
	for _, name := range slices.Sorted(slices.Values(relays)) {
		r := w.relays[name]
		if r == nil || r.quiet {
			lack = append(lack, name)
		} else if p := r.pair(item); p == nil || p.state != InStep {
			lack = append(lack, name)
		}
	}
	return lack
}

// Want is the groups of which a relay is asked for details: those whose digest is not the agreed one.
func (w *Watch) Want(relay string) []string {
	r := w.relays[relay]
	if r == nil || r.quiet {
		return nil
	}
	var want []string
	for _, g := range r.groups {
		if !g.matched {
			want = append(want, g.name)
		}
	}
	return want
}

// Reply is what to send a relay back; false if there is nothing to say.
func (w *Watch) Reply(relay string) (Reply, bool) {
	r := w.relays[relay]
	want := w.Want(relay)
	if r == nil || len(want) == 0 {
		return Reply{}, false
	}
	reply := Reply{Relay: r.name, Start: r.start, Seq: r.seq, Want: want}
	for _, g := range r.groups {
		for _, p := range g.pairs {
			if (p.state == Late || p.state == GoneBack || p.state == Ahead) && p.agreed && len(reply.Tell) < tellMost {
				reply.Tell = append(reply.Tell, p.intent.Name)
			}
		}
	}
	return reply, true
}

// Unfit is a relay that is to take no clients, and why.
type Unfit struct{ Relay, Why string }

// TakeOut is which relays are to take no clients because of drift, the worst first: never more than the budget, those that are out by it already
// and still drift before all others. An operator's own call takes nobody out, nor does silence. Spared is as with Blocks.
func (w *Watch) TakeOut(budget int, out []string, spared func(relay, item string) bool) []Unfit {
	type candidate struct {
		Unfit
		rank  int
		since int64
	}
	var list []candidate
	for _, r := range w.order {
		if p := r.worst(spared); p != nil && !r.quiet && p.state != Local {
			c := candidate{Unfit{r.name, fmt.Sprintf("%s %s: %s", p.intent.Name, p.state, p.trouble.why)}, rank[p.state], p.since}
			if slices.Contains(out, r.name) {
				c.rank += 100
			}
			list = append(list, c)
		}
	}
	slices.SortFunc(list, func(x, y candidate) int {
		return cmp.Or(-cmp.Compare(x.rank, y.rank), cmp.Compare(x.since, y.since), cmp.Compare(x.Relay, y.Relay))
	})
	var take []Unfit
	for _, c := range list[:min(max(budget, 0), len(list))] {
		take = append(take, c.Unfit)
	}
	return take
}

// Bound is how long a version of an item's group may be on its way now, in ms.
func (w *Watch) Bound(group string) int64 {
	if p := w.paces[group]; p != nil {
		return p.bound
	}
	return w.all.bound
}

// Counts is what could not be used.
func (w *Watch) Counts() Counts { return w.counts }

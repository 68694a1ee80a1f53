package drift

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Findings is all that is not in step, by relay and item. A relay that is not heard has one row.
func (w *Monitor) Findings() []Finding {
	var rows []Finding
	for _, r := range w.sorted {
		if r.silent {
			rows = append(rows, Finding{Relay: r.name, State: Unknown, Since: r.silentSince, Reason: r.silenceReason()})
			continue
		}
		for _, g := range r.groups {
			for _, p := range g.items {
				if p.state == InSync {
					continue
				}
				row := Finding{Relay: r.name, State: p.state, Since: p.stateSince, OutOfSyncSince: p.outOfSyncSince, Agreed: p.agreed, Applied: p.applied}
				if p.suspicion != nil {
					row.Reason, row.Evidence = p.suspicion.reason, slices.Clone(p.suspicion.evidence)
				}
				rows = append(rows, row)
			}
		}
	}
	return rows
}

// History is the last changes, oldest first.
func (w *Monitor) History() []Change { return slices.Clone(w.history) }

// severity orders what drifts by how much it is to be mistrusted.
var severity = map[State]int{Contradicting: 6, Regressed: 5, Ahead: 4, Rejected: 3, Lagging: 2, Overridden: 1}

// worst is the pair of a relay that ranks highest, the longest in it, then by name. Those that are spared do not count.
func (r *relayState) worst(spared func(relay, item string) bool) (worst *trackedItem) {
	for _, g := range r.groups {
		for _, p := range g.items {
			if severity[p.state] > 0 && (worst == nil || severity[p.state] > severity[worst.state] || severity[p.state] == severity[worst.state] && p.stateSince < worst.stateSince) &&
				(spared == nil || !spared(r.name, p.agreed.Name)) {
				worst = p
			}
		}
	}
	return worst
}

// BlockReason says why a release must not step on, as to the relays that count: one of them is late or worse, or was not heard. "" if nothing. Who is on its way
// does not block; Lacking names it. Spared are those that the release itself is to mend; nil spares none. Since is the oldest drift among what blocks, 0 if none drifts.
func (w *Monitor) BlockReason(relays []string, spared func(relay, item string) bool) (blocks string, since int64) {
	var why []string
	for _, name := range slices.Sorted(slices.Values(relays)) {
		r := w.relays[name]
		switch {
		case r == nil:
			why = append(why, name+": nothing is known of it")
		case r.silent:
			why = append(why, name+": not heard, "+r.silenceReason())
		default:
			if p := r.worst(spared); p != nil {
				why = append(why, fmt.Sprintf("%s: %s %s, %s", name, p.agreed.Name, p.state, p.suspicion.reason))
			}
			for _, g := range r.groups {
				for _, p := range g.items {
					if severity[p.state] > 0 && (since == 0 || p.stateSince < since) && (spared == nil || !spared(r.name, p.agreed.Name)) {
						since = p.stateSince
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

// FullyInSync says that a relay is heard and in step with all that is agreed, but what its own operators have changed: who was taken out may come back.
func (w *Monitor) FullyInSync(relay string) bool {
	r := w.relays[relay]
	if r == nil || r.silent {
		return false
	}
	for _, g := range r.groups {
		for _, p := range g.items {
			if p.state != InSync && p.state != Overridden {
				return false
			}
		}
	}
	return true
}

// StateOf is that of a relay and an item. Unknown: of the relay, or of such an item, nothing is known.
func (w *Monitor) StateOf(relay, item string) State {
	r := w.relays[relay]
	if r == nil || r.silent {
		return Unknown
	}
	if p := r.item(item); p != nil {
		return p.state
	}
	return Unknown
}

// OutOfSyncRelays is which of the relays are not known to be in step with an item.
func (w *Monitor) OutOfSyncRelays(item string, relays []string) []string {
	var lack []string
	for _, name := range slices.Sorted(slices.Values(relays)) {
		r := w.relays[name]
		if r == nil || r.silent {
			lack = append(lack, name)
		} else if p := r.item(item); p == nil || p.state != InSync {
			lack = append(lack, name)
		}
	}
	return lack
}

// WantDetails is the groups of which a relay is asked for details: those whose digest is not the agreed one.
func (w *Monitor) WantedDetails(relay string) []string {
	r := w.relays[relay]
	if r == nil || r.silent {
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
func (w *Monitor) Reply(relay string) (Reply, bool) {
	r := w.relays[relay]
	want := w.WantedDetails(relay)
	if r == nil || len(want) == 0 {
		return Reply{}, false
	}
	reply := Reply{Relay: r.name, Incarnation: r.incarnation, Seq: r.seq, WantDetails: want}
	for _, g := range r.groups {
		for _, p := range g.items {
			if (p.state == Lagging || p.state == Regressed || p.state == Ahead) && p.isAgreed && len(reply.Resync) < maxResync {
				reply.Resync = append(reply.Resync, p.agreed.Name)
			}
		}
	}
	return reply, true
}

// UnfitRelay is a relay that is to take no clients, and why.
type UnfitRelay struct{ Relay, Reason string }

// SelectUnfit is which relays are to take no clients because of drift, the worst first: never more than the budget, those that are out by it already
// and still drift before all others. An operator's own call takes nobody out, nor does silence. Spared is as with Blocks.
func (w *Monitor) SelectUnfit(budget int, out []string, spared func(relay, item string) bool) []UnfitRelay {
	type candidate struct {
		UnfitRelay
		rank  int
		since int64
	}
	var list []candidate
	for _, r := range w.sorted {
		if p := r.worst(spared); p != nil && !r.silent && p.state != Overridden {
			c := candidate{UnfitRelay{r.name, fmt.Sprintf("%s %s: %s", p.agreed.Name, p.state, p.suspicion.reason)}, severity[p.state], p.stateSince}
			if slices.Contains(out, r.name) {
				c.rank += 100
			}
			list = append(list, c)
		}
	}
	slices.SortFunc(list, func(x, y candidate) int {
		return cmp.Or(-cmp.Compare(x.rank, y.rank), cmp.Compare(x.since, y.since), cmp.Compare(x.Relay, y.Relay))
	})
	var take []UnfitRelay
	for _, c := range list[:min(max(budget, 0), len(list))] {
		take = append(take, c.UnfitRelay)
	}
	return take
}

// LagBound is how long a version of an item's group may be on its way now, in ms.
func (w *Monitor) LagBound(group string) int64 {
	if p := w.lags[group]; p != nil {
		return p.bound
	}
	return w.fleetLag.bound
}

// Counts is what could not be used.
func (w *Monitor) Counts() Counts { return w.counts }

package drift

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

const maxBlockReasons = 3 // relays that BlockReason names; it only counts the others

// Findings returns all items that are not in sync and all relays that do not report, sorted by relay and
// group.
func (m *Monitor) Findings() []Finding {
	var list []Finding
	for _, r := range m.sorted {
		if r.silent {
			list = append(list, Finding{Relay: r.name, State: Unknown, Since: r.silentSince, Reason: r.silenceReason()})
			continue
		}
		for _, i := range r.allItems() {
			if i.state == InSync {
				continue
			}
			f := Finding{Relay: r.name, State: i.state, Since: i.stateSince, OutOfSyncSince: i.outOfSyncSince, Agreed: i.agreed, Applied: i.applied}
			if i.suspicion != nil {
				f.Reason, f.Evidence = i.suspicion.reason, slices.Clone(i.suspicion.evidence)
			}
			list = append(list, f)
		}
	}
	return list
}

// Exempt reports whether drift of an item of a relay is to be ignored, because a release will repair it.
// A nil Exempt ignores nothing.
type Exempt func(relay, item string) bool

func (e Exempt) counts(r *relayState, i *trackedItem) bool {
	return i.state.severity() > 0 && (e == nil || !e(r.name, i.agreed.Name))
}

// worst returns the item of a relay with the most severe drift, or nil if none drifts. Among items of the
// same severity it returns the one that has been in its state longest, and of these the first by group and
// name.
func (r *relayState) worst(exempt Exempt) (worst *trackedItem) {
	for _, i := range r.allItems() {
		if !exempt.counts(r, i) {
			continue
		}
		if worst == nil || i.state.severity() > worst.state.severity() ||
			i.state.severity() == worst.state.severity() && i.stateSince < worst.stateSince {
			worst = i
		}
	}
	return worst
}

// BlockReason returns why a release must not proceed: a text that names which of the given relays drift
// or do not report, or "" if nothing blocks it. Propagating items do not block. since is when the oldest
// of this drift began, or 0 if no relay drifts.
//
// The text is shown in HTTP answers and stays as it is. "nothing is known of it" means that nothing is
// agreed for the relay, and "not heard" that the relay sends no reports.
func (m *Monitor) BlockReason(relays []string, exempt Exempt) (reason string, since int64) {
	var reasons []string
	for _, name := range slices.Sorted(slices.Values(relays)) {
		r := m.relays[name]
		switch {
		case r == nil:
			reasons = append(reasons, name+": nothing is known of it")
		case r.silent:
			reasons = append(reasons, name+": not heard, "+r.silenceReason())
		default:
			if i := r.worst(exempt); i != nil {
				reasons = append(reasons, fmt.Sprintf("%s: %s %s, %s", name, i.agreed.Name, i.state, i.suspicion.reason))
			}
			for _, i := range r.allItems() {
				if exempt.counts(r, i) && (since == 0 || i.stateSince < since) {
					since = i.stateSince
				}
			}
		}
	}
	if len(reasons) > maxBlockReasons {
		reasons = append(reasons[:maxBlockReasons], fmt.Sprintf("and %d more", len(reasons)-maxBlockReasons))
	}
	return strings.Join(reasons, "; "), since
}

// FullyInSync reports whether a relay sends reports and all of its items are in sync, not counting those
// that its own operators changed. A relay in quarantine for drift may then be readmitted.
func (m *Monitor) FullyInSync(relay string) bool {
	r := m.relays[relay]
	if r == nil || r.silent {
		return false
	}
	for _, i := range r.allItems() {
		if i.state != InSync && i.state != Overridden {
			return false
		}
	}
	return true
}

// StateOf returns the state of an item of a relay. It returns Unknown if the relay sends no reports or the
// item is not tracked for it.
func (m *Monitor) StateOf(relay, item string) State {
	r := m.relays[relay]
	if r == nil || r.silent {
		return Unknown
	}
	if i := r.item(item); i != nil {
		return i.state
	}
	return Unknown
}

// OutOfSyncRelays returns, sorted, the given relays whose item is not known to be in sync.
func (m *Monitor) OutOfSyncRelays(item string, relays []string) []string {
	var list []string
	for _, name := range slices.Sorted(slices.Values(relays)) {
		if m.StateOf(name, item) != InSync {
			list = append(list, name)
		}
	}
	return list
}

// WantedDetails returns the groups whose items the relay should report: those whose digest does not match
// the agreed one.
func (m *Monitor) WantedDetails(relay string) []string {
	r := m.relays[relay]
	if r == nil || r.silent {
		return nil
	}
	var groups []string
	for _, g := range r.groups {
		if !g.digestMatches {
			groups = append(groups, g.name)
		}
	}
	return groups
}

// Reply returns the reply to a relay's last report, or false if there is nothing to request.
func (m *Monitor) Reply(relay string) (Reply, bool) {
	groups := m.WantedDetails(relay)
	if len(groups) == 0 {
		return Reply{}, false
	}
	r := m.relays[relay]
	reply := Reply{Relay: r.name, Incarnation: r.incarnation, Seq: r.seq, WantDetails: groups}
	for _, i := range r.allItems() {
		if (i.state == Lagging || i.state == Regressed || i.state == Ahead) && i.isAgreed && len(reply.Resync) < maxResync {
			reply.Resync = append(reply.Resync, i.agreed.Name)
		}
	}
	return reply, true
}

// UnfitRelay is a relay that should take no clients, with the reason.
type UnfitRelay struct{ Relay, Reason string }

// SelectUnfit returns at most budget relays that should take no clients because they drift, the most
// severe drift first. Relays that are already in quarantine and still drift come before all others, so
// that relays do not replace each other in quarantine. Items that a relay's operators changed and missing
// reports do not make a relay unfit.
func (m *Monitor) SelectUnfit(budget int, quarantined []string, exempt Exempt) []UnfitRelay {
	type candidate struct {
		UnfitRelay
		quarantined bool
		severity    int
		since       int64
	}
	var list []candidate
	for _, r := range m.sorted {
		if i := r.worst(exempt); i != nil && !r.silent && i.state != Overridden {
			unfit := UnfitRelay{r.name, fmt.Sprintf("%s %s: %s", i.agreed.Name, i.state, i.suspicion.reason)}
			list = append(list, candidate{unfit, slices.Contains(quarantined, r.name), i.state.severity(), i.stateSince})
		}
	}
	slices.SortFunc(list, func(x, y candidate) int {
		if x.quarantined != y.quarantined {
			if x.quarantined {
				return -1
			}
			return 1
		}
		return cmp.Or(-cmp.Compare(x.severity, y.severity), cmp.Compare(x.since, y.since), cmp.Compare(x.Relay, y.Relay))
	})
	var unfit []UnfitRelay
	for _, c := range list[:min(max(budget, 0), len(list))] {
		unfit = append(unfit, c.UnfitRelay)
	}
	return unfit
}

package fleet

import (
	"maps"
	"slices"

	"dahliarudder/internal/drift"
	"dahliarudder/internal/rollout"
)

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
			h.driftWatch.SetLiveness(now, r.Name, drift.Terminated)
		case x == nil || r.ReportAgeMS > silenceTimeout.Milliseconds():
			h.driftWatch.SetLiveness(now, r.Name, drift.Unreachable)
		case r.Phase == "leaving" || r.Phase == "starting" || u.unit.Phase == rollout.PhaseLeaving && r.StartNumber <= uint64(u.unit.SeenStart):
			h.driftWatch.SetLiveness(now, r.Name, drift.Restarting)
		default:
			h.driftWatch.SetLiveness(now, r.Name, drift.Alive)
			if _, shut := h.quarantined[r.Name]; !shut { // it is out, and counts as that
				count = append(count, r.Name)
			}
		}
	}
	changes := h.driftWatch.Tick(now)
	var since int64
	if v.Drift, since = h.driftWatch.BlockReason(count, h.repairedBy("")); since > 0 {
		v.DriftMS = now - since
	}
	h.blockReasons = map[string]string{}
	if h.blockReason, _ = h.driftWatch.BlockReason(count, nil); h.blockReason != v.Drift {
		h.blockReasons[""] = h.blockReason
		for _, u := range h.pendingReleases {
			if _, ok := h.blockReasons[u.release.Name]; !ok {
				h.blockReasons[u.release.Name], _ = h.driftWatch.BlockReason(count, h.repairedBy(u.release.Name))
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
		return u.restartPending() && (release == "" || u.release.Name == release) && item != drift.ItemEjections && item != drift.ItemDrains
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
	for _, u := range h.driftWatch.SelectUnfit(drift.MaxRelays, slices.Sorted(maps.Keys(h.quarantined)), func(relay, item string) bool {
		return item == drift.ItemEndpointList && h.driftWatch.StateOf(relay, item) == drift.Ahead
	}) {
		v.UnfitOrder, v.Unfit[u.Relay] = append(v.UnfitOrder, u.Relay), u.Reason
	}
	for _, relay := range slices.Sorted(maps.Keys(h.quarantined)) {
		x := h.fleet.relays[relay]
		if v.Unfit[relay] == "" && !h.driftWatch.FullyInSync(relay) && (x == nil || x.Incarnation <= h.quarantined[relay].StartNumber) {
			v.UnfitOrder, v.Unfit[relay] = append(v.UnfitOrder, relay), h.quarantined[relay].Reason
		}
	}
}

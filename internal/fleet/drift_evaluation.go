package fleet

import (
	"maps"
	"slices"

	"dahliarudder/internal/drift"
	"dahliarudder/internal/rollout"
)

// evaluateDrift updates the drift monitor, puts the drift that blocks releases into the view, and
// returns the changes of drift states since the last call.
func (c *controller) evaluateDrift(now int64, v *rollout.View) []drift.Change {
	c.refresh()
	c.fleet.updateLists(now)
	c.learnReleaseSections()
	var blockingRelays []string // relays whose drift blocks releases
	for _, r := range v.Relays {
		c.updateExpected(now, r.Name)
		liveness := c.liveness(&r)
		c.driftMonitor.SetLiveness(r.Name, liveness)
		// A relay in quarantine counts as out of service instead.
		if _, quarantined := c.quarantined[r.Name]; liveness == drift.Alive && !quarantined {
			blockingRelays = append(blockingRelays, r.Name)
		}
	}
	changes := c.driftMonitor.Tick(now)
	c.findBlockReasons(now, blockingRelays, v)
	return changes
}

// liveness returns what gossip, reports and orders tell of a relay's process.
func (c *controller) liveness(r *rollout.Relay) drift.Liveness {
	unit := c.pendingReleases[r.Name].unit
	switch {
	case r.Exited:
		return drift.Terminated
	case c.fleet.relays[r.Name] == nil || r.ReportAgeMS > silenceTimeout.Milliseconds():
		return drift.Unreachable
	case r.Phase == string(RelayLeaving) || r.Phase == string(RelayStarting) || unit.Phase == rollout.PhaseLeaving && r.StartNumber <= uint64(unit.SeenStart):
		return drift.Restarting
	}
	return drift.Alive
}

// findBlockReasons updates blockReason and blockReasons, and puts the drift that no release under
// way repairs into the view. A release is not blocked by drift that it repairs itself.
func (c *controller) findBlockReasons(now int64, relays []string, v *rollout.View) {
	var since int64
	if v.Drift, since = c.driftMonitor.BlockReason(relays, c.repairedBy("")); since > 0 {
		v.DriftMS = now - since
	}
	c.blockReasons = map[string]string{}
	if c.blockReason, _ = c.driftMonitor.BlockReason(relays, nil); c.blockReason == v.Drift {
		return
	}
	c.blockReasons[""] = c.blockReason
	for _, r := range c.pendingReleases {
		name := r.release.Name
		if _, ok := c.blockReasons[name]; !ok {
			c.blockReasons[name], _ = c.driftMonitor.BlockReason(relays, c.repairedBy(name))
		}
	}
}

// repairedBy returns a function that reports whether a release repairs the drift of an item at a
// relay; release "" stands for any release. A release repairs what a relay applies at its start, if
// the release still has to restart that relay. It does not repair ejections and drains: no traffic
// may move while relays disagree on them.
func (c *controller) repairedBy(release string) func(relay, item string) bool {
	return func(relay, item string) bool {
		r := c.pendingReleases[relay]
		return r.restartPending() && (release == "" || r.release.Name == release) && item != drift.ItemEjections && item != drift.ItemDrains
	}
}

// dropBlockedGrants removes from a plan the grants of releases that are blocked by drift which they
// do not repair. Rollbacks and permits are never blocked.
func (c *controller) dropBlockedGrants(plan []rollout.Command) []rollout.Command {
	if len(c.blockReasons) == 0 {
		return plan
	}
	return dropGrants(plan, func(g rollout.Grant) bool {
		reason, ok := c.blockReasons[g.Release]
		if !ok {
			reason = c.blockReasons[""]
		}
		return reason != "" && g.Permit == 0 && !c.rollingBack(g.Release)
	})
}

func (c *controller) rollingBack(release string) bool {
	c.record.mu.RLock()
	defer c.record.mu.RUnlock()
	status, _ := c.record.rollout.Release(release)
	return status.RollingBack
}

// markUnfit puts the relays that belong into quarantine into the view, the worst first. A relay in
// quarantine stays there until it reports and is in sync, or has restarted: a new leader has no
// findings on it yet, and a silent relay has not recovered. A relay that drifts only because its
// endpoint list is ahead of those of other relays is fit, as its list may be the right one.
func (c *controller) markUnfit(v *rollout.View) {
	v.UnfitOrder, v.Unfit = nil, map[string]string{}
	mark := func(relay, reason string) {
		v.UnfitOrder, v.Unfit[relay] = append(v.UnfitOrder, relay), reason
	}
	quarantined := slices.Sorted(maps.Keys(c.quarantined))
	listAhead := func(relay, item string) bool {
		return item == drift.ItemEndpointList && c.driftMonitor.StateOf(relay, item) == drift.Ahead
	}
	for _, u := range c.driftMonitor.SelectUnfit(drift.MaxRelays, quarantined, listAhead) {
		mark(u.Relay, u.Reason)
	}
	for _, relay := range quarantined {
		status, q := c.fleet.relays[relay], c.quarantined[relay]
		restarted := status != nil && status.Incarnation > q.StartNumber
		if v.Unfit[relay] == "" && !c.driftMonitor.FullyInSync(relay) && !restarted {
			mark(relay, q.Reason)
		}
	}
}

package main

import (
	"time"

	"dahliarudder/internal/drift"
	"dahliarudder/internal/fleet"
	"dahliarudder/internal/gossip"
	"dahliarudder/policy"
)

// stateNames are the names of the member states of discovery in the fleet record's status.
var stateNames = map[policy.MemberState]string{policy.Ready: "ready", policy.Draining: "draining", policy.Gone: "gone"}

// fleetStatus returns the state of this relay, which the fleet record compares with the agreed one.
func (r *relay) fleetStatus() fleet.ObservedState {
	set, counts := r.mapper.Settings, r.core.Counts
	list, _ := r.watch.Snapshot()
	now := r.loop.Now()
	if r.lastStatusAt > 0 {
		r.flowTime += time.Duration(r.core.ActiveRequests()) * (now - r.lastStatusAt)
	}
	r.lastStatusAt = now
	observed := fleet.ObservedState{Phase: fleet.RelayServing, Flows: r.core.ActiveRequests(), DemandMS: uint64((r.flowTime + counts.BackoffTime).Milliseconds()), ServedMS: uint64(r.flowTime.Milliseconds()), MisroutedFlows: uint64(counts.SentAfterGrace),
		LocalEjections: r.core.Ejected(), AppliedExclusions: r.excludedByFleet, AppliedVersion: r.recordVersion, ListGeneration: list.Generation, ConfigSections: r.configDigests, PermitsVersion: r.permitsVersion, QuarantineOrder: r.quarantineOrder}
	if r.reloadError != "" {
		observed.RejectedItems = map[string]string{drift.ItemConfig + ".settings": r.reloadError}
	}
	switch {
	case r.stopping:
		observed.Phase = fleet.RelayLeaving
	case !r.accepting || !r.core.HasUsableMember() || !r.caughtUp:
		observed.Phase = fleet.RelayStarting
	case r.quarantineOrder != 0:
		observed.Phase = fleet.RelayQuarantined
	case !r.core.AcceptsClients():
		observed.Phase = fleet.RelayDraining
	}
	for _, m := range r.core.Members() {
		p := fleet.MemberState{Name: m.Name, DiscoveryState: stateNames[m.State], Flows: m.Flows, Capacity: m.Capacity, Successes: m.Successes, Failures: m.Failures}
		if m.Zone < len(set.Zones) {
			p.Zone = string(set.Zones[m.Zone])
		}
		if m.Started != 0 {
			p.StartedAt = r.mapper.StartTimes.UnixMilli(m.Name, m.Started)
		}
		observed.Members = append(observed.Members, p)
	}
	observed.CanaryVersion, observed.CanaryCounts = r.canary.appliedVersion, r.canary.counts()
	for _, p := range r.peers.Peers() {
		observed.Peers = append(observed.Peers, fleet.Peer{Name: p.Name, Zone: p.Zone, Alive: p.State <= gossip.Suspect, Gone: p.State >= gossip.Gone,
			Serving: p.Phase == gossip.Serving, Incarnation: p.Incarnation})
	}
	return observed
}

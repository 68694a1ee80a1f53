package main

import (
	"time"

	"dahliarudder/internal/drift"
	"dahliarudder/internal/fleet"
	"dahliarudder/internal/gossip"
	"dahliarudder/policy"
)

// stateNames are the names of discovery's states in the fleet record's status.
var stateNames = map[policy.MemberState]string{policy.Ready: "ready", policy.Draining: "draining", policy.Gone: "gone"}

// fleetStatus is the state of this relay that the fleet record compares with the agreed one.
func (r *relay) fleetStatus() fleet.ObservedState {
	set, n := r.names.Settings, r.core.Counts
	list, _ := r.watch.Snapshot()
	now := r.loop.Now()
	if r.statusAt > 0 {
		r.flowTime += time.Duration(r.core.ActiveRequests()) * (now - r.statusAt)
	}
	r.statusAt = now
	l := fleet.ObservedState{Phase: fleet.RelayServing, Flows: r.core.ActiveRequests(), DemandMS: uint64((r.flowTime + n.BackoffTime).Milliseconds()), ServedMS: uint64(r.flowTime.Milliseconds()), MisroutedFlows: uint64(n.SentAfterGrace),
		LocalEjections: r.core.Ejected(), AppliedExclusions: r.fleetEjected, AppliedVersion: r.recordVersion, ListGeneration: list.Generation, ConfigSections: r.configDigests, PermitsVersion: r.permits, QuarantineOrder: r.quarantineOrder}
	if r.reloadError != "" {
		l.RejectedItems = map[string]string{drift.ItemConfig + ".settings": r.reloadError}
	}
	switch {
	case r.stopping:
		l.Phase = fleet.RelayLeaving
	case !r.accepting || !r.core.HasUsableMember() || !r.caughtUp:
		l.Phase = fleet.RelayStarting
	case r.quarantineOrder != 0:
		l.Phase = fleet.RelayQuarantined
	case !r.core.AcceptsClients():
		l.Phase = fleet.RelayDraining
	}
	for _, m := range r.core.Members() {
		p := fleet.MemberState{Name: m.Name, DiscoveryState: stateNames[m.State], Flows: m.Flows, Capacity: m.Capacity, Successes: m.Successes, Failures: m.Failures}
		if m.Zone < len(set.Zones) {
			p.Zone = string(set.Zones[m.Zone])
		}
		if m.Started != 0 {
			p.StartedAt = r.names.StartTimes.UnixMilli(m.Name, m.Started)
		}
		l.Members = append(l.Members, p)
	}
	l.CanaryVersion, l.CanaryCounts = r.trial.appliedVersion, r.trial.counts()
	for _, p := range r.peers.Peers() {
		l.Peers = append(l.Peers, fleet.Peer{Name: p.Name, Zone: p.Zone, Alive: p.State <= gossip.Suspect, Gone: p.State >= gossip.Gone,
			Serving: p.Phase == gossip.Serving, Incarnation: p.Incarnation})
	}
	return l
}

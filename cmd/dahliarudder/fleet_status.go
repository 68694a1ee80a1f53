package main

import (
	"time"

	"dahliarudder/internal/drift"
	"dahliarudder/internal/fleet"
	"dahliarudder/internal/gossip"
	"dahliarudder/policy"
)

var stateNames = map[policy.State]string{policy.Ready: "ready", policy.Draining: "draining", policy.Gone: "gone"}

// fleetStatus is what this relay does now.
func (r *relay) fleetStatus() fleet.Look {
	set, n := r.names.Settings, r.core.Counts
	list, _ := r.watch.List()
	now := r.loop.Now()
	if r.statusAt > 0 {
		r.flowTime += time.Duration(r.core.Held()) * (now - r.statusAt)
	}
	r.statusAt = now
	l := fleet.Look{Phase: "serving", Flows: r.core.Held(), Asked: uint64((r.flowTime + n.Away).Milliseconds()), Served: uint64(r.flowTime.Milliseconds()), Astray: uint64(n.Astray),
		Local: r.core.Banned(), Agreed: r.fleetEjected, Follows: r.recordVersion, List: list.Generation, Sections: r.configDigests, Permits: r.permits, Shut: r.closeOrder}
	if r.reloadError != "" {
		l.Refused = map[string]string{drift.Config + ".settings": r.reloadError}
	}
	switch {
	case r.stopping:
		l.Phase = "leaving"
	case !r.accepting || !r.core.Usable() || !r.caughtUp:
		l.Phase = "starting"
	case r.closeOrder != 0:
		l.Phase = "shut"
	case !r.core.Welcomes():
		l.Phase = "draining"
	}
	for _, m := range r.core.Members() {
		p := fleet.Pooled{Name: m.Name, Listed: stateNames[m.State], Out: m.Out, Flows: m.Flows, Capacity: m.Capacity, Good: m.Good, Bad: m.Bad}
		if m.Zone < len(set.Zones) {
			p.Zone = string(set.Zones[m.Zone])
		}
		if m.Started != 0 {
			p.Started = r.names.Starts.UnixMilli(m.Name, m.Started)
		}
		l.Members = append(l.Members, p)
	}
	l.Weighs, l.Counts = r.trial.appliedVersion, r.trial.counts()
	for _, p := range r.peers.Known() {
		l.Peers = append(l.Peers, fleet.Peer{Name: p.Name, Zone: p.Zone, Alive: p.State <= gossip.Suspect, Gone: p.State >= gossip.Gone,
			Serving: p.Phase == gossip.Serving, Incarnation: p.Incarnation})
	}
	return l
}

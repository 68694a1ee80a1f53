package main

import (
	"slices"

	"dahliarudder/internal/config"
	"dahliarudder/internal/core"
	"dahliarudder/internal/gossip"
	"dahliarudder/internal/gossiptransport"
	"dahliarudder/policy"
)

// outcomeOfResult maps the results that say something about a member's health. A cancelled attempt
// does not, so it has no outcome.
var outcomeOfResult = map[policy.Result]gossip.Outcome{policy.OK: gossip.Success, policy.Full: gossip.Success, policy.Error: gossip.Failure, policy.Reset: gossip.Failure,
	policy.ConnectFailed: gossip.Failure, policy.Timeout: gossip.Timeout}

// startGossip starts gossip with the other relays.
func (r *relay) startGossip(p config.Peers) {
	set := r.mapper.Settings
	zone := ""
	if set.Zone >= 0 && set.Zone < len(set.Zones) {
		zone = string(set.Zones[set.Zone])
	}
	observations := &gossip.ObservationWindow{}
	r.core.OnResult = func(m *core.Member, result policy.Result) {
		if outcome, ok := outcomeOfResult[result]; ok {
			zone := ""
			if m.Zone < len(set.Zones) {
				zone = string(set.Zones[m.Zone])
			}
			observations.Record(r.clock(), m.Name, zone, outcome)
		}
	}
	known := p.Known
	if r.recovery != nil { // add the peers of the snapshot, since all configured ones may be down
		known = append(slices.Clone(known), r.recovery.peers...)
	}
	r.peers = gossiptransport.New(gossiptransport.Options{Observations: func() gossip.Digest { return observations.Digest(r.clock()) }, Loop: r.loop, Log: r.log, Name: r.cfg.Name, Zone: zone, Listen: p.Listen, Address: p.Address,
		Seeds: known, AddressOverrides: p.Reach, Keys: p.Keys(), Configured: max(set.Balancers, 1), Seed: r.cfg.SeedNumber(), WallClock: wallClock,
		OnDivisorChange: r.core.SetActiveRelays, OnUserData: func(_ string, data []byte) { r.canary.onNotices(data) }, OnStaleList: func() {
			r.log.Warn("other relays hold a newer list; the endpoint list is polled again")
			r.watch.Refresh(func() {})
		},
		LocalStatus: func() (gossip.Phase, uint64, uint64, uint64) {
			phase := gossip.Serving
			switch {
			case !r.accepting || !r.core.HasUsableMember() || r.fleet != nil && !r.caughtUp:
				phase = gossip.Starting
			case !r.core.AcceptsClients():
				phase = gossip.Draining
			}
			list, _ := r.watch.Snapshot()
			return phase, list.Generation, uint64(r.core.ActiveRequests()), uint64(r.core.Counts.Requests)
		}})
}

// Peers returns the gossip state as JSON, or "" if gossip is off.
func (r *relay) Peers() string {
	if r.peers == nil {
		return ""
	}
	return r.peers.StatusJSON()
}

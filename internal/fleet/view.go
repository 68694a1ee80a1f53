package fleet

import (
	"cmp"
	"maps"
	"slices"

	"dahliarudder/internal/rollout"
)

// slowStart describes how a member's usable capacity rises after its start.
type slowStart struct {
	startShare float64 // usable share of the capacity at the start
	durationMS int64   // time until the whole capacity is usable
}

// shareAt returns the usable share of the capacity of a member that started age milliseconds ago.
func (s slowStart) shareAt(age int64) float64 {
	if age >= s.durationMS || s.durationMS <= 0 {
		return 1
	}
	return s.startShare + (1-s.startShare)*float64(max(age, 0))/float64(s.durationMS)
}

// buildView combines the relays' reports with the leader's own endpoint list and gossip into the
// leader's view of the fleet. If a relay has not reported since this relay became the leader, its
// report age is the time since then. If gossip sees a relay alive, its report age is at most
// flowHoldMS, whatever delays its reports: its flows may still be open.
func (f *fleetStatus) buildView(now, leaderSince, flowHoldMS int64, self string, own ObservedState, warmup slowStart) rollout.View {
	v := rollout.View{At: now}
	for _, w := range f.serviceWindows {
		if w.EndsAt <= now {
			v.Service = append(v.Service, w)
		}
	}
	peers, names := map[string]Peer{}, map[string]bool{}
	for _, p := range own.Peers {
		peers[p.Name], names[p.Name] = p, true
	}
	for name := range f.relays {
		names[name] = true
	}
	for _, name := range slices.Sorted(maps.Keys(names)) {
		r := rollout.Relay{Name: name, ReportAgeMS: now - leaderSince}
		peer, known := peers[name]
		if status := f.relays[name]; status != nil {
			r.Zone, r.ReportAgeMS, r.StartNumber, r.Phase, r.Program = status.Zone, now-status.receivedAt, status.Incarnation, string(status.Phase), status.Program
			r.Config, r.AppliedVersion, r.Flows = status.Config, status.AppliedVersion, status.Flows
			// A relay is in service only if gossip, too, sees this process serve. The leader needs no
			// confirmation of itself.
			confirmed := name == self || known && peer.Alive && peer.Serving && peer.Incarnation >= status.Incarnation
			r.InService = status.Phase == RelayServing && confirmed
		}
		if known {
			r.Zone = cmp.Or(r.Zone, peer.Zone)
			r.Exited = peer.Gone && peer.Incarnation >= r.StartNumber
			if peer.Alive {
				r.ReportAgeMS = min(r.ReportAgeMS, flowHoldMS)
			}
		}
		v.Relays = append(v.Relays, r)
	}
	f.addMembers(now, own, warmup, &v)
	return v
}

// addMembers adds members to a view that already has the relays: the members of the leader's endpoint
// list, and those at which a relay has flows.
func (f *fleetStatus) addMembers(now int64, own ObservedState, warmup slowStart, v *rollout.View) {
	pool := map[string]*rollout.Member{}
	for _, m := range own.Members {
		pool[m.Name] = &rollout.Member{Name: m.Name, Zone: m.Zone, Listed: m.DiscoveryState, Started: m.StartedAt, Capacity: m.Capacity, FlowsByRelay: map[string]rollout.RelayFlows{}}
	}
	successes, failures := map[string]uint64{}, map[string]uint64{}
	ended := f.endedProcesses(own.Peers, v.Relays)
	for _, name := range slices.Sorted(maps.Keys(f.relays)) {
		if ended[name] {
			continue
		}
		relay := f.relays[name]
		for member, a := range relay.attempts {
			m := pool[member]
			if m == nil { // the member is not in the leader's endpoint list
				if a.flows == 0 {
					continue
				}
				m = &rollout.Member{Name: member, FlowsByRelay: map[string]rollout.RelayFlows{}}
				pool[member] = m
			}
			if a.flows > 0 {
				m.FlowsByRelay[name] = rollout.RelayFlows{Flows: a.flows, ReportedAt: relay.receivedAt}
				v.Load += float64(a.flows)
			}
			m.Capacity = max(m.Capacity, a.capacity)
			for _, s := range a.samples {
				if now-s.at <= attemptWindowMS {
					successes[member], failures[member] = successes[member]+s.successes, failures[member]+s.failures
				}
			}
		}
	}
	setUsableCapacity(now, pool, warmup)
	for _, name := range slices.Sorted(maps.Keys(pool)) {
		m := pool[name]
		m.Failing = failures[name] >= 2 && failures[name] > successes[name] // a single failure is not enough evidence
		v.Members = append(v.Members, *m)
	}
}

// endedProcesses returns the relays whose last report is from a process that has ended. The flows of
// that process must not keep a member in the view. The next process may run already without having
// sent a report.
func (f *fleetStatus) endedProcesses(peers []Peer, relays []rollout.Relay) map[string]bool {
	ended := map[string]bool{}
	for _, r := range relays {
		ended[r.Name] = r.Exited
	}
	for _, p := range peers {
		if status := f.relays[p.Name]; status != nil && p.Incarnation > status.Incarnation {
			ended[p.Name] = true
		}
	}
	return ended
}

// setUsableCapacity sets the capacity that each member can serve now. A member of unknown capacity
// gets the mean of the known ones, as its warm-up would not show without a capacity.
func setUsableCapacity(now int64, pool map[string]*rollout.Member, warmup slowStart) {
	knownCount, sum := 0.0, 0.0
	for _, name := range slices.Sorted(maps.Keys(pool)) { // sorted, so that rounding is the same in each call
		if c := pool[name].Capacity; c > 0 {
			knownCount, sum = knownCount+1, sum+c
		}
	}
	for _, m := range pool {
		if m.Capacity == 0 && knownCount > 0 {
			m.Capacity = sum / knownCount
		}
		m.UsableCapacity = m.Capacity
		if m.Started > 0 {
			m.UsableCapacity = m.Capacity * warmup.shareAt(now-m.Started)
		}
	}
}

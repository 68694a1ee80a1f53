package fleet

import (
	"cmp"
	"maps"
	"slices"

	"dahliarudder/internal/rollout"
)

// slowStart is what a member bears of its capacity, by its age.
type slowStart struct {
	startShare float64 // at the start
	durationMS int64   // ms until it bears all
}

func (w slowStart) shareAt(age int64) float64 {
	if age >= w.durationMS || w.durationMS <= 0 {
		return 1
	}
	return w.startShare + (1-w.startShare)*float64(max(age, 0))/float64(w.durationMS)
}

// buildView is what the leader knows, with its own look at the pool and the peers. It has led since ledAt: a relay that it has not heard is silent
// for so long. One that peers hear lives, whatever keeps its words away: it may hold flows, however long it is not heard (hold).
func (s *fleetStatus) buildView(now, ledAt, hold int64, self string, own ObservedState, cold slowStart) rollout.View {
	v := rollout.View{At: now}
	for _, c := range s.serviceWindows {
		if c.EndsAt <= now { // whole ones
			v.Service = append(v.Service, c)
		}
	}
	peers := map[string]Peer{}
	for _, p := range own.Peers {
		peers[p.Name] = p
	}
	names := map[string]bool{}
	for n := range s.relays {
		names[n] = true
	}
	for n := range peers {
		names[n] = true
	}
	for _, name := range slices.Sorted(maps.Keys(names)) {
		r := rollout.Relay{Name: name, ReportAgeMS: now - ledAt}
		p, known := peers[name]
		if h := s.relays[name]; h != nil {
			r.Zone, r.ReportAgeMS, r.StartNumber, r.Phase, r.Program, r.Config, r.AppliedVersion, r.Flows = h.Zone, now-h.receivedAt, h.Incarnation, h.Phase, h.Program, h.Config, h.AppliedVersion, h.Flows
			// Others see it serve: this relay's peers, of this very process. Of itself the leader knows.
			r.InService = r.Phase == "serving" && (name == self || known && p.Alive && p.Serving && p.Incarnation >= h.Incarnation)
		}
		if known {
			r.Zone = cmp.Or(r.Zone, p.Zone)
			r.Exited = p.Gone && p.Incarnation >= r.StartNumber
			if p.Alive {
				r.ReportAgeMS = min(r.ReportAgeMS, hold)
			}
		}
		v.Relays = append(v.Relays, r)
	}
	s.addMembers(now, own, cold, &v)
	return v
}

func (s *fleetStatus) addMembers(now int64, own ObservedState, cold slowStart, v *rollout.View) {
	pool := map[string]*rollout.Member{}
	for _, m := range own.Members {
		pool[m.Name] = &rollout.Member{Name: m.Name, Zone: m.Zone, Listed: m.DiscoveryState, Started: m.StartedAt, Capacity: m.Capacity, FlowsByRelay: map[string]rollout.RelayFlows{}}
	}
	good, bad := map[string]uint64{}, map[string]uint64{}
	gone := map[string]bool{} // what an ended process held, it holds no more: its last word must not keep a member in the view
	for _, r := range v.Relays {
		gone[r.Name] = r.Exited
	}
	for _, p := range own.Peers { // the next process may be there, and have said nothing yet
		if h := s.relays[p.Name]; h != nil && p.Incarnation > h.Incarnation {
			gone[p.Name] = true
		}
	}
	for _, relay := range slices.Sorted(maps.Keys(s.relays)) {
		h := s.relays[relay]
		if gone[relay] {
			continue
		}
		for name, t := range h.attempts {
			m := pool[name]
			if m == nil { // only that relay's list has it
				if t.flows == 0 {
					continue
				}
				m = &rollout.Member{Name: name, FlowsByRelay: map[string]rollout.RelayFlows{}}
				pool[name] = m
			}
			if t.flows > 0 {
				m.FlowsByRelay[relay] = rollout.RelayFlows{Flows: t.flows, ReportedAt: h.receivedAt}
				v.Load += float64(t.flows)
			}
			m.Capacity = max(m.Capacity, t.capacity)
			for _, k := range t.samples {
				if now-k.at <= attemptWindowMS {
					good[name], bad[name] = good[name]+k.successes, bad[name]+k.failures
				}
			}
		}
	}
	known, sum := 0.0, 0.0
	for _, name := range slices.Sorted(maps.Keys(pool)) {
		if c := pool[name].Capacity; c > 0 {
			known, sum = known+1, sum+c
		}
	}
	for _, name := range slices.Sorted(maps.Keys(pool)) {
		m := pool[name]
		if m.Capacity == 0 && known > 0 { // a new one of which no report told yet: without a capacity it would not look cold
			m.Capacity = sum / known
		}
		m.UsableCapacity = m.Capacity
		if m.Started > 0 {
			m.UsableCapacity = m.Capacity * cold.shareAt(now-m.Started)
		}
		// More went wrong there than went well, and more than once: one failure is no verdict.
		m.Failing = bad[name] >= 2 && bad[name] > good[name]
		v.Members = append(v.Members, *m)
	}
}

package fleet

import (
	"cmp"
	"maps"
	"slices"

	"dahliarudder/internal/drift"
	"dahliarudder/internal/rollout"
)

// Peer is another relay as peers know it.
type Peer struct {
	Name, Zone  string
	Alive       bool // it answers, or is merely suspected
	Gone        bool // no process is there, or it said so
	Serving     bool
	Incarnation uint64
}

// MemberState is a member as this relay's list has it.
type MemberState struct {
	Name, Zone, DiscoveryState string // listed: ready, draining, gone
	StartedAt                  int64  // wall clock, ms; 0 long ago
	Out                        bool
	Flows                      int
	Capacity                   float64
	Successes, Failures        uint64
}

// ObservedState is what a relay does, as its loop tells.
type ObservedState struct {
	Phase              string
	ListGeneration     uint64
	Flows              int
	DemandMS, ServedMS uint64 // time of clients, ms: that in which a flow stood, and with that for which they were sent away. One who comes again ten times is no ten who are not served
	MisroutedFlows     uint64 // flows begun at members that were out for longer than the grace
	Members            []MemberState
	LocalEjections     []string // addMembers that its own operators have taken out
	AppliedOut         []string // and by the fleet's word, as the core has them
	AppliedVersion     uint64
	CanaryVersion      uint64 // the version of the canaries that it goes by
	CanaryCounts       []byte // what it counted for a canary
	Peers              []Peer
	// ConfigSections is what it runs of its configuration now: the digest by section, of what all relays have the same. A section's name is 29 bytes
	// at most. nil: Options.Settings stands for all of it, as the section "settings".
	ConfigSections map[string]string
	// RejectedItems is what it was given and did not take, by item ("config.SECTION"): why. An entry goes when a later one was taken.
	RejectedItems   map[string]string
	PermitsVersion  uint64 // Orders.Permits as the loop had it last; 0: it does not tell
	QuarantineOrder uint64 // the number of the order by which it takes no clients; 0: it takes them
}

// relayStatus is the last word of a relay, and what is reckoned from those before.
type relayStatus struct {
	statusReport
	receivedAt int64
	attempts   map[string]*memberAttempts
	listState  relayList

	expected []drift.Item // what the watch holds it to
}

// memberAttempts counts how attempts at a member went lately, by one relay.
type memberAttempts struct {
	flows               int
	capacity            float64
	successes, failures uint64 // as last said
	samples             []attemptSample
}

type attemptSample struct {
	at                  int64
	successes, failures uint64
}

// The spans by which the leader judges.
const (
	attemptWindowMS   = 10_000 // attempts that say how a member does: some ten words
	serviceWindowMS   = 2_000  // of service: two words of each relay
	maxServiceWindows = 90
)

// fleetStatus is all that the leader has heard. It decides nothing.
type fleetStatus struct {
	relays         map[string]*relayStatus
	serviceWindows []rollout.ServiceWindow
	lists          listTracker
	maxRelays      int // most that are held
}

func newFleetStatus() *fleetStatus {
	return &fleetStatus{relays: map[string]*relayStatus{}, maxRelays: 1024}
}

// receive takes a relay's word. Words that come late, of an earlier process or out of order, are passed over.
func (s *fleetStatus) receive(now int64, from string, w statusReport) {
	h := s.relays[from]
	switch {
	case h == nil && len(s.relays) >= s.maxRelays:
		return
	case h == nil:
		h = &relayStatus{attempts: map[string]*memberAttempts{}}
		s.relays[from] = h
	case w.Incarnation < h.Incarnation:
		return
	case w.Incarnation > h.Incarnation:
		h.attempts = map[string]*memberAttempts{}
	case w.DemandMS < h.DemandMS || w.ServedMS < h.ServedMS:
		return
	default:
		s.countService(now, float64(w.DemandMS-h.DemandMS)/1000, float64(w.ServedMS-h.ServedMS)/1000)
	}
	for _, t := range h.attempts {
		t.flows = 0 // a member that it does not name it holds nothing at
	}
	for _, m := range w.Members {
		t := h.attempts[m.Name]
		if t == nil {
			t = &memberAttempts{successes: m.Successes, failures: m.Failures}
			h.attempts[m.Name] = t
		} else if m.Successes > t.successes || m.Failures > t.failures {
			t.samples = append(t.samples, attemptSample{now, max(m.Successes, t.successes) - t.successes, max(m.Failures, t.failures) - t.failures})
			t.successes, t.failures = max(m.Successes, t.successes), max(m.Failures, t.failures)
		}
		t.flows, t.capacity = m.Flows, cmp.Or(m.Capacity, t.capacity)
	}
	maps.DeleteFunc(h.attempts, func(_ string, t *memberAttempts) bool {
		t.samples = slices.DeleteFunc(t.samples, func(m attemptSample) bool { return now-m.at > attemptWindowMS })
		return t.flows == 0 && len(t.samples) == 0 && len(h.attempts) > maxMemberReports/2
	})
	h.statusReport, h.receivedAt = w, now
	h.listState.observe(now, w.ListGeneration, w.ListRestarted, s.lists)
}

// countService adds to the window of now.
func (s *fleetStatus) countService(now int64, asked, served float64) {
	end := now - now%serviceWindowMS + serviceWindowMS
	if n := len(s.serviceWindows); n == 0 || s.serviceWindows[n-1].EndsAt < end {
		s.serviceWindows = append(s.serviceWindows, rollout.ServiceWindow{EndsAt: end})
		s.serviceWindows = s.serviceWindows[max(0, len(s.serviceWindows)-maxServiceWindows):]
	}
	last := &s.serviceWindows[len(s.serviceWindows)-1]
	last.Requested, last.Served = last.Requested+asked, last.Served+served
}

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

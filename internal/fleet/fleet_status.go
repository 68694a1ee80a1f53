package fleet

import (
	"cmp"
	"maps"
	"slices"

	"dahliarudder/internal/drift"
	"dahliarudder/internal/rollout"
)

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

func (x *relayStatus) reports(group string) bool { return slices.Contains(x.ReportedGroups, group) }

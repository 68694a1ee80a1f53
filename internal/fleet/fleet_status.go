package fleet

import (
	"cmp"
	"maps"
	"slices"

	"dahliarudder/internal/drift"
	"dahliarudder/internal/rollout"
)

// relayStatus is a relay's last status report, with what the leader derives from this report and
// earlier ones.
type relayStatus struct {
	statusReport
	receivedAt int64
	attempts   map[string]*memberAttempts // by member
	list       relayList

	expected []drift.Item // the items last passed to the drift monitor
}

// reports reports whether the relay reports the items of a group.
func (r *relayStatus) reports(group string) bool { return slices.Contains(r.ReportedGroups, group) }

// memberAttempts counts the recent attempts of one relay at a member.
type memberAttempts struct {
	flows               int
	capacity            float64
	successes, failures uint64 // totals as last reported
	samples             []attemptSample
}

// attemptSample is the change of the totals from one report to the next.
type attemptSample struct {
	at                  int64
	successes, failures uint64
}

// Time windows of the leader's statistics.
const (
	attemptWindowMS   = 10_000 // for attempts at a member: about ten reports
	serviceWindowMS   = 2_000  // for the service level: two reports of each relay
	maxServiceWindows = 90     // 3 minutes
)

// fleetStatus collects what relays have reported to the leader. It makes no decisions.
type fleetStatus struct {
	relays         map[string]*relayStatus
	serviceWindows []rollout.ServiceWindow
	lists          listTracker
	maxRelays      int
}

func newFleetStatus() *fleetStatus {
	return &fleetStatus{relays: map[string]*relayStatus{}, maxRelays: 1024}
}

// receive stores a relay's status report. It ignores a report of an earlier process of the relay, and
// one that arrives after a later report.
func (f *fleetStatus) receive(now int64, from string, report statusReport) {
	relay := f.relays[from]
	switch {
	case relay == nil && len(f.relays) >= f.maxRelays:
		return
	case relay == nil:
		relay = &relayStatus{attempts: map[string]*memberAttempts{}}
		f.relays[from] = relay
	case report.Incarnation < relay.Incarnation:
		return
	case report.Incarnation > relay.Incarnation:
		relay.attempts = map[string]*memberAttempts{}
	case report.DemandMS < relay.DemandMS || report.ServedMS < relay.ServedMS:
		return
	default:
		f.countService(now, float64(report.DemandMS-relay.DemandMS)/1000, float64(report.ServedMS-relay.ServedMS)/1000)
	}
	relay.receiveMembers(now, report.Members)
	relay.statusReport, relay.receivedAt = report, now
	relay.list.observe(now, report.ListGeneration, report.ListRestarted, f.lists)
}

// receiveMembers updates the attempts by member. A member that the report leaves out has no flows of
// this relay.
func (r *relayStatus) receiveMembers(now int64, members []memberReport) {
	for _, a := range r.attempts {
		a.flows = 0
	}
	for _, m := range members {
		a := r.attempts[m.Name]
		if a == nil {
			a = &memberAttempts{successes: m.Successes, failures: m.Failures}
			r.attempts[m.Name] = a
		} else if m.Successes > a.successes || m.Failures > a.failures {
			a.samples = append(a.samples, attemptSample{now, max(m.Successes, a.successes) - a.successes, max(m.Failures, a.failures) - a.failures})
			a.successes, a.failures = max(m.Successes, a.successes), max(m.Failures, a.failures)
		}
		a.flows, a.capacity = m.Flows, cmp.Or(m.Capacity, a.capacity)
	}
	maps.DeleteFunc(r.attempts, func(_ string, a *memberAttempts) bool {
		a.samples = slices.DeleteFunc(a.samples, func(s attemptSample) bool { return now-s.at > attemptWindowMS })
		return a.flows == 0 && len(a.samples) == 0 && len(r.attempts) > maxMemberReports/2
	})
}

// countService adds clients' time in seconds to the current service window.
func (f *fleetStatus) countService(now int64, demand, served float64) {
	end := now - now%serviceWindowMS + serviceWindowMS
	if n := len(f.serviceWindows); n == 0 || f.serviceWindows[n-1].EndsAt < end {
		f.serviceWindows = append(f.serviceWindows, rollout.ServiceWindow{EndsAt: end})
		f.serviceWindows = f.serviceWindows[max(0, len(f.serviceWindows)-maxServiceWindows):]
	}
	last := &f.serviceWindows[len(f.serviceWindows)-1]
	last.Requested, last.Served = last.Requested+demand, last.Served+served
}

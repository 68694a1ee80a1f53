package policy

import (
	"container/heap"
	"slices"
	"testing"
	"time"
)

// TestFacade drives a request from its arrival to its end through events and actions.
func TestFacade(t *testing.T) {
	set := settings()
	f := NewFacade(t0, set, 7)
	f.Observe(t0, EndpointList{Kind: ListCached, Endpoints: fleet(1, 1)})
	member := fleet(1, 1)[0].ID
	q := Request{ID: 1, Deadline: t0 + 2*time.Second, Load: 0.1}
	actions := f.Pick(t0, q)
	if len(actions) != 2 || actions[0].Kind != ActionProbe || actions[1].Kind != ActionWait {
		t.Fatalf("Pick without reports = %v, want a probe and a wait", actions)
	}
	if at, ok := f.Next(); !ok || at <= t0 {
		t.Errorf("Next() = %v, %v, want a time after %v", at, ok, t0)
	}
	actions = f.Observe(t0, ProbeResult{Member: member, Result: OK, Report: Report{Connections: 1, Load: 0.1, Util: -1}})
	if len(actions) != 1 || actions[0].Kind != ActionSend || actions[0].ID != 1 || actions[0].Member != member {
		t.Fatalf("Observe(ProbeResult) = %v, want a send of request 1", actions)
	}
	f.Observe(t0, FlowEstablished{ID: 1})
	if actions = f.Observe(t0, EndpointList{Kind: ListFull}); len(actions) != 1 || actions[0].Kind != ActionMigrate {
		t.Errorf("Observe(list without the member) = %v, want a migration", actions)
	}
	f.Observe(t0, AttemptEnded{ID: 1, Member: member, Result: Cancelled, Final: true, Report: NoReport})
	q.ID, q.Deadline = 2, t0+3*time.Second
	f.Pick(t0, q)
	if actions = f.Tick(q.Deadline); len(actions) == 0 || actions[0].Kind != ActionReject || actions[0].ID != 2 {
		t.Errorf("Tick at the deadline = %v, want a rejection of request 2", actions)
	}
}

// TestRejectRetryAfter checks that the Retry-After of rejections differs between clients, so that
// they do not return together, grows as fewer requests are admitted, and never exceeds
// MaxRetryAfter.
func TestRejectRetryAfter(t *testing.T) {
	set := settings()
	f := NewFacade(t0, set, 7)
	f.Observe(t0, EndpointList{Kind: ListCached})
	reject := func(n int) (retryAfter []time.Duration, mean time.Duration) {
		for id := range RequestID(n) {
			f.Pick(t0, Request{ID: 1000 + id, Deadline: t0 + time.Second})
		}
		for _, action := range f.Tick(t0 + time.Second) {
			if action.Kind == ActionReject {
				retryAfter, mean = append(retryAfter, action.Duration), mean+action.Duration/time.Duration(n)
			}
		}
		return retryAfter, mean
	}
	retryAfter, _ := reject(60)
	seen, meanOfLastTen := map[time.Duration]bool{}, time.Duration(0)
	for i, d := range retryAfter {
		if seen[d] = true; d < set.Classes[0].LatencyObjective/2 || d > f.balancer.cfg.MaxRetryAfter {
			t.Errorf("Retry-After %v, want %v to %v",
				d, set.Classes[0].LatencyObjective/2, f.balancer.cfg.MaxRetryAfter)
		}
		if i >= len(retryAfter)-10 {
			meanOfLastTen += d / 10
		}
	}
	if len(retryAfter) != 60 || len(seen) < 30 || meanOfLastTen < 2*set.Classes[0].LatencyObjective {
		t.Errorf("%d rejections with %d different Retry-After values, mean of the last ten %v; want "+
			"60, at least 30, at least %v",
			len(retryAfter), len(seen), meanOfLastTen, 2*set.Classes[0].LatencyObjective)
	}
	f.Observe(t0, EndpointList{Kind: ListFull, Endpoints: []Endpoint{{ID: 5, State: Ready, Weight: 1}}})
	f.Observe(t0, ProbeResult{Member: 5, Result: OK, Report: Report{Connections: 1, Load: 0.1, Util: -1, Backlog: -1}})
	for id := range RequestID(40) { // requests are admitted again
		for _, action := range f.Pick(t0, Request{ID: id + 1, Load: 0.01, Deadline: t0 + time.Second}) {
			if action.Kind == ActionSend {
				f.Observe(t0, FlowEstablished{ID: action.ID})
				f.Observe(t0, AttemptEnded{ID: action.ID, Member: action.Member, Result: OK, Final: true, Report: NoReport})
			}
		}
	}
	f.Observe(t0, EndpointList{Kind: ListFull})
	if _, mean := reject(5); mean > meanOfLastTen*3/4 {
		t.Errorf("mean Retry-After %v after requests were admitted, want at most 3/4 of the %v before",
			mean, meanOfLastTen)
	}
}

// TestFacadeTimers checks that timers fire in the order of their times, and those of the same time
// in the order in which they were set, so that the same events give the same actions.
func TestFacadeTimers(t *testing.T) {
	g := &actionCollector{now: t0}
	for i, d := range []time.Duration{5, 3, 3, -1} {
		g.Timer(d, uint64(i))
	}
	for _, token := range []uint64{3, 1, 2, 0} {
		if got := heap.Pop(&g.timers).(scheduledTimer).token; got != token {
			t.Errorf("next timer has token %d, want %d", got, token)
		}
	}
}

// TestNotSentIsNoFailure checks that a probe that the relay could not send does not count as a
// failure of its member.
func TestNotSentIsNoFailure(t *testing.T) {
	for result, ejected := range map[Result]bool{NotSent: false, Timeout: true} {
		f := NewFacade(t0, settings(), 7)
		f.Observe(t0, EndpointList{Kind: ListCached, Endpoints: fleet(1, 1)})
		member := fleet(1, 1)[0].ID
		for range 2 * memberFailureThreshold {
			f.Observe(t0, ProbeResult{Member: member, Result: result, Report: NoReport})
		}
		if got := f.balancer.byID[member].ejected; got != ejected {
			t.Errorf("after probes with result %v: ejected %v, want %v", result, got, ejected)
		}
	}
}

// TestRestore checks that a Balancer continues from the state that another one has learned, with
// ages converted to its own clock, and ignores state that does not fit its settings.
func TestRestore(t *testing.T) {
	set := settings()
	members := fleet(2, 1)
	start := func(now time.Duration) *Facade {
		f := NewFacade(now, set, 7)
		f.Observe(now, EndpointList{Kind: ListCached, Endpoints: members})
		return f
	}
	old := start(t0)
	m := old.balancer.byID[members[0].ID]
	for range 40 {
		old.Observe(t0, ProbeResult{Member: m.ID, Result: OK, Report: Report{Connections: 40, Load: 0.5, Util: -1}})
	}
	old.Observe(t0, ProbeResult{Member: members[1].ID, Result: Timeout, Report: NoReport})
	old.Observe(t0, ProbeResult{Member: members[1].ID, Result: Timeout, Report: NoReport})
	now := t0 + time.Hour
	next := start(now)
	next.Restore(now, old.LearnedState(t0+time.Second))
	restored, failed := next.balancer.byID[members[0].ID], next.balancer.byID[members[1].ID]
	if restored.capacity != m.capacity || restored.capacity == 0 || !restored.hasReport || restored.report.Load != 0.5 || restored.reportChangedAt != now-time.Second {
		t.Errorf("restored member %+v, want capacity %v and a report of load 0.5 from %v",
			restored, m.capacity, now-time.Second)
	}
	if !failed.ejected || failed.failures != memberFailureThreshold {
		t.Errorf("ejected member restored with health %+v, want ejected with %d failures",
			failed.health, memberFailureThreshold)
	}
	// State that is older than the clock's zero still applies, except to members that have started
	// since.
	state := old.LearnedState(t0)
	state.Age = now + time.Hour
	later := start(now)
	later.Restore(now, state)
	if got := later.balancer.byID[members[0].ID]; got.capacity != m.capacity {
		t.Errorf("restored from state older than the clock: capacity %v, want %v", got.capacity, m.capacity)
	}
	state.Age = 10 * time.Second
	restarted := slices.Clone(members)
	restarted[0].Started = now - time.Second
	later.Observe(now, EndpointList{Kind: ListFull, Endpoints: restarted})
	later.balancer.byID[members[0].ID].capacity = 0
	later.Restore(now, state)
	if got := later.balancer.byID[members[0].ID]; got.capacity != 0 {
		t.Errorf("restarted member restored with the earlier process's capacity %v, want 0", got.capacity)
	}
	set.Zones++
	other := start(now)
	other.Restore(now, old.LearnedState(t0))
	if len(other.balancer.zones) != set.Zones {
		t.Errorf("%d zones after restoring state of %d, want %d",
			len(other.balancer.zones), set.Zones-1, set.Zones)
	}
}

// TestCanaryGroup checks that the groups assigned to the canary, and no others, go to its member.
// If that member drains, the drain takes precedence over the assignment: after a wait the group
// goes elsewhere and is counted as an overflow.
func TestCanaryGroup(t *testing.T) {
	set := settings()
	set.Groups = true
	f := NewFacade(t0, set, 7)
	all := fleet(6, 1)
	canary := all[0].ID
	f.Observe(t0, EndpointList{Kind: ListCached, Endpoints: all})
	const assigned = 2 // groups 1 to assigned belong to the canary
	f.Observe(t0, CanaryGroup{Contains: func(id MemberID) bool { return id == canary }, Assigned: func(group uint64) bool { return group <= assigned }})
	next := RequestID(0)
	sentTo := func(group uint64) (member MemberID) {
		next++
		actions := slices.Clone(f.Pick(t0, Request{ID: next, Group: group, Deadline: t0 + 2*time.Second, Load: 0.01}))
		for len(actions) > 0 {
			action := actions[0]
			actions = actions[1:]
			switch {
			case action.Kind == ActionProbe:
				actions = append(actions, f.Observe(t0, ProbeResult{Member: action.Member, Result: OK, Report: Report{Connections: 1, Load: 0.1, Util: -1}})...)
			case action.Kind == ActionSend && action.ID == next:
				member = action.Member
			}
		}
		return member
	}
	for group := uint64(1); group <= 20; group++ {
		if member := sentTo(group); member == 0 || (member == canary) != (group <= assigned) {
			t.Errorf("group %d was sent to member %d; want member %d, the canary, for groups up to %d "+
				"and another one for the others", group, member, canary, assigned)
		}
	}
	draining := all[0]
	draining.State = Draining
	f.Observe(t0, EndpointList{Kind: ListDelta, Endpoints: []Endpoint{draining}})
	if sentTo(1); f.CanaryOverflows() != 0 {
		t.Errorf("%d overflows counted before the wait, want 0", f.CanaryOverflows())
	}
	overflowed := false
	for now := t0; now < t0+2*time.Second; now += 10 * time.Millisecond {
		for _, action := range f.Tick(now) {
			overflowed = overflowed || action.Kind == ActionSend && action.ID == next && action.Member != canary
		}
	}
	if !overflowed || f.CanaryOverflows() != 1 {
		t.Errorf("with the canary draining: sent elsewhere %v, %d overflows counted; want true, 1",
			overflowed, f.CanaryOverflows())
	}
}

// TestSendSkipped checks that a send that was not carried out leaves no connection at its member.
// Unless the event is final, the request continues, and the attempt still counts.
func TestSendSkipped(t *testing.T) {
	for _, final := range []bool{false, true} {
		f := NewFacade(t0, settings(), 7)
		f.Observe(t0, EndpointList{Kind: ListCached, Endpoints: fleet(1, 1)})
		member := fleet(1, 1)[0].ID
		f.Pick(t0, Request{ID: 1, Deadline: t0 + 2*time.Second, Load: 0.1})
		f.Observe(t0, ProbeResult{Member: member, Result: OK, Report: Report{Connections: 1, Load: 0.1, Util: -1}})
		if m, r := f.balancer.byID[member], f.balancer.requests[1]; m.ownFlows != 1 || r == nil || !r.inFlight {
			t.Fatalf("after the send: %v connections, request %+v; want 1 and an attempt in flight", m.ownFlows, r)
		}
		f.Observe(t0, SendSkipped{ID: 1, Final: final})
		r := f.balancer.requests[1]
		if m := f.balancer.byID[member]; m.ownFlows != 0 || len(m.conns) != 0 || final != (r == nil) {
			t.Errorf("after SendSkipped, final %v: %v connections, request %+v; want 0, request only "+
				"if not final", final, m.ownFlows, r)
		}
		if r != nil && (r.attempts != 1 || r.mayHaveRun || r.inFlight) {
			t.Errorf("after SendSkipped: %d attempts, may have run %v, in flight %v; want 1, false, "+
				"false", r.attempts, r.mayHaveRun, r.inFlight)
		}
		if actions := f.Observe(t0, SendSkipped{ID: 1}); len(actions) != 0 {
			t.Errorf("final %v: repeated SendSkipped = %v, want no actions", final, actions)
		}
		if actions := f.Observe(t0, SendSkipped{ID: 9}); len(actions) != 0 {
			t.Errorf("SendSkipped of an unknown request = %v, want no actions", actions)
		}
	}
}

package policy

import (
	"container/heap"
	"slices"
	"testing"
	"time"
)

// TestFacade drives a request from its arrival to its end by actions alone.
func TestFacade(t *testing.T) {
	set := settings()
	f := NewFacade(t0, set, 7)
	f.Observe(t0, ServerList{Kind: ListCached, Servers: fleet(1, 1)})
	server := fleet(1, 1)[0].ID
	q := Request{ID: 1, Deadline: t0 + 2*time.Second, Load: 0.1}
	kinds := func(list []Action) (out []ActionKind) {
		for _, v := range list {
			out = append(out, v.Kind)
		}
		return out
	}
	got := kinds(f.Pick(t0, q))
	if len(got) != 2 || got[0] != ActionProbe || got[1] != ActionWait {
		t.Fatalf("verdicts %v on a request while nothing is known", got)
	}
	if at, ok := f.Next(); !ok || at <= t0 {
		t.Errorf("next tick at %v, %v", at, ok)
	}
	list := f.Observe(t0, ProbeResult{Server: server, Result: OK, Report: Report{Connections: 1, Load: 0.1, Util: -1}})
	if len(list) != 1 || list[0].Kind != ActionSend || list[0].ID != 1 || list[0].Server != server {
		t.Fatalf("verdicts %v on the report", list)
	}
	f.Observe(t0, FlowEstablished{ID: 1})
	if list = f.Observe(t0, ServerList{Kind: ListFull}); len(list) != 1 || list[0].Kind != ActionMigrate {
		t.Errorf("verdicts %v on a server that is gone", list)
	}
	f.Observe(t0, AttemptEnded{ID: 1, Server: server, Result: Cancelled, Final: true, Report: NoReport})
	q.ID, q.Deadline = 2, t0+3*time.Second
	f.Pick(t0, q)
	if list = f.Tick(q.Deadline); len(list) == 0 || list[0].Kind != ActionReject || list[0].ID != 2 {
		t.Errorf("verdicts %v at the deadline", list)
	}
}

// TestRejectRetryAfter guards against clients that come again at once, all together, and again and again: a reject says when, not the same time
// to all, later the fewer are let in, and never later than clients heed.
func TestRejectRetryAfter(t *testing.T) {
	set := settings()
	f := NewFacade(t0, set, 7)
	f.Observe(t0, ServerList{Kind: ListCached})
	refuse := func(n int) (all []time.Duration, mean time.Duration) {
		for id := range RequestID(n) {
			f.Pick(t0, Request{ID: 1000 + id, Deadline: t0 + time.Second})
		}
		for _, v := range f.Tick(t0 + time.Second) {
			if v.Kind == ActionReject {
				all, mean = append(all, v.Duration), mean+v.Duration/time.Duration(n)
			}
		}
		return all, mean
	}
	all, _ := refuse(60)
	seen, last := map[time.Duration]bool{}, time.Duration(0)
	for i, d := range all {
		if seen[d] = true; d < set.Classes[0].LatencyObjective/2 || d > f.balancer.cfg.MaxRetryAfter {
			t.Errorf("come again in %v", d)
		}
		if i >= len(all)-10 {
			last += d / 10
		}
	}
	if len(all) != 60 || len(seen) < 30 || last < 2*set.Classes[0].LatencyObjective {
		t.Errorf("%d refused, %d different times, the last ten in %v on average", len(all), len(seen), last)
	}
	f.Observe(t0, ServerList{Kind: ListFull, Servers: []Server{{ID: 5, State: Ready, Weight: 1}}})
	f.Observe(t0, ProbeResult{Server: 5, Result: OK, Report: Report{Connections: 1, Load: 0.1, Util: -1, Backlog: -1}})
	for id := range RequestID(40) { // let in again
		for _, v := range f.Pick(t0, Request{ID: id + 1, Load: 0.01, Deadline: t0 + time.Second}) {
			if v.Kind == ActionSend {
				f.Observe(t0, FlowEstablished{ID: v.ID})
				f.Observe(t0, AttemptEnded{ID: v.ID, Server: v.Server, Result: OK, Final: true, Report: NoReport})
			}
		}
	}
	f.Observe(t0, ServerList{Kind: ListFull})
	if _, mean := refuse(5); mean > last*3/4 {
		t.Errorf("come again in %v on average, %v while nobody was let in", mean, last)
	}
}

// TestFacadeTimers: timers come in order of time, those of one time in the order
// in which they were set, so that equal events give equal actions.
func TestFacadeTimers(t *testing.T) {
	g := &actionCollector{now: t0}
	for i, d := range []time.Duration{5, 3, 3, -1} {
		g.Timer(d, uint64(i))
	}
	for _, token := range []uint64{3, 1, 2, 0} {
		if got := heap.Pop(&g.timers).(scheduledTimer).token; got != token {
			t.Errorf("token %d, want %d", got, token)
		}
	}
}

// TestNotSentBlamesNobody guards against blaming a server for a probe or an attempt that the relay could not even start.
func TestNotSentBlamesNobody(t *testing.T) {
	for result, bad := range map[Result]bool{NotSent: false, Timeout: true} {
		f := NewFacade(t0, settings(), 7)
		f.Observe(t0, ServerList{Kind: ListCached, Servers: fleet(1, 1)})
		server := fleet(1, 1)[0].ID
		for range 2 * serverFailureThreshold {
			f.Observe(t0, ProbeResult{Server: server, Result: result, Report: NoReport})
		}
		if got := f.balancer.byID[server].ejected; got != bad {
			t.Errorf("after probes that ended %v: bad %v", result, got)
		}
	}
}

// TestLearned: what one Balancer has learned is what another goes on from, with ages in
// the place of times; what does not fit its settings is left out.
func TestLearned(t *testing.T) {
	set := settings()
	servers := fleet(2, 1)
	begin := func(now time.Duration) *Facade {
		f := NewFacade(now, set, 7)
		f.Observe(now, ServerList{Kind: ListCached, Servers: servers})
		return f
	}
	old := begin(t0)
	s := old.balancer.byID[servers[0].ID]
	for range 40 {
		old.Observe(t0, ProbeResult{Server: s.ID, Result: OK, Report: Report{Connections: 40, Load: 0.5, Util: -1}})
	}
	old.Observe(t0, ProbeResult{Server: servers[1].ID, Result: Timeout, Report: NoReport})
	old.Observe(t0, ProbeResult{Server: servers[1].ID, Result: Timeout, Report: NoReport})
	now := t0 + time.Hour
	next := begin(now)
	next.Restore(now, old.LearnedState(t0+time.Second))
	got, bad := next.balancer.byID[servers[0].ID], next.balancer.byID[servers[1].ID]
	if got.capacity != s.capacity || got.capacity == 0 || !got.hasReport || got.report.Load != 0.5 || got.reportChangedAt != now-time.Second {
		t.Errorf("learned %+v, recalled %+v", s, got)
	}
	if !bad.ejected || bad.failures != serverFailureThreshold {
		t.Errorf("a condemned server is taken for %+v", bad.health)
	}
	// From hours ago, on a clock that is younger than that: what was there before is known, and what has started since is not.
	kept := old.LearnedState(t0)
	kept.Age = now + time.Hour
	long := begin(now)
	long.Restore(now, kept)
	if got := long.balancer.byID[servers[0].ID]; got.capacity != s.capacity {
		t.Errorf("of long ago %+v is left", got)
	}
	kept.Age = 10 * time.Second
	fresh := slices.Clone(servers)
	fresh[0].Started = now - time.Second
	long.Observe(now, ServerList{Kind: ListFull, Servers: fresh})
	long.balancer.byID[servers[0].ID].capacity = 0
	long.Restore(now, kept)
	if got := long.balancer.byID[servers[0].ID]; got.capacity != 0 {
		t.Errorf("of an ended process %+v is believed", got)
	}
	set.Zones++
	other := begin(now)
	other.Restore(now, old.LearnedState(t0))
	if len(other.balancer.zones) != set.Zones {
		t.Error("zones of other settings were taken over")
	}
}

// TestCanaryGroup: whose group is drawn for an arm goes there and nobody else does; where the arm has no capacity, or is gone, limits and drains go before
// its share, and what could not be kept is counted; with no weight nothing new goes there, however full the others are.
func TestCanaryGroup(t *testing.T) {
	set := settings()
	set.Groups = true
	f := NewFacade(t0, set, 7)
	all := fleet(6, 1)
	arm := all[0].ID
	f.Observe(t0, ServerList{Kind: ListCached, Servers: all})
	weight := uint64(2) // groups below it
	f.Observe(t0, CanaryGroup{Contains: func(id ServerID) bool { return id == arm }, Assigned: func(group uint64) bool { return group <= weight }})
	next := RequestID(0)
	sent := func(group uint64) (at ServerID) {
		next++
		todo := slices.Clone(f.Pick(t0, Request{ID: next, Group: group, Deadline: t0 + 2*time.Second, Load: 0.01}))
		for len(todo) > 0 {
			v := todo[0]
			todo = todo[1:]
			switch {
			case v.Kind == ActionProbe:
				todo = append(todo, f.Observe(t0, ProbeResult{Server: v.Server, Result: OK, Report: Report{Connections: 1, Load: 0.1, Util: -1}})...)
			case v.Kind == ActionSend && v.ID == next:
				at = v.Server
			}
		}
		return at
	}
	for group := uint64(1); group <= 20; group++ {
		if at := sent(group); at == 0 || (at == arm) != (group <= weight) {
			t.Errorf("group %d went to %d, the arm is %d", group, at, arm)
		}
	}
	gone := all[0]
	gone.State = Draining
	f.Observe(t0, ServerList{Kind: ListDelta, Servers: []Server{gone}})
	if sent(1); f.CanaryOverflows() != 0 {
		t.Error("given up before it was held")
	}
	strayed := false
	for at := t0; at < t0+2*time.Second; at += 10 * time.Millisecond {
		for _, v := range f.Tick(at) {
			strayed = strayed || v.Kind == ActionSend && v.ID == next && v.Server != arm
		}
	}
	if !strayed || f.CanaryOverflows() != 1 {
		t.Errorf("with the arm draining: sent elsewhere %v, counted %d", strayed, f.CanaryOverflows())
	}
}

// TestSendSkipped: a send that was not carried out leaves nothing on its server. The request goes on if it may, and numbers go on.
func TestSendSkipped(t *testing.T) {
	for _, closed := range []bool{false, true} {
		f := NewFacade(t0, settings(), 7)
		f.Observe(t0, ServerList{Kind: ListCached, Servers: fleet(1, 1)})
		server := fleet(1, 1)[0].ID
		f.Pick(t0, Request{ID: 1, Deadline: t0 + 2*time.Second, Load: 0.1})
		f.Observe(t0, ProbeResult{Server: server, Result: OK, Report: Report{Connections: 1, Load: 0.1, Util: -1}})
		if s, r := f.balancer.byID[server], f.balancer.requests[1]; s.ownFlows != 1 || r == nil || !r.inFlight {
			t.Fatalf("%v connections, request %+v", s.ownFlows, r)
		}
		f.Observe(t0, SendSkipped{ID: 1, Final: closed})
		r := f.balancer.requests[1]
		if s := f.balancer.byID[server]; s.ownFlows != 0 || len(s.conns) != 0 || closed != (r == nil) {
			t.Errorf("closed %v: %v connections, request %+v", closed, s.ownFlows, r)
		}
		if r != nil && (r.attempts != 1 || r.mayHaveRun || r.inFlight) {
			t.Errorf("%d tries, ran %v, open %v", r.attempts, r.mayHaveRun, r.inFlight)
		}
		if list := f.Observe(t0, SendSkipped{ID: 1}); len(list) != 0 {
			t.Errorf("closed %v: verdicts %v on a second word", closed, list)
		}
		if list := f.Observe(t0, SendSkipped{ID: 9}); len(list) != 0 {
			t.Errorf("verdicts %v of a request that is not known", list)
		}
	}
}

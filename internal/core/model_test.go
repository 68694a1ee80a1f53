package core

import (
	"cmp"
	"flag"
	"fmt"
	"math"
	"math/bits"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"dahliarudder/internal/settings"
	"dahliarudder/policy"
)

// With a fixed seed every run draws the same steps; -rapid.seed draws others. CORE_SEEDS sets the
// number of cases, 1000 by default, which take under a second.
func init() {
	flag.Set("rapid.seed", "1")
	flag.Set("rapid.checks", cmp.Or(os.Getenv("CORE_SEEDS"), "1000"))
}

// model surrounds a core with members, clients, discovery and operators whose steps are drawn at
// random. It checks the calls and results that pass between them and the core, not the core's own
// state.
type model struct {
	*rapid.T
	core                *Core
	now                 time.Duration
	wakeAt              time.Duration
	clients             []*modelClient
	opening             *modelClient // the client whose call of Open is running; nil without one
	members             []*modelMember
	byName              map[string]*modelMember
	pendingProbes       []policy.MemberID
	notReady            bool          // the recorder cannot record
	paused              bool          // dispatch is paused
	resuming            bool          // a call of ResumeDispatch is running
	stopped             bool          // Stop or BeginHandover was called
	migrateBy           time.Duration // when a drain or stop must have migrated all flows; 0 without one
	finished            bool          // FinishStop has returned
	reentrant           bool          // the next call to a downstream makes another event happen before it returns
	ejected             map[string]bool
	removals            map[string]Removal
	records             map[string]int // how often each answer and attempt was recorded
	repeatedEstablished int            // calls of FlowEstablished for a flow that was established already
	faultyPolicy        bool           // the policy requests arbitrary actions
}

// ---- Recorder ----

func (m *model) Ready(RecordBacklog) bool { return !m.notReady }
func (m *model) RecordAttempt(_ *Request, id ID, attempt int, _ string, _, _ time.Duration, _ policy.Result) {
	m.record(fmt.Sprintf("attempt %d.%d", id, attempt))
}
func (m *model) RecordAnswer(_ *Request, id ID, _ time.Duration, _ Answer, _ int) {
	m.record(fmt.Sprintf("answer %d", id))
}
func (m *model) record(event string) {
	if m.records[event]++; m.records[event] > 1 {
		m.Fatalf("recorded twice: %s", event)
	}
}

// ---- Events ----

// drawSettings returns settings with classes of every idempotency and key scope. It draws the answer
// slack, the number of attempts and whether there are probes.
func drawSettings(t *rapid.T) string {
	text := strings.Replace(classesText, `"answer-slack-ms":8`, fmt.Sprintf(`"answer-slack-ms":%d`, rapid.SampledFrom([]int{0, 8, 60}).Draw(t, "slack")), 1)
	text = strings.Replace(text, `"max-attempts":3`, fmt.Sprintf(`"max-attempts":%d`, 1+evenlyBelow(4).Draw(t, "attempts")), 1)
	if rapid.Bool().Draw(t, "probes") {
		text = strings.Replace(text, `"probes":false`, `"probes":true`, 1)
		text = strings.Replace(text, `"extra":{`, `"report":{"source":"on_probe","names":["x0","outstanding","x1"]},"discovery":"subscribe","extra":{"groups":true,`, 1)
	}
	return text
}

func newModel(t *rapid.T) *model {
	set, err := settings.Decode([]byte(drawSettings(t)))
	if err != nil {
		t.Fatal(err)
	}
	m := &model{T: t, now: time.Hour, wakeAt: math.MaxInt64, byName: map[string]*modelMember{},
		ejected: map[string]bool{}, removals: map[string]Removal{}, records: map[string]int{}}
	m.core = New(Options{Settings: set, Seed: uint64(evenlyBelow(64).Draw(t, "seed")), Clock: func() time.Duration { return m.now },
		Wake: func(at time.Duration) { m.wakeAt = at }, Watch: func() {}, Recorder: m,
		Probe: func(to *Member) {
			if member := m.byName[to.Name]; m.paused || member.unavailable && (m.resuming || m.now-member.unavailableSince > 250*time.Millisecond) {
				m.Fatalf("probe of %s (unavailable %v, became unavailable %v ago); dispatch paused %v, resuming %v",
					to.Name, member.unavailable, m.now-member.unavailableSince, m.paused, m.resuming)
			}
			m.pendingProbes = append(m.pendingProbes, to.ID)
		}})
	for i := range 6 {
		member := &modelMember{Member: Member{Name: fmt.Sprint("m", i), Addr: fmt.Sprint("127.0.0.1:", 1000+i),
			Endpoint: policy.Endpoint{ID: policy.MemberID(10 + i), Zone: i % 2, Cell: 1 + i%4, Weight: 1, State: policy.Gone}}}
		m.members = append(m.members, member)
		m.byName[member.Name] = member
	}
	return m
}

func (m *model) draw(n int, label string) int { return evenlyBelow(n).Draw(m.T, label) }

// evenlyBelow draws a number below n, all equally likely. Rapid's own integers prefer small values,
// so that events with high indices would hardly occur.
func evenlyBelow(n int) *rapid.Generator[int] {
	return rapid.Custom(func(t *rapid.T) int {
		at := 0
		for range bits.Len(uint(n)) + 3 {
			if at *= 2; rapid.Bool().Draw(t, "bit") {
				at++
			}
		}
		return at % n
	})
}

// pickClient draws one of the clients that match, or returns nil if there is none.
func (m *model) pickClient(matches func(*modelClient) bool) *modelClient {
	var matching []*modelClient
	for _, c := range m.clients {
		if matches(c) {
			matching = append(matching, c)
		}
	}
	if len(matching) == 0 {
		return nil
	}
	return matching[m.draw(len(matching), "client")]
}

// modelTimesLeft are the values that TimeLeft of a request is drawn from.
var modelTimesLeft = []time.Duration{-time.Second, 0, 5 * time.Millisecond, 9 * time.Millisecond, 70 * time.Millisecond, 400 * time.Millisecond,
	2 * time.Second, 2 * time.Second, 2 * time.Second}

func (m *model) arrive() {
	c := &modelClient{model: m, arrivedAfterStop: m.stopped}
	c.request = Request{Class: m.draw(5, "class"), Load: 0.01, Group: uint64(m.draw(3, "group")), Reconnect: m.draw(4, "reconnect") == 0,
		TimeLeft: modelTimesLeft[m.draw(len(modelTimesLeft), "time left")]}
	if m.draw(12, "resumed") == 0 {
		c.request.CurrentMember = fmt.Sprint("m", m.draw(8, "member"))
	}
	c.deadline = m.now + c.request.TimeLeft
	m.clients = append(m.clients, c)
	outer := m.opening // another Open may be running, whose client has no ID yet
	m.opening = c
	c.id = m.core.Open(c.request, c)
	m.opening = outer
	if (c.arrivedAfterStop || m.notReady) && (len(c.answers) != 1 || c.answers[0] != "rejected") {
		m.Fatalf("request %d: arrived after the stop (%v) or while nothing could be recorded (%v): answers %v, "+
			"want a rejection",
			c.id, c.arrivedAfterStop, m.notReady, c.answers)
	}
	if c.request.TimeLeft <= 0 && len(c.answers) != 1 {
		m.Fatalf("request %d: arrived with no time left: answers %v, want one", c.id, c.answers)
	}
}

func (m *model) establishOne() {
	c := m.pickClient(func(c *modelClient) bool { return c.currentAttempt() != nil && !c.established })
	if c == nil {
		return
	}
	if !m.core.FlowEstablished(c.id, len(c.attempts)-1) {
		m.Fatalf("request %d: FlowEstablished for the attempt in flight = false, want true", c.id)
	}
	c.established, c.establishedAt = true, m.now
	c.answers = append(c.answers, "served")
}

// modelResults are the results that the end of an attempt is drawn from.
var modelResults = []policy.Result{policy.OK, policy.Error, policy.Full, policy.Timeout, policy.ConnectFailed, policy.Reset, policy.Cancelled, policy.NotSent}

func (m *model) endOneAttempt() {
	if c := m.pickClient(func(c *modelClient) bool { return c.currentAttempt() != nil }); c != nil {
		c.endAttempt()
	}
}

func (m *model) report() policy.Report {
	if m.draw(2, "report") == 0 {
		return policy.NoReport
	}
	return policy.Report{Connections: float64(m.draw(40, "connections")), Load: float64(m.draw(20, "load")) / 10, Util: -1, Backlog: float64(m.draw(3, "backlog")) / 10}
}

// sendStaleEvents reports events of an attempt that has ended or never existed.
func (m *model) sendStaleEvents() {
	c := m.pickClient(func(c *modelClient) bool { return true })
	if c == nil {
		return
	}
	number := m.draw(5, "attempt") - 1
	if a := c.currentAttempt(); a != nil && number == len(c.attempts)-1 {
		if c.established {
			m.repeatedEstablished++
			if m.core.FlowEstablished(c.id, number) {
				m.Fatalf("request %d: second FlowEstablished for attempt %d = true, want false", c.id, number)
			}
		}
		return
	}
	if m.core.FlowEstablished(c.id, number) {
		m.Fatalf("request %d: FlowEstablished for attempt %d, which is not in flight = true, want false",
			c.id, number)
	}
	m.core.AttemptEnded(c.id, number, modelResults[m.draw(len(modelResults), "result")], policy.NoReport)
	if c.settled() {
		m.core.ClientGone(c.id)
	}
}

func (m *model) answerProbe() {
	if len(m.pendingProbes) == 0 {
		return
	}
	i := m.draw(len(m.pendingProbes), "probe")
	id := m.pendingProbes[i]
	m.pendingProbes = slices.Delete(m.pendingProbes, i, i+1)
	m.core.ProbeResult(id, []policy.Result{policy.OK, policy.OK, policy.Full, policy.Timeout, policy.NotSent}[m.draw(5, "result")], m.report())
}

// updateMembers sends a randomly drawn change of the endpoint list, a full list, or a failed poll.
func (m *model) updateMembers() {
	kind := []policy.ListKind{policy.ListDelta, policy.ListDelta, policy.ListDelta, policy.ListFull, policy.ListCached, policy.ListFailed}[m.draw(6, "kind")]
	if kind == policy.ListFailed {
		m.core.UpdateMembers(kind, nil)
		return
	}
	var listed []Member
	for _, member := range m.members {
		// One third of the members in a delta, two thirds in a full list.
		if m.draw(3, "listed") == 0 == (kind == policy.ListDelta) {
			member.State = []policy.MemberState{policy.Ready, policy.Ready, policy.Ready, policy.Draining, policy.Gone}[m.draw(5, "state")]
			if m.draw(6, "restart") == 0 {
				member.Started, member.State = m.now, policy.Ready
			}
			member.known = true
			listed = append(listed, member.Member)
		} else if kind != policy.ListDelta {
			member.State = policy.Gone
		}
	}
	m.updateAvailability()
	m.core.UpdateMembers(kind, listed)
}

// updateAvailability updates which members are unavailable, since when, and over which period their
// flows may be migrated.
func (m *model) updateAvailability() {
	for _, member := range m.members {
		removal, removed := m.removals[member.Name]
		unavailable := member.known && (member.State != policy.Ready || m.ejected[member.Name] || removed)
		if unavailable && !member.unavailable {
			member.unavailableSince = m.now
		}
		spreadOver := time.Duration(0)
		if member.unavailable = unavailable; removed && !m.ejected[member.Name] && member.State == policy.Ready {
			spreadOver = removal.SpreadOver
		}
		if spreadOver != member.spreadOver {
			member.spreadOver, member.spreadChangedAt = spreadOver, m.now
		}
	}
}

func (m *model) toggleEjection() {
	name := fmt.Sprint("m", m.draw(7, "member"))
	if m.ejected[name] {
		delete(m.ejected, name)
		m.updateAvailability()
		m.core.Reinstate(name)
	} else {
		m.ejected[name] = true
		m.updateAvailability()
		m.core.Eject(name)
	}
}

func (m *model) setRemovals() {
	removals := map[string]Removal{}
	for _, member := range m.members {
		if m.draw(4, "removed") == 0 {
			removals[member.Name] = Removal{SpreadOver: []time.Duration{0, 500 * time.Millisecond, 8 * time.Second}[m.draw(3, "spread over")], Ejection: m.draw(2, "ejection") == 0}
		}
	}
	m.removals = removals
	m.updateAvailability()
	m.core.SetFleetRemovals(removals)
}

func (m *model) toggleDrain() {
	if m.core.AcceptsClients() {
		m.migrateBy = m.now + drainMigrationEnd
		m.core.Drain()
		return
	}
	m.core.Resume()
	if !m.stopped {
		m.migrateBy = 0
	}
}

func (m *model) togglePause() {
	if !m.paused {
		m.paused = true
		m.core.PauseDispatch()
		return
	}
	m.paused, m.resuming = false, true
	m.core.ResumeDispatch()
	m.resuming = false
}

func (m *model) stop() {
	if m.stopped {
		return
	}
	m.stopped, m.migrateBy = true, m.now+fraction(stopMigrationEnd, m.core.StopTimeout())
	if m.draw(2, "handover") == 0 {
		m.core.BeginHandover()
	} else {
		m.core.Stop()
	}
}

// handOver releases a flow to another process, or adopts one from it.
func (m *model) handOver() {
	if c := m.pickClient((*modelClient).flowOpen); c != nil && m.draw(2, "release") == 0 {
		a := c.currentAttempt()
		c.flowEnded, a.ended, a.result = true, true, policy.Cancelled
		if transfer, ok := m.core.ReleaseFlow(c.id); !ok || transfer.Member != a.member.Name {
			m.Fatalf("request %d: ReleaseFlow = %v with member %s, want true with %s",
				c.id, ok, transfer.Member, a.member.Name)
		}
		return
	}
	member := m.members[m.draw(len(m.members), "member")]
	c := &modelClient{model: m, established: true, establishedAt: m.now, answers: []string{"served"}, request: Request{Class: m.draw(5, "class")}}
	c.attempts = []*modelAttempt{{member: member, memberAtSend: member.Member, sentAt: m.now}}
	id, _, ok := m.core.AdoptFlow(FlowTransfer{Request: c.request, Member: member.Name}, c)
	if ok != member.known {
		m.Fatalf("AdoptFlow at member %s = %v, want %v", member.Name, ok, member.known)
	}
	if c.id = id; ok {
		m.clients = append(m.clients, c)
	}
}

func (m *model) observe() {
	c := m.pickClient((*modelClient).flowOpen)
	if c == nil {
		return
	}
	switch m.draw(3, "observation") {
	case 0:
		m.core.UpdateLoad(c.id, float64(m.draw(50, "load"))/100)
	case 1:
		m.core.ObserveMessageLatency(c.id, time.Duration(m.draw(400, "latency"))*time.Millisecond)
	default:
		m.core.SetActiveRelays(float64(m.draw(5, "relays")))
	}
}

// advance moves the clock forward and calls Tick whenever it is due.
func (m *model) advance(d time.Duration) {
	end := m.now + d
	for n := 0; m.wakeAt <= end; n++ {
		if n > 100_000 {
			m.Fatalf("more than %d ticks until %v", n-1, m.now)
		}
		m.now, m.wakeAt = max(m.now, m.wakeAt), math.MaxInt64
		m.core.Tick()
		m.check()
	}
	m.now = end
}

// ---- Invariants ----

// check fails the test if something is overdue, or if the core's active requests or flows differ
// from the model's.
func (m *model) check() {
	flows := map[string]int{}
	for _, c := range m.clients {
		a := c.currentAttempt()
		if a != nil {
			flows[a.member.Name]++
		}
		if tickDue := m.wakeAt <= m.now; !c.gone && !tickDue {
			c.checkOverdue(a)
		}
		if active := !c.settled(); m.core.IsActive(c.id) != active {
			m.Fatalf("request %d: IsActive = %v, want %v", c.id, !active, active)
		}
	}
	for _, member := range m.members {
		if n := m.core.FlowCount(member.ID); n != flows[member.Name] {
			m.Fatalf("FlowCount of %s = %d, want %d", member.Name, n, flows[member.Name])
		}
	}
}

// injectAction applies an action that only a faulty policy would request. The invariants must hold
// nevertheless.
func (m *model) injectAction() {
	if !m.faultyPolicy {
		return
	}
	c := m.pickClient(func(c *modelClient) bool { return !c.settled() })
	if c == nil || m.draw(6, "any") == 0 {
		c = m.pickClient(func(c *modelClient) bool { return true })
	}
	if c == nil {
		return
	}
	kind := policy.ActionSend
	if m.draw(2, "send") == 0 {
		kind = policy.ActionKind(m.draw(int(policy.ActionWait)+1, "kind"))
	}
	action := policy.Action{Kind: kind, ID: c.id, Member: policy.MemberID(10 + m.draw(7, "member")),
		Attempt: m.draw(4, "attempt"), Duration: time.Duration(m.draw(900, "duration")) * time.Millisecond}
	m.core.apply([]policy.Action{action})
}

// modelSteps are the events that are drawn at random, each with its relative frequency.
var modelSteps = []struct {
	name   string
	weight int
	do     func(m *model)
}{
	{"arrive", 10, (*model).arrive},
	{"establish", 5, (*model).establishOne},
	{"end", 7, (*model).endOneAttempt},
	{"stale", 1, (*model).sendStaleEvents},
	{"disconnect", 2, func(m *model) {
		if c := m.pickClient(func(c *modelClient) bool { return !c.settled() }); c != nil {
			c.disconnect()
		}
	}},
	{"reenter", 2, func(m *model) { m.reentrant = true }},
	{"probe answer", 4, (*model).answerProbe},
	{"member list", 3, (*model).updateMembers},
	{"ejection", 1, (*model).toggleEjection},
	{"removals", 1, (*model).setRemovals},
	{"drain", 1, (*model).toggleDrain},
	{"pause dispatch", 2, (*model).togglePause},
	{"handover", 1, (*model).handOver},
	{"faulty action", 6, (*model).injectAction},
	{"observation", 1, (*model).observe},
	{"recorder", 1, func(m *model) { m.notReady = !m.notReady && m.draw(4, "not ready") == 0 }},
	{"time", 6, func(m *model) {
		m.advance([]time.Duration{0, time.Millisecond, 30 * time.Millisecond, 249 * time.Millisecond, 251 * time.Millisecond, 700 * time.Millisecond, 2 * time.Second}[m.draw(7, "time")])
	}},
	{"stall", 1, func(m *model) { m.now += time.Duration(1+m.draw(900, "stall")) * time.Millisecond }},
}

// TestModel applies random sequences of events to a core, and checks everything that clients,
// members and the recorder see of it.
func TestModel(t *testing.T) {
	var steps []int
	for i, s := range modelSteps {
		steps = append(steps, slices.Repeat([]int{i}, s.weight)...)
	}
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		m.faultyPolicy = m.draw(4, "faulty policy") == 0
		for _, member := range m.members[:4] {
			member.State, member.known = policy.Ready, true
		}
		m.updateAvailability()
		m.core.UpdateMembers(policy.ListCached, []Member{m.members[0].Member, m.members[1].Member, m.members[2].Member, m.members[3].Member})
		n := 1 + m.draw(160, "steps")
		stop := m.draw(2*n, "stop")
		for i := range n {
			if i == stop {
				m.stop()
			}
			s := modelSteps[steps[m.draw(len(steps), "step")]]
			s.do(m)
			// After a stall the event loop handles the next event before the timers that are due.
			if s.name != "stall" {
				m.advance(0)
				m.check()
			}
		}
		m.finish()
	})
}

// finish stops the relay and checks that nothing remains.
func (m *model) finish() {
	m.advance(0)
	m.stop()
	m.advance([]time.Duration{0, 300 * time.Millisecond, m.core.StopTimeout()}[m.draw(3, "time to stop")])
	m.core.FinishStop()
	m.finished = true
	m.check()
	if n := m.core.ActiveRequests(); n > 0 {
		m.Fatalf("%d requests are active after FinishStop, want 0", n)
	}
	attempts, migrations := 0, 0
	for _, c := range m.clients {
		if attempts += len(c.attempts); len(c.answers) == 0 != c.gone && !(c.gone && c.established) {
			m.Fatalf("request %d: answers %v, client gone %v; want an answer unless the client has gone",
				c.id, c.answers, c.gone)
		}
		migrations += c.migrations
		if c.currentAttempt() != nil {
			m.Fatalf("request %d: an attempt is in flight after FinishStop", c.id)
		}
		if m.records[fmt.Sprintf("answer %d", c.id)] != 1 {
			m.Fatalf("request %d: its answer was recorded %d times, want once",
				c.id, m.records[fmt.Sprintf("answer %d", c.id)])
		}
	}
	counts := m.core.Counts
	if !m.faultyPolicy && counts.IgnoredEvents != m.repeatedEstablished {
		m.Fatalf("%d events ignored, want %d, all of them repeated calls of FlowEstablished",
			counts.IgnoredEvents, m.repeatedEstablished)
	}
	if len(m.records) != len(m.clients)+attempts || counts.Requests != len(m.clients) || counts.Attempts != attempts || counts.Migrations != migrations ||
		counts.Served+counts.Rejected+counts.Failed+counts.ClientsGone != counts.Requests || counts.SentAfterGrace > 0 {
		m.Fatalf("counts %+v, %d records; want %d requests with one answer each, %d attempts, %d migrations, "+
			"none sent after the grace, one record for each request and attempt",
			counts, len(m.records), len(m.clients), attempts, migrations)
	}
	for range 5 {
		m.sendStaleEvents()
	}
	if m.paused {
		m.togglePause()
	}
	m.advance(20 * time.Second) // longer than any deadline, timer or spread
	if m.core.pausedActions != nil || len(m.core.timers) > 0 || len(m.core.pendingActions) > 0 || len(m.core.requests) > 0 {
		m.Fatalf("left after the end: %d paused actions, %d timers, %d pending actions, %d requests; want none",
			len(m.core.pausedActions), len(m.core.timers), len(m.core.pendingActions), len(m.core.requests))
	}
	m.core.UpdateMembers(policy.ListFull, nil)
	// The policy keeps a member that is no longer listed only for its open flows.
	if members := m.core.LearnedState().Policy.Members; len(members) > 0 && !m.faultyPolicy {
		m.Fatalf("the policy still counts open flows at %v", members)
	}
}

package core

import (
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"dahliarudder/policy"
)

const defaultSettings = `{"balancers":1,"zones":["a"],
 "classes":[{"name":"pay","aim-ms":400,"deadline-ms":2000,"effect":"read_like","key-scope":"all"}],
 "limits":{"max-attempts":3,"cancel":true,"probes":false,"connect-timeout-ms":250},
 "guarantees":{"answer-slack-ms":8,"drain-grace-ms":250},"extra":{"message-aim-ms":[90]}}`

// harness is a core on a fake clock, and what it requested of its fronts and recorder.
type harness struct {
	*Core
	t           *testing.T
	now         time.Duration
	wakeAt      time.Duration
	downstreams map[ID]*downstream
	records     []string
	notReady    bool
}

// downstream keeps the calls that it receives, and checks that they are allowed.
type downstream struct {
	harness    *harness
	id         ID
	inFlight   int // attempts in flight
	attempts   int
	answers    []string
	migrations int
	timeout    time.Duration
	member     string
	retryAfter time.Duration // of the rejection
}

func (d *downstream) Send(id ID, to *Member, attempt int, timeout time.Duration) {
	d.id, d.timeout, d.member = id, timeout, to.Name
	d.harness.downstreams[id] = d
	d.inFlight++
	d.attempts++
	if d.inFlight > 1 || len(d.answers) > 0 || attempt != d.attempts-1 || d.attempts > 3 || timeout <= 0 {
		d.harness.t.Errorf("send: attempt %d, %d in flight, answers %v, timeout %v", attempt, d.inFlight, d.answers, timeout)
	}
}
func (d *downstream) Cancel(int) { d.inFlight-- }
func (d *downstream) Reject(retryAfter time.Duration) {
	d.retryAfter = retryAfter
	d.answer("rejected")
}
func (d *downstream) Fail()    { d.answer("failed") }
func (d *downstream) Migrate() { d.migrations++; d.inFlight-- }
func (d *downstream) answer(answer string) {
	if d.answers = append(d.answers, answer); len(d.answers) > 1 || d.inFlight > 0 {
		d.harness.t.Errorf("answers %v with %d attempts in flight", d.answers, d.inFlight)
	}
}

func (h *harness) Ready() bool { return !h.notReady }
func (h *harness) RecordAttempt(_ *Request, id ID, attempt int, _ string, _, _ time.Duration, _ policy.Result) {
	h.records = append(h.records, fmt.Sprintf("attempt %d.%d", id, attempt))
}
func (h *harness) RecordAnswer(_ *Request, id ID, _ time.Duration, _ Answer, _ int) {
	h.records = append(h.records, fmt.Sprintf("answer %d", id))
}

// newHarness starts a core with the default settings and members ready servers.
func newHarness(t *testing.T, members int) *harness {
	t.Helper()
	return newHarnessWith(t, defaultSettings, testMembers(members, policy.Ready))
}

// testMembers returns the members m0, m1 and so on, whose server IDs count from 10.
func testMembers(n int, state policy.ServerState) []Member {
	members := make([]Member, n)
	for i := range members {
		members[i].Server = policy.Server{ID: policy.ServerID(10 + i), State: state, Weight: 1}
		members[i].Name = fmt.Sprint("m", i)
	}
	return members
}

// openRequest opens a request whose client waits for two seconds.
func (h *harness) openRequest() *downstream {
	d := &downstream{harness: h}
	d.id = h.Open(Request{Load: 0.01, TimeLeft: 2 * time.Second}, d)
	return d
}

// establishFlows opens n requests and establishes their flows.
func (h *harness) establishFlows(n int) (flows []*downstream) {
	for range n {
		d := h.openRequest()
		h.FlowEstablished(d.id, 0)
		flows = append(flows, d)
	}
	return flows
}

// advance moves the clock on, with a Tick whenever one is due.
func (h *harness) advance(by time.Duration) {
	for end := h.now + by; ; {
		if h.wakeAt > end {
			h.now = end
			return
		}
		h.now, h.wakeAt = max(h.now, h.wakeAt), math.MaxInt64
		h.Tick()
	}
}

// TestServed: a flow is established, ends and leaves nothing behind.
func TestServed(t *testing.T) {
	h := newHarness(t, 2)
	d := h.openRequest()
	if d.inFlight != 1 || !h.FlowEstablished(d.id, 0) || h.FlowEstablished(d.id, 0) {
		t.Fatal("not established, or established twice")
	}
	h.AttemptEnded(d.id, 0, policy.OK, policy.NoReport)
	if h.ActiveRequests() != 0 || h.Counts.Served != 1 || len(h.records) != 2 {
		t.Errorf("%d active, counts %+v, records %v", h.ActiveRequests(), h.Counts, h.records)
	}
}

// TestStaleEvents: a front's events about an attempt that has ended change nothing.
func TestStaleEvents(t *testing.T) {
	h := newHarness(t, 3)
	d := h.openRequest()
	d.inFlight--
	h.AttemptEnded(d.id, 0, policy.ConnectFailed, policy.NoReport)
	if d.attempts != 2 {
		t.Fatalf("%d attempts", d.attempts)
	}
	if h.FlowEstablished(d.id, 0) {
		t.Error("established by an attempt that failed")
	}
	h.AttemptEnded(d.id, 0, policy.Reset, policy.NoReport)
	if d.inFlight != 1 || d.attempts != 2 {
		t.Errorf("%d in flight, %d attempts", d.inFlight, d.attempts)
	}
}

// TestMayStart: the policy's action does not start an attempt that the request's state, attempts, deadline or member forbids.
func TestMayStart(t *testing.T) {
	h := newHarness(t, 2)
	d := h.openRequest()
	q, m := h.requests[d.id], h.members[11]
	mayStart := func(m *member) bool { return h.mayStart(h.now, q.state != placing, q.attempts, q.deadline, m) }
	if mayStart(m) {
		t.Error("a second attempt while one is in flight")
	}
	q.state = placing
	if !mayStart(m) {
		t.Fatal("an allowed attempt is blocked")
	}
	for name, forbid := range map[string]func() (undo func()){
		"serving":  func() func() { q.state = serving; return func() { q.state = placing } },
		"over":     func() func() { q.state = finished; return func() { q.state = placing } },
		"attempts": func() func() { q.attempts = 3; return func() { q.attempts = 1 } },
		"late":     func() func() { q.deadline = h.now; return func() { q.deadline = h.now + time.Second } },
		"left": func() func() {
			m.unavailable, m.unavailableSince = true, h.now-251*time.Millisecond
			return func() { m.unavailable = false }
		},
	} {
		undo := forbid()
		if mayStart(m) {
			t.Errorf("%s: the attempt is allowed", name)
		}
		undo()
	}
	m.unavailable, m.unavailableSince = true, h.now-250*time.Millisecond
	if !mayStart(m) || mayStart(nil) {
		t.Error("blocked within the drain grace, or allowed for an unknown member")
	}
}

// TestDeadline: an attempt without an outcome times out in time for another one, and the request is answered by its deadline.
func TestDeadline(t *testing.T) {
	h := newHarness(t, 1)
	d := h.openRequest()
	if h.advance(d.timeout - time.Millisecond); len(d.answers) != 0 || d.inFlight != 1 {
		t.Errorf("timed out too early: %v, %d in flight", d.answers, d.inFlight)
	}
	if h.advance(time.Millisecond); d.inFlight != 0 {
		t.Error("not timed out")
	}
	h.advance(2*time.Second - d.timeout)
	if len(d.answers) != 1 || d.inFlight != 0 || h.ActiveRequests() != 0 {
		t.Errorf("answers %v, %d in flight, %d active", d.answers, d.inFlight, h.ActiveRequests())
	}
}

// TestResumedFlow: a resumed flow goes to its current member, and fails if that is unknown.
func TestResumedFlow(t *testing.T) {
	h := newHarness(t, 2)
	d, lost := &downstream{harness: h}, &downstream{harness: h}
	id := h.Open(Request{CurrentMember: "m1", TimeLeft: time.Second}, d)
	if d.inFlight != 1 || !h.FlowEstablished(id, 0) {
		t.Fatal("not established")
	}
	h.UpdateMembers(policy.ListDelta, testMembers(2, policy.Draining)[1:])
	if d.migrations != 1 {
		t.Error("not migrated from a draining member")
	}
	h.Open(Request{CurrentMember: "elsewhere", TimeLeft: time.Second}, lost)
	if len(lost.answers) != 1 {
		t.Error("no answer for an unknown member")
	}
}

// TestRecorderNotReady: a request that could not be recorded is rejected, and never sent.
func TestRecorderNotReady(t *testing.T) {
	h := newHarness(t, 1)
	h.notReady = true
	if d := h.openRequest(); d.attempts != 0 || len(d.answers) != 1 || d.answers[0] != "rejected" {
		t.Errorf("%d attempts, answers %v", d.attempts, d.answers)
	}
}

// TestStop: a graceful shutdown rejects new requests, waits for pending ones, and migrates every flow, none before clients are no longer
// sent here.
func TestStop(t *testing.T) {
	h := newHarness(t, 2)
	flows := h.establishFlows(5)
	pending := h.openRequest()
	h.Stop()
	if d := h.openRequest(); len(d.answers) != 1 || d.answers[0] != "rejected" {
		t.Errorf("a request during the stop: %v", d.answers)
	}
	if got := h.Counts.BackoffTime; got != stopRetryAfter {
		t.Errorf("backoff time %v, want %v", got, stopRetryAfter)
	}
	h.advance(fraction(stopMigrationStart, h.StopTimeout()) - time.Millisecond)
	for _, d := range flows {
		if d.migrations != 0 {
			t.Error("migrated too early")
		}
	}
	h.FlowEstablished(pending.id, 0)
	h.advance(2 * time.Second)
	for _, d := range append(flows, pending) {
		if d.migrations != 1 {
			t.Errorf("migrated %d times", d.migrations)
		}
	}
	if h.ActiveRequests() != 0 {
		t.Errorf("%d active", h.ActiveRequests())
	}
}

// TestEject: an ejected member gets nothing new, neither by discovery nor by a resumed flow, and its flows are migrated. Reinstated, it
// counts as just started until discovery knows its start, and its old failures are forgotten. Two ejections need one reinstatement.
func TestEject(t *testing.T) {
	h := newHarness(t, 1)
	var probed int
	h.Probe = func(*Member) { probed++ }
	d := h.openRequest()
	h.FlowEstablished(d.id, 0)
	h.Eject("m0")
	h.Eject("m0")
	if d.migrations != 1 || !h.IsKnownMember("m0") || h.IsKnownMember("m9") || h.HasUsableMember() {
		t.Errorf("migrated %d times", d.migrations)
	}
	h.UpdateMembers(policy.ListFull, testMembers(1, policy.Ready))
	h.advance(251 * time.Millisecond)
	if late := h.openRequest(); late.attempts != 0 {
		t.Error("sent to an ejected member")
	}
	resumed := &downstream{harness: h}
	if h.Open(Request{CurrentMember: "m0", TimeLeft: time.Second}, resumed); resumed.attempts != 0 || len(resumed.answers) != 1 || resumed.answers[0] != "rejected" {
		t.Errorf("a resumed flow of an ejected member: %d attempts, answers %v", resumed.attempts, resumed.answers)
	}
	h.execute(policy.Action{Kind: policy.ActionProbe, Server: 10})
	if probed != 0 || h.Reachable(10) {
		t.Error("an ejected member was probed")
	}
	h.Reinstate("m0")
	m := h.members[10]
	if m.unavailable || m.Started != h.now || !h.HasUsableMember() {
		t.Errorf("reinstated: %+v", m)
	}
	h.Reinstate("m0")
	listed := testMembers(1, policy.Ready)
	listed[0].Started = h.now - 3*time.Second
	h.UpdateMembers(policy.ListDelta, listed)
	if m.Started != listed[0].Started {
		t.Errorf("started at %v by discovery, at %v by the core", listed[0].Started, m.Started)
	}
	until := h.now + 10*time.Second
	for d = h.openRequest(); d.attempts == 0 && h.now < until; d = h.openRequest() {
		h.advance(100 * time.Millisecond)
	}
	if d.attempts == 0 {
		t.Error("never used again")
	}
}

// TestPauseDispatch: nothing is sent while dispatch is paused, as after a suspension of the process. Resumed, waiting requests go only to
// members that are still available, even within the drain grace, and one past its deadline is answered by the relay.
func TestPauseDispatch(t *testing.T) {
	h := newHarness(t, 4)
	h.PauseDispatch()
	var waiting []*downstream
	for range 20 {
		waiting = append(waiting, h.openRequest())
	}
	gone := h.openRequest()
	for _, d := range waiting {
		if d.attempts > 0 || len(d.answers) > 0 {
			t.Fatalf("%d attempts, answers %v", d.attempts, d.answers)
		}
	}
	h.ClientGone(gone.id)
	h.UpdateMembers(policy.ListDelta, testMembers(4, policy.Draining)[1:])
	h.ResumeDispatch()
	h.ResumeDispatch()
	sent := 0
	for i, d := range waiting {
		if sent += d.attempts; d.attempts > 0 && d.member != "m0" {
			t.Errorf("request %d: sent to %q", i, d.member)
		}
	}
	if sent < 3 {
		t.Errorf("%d of the waiting requests were sent", sent)
	}
	if gone.attempts > 0 {
		t.Error("sent for a client that has gone")
	}
	h.PauseDispatch()
	d := h.openRequest()
	h.advance(3 * time.Second)
	if d.attempts > 0 || len(d.answers) != 1 {
		t.Errorf("%d attempts, answers %v", d.attempts, d.answers)
	}
	h.ResumeDispatch()
	if d.attempts > 0 || len(d.answers) != 1 {
		t.Errorf("after its answer: %d attempts, answers %v", d.attempts, d.answers)
	}
}

// TestEjectUnlisted: an ejection, as one restored from an earlier process, applies to a member that discovery lists only later.
func TestEjectUnlisted(t *testing.T) {
	h := newHarness(t, 0)
	h.Eject("m0")
	h.UpdateMembers(policy.ListFull, testMembers(1, policy.Ready))
	if h.HasUsableMember() || h.openRequest().attempts != 0 {
		t.Error("sent to an ejected member")
	}
	h.Reinstate("m0")
	if !h.HasUsableMember() {
		t.Error("not reinstated")
	}
}

// TestDrainRelay: a drain still serves what arrives and migrates every flow in time; resume keeps the flows that were not migrated yet, and
// a second drain migrates those.
func TestDrainRelay(t *testing.T) {
	h := newHarness(t, 6)
	var flows []*downstream
	establish := func() {
		d := h.openRequest()
		if !h.FlowEstablished(d.id, 0) {
			t.Fatal("not served")
		}
		flows = append(flows, d)
	}
	for range 8 {
		establish()
	}
	h.Drain()
	h.Drain()
	if h.AcceptsClients() || migrations(flows) != 0 {
		t.Error("clients are still accepted, or flows migrated before the front knows")
	}
	establish()
	h.advance(drainMigrationEnd / 2)
	half := migrations(flows)
	h.Resume()
	h.Resume()
	h.advance(10 * time.Second)
	if !h.AcceptsClients() || half == 0 || half == len(flows) || migrations(flows) != half {
		t.Errorf("%d migrated before the resume, %d in the end, of %d", half, migrations(flows), len(flows))
	}
	establish()
	h.Drain()
	h.advance(drainMigrationEnd + time.Second)
	if migrations(flows) != len(flows) || h.ActiveRequests() != 0 {
		t.Errorf("%d migrated of %d, %d active", migrations(flows), len(flows), h.ActiveRequests())
	}
}

// TestRestore: a core continues from another's learned state on a clock of its own: a reinstated member is as far warmed up as it was.
// SetEjections replaces the ejections before it.
func TestRestore(t *testing.T) {
	old, next := newHarness(t, 3), newHarness(t, 3)
	old.Eject("m1")
	old.Reinstate("m1")
	old.advance(2 * time.Second)
	text, err := json.Marshal(old.LearnedState())
	if err != nil {
		t.Fatal(err)
	}
	var learned LearnedState
	if err := json.Unmarshal(text, &learned); err != nil {
		t.Fatal(err)
	}
	next.now += 5 * time.Minute
	next.Restore(learned)
	if uptime := next.now - next.members[11].Started; uptime != 2*time.Second || next.members[10].Started != 0 {
		t.Errorf("uptime %v", uptime)
	}
	next.SetEjections([]string{"m0", "m2"})
	next.SetEjections([]string{"m2", "m9"})
	if next.members[10].ejected || !next.members[12].ejected || !next.IsKnownMember("m9") {
		t.Error("SetEjections did not replace the ejections")
	}
}

// TestBeginHandover: flows are released to the process that takes over, one by one; those that are left after a while are migrated, all
// within the time of a graceful shutdown.
func TestBeginHandover(t *testing.T) {
	h := newHarness(t, 2)
	flows := h.establishFlows(5)
	h.BeginHandover()
	next := newHarness(t, 2)
	next.now += time.Hour
	transfer, ok := h.ReleaseFlow(flows[0].id)
	if _, twice := h.ReleaseFlow(flows[0].id); !ok || twice || h.ActiveRequests() != 4 {
		t.Errorf("released %v, twice %v, %d active", ok, twice, h.ActiveRequests())
	}
	d := &downstream{harness: next, inFlight: 1, attempts: 1}
	id, m, ok := next.AdoptFlow(transfer, d)
	if !ok || m.Name != transfer.Member || !next.IsActive(id) || next.FlowEstablished(id, 0) || next.Counts.Served != 1 {
		t.Errorf("adopted %v at %v, counts %+v", ok, m, next.Counts)
	}
	next.AttemptEnded(id, 0, policy.OK, policy.NoReport)
	if next.ActiveRequests() != 0 || d.migrations != 0 || len(d.answers) != 0 {
		t.Errorf("%d active, %+v", next.ActiveRequests(), d)
	}
	if _, _, ok := next.AdoptFlow(FlowTransfer{Member: "m9"}, d); ok {
		t.Error("a flow at an unknown member was adopted")
	}
	h.advance(fraction(handoverEnd, h.StopTimeout()) - time.Millisecond)
	early := migrations(flows)
	h.advance(fraction(stopMigrationEnd, h.StopTimeout()))
	if early != 0 || h.ActiveRequests() != 0 || flows[0].migrations != 0 || flows[1].migrations != 1 {
		t.Errorf("%d migrated early, %d active", early, h.ActiveRequests())
	}
}

// TestFinishStop: at the end of a graceful shutdown every request is answered and every flow migrated.
func TestFinishStop(t *testing.T) {
	h := newHarness(t, 2)
	flow, pending := h.openRequest(), h.openRequest()
	h.FlowEstablished(flow.id, 0)
	h.Stop()
	h.FinishStop()
	if flow.migrations != 1 || len(pending.answers) != 1 || pending.answers[0] != "rejected" || pending.inFlight != 0 || h.ActiveRequests() != 0 {
		t.Errorf("migrated %d times, answers %v, %d active", flow.migrations, pending.answers, h.ActiveRequests())
	}
}

// TestMessageLatency: slow messages at a member are reported at most once a second, and once more when they are fast again.
func TestMessageLatency(t *testing.T) {
	h := newHarness(t, 1)
	d := h.openRequest()
	h.FlowEstablished(d.id, 0)
	m := h.requests[d.id].member
	h.ObserveMessageLatency(d.id, 40*time.Millisecond)
	first := m.slowReportedAt
	h.now += 100 * time.Millisecond
	h.ObserveMessageLatency(d.id, 50*time.Millisecond)
	if !m.slow || m.slowReportedAt != first {
		t.Error("not reported, or reported again at once")
	}
	h.ObserveMessageLatency(d.id, 20*time.Millisecond)
	if m.slow || m.slowReportedAt != h.now {
		t.Error("the end is not reported")
	}
}

// FuzzCore plays random events. The downstream checks that each request has one final answer and at most three attempts, never two in
// flight; the records must hold one answer for each request and one end for each attempt.
func FuzzCore(f *testing.F) {
	for seed := range uint64(8) {
		f.Add(seed, uint16(400))
	}
	f.Fuzz(func(t *testing.T, seed uint64, steps uint16) {
		rng := rand.New(rand.NewPCG(seed, 1))
		h := newHarness(t, 4)
		var requests []*downstream
		states := []policy.ServerState{policy.Ready, policy.Ready, policy.Ready, policy.Draining, policy.Gone}
		results := []policy.Result{policy.OK, policy.Error, policy.Full, policy.ConnectFailed, policy.Reset}
		for range min(steps, 2000) {
			if rng.IntN(3) == 0 || len(requests) == 0 {
				requests = append(requests, h.openRequest())
			}
			d := requests[rng.IntN(len(requests))]
			switch q := h.requests[d.id]; rng.IntN(7) {
			case 0:
				if q != nil && q.member != nil {
					h.FlowEstablished(d.id, d.attempts-1)
				}
			case 1:
				if q != nil && q.member != nil {
					d.inFlight--
					h.AttemptEnded(d.id, d.attempts-1, results[rng.IntN(len(results))], policy.NoReport)
				}
			case 2:
				if rng.IntN(4) == 0 {
					h.ClientGone(d.id)
				}
			case 4:
				name := fmt.Sprint("m", rng.IntN(4))
				[]func(){func() { h.Eject(name) }, func() { h.Reinstate(name) }, h.Drain, h.Resume}[rng.IntN(4)]()
			case 3:
				changed := testMembers(4, states[rng.IntN(len(states))])[rng.IntN(4):][:1]
				h.UpdateMembers(policy.ListDelta, changed)
			default:
				h.advance(time.Duration(rng.IntN(300)) * time.Millisecond)
			}
		}
		h.Stop()
		h.Resume() // ends a drain, not the stop
		h.advance(5 * time.Second)
		c := h.Counts
		if h.ActiveRequests() != 0 || c.Requests != len(requests) || c.Served+c.Rejected+c.Failed+c.ClientsGone != c.Requests {
			t.Errorf("%d active, %d requests, counts %+v", h.ActiveRequests(), len(requests), c)
		}
		seen := map[string]bool{}
		for _, event := range h.records {
			if seen[event] {
				t.Errorf("recorded twice: %s", event)
			}
			seen[event] = true
		}
		if len(h.records) != c.Requests+c.Attempts {
			t.Errorf("%d records of %+v", len(h.records), c)
		}
	})
}

// TestFleetRemovals: a member that the fleet removes gets nothing new, and its flows are migrated over the agreed time. If the removal is
// revoked, the other flows stay; removed again, they are migrated, though the policy requests that once. When discovery lists the member
// as draining, all are migrated at once. An operator's ejection outlives the fleet's removal.
func TestFleetRemovals(t *testing.T) {
	const members = 12
	h := newHarness(t, members)
	var flows []*downstream
	for _, d := range h.establishFlows(40) {
		if d.inFlight == 1 {
			flows = append(flows, d)
		}
	}
	total := len(flows)
	removals := map[string]Removal{}
	for _, m := range testMembers(members, policy.Ready) {
		removals[m.Name] = Removal{SpreadOver: 10 * time.Second}
	}
	h.SetFleetRemovals(removals)
	h.advance(5 * time.Second)
	if n := migrations(flows); total < 20 || n < total/3 || n > total-total/3 {
		t.Fatalf("%d of %d migrated after half of the time", n, total)
	}
	if d := h.openRequest(); d.inFlight > 0 {
		t.Error("sent to a member that the fleet removed")
	}
	h.SetFleetRemovals(nil)
	before := migrations(flows)
	h.advance(20 * time.Second)
	if migrations(flows) != before {
		t.Fatalf("%d migrated after the removal was revoked", migrations(flows)-before)
	}
	if d := h.openRequest(); d.inFlight == 0 {
		t.Error("a member that was warm before the revoked removal gets nothing")
	}
	h.SetFleetRemovals(removals)
	h.advance(7 * time.Second) // the earliest were migrated by the first removal
	if n := migrations(flows); n == before || n == total {
		t.Errorf("%d migrated seven seconds after the second removal", n)
	}
	h.UpdateMembers(policy.ListDelta, testMembers(members, policy.Draining))
	if n := migrations(flows); n != total {
		t.Errorf("%d of %d migrated when discovery lists the members as draining", n, total)
	}
	h.UpdateMembers(policy.ListDelta, testMembers(1, policy.Ready))
	h.Eject("m0")
	h.SetFleetRemovals(nil)
	if d := h.openRequest(); d.inFlight > 0 {
		t.Error("an operator's ejection ended with the fleet's removal")
	}
	if got := h.Ejected(); len(got) != 1 {
		t.Errorf("ejected here: %v", got)
	}
}

// TestStopTimeoutShortDeadline: with clients that wait for a second at most, SIGKILL comes 1.7 s after SIGTERM: no flow is left then.
func TestStopTimeoutShortDeadline(t *testing.T) {
	h := newHarnessWith(t, strings.Replace(defaultSettings, `"deadline-ms":2000`, `"deadline-ms":1000`, 1), testMembers(3, policy.Ready))
	h.establishFlows(3)
	h.Stop()
	h.advance(h.StopTimeout())
	if h.StopTimeout() > 1200*time.Millisecond || h.ActiveRequests() > 0 {
		t.Errorf("a stop takes %v, and %d flows are left then", h.StopTimeout(), h.ActiveRequests())
	}
}

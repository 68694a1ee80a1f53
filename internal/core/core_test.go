package core

import (
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"dahliarudder/internal/settings"
	"dahliarudder/policy"
)

const text = `{"balancers":1,"zones":["a"],
 "classes":[{"name":"pay","aim-ms":400,"deadline-ms":2000,"effect":"read_like","key-scope":"all"}],
 "limits":{"max-attempts":3,"cancel":true,"probes":false,"connect-timeout-ms":250},
 "guarantees":{"answer-slack-ms":8,"drain-grace-ms":250},"extra":{"message-aim-ms":[90]}}`

// rig is a core on a clock of the test's, and what it asked of its front.
type rig struct {
	*Core
	t    *testing.T
	now  time.Duration
	wake time.Duration
	out  map[ID]*side
	book []string
	shut bool
}

// side is a downstream that keeps what it receives.
type side struct {
	r       *rig
	id      ID
	out     int // attempts out
	tries   int
	answers []string
	moved   int
	wait    time.Duration
	to      string
	after   time.Duration // as it was rejected
}

func (s *side) Send(id ID, to *Member, try int, wait time.Duration) {
	s.id, s.wait, s.to = id, wait, to.Name
	s.r.out[id] = s
	s.out++
	s.tries++
	if s.out > 1 || len(s.answers) > 0 || try != s.tries-1 || s.tries > 3 || wait <= 0 {
		s.r.t.Errorf("send: try %d, %d out, answers %v, wait %v", try, s.out, s.answers, wait)
	}
}
func (s *side) Cancel(int) { s.out-- }
func (s *side) Reject(after time.Duration) {
	s.after = after
	s.final("rejected")
}
func (s *side) Fail()    { s.final("failed") }
func (s *side) Migrate() { s.moved++; s.out-- }
func (s *side) final(answer string) {
	if s.answers = append(s.answers, answer); len(s.answers) > 1 || s.out > 0 {
		s.r.t.Errorf("answers %v with %d attempts out", s.answers, s.out)
	}
}

func (r *rig) Ready() bool { return !r.shut }
func (r *rig) RecordAttempt(_ *Request, id ID, try int, _ string, _, _ time.Duration, _ policy.Result) {
	r.book = append(r.book, fmt.Sprintf("attempt %d.%d", id, try))
}
func (r *rig) RecordAnswer(_ *Request, id ID, _ time.Duration, a Answer, _ int) {
	r.book = append(r.book, fmt.Sprintf("answer %d", id))
}

func newRig(t *testing.T, members int) *rig {
	set, err := settings.Decode([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	r := &rig{t: t, now: time.Hour, out: map[ID]*side{}}
	r.Core = New(Options{Settings: set, Seed: 7, Clock: func() time.Duration { return r.now },
		Wake: func(at time.Duration) { r.wake = at }, Probe: func(*Member) {}, Watch: func() {}, Recorder: r})
	r.UpdateMembers(policy.ListCached, list(members, policy.Ready))
	return r
}

func list(n int, state policy.ServerState) []Member {
	out := make([]Member, n)
	for i := range out {
		out[i].Server = policy.Server{ID: policy.ServerID(10 + i), State: state, Weight: 1}
		out[i].Name = fmt.Sprint("m", i)
	}
	return out
}

// open brings a request that waits for two seconds.
func (r *rig) open() *side {
	s := &side{r: r}
	s.id = r.Open(Request{Load: 0.01, TimeLeft: 2 * time.Second}, s)
	return s
}

// up brings so many flows that stand.
func (r *rig) up(n int) (all []*side) {
	for range n {
		s := r.open()
		r.FlowEstablished(s.id, 0)
		all = append(all, s)
	}
	return all
}

// pass moves the clock on, with a Tick whenever one is due.
func (r *rig) pass(d time.Duration) {
	for end := r.now + d; ; {
		if r.wake > end {
			r.now = end
			return
		}
		r.now, r.wake = max(r.now, r.wake), math.MaxInt64
		r.Tick()
	}
}

// TestServed: a flow comes up, ends and leaves nothing behind.
func TestServed(t *testing.T) {
	r := newRig(t, 2)
	s := r.open()
	if s.out != 1 || !r.FlowEstablished(s.id, 0) || r.FlowEstablished(s.id, 0) {
		t.Fatal("not up, or up twice")
	}
	r.AttemptEnded(s.id, 0, policy.OK, policy.NoReport)
	if r.ActiveRequests() != 0 || r.Counts.Served != 1 || len(r.book) != 2 {
		t.Errorf("held %d, counts %+v, book %v", r.ActiveRequests(), r.Counts, r.book)
	}
}

// TestStale: what a front says of an attempt that is over changes nothing.
func TestStale(t *testing.T) {
	r := newRig(t, 3)
	s := r.open()
	s.out--
	r.AttemptEnded(s.id, 0, policy.ConnectFailed, policy.NoReport)
	if s.tries != 2 {
		t.Fatalf("%d tries", s.tries)
	}
	if r.FlowEstablished(s.id, 0) {
		t.Error("up by an attempt that failed")
	}
	r.AttemptEnded(s.id, 0, policy.Reset, policy.NoReport)
	if s.out != 1 || s.tries != 2 {
		t.Errorf("%d out, %d tries", s.out, s.tries)
	}
}

// TestMayStart: the policy's action alone starts no attempt.
func TestMayStart(t *testing.T) {
	r := newRig(t, 2)
	s := r.open()
	q, m := r.requests[s.id], r.members[11]
	open := func(m *member) bool { return r.mayStart(r.now, q.state != placing, q.attempts, q.deadline, m) }
	if open(m) {
		t.Error("a second attempt while one is out")
	}
	q.state = placing
	if !open(m) {
		t.Fatal("the gate is shut")
	}
	for name, shut := range map[string]func() (undo func()){
		"serving": func() func() { q.state = serving; return func() { q.state = placing } },
		"over":    func() func() { q.state = finished; return func() { q.state = placing } },
		"tries":   func() func() { q.attempts = 3; return func() { q.attempts = 1 } },
		"late":    func() func() { q.deadline = r.now; return func() { q.deadline = r.now + time.Second } },
		"left": func() func() {
			m.unavailable, m.unavailableSince = true, r.now-251*time.Millisecond
			return func() { m.unavailable = false }
		},
	} {
		undo := shut()
		if open(m) {
			t.Errorf("%s: the gate is open", name)
		}
		undo()
	}
	m.unavailable, m.unavailableSince = true, r.now-250*time.Millisecond
	if !open(m) || open(nil) {
		t.Error("the grace is not kept, or an unknown member let in")
	}
}

// TestDeadline: an attempt that says nothing is given up in time for another, and
// the request has its final answer before its client gives up.
func TestDeadline(t *testing.T) {
	r := newRig(t, 1)
	s := r.open()
	if r.pass(s.wait - time.Millisecond); len(s.answers) != 0 || s.out != 1 {
		t.Errorf("given up too early: %v, %d out", s.answers, s.out)
	}
	if r.pass(time.Millisecond); s.out != 0 {
		t.Error("not given up")
	}
	r.pass(2*time.Second - s.wait)
	if len(s.answers) != 1 || s.out != 0 || r.ActiveRequests() != 0 {
		t.Errorf("answers %v, %d out, held %d", s.answers, s.out, r.ActiveRequests())
	}
}

// TestResumedFlow: a flow that was open goes to its member, and fails if that
// does not take it.
func TestResumedFlow(t *testing.T) {
	r := newRig(t, 2)
	s, lost := &side{r: r}, &side{r: r}
	id := r.Open(Request{CurrentMember: "m1", TimeLeft: time.Second}, s)
	if s.out != 1 || !r.FlowEstablished(id, 0) {
		t.Fatal("not up")
	}
	r.UpdateMembers(policy.ListDelta, list(2, policy.Draining)[1:])
	if s.moved != 1 {
		t.Error("not moved from a draining member")
	}
	r.Open(Request{CurrentMember: "elsewhere", TimeLeft: time.Second}, lost)
	if len(lost.answers) != 1 {
		t.Error("no answer for an unknown member")
	}
}

// TestRecorderNotReady: what would not be recorded is rejected, and never sent.
func TestRecorderNotReady(t *testing.T) {
	r := newRig(t, 1)
	r.shut = true
	if s := r.open(); s.tries != 0 || len(s.answers) != 1 || s.answers[0] != "rejected" {
		t.Errorf("tries %d, answers %v", s.tries, s.answers)
	}
}

// TestStop: a planned stop rejects what comes, waits for what is on its way, and
// moves every flow, none while clients are still sent here.
func TestStop(t *testing.T) {
	r := newRig(t, 2)
	up := r.up(5)
	late := r.open()
	r.Stop()
	if s := r.open(); len(s.answers) != 1 || s.answers[0] != "rejected" {
		t.Errorf("a request during the stop: %v", s.answers)
	}
	if away := r.Counts.BackoffTime; away != stopRetryAfter {
		t.Errorf("one was sent away for %v, counted %v", stopRetryAfter, away)
	}
	r.pass(fraction(stopMigrationStart, r.StopTimeout()) - time.Millisecond)
	for _, s := range up {
		if s.moved != 0 {
			t.Error("moved too early")
		}
	}
	r.FlowEstablished(late.id, 0)
	r.pass(2 * time.Second)
	for _, s := range append(up, late) {
		if s.moved != 1 {
			t.Errorf("moved %d times", s.moved)
		}
	}
	if r.ActiveRequests() != 0 {
		t.Errorf("held %d", r.ActiveRequests())
	}
}

// TestEject: an ejected member gets nothing new, whatever discovery says and whoever
// asks for it, and its flows are moved; put back it is taken for just started until discovery
// knows of its start, and old failures count no more. Two words out, one back.
func TestEject(t *testing.T) {
	r := newRig(t, 1)
	var probed int
	r.Probe = func(*Member) { probed++ }
	s := r.open()
	r.FlowEstablished(s.id, 0)
	r.Eject("m0")
	r.Eject("m0")
	if s.moved != 1 || !r.IsKnownMember("m0") || r.IsKnownMember("m9") || r.HasUsableMember() {
		t.Errorf("moved %d times", s.moved)
	}
	r.UpdateMembers(policy.ListFull, list(1, policy.Ready))
	r.pass(251 * time.Millisecond)
	if late := r.open(); late.tries != 0 {
		t.Error("sent to a banned member")
	}
	at := &side{r: r}
	if r.Open(Request{CurrentMember: "m0", TimeLeft: time.Second}, at); at.tries != 0 || len(at.answers) != 1 || at.answers[0] != "rejected" {
		t.Errorf("a standing flow of a banned member: %d tries, %v", at.tries, at.answers)
	}
	r.execute(policy.Action{Kind: policy.ActionProbe, Server: 10})
	if probed != 0 || r.Reachable(10) {
		t.Error("a banned member was probed")
	}
	r.Reinstate("m0")
	m := r.members[10]
	if m.unavailable || m.Started != r.now || !r.HasUsableMember() {
		t.Errorf("put back: %+v", m)
	}
	r.Reinstate("m0")
	again := list(1, policy.Ready)
	again[0].Started = r.now - 3*time.Second
	r.UpdateMembers(policy.ListDelta, again)
	if m.Started != again[0].Started {
		t.Errorf("discovery knows of a start at %v, we say %v", again[0].Started, m.Started)
	}
	until := r.now + 10*time.Second
	for s = r.open(); s.tries == 0 && r.now < until; s = r.open() {
		r.pass(100 * time.Millisecond)
	}
	if s.tries == 0 {
		t.Error("never used again")
	}
}

// TestPauseDispatch: while this process does not know what it has missed nothing is sent; then what has waited goes only where it may
// still go, within the grace too, and who waited too long has an answer of the relay's own.
func TestPauseDispatch(t *testing.T) {
	r := newRig(t, 4)
	r.PauseDispatch()
	var all []*side
	for range 20 {
		all = append(all, r.open())
	}
	late := r.open()
	for _, s := range all {
		if s.tries > 0 || len(s.answers) > 0 {
			t.Fatalf("%d tries, answers %v", s.tries, s.answers)
		}
	}
	r.ClientGone(late.id)
	r.UpdateMembers(policy.ListDelta, list(4, policy.Draining)[1:])
	r.ResumeDispatch()
	r.ResumeDispatch()
	sent := 0
	for i, s := range all {
		if sent += s.tries; s.tries > 0 && s.to != "m0" {
			t.Errorf("request %d: at %q", i, s.to)
		}
	}
	if sent < 3 {
		t.Errorf("%d of what has waited was sent", sent)
	}
	if late.tries > 0 {
		t.Error("sent for a client that has left")
	}
	r.PauseDispatch()
	s := r.open()
	r.pass(3 * time.Second)
	if s.tries > 0 || len(s.answers) != 1 {
		t.Errorf("%d tries, answers %v", s.tries, s.answers)
	}
	r.ResumeDispatch()
	if s.tries > 0 || len(s.answers) != 1 {
		t.Errorf("after its answer: %d tries, answers %v", s.tries, s.answers)
	}
}

// TestEjectUnlisted: an ejection that an earlier process has kept holds for a member that
// discovery names only later.
func TestEjectUnlisted(t *testing.T) {
	r := newRig(t, 0)
	r.Eject("m0")
	r.UpdateMembers(policy.ListFull, list(1, policy.Ready))
	if r.HasUsableMember() || r.open().tries != 0 {
		t.Error("sent to a banned member")
	}
	r.Reinstate("m0")
	if !r.HasUsableMember() {
		t.Error("not put back")
	}
}

// TestDrainRelay: a drain serves what arrives and moves every flow in time, and
// resume leaves those where they are that were not moved yet, also in a second drain.
func TestDrainRelay(t *testing.T) {
	r := newRig(t, 6)
	var up []*side
	open := func() {
		s := r.open()
		if !r.FlowEstablished(s.id, 0) {
			t.Fatal("not served")
		}
		up = append(up, s)
	}
	moved := func() (n int) {
		for _, s := range up {
			n += s.moved
		}
		return n
	}
	for range 8 {
		open()
	}
	r.Drain()
	r.Drain()
	if r.AcceptsClients() || moved() != 0 {
		t.Error("clients are still welcome, or moved before the front knows")
	}
	open()
	r.pass(drainMigrationEnd / 2)
	half := moved()
	r.Resume()
	r.Resume()
	r.pass(10 * time.Second)
	if !r.AcceptsClients() || half == 0 || half == len(up) || moved() != half {
		t.Errorf("%d moved by the resume, %d in the end, of %d", half, moved(), len(up))
	}
	open()
	r.Drain()
	r.pass(drainMigrationEnd + time.Second)
	if moved() != len(up) || r.ActiveRequests() != 0 {
		t.Errorf("%d moved of %d, %d held", moved(), len(up), r.ActiveRequests())
	}
}

// TestRestore: a core goes on from what another has learned, by a clock of its own: a
// member put back is as warmed up as it was, and a list of ejections counts as it stands.
func TestRestore(t *testing.T) {
	old, next := newRig(t, 3), newRig(t, 3)
	old.Eject("m1")
	old.Reinstate("m1")
	old.pass(2 * time.Second)
	text, err := json.Marshal(old.LearnedState())
	if err != nil {
		t.Fatal(err)
	}
	var l LearnedState
	if err := json.Unmarshal(text, &l); err != nil {
		t.Fatal(err)
	}
	next.now += 5 * time.Minute
	next.Restore(l)
	if up := next.now - next.members[11].Started; up != 2*time.Second || next.members[10].Started != 0 {
		t.Errorf("up for %v", up)
	}
	next.SetEjections([]string{"m0", "m2"})
	next.SetEjections([]string{"m2", "m9"})
	if next.members[10].ejected || !next.members[12].ejected || !next.IsKnownMember("m9") {
		t.Error("the list of bans does not count as it stands")
	}
}

// TestBeginHandover: with another process in its place flows are passed on to it, one by one,
// and those that are left after a while are moved, all within the time of a stop.
func TestBeginHandover(t *testing.T) {
	r := newRig(t, 2)
	up := r.up(5)
	r.BeginHandover()
	next := newRig(t, 2)
	next.now += time.Hour
	p, ok := r.ReleaseFlow(up[0].id)
	if _, twice := r.ReleaseFlow(up[0].id); !ok || twice || r.ActiveRequests() != 4 {
		t.Errorf("passed %v, twice %v, %d held", ok, twice, r.ActiveRequests())
	}
	s := &side{r: next, out: 1, tries: 1}
	id, m, ok := next.AdoptFlow(p, s)
	if !ok || m.Name != p.Member || !next.IsActive(id) || next.FlowEstablished(id, 0) || next.Counts.Served != 1 {
		t.Errorf("taken %v by %v, counts %+v", ok, m, next.Counts)
	}
	next.AttemptEnded(id, 0, policy.OK, policy.NoReport)
	if next.ActiveRequests() != 0 || s.moved != 0 || len(s.answers) != 0 {
		t.Errorf("%d held, %+v", next.ActiveRequests(), s)
	}
	if _, _, ok := next.AdoptFlow(FlowTransfer{Member: "m9"}, s); ok {
		t.Error("a flow at an unknown member was taken")
	}
	r.pass(fraction(handoverEnd, r.StopTimeout()) - time.Millisecond)
	early := up[0].moved
	for _, s := range up[1:] {
		early += s.moved
	}
	r.pass(fraction(stopMigrationEnd, r.StopTimeout()))
	if early != 0 || r.ActiveRequests() != 0 || up[0].moved != 0 || up[1].moved != 1 {
		t.Errorf("%d moved early, %d held", early, r.ActiveRequests())
	}
}

// TestFinishStop: when the time of a stop is up nobody is left without an answer or
// without being told to move.
func TestFinishStop(t *testing.T) {
	r := newRig(t, 2)
	up, late := r.open(), r.open()
	r.FlowEstablished(up.id, 0)
	r.Stop()
	r.FinishStop()
	if up.moved != 1 || len(late.answers) != 1 || late.answers[0] != "rejected" || late.out != 0 || r.ActiveRequests() != 0 {
		t.Errorf("moved %d, answers %v, held %d", up.moved, late.answers, r.ActiveRequests())
	}
}

// TestMessageLatency: slow messages at one member are told at most once a second, and
// once more when they are fast again.
func TestMessageLatency(t *testing.T) {
	r := newRig(t, 1)
	s := r.open()
	r.FlowEstablished(s.id, 0)
	m := r.requests[s.id].member
	r.ObserveMessageLatency(s.id, 40*time.Millisecond)
	first := m.slowReportedAt
	r.now += 100 * time.Millisecond
	r.ObserveMessageLatency(s.id, 50*time.Millisecond)
	if !m.slow || m.slowReportedAt != first {
		t.Error("not told, or told again at once")
	}
	r.ObserveMessageLatency(s.id, 20*time.Millisecond)
	if m.slow || m.slowReportedAt != r.now {
		t.Error("not told that it is over")
	}
}

// FuzzCore plays random steps and checks what no request may ever see (in side):
// one final answer, at most three attempts, never two out; and that what is
// recorded is one answer a request and one end an attempt.
func FuzzCore(f *testing.F) {
	for seed := range uint64(8) {
		f.Add(seed, uint16(400))
	}
	f.Fuzz(func(t *testing.T, seed uint64, steps uint16) {
		rng := rand.New(rand.NewPCG(seed, 1))
		r := newRig(t, 4)
		var all []*side
		states := []policy.ServerState{policy.Ready, policy.Ready, policy.Ready, policy.Draining, policy.Gone}
		results := []policy.Result{policy.OK, policy.Error, policy.Full, policy.ConnectFailed, policy.Reset}
		for range min(steps, 2000) {
			if rng.IntN(3) == 0 || len(all) == 0 {
				all = append(all, r.open())
			}
			s := all[rng.IntN(len(all))]
			switch q := r.requests[s.id]; rng.IntN(7) {
			case 0:
				if q != nil && q.member != nil {
					r.FlowEstablished(s.id, s.tries-1)
				}
			case 1:
				if q != nil && q.member != nil {
					s.out--
					r.AttemptEnded(s.id, s.tries-1, results[rng.IntN(len(results))], policy.NoReport)
				}
			case 2:
				if rng.IntN(4) == 0 {
					r.ClientGone(s.id)
				}
			case 4:
				name := fmt.Sprint("m", rng.IntN(4))
				[]func(){func() { r.Eject(name) }, func() { r.Reinstate(name) }, r.Drain, r.Resume}[rng.IntN(4)]()
			case 3:
				one := list(4, states[rng.IntN(len(states))])[rng.IntN(4):][:1]
				r.UpdateMembers(policy.ListDelta, one)
			default:
				r.pass(time.Duration(rng.IntN(300)) * time.Millisecond)
			}
		}
		r.Stop()
		r.Resume() // a drain's end is not the stop's
		r.pass(5 * time.Second)
		c := r.Counts
		if r.ActiveRequests() != 0 || c.Requests != len(all) || c.Served+c.Rejected+c.Failed+c.ClientsGone != c.Requests {
			t.Errorf("held %d, %d requests, counts %+v", r.ActiveRequests(), len(all), c)
		}
		seen := map[string]bool{}
		for _, line := range r.book {
			if seen[line] {
				t.Errorf("recorded twice: %s", line)
			}
			seen[line] = true
		}
		if len(r.book) != c.Requests+c.Attempts {
			t.Errorf("%d records of %+v", len(r.book), c)
		}
	})
}

// TestFleetRemovals: a member that the fleet takes out gets nothing new at once, and its flows leave spread over the time that is agreed. Revoked,
// who was not moved stays; agreed again, they are moved, though the policy asks once; when discovery says that it drains, none
// waits; and an operator's own ejection outlives the fleet's decision.
func TestFleetRemovals(t *testing.T) {
	const members = 12
	r := newRig(t, members)
	var all []*side // of flows that stand
	for _, s := range r.up(40) {
		if s.out == 1 {
			all = append(all, s)
		}
	}
	total := len(all)
	moved := func() (n int) {
		for _, s := range all {
			n += s.moved
		}
		return n
	}
	drain := map[string]Removal{}
	for _, m := range list(members, policy.Ready) {
		drain[m.Name] = Removal{SpreadOver: 10 * time.Second}
	}
	r.SetFleetRemovals(drain)
	r.pass(5 * time.Second)
	if n := moved(); total < 20 || n < total/3 || n > total-total/3 {
		t.Fatalf("%d of %d moved after half of the time", n, total)
	}
	if s := r.open(); s.out > 0 {
		t.Error("sent to a member that is agreed out")
	}
	r.SetFleetRemovals(nil)
	before := moved()
	r.pass(20 * time.Second)
	if moved() != before {
		t.Fatalf("%d moved after the drain was revoked", moved()-before)
	}
	if s := r.open(); s.out == 0 {
		t.Error("a member that was warm before the revoked drain gets nothing")
	}
	r.SetFleetRemovals(drain)
	r.pass(7 * time.Second) // the earliest are gone since the first
	if n := moved(); n == before || n == total {
		t.Errorf("%d of all moved seven seconds after the second drain", n)
	}
	gone := list(members, policy.Draining)
	r.UpdateMembers(policy.ListDelta, gone)
	if n := moved(); n != total {
		t.Errorf("%d of %d moved when discovery says that it drains", n, total)
	}
	r.UpdateMembers(policy.ListDelta, list(1, policy.Ready))
	r.Eject("m0")
	r.SetFleetRemovals(nil)
	if s := r.open(); s.out > 0 {
		t.Error("an operator's ban ended with the fleet's")
	}
	if got := r.Ejected(); len(got) != 1 {
		t.Errorf("banned here: %v", got)
	}
}

// TestStopShort: where clients wait for no more than a second, SIGKILL comes 1.7 s after SIGTERM: by then no flow is held.
func TestStopShort(t *testing.T) {
	set, err := settings.Decode([]byte(strings.Replace(text, `"deadline-ms":2000`, `"deadline-ms":1000`, 1)))
	if err != nil {
		t.Fatal(err)
	}
	r := &rig{t: t, now: time.Hour, out: map[ID]*side{}}
	r.Core = New(Options{Settings: set, Seed: 7, Clock: func() time.Duration { return r.now },
		Wake: func(at time.Duration) { r.wake = at }, Probe: func(*Member) {}, Watch: func() {}, Recorder: r})
	r.UpdateMembers(policy.ListCached, list(3, policy.Ready))
	r.up(3)
	r.Stop()
	r.pass(r.StopTimeout())
	if r.StopTimeout() > 1200*time.Millisecond || r.ActiveRequests() > 0 {
		t.Errorf("a stop takes %v, and %d flows are held then", r.StopTimeout(), r.ActiveRequests())
	}
}

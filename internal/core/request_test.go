package core

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"dahliarudder/internal/settings"
	"dahliarudder/policy"
)

// Classes of classesText, by index.
const (
	idempotentClass = iota
	keyScopeAllClass
	keyScopeZoneClass
	nonIdempotentClass
	keyScopeCellClass
)

// classesText has a class of each idempotency and key scope; deduplication windows are shorter than deadlines.
const classesText = `{"balancers":1,"zones":["a","b"],
 "classes":[{"name":"safe","aim-ms":400,"deadline-ms":2000,"effect":"read_like","key-scope":"all"},
  {"name":"all","aim-ms":400,"deadline-ms":2000,"effect":"idempotency_key","key-scope":"all","window-ms":900},
  {"name":"zone","aim-ms":400,"deadline-ms":2000,"effect":"idempotency_key","key-scope":"zone","window-ms":900},
  {"name":"unsafe","aim-ms":400,"deadline-ms":2000,"effect":"non_idempotent","key-scope":"all"},
  {"name":"cell","aim-ms":400,"deadline-ms":2000,"effect":"idempotency_key","key-scope":"cell","window-ms":900}],
 "limits":{"max-attempts":3,"cancel":true,"probes":false,"connect-timeout-ms":250},
 "guarantees":{"answer-slack-ms":8,"drain-grace-ms":250},"extra":{"message-aim-ms":[90]}}`

// newHarnessWith starts a core with these settings and members.
func newHarnessWith(t *testing.T, settingsText string, members []Member) *harness {
	t.Helper()
	set, err := settings.Decode([]byte(settingsText))
	if err != nil {
		t.Fatal(err)
	}
	h := &harness{t: t, now: time.Hour, wakeAt: math.MaxInt64, downstreams: map[ID]*downstream{}}
	h.Core = New(Options{Settings: set, Seed: 7, Clock: func() time.Duration { return h.now },
		Wake: func(at time.Duration) { h.wakeAt = at }, Probe: func(*Member) {}, Watch: func() {}, Recorder: h})
	h.UpdateMembers(policy.ListCached, members)
	return h
}

// openInClass opens a request of a class whose client waits for timeLeft.
func (h *harness) openInClass(class int, timeLeft time.Duration) *downstream {
	d := &downstream{harness: h}
	d.id = h.Open(Request{Class: class, Load: 0.01, TimeLeft: timeLeft}, d)
	return d
}

// endAttempt ends the attempt in flight before it is established.
func (d *downstream) endAttempt(result policy.Result) {
	d.inFlight--
	d.harness.AttemptEnded(d.id, d.attempts-1, result, policy.NoReport)
}

// openThree opens three requests of a class: one with an attempt in flight, one whose attempt has failed but may have run, which the
// policy backs off before it retries, and one whose attempts cannot have run.
func (h *harness) openThree(class int) (sent, mayHaveRun, neverRan *downstream) {
	sent, mayHaveRun, neverRan = h.openInClass(class, 2*time.Second), h.openInClass(class, 2*time.Second), h.openInClass(class, 2*time.Second)
	mayHaveRun.endAttempt(policy.Error)
	neverRan.endAttempt(policy.Full)
	if neverRan.inFlight > 0 {
		neverRan.endAttempt(policy.ConnectFailed)
	}
	return sent, mayHaveRun, neverRan
}

// wantNoFlowsInPolicy checks that the policy has no open flow: it keeps a server that is no longer listed only for those.
func (h *harness) wantNoFlowsInPolicy(when string) {
	h.t.Helper()
	h.UpdateMembers(policy.ListFull, nil)
	if servers := h.facade.LearnedState(h.now).Servers; len(servers) != 0 {
		h.t.Errorf("%s: the policy still has flows at %v", when, servers)
	}
}

// migrations counts the migrations of all flows.
func migrations(flows []*downstream) (n int) {
	for _, d := range flows {
		n += d.migrations
	}
	return n
}

// answerText joins the final answers, of which there may be one at most.
func (d *downstream) answerText() string { return strings.Join(d.answers, ",") }

// TestFinishStopIdempotency: at the end of a graceful shutdown a request that may have run is rejected only if repeating it is harmless; the
// others fail.
func TestFinishStopIdempotency(t *testing.T) {
	for class, want := range map[int]string{idempotentClass: "rejected", keyScopeAllClass: "rejected", keyScopeZoneClass: "failed", keyScopeCellClass: "failed", nonIdempotentClass: "failed"} {
		h := newHarnessWith(t, classesText, testMembers(2, policy.Ready))
		sent, mayHaveRun, neverRan := h.openThree(class)
		if sent.inFlight != 1 || neverRan.inFlight != 0 || neverRan.answerText() != "" {
			t.Fatalf("class %d: %d and %d in flight, answers %v", class, sent.inFlight, neverRan.inFlight, neverRan.answers)
		}
		h.Stop()
		h.FinishStop()
		if sent.answerText() != want || mayHaveRun.answerText() != want || neverRan.answerText() != "rejected" || h.ActiveRequests() != 0 {
			t.Errorf("class %d: with an attempt in flight %s, after one that may have run %s, want %s; never run %s; %d active",
				class, sent.answerText(), mayHaveRun.answerText(), want, neverRan.answerText(), h.ActiveRequests())
		}
	}
}

// TestLateDeadline: if the loop is so late that the core answers by itself, a request that was never forwarded is rejected, and one that
// may have run fails.
func TestLateDeadline(t *testing.T) {
	h := newHarnessWith(t, classesText, testMembers(2, policy.Draining))
	waiting := h.openInClass(nonIdempotentClass, 2*time.Second)
	h.UpdateMembers(policy.ListDelta, testMembers(1, policy.Ready))
	sent := h.openInClass(nonIdempotentClass, 2*time.Second)
	if waiting.attempts != 0 || waiting.answerText() != "" || sent.inFlight != 1 {
		t.Fatalf("%d attempts, answers %v; %d in flight", waiting.attempts, waiting.answers, sent.inFlight)
	}
	h.now += 3 * time.Second
	h.Tick()
	if waiting.answerText() != "rejected" || sent.answerText() != "failed" || h.ActiveRequests() != 0 {
		t.Errorf("never forwarded: %s; with an attempt in flight: %s; %d active", waiting.answerText(), sent.answerText(), h.ActiveRequests())
	}
}

// TestShortTimeLeft: a request without time for an attempt is rejected at once.
func TestShortTimeLeft(t *testing.T) {
	for _, timeLeft := range []time.Duration{-time.Second, 0, time.Millisecond, 8 * time.Millisecond} {
		h := newHarnessWith(t, classesText, testMembers(2, policy.Ready))
		if d := h.openInClass(nonIdempotentClass, timeLeft); d.attempts != 0 || d.answerText() != "rejected" || h.ActiveRequests() != 0 {
			t.Errorf("time left %v: %d attempts, answers %v", timeLeft, d.attempts, d.answers)
		}
	}
}

// TestAttemptNumbers: after a send that mayStart has blocked, the end of the next attempt still reaches the policy, which makes another.
func TestAttemptNumbers(t *testing.T) {
	h := newHarnessWith(t, classesText, testMembers(4, policy.Ready))
	h.PauseDispatch()
	d := h.openInClass(idempotentClass, 2*time.Second)
	blocked := h.pausedActions[0].Server
	h.UpdateMembers(policy.ListDelta, []Member{h.draining(blocked)})
	h.ResumeDispatch()
	if h.Counts.Blocked != 1 || d.inFlight != 1 {
		t.Fatalf("%d blocked, %d in flight", h.Counts.Blocked, d.inFlight)
	}
	d.endAttempt(policy.ConnectFailed)
	if d.inFlight != 1 || d.attempts != 2 {
		t.Fatalf("after a failed attempt: %d in flight, %d attempts", d.inFlight, d.attempts)
	}
	if !h.FlowEstablished(d.id, 1) {
		t.Fatal("not established")
	}
	h.AttemptEnded(d.id, 1, policy.OK, policy.NoReport)
	h.wantNoFlowsInPolicy("after the request")
}

// draining returns a member in the draining state.
func (h *harness) draining(id policy.ServerID) Member {
	m := h.members[id].Member
	m.State = policy.Draining
	return m
}

// TestPausedSendEnds: a request that ends while its send is paused, as its client goes away, at its deadline or by a stop, is never sent
// and leaves nothing in the policy.
func TestPausedSendEnds(t *testing.T) {
	for name, end := range map[string]func(h *harness, d *downstream){
		"client gone": func(h *harness, d *downstream) { h.ClientGone(d.id) },
		"deadline":    func(h *harness, d *downstream) { h.advance(2 * time.Second) },
		"stop":        func(h *harness, d *downstream) { h.Stop(); h.FinishStop() },
	} {
		for class := range 5 {
			h := newHarnessWith(t, classesText, testMembers(1, policy.Ready))
			h.PauseDispatch()
			d := h.openInClass(class, 2*time.Second)
			end(h, d)
			h.ResumeDispatch()
			if want := map[bool]string{true: "", false: "rejected"}[name == "client gone"]; d.attempts != 0 || d.answerText() != want || h.ActiveRequests() != 0 {
				t.Errorf("%s, class %d: %d attempts, answers %v, %d active", name, class, d.attempts, d.answers, h.ActiveRequests())
			}
			h.wantNoFlowsInPolicy(fmt.Sprintf("%s, class %d", name, class))
		}
	}
}

// TestPausedSendDedupWindow: a retry that was paused is not sent once its deduplication window is over.
func TestPausedSendDedupWindow(t *testing.T) {
	h := newHarnessWith(t, classesText, testMembers(3, policy.Ready))
	d := h.openInClass(keyScopeAllClass, 2*time.Second)
	h.PauseDispatch()
	d.endAttempt(policy.Reset)
	if d.inFlight != 0 || len(h.pausedActions) != 1 {
		t.Fatalf("%d in flight, %d paused", d.inFlight, len(h.pausedActions))
	}
	h.advance(901 * time.Millisecond)
	if d.answerText() != "" {
		t.Fatalf("answers %v", d.answers)
	}
	h.ResumeDispatch()
	if d.attempts != 1 {
		t.Errorf("%d attempts, the last after the window", d.attempts)
	}
	h.advance(2 * time.Second)
	if d.attempts != 1 || len(d.answers) != 1 {
		t.Errorf("%d attempts, answers %v", d.attempts, d.answers)
	}
}

// TestEstablishedAtUnavailable: a flow that is established at a member that began to drain meanwhile is migrated, though the policy requests
// migrations only when the drain begins.
func TestEstablishedAtUnavailable(t *testing.T) {
	h := newHarnessWith(t, classesText, testMembers(1, policy.Ready))
	d := h.openInClass(idempotentClass, 2*time.Second)
	h.UpdateMembers(policy.ListDelta, testMembers(1, policy.Draining))
	if !h.FlowEstablished(d.id, 0) || d.migrations != 0 {
		t.Fatal("not established, or migrated before its front knows of the flow")
	}
	h.advance(0)
	if d.migrations != 1 || h.ActiveRequests() != 0 {
		t.Errorf("migrated %d times, %d active", d.migrations, h.ActiveRequests())
	}
}

// TestEstablishedWhileDraining: a flow that is established while the relay drains is migrated in its turn, whatever else is due then.
func TestEstablishedWhileDraining(t *testing.T) {
	h := newHarnessWith(t, classesText, testMembers(1, policy.Ready))
	d := h.openInClass(idempotentClass, 20*time.Second)
	h.Drain()
	h.FlowEstablished(d.id, 0)
	if h.advance(drainMigrationStart); d.migrations != 1 {
		t.Errorf("migrated %d times %v after the drain began", d.migrations, drainMigrationStart)
	}
}

// TestDeferredAndDrained: if the fleet removes a member while this relay drains, the earlier of the two migrates the flow; resuming the
// relay does not cancel the removal.
func TestDeferredAndDrained(t *testing.T) {
	removal := func(spreadOver time.Duration) map[string]Removal {
		return map[string]Removal{"m0": {SpreadOver: spreadOver}}
	}
	wantMigrated := func(h *harness, d *downstream, within time.Duration, what string) {
		t.Helper()
		if h.advance(within); d.migrations != 1 {
			t.Errorf("%s: migrated %d times within %v", what, d.migrations, within)
		}
	}
	start := func() (*harness, *downstream) {
		h := newHarnessWith(t, classesText, testMembers(1, policy.Ready))
		return h, h.establishFlows(1)[0]
	}
	h, d := start()
	h.SetFleetRemovals(removal(time.Second))
	h.Drain()
	h.Resume()
	wantMigrated(h, d, time.Second, "resume")

	h, d = start()
	h.Drain()
	h.SetFleetRemovals(removal(time.Hour))
	wantMigrated(h, d, drainMigrationEnd, "removal after the drain")

	h, d = start()
	h.Stop()
	h.SetFleetRemovals(removal(time.Hour))
	wantMigrated(h, d, h.StopTimeout(), "removal after the stop")

	h, d = start()
	h.SetFleetRemovals(removal(100 * time.Millisecond))
	h.Drain()
	wantMigrated(h, d, 100*time.Millisecond, "drain after the removal")
}

// TestServedWithoutFlow: an attempt that is served without an established flow counts as one success of its member.
func TestServedWithoutFlow(t *testing.T) {
	h := newHarnessWith(t, classesText, testMembers(1, policy.Ready))
	d := h.openInClass(idempotentClass, 2*time.Second)
	d.endAttempt(policy.OK)
	if v := h.Members()[0]; v.Successes != 1 || v.Failures != 0 || h.Counts.Served != 1 {
		t.Errorf("%+v", v)
	}
	d = h.openInClass(idempotentClass, 2*time.Second)
	h.FlowEstablished(d.id, 0)
	d.endAttempt(policy.OK)
	if v := h.Members()[0]; v.Successes != 2 {
		t.Errorf("%+v", v)
	}
}

// TestRejectIdempotency: a rejection by the policy becomes a failure if the request may have run and may not be repeated.
func TestRejectIdempotency(t *testing.T) {
	for class, want := range map[int]string{idempotentClass: "rejected", keyScopeAllClass: "rejected", keyScopeZoneClass: "failed", keyScopeCellClass: "failed", nonIdempotentClass: "failed"} {
		h := newHarnessWith(t, classesText, testMembers(1, policy.Ready))
		d := h.openInClass(class, 2*time.Second)
		h.execute(policy.Action{Kind: policy.ActionReject, ID: d.id, Duration: time.Second})
		if d.answerText() != want || d.inFlight != 0 {
			t.Errorf("class %d: answers %v, %d in flight, want %s", class, d.answers, d.inFlight, want)
		}
	}
}

// TestRepeatIdempotency: after an attempt that may have run, the policy's send is carried out only where the class allows a repeat.
func TestRepeatIdempotency(t *testing.T) {
	members := testMembers(4, policy.Ready)
	members[1].Cell, members[2].Zone, members[2].Cell, members[3].Zone = 1, 1, 2, 1
	for class, want := range map[int][4]bool{idempotentClass: {true, true, true, true}, keyScopeAllClass: {true, true, true, true},
		keyScopeZoneClass: {true, true, false, false}, keyScopeCellClass: {true, false, false, true}, nonIdempotentClass: {}} {
		for i, m := range members {
			for _, afterWindow := range []bool{false, true} {
				h := newHarnessWith(t, classesText, members)
				d := &downstream{harness: h}
				h.Open(Request{Class: class, CurrentMember: "m0", TimeLeft: 2 * time.Second}, d)
				q := h.requests[d.id]
				q.preexisting = false // or the core would never send it to another member
				d.endAttempt(policy.Reset)
				if afterWindow {
					h.now += 900 * time.Millisecond
				}
				h.execute(policy.Action{Kind: policy.ActionSend, ID: d.id, Server: m.ID})
				if ok := want[i] && (class == idempotentClass || !afterWindow); (d.attempts == 2) != ok {
					t.Errorf("class %d at %s, after the window %v: %d attempts", class, m.Name, afterWindow, d.attempts)
				}
			}
		}
	}
}

// TestResumedFlowDeadline: a resumed flow that its member does not confirm is answered by its deadline, though no other timer is set.
func TestResumedFlowDeadline(t *testing.T) {
	h := newHarnessWith(t, classesText, testMembers(1, policy.Ready))
	d := &downstream{harness: h}
	h.Open(Request{CurrentMember: "m0", Class: nonIdempotentClass, TimeLeft: time.Second}, d)
	if d.inFlight != 1 || h.wakeAt != h.now+time.Second {
		t.Errorf("%d in flight, the next tick is in %v", d.inFlight, h.wakeAt-h.now)
	}
	if h.advance(time.Second); d.answerText() != "failed" || d.inFlight != 0 || h.ActiveRequests() != 0 {
		t.Errorf("answers %v, %d in flight, %d active", d.answers, d.inFlight, h.ActiveRequests())
	}
}

// TestSendWhileOpen: a send for a request with an open flow is blocked, and the policy still requests the flow's migration when its
// member drains.
func TestSendWhileOpen(t *testing.T) {
	h := newHarnessWith(t, classesText, testMembers(2, policy.Ready))
	d := h.establishFlows(1)[0]
	current := h.members[policy.ServerID(10)]
	if d.member != current.Name {
		current = h.members[policy.ServerID(11)]
	}
	h.execute(policy.Action{Kind: policy.ActionSend, ID: d.id, Server: 10})
	if d.attempts != 1 || h.Counts.Blocked != 1 {
		t.Fatalf("%d attempts, %d blocked", d.attempts, h.Counts.Blocked)
	}
	if h.UpdateMembers(policy.ListDelta, []Member{h.draining(current.ID)}); d.migrations != 1 {
		t.Errorf("migrated %d times", d.migrations)
	}
}

// TestDeferredChanges: while a removal by the fleet migrates a member's flows over a time, a later decision counts at once: an ejection by
// the fleet or by this relay's operators migrates the rest now, and a removal with less time within that.
func TestDeferredChanges(t *testing.T) {
	removal := func(spreadOver time.Duration, ejection bool) map[string]Removal {
		return map[string]Removal{"m0": {SpreadOver: spreadOver, Ejection: ejection}}
	}
	for name, change := range map[string]func(h *harness){
		"ejection by the fleet":      func(h *harness) { h.SetFleetRemovals(removal(0, true)) },
		"ejection by an operator":    func(h *harness) { h.Eject("m0") },
		"removal with less time":     func(h *harness) { h.SetFleetRemovals(removal(2*time.Second, false)); h.advance(time.Second) },
		"ejection after the removal": func(h *harness) { h.Eject("m0"); h.SetFleetRemovals(nil) },
	} {
		h := newHarnessWith(t, classesText, testMembers(1, policy.Ready))
		flows := h.establishFlows(8)
		h.SetFleetRemovals(removal(time.Hour, false))
		h.advance(time.Second)
		change(h)
		h.advance(0)
		for _, d := range flows {
			if d.inFlight > 0 {
				t.Errorf("%s: request %d is not migrated", name, d.id)
			}
		}
	}
	h := newHarnessWith(t, classesText, testMembers(1, policy.Ready))
	h.establishFlows(1)
	h.SetFleetRemovals(removal(time.Hour, false))
	before := len(h.timers)
	for range 10 {
		h.SetFleetRemovals(removal(time.Hour, false))
	}
	if n := len(h.timers); n != before {
		t.Errorf("%d timers, %d after the same removal again", before, n)
	}
}

// TestAdoptDeferred: flows adopted from another process are migrated over the time of a removal, like this process's own.
func TestAdoptDeferred(t *testing.T) {
	h := newHarnessWith(t, classesText, testMembers(1, policy.Ready))
	h.SetFleetRemovals(map[string]Removal{"m0": {SpreadOver: 10 * time.Second}})
	var adopted []*downstream
	for range 10 {
		d := &downstream{harness: h, inFlight: 1, attempts: 1}
		d.id, _, _ = h.AdoptFlow(FlowTransfer{Member: "m0"}, d)
		adopted = append(adopted, d)
	}
	h.advance(5 * time.Second)
	if n := migrations(adopted); n < 3 || n > 7 {
		t.Errorf("%d of 10 migrated after half of the time", n)
	}
	if h.advance(5 * time.Second); migrations(adopted) != 10 {
		t.Errorf("%d of 10 migrated after the time", migrations(adopted))
	}
}

// TestLateRetry: if the loop is so late that a retry's backoff and the time for an answer are over at once, no attempt is started only to be
// cancelled.
func TestLateRetry(t *testing.T) {
	h := newHarnessWith(t, strings.Replace(classesText, `"answer-slack-ms":8`, `"answer-slack-ms":60`, 1), testMembers(3, policy.Ready))
	d := h.openInClass(idempotentClass, 2*time.Second)
	h.now += 1600 * time.Millisecond
	d.endAttempt(policy.Error)
	h.now += 350 * time.Millisecond // within the slack
	if h.Tick(); d.attempts != 1 || d.answerText() != "rejected" || h.ActiveRequests() != 0 {
		t.Errorf("%d attempts, answers %v, %d active", d.attempts, d.answers, h.ActiveRequests())
	}
	h.wantNoFlowsInPolicy("after the request")
}

// TestMaySendDedupWindow: a retry whose connection is established only after the deduplication window is not sent: what counts is when the
// request is written.
func TestMaySendDedupWindow(t *testing.T) {
	for class, allowed := range map[int]bool{keyScopeAllClass: false, idempotentClass: true} {
		h := newHarnessWith(t, classesText, testMembers(2, policy.Ready))
		d := h.openInClass(class, 2*time.Second)
		h.now += 850 * time.Millisecond
		d.endAttempt(policy.Reset)
		if d.inFlight != 1 || d.attempts != 2 || !h.MaySend(d.id, 1) {
			t.Fatalf("class %d: %d in flight, %d attempts; a retry within the window may not be sent", class, d.inFlight, d.attempts)
		}
		h.now += 50 * time.Millisecond
		if h.MaySend(d.id, 1) != allowed {
			t.Errorf("class %d, 900 ms after the first send, the window's end: may send %v, want %v", class, !allowed, allowed)
		}
	}
}

// TestClientGoneIdempotency: a client that has closed its sending side and still reads may be rejected only if repeating is harmless.
func TestClientGoneIdempotency(t *testing.T) {
	for class, harmless := range map[int]bool{idempotentClass: true, keyScopeAllClass: true, keyScopeZoneClass: false, keyScopeCellClass: false, nonIdempotentClass: false} {
		h := newHarnessWith(t, classesText, testMembers(2, policy.Ready))
		sent, mayHaveRun, neverRan := h.openThree(class)
		if got := h.ClientGone(sent.id); got != harmless {
			t.Errorf("class %d, with an attempt in flight: %v", class, got)
		}
		if got := h.ClientGone(mayHaveRun.id); got != harmless {
			t.Errorf("class %d, after an attempt that may have run: %v", class, got)
		}
		if !h.ClientGone(neverRan.id) {
			t.Errorf("class %d, after attempts that never ran: not harmless", class)
		}
		if h.ClientGone(neverRan.id) || h.ActiveRequests() != 0 || h.Counts.ClientsGone != 3 {
			t.Errorf("class %d: %d active, %+v", class, h.ActiveRequests(), h.Counts)
		}
	}
}

// TestRetryAfter: a rejection's Retry-After never exceeds the limit of the settings, whatever the cause, and there is none if the settings
// turn it off.
func TestRetryAfter(t *testing.T) {
	for limits, maxRetryAfter := range map[string]time.Duration{
		`"max-attempts":3,"retry-after":true,"max-retry-after-ms":200`:   200 * time.Millisecond,
		`"max-attempts":3,"max-retry-after-ms":200`:                      200 * time.Millisecond,
		`"max-attempts":3,"retry-after":false,"max-retry-after-ms":2000`: 0,
	} {
		text := strings.Replace(classesText, `"max-attempts":3`, limits, 1)
		for cause, reject := range map[string]func(h *harness) *downstream{
			"no capacity": func(h *harness) *downstream {
				d := h.openInClass(idempotentClass, 2*time.Second)
				h.advance(2 * time.Second)
				return d
			},
			"no time left": func(h *harness) *downstream { return h.openInClass(idempotentClass, 0) },
			"stop":         func(h *harness) *downstream { h.Stop(); return h.openInClass(idempotentClass, 2*time.Second) },
			"end of a stop": func(h *harness) *downstream {
				d := h.openInClass(idempotentClass, 2*time.Second)
				h.Stop()
				h.FinishStop()
				return d
			},
			"recorder not ready": func(h *harness) *downstream { h.notReady = true; return h.openInClass(idempotentClass, 2*time.Second) },
		} {
			h := newHarnessWith(t, text, testMembers(2, policy.Draining))
			d := reject(h)
			if d.answerText() != "rejected" || d.retryAfter > maxRetryAfter || d.retryAfter < 0 {
				t.Errorf("%s, %s: %s, Retry-After %v, at most %v", limits, cause, d.answerText(), d.retryAfter, maxRetryAfter)
			}
		}
		h := newHarnessWith(t, text, nil)
		if after := h.RetryAfter(time.Hour); after > maxRetryAfter {
			t.Errorf("%s: Retry-After %v for the fronts, at most %v", limits, after, maxRetryAfter)
		}
	}
}

// TestNoDedupWindow: with an idempotency key but no deduplication window in the settings, a request that may have run is never retried.
func TestNoDedupWindow(t *testing.T) {
	for _, window := range []string{`,"window-ms":0`, ``, `,"window-ms":-1`} {
		h := newHarnessWith(t, strings.ReplaceAll(classesText, `,"window-ms":900`, window), testMembers(2, policy.Ready))
		d := h.openInClass(keyScopeAllClass, 2*time.Second)
		d.endAttempt(policy.Reset)
		if h.advance(2 * time.Second); d.attempts != 1 || d.answerText() == "" {
			t.Errorf("%q: %d attempts, answers %v", window, d.attempts, d.answers)
		}
	}
}

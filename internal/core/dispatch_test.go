package core

import (
	"fmt"
	"testing"
	"time"

	"dahliarudder/policy"
)

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

// TestSendWhileOpen: a send for a request with an open flow is blocked, and the policy still requests the flow's migration when its
// member drains.
func TestSendWhileOpen(t *testing.T) {
	h := newHarnessWith(t, classesText, testMembers(2, policy.Ready))
	d := h.establishFlows(1)[0]
	current := h.members[policy.MemberID(10)]
	if d.member != current.Name {
		current = h.members[policy.MemberID(11)]
	}
	h.execute(policy.Action{Kind: policy.ActionSend, ID: d.id, Member: 10})
	if d.attempts != 1 || h.Counts.Blocked != 1 {
		t.Fatalf("%d attempts, %d blocked", d.attempts, h.Counts.Blocked)
	}
	if h.UpdateMembers(policy.ListDelta, []Member{h.draining(current.ID)}); d.migrations != 1 {
		t.Errorf("migrated %d times", d.migrations)
	}
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

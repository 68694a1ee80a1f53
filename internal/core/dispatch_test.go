package core

import (
	"fmt"
	"testing"
	"time"

	"dahliarudder/policy"
)

// TestMayStart checks that mayStart forbids an attempt because of the request's state, attempts or
// deadline, or because of the member, whatever the policy decides.
func TestMayStart(t *testing.T) {
	h := newHarness(t, 2)
	d := h.openRequest()
	q, m := h.requests[d.id], h.members[11]
	mayStart := func(m *member) bool { return h.mayStart(h.now, q.state != placing, q.attempts, q.deadline, m) }
	if mayStart(m) {
		t.Error("mayStart allows a second attempt while one is in flight")
	}
	q.state = placing
	if !mayStart(m) {
		t.Fatal("mayStart forbids an attempt that breaks no rule")
	}
	for name, forbid := range map[string]func() (undo func()){
		"open flow":         func() func() { q.state = serving; return func() { q.state = placing } },
		"finished":          func() func() { q.state = finished; return func() { q.state = placing } },
		"no attempts left":  func() func() { q.attempts = 3; return func() { q.attempts = 1 } },
		"past the deadline": func() func() { q.deadline = h.now; return func() { q.deadline = h.now + time.Second } },
		"member unavailable beyond the drain grace": func() func() {
			m.unavailable, m.unavailableSince = true, h.now-251*time.Millisecond
			return func() { m.unavailable = false }
		},
	} {
		undo := forbid()
		if mayStart(m) {
			t.Errorf("%s: mayStart allows the attempt", name)
		}
		undo()
	}
	m.unavailable, m.unavailableSince = true, h.now-250*time.Millisecond
	if !mayStart(m) || mayStart(nil) {
		t.Error("mayStart forbids an attempt within the drain grace, or allows one at an unknown member")
	}
}

// TestPauseDispatch checks that nothing is sent while dispatch is paused, as after a suspension of
// the process. After the pause, waiting requests go only to available members, without a drain
// grace, and a request past its deadline has been answered by the relay.
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
			t.Fatalf("while dispatch is paused: %d attempts, answers %v, want none", d.attempts, d.answers)
		}
	}
	h.ClientGone(gone.id)
	h.UpdateMembers(policy.ListDelta, testMembers(4, policy.Draining)[1:])
	h.ResumeDispatch()
	h.ResumeDispatch()
	sent := 0
	for i, d := range waiting {
		if sent += d.attempts; d.attempts > 0 && d.member != "m0" {
			t.Errorf("request %d was sent to %q, want m0, the only available member", i, d.member)
		}
	}
	if sent < 3 {
		t.Errorf("%d of the waiting requests were sent after the pause, want at least 3", sent)
	}
	if gone.attempts > 0 {
		t.Error("a request was sent after its client had gone")
	}
	h.PauseDispatch()
	d := h.openRequest()
	h.advance(3 * time.Second)
	if d.attempts > 0 || len(d.answers) != 1 {
		t.Errorf("past the deadline in a pause: %d attempts, answers %v, want no attempt and one answer",
			d.attempts, d.answers)
	}
	h.ResumeDispatch()
	if d.attempts > 0 || len(d.answers) != 1 {
		t.Errorf("after ResumeDispatch: %d attempts, answers %v, want no attempt and the one answer from before",
			d.attempts, d.answers)
	}
}

// TestPausedSendEnds checks that a request that ends while its send is paused, because its client
// goes away, its deadline passes or the relay stops, is never sent and leaves nothing in the policy.
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
				t.Errorf("%s, class %d: %d attempts, answers %v, %d active requests; want none, %q, none",
					name, class, d.attempts, d.answers, h.ActiveRequests(), want)
			}
			h.wantNoFlowsInPolicy(fmt.Sprintf("%s, class %d", name, class))
		}
	}
}

// TestPausedSendDedupWindow checks that a retry that was paused is not sent after the end of its
// deduplication window.
func TestPausedSendDedupWindow(t *testing.T) {
	h := newHarnessWith(t, classesText, testMembers(3, policy.Ready))
	d := h.openInClass(keyScopeAllClass, 2*time.Second)
	h.PauseDispatch()
	d.endAttempt(policy.Reset)
	if d.inFlight != 0 || len(h.pausedActions) != 1 {
		t.Fatalf("retry during a pause: %d in flight, %d paused; want 0 and 1", d.inFlight, len(h.pausedActions))
	}
	h.advance(901 * time.Millisecond)
	if d.answerText() != "" {
		t.Fatalf("answers %v before the deadline, want none", d.answers)
	}
	h.ResumeDispatch()
	if d.attempts != 1 {
		t.Errorf("%d attempts, want 1: the retry came after the deduplication window", d.attempts)
	}
	h.advance(2 * time.Second)
	if d.attempts != 1 || len(d.answers) != 1 {
		t.Errorf("after the deadline: %d attempts, answers %v; want 1 attempt, 1 answer", d.attempts, d.answers)
	}
}

// TestSendWhileOpen checks that a send for a request with an open flow is blocked, and that the
// policy still asks for the migration of the flow when its member drains.
func TestSendWhileOpen(t *testing.T) {
	h := newHarnessWith(t, classesText, testMembers(2, policy.Ready))
	d := h.establishFlows(1)[0]
	current := h.members[policy.MemberID(10)]
	if d.member != current.Name {
		current = h.members[policy.MemberID(11)]
	}
	h.execute(policy.Action{Kind: policy.ActionSend, ID: d.id, Member: 10})
	if d.attempts != 1 || h.Counts.Blocked != 1 {
		t.Fatalf("after a send for an open flow: %d attempts, %d blocked; want 1 and 1", d.attempts, h.Counts.Blocked)
	}
	if h.UpdateMembers(policy.ListDelta, []Member{h.draining(current.ID)}); d.migrations != 1 {
		t.Errorf("the flow of a draining member was migrated %d times, want 1", d.migrations)
	}
}

// TestMaySendDedupWindow checks that a retry is not sent if its connection is established only
// after the deduplication window. The window applies to the time at which the request is written.
func TestMaySendDedupWindow(t *testing.T) {
	for class, allowed := range map[int]bool{keyScopeAllClass: false, idempotentClass: true} {
		h := newHarnessWith(t, classesText, testMembers(2, policy.Ready))
		d := h.openInClass(class, 2*time.Second)
		h.now += 850 * time.Millisecond
		d.endAttempt(policy.Reset)
		if d.inFlight != 1 || d.attempts != 2 || !h.MaySend(d.id, 1) {
			t.Fatalf("class %d: %d in flight, %d attempts, want 1 and 2; MaySend must allow a retry within the window",
				class, d.inFlight, d.attempts)
		}
		h.now += 50 * time.Millisecond
		if h.MaySend(d.id, 1) != allowed {
			t.Errorf("class %d: MaySend at the end of the window, 900 ms after the first send = %v, want %v",
				class, !allowed, allowed)
		}
	}
}

package core

import (
	"strings"
	"testing"
	"time"

	"dahliarudder/policy"
)

// TestLateDeadline checks that if the event loop is so late that the core itself answers, a request
// that was never sent is rejected, and one that may have run fails.
func TestLateDeadline(t *testing.T) {
	h := newHarnessWith(t, classesText, testMembers(2, policy.Draining))
	waiting := h.openInClass(nonIdempotentClass, 2*time.Second)
	h.UpdateMembers(policy.ListDelta, testMembers(1, policy.Ready))
	sent := h.openInClass(nonIdempotentClass, 2*time.Second)
	if waiting.attempts != 0 || waiting.answerText() != "" || sent.inFlight != 1 {
		t.Fatalf("waiting request: %d attempts, answers %v, want none; other request: %d in flight, want 1",
			waiting.attempts, waiting.answers, sent.inFlight)
	}
	h.now += 3 * time.Second
	h.Tick()
	if waiting.answerText() != "rejected" || sent.answerText() != "failed" || h.ActiveRequests() != 0 {
		t.Errorf("answer without an attempt %q, want rejected; with an attempt in flight %q, want failed; "+
			"%d active requests, want 0",
			waiting.answerText(), sent.answerText(), h.ActiveRequests())
	}
}

// TestShortTimeLeft checks that a request without time for an attempt is rejected at once.
func TestShortTimeLeft(t *testing.T) {
	for _, timeLeft := range []time.Duration{-time.Second, 0, time.Millisecond, 8 * time.Millisecond} {
		h := newHarnessWith(t, classesText, testMembers(2, policy.Ready))
		if d := h.openInClass(nonIdempotentClass, timeLeft); d.attempts != 0 || d.answerText() != "rejected" || h.ActiveRequests() != 0 {
			t.Errorf("time left %v: %d attempts, answers %v, %d active requests; want a rejection only",
				timeLeft, d.attempts, d.answers, h.ActiveRequests())
		}
	}
}

// TestAttemptNumbers checks that after a send that mayStart has blocked, the end of the next attempt
// still reaches the policy, which then starts another one. The policy numbers attempts by its
// sends, including blocked ones.
func TestAttemptNumbers(t *testing.T) {
	h := newHarnessWith(t, classesText, testMembers(4, policy.Ready))
	h.PauseDispatch()
	d := h.openInClass(idempotentClass, 2*time.Second)
	blocked := h.pausedActions[0].Member
	h.UpdateMembers(policy.ListDelta, []Member{h.draining(blocked)})
	h.ResumeDispatch()
	if h.Counts.Blocked != 1 || d.inFlight != 1 {
		t.Fatalf("%d sends blocked, %d attempts in flight; want 1 and 1", h.Counts.Blocked, d.inFlight)
	}
	d.endAttempt(policy.ConnectFailed)
	if d.inFlight != 1 || d.attempts != 2 {
		t.Fatalf("after a failed attempt: %d in flight, %d attempts; want 1 and 2", d.inFlight, d.attempts)
	}
	if !h.FlowEstablished(d.id, 1) {
		t.Fatal("FlowEstablished for the second attempt = false, want true")
	}
	h.AttemptEnded(d.id, 1, policy.OK, policy.NoReport)
	h.wantNoFlowsInPolicy("after the request")
}

// TestEstablishedAtUnavailable checks that a flow is migrated if its member began to drain before it
// was established. The policy asks for migrations only when the drain begins.
func TestEstablishedAtUnavailable(t *testing.T) {
	h := newHarnessWith(t, classesText, testMembers(1, policy.Ready))
	d := h.openInClass(idempotentClass, 2*time.Second)
	h.UpdateMembers(policy.ListDelta, testMembers(1, policy.Draining))
	if !h.FlowEstablished(d.id, 0) || d.migrations != 0 {
		t.Fatalf("FlowEstablished failed, or migrated the flow %d times before its front knows of it", d.migrations)
	}
	h.advance(0)
	if d.migrations != 1 || h.ActiveRequests() != 0 {
		t.Errorf("migrated %d times, %d active requests; want 1 and 0", d.migrations, h.ActiveRequests())
	}
}

// TestServedWithoutFlow checks that an attempt that is served without becoming a flow counts as one
// success of its member.
func TestServedWithoutFlow(t *testing.T) {
	h := newHarnessWith(t, classesText, testMembers(1, policy.Ready))
	d := h.openInClass(idempotentClass, 2*time.Second)
	d.endAttempt(policy.OK)
	if v := h.Members()[0]; v.Successes != 1 || v.Failures != 0 || h.Counts.Served != 1 {
		t.Errorf("member status %+v, %d served; want 1 success, no failure, 1 served", v, h.Counts.Served)
	}
	d = h.openInClass(idempotentClass, 2*time.Second)
	h.FlowEstablished(d.id, 0)
	d.endAttempt(policy.OK)
	if v := h.Members()[0]; v.Successes != 2 {
		t.Errorf("member status %+v after a flow was established and completed, want 2 successes", v)
	}
}

// TestResumedFlowDeadline checks that a resumed flow that its member does not confirm is answered by
// its deadline, even if no other timer is set.
func TestResumedFlowDeadline(t *testing.T) {
	h := newHarnessWith(t, classesText, testMembers(1, policy.Ready))
	d := &downstream{harness: h}
	h.Open(Request{CurrentMember: "m0", Class: nonIdempotentClass, TimeLeft: time.Second}, d)
	if d.inFlight != 1 || h.wakeAt != h.now+time.Second {
		t.Errorf("%d attempts in flight, next tick in %v; want 1 and 1s", d.inFlight, h.wakeAt-h.now)
	}
	if h.advance(time.Second); d.answerText() != "failed" || d.inFlight != 0 || h.ActiveRequests() != 0 {
		t.Errorf("at the deadline: answers %v, %d in flight, %d active requests; want failed, 0, 0",
			d.answers, d.inFlight, h.ActiveRequests())
	}
}

// TestLateRetry checks that no attempt is started only to be cancelled if the event loop is so late
// that the backoff of a retry ends and the answer is due in the same tick.
func TestLateRetry(t *testing.T) {
	h := newHarnessWith(t, strings.Replace(classesText, `"answer-slack-ms":8`, `"answer-slack-ms":60`, 1), testMembers(3, policy.Ready))
	d := h.openInClass(idempotentClass, 2*time.Second)
	h.now += 1600 * time.Millisecond
	d.endAttempt(policy.Error)
	h.now += 350 * time.Millisecond // within the answer slack before the deadline
	if h.Tick(); d.attempts != 1 || d.answerText() != "rejected" || h.ActiveRequests() != 0 {
		t.Errorf("%d attempts, answers %v, %d active requests; want 1, rejected, 0",
			d.attempts, d.answers, h.ActiveRequests())
	}
	h.wantNoFlowsInPolicy("after the request")
}

// TestRetryAfter checks that the Retry-After of a rejection never exceeds the limit of the settings,
// whatever the cause, and that there is none if the settings turn it off.
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
				t.Errorf("%s, %s: answer %q with Retry-After %v, want rejected with at most %v",
					limits, cause, d.answerText(), d.retryAfter, maxRetryAfter)
			}
		}
		h := newHarnessWith(t, text, nil)
		if after := h.RetryAfter(time.Hour); after > maxRetryAfter {
			t.Errorf("%s: RetryAfter(1h) = %v, want at most %v", limits, after, maxRetryAfter)
		}
	}
}

// TestServed checks that a flow that is established and ends is counted and recorded, and leaves no
// active request.
func TestServed(t *testing.T) {
	h := newHarness(t, 2)
	d := h.openRequest()
	if d.inFlight != 1 || !h.FlowEstablished(d.id, 0) || h.FlowEstablished(d.id, 0) {
		t.Fatalf("%d attempts in flight; want 1, which FlowEstablished accepts exactly once", d.inFlight)
	}
	h.AttemptEnded(d.id, 0, policy.OK, policy.NoReport)
	if h.ActiveRequests() != 0 || h.Counts.Served != 1 || len(h.records) != 2 {
		t.Errorf("%d active requests, counts %+v, records %v; want 0, 1 served, 2 records",
			h.ActiveRequests(), h.Counts, h.records)
	}
}

// TestStaleEvents checks that a front's events about an attempt that has ended change nothing.
func TestStaleEvents(t *testing.T) {
	h := newHarness(t, 3)
	d := h.openRequest()
	d.inFlight--
	h.AttemptEnded(d.id, 0, policy.ConnectFailed, policy.NoReport)
	if d.attempts != 2 {
		t.Fatalf("%d attempts after the first one failed, want 2", d.attempts)
	}
	if h.FlowEstablished(d.id, 0) {
		t.Error("FlowEstablished for an attempt that failed = true, want false")
	}
	h.AttemptEnded(d.id, 0, policy.Reset, policy.NoReport)
	if d.inFlight != 1 || d.attempts != 2 {
		t.Errorf("after stale events: %d in flight, %d attempts; want 1 and 2", d.inFlight, d.attempts)
	}
}

// TestDeadline checks that an attempt without an outcome times out early enough for another one, and
// that the request is answered by its deadline.
func TestDeadline(t *testing.T) {
	h := newHarness(t, 1)
	d := h.openRequest()
	if h.advance(d.timeout - time.Millisecond); len(d.answers) != 0 || d.inFlight != 1 {
		t.Errorf("1 ms before the timeout: answers %v, %d in flight; want none and 1", d.answers, d.inFlight)
	}
	if h.advance(time.Millisecond); d.inFlight != 0 {
		t.Errorf("%d attempts in flight after the timeout, want 0", d.inFlight)
	}
	h.advance(2*time.Second - d.timeout)
	if len(d.answers) != 1 || d.inFlight != 0 || h.ActiveRequests() != 0 {
		t.Errorf("at the deadline: answers %v, %d in flight, %d active requests; want one answer, 0, 0",
			d.answers, d.inFlight, h.ActiveRequests())
	}
}

// TestResumedFlow checks that a resumed flow goes to its current member, and fails if that member is
// unknown.
func TestResumedFlow(t *testing.T) {
	h := newHarness(t, 2)
	d, lost := &downstream{harness: h}, &downstream{harness: h}
	id := h.Open(Request{CurrentMember: "m1", TimeLeft: time.Second}, d)
	if d.inFlight != 1 || !h.FlowEstablished(id, 0) {
		t.Fatalf("%d attempts in flight; want 1, which FlowEstablished accepts", d.inFlight)
	}
	h.UpdateMembers(policy.ListDelta, testMembers(2, policy.Draining)[1:])
	if d.migrations != 1 {
		t.Errorf("the flow of a draining member was migrated %d times, want 1", d.migrations)
	}
	h.Open(Request{CurrentMember: "elsewhere", TimeLeft: time.Second}, lost)
	if len(lost.answers) != 1 {
		t.Errorf("answers for a flow at an unknown member: %v, want one", lost.answers)
	}
}

// TestRecorderNotReady checks that a request that cannot be recorded is rejected and never sent.
func TestRecorderNotReady(t *testing.T) {
	h := newHarness(t, 1)
	h.notReady = true
	if d := h.openRequest(); d.attempts != 0 || len(d.answers) != 1 || d.answers[0] != "rejected" {
		t.Errorf("%d attempts, answers %v; want none and a rejection", d.attempts, d.answers)
	}
}

// TestFirstID guards against reports on requests of one process that count for those of another: the ids
// begin where the options say, and stay below the limit of the policy's ids.
func TestFirstID(t *testing.T) {
	h := newHarness(t, 1)
	first, second := h.openRequest(), h.openRequest()
	if first.id != MaxFirstID || second.id != MaxFirstID+1 {
		t.Errorf("ids %d and %d, want %d and the next", first.id, second.id, MaxFirstID)
	}
	if h.FlowEstablished(1, 0) || !h.FlowEstablished(first.id, 0) {
		t.Error("an id of another process was accepted, or the request's own was not")
	}
}

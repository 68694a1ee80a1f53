package core

import (
	"strings"
	"testing"
	"time"

	"dahliarudder/policy"
)

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
	blocked := h.pausedActions[0].Member
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

package policy

import (
	"testing"
	"time"
)

// TestIdempotency checks for every idempotency and scope that an attempt that may have run is
// repeated only where the class allows it, and that a rejection is sent only where a retry is safe.
func TestIdempotency(t *testing.T) {
	tests := []struct {
		name        string
		idempotency Idempotency
		scope       Scope
		result      Result
		resend      bool
		rejected    bool // final answer after the last attempt: rejected, otherwise failed
	}{
		{"idempotent after time-out", Idempotent, ScopeAll, Timeout, true, true},
		{"key, all, after time-out", IdempotencyKey, ScopeAll, Timeout, true, true},
		{"key, zone, after time-out", IdempotencyKey, ScopeZone, Timeout, true, false},
		{"key, cell, after error", IdempotencyKey, ScopeCell, Error, true, false},
		{"key, cell, after full", IdempotencyKey, ScopeCell, Full, true, true},
		{"non-idempotent after time-out", NonIdempotent, ScopeAll, Timeout, false, false},
		{"non-idempotent after reset", NonIdempotent, ScopeAll, Reset, false, false},
		{"non-idempotent after cancelled", NonIdempotent, ScopeAll, Cancelled, false, false},
		{"non-idempotent after full", NonIdempotent, ScopeAll, Full, true, true},
		{"non-idempotent after connect failed", NonIdempotent, ScopeAll, ConnectFailed, true, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			set := settings()
			set.Zones = 2
			set.Classes[0].Idempotency, set.Classes[0].Scope = tt.idempotency, tt.scope
			h := newHarness(set, fleet(20, 2))
			id := h.submit(Request{Load: 0.1})
			first := h.byID[h.memberOf(id)].Endpoint
			h.AttemptEnded(h.now, Outcome{ID: id, Member: first.ID, Result: tt.result, Report: NoReport})
			h.admissionRate = 1 // not under test here; see TestAdmissionRate
			h.answerProbes()
			h.fireTimers(400 * ms)
			if resent := len(h.sends) > 1; resent != tt.resend {
				t.Fatalf("retried after result %d: %v, want %v", tt.result, resent, tt.resend)
			}
			mayHaveRun := tt.result != Full && tt.result != ConnectFailed
			for range 10 {
				current := h.byID[h.memberOf(id)].Endpoint
				if mayHaveRun && tt.idempotency == IdempotencyKey && (tt.scope == ScopeZone && current.Zone != first.Zone ||
					tt.scope == ScopeCell && current.Cell != first.Cell) {
					t.Fatalf("retry sent to zone %d cell %d, out of the scope of the first attempt, "+
						"zone %d cell %d", current.Zone, current.Cell, first.Zone, first.Cell)
				}
				if h.answers[id] != "" {
					break
				}
				h.AttemptEnded(h.now, Outcome{ID: id, Attempt: h.requests[id].attempts - 1, Member: current.ID, Result: tt.result, Report: NoReport})
				h.answerProbes()
				h.fireTimers(1900 * ms)
			}
			if want := map[bool]string{true: "rejected", false: "failed"}[tt.rejected]; h.answers[id] != want {
				t.Errorf("final answer %q, want %q", h.answers[id], want)
			}
		})
	}
}

// TestRetryStorm checks that a retry after a time-out or an error backs off, since immediate
// retries would keep a slow session store slow, and that a retry after Full or ConnectFailed, which
// prove that nothing ran, is sent at once.
func TestRetryStorm(t *testing.T) {
	for result, backsOff := range map[Result]bool{Timeout: true, Error: true, Full: false, ConnectFailed: false} {
		h := newHarness(settings(), fleet(10, 1))
		id := h.submit(Request{Load: 0.1})
		h.AttemptEnded(h.now, Outcome{ID: id, Member: h.memberOf(id), Result: result, Report: NoReport})
		h.answerProbes()
		if got := len(h.sends) == 1; got != backsOff {
			t.Errorf("after result %d: backed off %v, want %v", result, got, backsOff)
		}
		h.admissionRate = 1 // not under test here; see TestAdmissionRate
		if h.fireTimers(400 * ms); len(h.sends) != 2 {
			t.Errorf("after result %d: %d attempts after the backoff, want 2", result, len(h.sends))
		}
	}
}

// TestAdmissionRate checks that a relay whose attempts fail admits few of its requests, since more
// attempts would keep a failed session store down, and admits all again once attempts succeed.
func TestAdmissionRate(t *testing.T) {
	h := newHarness(settings(), fleet(10, 1))
	sendAll := func(n int, result Result) (sent int) {
		for range n {
			h.now += 3 * time.Second
			id := h.submit(Request{Load: 0.1})
			if h.memberOf(id) == 0 {
				continue
			}
			sent++
			if result == OK {
				h.Established(h.now, id)
			}
			h.AttemptEnded(h.now, Outcome{ID: id, Member: h.memberOf(id), Result: result, Final: result == OK, Report: NoReport})
			h.answerProbes()
			h.fireTimers(10 * time.Second)
		}
		return sent
	}
	sendAll(40, Error)
	if sent := sendAll(100, Error); sent > 40 || sent == 0 {
		t.Errorf("sent %d of 100 requests while all attempts fail, want 1 to 40", sent)
	}
	sendAll(200, OK)
	if sent := sendAll(100, OK); sent < 95 {
		t.Errorf("sent %d of 100 requests after attempts succeed again, want at least 95", sent)
	}
}

// TestDedupWindow checks that a request with an idempotency key is not retried after DedupWindow,
// when the members may have discarded the key.
func TestDedupWindow(t *testing.T) {
	set := settings()
	set.Classes[0].Idempotency, set.Classes[0].DedupWindow = IdempotencyKey, 100*ms
	h := newHarness(set, fleet(10, 1))
	id := h.submit(Request{Load: 0.1})
	h.now += 150 * ms
	h.AttemptEnded(h.now, Outcome{ID: id, Member: h.memberOf(id), Result: Timeout, Report: NoReport})
	h.answerProbes()
	h.fireTimers(100 * ms)
	if len(h.sends) != 1 {
		t.Errorf("%d attempts, want 1: no retry after the deduplication window", len(h.sends))
	}
}

// TestDeadline checks that a request gets exactly one final answer by its deadline, also if its
// attempt has no outcome.
func TestDeadline(t *testing.T) {
	h := newHarness(settings(), fleet(4, 1))
	id := h.submit(Request{})
	h.fireTimers(2 * time.Second)
	if h.answers[id] != "rejected" {
		t.Fatalf("answer at the deadline %q, want rejected", h.answers[id])
	}
	sends := len(h.sends)
	h.AttemptEnded(h.now+2*time.Second, Outcome{ID: id, Member: h.memberOf(id), Result: Cancelled, Final: true, Report: NoReport})
	h.AttemptEnded(h.now+2*time.Second, Outcome{ID: id, Member: h.memberOf(id), Result: Cancelled, Final: true, Report: NoReport})
	h.fireTimers(time.Hour)
	h.RequestEnded(h.now, id)
	if h.answers[id] != "rejected" || len(h.sends) != sends || len(h.requests) != 0 {
		t.Errorf("after the end: answers %q, %d attempts, %d requests left; want one rejection, %d "+
			"attempts, no requests", h.answers[id], len(h.sends), len(h.requests), sends)
	}
	if late := h.submit(Request{Deadline: h.now - ms}); h.answers[late] != "rejected" || h.memberOf(late) != 0 {
		t.Errorf("answer to a request after its deadline %q, want rejected without an attempt", h.answers[late])
	}
	h = newHarness(settings(), nil)
	id = h.submit(Request{})
	h.fireTimers(time.Second)
	h.now += time.Second
	h.fireTimers(time.Second)
	if h.answers[id] != "rejected" {
		t.Errorf("answer without members %q, want rejected", h.answers[id])
	}
}

// TestAdmissionRateOneMember checks that failures at most members lower a relay's admission rate
// and that failures at one member do not: otherwise a single member that fails fast would cause the
// rejection of requests that other members can serve.
func TestAdmissionRateOneMember(t *testing.T) {
	for failing, want := range map[int]bool{1: false, 4: true} {
		h := newHarness(settings(), fleet(4, 1))
		for round := range 20 {
			for _, m := range h.members[:failing] {
				m.retryAt, m.ejected = 0, false
				q := Request{ID: RequestID(100 + 4*round), Deadline: h.now + time.Second, Load: 0.01}
				q.ID += RequestID(m.ID) % 4 * 1000
				h.newRequest(h.now, q)
				r := h.requests[q.ID]
				h.send(h.now, r, m, false)
				h.AttemptEnded(h.now, Outcome{ID: q.ID, Member: m.ID, Result: Error, Report: NoReport})
			}
		}
		if got := h.admissionRate < 0.5; got != want {
			t.Errorf("with %d of 4 members failing: admission rate %v, want below 0.5: %v",
				failing, h.admissionRate, want)
		}
	}
}

// TestStaleIDs checks that events of unknown or finished requests, members and timers are ignored.
func TestStaleIDs(t *testing.T) {
	h := newHarness(settings(), fleet(3, 1))
	h.Established(h.now, 5)
	h.RequestEnded(h.now, 5)
	h.UpdateLoad(h.now, 5, 1)
	h.ObserveLatency(h.now, 5, time.Second)
	h.AttemptEnded(h.now, Outcome{ID: 5, Member: 4, Attempt: 9, Report: NoReport})
	h.ProbeResult(h.now, 4, Error, NoReport)
	h.AddExisting(h.now, Request{ID: 6}, 4)
	h.Balancer.Timer(h.now, tokenDeadline|5)
	h.Balancer.Timer(h.now, tokenRetry|5)
	h.Balancer.Timer(h.now, ^uint64(0))
	if len(h.sends) != 0 || len(h.answers) != 0 {
		t.Errorf("actions for unknown IDs: %v, want no attempt and no answer", h.log)
	}
}

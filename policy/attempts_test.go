package policy

import (
	"testing"
	"time"
)

// TestIdempotency guards rule 2 for every idempotency and scope.
func TestIdempotency(t *testing.T) {
	tests := []struct {
		name        string
		idempotency Idempotency
		scope       Scope
		result      Result
		resend      bool
		rejected    bool // the answer when no attempt is left; else it fails
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
			h.admissionRate = 1 // TestAdmissionRate tests that
			h.answerProbes()
			h.fireTimers(400 * ms)
			if resent := len(h.sends) > 1; resent != tt.resend {
				t.Fatalf("retried: %v, want %v", resent, tt.resend)
			}
			mayHaveRun := tt.result != Full && tt.result != ConnectFailed
			for range 10 {
				current := h.byID[h.memberOf(id)].Endpoint
				if mayHaveRun && tt.idempotency == IdempotencyKey && (tt.scope == ScopeZone && current.Zone != first.Zone ||
					tt.scope == ScopeCell && current.Cell != first.Cell) {
					t.Fatalf("sent to zone %d cell %d after zone %d cell %d", current.Zone, current.Cell, first.Zone, first.Cell)
				}
				if h.answers[id] != "" {
					break
				}
				h.AttemptEnded(h.now, Outcome{ID: id, Attempt: h.requests[id].attempts - 1, Member: current.ID, Result: tt.result, Report: NoReport})
				h.answerProbes()
				h.fireTimers(1900 * ms)
			}
			if want := map[bool]string{true: "rejected", false: "failed"}[tt.rejected]; h.answers[id] != want {
				t.Errorf("answered %q, want %q", h.answers[id], want)
			}
		})
	}
}

// TestRetryStorm: after a time-out or an error the retry backs off, as retries would keep a slow session store slow; after full, which
// proves that nothing ran, it is sent at once.
func TestRetryStorm(t *testing.T) {
	for result, backsOff := range map[Result]bool{Timeout: true, Error: true, Full: false, ConnectFailed: false} {
		h := newHarness(settings(), fleet(10, 1))
		id := h.submit(Request{Load: 0.1})
		h.AttemptEnded(h.now, Outcome{ID: id, Member: h.memberOf(id), Result: result, Report: NoReport})
		h.answerProbes()
		if got := len(h.sends) == 1; got != backsOff {
			t.Errorf("result %d: backs off %v, want %v", result, got, backsOff)
		}
		h.admissionRate = 1 // TestAdmissionRate tests that
		if h.fireTimers(400 * ms); len(h.sends) != 2 {
			t.Errorf("result %d: %d attempts after the backoff", result, len(h.sends))
		}
	}
}

// TestAdmissionRate: a proxy whose attempts fail admits few of its requests, as retries would keep a failed session store down, and all
// again once they succeed.
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
		t.Errorf("sent %d of 100 while every one fails", sent)
	}
	sendAll(200, OK)
	if sent := sendAll(100, OK); sent < 95 {
		t.Errorf("sent %d of 100 once they succeed", sent)
	}
}

// TestDedupWindow: a request with an idempotency key is not retried once the servers may have discarded the key.
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
		t.Errorf("%d attempts, the second after the window", len(h.sends))
	}
}

// TestDeadline guards rule 1: a request without an outcome is answered by its timer, once.
func TestDeadline(t *testing.T) {
	h := newHarness(settings(), fleet(4, 1))
	id := h.submit(Request{})
	h.fireTimers(2 * time.Second)
	if h.answers[id] != "rejected" {
		t.Fatalf("at the deadline: %q", h.answers[id])
	}
	sends := len(h.sends)
	h.AttemptEnded(h.now+2*time.Second, Outcome{ID: id, Member: h.memberOf(id), Result: Cancelled, Final: true, Report: NoReport})
	h.AttemptEnded(h.now+2*time.Second, Outcome{ID: id, Member: h.memberOf(id), Result: Cancelled, Final: true, Report: NoReport})
	h.fireTimers(time.Hour)
	h.RequestEnded(h.now, id)
	if h.answers[id] != "rejected" || len(h.sends) != sends || len(h.requests) != 0 {
		t.Errorf("after the end: %q, %d requests left", h.answers[id], len(h.requests))
	}
	if late := h.submit(Request{Deadline: h.now - ms}); h.answers[late] != "rejected" || h.memberOf(late) != 0 {
		t.Errorf("a request past its deadline: %q", h.answers[late])
	}
	h = newHarness(settings(), nil)
	id = h.submit(Request{})
	h.fireTimers(time.Second)
	h.now += time.Second
	h.fireTimers(time.Second)
	if h.answers[id] != "rejected" {
		t.Errorf("without servers: %q", h.answers[id])
	}
}

// TestAdmissionRateOneMember: failures at most servers lower a proxy's admission rate, failures at one server do not, or one that fails fast
// would have requests rejected for all.
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
			t.Errorf("%d of 4 fail: admission rate %v", failing, h.admissionRate)
		}
	}
}

// TestStaleIDs: events of unknown or finished requests, servers and timers are ignored.
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
		t.Errorf("acted on stale ids: %v", h.log)
	}
}

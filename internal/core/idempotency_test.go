package core

import (
	"strings"
	"testing"
	"time"

	"dahliarudder/policy"
)

// TestRejectIdempotency checks that a rejection by the policy becomes a failure if the request may
// have run and may not be repeated.
func TestRejectIdempotency(t *testing.T) {
	for class, want := range map[int]string{idempotentClass: "rejected", keyScopeAllClass: "rejected", keyScopeZoneClass: "failed", keyScopeCellClass: "failed", nonIdempotentClass: "failed"} {
		h := newHarnessWith(t, classesText, testMembers(1, policy.Ready))
		d := h.openInClass(class, 2*time.Second)
		h.execute(policy.Action{Kind: policy.ActionReject, ID: d.id, Duration: time.Second})
		if d.answerText() != want || d.inFlight != 0 {
			t.Errorf("class %d: answers %v, %d in flight; want %s, 0", class, d.answers, d.inFlight, want)
		}
	}
}

// TestRepeatIdempotency checks that after an attempt that may have run, a send by the policy is
// carried out only where the class allows a repetition.
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
				q.preexisting = false // the core never sends a preexisting flow to another member
				d.endAttempt(policy.Reset)
				if afterWindow {
					h.now += 900 * time.Millisecond
				}
				h.execute(policy.Action{Kind: policy.ActionSend, ID: d.id, Member: m.ID})
				if ok := want[i] && (class == idempotentClass || !afterWindow); (d.attempts == 2) != ok {
					t.Errorf("class %d at %s, after the deduplication window %v: %d attempts, a second one allowed: %v",
						class, m.Name, afterWindow, d.attempts, ok)
				}
			}
		}
	}
}

// TestClientGoneIdempotency checks that a client that has closed its sending side and still reads is
// told that a retry is harmless only if that is so.
func TestClientGoneIdempotency(t *testing.T) {
	for class, harmless := range map[int]bool{idempotentClass: true, keyScopeAllClass: true, keyScopeZoneClass: false, keyScopeCellClass: false, nonIdempotentClass: false} {
		h := newHarnessWith(t, classesText, testMembers(2, policy.Ready))
		sent, mayHaveRun, neverRan := h.openThree(class)
		if got := h.ClientGone(sent.id); got != harmless {
			t.Errorf("class %d, with an attempt in flight: ClientGone = %v, want %v", class, got, harmless)
		}
		if got := h.ClientGone(mayHaveRun.id); got != harmless {
			t.Errorf("class %d, after an attempt that may have run: ClientGone = %v, want %v", class, got, harmless)
		}
		if !h.ClientGone(neverRan.id) {
			t.Errorf("class %d, after attempts that cannot have run: ClientGone = false, want true", class)
		}
		if h.ClientGone(neverRan.id) || h.ActiveRequests() != 0 || h.Counts.ClientsGone != 3 {
			t.Errorf("class %d, at the end: %d active requests, counts %+v; want none, 3 clients gone",
				class, h.ActiveRequests(), h.Counts)
		}
	}
}

// TestNoDedupWindow checks that with an idempotency key but no deduplication window in the settings,
// a request that may have run is never retried.
func TestNoDedupWindow(t *testing.T) {
	for _, window := range []string{`,"window-ms":0`, ``, `,"window-ms":-1`} {
		h := newHarnessWith(t, strings.ReplaceAll(classesText, `,"window-ms":900`, window), testMembers(2, policy.Ready))
		d := h.openInClass(keyScopeAllClass, 2*time.Second)
		d.endAttempt(policy.Reset)
		if h.advance(2 * time.Second); d.attempts != 1 || d.answerText() == "" {
			t.Errorf("window setting %q: %d attempts, answers %v; want 1 attempt and an answer",
				window, d.attempts, d.answers)
		}
	}
}

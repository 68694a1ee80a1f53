package core

import (
	"strings"
	"testing"
	"time"

	"dahliarudder/policy"
)

// TestStop checks that a graceful shutdown rejects new requests, waits for pending ones, and migrates
// every flow, but none while clients may still be sent to this relay.
func TestStop(t *testing.T) {
	h := newHarness(t, 2)
	flows := h.establishFlows(5)
	pending := h.openRequest()
	h.Stop()
	if d := h.openRequest(); len(d.answers) != 1 || d.answers[0] != "rejected" {
		t.Errorf("answers to a request during the stop: %v, want a rejection", d.answers)
	}
	if got := h.Counts.BackoffTime; got != stopRetryAfter {
		t.Errorf("Counts.BackoffTime = %v after a rejection, want %v", got, stopRetryAfter)
	}
	h.advance(fraction(stopMigrationStart, h.StopTimeout()) - time.Millisecond)
	for _, d := range flows {
		if d.migrations != 0 {
			t.Errorf("flow of request %d was migrated before stopMigrationStart", d.id)
		}
	}
	h.FlowEstablished(pending.id, 0)
	h.advance(2 * time.Second)
	for _, d := range append(flows, pending) {
		if d.migrations != 1 {
			t.Errorf("flow of request %d was migrated %d times by the end of the stop, want 1", d.id, d.migrations)
		}
	}
	if h.ActiveRequests() != 0 {
		t.Errorf("%d active requests at the end of the stop, want 0", h.ActiveRequests())
	}
}

// TestDrainRelay checks that a draining relay still serves new requests and migrates every flow in
// time, that Resume keeps the flows that were not migrated, and that a second drain migrates those.
func TestDrainRelay(t *testing.T) {
	h := newHarness(t, 6)
	var flows []*downstream
	establish := func() {
		d := h.openRequest()
		if !h.FlowEstablished(d.id, 0) {
			t.Fatal("FlowEstablished = false, want true")
		}
		flows = append(flows, d)
	}
	for range 8 {
		establish()
	}
	h.Drain()
	h.Drain()
	if h.AcceptsClients() || migrations(flows) != 0 {
		t.Errorf("after Drain: AcceptsClients = %v, %d flows migrated at once; want false, 0",
			h.AcceptsClients(), migrations(flows))
	}
	establish()
	h.advance(drainMigrationEnd / 2)
	half := migrations(flows)
	h.Resume()
	h.Resume()
	h.advance(10 * time.Second)
	if !h.AcceptsClients() || half == 0 || half == len(flows) || migrations(flows) != half {
		t.Errorf("AcceptsClients = %v after Resume; %d flows migrated before it, %d at the end, of %d; "+
			"want some, but not all, and no more after Resume",
			h.AcceptsClients(), half, migrations(flows), len(flows))
	}
	establish()
	h.Drain()
	h.advance(drainMigrationEnd + time.Second)
	if migrations(flows) != len(flows) || h.ActiveRequests() != 0 {
		t.Errorf("second drain: %d of %d flows migrated, %d active requests; want all and 0",
			migrations(flows), len(flows), h.ActiveRequests())
	}
}

// TestFinishStop checks that at the end of a graceful shutdown every request is answered and every
// flow is migrated.
func TestFinishStop(t *testing.T) {
	h := newHarness(t, 2)
	flow, pending := h.openRequest(), h.openRequest()
	h.FlowEstablished(flow.id, 0)
	h.Stop()
	h.FinishStop()
	if flow.migrations != 1 || len(pending.answers) != 1 || pending.answers[0] != "rejected" || pending.inFlight != 0 || h.ActiveRequests() != 0 {
		t.Errorf("flow migrated %d times; pending request: answers %v, %d in flight; %d active requests; "+
			"want 1, a rejection, 0, 0",
			flow.migrations, pending.answers, pending.inFlight, h.ActiveRequests())
	}
}

// TestStopTimeoutShortDeadline checks that if clients wait for at most a second, so that SIGKILL may
// come 1.7 s after SIGTERM, no flow is left then.
func TestStopTimeoutShortDeadline(t *testing.T) {
	h := newHarnessWith(t, strings.Replace(defaultSettings, `"deadline-ms":2000`, `"deadline-ms":1000`, 1), testMembers(3, policy.Ready))
	h.establishFlows(3)
	h.Stop()
	h.advance(h.StopTimeout())
	if h.StopTimeout() > 1200*time.Millisecond || h.ActiveRequests() > 0 {
		t.Errorf("StopTimeout = %v, want at most 1.2s; %d active requests after it, want 0",
			h.StopTimeout(), h.ActiveRequests())
	}
}

// TestFinishStopIdempotency checks that at the end of a graceful shutdown a request that may have run
// is rejected only if repeating it is harmless, and fails otherwise.
func TestFinishStopIdempotency(t *testing.T) {
	for class, want := range map[int]string{idempotentClass: "rejected", keyScopeAllClass: "rejected", keyScopeZoneClass: "failed", keyScopeCellClass: "failed", nonIdempotentClass: "failed"} {
		h := newHarnessWith(t, classesText, testMembers(2, policy.Ready))
		sent, mayHaveRun, neverRan := h.openThree(class)
		if sent.inFlight != 1 || neverRan.inFlight != 0 || neverRan.answerText() != "" {
			t.Fatalf("class %d: %d and %d attempts in flight, answers %v; want 1, 0, none",
				class, sent.inFlight, neverRan.inFlight, neverRan.answers)
		}
		h.Stop()
		h.FinishStop()
		if sent.answerText() != want || mayHaveRun.answerText() != want || neverRan.answerText() != "rejected" || h.ActiveRequests() != 0 {
			t.Errorf("class %d: answers with an attempt in flight %q, after one that may have run %q, want %q; "+
				"without one that can have run %q, want rejected; %d active requests, want 0",
				class, sent.answerText(), mayHaveRun.answerText(), want, neverRan.answerText(), h.ActiveRequests())
		}
	}
}

// TestEstablishedWhileDraining checks that a flow that is established while the relay drains is
// migrated when the migrations of the drain begin.
func TestEstablishedWhileDraining(t *testing.T) {
	h := newHarnessWith(t, classesText, testMembers(1, policy.Ready))
	d := h.openInClass(idempotentClass, 20*time.Second)
	h.Drain()
	h.FlowEstablished(d.id, 0)
	if h.advance(drainMigrationStart); d.migrations != 1 {
		t.Errorf("flow was migrated %d times by %v after the drain began, want 1", d.migrations, drainMigrationStart)
	}
}

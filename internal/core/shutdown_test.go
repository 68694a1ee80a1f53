package core

import (
	"strings"
	"testing"
	"time"

	"dahliarudder/policy"
)

// TestStop: a graceful shutdown rejects new requests, waits for pending ones, and migrates every flow, none before clients are no longer
// sent here.
func TestStop(t *testing.T) {
	h := newHarness(t, 2)
	flows := h.establishFlows(5)
	pending := h.openRequest()
	h.Stop()
	if d := h.openRequest(); len(d.answers) != 1 || d.answers[0] != "rejected" {
		t.Errorf("a request during the stop: %v", d.answers)
	}
	if got := h.Counts.BackoffTime; got != stopRetryAfter {
		t.Errorf("backoff time %v, want %v", got, stopRetryAfter)
	}
	h.advance(fraction(stopMigrationStart, h.StopTimeout()) - time.Millisecond)
	for _, d := range flows {
		if d.migrations != 0 {
			t.Error("migrated too early")
		}
	}
	h.FlowEstablished(pending.id, 0)
	h.advance(2 * time.Second)
	for _, d := range append(flows, pending) {
		if d.migrations != 1 {
			t.Errorf("migrated %d times", d.migrations)
		}
	}
	if h.ActiveRequests() != 0 {
		t.Errorf("%d active", h.ActiveRequests())
	}
}

// TestDrainRelay: a drain still serves what arrives and migrates every flow in time; resume keeps the flows that were not migrated yet, and
// a second drain migrates those.
func TestDrainRelay(t *testing.T) {
	h := newHarness(t, 6)
	var flows []*downstream
	establish := func() {
		d := h.openRequest()
		if !h.FlowEstablished(d.id, 0) {
			t.Fatal("not served")
		}
		flows = append(flows, d)
	}
	for range 8 {
		establish()
	}
	h.Drain()
	h.Drain()
	if h.AcceptsClients() || migrations(flows) != 0 {
		t.Error("clients are still accepted, or flows migrated before the front knows")
	}
	establish()
	h.advance(drainMigrationEnd / 2)
	half := migrations(flows)
	h.Resume()
	h.Resume()
	h.advance(10 * time.Second)
	if !h.AcceptsClients() || half == 0 || half == len(flows) || migrations(flows) != half {
		t.Errorf("%d migrated before the resume, %d in the end, of %d", half, migrations(flows), len(flows))
	}
	establish()
	h.Drain()
	h.advance(drainMigrationEnd + time.Second)
	if migrations(flows) != len(flows) || h.ActiveRequests() != 0 {
		t.Errorf("%d migrated of %d, %d active", migrations(flows), len(flows), h.ActiveRequests())
	}
}

// TestFinishStop: at the end of a graceful shutdown every request is answered and every flow migrated.
func TestFinishStop(t *testing.T) {
	h := newHarness(t, 2)
	flow, pending := h.openRequest(), h.openRequest()
	h.FlowEstablished(flow.id, 0)
	h.Stop()
	h.FinishStop()
	if flow.migrations != 1 || len(pending.answers) != 1 || pending.answers[0] != "rejected" || pending.inFlight != 0 || h.ActiveRequests() != 0 {
		t.Errorf("migrated %d times, answers %v, %d active", flow.migrations, pending.answers, h.ActiveRequests())
	}
}

// TestStopTimeoutShortDeadline: with clients that wait for a second at most, SIGKILL comes 1.7 s after SIGTERM: no flow is left then.
func TestStopTimeoutShortDeadline(t *testing.T) {
	h := newHarnessWith(t, strings.Replace(defaultSettings, `"deadline-ms":2000`, `"deadline-ms":1000`, 1), testMembers(3, policy.Ready))
	h.establishFlows(3)
	h.Stop()
	h.advance(h.StopTimeout())
	if h.StopTimeout() > 1200*time.Millisecond || h.ActiveRequests() > 0 {
		t.Errorf("a stop takes %v, and %d flows are left then", h.StopTimeout(), h.ActiveRequests())
	}
}

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

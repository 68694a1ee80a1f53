package core

import (
	"testing"
	"time"

	"dahliarudder/policy"
)

// TestTransitions checks that each state allows exactly these events, and that any other event is
// counted as ignored and changes nothing.
func TestTransitions(t *testing.T) {
	events := []event{attemptStarted, attemptEstablished, attemptEnded, servedWithoutFlow, answered, clientGone, migrated, handedOver}
	allowed := map[state]map[event]state{
		placing:    {attemptStarted: attempting, answered: finished, clientGone: finished},
		attempting: {attemptEstablished: serving, attemptEnded: placing, servedWithoutFlow: finished, answered: finished, clientGone: finished},
		serving:    {attemptEnded: finished, clientGone: finished, migrated: finished, handedOver: finished},
		finished:   {},
	}
	for from, next := range allowed {
		for _, e := range events {
			h := newHarness(t, 0)
			q := &request{id: 1, state: from}
			h.requests[1] = q
			to, ok := next[e]
			if !ok {
				to = from
			}
			if got := h.transition(q, e); got != ok || q.state != to {
				t.Errorf("state %d, event %d: transition = %v to state %d, want %v to %d",
					from, e, got, q.state, ok, to)
			}
			if counted := h.Counts.IgnoredEvents == 1; counted == ok {
				t.Errorf("state %d, event %d, allowed %v: %d events counted as ignored, want 0 if it is allowed and 1 if not",
					from, e, ok, h.Counts.IgnoredEvents)
			}
			if gone := h.requests[1] == nil; gone != (ok && to == finished) {
				t.Errorf("state %d, event %d to state %d: request active %v, want %v", from, e, to, !gone, gone)
			}
		}
	}
}

// TestIgnoredEvents checks that repeated and late events of an attempt change nothing that the client
// or the recorder sees.
func TestIgnoredEvents(t *testing.T) {
	h := newHarness(t, 1)
	d := h.openRequest()
	h.FlowEstablished(d.id, 0)
	before := h.Counts
	if h.FlowEstablished(d.id, 0) || h.Counts.IgnoredEvents != 1 {
		t.Errorf("FlowEstablished for an open flow was accepted, or %d events ignored, want 1",
			h.Counts.IgnoredEvents)
	}
	h.execute(policy.Action{Kind: policy.ActionReject, ID: d.id, Duration: time.Second})
	h.execute(policy.Action{Kind: policy.ActionFail, ID: d.id})
	h.execute(policy.Action{Kind: policy.ActionCancel, ID: d.id})
	if len(d.answers) != 0 || d.inFlight != 1 || !h.IsActive(d.id) {
		t.Errorf("actions for an open flow: answers %v, %d in flight, active %v; want none, 1, true",
			d.answers, d.inFlight, h.IsActive(d.id))
	}
	before.IgnoredEvents = h.Counts.IgnoredEvents
	if h.Counts != before || h.Counts.IgnoredEvents != 3 {
		t.Errorf("counts %+v, want 3 ignored events and otherwise %+v", h.Counts, before)
	}
	h.ClientGone(d.id)
	h.AttemptEnded(d.id, 0, policy.Reset, policy.NoReport)
	h.ClientGone(d.id)
	if _, ok := h.ReleaseFlow(d.id); ok || len(h.records) != 2 || h.ActiveRequests() != 0 {
		t.Errorf("after ClientGone: ReleaseFlow = %v, records %v, %d active requests; want false, 2 records, 0",
			ok, h.records, h.ActiveRequests())
	}
}

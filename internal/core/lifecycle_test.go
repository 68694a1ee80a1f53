package core

import (
	"testing"
	"time"

	"dahliarudder/policy"
)

// TestTransitions: each state allows just these events; any other is counted and changes nothing.
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
			r := newRig(t, 0)
			q := &request{id: 1, state: from}
			r.requests[1] = q
			to, ok := next[e]
			if !ok {
				to = from
			}
			if got := r.transition(q, e); got != ok || q.state != to {
				t.Errorf("state %d, event %d: %v to state %d, want %v to %d", from, e, got, q.state, ok, to)
			}
			if counted := r.Counts.IgnoredEvents == 1; counted == ok {
				t.Errorf("state %d, event %d: %d counted as ignored", from, e, r.Counts.IgnoredEvents)
			}
			if gone := r.requests[1] == nil; gone != (ok && to == finished) {
				t.Errorf("state %d, event %d: still held %v", from, e, !gone)
			}
		}
	}
}

// TestIgnored: a second word of the same attempt, and words that come too late, change nothing that a client or the record sees.
func TestIgnored(t *testing.T) {
	r := newRig(t, 1)
	s := r.open()
	r.FlowEstablished(s.id, 0)
	before := r.Counts
	if r.FlowEstablished(s.id, 0) || r.Counts.IgnoredEvents != 1 {
		t.Errorf("up twice, %d ignored", r.Counts.IgnoredEvents)
	}
	r.execute(policy.Action{Kind: policy.ActionReject, ID: s.id, Duration: time.Second})
	r.execute(policy.Action{Kind: policy.ActionFail, ID: s.id})
	r.execute(policy.Action{Kind: policy.ActionCancel, ID: s.id})
	if len(s.answers) != 0 || s.out != 1 || !r.IsActive(s.id) {
		t.Errorf("an open flow got %v, %d out", s.answers, s.out)
	}
	before.IgnoredEvents = r.Counts.IgnoredEvents
	if r.Counts != before || r.Counts.IgnoredEvents != 3 {
		t.Errorf("counts %+v, before %+v", r.Counts, before)
	}
	r.ClientGone(s.id)
	r.AttemptEnded(s.id, 0, policy.Reset, policy.NoReport)
	r.ClientGone(s.id)
	if _, ok := r.ReleaseFlow(s.id); ok || len(r.book) != 2 || r.ActiveRequests() != 0 {
		t.Errorf("passed %v, book %v, held %d", ok, r.book, r.ActiveRequests())
	}
}

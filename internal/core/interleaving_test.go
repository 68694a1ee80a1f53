package core

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"dahliarudder/policy"
)

// These tests force orders of events that are rare in practice: an event arrives while a request
// waits for another one.

// probesText is classesText with probes and groups, so that requests wait for load reports.
var probesText = strings.NewReplacer(`"probes":false`, `"probes":true`,
	`"extra":{`, `"report":{"source":"on_probe","names":["x0","outstanding"]},"extra":{"groups":true,`).Replace(classesText)

// waitingRequests has a function for each reason for which a request can wait. It opens such a
// request; proceed ends the wait.
var waitingRequests = map[string]func(t *testing.T) (h *harness, d *downstream, proceed func()){
	"for a probe": func(t *testing.T) (*harness, *downstream, func()) {
		h := newHarnessWith(t, probesText, testMembers(1, policy.Ready))
		var probed []policy.MemberID
		h.Probe = func(to *Member) { probed = append(probed, to.ID) }
		d := h.openInClass(nonIdempotentClass, 2*time.Second)
		if len(probed) == 0 || d.attempts != 0 {
			t.Fatalf("%d probes, %d attempts; want a probe and no attempt", len(probed), d.attempts)
		}
		return h, d, func() {
			h.ProbeResult(probed[0], policy.OK, policy.Report{Connections: 1, Load: 0.1, Util: -1, Backlog: 0})
		}
	},
	"for capacity": func(t *testing.T) (*harness, *downstream, func()) {
		h := newHarnessWith(t, classesText, testMembers(1, policy.Draining))
		return h, h.openInClass(nonIdempotentClass, 2*time.Second), func() { h.UpdateMembers(policy.ListDelta, testMembers(1, policy.Ready)) }
	},
	"for a retry": func(t *testing.T) (*harness, *downstream, func()) {
		h := newHarnessWith(t, classesText, testMembers(3, policy.Ready))
		d := h.openInClass(idempotentClass, 2*time.Second)
		d.endAttempt(policy.Error)
		if d.inFlight != 0 {
			t.Fatal("the retry was sent at once, want a backoff")
		}
		return h, d, func() {}
	},
	"for dispatch": func(t *testing.T) (*harness, *downstream, func()) {
		h := newHarnessWith(t, classesText, testMembers(1, policy.Ready))
		h.PauseDispatch()
		return h, h.openInClass(nonIdempotentClass, 2*time.Second), h.ResumeDispatch
	},
}

// TestWaitingContinues checks that each wait ends in an attempt. Without that, the tests below would
// prove nothing.
func TestWaitingContinues(t *testing.T) {
	for name, start := range waitingRequests {
		t.Run(name, func(t *testing.T) {
			h, d, proceed := start(t)
			before := d.attempts
			proceed()
			h.advance(900 * time.Millisecond)
			if d.attempts != before+1 {
				t.Errorf("%d attempts after the wait, want 1", d.attempts-before)
			}
		})
	}
}

// TestClientGoneWaiting checks that no attempt is started for a client that has gone, whatever event
// its request waited for.
func TestClientGoneWaiting(t *testing.T) {
	for name, start := range waitingRequests {
		t.Run(name, func(t *testing.T) {
			h, d, proceed := start(t)
			before := d.attempts
			h.ClientGone(d.id)
			proceed()
			h.advance(3 * time.Second)
			if d.attempts != before || len(d.answers) != 0 || h.ActiveRequests() != 0 || h.Counts.ClientsGone != 1 {
				t.Errorf("after ClientGone: %d more attempts, answers %v, %d active requests, %d clients gone; "+
					"want only one client gone",
					d.attempts-before, d.answers, h.ActiveRequests(), h.Counts.ClientsGone)
			}
		})
	}
}

// TestDeadlineWaiting checks that a waiting request is answered by its deadline, and that nothing is
// sent for it afterwards.
func TestDeadlineWaiting(t *testing.T) {
	for name, start := range waitingRequests {
		t.Run(name, func(t *testing.T) {
			h, d, proceed := start(t)
			before := d.attempts
			h.now += 2 * time.Second // the event loop is late: there was no tick in between
			h.Tick()
			if len(d.answers) != 1 || h.ActiveRequests() != 0 {
				t.Errorf("at the deadline: answers %v, %d active requests; want one answer, 0",
					d.answers, h.ActiveRequests())
			}
			proceed()
			h.advance(3 * time.Second)
			if d.attempts != before || len(d.answers) != 1 {
				t.Errorf("after the deadline: %d more attempts, answers %v; want none, one answer",
					d.attempts-before, d.answers)
			}
		})
	}
}

// TestStopWaiting checks that during a graceful shutdown a waiting request still proceeds, that a
// new one is rejected at once and recorded, and that one that still waits at the end is answered
// then.
func TestStopWaiting(t *testing.T) {
	for name, start := range waitingRequests {
		t.Run(name, func(t *testing.T) {
			h, d, proceed := start(t)
			before := d.attempts
			h.Stop()
			if late := h.openInClass(idempotentClass, 2*time.Second); late.answerText() != "rejected" || late.attempts != 0 || h.records[len(h.records)-1] != fmt.Sprint("answer ", late.id) {
				t.Errorf("request opened after the stop: answers %v, %d attempts, records %v; want a recorded rejection",
					late.answers, late.attempts, h.records)
			}
			proceed()
			h.advance(900 * time.Millisecond)
			if d.attempts != before+1 {
				t.Errorf("%d attempts after the wait during the stop, want 1", d.attempts-before)
			}

			h, d, proceed = start(t)
			h.Stop()
			h.FinishStop()
			before = d.attempts
			if d.answerText() != "rejected" || h.ActiveRequests() != 0 {
				t.Errorf("at the end of the stop: answers %v, %d active requests; want a rejection, 0",
					d.answers, h.ActiveRequests())
			}
			proceed()
			h.advance(3 * time.Second)
			if d.attempts != before || len(d.answers) != 1 {
				t.Errorf("after the end of the stop: %d more attempts, answers %v; want none, one answer",
					d.attempts-before, d.answers)
			}
		})
	}
}

// reentrantDownstream is a downstream that calls onSend before its Send returns.
type reentrantDownstream struct {
	*downstream
	onSend func()
}

func (d reentrantDownstream) Send(id ID, to *Member, attempt int, timeout time.Duration) {
	d.downstream.Send(id, to, attempt, timeout)
	d.onSend()
}

// TestClientGoneInBatch checks that if one load report lets two requests proceed, and the client of
// the second goes away while the first is sent, the second is not sent and leaves nothing in the
// policy.
func TestClientGoneInBatch(t *testing.T) {
	h := newHarnessWith(t, probesText, testMembers(1, policy.Ready))
	first, second := &downstream{harness: h}, &downstream{harness: h}
	disconnect := func(d *downstream) func() {
		return func() {
			if d.attempts == 0 {
				h.ClientGone(d.id)
			}
		}
	}
	first.id = h.Open(Request{Load: 0.01, TimeLeft: 2 * time.Second}, reentrantDownstream{first, disconnect(second)})
	second.id = h.Open(Request{Load: 0.01, TimeLeft: 2 * time.Second}, reentrantDownstream{second, disconnect(first)})
	if first.attempts+second.attempts > 0 {
		t.Fatalf("%d and %d attempts before there is a load report, want none", first.attempts, second.attempts)
	}
	h.ProbeResult(10, policy.OK, policy.Report{Connections: 1, Load: 0.1, Util: -1, Backlog: 0})
	if first.attempts+second.attempts != 1 || h.ActiveRequests() != 1 {
		t.Errorf("%d and %d attempts, %d active requests; want one attempt in all, one active",
			first.attempts, second.attempts, h.ActiveRequests())
	}
	for _, d := range []*downstream{first, second} {
		h.ClientGone(d.id)
	}
	h.wantNoFlowsInPolicy("after both clients have gone")
}

// TestResumedFlowEnds checks that a resumed flow has one answer if its attempt ends before it is
// established, and none afterwards, and that both ends leave nothing in the policy.
func TestResumedFlowEnds(t *testing.T) {
	for result := policy.OK; result <= policy.NotSent; result++ {
		for _, established := range []bool{false, true} {
			h := newHarnessWith(t, classesText, testMembers(2, policy.Ready))
			d := &downstream{harness: h}
			d.id = h.Open(Request{Class: nonIdempotentClass, CurrentMember: "m1", TimeLeft: time.Second}, d)
			if established {
				h.FlowEstablished(d.id, 0)
			}
			d.endAttempt(result)
			want := "failed"
			if established || result == policy.OK {
				want = ""
			}
			if d.answerText() != want || d.attempts != 1 || h.ActiveRequests() != 0 || h.Counts.Served+h.Counts.Failed != 1 || len(h.records) != 2 {
				t.Errorf("result %d, established %v: answers %v, want %q; %d attempts, want 1; %d active requests, want 0; "+
					"counts %+v, want 1 served or failed; records %v, want 2",
					result, established, d.answers, want, d.attempts, h.ActiveRequests(), h.Counts, h.records)
			}
			h.wantNoFlowsInPolicy(fmt.Sprintf("result %d, established %v", result, established))
		}
	}
}

// TestEstablishedOrTimeout checks that if an attempt is established at the time of its timeout, the
// event that arrives first counts, in both orders.
func TestEstablishedOrTimeout(t *testing.T) {
	for _, establishedFirst := range []bool{true, false} {
		h := newHarnessWith(t, classesText, testMembers(2, policy.Ready))
		d := h.openInClass(idempotentClass, 2*time.Second)
		h.now += d.timeout
		if establishedFirst {
			if !h.FlowEstablished(d.id, 0) {
				t.Error("FlowEstablished before Tick = false, want true")
			}
			h.Tick()
			if d.inFlight != 1 || d.attempts != 1 || len(d.answers) != 0 {
				t.Errorf("after Tick: %d in flight, %d attempts, answers %v; want the established flow, no timeout",
					d.inFlight, d.attempts, d.answers)
			}
			continue
		}
		h.Tick()
		if h.FlowEstablished(d.id, 0) {
			t.Error("FlowEstablished after the timeout = true, want false")
		}
		h.advance(500 * time.Millisecond)
		if d.attempts != 2 {
			t.Errorf("%d attempts after a timeout, want 2", d.attempts)
		}
	}
}

package core

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"dahliarudder/policy"
)

// These tests force orders of events that are rare in practice: what else is pending when an event arrives.

// probesText is classesText with probes and groups, whose requests wait for load reports.
var probesText = strings.NewReplacer(`"probes":false`, `"probes":true`,
	`"extra":{`, `"report":{"source":"on_probe","names":["x0","outstanding"]},"extra":{"groups":true,`).Replace(classesText)

// waitingRequests starts a request for each reason that the policy can have to let one wait; proceed ends the wait.
var waitingRequests = map[string]func(t *testing.T) (h *harness, d *downstream, proceed func()){
	"for a probe": func(t *testing.T) (*harness, *downstream, func()) {
		h := newHarnessWith(t, probesText, testMembers(1, policy.Ready))
		var probed []policy.MemberID
		h.Probe = func(to *Member) { probed = append(probed, to.ID) }
		d := h.openInClass(nonIdempotentClass, 2*time.Second)
		if len(probed) == 0 || d.attempts != 0 {
			t.Fatalf("%d probes, %d attempts", len(probed), d.attempts)
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
			t.Fatal("no backoff before the retry")
		}
		return h, d, func() {}
	},
	"for dispatch": func(t *testing.T) (*harness, *downstream, func()) {
		h := newHarnessWith(t, classesText, testMembers(1, policy.Ready))
		h.PauseDispatch()
		return h, h.openInClass(nonIdempotentClass, 2*time.Second), h.ResumeDispatch
	},
}

// TestWaitingContinues: each wait ends in an attempt, or the tests below would show nothing.
func TestWaitingContinues(t *testing.T) {
	for name, start := range waitingRequests {
		t.Run(name, func(t *testing.T) {
			h, d, proceed := start(t)
			before := d.attempts
			proceed()
			h.advance(900 * time.Millisecond)
			if d.attempts != before+1 {
				t.Errorf("%d more attempts", d.attempts-before)
			}
		})
	}
}

// TestClientGoneWaiting: no attempt is started for a client that has gone, whatever event the policy waited for.
func TestClientGoneWaiting(t *testing.T) {
	for name, start := range waitingRequests {
		t.Run(name, func(t *testing.T) {
			h, d, proceed := start(t)
			before := d.attempts
			h.ClientGone(d.id)
			proceed()
			h.advance(3 * time.Second)
			if d.attempts != before || len(d.answers) != 0 || h.ActiveRequests() != 0 || h.Counts.ClientsGone != 1 {
				t.Errorf("%d more attempts, answers %v, %d active", d.attempts-before, d.answers, h.ActiveRequests())
			}
		})
	}
}

// TestDeadlineWaiting: a waiting request is answered by its deadline, and nothing is sent for it afterwards.
func TestDeadlineWaiting(t *testing.T) {
	for name, start := range waitingRequests {
		t.Run(name, func(t *testing.T) {
			h, d, proceed := start(t)
			before := d.attempts
			h.now += 2 * time.Second // the loop is late: no tick in between
			h.Tick()
			if len(d.answers) != 1 || h.ActiveRequests() != 0 {
				t.Errorf("answers %v, %d active", d.answers, h.ActiveRequests())
			}
			proceed()
			h.advance(3 * time.Second)
			if d.attempts != before || len(d.answers) != 1 {
				t.Errorf("%d more attempts, answers %v", d.attempts-before, d.answers)
			}
		})
	}
}

// TestStopWaiting: during a graceful shutdown a waiting request still proceeds, a new one is rejected at once and recorded, and one that
// still waits at the end is answered then.
func TestStopWaiting(t *testing.T) {
	for name, start := range waitingRequests {
		t.Run(name, func(t *testing.T) {
			h, d, proceed := start(t)
			before := d.attempts
			h.Stop()
			if late := h.openInClass(idempotentClass, 2*time.Second); late.answerText() != "rejected" || late.attempts != 0 || h.records[len(h.records)-1] != fmt.Sprint("answer ", late.id) {
				t.Errorf("arrived after the stop: %v, %d attempts, records %v", late.answers, late.attempts, h.records)
			}
			proceed()
			h.advance(900 * time.Millisecond)
			if d.attempts != before+1 {
				t.Errorf("%d more attempts during the stop", d.attempts-before)
			}

			h, d, proceed = start(t)
			h.Stop()
			h.FinishStop()
			before = d.attempts
			if d.answerText() != "rejected" || h.ActiveRequests() != 0 {
				t.Errorf("answers %v at the end, %d active", d.answers, h.ActiveRequests())
			}
			proceed()
			h.advance(3 * time.Second)
			if d.attempts != before || len(d.answers) != 1 {
				t.Errorf("after the end %d more attempts, answers %v", d.attempts-before, d.answers)
			}
		})
	}
}

// reentrantDownstream calls onSend before its Send returns.
type reentrantDownstream struct {
	*downstream
	onSend func()
}

func (d reentrantDownstream) Send(id ID, to *Member, attempt int, timeout time.Duration) {
	d.downstream.Send(id, to, attempt, timeout)
	d.onSend()
}

// TestClientGoneInBatch: one report lets two requests proceed, and the client of the second goes away while the first is sent: the second is
// not sent, and leaves nothing in the policy.
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
		t.Fatal("sent without a report")
	}
	h.ProbeResult(10, policy.OK, policy.Report{Connections: 1, Load: 0.1, Util: -1, Backlog: 0})
	if first.attempts+second.attempts != 1 || h.ActiveRequests() != 1 {
		t.Errorf("%d and %d attempts, %d active", first.attempts, second.attempts, h.ActiveRequests())
	}
	for _, d := range []*downstream{first, second} {
		h.ClientGone(d.id)
	}
	h.wantNoFlowsInPolicy("after both clients have gone")
}

// TestResumedFlowEnds: a resumed flow has one answer if its attempt ends before it is established, and none after that; either end leaves
// nothing in the policy.
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
				t.Errorf("result %d, established %v: answers %v, %d attempts, %d active, counts %+v", result, established, d.answers, d.attempts, h.ActiveRequests(), h.Counts)
			}
			h.wantNoFlowsInPolicy(fmt.Sprintf("result %d, established %v", result, established))
		}
	}
}

// TestEstablishedOrTimeout: an attempt is established at the moment of its timeout, in both orders: the first event counts.
func TestEstablishedOrTimeout(t *testing.T) {
	for _, establishedFirst := range []bool{true, false} {
		h := newHarnessWith(t, classesText, testMembers(2, policy.Ready))
		d := h.openInClass(idempotentClass, 2*time.Second)
		h.now += d.timeout
		if establishedFirst {
			if !h.FlowEstablished(d.id, 0) {
				t.Error("not established before the timeout")
			}
			h.Tick()
			if d.inFlight != 1 || d.attempts != 1 || len(d.answers) != 0 {
				t.Errorf("timed out though it is established: %+v", d)
			}
			continue
		}
		h.Tick()
		if h.FlowEstablished(d.id, 0) {
			t.Error("established after the timeout")
		}
		h.advance(500 * time.Millisecond)
		if d.attempts != 2 {
			t.Errorf("%d attempts", d.attempts)
		}
	}
}

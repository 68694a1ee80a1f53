package core

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"dahliarudder/policy"
)

// This file forces events into each other: what is pending when one comes, and what must happen.

// probedText is classesText with probes, and groups, whose requests wait for reports.
var probedText = strings.NewReplacer(`"probes":false`, `"probes":true`,
	`"extra":{`, `"report":{"source":"on_probe","names":["x0","outstanding"]},"extra":{"groups":true,`).Replace(classesText)

// waits has a request in each way that the policy can hold one, and says how it may go on.
var waits = map[string]func(t *testing.T) (r *rig, s *side, goOn func()){
	"for a probe": func(t *testing.T) (*rig, *side, func()) {
		r := newRigOf(t, probedText, list(1, policy.Ready))
		var asked []policy.ServerID
		r.Probe = func(to *Member) { asked = append(asked, to.ID) }
		s := r.bring(unsafeClass, 2*time.Second)
		if len(asked) == 0 || s.tries != 0 {
			t.Fatalf("%d probes, %d tries", len(asked), s.tries)
		}
		return r, s, func() {
			r.ProbeResult(asked[0], policy.OK, policy.Report{Connections: 1, Load: 0.1, Util: -1, Backlog: 0})
		}
	},
	"for room": func(t *testing.T) (*rig, *side, func()) {
		r := newRigOf(t, classesText, list(1, policy.Draining))
		return r, r.bring(unsafeClass, 2*time.Second), func() { r.UpdateMembers(policy.ListDelta, list(1, policy.Ready)) }
	},
	"between attempts": func(t *testing.T) (*rig, *side, func()) {
		r := newRigOf(t, classesText, list(3, policy.Ready))
		s := r.bring(safeClass, 2*time.Second)
		s.ends(policy.Error)
		if s.out != 0 {
			t.Fatal("no pause before the next attempt")
		}
		return r, s, func() {}
	},
	"for the end of a doubt": func(t *testing.T) (*rig, *side, func()) {
		r := newRigOf(t, classesText, list(1, policy.Ready))
		r.PauseDispatch()
		return r, r.bring(unsafeClass, 2*time.Second), r.ResumeDispatch
	},
}

// TestWaitingContinues: each way of waiting ends in an attempt, so that the tests below force what they say.
func TestWaitingContinues(t *testing.T) {
	for name, of := range waits {
		r, s, goOn := of(t)
		before := s.tries
		goOn()
		r.pass(900 * time.Millisecond)
		if s.tries != before+1 {
			t.Errorf("%s: %d attempts more", name, s.tries-before)
		}
	}
}

// TestClientGoneWaiting: no attempt begins for a client that has gone, whatever is still to come in the policy.
func TestClientGoneWaiting(t *testing.T) {
	for name, of := range waits {
		r, s, goOn := of(t)
		before := s.tries
		r.ClientGone(s.id)
		goOn()
		r.pass(3 * time.Second)
		if s.tries != before || len(s.answers) != 0 || r.ActiveRequests() != 0 || r.Counts.ClientsGone != 1 {
			t.Errorf("%s: %d attempts more, answers %v, held %d", name, s.tries-before, s.answers, r.ActiveRequests())
		}
	}
}

// TestDeadlineWaiting: who waits has an answer by the deadline, and nothing is sent for it afterwards.
func TestDeadlineWaiting(t *testing.T) {
	for name, of := range waits {
		r, s, goOn := of(t)
		before := s.tries
		r.now += 2 * time.Second // nothing was due meanwhile: the loop comes late
		r.Tick()
		if len(s.answers) != 1 || r.ActiveRequests() != 0 {
			t.Errorf("%s: answers %v, held %d", name, s.answers, r.ActiveRequests())
		}
		goOn()
		r.pass(3 * time.Second)
		if s.tries != before || len(s.answers) != 1 {
			t.Errorf("%s: %d attempts more, answers %v", name, s.tries-before, s.answers)
		}
	}
}

// TestStopWaiting: after a stop has begun a request that came before it goes on, one that comes is rejected at once and recorded, and
// who still waits at the end is answered then.
func TestStopWaiting(t *testing.T) {
	for name, of := range waits {
		r, s, goOn := of(t)
		before := s.tries
		r.Stop()
		if late := r.bring(safeClass, 2*time.Second); late.got() != "rejected" || late.tries != 0 || r.book[len(r.book)-1] != fmt.Sprint("answer ", late.id) {
			t.Errorf("%s: came after the stop: %v, %d attempts, book %v", name, late.answers, late.tries, r.book)
		}
		goOn()
		r.pass(900 * time.Millisecond)
		if s.tries != before+1 {
			t.Errorf("%s: %d attempts more during the stop", name, s.tries-before)
		}

		r, s, goOn = of(t)
		r.Stop()
		r.FinishStop()
		before = s.tries
		if s.got() != "rejected" || r.ActiveRequests() != 0 {
			t.Errorf("%s: answers %v at the end, held %d", name, s.answers, r.ActiveRequests())
		}
		goOn()
		r.pass(3 * time.Second)
		if s.tries != before || len(s.answers) != 1 {
			t.Errorf("%s: after the end %d attempts more, answers %v", name, s.tries-before, s.answers)
		}
	}
}

// rude is a downstream in whose Send something else happens.
type rude struct {
	*side
	then func()
}

func (v rude) Send(id ID, to *Member, try int, wait time.Duration) {
	v.side.Send(id, to, try, wait)
	v.then()
}

// TestClientGoneInBatch: of two requests that one report lets go on, the client of the second goes away as the first is sent: the second is
// not sent, and nothing of it stays in the policy.
func TestClientGoneInBatch(t *testing.T) {
	r := newRigOf(t, probedText, list(1, policy.Ready))
	first, second := &side{r: r}, &side{r: r}
	leave := func(s *side) func() {
		return func() {
			if s.tries == 0 {
				r.ClientGone(s.id)
			}
		}
	}
	first.id = r.Open(Request{Load: 0.01, TimeLeft: 2 * time.Second}, rude{first, leave(second)})
	second.id = r.Open(Request{Load: 0.01, TimeLeft: 2 * time.Second}, rude{second, leave(first)})
	if first.tries+second.tries > 0 {
		t.Fatal("sent without a report")
	}
	r.ProbeResult(10, policy.OK, policy.Report{Connections: 1, Load: 0.1, Util: -1, Backlog: 0})
	if first.tries+second.tries != 1 || r.ActiveRequests() != 1 {
		t.Errorf("%d and %d attempts, held %d", first.tries, second.tries, r.ActiveRequests())
	}
	for _, s := range []*side{first, second} {
		r.ClientGone(s.id)
	}
	r.UpdateMembers(policy.ListFull, nil)
	if learned := r.facade.LearnedState(r.now); len(learned.Servers) != 0 {
		t.Errorf("the module still holds %v", learned.Servers)
	}
}

// TestResumedFlowEnds: a flow that goes on to its own member has one answer however that ends, before it is up, and none after; its end
// leaves nothing in the policy.
func TestResumedFlowEnds(t *testing.T) {
	for result := policy.OK; result <= policy.NotSent; result++ {
		for _, up := range []bool{false, true} {
			r := newRigOf(t, classesText, list(2, policy.Ready))
			s := &side{r: r}
			s.id = r.Open(Request{Class: unsafeClass, CurrentMember: "m1", TimeLeft: time.Second}, s)
			if up {
				r.FlowEstablished(s.id, 0)
			}
			s.ends(result)
			want := "failed"
			if up || result == policy.OK {
				want = ""
			}
			if s.got() != want || s.tries != 1 || r.ActiveRequests() != 0 || r.Counts.Served+r.Counts.Failed != 1 || len(r.book) != 2 {
				t.Errorf("result %d, up %v: answers %v, %d tries, held %d, counts %+v", result, up, s.answers, s.tries, r.ActiveRequests(), r.Counts)
			}
			r.UpdateMembers(policy.ListFull, nil)
			if learned := r.facade.LearnedState(r.now); len(learned.Servers) != 0 {
				t.Errorf("result %d, up %v: the module still holds %v", result, up, learned.Servers)
			}
		}
	}
}

// TestEstablishedOrTimeout: an attempt comes up at the moment at which it is given up, each way round: the first word counts.
func TestEstablishedOrTimeout(t *testing.T) {
	for _, upFirst := range []bool{true, false} {
		r := newRigOf(t, classesText, list(2, policy.Ready))
		s := r.bring(safeClass, 2*time.Second)
		r.now += s.wait
		if upFirst {
			if !r.FlowEstablished(s.id, 0) {
				t.Error("not up before it is given up")
			}
			r.Tick()
			if s.out != 1 || s.tries != 1 || len(s.answers) != 0 {
				t.Errorf("given up though it is up: %+v", s)
			}
			continue
		}
		r.Tick()
		if r.FlowEstablished(s.id, 0) {
			t.Error("up after it was given up")
		}
		r.pass(500 * time.Millisecond)
		if s.tries != 2 {
			t.Errorf("%d tries", s.tries)
		}
	}
}

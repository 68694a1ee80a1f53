package policy

import (
	"reflect"
	"slices"
	"testing"
	"time"
)

// invariantChecker is an Executor that checks these rules on every action: each request gets
// exactly one final answer by its deadline, no attempt is repeated against the idempotency of its
// class, and nothing is sent to a member that is not ready.
type invariantChecker struct {
	t             *testing.T
	set           Settings
	now           time.Duration
	balancer      *Balancer
	requests      map[RequestID]*requestState
	states        map[MemberID]MemberState
	members       map[MemberID]Endpoint
	timerQueue    []requestedTimer // delay is the time at which the timer is due
	openAttempts  []openAttempt
	pendingProbes []MemberID
	recorder
}

type requestState struct {
	class       int
	deadline    time.Duration
	inFlight    bool // an attempt is in flight
	attempts    int
	ended       bool
	established bool
	mayHaveRun  bool
	firstRunAt  time.Duration
	firstRunOn  Endpoint
	lastSentAt  time.Duration
	lastSentTo  Endpoint
}

type openAttempt struct {
	id     RequestID
	number int
	member MemberID
}

func (w *invariantChecker) Send(id RequestID, member MemberID, timeout time.Duration) {
	w.recorder.Send(id, member, timeout)
	r := w.requests[id]
	if r == nil || r.ended {
		w.t.Fatalf("attempt of request %d, which has ended or is unknown", id)
	}
	if r.inFlight {
		w.t.Fatalf("request %d has two attempts in flight", id)
	}
	if w.states[member] != Ready {
		w.t.Fatalf("attempt sent to member %d in state %d, want ready (%d)", member, w.states[member], Ready)
	}
	c := w.set.Classes[r.class]
	to := w.members[member]
	if r.mayHaveRun {
		switch {
		case c.Idempotency == NonIdempotent:
			w.t.Fatalf("non-idempotent request %d retried though it may have run", id)
		case c.Idempotency == IdempotencyKey && w.now >= r.firstRunAt+c.DedupWindow:
			w.t.Fatalf("request %d with a key retried after the deduplication window", id)
		case c.Idempotency == IdempotencyKey && c.Scope == ScopeZone && to.Zone != r.firstRunOn.Zone,
			c.Idempotency == IdempotencyKey && c.Scope == ScopeCell && to.Cell != r.firstRunOn.Cell:
			w.t.Fatalf("request %d with a key retried out of its scope", id)
		}
	}
	w.openAttempts = append(w.openAttempts, openAttempt{id, r.attempts, member})
	r.inFlight, r.lastSentAt, r.lastSentTo = true, w.now, to
	r.attempts++
}

func (w *invariantChecker) recordAnswer(id RequestID, rejected bool) {
	r := w.requests[id]
	if r == nil || r.ended {
		w.t.Fatalf("answer for request %d, which has ended or is unknown", id)
	}
	if w.now > r.deadline+w.set.AnswerSlack && r.deadline > 0 && !r.established {
		w.t.Fatalf("request %d answered %v after its deadline, want at most %v",
			id, w.now-r.deadline, w.set.AnswerSlack)
	}
	c := w.set.Classes[r.class]
	if rejected && c.Idempotency != Idempotent && (r.mayHaveRun || r.inFlight) && !(c.Idempotency == IdempotencyKey && c.Scope == ScopeAll) {
		w.t.Fatalf("request %d of idempotency %d rejected though it may have run", id, c.Idempotency)
	}
	r.ended = true
}

func (w *invariantChecker) Reject(id RequestID, d time.Duration) {
	w.recorder.Reject(id, d)
	w.recordAnswer(id, true)
}
func (w *invariantChecker) Fail(id RequestID) { w.recorder.Fail(id); w.recordAnswer(id, false) }
func (w *invariantChecker) Probe(id MemberID) {
	w.recorder.Probe(id)
	w.pendingProbes = append(w.pendingProbes, id)
}
func (w *invariantChecker) Timer(d time.Duration, token uint64) {
	w.recorder.Timer(d, token)
	w.timerQueue = append(w.timerQueue, requestedTimer{w.now + d, token})
}

// advance moves the clock forward by d and fires the timers that are due, earliest first.
func (w *invariantChecker) advance(d time.Duration) {
	until := w.now + d
	for {
		next := -1
		for i, t := range w.timerQueue {
			if t.delay <= until && (next < 0 || t.delay < w.timerQueue[next].delay) {
				next = i
			}
		}
		if next < 0 {
			break
		}
		t := w.timerQueue[next]
		w.timerQueue = append(w.timerQueue[:next], w.timerQueue[next+1:]...)
		w.now = max(w.now, t.delay)
		w.balancer.Timer(w.now, t.token)
	}
	w.now = until
}

// runEvents runs the sequence of events that data encodes, and returns the actions.
func runEvents(t *testing.T, data []byte) []string {
	at := 0
	draw := func() int {
		if at >= len(data) {
			return 0
		}
		at++
		return int(data[at-1])
	}
	set := settings()
	set.Zones, set.MaxAttempts = 2, 1+draw()%5
	set.Groups, set.PassThrough, set.Subscribe = draw()%2 == 0, draw()%4 == 0, draw()%2 == 0
	set.Reports, set.CanProbe = ReportSource(draw()%3), draw()%3 > 0
	set.Balancers = 1 + draw()%60
	classes := []Class{}
	for _, idempotency := range []Idempotency{Idempotent, IdempotencyKey, NonIdempotent} {
		for _, scope := range []Scope{ScopeAll, ScopeZone, ScopeCell} {
			classes = append(classes, Class{LatencyObjective: 300 * ms, Deadline: 2 * time.Second, Idempotency: idempotency, Scope: scope,
				DedupWindow: 600 * ms})
		}
	}
	set.Classes = classes
	w := &invariantChecker{t: t, set: set, now: t0, requests: map[RequestID]*requestState{}, states: map[MemberID]MemberState{},
		members: map[MemberID]Endpoint{}}
	w.balancer = New(set, 3, w)
	w.balancer.Start()
	update := func(kind ListKind, members []Endpoint) {
		if kind == ListFull || kind == ListCached {
			for id := range w.states {
				w.states[id] = Gone
			}
		}
		for _, m := range members {
			w.states[m.ID], w.members[m.ID] = m.State, m
		}
		w.balancer.UpdateEndpoints(w.now, kind, members)
	}
	list := fleet(8, 2)
	update(ListCached, list)
	next := RequestID(0)
	for at < len(data) {
		switch draw() % 10 {
		case 0, 1, 2:
			next++
			timeLeft := time.Duration(draw()%21) * 100 * ms
			q := Request{ID: next, Class: draw() % len(classes), Tenant: draw() % 3, Group: uint64(draw() % 4),
				Key: uint64(draw() % 4), Deadline: w.now + timeLeft, Load: float64(draw()%8) / 4, MidFlow: draw()%9 == 0}
			w.requests[next] = &requestState{class: q.Class, deadline: q.Deadline}
			w.balancer.Request(w.now, q)
		case 3:
			w.advance(time.Duration(draw()) * 5 * ms)
		case 4, 5: // an attempt ends
			if len(w.openAttempts) == 0 {
				continue
			}
			i := draw() % len(w.openAttempts)
			a := w.openAttempts[i]
			w.openAttempts = append(w.openAttempts[:i], w.openAttempts[i+1:]...)
			r := w.requests[a.id]
			result := Result(draw() % 8)
			if r.established && (result == Full || result == ConnectFailed || result == NotSent) {
				result = Reset
			}
			r.inFlight = false
			if result != Full && result != ConnectFailed && result != NotSent && !r.mayHaveRun {
				r.mayHaveRun, r.firstRunAt, r.firstRunOn = true, r.lastSentAt, r.lastSentTo
			}
			if result == OK || r.established {
				r.ended = true
			}
			w.balancer.AttemptEnded(w.now, Outcome{ID: a.id, Attempt: a.number, Member: a.member, Result: result, Final: r.ended,
				Report: Report{Connections: float64(draw() % 30), Load: float64(draw()) / 100, Util: -1}})
		case 6: // an attempt is established
			if len(w.openAttempts) > 0 {
				a := w.openAttempts[draw()%len(w.openAttempts)]
				if r := w.requests[a.id]; !r.ended && r.inFlight {
					r.established, r.ended = true, true
					w.balancer.Established(w.now, a.id)
				}
			}
		case 7: // a probe is answered
			if len(w.pendingProbes) > 0 {
				id := w.pendingProbes[0]
				w.pendingProbes = w.pendingProbes[1:]
				w.balancer.ProbeResult(w.now, id, Result(draw()%8), Report{Connections: float64(draw() % 30),
					Load: float64(draw()) / 100, Util: -1})
			}
		case 8: // the endpoint list changes
			changed := list[draw()%len(list)]
			changed.State = MemberState(draw() % 3)
			if draw()%3 == 0 {
				changed.Started = w.now
			}
			switch kind := ListKind(draw() % 4); kind {
			case ListFailed:
				w.balancer.UpdateEndpoints(w.now, ListFailed, nil)
			case ListDelta:
				update(ListDelta, []Endpoint{changed})
			default:
				members := slices.Clone(list[draw()%len(list):])
				members[0].State = changed.State
				update(kind, members)
			}
		case 9:
			id := RequestID(draw()) % (next + 2)
			if r := w.requests[id]; r != nil && draw()%2 == 0 {
				r.ended = true
				w.balancer.RequestEnded(w.now, id)
			}
			w.balancer.ObserveLatency(w.now, id, time.Duration(draw())*ms)
			w.balancer.UpdateLoad(w.now, id, float64(draw()))
			w.balancer.Timer(w.now, uint64(draw())<<56|uint64(id))
		}
	}
	w.advance(10 * time.Second)
	for id, r := range w.requests {
		if !r.ended {
			t.Fatalf("request %d has no final answer after 10 s", id)
		}
	}
	return w.recorder.log
}

// FuzzRules checks, for arbitrary sequences of events, the rules of invariantChecker and that the
// same events give the same actions.
func FuzzRules(f *testing.F) {
	for seed := range byte(12) {
		data := make([]byte, 4000)
		x := uint32(seed) + 1
		for i := range data {
			x = x*1664525 + 1013904223
			data[i] = byte(x >> 24)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		if a, b := runEvents(t, data), runEvents(t, data); !reflect.DeepEqual(a, b) {
			t.Fatal("two runs of the same events gave different actions")
		}
	})
}

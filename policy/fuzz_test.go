package policy

import (
	"reflect"
	"testing"
	"time"
)

// world plays what a proxy and its servers could do and checks rules 1 to 3 as it goes.
type world struct {
	t        *testing.T
	set      Settings
	now      time.Duration
	b        *Balancer
	requests map[RequestID]*life
	listed   map[ServerID]ServerState
	list     map[ServerID]Server
	queue    []timer
	out      []attempt
	probing  []ServerID
	recorder
}

type life struct {
	class    int
	deadline time.Duration
	open     bool // its attempt is out
	tries    int
	ended    bool
	stands   bool
	ran      bool
	ranAt    time.Duration
	ranOn    Server
	lastAt   time.Duration
	lastOn   Server
}

type attempt struct {
	id     RequestID
	try    int
	server ServerID
}

func (w *world) Send(id RequestID, server ServerID, timeout time.Duration) {
	w.recorder.Send(id, server, timeout)
	r := w.requests[id]
	if r == nil || r.ended {
		w.t.Fatalf("send for request %d, which is over or unknown", id)
	}
	if r.open {
		w.t.Fatalf("request %d has two attempts out", id)
	}
	if w.listed[server] != Ready {
		w.t.Fatalf("sent to server %d in state %d", server, w.listed[server])
	}
	c := w.set.Classes[r.class]
	to := w.list[server]
	if r.ran {
		switch {
		case c.Idempotency == NonIdempotent:
			w.t.Fatalf("unsafe request %d sent again though it may have run", id)
		case c.Idempotency == IdempotencyKey && w.now >= r.ranAt+c.DedupWindow:
			w.t.Fatalf("keyed request %d sent again after the window", id)
		case c.Idempotency == IdempotencyKey && c.Scope == ScopeZone && to.Zone != r.ranOn.Zone,
			c.Idempotency == IdempotencyKey && c.Scope == ScopeCell && to.Cell != r.ranOn.Cell:
			w.t.Fatalf("keyed request %d left its scope", id)
		}
	}
	w.out = append(w.out, attempt{id, r.tries, server})
	r.open, r.lastAt, r.lastOn = true, w.now, to
	r.tries++
}

func (w *world) final(id RequestID, refused bool) {
	r := w.requests[id]
	if r == nil || r.ended {
		w.t.Fatalf("second answer for request %d", id)
	}
	if w.now > r.deadline+w.set.AnswerSlack && r.deadline > 0 && !r.stands {
		w.t.Fatalf("request %d answered %v after its deadline", id, w.now-r.deadline)
	}
	c := w.set.Classes[r.class]
	if refused && c.Idempotency != Idempotent && (r.ran || r.open) && !(c.Idempotency == IdempotencyKey && c.Scope == ScopeAll) {
		w.t.Fatalf("request %d of effect %d refused though it may have run", id, c.Idempotency)
	}
	r.ended = true
}

func (w *world) Reject(id RequestID, d time.Duration) { w.recorder.Reject(id, d); w.final(id, true) }
func (w *world) Fail(id RequestID)                    { w.recorder.Fail(id); w.final(id, false) }
func (w *world) Probe(s ServerID)                     { w.recorder.Probe(s); w.probing = append(w.probing, s) }
func (w *world) Timer(d time.Duration, token uint64) {
	w.recorder.Timer(d, token)
	w.queue = append(w.queue, timer{w.now + d, token})
}

// advance moves the clock and fires what falls due, earliest first.
func (w *world) advance(d time.Duration) {
	until := w.now + d
	for {
		next := -1
		for i, t := range w.queue {
			if t.delay <= until && (next < 0 || t.delay < w.queue[next].delay) {
				next = i
			}
		}
		if next < 0 {
			break
		}
		t := w.queue[next]
		w.queue = append(w.queue[:next], w.queue[next+1:]...)
		w.now = max(w.now, t.delay)
		w.b.Timer(w.now, t.token)
	}
	w.now = until
}

// play runs one sequence of events drawn from data and returns the actions it led to.
func play(t *testing.T, data []byte) []string {
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
	for _, effect := range []Idempotency{Idempotent, IdempotencyKey, NonIdempotent} {
		for _, scope := range []Scope{ScopeAll, ScopeZone, ScopeCell} {
			classes = append(classes, Class{LatencyObjective: 300 * ms, Deadline: 2 * time.Second, Idempotency: effect, Scope: scope,
				DedupWindow: 600 * ms})
		}
	}
	set.Classes = classes
	w := &world{t: t, set: set, now: t0, requests: map[RequestID]*life{}, listed: map[ServerID]ServerState{},
		list: map[ServerID]Server{}}
	w.b = New(set, 3, w)
	w.b.Start()
	tell := func(how ListKind, list []Server) {
		if how == ListFull || how == ListCached {
			for id := range w.listed {
				w.listed[id] = Gone
			}
		}
		for _, e := range list {
			w.listed[e.ID], w.list[e.ID] = e.State, e
		}
		w.b.UpdateServers(w.now, how, list)
	}
	list := fleet(8, 2)
	tell(ListCached, list)
	next := RequestID(0)
	for at < len(data) {
		switch draw() % 10 {
		case 0, 1, 2:
			next++
			left := time.Duration(draw()%21) * 100 * ms
			q := Request{ID: next, Class: draw() % len(classes), Tenant: draw() % 3, Group: uint64(draw() % 4),
				Key: uint64(draw() % 4), Deadline: w.now + left, Load: float64(draw()%8) / 4, MidFlow: draw()%9 == 0}
			w.requests[next] = &life{class: q.Class, deadline: q.Deadline}
			w.b.Request(w.now, q)
		case 3:
			w.advance(time.Duration(draw()) * 5 * ms)
		case 4, 5: // an attempt ends
			if len(w.out) == 0 {
				continue
			}
			i := draw() % len(w.out)
			a := w.out[i]
			w.out = append(w.out[:i], w.out[i+1:]...)
			r := w.requests[a.id]
			result := Result(draw() % 8)
			if r.stands && (result == Full || result == ConnectFailed || result == NotSent) {
				result = Reset
			}
			r.open = false
			if result != Full && result != ConnectFailed && result != NotSent && !r.ran {
				r.ran, r.ranAt, r.ranOn = true, r.lastAt, r.lastOn
			}
			if result == OK || r.stands {
				r.ended = true
			}
			w.b.AttemptEnded(w.now, Outcome{ID: a.id, Attempt: a.try, Server: a.server, Result: result, Final: r.ended,
				Report: Report{Connections: float64(draw() % 30), Load: float64(draw()) / 100, Util: -1}})
		case 6: // a connection stands
			if len(w.out) > 0 {
				a := w.out[draw()%len(w.out)]
				if r := w.requests[a.id]; !r.ended && r.open {
					r.stands, r.ended = true, true
					w.b.Established(w.now, a.id)
				}
			}
		case 7: // a probe is answered
			if len(w.probing) > 0 {
				id := w.probing[0]
				w.probing = w.probing[1:]
				w.b.ProbeResult(w.now, id, Result(draw()%8), Report{Connections: float64(draw() % 30),
					Load: float64(draw()) / 100, Util: -1})
			}
		case 8: // the list changes
			e := list[draw()%len(list)]
			e.State = ServerState(draw() % 3)
			if draw()%3 == 0 {
				e.Started = w.now
			}
			switch how := ListKind(draw() % 4); how {
			case ListFailed:
				w.b.UpdateServers(w.now, ListFailed, nil)
			case ListDelta:
				tell(ListDelta, []Server{e})
			default:
				some := append([]Server(nil), list[draw()%len(list):]...)
				some[0].State = e.State
				tell(how, some)
			}
		case 9:
			id := RequestID(draw()) % (next + 2)
			if r := w.requests[id]; r != nil && draw()%2 == 0 {
				r.ended = true
				w.b.RequestEnded(w.now, id)
			}
			w.b.ObserveLatency(w.now, id, time.Duration(draw())*ms)
			w.b.UpdateLoad(w.now, id, float64(draw()))
			w.b.Timer(w.now, uint64(draw())<<56|uint64(id))
		}
	}
	w.advance(10 * time.Second)
	for id, r := range w.requests {
		if !r.ended {
			t.Fatalf("request %d never got its final answer", id)
		}
	}
	return w.recorder.log
}

// FuzzRules feeds arbitrary sequences of events: rules 1 to 3 hold, and equal events give equal actions.
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
		if a, b := play(t, data), play(t, data); !reflect.DeepEqual(a, b) {
			t.Fatal("equal events gave different actions")
		}
	})
}

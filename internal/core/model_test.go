package core

import (
	"cmp"
	"flag"
	"fmt"
	"math"
	"math/bits"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"dahliarudder/internal/settings"
	"dahliarudder/policy"
)

// The random steps of rapid draw the same in every run. CORE_SEEDS is how many cases are played, a thousand else (under a second);
// -rapid.seed draws others.
func init() {
	flag.Set("rapid.seed", "1")
	flag.Set("rapid.checks", cmp.Or(os.Getenv("CORE_SEEDS"), "1000"))
}

// world is a core among members, clients, discovery and operators that are drawn, and an observer who goes by what passes between
// them alone.
type world struct {
	*rapid.T
	c        *Core
	now      time.Duration
	wake     time.Duration
	all      []*client
	byID     map[ID]*client
	opening  *client // during Open
	places   []*place
	names    map[string]*place
	probes   []policy.ServerID
	shut     bool // the recorder
	doubting bool
	strict   bool          // during Sure
	stopped  bool          // by Stop or BeginHandover
	leaving  time.Duration // by when flows have to be moved for a drain or a stop; 0 if none is on
	done     bool          // after Finish
	rash     bool          // something else happens in the middle of the next call to a downstream
	bans     map[string]bool
	agreed   map[string]Removal
	events   map[string]int // of the record, by request and attempt
	stood    int            // words that an attempt is up which was already
	wrong    bool           // the policy says wild things
}

// place is a member as the observer sees it.
type place struct {
	Member
	known   bool // the core has been told of it
	left    bool // it drains, is gone, ejected or agreed out
	told    time.Duration
	spread  time.Duration // over which its flows may be moved
	changed time.Duration // when that last changed
}

// tried is an attempt.
type tried struct {
	to     *place
	at     Member // as it was then
	sent   time.Duration
	until  time.Duration
	result policy.Result
	over   bool
}

// client is a request and its downstream.
type client struct {
	w        *world
	id       ID
	q        Request
	deadline time.Duration
	late     bool // it came when the stop was on
	taken    bool // from another process
	gone     bool
	answers  []string
	attempts []*tried
	up       bool
	upAt     time.Duration
	moved    int
	ended    bool // the flow that stood
}

func (x *client) class() policy.Class { return x.w.c.policyCfg.Classes[x.q.Class] }

// out is the attempt that is out, or the open flow's.
func (x *client) out() *tried {
	if n := len(x.attempts); n > 0 && !x.attempts[n-1].over {
		return x.attempts[n-1]
	}
	return nil
}

func (x *client) open() bool { return x.up && !x.ended }

// settled says whether nothing more may happen to it.
func (x *client) settled() bool { return x.gone || len(x.answers) > 0 && !x.open() }

// ran is the first attempt that may have run.
func (x *client) ran() *tried {
	for _, a := range x.attempts {
		if !a.over || a.result != policy.Full && a.result != policy.ConnectFailed && a.result != policy.NotSent {
			return a
		}
	}
	return nil
}

// called is the start of every call to a downstream.
func (x *client) called(what string) {
	w := x.w
	if x.gone || x.moved > 0 || w.done && what != "move" && what != "cancel" && !x.late {
		w.Fatalf("request %d: %s after its end (gone %v, moved %d, finished %v)", x.id, what, x.gone, x.moved, w.done)
	}
}

// then has something else happen in the middle of a call: another one's client goes away, its attempt ends, or a request comes.
func (x *client) then() {
	w := x.w
	if !w.rash {
		return
	}
	w.rash = false
	others := func(also func(*client) bool) *client {
		return w.pick(func(other *client) bool { return other != x && other != w.opening && also(other) })
	}
	switch w.draw(3, "meanwhile") {
	case 0:
		if other := others(func(other *client) bool { return !other.settled() }); other != nil {
			other.leave()
		}
	case 1:
		if other := others(func(other *client) bool { return other.out() != nil }); other != nil {
			other.ends()
		}
	case 2:
		w.arrive()
	}
}

func (x *client) Send(id ID, to *Member, try int, wait time.Duration) {
	w := x.w
	x.called("send")
	x.id, w.byID[id] = id, x
	p := w.names[to.Name]
	switch max := w.c.Settings.Limits.MaxAttempts; {
	case len(x.answers) > 0, x.out() != nil, try != len(x.attempts), try >= max:
		w.Fatalf("request %d: attempt %d after answers %v, attempts %d of %d", id, try, x.answers, len(x.attempts), max)
	case wait <= 0, w.now+wait > x.deadline:
		w.Fatalf("request %d: sent for %v at %v, deadline %v", id, wait, w.now, x.deadline)
	case x.late:
		w.Fatalf("request %d: sent, though it came after the stop", id)
	case x.q.CurrentMember == "" && p.left && (w.strict || w.now-p.told > 250*time.Millisecond):
		w.Fatalf("request %d: sent to %s, which left %v ago", id, p.Name, w.now-p.told)
	case x.q.CurrentMember == "" && w.doubting:
		w.Fatalf("request %d: sent during a doubt", id)
	case to.Addr != p.Addr:
		w.Fatalf("request %d: sent to %s at %s, it is at %s", id, to.Name, to.Addr, p.Addr)
	}
	if first := x.ran(); first != nil {
		class := x.class()
		same := class.Scope == policy.ScopeAll || class.Scope == policy.ScopeZone && p.Zone == first.at.Zone ||
			class.Scope == policy.ScopeCell && p.Cell == first.at.Cell
		if class.Idempotency == policy.NonIdempotent || class.Idempotency == policy.IdempotencyKey && (!same || w.now >= first.sent+class.DedupWindow) {
			w.Fatalf("request %d: a double effect: first %v at %s, now %v at %s", id, first.sent, first.at.Name, w.now, p.Name)
		}
	}
	x.attempts = append(x.attempts, &tried{to: p, at: p.Member, sent: w.now, until: w.now + wait})
	x.then()
}

func (x *client) Cancel(try int) {
	a := x.out()
	if a == nil || try != len(x.attempts)-1 {
		x.w.Fatalf("request %d: cancelled attempt %d, which is not out", x.id, try)
	}
	a.over, a.result = true, policy.Cancelled
	x.ended = x.up
	x.then()
}

func (x *client) Reject(after time.Duration) {
	class := x.class()
	if x.ran() != nil && !(class.Idempotency == policy.Idempotent || class.Idempotency == policy.IdempotencyKey && class.Scope == policy.ScopeAll) {
		x.w.Fatalf("request %d: rejected, though it may have run", x.id)
	}
	if after < 0 {
		x.w.Fatalf("request %d: rejected for %v", x.id, after)
	}
	x.final("rejected")
}

func (x *client) Fail() { x.final("failed") }

func (x *client) final(answer string) {
	x.called(answer)
	if x.answers = append(x.answers, answer); len(x.answers) > 1 || x.out() != nil {
		x.w.Fatalf("request %d: answers %v", x.id, x.answers)
	}
	x.then()
}

func (x *client) Migrate() {
	x.called("move")
	if !x.open() {
		x.w.Fatalf("request %d: moved, though it is not open", x.id)
	}
	a := x.out()
	x.moved++
	x.ended, a.over, a.result = true, true, policy.Cancelled
	x.then()
}

func (x *client) leave() {
	if !x.settled() {
		x.w.c.ClientGone(x.id)
		x.gone = true
		if x.out() != nil {
			x.w.Fatalf("request %d: an attempt is still out after its client left", x.id)
		}
	}
}

// ---- The record ----

func (w *world) Ready() bool { return !w.shut }
func (w *world) RecordAttempt(_ *Request, id ID, try int, _ string, _, _ time.Duration, _ policy.Result) {
	w.note(fmt.Sprintf("attempt %d.%d", id, try))
}
func (w *world) RecordAnswer(_ *Request, id ID, _ time.Duration, _ Answer, _ int) {
	w.note(fmt.Sprintf("answer %d", id))
}
func (w *world) note(line string) {
	if w.events[line]++; w.events[line] > 1 {
		w.Fatalf("recorded twice: %s", line)
	}
}

// ---- What happens ----

// modelText is settings with all effects, by the slack, the most attempts and what probes there are.
func modelText(t *rapid.T) string {
	text := strings.Replace(classesText, `"answer-slack-ms":8`, fmt.Sprintf(`"answer-slack-ms":%d`, rapid.SampledFrom([]int{0, 8, 60}).Draw(t, "slack")), 1)
	text = strings.Replace(text, `"max-attempts":3`, fmt.Sprintf(`"max-attempts":%d`, 1+evenly(4).Draw(t, "attempts")), 1)
	if rapid.Bool().Draw(t, "probes") {
		text = strings.Replace(text, `"probes":false`, `"probes":true`, 1)
		text = strings.Replace(text, `"extra":{`, `"report":{"source":"on_probe","names":["x0","outstanding","x1"]},"discovery":"subscribe","extra":{"groups":true,`, 1)
	}
	return text
}

func newWorld(t *rapid.T) *world {
	set, err := settings.Decode([]byte(modelText(t)))
	if err != nil {
		t.Fatal(err)
	}
	w := &world{T: t, now: time.Hour, wake: math.MaxInt64, byID: map[ID]*client{}, names: map[string]*place{},
		bans: map[string]bool{}, agreed: map[string]Removal{}, events: map[string]int{}}
	w.c = New(Options{Settings: set, Seed: uint64(evenly(64).Draw(t, "seed")), Clock: func() time.Duration { return w.now },
		Wake: func(at time.Duration) { w.wake = at }, Watch: func() {}, Recorder: w,
		Probe: func(to *Member) {
			if p := w.names[to.Name]; w.doubting || p.left && (w.strict || w.now-p.told > 250*time.Millisecond) {
				w.Fatalf("%s is probed, which left %v ago; doubt %v", to.Name, w.now-p.told, w.doubting)
			}
			w.probes = append(w.probes, to.ID)
		}})
	for i := range 6 {
		p := &place{Member: Member{Name: fmt.Sprint("m", i), Addr: fmt.Sprint("127.0.0.1:", 1000+i),
			Server: policy.Server{ID: policy.ServerID(10 + i), Zone: i % 2, Cell: 1 + i%4, Weight: 1, State: policy.Gone}}}
		w.places = append(w.places, p)
		w.names[p.Name] = p
	}
	return w
}

func (w *world) draw(n int, what string) int { return evenly(n).Draw(w.T, what) }

// evenly draws a number below n. Those of package rapid itself prefer small ones, so that rare events would hardly come.
func evenly(n int) *rapid.Generator[int] {
	return rapid.Custom(func(t *rapid.T) int {
		at := 0
		for range bits.Len(uint(n)) + 3 {
			if at *= 2; rapid.Bool().Draw(t, "bit") {
				at++
			}
		}
		return at % n
	})
}

// pick draws one of the clients that a condition holds for; nil if there is none.
func (w *world) pick(of func(*client) bool) *client {
	var some []*client
	for _, x := range w.all {
		if of(x) {
			some = append(some, x)
		}
	}
	if len(some) == 0 {
		return nil
	}
	return some[w.draw(len(some), "client")]
}

var modelWaits = []time.Duration{-time.Second, 0, 5 * time.Millisecond, 9 * time.Millisecond, 70 * time.Millisecond, 400 * time.Millisecond,
	2 * time.Second, 2 * time.Second, 2 * time.Second}

func (w *world) arrive() {
	x := &client{w: w, late: w.stopped}
	x.q = Request{Class: w.draw(5, "class"), Load: 0.01, Group: uint64(w.draw(3, "group")), Reconnect: w.draw(4, "again") == 0,
		TimeLeft: modelWaits[w.draw(len(modelWaits), "wait")]}
	if w.draw(12, "at") == 0 {
		x.q.CurrentMember = fmt.Sprint("m", w.draw(8, "member"))
	}
	x.deadline = w.now + x.q.TimeLeft
	w.all = append(w.all, x)
	before := w.opening // its front does not know the id before Open has returned
	w.opening = x
	x.id = w.c.Open(x.q, x)
	w.opening, w.byID[x.id] = before, x
	if (x.late || w.shut) && (len(x.answers) != 1 || x.answers[0] != "rejected") {
		w.Fatalf("request %d: came after the stop, or could not be recorded: answers %v", x.id, x.answers)
	}
	if x.q.TimeLeft <= 0 && len(x.answers) != 1 {
		w.Fatalf("request %d: came with no time left: answers %v", x.id, x.answers)
	}
}

func (w *world) comesUp() {
	x := w.pick(func(x *client) bool { return x.out() != nil && !x.up })
	if x == nil {
		return
	}
	if !w.c.FlowEstablished(x.id, len(x.attempts)-1) {
		w.Fatalf("request %d: its attempt is out, and may not be up", x.id)
	}
	x.up, x.upAt = true, w.now
	x.answers = append(x.answers, "served")
}

var modelResults = []policy.Result{policy.OK, policy.Error, policy.Full, policy.Timeout, policy.ConnectFailed, policy.Reset, policy.Cancelled, policy.NotSent}

func (w *world) ends() {
	if x := w.pick(func(x *client) bool { return x.out() != nil }); x != nil {
		x.ends()
	}
}

// ends has the attempt that is out, or the flow, end in some way.
func (x *client) ends() {
	w := x.w
	a, try := x.out(), len(x.attempts)-1
	a.over, a.result = true, modelResults[w.draw(len(modelResults), "result")]
	if x.up {
		x.ended = true
	} else if a.result == policy.OK {
		x.answers, x.up, x.ended = append(x.answers, "served"), true, true
	}
	w.c.AttemptEnded(x.id, try, a.result, w.report())
}

func (w *world) report() policy.Report {
	if w.draw(2, "report") == 0 {
		return policy.NoReport
	}
	return policy.Report{Connections: float64(w.draw(40, "connections")), Load: float64(w.draw(20, "load")) / 10, Util: -1, Backlog: float64(w.draw(3, "backlog")) / 10}
}

// stale is a word that comes too late or speaks of nothing.
func (w *world) stale() {
	x := w.pick(func(x *client) bool { return true })
	if x == nil {
		return
	}
	try := w.draw(5, "try") - 1
	if a := x.out(); a != nil && try == len(x.attempts)-1 {
		if x.up {
			w.stood++
			if w.c.FlowEstablished(x.id, try) {
				w.Fatalf("request %d: up twice", x.id)
			}
		}
		return
	}
	if w.c.FlowEstablished(x.id, try) {
		w.Fatalf("request %d: up by attempt %d, which is not out", x.id, try)
	}
	w.c.AttemptEnded(x.id, try, modelResults[w.draw(len(modelResults), "result")], policy.NoReport)
	if x.settled() {
		w.c.ClientGone(x.id)
	}
}

func (w *world) probed() {
	if len(w.probes) == 0 {
		return
	}
	i := w.draw(len(w.probes), "probe")
	id := w.probes[i]
	w.probes = slices.Delete(w.probes, i, i+1)
	w.c.ProbeResult(id, []policy.Result{policy.OK, policy.OK, policy.Full, policy.Timeout, policy.NotSent}[w.draw(5, "result")], w.report())
}

// list is what discovery says.
func (w *world) list() {
	kind := []policy.ListKind{policy.ListDelta, policy.ListDelta, policy.ListDelta, policy.ListFull, policy.ListCached, policy.ListFailed}[w.draw(6, "kind")]
	if kind == policy.ListFailed {
		w.c.UpdateMembers(kind, nil)
		return
	}
	var named []Member
	for _, p := range w.places {
		if w.draw(3, "named") == 0 == (kind == policy.ListDelta) { // few of a change, most of a whole list
			p.State = []policy.ServerState{policy.Ready, policy.Ready, policy.Ready, policy.Draining, policy.Gone}[w.draw(5, "state")]
			if w.draw(6, "restart") == 0 {
				p.Started, p.State = w.now, policy.Ready
			}
			p.known = true
			named = append(named, p.Member)
		} else if kind != policy.ListDelta {
			p.State = policy.Gone
		}
	}
	w.see()
	w.c.UpdateMembers(kind, named)
}

// see notes which members have begun to leave.
func (w *world) see() {
	for _, p := range w.places {
		drain, agreed := w.agreed[p.Name]
		left := p.known && (p.State != policy.Ready || w.bans[p.Name] || agreed)
		if left && !p.left {
			p.told = w.now
		}
		spread := time.Duration(0)
		if p.left = left; agreed && !w.bans[p.Name] && p.State == policy.Ready {
			spread = drain.SpreadOver
		}
		if spread != p.spread {
			p.spread, p.changed = spread, w.now
		}
	}
}

func (w *world) ban() {
	name := fmt.Sprint("m", w.draw(7, "member"))
	if w.bans[name] {
		delete(w.bans, name)
		w.see()
		w.c.Reinstate(name)
	} else {
		w.bans[name] = true
		w.see()
		w.c.Eject(name)
	}
}

func (w *world) agree() {
	out := map[string]Removal{}
	for _, p := range w.places {
		if w.draw(4, "out") == 0 {
			out[p.Name] = Removal{SpreadOver: []time.Duration{0, 500 * time.Millisecond, 8 * time.Second}[w.draw(3, "over")], Ejection: w.draw(2, "ban") == 0}
		}
	}
	w.agreed = out
	w.see()
	w.c.SetFleetRemovals(out)
}

func (w *world) drain() {
	if w.c.AcceptsClients() {
		w.leaving = w.now + drainMigrationEnd
		w.c.Drain()
		return
	}
	w.c.Resume()
	if !w.stopped {
		w.leaving = 0
	}
}

func (w *world) doubt() {
	if !w.doubting {
		w.doubting = true
		w.c.PauseDispatch()
		return
	}
	w.doubting, w.strict = false, true
	w.c.ResumeDispatch()
	w.strict = false
}

func (w *world) stop() {
	if w.stopped {
		return
	}
	w.stopped, w.leaving = true, w.now+fraction(stopMigrationEnd, w.c.StopTimeout())
	if w.draw(2, "another takes its place") == 0 {
		w.c.BeginHandover()
	} else {
		w.c.Stop()
	}
}

// pass is another process that goes on with a flow of this one, or this one with that of another.
func (w *world) pass() {
	if x := w.pick((*client).open); x != nil && w.draw(2, "pass") == 0 {
		a := x.out()
		x.ended, a.over, a.result = true, true, policy.Cancelled
		if p, ok := w.c.ReleaseFlow(x.id); !ok || p.Member != a.to.Name {
			w.Fatalf("request %d: passed %v with %s, it is at %s", x.id, ok, p.Member, a.to.Name)
		}
		return
	}
	p := w.places[w.draw(len(w.places), "member")]
	x := &client{w: w, taken: true, up: true, upAt: w.now, answers: []string{"served"}, q: Request{Class: w.draw(5, "class")}}
	x.attempts = []*tried{{to: p, at: p.Member, sent: w.now}}
	id, _, ok := w.c.AdoptFlow(FlowTransfer{Request: x.q, Member: p.Name}, x)
	if ok != p.known {
		w.Fatalf("taken %v from a member that is known %v", ok, p.known)
	}
	if x.id = id; ok {
		w.all, w.byID[id] = append(w.all, x), x
	}
}

func (w *world) notes() {
	x := w.pick((*client).open)
	if x == nil {
		return
	}
	switch w.draw(3, "note") {
	case 0:
		w.c.UpdateLoad(x.id, float64(w.draw(50, "load"))/100)
	case 1:
		w.c.ObserveMessageLatency(x.id, time.Duration(w.draw(400, "took"))*time.Millisecond)
	default:
		w.c.SetActiveRelays(float64(w.draw(5, "relays")))
	}
}

// run lets time pass, with a Tick whenever one is due.
func (w *world) run(d time.Duration) {
	end := w.now + d
	for n := 0; w.wake <= end; n++ {
		if n > 100_000 {
			w.Fatalf("ticks without end at %v", w.now)
		}
		w.now, w.wake = max(w.now, w.wake), math.MaxInt64
		w.c.Tick()
		w.check()
	}
	w.now = end
}

// ---- What has to hold at any time ----

func (w *world) check() {
	flows := map[string]int{}
	for _, x := range w.all {
		a := x.out()
		if a != nil {
			flows[a.to.Name]++
		}
		if due := w.wake <= w.now; !x.gone && !due { // else a Tick is still to come
			x.inTime(a)
		}
		if held := !x.settled(); w.c.IsActive(x.id) != held {
			w.Fatalf("request %d: held %v, by what was seen %v", x.id, !held, held)
		}
	}
	for _, p := range w.places {
		if n := w.c.FlowCount(p.ID); n != flows[p.Name] {
			w.Fatalf("%s: %d flows, by what was seen %d", p.Name, n, flows[p.Name])
		}
	}
}

// inTime says that nothing of a client is overdue: its answer, its attempt, the move of its flow.
func (x *client) inTime(a *tried) {
	w := x.w
	switch {
	case len(x.answers) == 0 && w.now >= x.deadline:
		w.Fatalf("request %d: no answer at %v, deadline %v", x.id, w.now, x.deadline)
	case a != nil && !x.up && w.now >= a.until:
		w.Fatalf("request %d: its attempt is still out at %v, it was for until %v", x.id, w.now, a.until)
	case !x.open():
		return
	case w.leaving > 0 && w.now > max(w.leaving, x.upAt+StopNotice/2):
		w.Fatalf("request %d: its flow is not moved by the end of a drain or stop", x.id)
	}
	if p := a.to; p.left && !w.wrong { // which moves when a member leaves is the policy's decision
		if w.now > max(p.told+p.spread, p.changed, x.upAt) {
			w.Fatalf("request %d: its flow is not moved %v after %s left", x.id, w.now-p.told, p.Name)
		}
	}
}

// wild is a word that a faulty policy might decide: the rules hold all the same.
func (w *world) wild() {
	if !w.wrong {
		return
	}
	x := w.pick(func(x *client) bool { return !x.settled() })
	if x == nil || w.draw(6, "any") == 0 {
		x = w.pick(func(x *client) bool { return true })
	}
	if x == nil {
		return
	}
	do := policy.ActionSend
	if w.draw(2, "send") == 0 {
		do = policy.ActionKind(w.draw(int(policy.ActionWait)+1, "do"))
	}
	v := policy.Action{Kind: do, ID: x.id, Server: policy.ServerID(10 + w.draw(7, "member")),
		Attempt: w.draw(4, "try"), Duration: time.Duration(w.draw(900, "for")) * time.Millisecond}
	w.c.apply([]policy.Action{v})
}

// step is what happens next, the likelier ones several times.
var modelSteps = []struct {
	name string
	of   int
	do   func(w *world)
}{
	{"arrive", 10, (*world).arrive},
	{"up", 5, (*world).comesUp},
	{"end", 7, (*world).ends},
	{"stale", 1, (*world).stale},
	{"leave", 2, func(w *world) {
		if x := w.pick(func(x *client) bool { return !x.settled() }); x != nil {
			x.leave()
		}
	}},
	{"rash", 2, func(w *world) { w.rash = true }},
	{"probed", 4, (*world).probed},
	{"list", 3, (*world).list},
	{"ban", 1, (*world).ban},
	{"agree", 1, (*world).agree},
	{"drain", 1, (*world).drain},
	{"doubt", 2, (*world).doubt},
	{"pass", 1, (*world).pass},
	{"wild", 6, (*world).wild},
	{"notes", 1, (*world).notes},
	{"ledger", 1, func(w *world) { w.shut = !w.shut && w.draw(4, "shut") == 0 }},
	{"time", 6, func(w *world) {
		w.run([]time.Duration{0, time.Millisecond, 30 * time.Millisecond, 249 * time.Millisecond, 251 * time.Millisecond, 700 * time.Millisecond, 2 * time.Second}[w.draw(7, "time")])
	}},
	{"stall", 1, func(w *world) { w.now += time.Duration(1+w.draw(900, "stall")) * time.Millisecond }},
}

// TestModel plays requests and connections among all that may happen to them, and holds the core to what clients, members and the
// record may see.
func TestModel(t *testing.T) {
	var steps []int
	for i, s := range modelSteps {
		steps = append(steps, slices.Repeat([]int{i}, s.of)...)
	}
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		w.wrong = w.draw(4, "wrong") == 0
		for _, p := range w.places[:4] {
			p.State, p.known = policy.Ready, true
		}
		w.see()
		w.c.UpdateMembers(policy.ListCached, []Member{w.places[0].Member, w.places[1].Member, w.places[2].Member, w.places[3].Member})
		n := 1 + w.draw(160, "steps")
		stop := w.draw(2*n, "stop")
		for i := range n {
			if i == stop {
				w.stop()
			}
			s := modelSteps[steps[w.draw(len(steps), "step")]]
			s.do(w)
			if s.name != "stall" { // there the next one comes before what is due
				w.run(0)
				w.check()
			}
		}
		w.finish()
	})
}

// finish ends the relay, and looks at what is left.
func (w *world) finish() {
	w.run(0)
	w.stop()
	w.run([]time.Duration{0, 300 * time.Millisecond, w.c.StopTimeout()}[w.draw(3, "stop takes")])
	w.c.FinishStop()
	w.done = true
	w.check()
	if n := w.c.ActiveRequests(); n > 0 {
		w.Fatalf("%d held after the end", n)
	}
	attempts, moves := 0, 0
	for _, x := range w.all {
		if attempts += len(x.attempts); len(x.answers) == 0 != x.gone && !(x.gone && x.up) {
			w.Fatalf("request %d: answers %v, its client left %v", x.id, x.answers, x.gone)
		}
		moves += x.moved
		if x.out() != nil {
			w.Fatalf("request %d: an attempt is out after the end", x.id)
		}
		if w.events[fmt.Sprintf("answer %d", x.id)] != 1 {
			w.Fatalf("request %d: its answer is not recorded", x.id)
		}
	}
	c := w.c.Counts
	if !w.wrong && c.IgnoredEvents != w.stood {
		w.Fatalf("%d events ignored, %d of them words on a flow that stood already", c.IgnoredEvents, w.stood)
	}
	if len(w.events) != len(w.all)+attempts || c.Requests != len(w.all) || c.Attempts != attempts || c.Migrations != moves ||
		c.Served+c.Rejected+c.Failed+c.ClientsGone != c.Requests || c.SentAfterGrace > 0 {
		w.Fatalf("%d requests, %d attempts, %d moves and %d records, counts %+v", len(w.all), attempts, moves, len(w.events), c)
	}
	for range 5 {
		w.stale()
	}
	if w.doubting {
		w.doubt()
	}
	w.run(20 * time.Second) // beyond all waits and all spans
	if w.c.pausedActions != nil || len(w.c.timers) > 0 || len(w.c.pendingActions) > 0 || len(w.c.requests) > 0 {
		w.Fatalf("left behind: %d held sends, %d alarms, %d verdicts, %d requests", len(w.c.pausedActions), len(w.c.timers), len(w.c.pendingActions), len(w.c.requests))
	}
	w.c.UpdateMembers(policy.ListFull, nil)
	if l := w.c.LearnedState().Policy.Servers; len(l) > 0 && !w.wrong { // the policy keeps those alone at which it takes flows to be open
		w.Fatalf("the module still holds flows at %v", l)
	}
}

package integration

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"dahliarudder/internal/rollout"
)

// leaderOrNone is the relay that reports itself as the leader; -1 if none does.
func (f *fleetRig) leaderOrNone() int {
	for i := range f.relays {
		var a struct{ Engine struct{ Role string } }
		if f.call(i, "GET", "/-/fleet", nil, &a) == 200 && a.Engine.Role == "leader" {
			return i
		}
	}
	return -1
}

// waitForWithin is waitFor with its own time limit, for what takes several waits.
func waitForWithin(t *testing.T, span time.Duration, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(span); !ok(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("waited in vain: %s", what)
		}
	}
}

// logReleaseOnFailure logs the release when the test fails.
func (f *fleetRig) logReleaseOnFailure(name string) {
	f.t.Cleanup(func() {
		if f.t.Failed() {
			f.logRelease(name)
		}
	})
}

// unavailableCount is how many things a release has out, by the record of a relay as it is.
func (f *fleetRig) unavailableCount(i int, name string) int {
	var a rollout.ReleaseStatus
	if f.call(i, "GET", "/-/releases/"+name+"?stale", nil, &a) != 200 {
		return 0
	}
	return a.Counts.Out
}

// isLeaving reports whether a relay was ordered to leave, and not since then to stay.
func isLeaving(r *relay) bool {
	log := r.log.String()
	return strings.LastIndex(log, "fleet: ordered to leave") > strings.LastIndex(log, "fleet: may stay")
}

// TestFleetConflictingRelease: a release that touches what another one touches is refused with that one's name, or queued if
// that is wanted; one that touches other things starts. Guards against two releases that contend for one unit.
func TestFleetConflictingRelease(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 3, 3, 3, nil)
	f.waitLeader()
	f.mustCall(0, "POST", "/-/releases", map[string]any{"name": "a", "kind": "member", "drain": true, "names": []string{"s0"}})
	var a rollout.Result
	code := f.call(1, "POST", "/-/releases", map[string]any{"name": "b", "kind": "member", "drain": true, "names": []string{"s0", "s1"}}, &a)
	if code != 409 || !strings.Contains(a.Error, `"a"`) {
		t.Errorf("%d %+v", code, a)
	}
	if code := f.call(2, "GET", "/-/releases/b", nil, nil); code != 404 {
		t.Errorf("what was refused is answered with %d", code)
	}
	f.mustCall(1, "POST", "/-/releases", map[string]any{"name": "c", "kind": "member", "drain": true, "wait": true, "names": []string{"s0"}})
	if a := f.waitRelease(2, "c", rollout.ReleaseQueued); a.QueuedBehind != "a" {
		t.Errorf("behind %q", a.QueuedBehind)
	}
	waitFor(t, "s0 to be out", func() bool { return len(f.ejectedMembers(2)) == 1 })
	f.mustCall(2, "PUT", "/-/releases/a/back", nil)
	f.waitRelease(0, "a", rollout.ReleaseRolledBack)
	if a := f.waitRelease(0, "c", rollout.ReleaseRunning, rollout.ReleaseCompleted); a.QueuedBehind != "" {
		t.Errorf("still behind %q", a.QueuedBehind)
	}
	waitFor(t, "s0 to be out for the one that waited", func() bool { return f.unavailableCount(1, "c") == 1 && len(f.ejectedMembers(1)) == 1 })
}

// rolloutWatch is what is seen of a release that has relays leave, one at a time.
type rolloutWatch struct {
	f     *fleetRig
	name  string
	ended map[int]int // by order
	dead  int         // one that is down beside, -1 for none
}

func (f *fleetRig) watch(name string) *rolloutWatch {
	f.logReleaseOnFailure(name)
	return &rolloutWatch{f, name, map[int]int{}, -1}
}

// checkOneOut checks that at most one relay is out, by any record and by the relays' orders.
func (w *rolloutWatch) checkOneOut() {
	w.f.t.Helper()
	told := 0
	for i, r := range w.f.relays {
		if n := w.f.unavailableCount(i, w.name); n > 1 {
			w.f.t.Errorf("n%d: %d are out by order", i, n)
		}
		if isLeaving(r) && i != w.dead {
			told++
		}
	}
	if told > 1 {
		w.f.t.Errorf("%d relays leave at once", told)
	}
}

// restartOrdered starts who has ended by order.
func (w *rolloutWatch) restartOrdered() {
	for i := range w.f.relays {
		if i != w.dead && w.f.restartOnExit(i) {
			w.ended[i]++
		}
	}
}

// TestFleetLeaderKilled: the leader is killed while another relay is out by order. The release continues under the next leader
// once the killed relay is back; nothing more is ordered meanwhile, and each relay exits by order once. Guards against a new
// leader that does not know its predecessor's orders, and against one that counts a lost relay as free budget.
func TestFleetLeaderKilled(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 4, 3, 4, map[string]any{"relays": map[string]string{"whole": "1"}})
	f.waitLeader()
	f.mustCall(3, "POST", "/-/releases", map[string]any{"name": "r", "kind": "relay", "all": true})
	w := f.watch("r")
	other := -1
	waitForWithin(t, eventTimeout, "one relay to have left, and another to leave that does not lead", func() bool {
		w.checkOneOut()
		w.restartOrdered()
		l := f.leaderOrNone()
		if len(w.ended) == 0 || l < 0 || isLeaving(f.relays[l]) {
			return false
		}
		for i, r := range f.relays {
			if i != l && isLeaving(r) {
				w.dead, other = l, i
			}
		}
		return other >= 0
	})
	killed := w.dead
	f.kill(killed)
	// The other one is not started again before the killed one: while it is out there is no room, so that all are told to leave once. If
	// both vote, there is no majority and no leader until then.
	waitForWithin(t, eventTimeout, "another leader, or the end of the other one", func() bool {
		w.checkOneOut()
		return f.leaderOrNone() >= 0 || len(f.relays[other].done) > 0
	})
	f.start(killed)
	w.dead = -1
	waitForWithin(t, 2*eventTimeout, "all relays to have left by order", func() bool { w.checkOneOut(); w.restartOrdered(); return len(w.ended) == 4 })
	if a := f.waitRelease(killed, "r", rollout.ReleaseCompleted); a.Counts.Done != 4 {
		t.Errorf("%+v", a)
	}
	for i, n := range w.ended {
		if n != 1 {
			t.Errorf("n%d left %d times", i, n)
		}
	}
}

// TestFleetAllKilled: all relays are killed at once while one has left by order and the next one has its order. Started again
// they continue from their disks to the release's end: never more than one is out, and nobody leaves twice, not even the one
// that was killed with its order. Guards against a release that is lost, restarted or blocked for ever by a loss of power.
func TestFleetAllKilled(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 4, 3, 4, map[string]any{"relays": map[string]string{"whole": "1"}})
	f.waitLeader()
	f.mustCall(3, "POST", "/-/releases", map[string]any{"name": "r", "kind": "relay", "all": true})
	w := f.watch("r")
	told := func() int { return slices.IndexFunc(f.relays, isLeaving) }
	waitForWithin(t, eventTimeout, "one relay to have left, and another to leave", func() bool {
		w.checkOneOut()
		w.restartOrdered()
		return len(w.ended) > 0 && told() >= 0
	})
	had := told()
	f.kill(0, 1, 2, 3)
	if left := <-f.relays[had].done; left != nil && strings.Contains(left.Error(), "75") {
		w.ended[had]++ // just before
	}
	for i := range f.relays {
		f.start(i)
	}
	before := w.ended[had]
	waitForWithin(t, 3*eventTimeout, "the release to end", func() bool {
		w.checkOneOut()
		w.restartOrdered()
		var a rollout.ReleaseStatus
		return f.call(3, "GET", "/-/releases/r", nil, &a) == 200 && a.State == rollout.ReleaseCompleted && a.Counts.Done == 4
	})
	for i := range f.relays {
		if n := w.ended[i]; i != had && n != 1 || i == had && n != before {
			t.Errorf("n%d left %d times by order; n%d was killed with one", i, n, had)
		}
	}
}

// restartMember starts a member again at its address, in slow start, as its owner does who replaces it.
func (f *fleetRig) restartMember(i int) time.Time {
	f.t.Helper()
	b := f.members[i]
	b.Kill()
	now := time.Now()
	if err := b.Start(now); err != nil {
		f.t.Fatal(err)
	}
	e := b.entry()
	e.Started = now.UnixMilli()
	f.d.Put(e)
	return now
}

// shortSlowStart are settings with a slow start of three seconds.
var shortSlowStart = strings.Replace(settingsText, `"cold-ms":8600`, `"cold-ms":3000`, 1)

// TestFleetNoMajority: two of three voters are cut off while one member of a release is out. Its owner replaces it meanwhile,
// so that the next one would be due: it does not go out, the order holds at every relay, and after the cut the release
// continues to its end. Guards against a leader that orders what no other voter knows, and against relays that forget an order
// while the record is out of reach.
func TestFleetNoMajority(t *testing.T) {
	t.Parallel()
	f := newFleetWithSettings(t, shortSlowStart, 4, 3, 3, nil)
	l := f.waitLeader()
	f.mustCall(3, "POST", "/-/releases", map[string]any{"name": "m", "kind": "member", "names": []string{"s0", "s1"}})
	f.logReleaseOnFailure("m")
	out := func(i int) string { return strings.Join(f.ejectedMembers(i), " ") }
	for i := range f.relays {
		waitFor(t, "the first to be out", func() bool { return out(i) != "" })
	}
	empty := func(name string) {
		t.Helper()
		waitForWithin(t, eventTimeout, name+" to be empty", func() bool {
			for _, u := range f.waitRelease(3, "m", rollout.ReleaseRunning).Units {
				if u.Name == name {
					return u.Phase == rollout.PhaseDrained
				}
			}
			return false
		})
	}
	first := out(l)
	at := int(first[1] - '0')
	empty(first) // its owner may replace it
	f.isolate(l, true)
	f.isolate((l+1)%3, true)
	f.restartMember(at)
	for end := time.Now().Add(6 * time.Second); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		for i := range f.relays {
			if got := out(i); got != first {
				t.Fatalf("n%d has %q out, before the cut %q", i, got, first)
			}
			if n := f.flowsToMember(i, 1, at); n > 0 {
				t.Errorf("n%d: a flow at a member that is out", i)
			}
		}
	}
	f.isolate(l, false)
	f.isolate((l+1)%3, false)
	other := map[string]string{"s0": "s1", "s1": "s0"}[first]
	for i := range f.relays {
		waitFor(t, "the next to be out", func() bool { return out(i) == other })
	}
	empty(other)
	f.restartMember(1 - at)
	if a := f.waitRelease(3, "m", rollout.ReleaseCompleted, rollout.ReleaseHalted); a.State != rollout.ReleaseCompleted {
		t.Errorf("%+v", a)
	}
}

// TestFleetStaleOrder: a relay that was ordered to leave is suspended before it can exit; meanwhile the release is halted and
// rolled back. When the relay continues, its exit is long overdue, and it knows only the order: it asks the leader, stays, and
// serves. Guards against an exit by a revoked order.
func TestFleetStaleOrder(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 4, 3, 3, nil)
	old := (f.waitLeader() + 1) % 3
	r := f.relays[old]
	f.waitAccepting(old)
	r.openFlows(24)
	f.mustCall(3, "POST", "/-/releases", map[string]any{"name": "o", "kind": "relay", "names": []string{fmt.Sprintf("n%d", old)}})
	f.logReleaseOnFailure("o")
	r.waitLogged("fleet: ordered to leave")
	r.cmd.Process.Signal(syscall.SIGSTOP)
	t.Cleanup(func() { r.cmd.Process.Signal(syscall.SIGCONT) })
	f.mustCall(3, "PUT", "/-/releases/o/halt", nil)
	f.mustCall(3, "PUT", "/-/releases/o/back", nil)
	time.Sleep(6 * time.Second) // beyond what a drain is waited for
	if a := f.waitRelease(3, "o", rollout.ReleaseRollingBack); a.Counts.Out != 1 {
		t.Errorf("nobody has seen it serve: %+v", a)
	}
	r.cmd.Process.Signal(syscall.SIGCONT)
	r.waitLogged("fleet: may stay")
	f.waitRelease(3, "o", rollout.ReleaseRolledBack)
	for n := range 6 {
		r.openFlow(1000+n, "").wantLine("UP ")
	}
	select {
	case err := <-r.done:
		t.Errorf("it has ended: %v", err)
	default:
	}
}

// TestFleetMissedEjection: a relay whose record is cut off does not learn of an ejection and still uses the member; the leader
// reports it as unreachable. When the record is back the relay applies the ejection by itself, and the drift row goes. Guards
// against drift that nobody sees.
func TestFleetMissedEjection(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 4, 3, 3, nil)
	f.waitLeader()
	f.isolate(3, true)
	f.setEverywhere(0, "s0", true)
	for i := range 3 {
		f.relays[i].waitLogged("fleet: members that are out")
		if n := f.flowsToMember(i, 12, 0); n > 0 {
			t.Errorf("n%d: %d flows though it knows", i, n)
		}
	}
	if n := f.flowsToMember(3, 24, 0); n == 0 {
		t.Error("the one that cannot know of the ban sends nothing there: nothing is shown here")
	}
	states := func() (all []string) {
		var a struct {
			Rows []struct{ Relay, Item, State string }
		}
		if f.call(f.waitLeader(), "GET", "/-/drift", nil, &a) != 200 {
			return []string{"unknown"}
		}
		for _, r := range a.Rows {
			if r.Relay == "n3" {
				all = append(all, r.Item+" "+r.State)
			}
		}
		return all
	}
	var last []string
	waitFor(t, "n3 to be shown as not heard", func() bool {
		time.Sleep(100 * time.Millisecond)
		last = states()
		return strings.Contains(strings.Join(last, ","), "not heard") || strings.Contains(strings.Join(last, ","), "late")
	})
	t.Logf("shown as %q", last)
	f.isolate(3, false)
	f.relays[3].waitLogged("fleet: members that are out")
	if n := f.flowsToMember(3, 12, 0); n > 0 {
		t.Errorf("%d flows after it took the ban", n)
	}
	waitForWithin(t, 2*eventTimeout, "the row to go", func() bool { last = states(); return len(last) == 0 })
}

// TestFleetPausePartitioned: no two relays' records reach each other when an operator pauses a canary at one relay. The call cannot be agreed, yet every
// relay goes to zero by what relays pass on in datagrams, and stays there when the record is back, until a resume is agreed. Guards against a
// invalidFirstLines build that gets flows for as long as there is no majority.
func TestFleetPausePartitioned(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 4, 3, 4, nil)
	f.waitLeader()
	f.mustCall(0, "POST", "/-/canaries", map[string]any{"release": "c", "arm": map[string]any{"members": []string{"s0"}}, "ladder": []int{500, 1000},
		"floor": 100000, "longest": 600000, "error": 0.01, "guards": []map[string]any{{"metric": "failures", "points": 50}}})
	flows := func() (n int) { // at the arm, of 40 at each relay
		for i := range f.relays {
			n += f.flowsToMember(i, 40, 0)
		}
		return n
	}
	logged := func(weight string) { // the newest
		t.Helper()
		for i, r := range f.relays {
			waitFor(t, fmt.Sprintf("n%d to go to %s", i, weight), func() bool {
				log := r.log.String()
				at := strings.LastIndex(log, "fleet: canary weights")
				return at >= 0 && strings.Contains(log[at:], weight)
			})
		}
	}
	logged("map[c:500]")
	for i := range 3 {
		f.isolate(i, true)
	}
	if flows() == 0 {
		t.Error("nothing at the arm before the pause")
	}
	begun := time.Now()
	answered := make(chan int, 1)
	go func() { answered <- f.call(3, "PUT", "/-/canaries/c/pause", nil, nil) }()
	logged("map[c:0]")
	t.Logf("zero everywhere after %v", time.Since(begun).Round(time.Millisecond))
	if k := flows(); k > 0 {
		t.Errorf("%d flows at the arm of a paused canary", k)
	}
	if code := <-answered; code == 200 {
		t.Error("a pause was agreed without a majority")
	}
	for i := range 3 {
		f.isolate(i, false)
	}
	f.mustCall(3, "PUT", "/-/canaries/c/pause", nil)
	var a struct {
		Canaries []struct {
			Status   string
			PerMille int `json:"per_mille"`
		}
	}
	for i := range f.relays {
		waitFor(t, "the pause in the record", func() bool {
			a.Canaries = nil
			return f.call(i, "GET", "/-/canaries", nil, &a) == 200 && len(a.Canaries) == 1 && a.Canaries[0].PerMille == 0
		})
	}
	t.Logf("agreed: %+v", a)
	if k := flows(); k > 0 {
		t.Errorf("%d flows at the arm after the pause was agreed", k)
	}
	f.mustCall(1, "PUT", "/-/canaries/c/resume", nil)
	logged("map[c:500]")
	if flows() == 0 {
		t.Error("nothing at the arm after it was resumed")
	}
}

// TestFleetPermits: two owners request one member each, and one may be out. The second one waits, is told why and when to
// retry, and keeps its number. It is granted once the first member, restarted, has its full capacity, by the relays'
// observations and not by its owner's statement. A finished number does nothing. Guards against a budget that is granted twice.
func TestFleetPermits(t *testing.T) {
	t.Parallel()
	f := newFleetWithSettings(t, strings.Replace(settingsText, `"cold-ms":8600`, `"cold-ms":7000`, 1), 4, 3, 3, nil)
	f.waitLeader()
	for i, r := range f.relays {
		f.waitAccepting(i)
		r.openFlows(6) // so that what members bear is known
	}
	ask := func(i int, who, name string) rollout.Result {
		t.Helper()
		a := f.mustCall(i, "POST", "/-/permits", map[string]any{"kind": "member", "name": name, "who": who, "for_ms": 60000, "why": "a kernel"})
		time.Sleep(100 * time.Millisecond)
		return a
	}
	var a, b rollout.Result
	first := ask(0, "ann", "s0")
	second := ask(1, "bob", "s1")
	waitFor(t, "the first to be granted", func() bool { a = ask(2, "ann", "s0"); return a.State == string(rollout.PermitGranted) })
	if b = ask(3, "bob", "s1"); b.State != string(rollout.PermitWaiting) || b.Reason == "" || b.RetryAfterMS <= 0 {
		t.Errorf("%+v", b)
	}
	if a.Number != first.Number || b.Number != second.Number || a.Number == b.Number || a.RemainingMS <= 0 {
		t.Errorf("%+v, before %+v; %+v, before %+v", a, first, b, second)
	}
	if code := f.call(0, "PUT", fmt.Sprintf("/-/permits/%d/begin", b.Number), nil, nil); code != 409 {
		t.Errorf("one that waits may begin: %d", code)
	}
	f.mustCall(1, "PUT", fmt.Sprintf("/-/permits/%d/begin", a.Number), nil)
	begun := f.restartMember(0)
	f.mustCall(2, "PUT", fmt.Sprintf("/-/permits/%d/done", a.Number), nil)
	var took time.Duration
	waitForWithin(t, eventTimeout, "the second to be granted", func() bool {
		b = ask(3, "bob", "s1")
		took = time.Since(begun)
		return b.State == string(rollout.PermitGranted)
	})
	if took < 7*time.Second { // the rule, not a measure: it is cold until then
		t.Errorf("granted after %v, while the first was cold", took)
	}
	if b.Number != second.Number {
		t.Errorf("granted as %d, asked as %d", b.Number, second.Number)
	}
	for _, verb := range []string{"begin", "done"} {
		if code := f.call(0, "PUT", fmt.Sprintf("/-/permits/%d/%s", a.Number, verb), nil, nil); code != 409 {
			t.Errorf("%s of an old number: %d", verb, code)
		}
	}
}

// TestFleetDisablePartitioned: two of three voters are cut off, so that there is no majority, and an operator disables a member
// generation one relay. The call takes effect there and then, and at no other relay; with the majority back it still holds at that
// relay alone, is shown as drift, and ends when it is lifted there. Guards against a call that does nothing during a partition,
// and against one that enters the record later.
func TestFleetDisablePartitioned(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 4, 3, 3, nil)
	f.waitLeader()
	f.isolate(0, true)
	f.isolate(1, true)
	f.waitNoMajority(0, 1, 2, 3)
	f.relays[3].mustPut("/-/backends/s2/disable")
	check := func(when string) {
		t.Helper()
		if n := f.flowsToMember(3, 12, 2); n > 0 {
			t.Errorf("%s: %d flows at a member that is disabled here", when, n)
		}
		for i := range 3 {
			if f.flowsToMember(i, 24, 2) == 0 {
				t.Errorf("%s: n%d was told nothing, and uses it no more", when, i)
			}
		}
	}
	check("without a majority")
	f.isolate(0, false)
	f.isolate(1, false)
	waitFor(t, "it to be shown as drift", func() bool { return f.localEjections(3) == 1 })
	check("with the majority back")
	f.relays[3].mustPut("/-/backends/s2/enable")
	waitFor(t, "the drift to end", func() bool { return f.localEjections(3) == 0 })
	waitFor(t, "n3 to use it again", func() bool { return f.flowsToMember(3, 1, 2) > 0 })
}

// TestFleetStartPartitioned: a voter and a follower that start while the record is out of reach keep what they knew: nothing
// goes to an ejected member. Guards against a restart that bypasses an ejection.
func TestFleetStartPartitioned(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 4, 3, 3, nil)
	f.waitLeader()
	f.setEverywhere(1, "s0", true)
	for _, i := range []int{0, 3} {
		path := filepath.Join(filepath.Dir(f.conf[i]), "record", "agreed.json")
		waitFor(t, "the ban to be kept", func() bool {
			text, _ := os.ReadFile(path)
			return strings.Contains(string(text), `"s0"`)
		})
		f.isolate(i, true)
	}
	f.kill(0, 3)
	for _, i := range []int{0, 3} {
		f.start(i)
		if n := f.flowsToMember(i, 24, 0); n > 0 {
			t.Errorf("n%d: %d flows at a member that it knew to be banned", i, n)
		}
		f.isolate(i, false)
	}
	f.setEverywhere(1, "s0", false)
	for _, i := range []int{0, 3} {
		waitFor(t, "it to be used again", func() bool { return f.flowsToMember(i, 1, 0) > 0 })
	}
}

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

// leaderOrNone returns the relay that reports itself as the leader, or -1 if none does.
func (f *fleetRig) leaderOrNone() int {
	for i := range f.relays {
		var a struct{ Engine struct{ Role string } }
		if f.call(i, "GET", "/-/fleet", nil, &a) == 200 && a.Engine.Role == "leader" {
			return i
		}
	}
	return -1
}

// waitForWithin is waitFor with a time limit of its own, for events that take longer than eventTimeout
// or for conditions that are expensive to check.
func waitForWithin(t *testing.T, timeout time.Duration, event string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(timeout); !ok(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timed out after %v waiting for %s", timeout, event)
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

// unavailableCount returns how many relays or members a release has out of service, according to relay
// i's own copy of the record, which may be stale. It returns 0 if the relay does not answer.
func (f *fleetRig) unavailableCount(i int, name string) int {
	var a rollout.ReleaseStatus
	if f.call(i, "GET", "/-/releases/"+name+"?stale", nil, &a) != 200 {
		return 0
	}
	return a.Counts.Out
}

// isLeaving reports whether the relay's latest logged order is to leave and not to stay.
func isLeaving(r *relay) bool {
	log := r.log.String()
	return strings.LastIndex(log, "fleet: ordered to leave") > strings.LastIndex(log, "fleet: order to leave revoked")
}

// TestFleetConflictingRelease: a release that includes a member of another release is refused with the
// other one's name, or queued if the caller asks for that; once the other release is rolled back the
// queued one starts. Guards against two releases that act on the same member.
func TestFleetConflictingRelease(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 3, 3, 3, nil)
	f.waitLeader()
	f.mustCall(0, "POST", "/-/releases", map[string]any{"name": "a", "kind": "member", "drain": true, "names": []string{"s0"}})
	var a rollout.Result
	code := f.call(1, "POST", "/-/releases", map[string]any{"name": "b", "kind": "member", "drain": true, "names": []string{"s0", "s1"}}, &a)
	if code != 409 || !strings.Contains(a.Error, `"a"`) {
		t.Errorf("POST release b = %d %+v, want 409 and the name of the conflicting release a", code, a)
	}
	if code := f.call(2, "GET", "/-/releases/b", nil, nil); code != 404 {
		t.Errorf("GET of the refused release b = %d, want 404", code)
	}
	f.mustCall(1, "POST", "/-/releases", map[string]any{"name": "c", "kind": "member", "drain": true, "wait": true, "names": []string{"s0"}})
	if a := f.waitRelease(2, "c", rollout.ReleaseQueued); a.QueuedBehind != "a" {
		t.Errorf("release c is queued behind %q, want a", a.QueuedBehind)
	}
	waitFor(t, "release a to eject s0", func() bool { return len(f.ejectedMembers(2)) == 1 })
	f.mustCall(2, "PUT", "/-/releases/a/back", nil)
	f.waitRelease(0, "a", rollout.ReleaseRolledBack)
	if a := f.waitRelease(0, "c", rollout.ReleaseRunning, rollout.ReleaseCompleted); a.QueuedBehind != "" {
		t.Errorf("release c is still queued behind %q after release a was rolled back", a.QueuedBehind)
	}
	waitFor(t, "the formerly queued release c to eject s0", func() bool {
		return f.unavailableCount(1, "c") == 1 && len(f.ejectedMembers(1)) == 1
	})
}

// rolloutWatch observes a release that restarts relays one at a time.
type rolloutWatch struct {
	f     *fleetRig
	name  string
	exits map[int]int // ordered exits, by relay
	down  int         // the relay that the test kills, which the checks leave out; -1 for none
}

func (f *fleetRig) watch(name string) *rolloutWatch {
	f.logReleaseOnFailure(name)
	return &rolloutWatch{f, name, map[int]int{}, -1}
}

// checkAtMostOneOut checks that at most one relay is out of service, both in each relay's record and by
// the orders that the relays have logged.
func (w *rolloutWatch) checkAtMostOneOut() {
	w.f.t.Helper()
	leaving := 0
	for i, r := range w.f.relays {
		if n := w.f.unavailableCount(i, w.name); n > 1 {
			w.f.t.Errorf("n%d's record of release %s has %d relays out of service, want at most 1", i, w.name, n)
		}
		if isLeaving(r) && i != w.down {
			leaving++
		}
	}
	if leaving > 1 {
		w.f.t.Errorf("%d relays are leaving at once, want at most 1", leaving)
	}
}

// restartExited restarts the relays that have exited by order, and counts their exits.
func (w *rolloutWatch) restartExited() {
	for i := range w.f.relays {
		if i != w.down && w.f.restartOnExit(i) {
			w.exits[i]++
		}
	}
}

// TestFleetLeaderKilled: the leader is killed while another relay is leaving by order. The release
// continues under the next leader once the killed relay has been restarted; no further relay is ordered
// to leave until then, and each relay exits by order once. Guards against a new leader that does not
// know its predecessor's orders, and against one that counts a lost relay as free budget.
func TestFleetLeaderKilled(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 4, 3, 4, map[string]any{"relays": map[string]string{"whole": "1"}})
	f.waitLeader()
	f.mustCall(3, "POST", "/-/releases", map[string]any{"name": "r", "kind": "relay", "all": true})
	w := f.watch("r")
	other := -1
	const event = "one relay to have exited, and another one that is not the leader to be leaving"
	waitForWithin(t, eventTimeout, event, func() bool {
		w.checkAtMostOneOut()
		w.restartExited()
		l := f.leaderOrNone()
		if len(w.exits) == 0 || l < 0 || isLeaving(f.relays[l]) {
			return false
		}
		for i, r := range f.relays {
			if i != l && isLeaving(r) {
				w.down, other = l, i
			}
		}
		return other >= 0
	})
	killed := w.down
	f.kill(killed)
	// The leaving relay is not restarted before the killed one: while it is out of service it uses up
	// the budget, so that no relay is ordered to leave twice. If both relays are voters, there is no
	// majority and no leader until the killed one runs again.
	waitForWithin(t, eventTimeout, "another leader, or the exit of the leaving relay", func() bool {
		w.checkAtMostOneOut()
		return f.leaderOrNone() >= 0 || len(f.relays[other].done) > 0
	})
	f.start(killed)
	w.down = -1
	waitForWithin(t, 2*eventTimeout, "all relays to have exited by order", func() bool {
		w.checkAtMostOneOut()
		w.restartExited()
		return len(w.exits) == 4
	})
	if a := f.waitRelease(killed, "r", rollout.ReleaseCompleted); a.Counts.Done != 4 {
		t.Errorf("release r is completed with status %+v, want 4 relays done", a)
	}
	for i, n := range w.exits {
		if n != 1 {
			t.Errorf("n%d exited %d times by order, want once", i, n)
		}
	}
}

// TestFleetAllKilled: all relays are killed at once while one has exited by order and the next one
// is leaving. After their restart they complete the release with the state on their disks: at most one
// relay is out of service at any time, and none exits twice, not even the one that was killed while it
// was leaving. Guards against a release that is lost, restarted or blocked for ever by a loss of power.
func TestFleetAllKilled(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 4, 3, 4, map[string]any{"relays": map[string]string{"whole": "1"}})
	f.waitLeader()
	f.mustCall(3, "POST", "/-/releases", map[string]any{"name": "r", "kind": "relay", "all": true})
	w := f.watch("r")
	leavingRelay := func() int { return slices.IndexFunc(f.relays, isLeaving) }
	waitForWithin(t, eventTimeout, "one relay to have exited, and another one to be leaving", func() bool {
		w.checkAtMostOneOut()
		w.restartExited()
		return len(w.exits) > 0 && leavingRelay() >= 0
	})
	ordered := leavingRelay()
	f.kill(0, 1, 2, 3)
	if exit := <-f.relays[ordered].done; exit != nil && strings.Contains(exit.Error(), "75") {
		w.exits[ordered]++ // it exited by order just before the kill
	}
	for i := range f.relays {
		f.start(i)
	}
	before := w.exits[ordered]
	waitForWithin(t, 3*eventTimeout, "the release to be completed with 4 relays done", func() bool {
		w.checkAtMostOneOut()
		w.restartExited()
		var a rollout.ReleaseStatus
		return f.call(3, "GET", "/-/releases/r", nil, &a) == 200 && a.State == rollout.ReleaseCompleted && a.Counts.Done == 4
	})
	for i := range f.relays {
		if n := w.exits[i]; i != ordered && n != 1 || i == ordered && n != before {
			t.Errorf("n%d exited %d times by order; want once, and for n%d, killed while leaving, %d times",
				i, n, ordered, before)
		}
	}
}

// restartMember restarts a member at its address, in slow start, as the member's owner does when it
// replaces the member. It returns the start time.
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

// shortSlowStart is settingsText with a slow start of three seconds.
var shortSlowStart = strings.Replace(settingsText, `"cold-ms":8600`, `"cold-ms":3000`, 1)

// TestFleetNoMajority: two of three voters are cut off while a release has one member ejected. The
// member's owner replaces it during the partition, upon which the release would eject the next member.
// Without a majority it must not: the first member stays ejected at every relay, and the release
// continues only after the partition. Guards against a leader that orders what no other voter has
// recorded, and against relays that forget an order while they cannot reach the record.
func TestFleetNoMajority(t *testing.T) {
	t.Parallel()
	f := newFleetWithSettings(t, shortSlowStart, 4, 3, 3, nil)
	l := f.waitLeader()
	f.mustCall(3, "POST", "/-/releases", map[string]any{"name": "m", "kind": "member", "names": []string{"s0", "s1"}})
	f.logReleaseOnFailure("m")
	ejectedNames := func(i int) string { return strings.Join(f.ejectedMembers(i), " ") }
	for i := range f.relays {
		waitFor(t, fmt.Sprintf("n%d to see the first member ejected", i), func() bool { return ejectedNames(i) != "" })
	}
	waitDrained := func(name string) {
		t.Helper()
		waitForWithin(t, eventTimeout, name+" to be drained", func() bool {
			for _, u := range f.waitRelease(3, "m", rollout.ReleaseRunning).Units {
				if u.Name == name {
					return u.Phase == rollout.PhaseDrained
				}
			}
			return false
		})
	}
	first := ejectedNames(l)
	firstIndex := int(first[1] - '0')
	waitDrained(first) // from now on its owner may replace it
	f.isolate(l, true)
	f.isolate((l+1)%3, true)
	f.restartMember(firstIndex)
	for end := time.Now().Add(6 * time.Second); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		for i := range f.relays {
			if got := ejectedNames(i); got != first {
				t.Fatalf("n%d has ejected %q during the partition, want %q as before", i, got, first)
			}
			if n := f.flowsToMember(i, 1, firstIndex); n > 0 {
				t.Errorf("n%d sent a flow to %s, which is ejected", i, first)
			}
		}
	}
	f.isolate(l, false)
	f.isolate((l+1)%3, false)
	other := map[string]string{"s0": "s1", "s1": "s0"}[first]
	for i := range f.relays {
		waitFor(t, fmt.Sprintf("n%d to see %s ejected", i, other), func() bool { return ejectedNames(i) == other })
	}
	waitDrained(other)
	f.restartMember(1 - firstIndex)
	if a := f.waitRelease(3, "m", rollout.ReleaseCompleted, rollout.ReleaseHalted); a.State != rollout.ReleaseCompleted {
		t.Errorf("release m ended with %+v, want state %v", a, rollout.ReleaseCompleted)
	}
}

// TestFleetStaleOrder: a relay that was ordered to leave is suspended before it can exit; meanwhile the
// release is halted and rolled back. When the relay continues, its exit is overdue and it has not seen
// that the order was revoked. It must ask the leader first, and then stay and accept flows. Guards
// against an exit by a revoked order.
func TestFleetStaleOrder(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 4, 3, 3, nil)
	suspended := (f.waitLeader() + 1) % 3
	r := f.relays[suspended]
	f.waitAccepting(suspended)
	r.openFlows(24)
	f.mustCall(3, "POST", "/-/releases", map[string]any{"name": "o", "kind": "relay", "names": []string{fmt.Sprintf("n%d", suspended)}})
	f.logReleaseOnFailure("o")
	r.waitLogged("fleet: ordered to leave")
	r.cmd.Process.Signal(syscall.SIGSTOP)
	t.Cleanup(func() { r.cmd.Process.Signal(syscall.SIGCONT) })
	f.mustCall(3, "PUT", "/-/releases/o/halt", nil)
	f.mustCall(3, "PUT", "/-/releases/o/back", nil)
	time.Sleep(6 * time.Second) // longer than the relay waits for its flows to drain
	if a := f.waitRelease(3, "o", rollout.ReleaseRollingBack); a.Counts.Out != 1 {
		t.Errorf("while the relay is suspended the release has status %+v, want 1 relay out of service", a)
	}
	r.cmd.Process.Signal(syscall.SIGCONT)
	r.waitLogged("fleet: order to leave revoked")
	f.waitRelease(3, "o", rollout.ReleaseRolledBack)
	for n := range 6 {
		r.openFlow(1000+n, "").wantLine("UP ")
	}
	select {
	case err := <-r.done:
		t.Errorf("the relay has exited by a revoked order: %v", err)
	default:
	}
}

// TestFleetMissedEjection: a relay that is cut off from the record does not learn of an ejection and
// still uses the member; the leader reports the relay as late or not heard. Once it reaches the record
// again the relay applies the ejection by itself, and the drift rows disappear. Guards against drift
// that is not reported.
func TestFleetMissedEjection(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 4, 3, 3, nil)
	f.waitLeader()
	f.isolate(3, true)
	f.setEverywhere(0, "s0", true)
	for i := range 3 {
		f.relays[i].waitLogged("fleet: excluded members")
		if n := f.flowsToMember(i, 12, 0); n > 0 {
			t.Errorf("n%d sent %d flows to s0 after it learned of the ejection", i, n)
		}
	}
	if n := f.flowsToMember(3, 24, 0); n == 0 {
		t.Error("n3, which cannot have learned of the ejection, sent no flows to s0, want some: the test shows nothing")
	}
	driftRows := func() (all []string) {
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
	waitFor(t, `n3 to be reported as "not heard" or "late"`, func() bool {
		time.Sleep(100 * time.Millisecond)
		last = driftRows()
		return strings.Contains(strings.Join(last, ","), "not heard") || strings.Contains(strings.Join(last, ","), "late")
	})
	t.Logf("drift rows of n3: %q", last)
	f.isolate(3, false)
	f.relays[3].waitLogged("fleet: excluded members")
	if n := f.flowsToMember(3, 12, 0); n > 0 {
		t.Errorf("n3 sent %d flows to s0 after it applied the ejection", n)
	}
	waitForWithin(t, 2*eventTimeout, "the drift rows of n3 to disappear", func() bool {
		last = driftRows()
		return len(last) == 0
	})
}

// TestFleetPausePartitioned: the consensus engines of all relays are cut off from each other when an
// operator pauses a canary at one relay. The pause cannot be recorded, yet every relay sets the canary's
// weight to zero, because relays pass the pause on by gossip. The weight stays zero once the engines
// reach each other again, until a resume is recorded. Guards against a faulty build that gets flows as
// long as there is no majority.
func TestFleetPausePartitioned(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 4, 3, 4, nil)
	f.waitLeader()
	f.mustCall(0, "POST", "/-/canaries", map[string]any{"release": "c", "arm": map[string]any{"members": []string{"s0"}}, "ladder": []int{500, 1000},
		"floor": 100000, "longest": 600000, "error": 0.01, "guards": []map[string]any{{"metric": "failures", "points": 50}}})
	flows := func() (n int) { // flows that reach the canary's member, of 40 at each relay
		for i := range f.relays {
			n += f.flowsToMember(i, 40, 0)
		}
		return n
	}
	waitWeight := func(weight string) { // in the newest log line of each relay
		t.Helper()
		for i, r := range f.relays {
			waitFor(t, fmt.Sprintf("n%d to apply the canary weight %s", i, weight), func() bool {
				log := r.log.String()
				at := strings.LastIndex(log, "fleet: canary weights")
				return at >= 0 && strings.Contains(log[at:], weight)
			})
		}
	}
	waitWeight("map[c:500]")
	for i := range 3 {
		f.isolate(i, true)
	}
	if flows() == 0 {
		t.Error("no flow reached the canary's member before the pause, want some")
	}
	paused := time.Now()
	answered := make(chan int, 1)
	go func() { answered <- f.call(3, "PUT", "/-/canaries/c/pause", nil, nil) }()
	waitWeight("map[c:0]")
	t.Logf("weight zero at all relays after %v", time.Since(paused).Round(time.Millisecond))
	if k := flows(); k > 0 {
		t.Errorf("%d flows reached the member of a paused canary, want 0", k)
	}
	if code := <-answered; code == 200 {
		t.Error("PUT pause without a majority = 200, want a failure")
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
		waitFor(t, fmt.Sprintf("n%d to have the pause in its record", i), func() bool {
			a.Canaries = nil
			return f.call(i, "GET", "/-/canaries", nil, &a) == 200 && len(a.Canaries) == 1 && a.Canaries[0].PerMille == 0
		})
	}
	t.Logf("canaries after the pause was recorded: %+v", a)
	if k := flows(); k > 0 {
		t.Errorf("%d flows reached the member of a paused canary after the pause was recorded, want 0", k)
	}
	f.mustCall(1, "PUT", "/-/canaries/c/resume", nil)
	waitWeight("map[c:500]")
	if flows() == 0 {
		t.Error("no flow reached the canary's member after the resume, want some")
	}
}

// TestFleetPermits: two owners request a permit for one member each, but only one member at a time may
// be out of service. The second permit waits: its requests are answered with a reason and a time to
// retry, and it keeps its number. It is granted once the first member has been restarted and has its
// full capacity according to the relays' observations; its owner's call "done" is not enough. Calls for
// a finished permit are refused. Guards against a budget that is granted twice.
func TestFleetPermits(t *testing.T) {
	t.Parallel()
	f := newFleetWithSettings(t, strings.Replace(settingsText, `"cold-ms":8600`, `"cold-ms":7000`, 1), 4, 3, 3, nil)
	f.waitLeader()
	for i, r := range f.relays {
		f.waitAccepting(i)
		r.openFlows(6) // so that the relays have observed the members' capacity
	}
	requestPermit := func(i int, who, name string) rollout.Result {
		t.Helper()
		a := f.mustCall(i, "POST", "/-/permits", map[string]any{"kind": "member", "name": name, "who": who, "for_ms": 60000, "why": "a kernel"})
		time.Sleep(100 * time.Millisecond)
		return a
	}
	var a, b rollout.Result
	first := requestPermit(0, "ann", "s0")
	second := requestPermit(1, "bob", "s1")
	waitFor(t, "ann's permit for s0 to be granted", func() bool {
		a = requestPermit(2, "ann", "s0")
		return a.State == string(rollout.PermitGranted)
	})
	if b = requestPermit(3, "bob", "s1"); b.State != string(rollout.PermitWaiting) || b.Reason == "" || b.RetryAfterMS <= 0 {
		t.Errorf("bob's permit for s1 = %+v, want a waiting one with a reason and a retry time", b)
	}
	if a.Number != first.Number || b.Number != second.Number || a.Number == b.Number || a.RemainingMS <= 0 {
		t.Errorf("ann's permit = %+v, first answered with %+v; bob's = %+v, first answered with %+v; "+
			"want unchanged, different numbers and time left for ann's", a, first, b, second)
	}
	if code := f.call(0, "PUT", fmt.Sprintf("/-/permits/%d/begin", b.Number), nil, nil); code != 409 {
		t.Errorf("begin of a waiting permit = %d, want 409", code)
	}
	f.mustCall(1, "PUT", fmt.Sprintf("/-/permits/%d/begin", a.Number), nil)
	restarted := f.restartMember(0)
	f.mustCall(2, "PUT", fmt.Sprintf("/-/permits/%d/done", a.Number), nil)
	var took time.Duration
	waitForWithin(t, eventTimeout, "bob's permit for s1 to be granted", func() bool {
		b = requestPermit(3, "bob", "s1")
		took = time.Since(restarted)
		return b.State == string(rollout.PermitGranted)
	})
	if took < 7*time.Second { // the slow start of the settings above: s0 lacks full capacity until then
		t.Errorf("bob's permit was granted %v after s0 restarted, want at least 7 s, the slow start of s0", took)
	}
	if b.Number != second.Number {
		t.Errorf("bob's permit was granted under number %d, want %d as first answered", b.Number, second.Number)
	}
	for _, verb := range []string{"begin", "done"} {
		if code := f.call(0, "PUT", fmt.Sprintf("/-/permits/%d/%s", a.Number, verb), nil, nil); code != 409 {
			t.Errorf("%s of a finished permit = %d, want 409", verb, code)
		}
	}
}

// TestFleetDisablePartitioned: two of three voters are cut off, so that there is no majority, and an
// operator disables a member at one relay. The call takes effect immediately at this relay and at no
// other one. With the majority back it still applies to this relay alone, is reported as drift, and
// ends when the operator enables the member there. Guards against a call that does nothing during a
// partition, and against one that enters the record later.
func TestFleetDisablePartitioned(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 4, 3, 3, nil)
	f.waitLeader()
	f.isolate(0, true)
	f.isolate(1, true)
	f.waitNoMajority(0, 1, 2, 3)
	f.relays[3].mustPut("/-/backends/s2/disable")
	checkLocalOnly := func(when string) {
		t.Helper()
		if n := f.flowsToMember(3, 12, 2); n > 0 {
			t.Errorf("%s: n3 sent %d flows to s2, which is disabled at n3", when, n)
		}
		for i := range 3 {
			if f.flowsToMember(i, 24, 2) == 0 {
				t.Errorf("%s: n%d, where s2 is enabled, sent no flow to it", when, i)
			}
		}
	}
	checkLocalOnly("without a majority")
	f.isolate(0, false)
	f.isolate(1, false)
	waitFor(t, "the ejection at n3 to be reported as drift", func() bool { return f.localEjections(3) == 1 })
	checkLocalOnly("with the majority back")
	f.relays[3].mustPut("/-/backends/s2/enable")
	waitFor(t, "the drift of n3 to end", func() bool { return f.localEjections(3) == 0 })
	waitFor(t, "n3 to use s2 again", func() bool { return f.flowsToMember(3, 1, 2) > 0 })
}

// TestFleetStartPartitioned: a voter and a follower that are restarted while they are cut off from the
// record keep the ejections that they have stored: they send no flow to an ejected member. Guards
// against a restart that bypasses an ejection.
func TestFleetStartPartitioned(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 4, 3, 3, nil)
	f.waitLeader()
	f.setEverywhere(1, "s0", true)
	for _, i := range []int{0, 3} {
		path := filepath.Join(filepath.Dir(f.conf[i]), "record", "agreed.json")
		waitFor(t, fmt.Sprintf("n%d to store the ejection of s0", i), func() bool {
			text, _ := os.ReadFile(path)
			return strings.Contains(string(text), `"s0"`)
		})
		f.isolate(i, true)
	}
	f.kill(0, 3)
	for _, i := range []int{0, 3} {
		f.start(i)
		if n := f.flowsToMember(i, 24, 0); n > 0 {
			t.Errorf("n%d sent %d flows to s0, which it knew to be ejected before the restart", i, n)
		}
		f.isolate(i, false)
	}
	f.setEverywhere(1, "s0", false)
	for _, i := range []int{0, 3} {
		waitFor(t, fmt.Sprintf("n%d to use s0 again", i), func() bool { return f.flowsToMember(i, 1, 0) > 0 })
	}
}

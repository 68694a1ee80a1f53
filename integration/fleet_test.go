package integration

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"dahliarudder/internal/fakes"
	"dahliarudder/internal/rollout"
)

// fleetRig is several relays that share one record. The connections between the relays' consensus
// engines pass through proxies, which a test can cut; gossip is direct.
type fleetRig struct {
	t           *testing.T
	d           *discovery
	members     []*fakeMember
	relays      []*relay
	conf        []string
	recordAddrs []string            // where each relay's consensus engine listens
	proxies     [][]*fakes.TCPProxy // by dialing relay and dialed relay; nil entries for none
	groups      int                 // number of flow groups used so far
}

const fleetKey = gossipRigKey

// newFleet starts n relays, of which the first voters relays are voters, and a number of members with
// unlimited capacity. budgets is the section "out" of the fleet configuration: how many relays and
// members may be out of service at once.
func newFleet(t *testing.T, n, voters, members int, budgets map[string]any) *fleetRig {
	return newFleetWithSettings(t, settingsText, n, voters, members, budgets)
}

// newFleetWithSettings is newFleet with other settings than settingsText.
func newFleetWithSettings(t *testing.T, settings string, n, voters, members int, budgets map[string]any) *fleetRig {
	f := &fleetRig{t: t}
	var list []member
	for i := range members {
		b := newFakeMember(t, fmt.Sprintf("s%d", i), nil)
		f.members = append(f.members, b)
		list = append(list, b.entry())
	}
	f.d = newDiscovery(t, list...)
	var gossip []string
	for range n {
		f.recordAddrs, gossip = append(f.recordAddrs, reservePort(t)), append(gossip, reservePort(t))
	}
	votes := map[string]string{}
	for i := range voters {
		votes[fmt.Sprintf("n%d", i)] = f.recordAddrs[i]
	}
	for i := range n {
		reach := map[string]string{}
		row := make([]*fakes.TCPProxy, n)
		for j := range min(n, 2*voters) { // the voters, and as many relays that may replace them
			if i == j {
				continue
			}
			p, err := fakes.NewTCPProxy(f.recordAddrs[j])
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(p.Close)
			row[j], reach[fmt.Sprintf("n%d", j)] = p, p.Addr()
		}
		f.proxies = append(f.proxies, row)
		path := configure(t, f.d, map[string]any{"name": fmt.Sprintf("n%d", i), "operator": "127.0.0.1:0", "seed": fmt.Sprintf("%x", 99+i),
			"settings": json.RawMessage(strings.Replace(settings, `"balancers":1`, fmt.Sprintf(`"balancers":%d`, n), 1)),
			"peers":    map[string]any{"listen": gossip[i], "known": gossip[:min(2, n)], "key_file": "key"},
			"fleet":    map[string]any{"listen": f.recordAddrs[i], "calls": "127.0.0.1:0", "dir": "record", "voters": votes, "reach": reach, "out": budgets}})
		writeFile(t, filepath.Join(filepath.Dir(path), "key"), fleetKey+"\n")
		f.conf, f.relays = append(f.conf, path), append(f.relays, nil)
	}
	for i := range n {
		f.start(i)
	}
	return f
}

func (f *fleetRig) start(i int) { f.relays[i] = start(f.t, f.conf[i], 3) }

// kill kills relays with SIGKILL, all of them before it waits for the first to exit, like a loss of power.
func (f *fleetRig) kill(all ...int) {
	for _, i := range all {
		f.relays[i].cmd.Process.Kill()
	}
	for _, i := range all {
		err := <-f.relays[i].done
		f.relays[i].done <- err
	}
}

// setEverywhere ejects or reinstates a member by a call at relay i. It repeats the call until the
// relay's record shows the change: without a leader the call applies to that relay alone.
func (f *fleetRig) setEverywhere(i int, member string, ejected bool) {
	f.t.Helper()
	path := map[bool]string{true: "/disable", false: "/enable"}[ejected]
	waitFor(f.t, fmt.Sprintf("the record of n%d to have %s%s", i, member, path), func() bool {
		return f.relays[i].call("PUT", "/-/backends/"+member+path) == 200 &&
			slices.Contains(f.ejectedMembers(i), member) == ejected
	})
}

// waitAccepting waits until relay i accepts flows. A started relay answers BUSY until it has received
// the record or has given up waiting for it.
func (f *fleetRig) waitAccepting(i int) {
	f.t.Helper()
	waitFor(f.t, fmt.Sprintf("n%d to accept flows", i), func() bool {
		c := f.relays[i].openFlow(f.newGroup(), "")
		defer c.Close()
		return strings.HasPrefix(c.line(), "UP ")
	})
}

// newGroup returns a number for a flow that shares its group with no other flow.
func (f *fleetRig) newGroup() int { f.groups++; return f.groups * 7919 }

// flowsToMember opens n flows at relay i, one after another, and returns how many reached the member.
func (f *fleetRig) flowsToMember(i, n, member int) int {
	f.t.Helper()
	f.waitAccepting(i)
	before := len(f.members[member].firstLines())
	for range n {
		c := f.relays[i].openFlow(f.newGroup(), "")
		c.wantLine("UP ")
		c.Close()
	}
	return len(f.members[member].firstLines()) - before
}

// call sends a request to the fleet API of relay i, decodes the answer into into, and returns the
// answer's status code, or 0 if there is no answer.
func (f *fleetRig) call(i int, method, path string, body, into any) int {
	f.t.Helper()
	return f.send(i, f.request(i, method, path, body), into)
}

// request returns a request for the fleet API of relay i without sending it.
func (f *fleetRig) request(i int, method, path string, body any) *http.Request {
	f.t.Helper()
	var text []byte
	if body != nil {
		text, _ = json.Marshal(body)
	}
	q, err := http.NewRequest(method, "http://"+f.relays[i].addrs["fleet"]+path, bytes.NewReader(text))
	if err != nil {
		f.t.Fatal(err)
	}
	return q
}

// send sends a request to relay i and returns the status code, as call does. It never fails the test,
// so that any goroutine may call it.
func (f *fleetRig) send(i int, q *http.Request, into any) int {
	f.t.Helper()
	c := http.Client{Timeout: eventTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	answer, err := c.Do(q)
	if err != nil {
		return 0
	}
	defer answer.Body.Close()
	got, _ := io.ReadAll(answer.Body)
	if into != nil {
		json.Unmarshal(got, into)
	}
	if answer.StatusCode != 200 {
		f.t.Logf("n%d %s %s: %d %s", i, q.Method, q.URL.RequestURI(), answer.StatusCode, got)
	}
	return answer.StatusCode
}

// mustCall repeats a call until it is answered with 200, as the fleet may have no leader for a moment.
func (f *fleetRig) mustCall(i int, method, path string, body any) (a rollout.Result) {
	f.t.Helper()
	waitFor(f.t, fmt.Sprintf("n%d to answer %s %s with 200", i, method, path), func() bool {
		a = rollout.Result{}
		if f.call(i, method, path, body, &a) == 200 {
			return true
		}
		time.Sleep(200 * time.Millisecond)
		return false
	})
	return a
}

// waitRelease waits until a release is in one of the states, as relay i reports it, and returns its status.
func (f *fleetRig) waitRelease(i int, name string, states ...rollout.ReleaseState) (a rollout.ReleaseStatus) {
	f.t.Helper()
	waitFor(f.t, fmt.Sprintf("release %s to be %v", name, states), func() bool {
		a = rollout.ReleaseStatus{}
		f.call(i, "GET", "/-/releases/"+name, nil, &a)
		for _, s := range states {
			if a.State == s {
				return true
			}
		}
		time.Sleep(100 * time.Millisecond)
		return false
	})
	return a
}

// waitLeader waits until a relay reports itself as the leader, and returns it.
func (f *fleetRig) waitLeader() (at int) {
	f.t.Helper()
	at = -1
	waitFor(f.t, "a leader", func() bool {
		for i, r := range f.relays {
			var a struct{ Engine struct{ Role string } }
			if r != nil && f.call(i, "GET", "/-/fleet", nil, &a) == 200 && a.Engine.Role == "leader" {
				at = i
			}
		}
		time.Sleep(50 * time.Millisecond)
		return at >= 0
	})
	return at
}

// restartOnExit restarts relay i if it has exited by order, and reports whether it had exited. Any
// other exit fails the test.
func (f *fleetRig) restartOnExit(i int) (exited bool) {
	r := f.relays[i]
	select {
	case err := <-r.done:
		r.done <- err
		if err == nil || !strings.Contains(err.Error(), "75") {
			f.t.Errorf("n%d exited with %v, want exit status 75", i, err)
		}
		f.start(i)
		return true
	default:
		return false
	}
}

// TestFleetEjection: one call at any relay ejects a member at all relays, including one that is down at
// the time; another call reinstates the member at all relays.
func TestFleetEjection(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 4, 3, 3, nil)
	f.waitLeader()
	f.kill(2)
	f.setEverywhere(3, "s0", true)
	f.start(2)
	for i := range f.relays {
		f.relays[i].waitLogged("fleet: excluded members")
		if n := f.flowsToMember(i, 12, 0); n > 0 {
			t.Errorf("n%d sent %d flows to s0, which is ejected at all relays", i, n)
		}
	}
	f.setEverywhere(0, "s0", false)
	for i := range f.relays {
		waitFor(t, fmt.Sprintf("n%d to apply the newest record, without ejections", i), func() bool {
			var a struct {
				Version, Follows uint64
				Orders           rollout.Orders
			}
			f.call(i, "GET", "/-/fleet", nil, &a)
			return a.Version == a.Follows && len(a.Orders.Exclusions) == 0
		})
	}
}

// TestFleetRelease: one release restarts all relays, including the leader. Each relay exits by order
// once and is started again by the test, and the release is completed.
func TestFleetRelease(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 4, 3, 4, map[string]any{"relays": map[string]string{"whole": "1"}, "members": map[string]string{"whole": "1"}})
	f.waitLeader()
	f.mustCall(3, "POST", "/-/releases", map[string]any{"name": "r1", "kind": "relay", "all": true, "who": "test"})
	t.Cleanup(func() {
		if t.Failed() {
			f.logRelease("r1")
		}
	})
	exits := 0
	waitFor(t, "all relays to have exited by order once", func() bool {
		for i := range f.relays {
			if f.restartOnExit(i) {
				exits++
			}
		}
		time.Sleep(50 * time.Millisecond)
		return exits == len(f.relays)
	})
	a := f.waitRelease(3, "r1", rollout.ReleaseCompleted, rollout.ReleaseHalted)
	if a.State != rollout.ReleaseCompleted || a.Counts.Done != 4 {
		t.Fatalf("release r1 ended with %+v, want it completed with 4 relays done", a)
	}
}

// logRelease logs the leader's fleet status, release and drift, to explain a failure.
func (f *fleetRig) logRelease(release string) {
	for i, r := range f.relays {
		var a, b json.RawMessage
		if r != nil && f.call(i, "GET", "/-/fleet", nil, &a) == 200 && bytes.Contains(a, []byte(`"Role": "leader"`)) {
			f.call(i, "GET", "/-/releases/"+release+"?stale", nil, &b)
			f.t.Logf("leader n%d: fleet %s\nrelease %s", i, a, b)
			f.call(i, "GET", "/-/drift", nil, &b)
			f.t.Logf("leader n%d: drift %s", i, b)
		}
	}
}

// ejectedMembers returns the members that are ejected according to relay i's record, sorted.
func (f *fleetRig) ejectedMembers(i int) []string {
	var a struct{ Orders rollout.Orders }
	f.call(i, "GET", "/-/fleet", nil, &a)
	return slices.Sorted(maps.Keys(a.Orders.Exclusions))
}

// localEjections returns how many drift rows the leader reports for ejections that apply to relay i
// alone, or -1 if the leader does not answer.
func (f *fleetRig) localEjections(i int) (n int) {
	f.t.Helper()
	time.Sleep(200 * time.Millisecond)
	var a struct {
		Rows []struct{ Relay, Item, State string }
	}
	if f.call(f.waitLeader(), "GET", "/-/drift", nil, &a) != 200 {
		return -1
	}
	for _, r := range a.Rows {
		if r.Relay == fmt.Sprintf("n%d", i) && r.Item == "bans" && r.State == "local" {
			n++
		}
	}
	return n
}

// isolate cuts relay i's consensus engine off from all others, or connects it again.
func (f *fleetRig) isolate(i int, on bool) {
	impairment := fakes.Impairment{Cut: on}
	for from, row := range f.proxies {
		for to, p := range row {
			if p != nil && (from == i || to == i) {
				p.SetImpairment(impairment, impairment)
			}
		}
	}
}

// TestFleetRollback: a release drains a member at all relays; it is halted and the leader is killed,
// then it is resumed and the member is drained again; the rollback reinstates the member.
func TestFleetRollback(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 4, 3, 3, nil)
	f.waitLeader()
	waitEjected := func(what string, n int) {
		t.Helper()
		for i := range f.relays {
			waitFor(t, fmt.Sprintf("n%d: %s", i, what), func() bool { return len(f.ejectedMembers(i)) == n })
		}
	}
	f.mustCall(3, "POST", "/-/releases", map[string]any{"name": "d1", "kind": "member", "drain": true, "names": []string{"s1"}})
	t.Cleanup(func() {
		if t.Failed() {
			f.logRelease("d1")
		}
	})
	waitEjected("the drained member to be ejected", 1)
	f.mustCall(2, "PUT", "/-/releases/d1/halt", nil)
	l := f.waitLeader()
	f.kill(l)
	f.start(l)
	f.waitRelease(3, "d1", rollout.ReleaseHalted)
	f.mustCall(3, "PUT", "/-/releases/d1/resume", nil)
	waitEjected("the member to be ejected after the resume", 1)
	f.mustCall(3, "PUT", "/-/releases/d1/back", nil)
	waitEjected("the member to be reinstated by the rollback", 0)
	f.waitRelease(3, "d1", rollout.ReleaseRolledBack)
}

// TestFleetPartition: a relay that is cut off from the record answers a new release with a failure. An
// ejection there applies to that relay alone. Once the relay is connected again, the ejection is
// reported as drift until an operator lifts it there.
func TestFleetPartition(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 4, 3, 3, nil)
	l := f.waitLeader()
	cut := (l + 1) % 3
	f.isolate(cut, true)
	if code := f.call(cut, "POST", "/-/releases", map[string]any{"name": "x", "kind": "relay", "all": true}, nil); code == 200 {
		t.Error("POST of a release without a majority = 200, want a failure")
	}
	f.relays[cut].mustPut("/-/backends/s2/disable")
	if n := f.flowsToMember(cut, 12, 2); n > 0 {
		t.Errorf("n%d sent %d flows to s2, which is ejected there", cut, n)
	}
	f.isolate(cut, false)
	waitFor(t, fmt.Sprintf("the ejection at n%d to be reported as drift", cut), func() bool {
		return f.localEjections(cut) == 1
	})
	f.relays[cut].mustPut("/-/backends/s2/enable")
	waitFor(t, fmt.Sprintf("the drift of n%d to end", cut), func() bool { return f.localEjections(cut) == 0 })
}

// TestFleetCanary: a canary's member gets its configured share of new flows from all relays. When it
// answers errors, the fleet finds the canary worse than the other members and rolls it back.
func TestFleetCanary(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 3, 3, 4, nil)
	f.waitLeader()
	f.mustCall(0, "POST", "/-/canaries", map[string]any{"release": "c1", "arm": map[string]any{"members": []string{"s0"}}, "ladder": []int{300, 1000},
		"floor": 200, "longest": 120000, "error": 0.01, "guards": []map[string]any{{"metric": "failures", "points": 50}}, "salt": 7})
	for i := range f.relays {
		f.relays[i].waitLogged("map[c1:300]")
	}
	before := map[string]int{}
	openFlows := func(from, to int) {
		for n := from; n < to; n++ {
			c := f.relays[n%3].openFlow(n, "")
			c.line()
			c.Close()
		}
	}
	openFlows(0, 120)
	for _, m := range f.members {
		before[m.id] = len(m.firstLines())
	}
	if n := before["s0"]; n < 18 || n > 60 {
		t.Errorf("%d of 120 flows reached the canary's member, want about three in ten (18 to 60)", n)
	}
	f.members[0].SetMode(fakes.ModeErr)
	next := 120
	var all json.RawMessage
	t.Cleanup(func() {
		if t.Failed() {
			t.Logf("canaries: %s", all)
		}
	})
	// The verdict takes some seconds, however many flows there are.
	waitForWithin(t, 3*eventTimeout, "the rollback of a canary whose member answers errors", func() bool {
		openFlows(next, next+30)
		next += 30
		var a struct{ Canaries []struct{ Status string } }
		if f.call(0, "GET", "/-/canaries", nil, &all) != 200 || json.Unmarshal(all, &a) != nil {
			return false
		}
		return len(a.Canaries) == 0 || a.Canaries[0].Status == "back"
	})
}

// TestFleetMany measures, with FLEET_PROCESSES relays, how long it takes until the last relay applies a
// drain, a halt, a canary's weight, and a canary's pause without a majority. It logs what relays send
// and their memory.
func TestFleetMany(t *testing.T) {
	n, _ := strconv.Atoi(os.Getenv("FLEET_PROCESSES"))
	if n == 0 {
		t.Skip("FLEET_PROCESSES is not set")
	}
	f := newFleet(t, n, 3, 4, nil)
	l := f.waitLeader()
	waitFor(t, "the leader to list a report of each relay", func() bool {
		var a struct{ Relays map[string]any }
		f.call(l, "GET", "/-/fleet", nil, &a)
		return len(a.Relays) == n
	})
	measure := func(what string, ok func(i int) bool) []time.Duration {
		from, took := time.Now(), make([]time.Duration, n)
		var all sync.WaitGroup
		for i := range n {
			all.Add(1)
			go func() {
				defer all.Done()
				for !ok(i) && time.Since(from) < eventTimeout {
					time.Sleep(5 * time.Millisecond)
				}
				if took[i] = time.Since(from); !ok(i) {
					// A failed test also logs the relays' output.
					t.Errorf("%s: n%d did not apply it within %v", what, i, eventTimeout)
				}
			}()
		}
		all.Wait()
		slices.Sort(took)
		t.Logf("%s: p50 %v, last of %d relays %v",
			what, took[n/2].Round(time.Millisecond), n, took[n-1].Round(time.Millisecond))
		return took
	}
	loggedAgain := func(text string) func(int) bool {
		before := make([]int, n)
		for i, r := range f.relays {
			before[i] = strings.Count(r.log.String(), text)
		}
		return func(i int) bool { return strings.Count(f.relays[i].log.String(), text) > before[i] }
	}
	ejectedLog, restoredLog := `excluded members" out="[s1]"`, `excluded members" out="[]"`
	for k := range 5 {
		name := fmt.Sprintf("d%d", k)
		ejected := loggedAgain(ejectedLog)
		f.mustCall(0, "POST", "/-/releases", map[string]any{"name": name, "kind": "member", "drain": true, "names": []string{"s1"}})
		measure("a drain, from the call's answer", ejected)
		restored := loggedAgain(restoredLog)
		if f.call(k%n, "PUT", "/-/releases/"+name+"/halt", nil, nil) != 200 {
			t.Fatalf("PUT halt of release %s failed, want 200", name)
		}
		measure("a halt, from the call's answer", restored)
		f.mustCall(0, "PUT", "/-/releases/"+name+"/back", nil)
		f.waitRelease(0, name, rollout.ReleaseRolledBack)
	}
	weighted := loggedAgain("map[c1:300]")
	f.mustCall(0, "POST", "/-/canaries", map[string]any{"release": "c1", "arm": map[string]any{"members": []string{"s0"}}, "ladder": []int{300, 1000},
		"floor": 200, "longest": 120000, "error": 0.01, "guards": []map[string]any{{"metric": "failures", "points": 50}}})
	measure("a canary's first weight", weighted)
	for i := range 3 {
		f.isolate(i, true)
	}
	pause := f.request(n-1, "PUT", "/-/canaries/c1/pause", nil)
	go f.send(n-1, pause, nil)
	// A relay that has been cut off from the record for some time may set the weight to zero even before
	// the pause reaches it.
	measure("a pause without a majority", func(i int) bool {
		log := f.relays[i].log.String()
		return strings.LastIndex(log, "map[c1:0]") > strings.LastIndex(log, "map[c1:300]")
	})
	var a struct {
		Said   int `json:"said_bytes"`
		Engine struct{ BytesIn, BytesOut uint64 }
	}
	for _, i := range []int{l, (l + 1) % 3, n - 1} {
		f.call(i, "GET", "/-/fleet", nil, &a)
		text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", f.relays[i].cmd.Process.Pid))
		rss := ""
		for _, line := range strings.Split(string(text), "\n") {
			if strings.HasPrefix(line, "VmRSS") {
				rss = strings.TrimSpace(line)
			}
		}
		t.Logf("n%d (leader: %v): report of %d bytes, engine received %d bytes and sent %d, %s",
			i, i == l, a.Said, a.Engine.BytesIn, a.Engine.BytesOut, rss)
	}
}

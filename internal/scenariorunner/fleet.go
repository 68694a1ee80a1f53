package scenariorunner

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"dahliarudder/internal/drift"
	"dahliarudder/internal/fakes"
	"dahliarudder/internal/rollout"
	"dahliarudder/internal/scenario"
)

// What the host and the owner of members do, who are stand-ins: a relay that ends because it was told to is started again, and a
// member is replaced when the fleet says that it is empty, never before.

// fleetPollInterval is how often the owner asks, operatorCallTimeout how long an operator asks again.
const (
	fleetPollInterval   = 200 * time.Millisecond
	operatorCallTimeout = 15 * time.Second
)

// restartAfterExit starts a relay again that has ended by order.
func (n *relay) restartAfterExit() {
	n.relayDown(n)
	time.Sleep(scenario.Millis(n.File.Relays.RestartDelayMs))
	n.restart()
}

var fleetClient = http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// fleetRequest is one call of the fleet's; into may be nil.
func fleetRequest(method, addr, path string, body []byte, into any) int {
	q, err := http.NewRequest(method, "http://"+addr+path, bytes.NewReader(body))
	if err != nil {
		return 0
	}
	a, err := fleetClient.Do(q)
	if err != nil {
		return 0
	}
	defer a.Body.Close()
	text, _ := io.ReadAll(io.LimitReader(a.Body, 4<<20))
	if into != nil {
		json.Unmarshal(text, into)
	}
	return a.StatusCode
}

// operatorCall is an operator's, who asks again while nobody can say yes.
func (r *run) operatorCall(n *relay, s scenario.Step) {
	method, path, _ := strings.Cut(s.Call, " ")
	for end := time.Now().Add(operatorCallTimeout); ; time.Sleep(fleetPollInterval) {
		var a rollout.Result
		code := fleetRequest(method, n.fleetAddr, path, s.Body, &a)
		if code == http.StatusOK {
			r.locked(func(at time.Duration) { r.unavailability.callTimes = append(r.unavailability.callTimes, at) })
			return
		}
		if code == http.StatusConflict || code == http.StatusBadRequest || time.Now().After(end) {
			r.Progress("\r%s %s at %s: %d %s\n", method, path, n.name, code, a.Error)
			return
		}
	}
}

// resolveLeader is the relay that leads when its turn comes, and for what undoes that fault the one that led then; "" if nobody says who leads.
func (r *run) resolveLeader(s scenario.Step) string {
	if was := r.leaderByFault[s.Fault]; was != "" {
		return was
	}
	for _, n := range r.relays {
		var a struct{ Engine struct{ Leader string } }
		if fleetRequest("GET", n.fleetAddr, "/-/fleet", nil, &a) == http.StatusOK && a.Engine.Leader != "" {
			r.leaderByFault[s.Fault] = a.Engine.Leader
			r.Progress("\r%7.1f s: %s leads%s\n", r.now().Seconds(), a.Engine.Leader, strings.Repeat(" ", 40))
			return a.Engine.Leader
		}
	}
	r.Progress("\rnobody says who leads\n")
	return ""
}

// DriftSpan is a pair of relay and item that was shown as drift, and from when to when.
type DriftSpan struct {
	Relay string  `json:"relay"`
	Item  string  `json:"item"`
	State string  `json:"state"`
	From  float64 `json:"from_s"`
	To    float64 `json:"to_s"`
}

// watchDrift asks the leader what drifts. What is on its way or not heard is no drift.
func (r *run) watchDrift(ctx context.Context) {
	led := r.relays[0]
	for sleep(ctx, fleetPollInterval) {
		var a struct {
			Name string
			Rows []struct{ Relay, Item, State string }
		}
		if fleetRequest("GET", led.fleetAddr, "/-/drift", nil, &a) != http.StatusOK {
			led = r.relays[(led.index+1)%len(r.relays)]
			for _, n := range r.relays {
				if n.name == a.Name {
					led = n
				}
			}
			continue
		}
		r.locked(func(at time.Duration) {
			now := at.Seconds()
			for _, row := range a.Rows {
				if row.State == drift.Propagating.String() || row.State == drift.Unknown.String() {
					continue
				}
				d := DriftSpan{row.Relay, row.Item, row.State, now, now}
				i := slices.IndexFunc(r.unavailability.drift, func(o DriftSpan) bool {
					return o.Relay == d.Relay && o.Item == d.Item && o.State == d.State && now-o.To < 2
				})
				if i >= 0 {
					r.unavailability.drift[i].To = now
				} else if len(r.unavailability.drift) < maxDriftSpans {
					r.unavailability.drift = append(r.unavailability.drift, d)
					r.Progress("\r%7.1f s: drift: %s %s %s%s\n", now, d.Relay, d.Item, d.State, strings.Repeat(" ", 40))
				}
			}
		})
	}
}

// maxDriftSpans bounds what is kept of what drifted.
const maxDriftSpans = 1000

// replaceEmptyMembers replaces members that are empty, and remembers how releases stand.
func (r *run) replaceEmptyMembers(ctx context.Context) {
	replaced := map[string]bool{}
	for k := 0; sleep(ctx, fleetPollInterval); k++ {
		n := r.relays[k%len(r.relays)]
		var all struct{ Releases []rollout.ReleaseStatus }
		if fleetRequest("GET", n.fleetAddr, "/-/releases?stale", nil, &all) != http.StatusOK {
			continue
		}
		for _, a := range all.Releases {
			var whole rollout.ReleaseStatus
			if fleetRequest("GET", n.fleetAddr, "/-/releases/"+a.Name+"?stale", nil, &whole) != http.StatusOK {
				continue
			}
			r.locked(func(at time.Duration) {
				if news := r.unavailability.recordRelease(at, whole); news != "" {
					r.Progress("\r%7.1f s: release %s is %s%s\n", at.Seconds(), a.Name, news, strings.Repeat(" ", 40))
				}
			})
			for _, u := range whole.Units {
				name := cmp.Or(u.Successor, u.Name) // on the way back it is the successor that is replaced, by the build of before
				if u.Kind == rollout.KindMember && u.Phase == rollout.PhaseDrained && !replaced[name] {
					replaced[name] = true
					r.replaceMember(name, u.Reverting)
				}
			}
		}
	}
}

// replaceMember ends a member and starts its successor, of the old build if that is wanted back.
func (r *run) replaceMember(name string, old bool) {
	r.mu.Lock()
	m := r.members[name]
	r.mu.Unlock()
	if m == nil {
		return
	}
	r.Progress("\r%7.1f s: the owner replaces %s%s\n", r.now().Seconds(), name, strings.Repeat(" ", 40))
	next, err := r.newMember(m.index, m.generation+1)
	m.MoveClients()
	m.Kill()
	r.discovery.SetLifecycle(m.ID, fakes.Deleted)
	if err != nil {
		r.Progress("%s has no successor: %v\n", name, err)
		return
	}
	if old {
		next.Defect = fakes.Defect{}
	}
	r.startMember(next)
}

// unavailability is what was out, as processes and sockets show it.
type unavailability struct {
	relays, members int     // at once, at most
	lostCapacity    float64 // of all that members bear, at once, at most
	drift           []DriftSpan
	callTimes       []time.Duration
	releaseStates   map[string]string        // of releases
	releaseEnds     map[string]time.Duration // since the first call
}

// recordRelease remembers how one stands, and says so if it is new.
func (o *unavailability) recordRelease(at time.Duration, a rollout.ReleaseStatus) (news string) {
	if o.releaseStates == nil {
		o.releaseStates, o.releaseEnds = map[string]string{}, map[string]time.Duration{}
	}
	state := string(a.State)
	if a.Halt != nil && a.State == rollout.ReleaseHalted {
		state += ": " + string(a.Halt.Cause) + ": " + a.Halt.Reason
	}
	if o.releaseStates[a.Name] != state {
		o.releaseStates[a.Name], o.releaseEnds[a.Name] = state, at
		return state
	}
	return ""
}

// releasesDone is the time from the first call until all releases had ended, in seconds; nil if one has not.
func (o *unavailability) releasesDone() *float64 {
	if len(o.releaseStates) == 0 || len(o.callTimes) == 0 {
		return nil
	}
	last := time.Duration(0)
	for name, state := range o.releaseStates {
		if state != string(rollout.ReleaseCompleted) && state != string(rollout.ReleaseRolledBack) {
			return nil
		}
		last = max(last, o.releaseEnds[name])
	}
	s := (last - o.callTimes[0]).Seconds()
	return &s
}

// watchUnavailability looks how many relays no front sends to, and how many members are down or cold. What the time line breaks counts too.
func (r *run) watchUnavailability(ctx context.Context) {
	for sleep(ctx, 50*time.Millisecond) {
		relays := len(r.relays) - r.front.admittedCount()
		r.locked(func(time.Duration) {
			members, all, lost, now := 0, 0.0, 0.0, time.Now()
			for _, m := range r.memberByIndex {
				bears, cores := 1.0, m.Capacity.Cores
				if m.entry.Started > 0 {
					bears = m.Capacity.SlowStart.Share(now.Sub(time.UnixMilli(m.entry.Started)))
				}
				if m.Down() {
					bears = 0
				}
				if bears < 1 {
					members++
				}
				all, lost = all+cores, lost+cores*(1-bears)
			}
			r.unavailability.relays, r.unavailability.members, r.unavailability.lostCapacity = max(r.unavailability.relays, relays), max(r.unavailability.members, members), max(r.unavailability.lostCapacity, lost/all)
		})
	}
}

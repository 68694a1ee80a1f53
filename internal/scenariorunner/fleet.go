package scenariorunner

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"dahliarudder/internal/fakes"
	"dahliarudder/internal/rollout"
	"dahliarudder/internal/scenario"
)

// The runner acts as an operator who calls the fleet's API, and as the owner of the members, who
// replaces a member only after the fleet reports it as drained.

const (
	fleetPollInterval   = 200 * time.Millisecond
	fleetRequestTimeout = 5 * time.Second
	maxFleetAnswer      = 4 << 20 // bytes
	// operatorCallTimeout is how long a call is retried while no relay can accept it.
	operatorCallTimeout = 15 * time.Second
)

var fleetClient = http.Client{Timeout: fleetRequestTimeout, Transport: &http.Transport{DisableKeepAlives: true}}

// fleetRequest makes one call to the fleet's API. Unless into is nil, it decodes the answer into
// it. It returns the HTTP status, or 0 if there was no answer.
func fleetRequest(method, addr, path string, body []byte, into any) int {
	request, err := http.NewRequest(method, "http://"+addr+path, bytes.NewReader(body))
	if err != nil {
		return 0
	}
	answer, err := fleetClient.Do(request)
	if err != nil {
		return 0
	}
	defer answer.Body.Close()
	text, _ := io.ReadAll(io.LimitReader(answer.Body, maxFleetAnswer))
	if into != nil {
		json.Unmarshal(text, into)
	}
	return answer.StatusCode
}

// operatorCall makes the call of a step. It retries until the call is accepted, rejected as invalid
// or conflicting, or operatorCallTimeout has passed.
func (r *run) operatorCall(ctx context.Context, n *relay, s scenario.Step) {
	method, path, _ := strings.Cut(s.Call, " ")
	for end := time.Now().Add(operatorCallTimeout); ctx.Err() == nil; sleep(ctx, fleetPollInterval) {
		var answer rollout.Result
		status := fleetRequest(method, n.fleetAddr, path, s.Body, &answer)
		if status == http.StatusOK {
			r.locked(func(at time.Duration) { r.unavailability.callTimes = append(r.unavailability.callTimes, at) })
			return
		}
		if status == http.StatusConflict || status == http.StatusBadRequest || time.Now().After(end) {
			r.Progress("\roperator call %s %s to relay %s failed: HTTP status %d %s\n",
				method, path, n.name, status, answer.Error)
			return
		}
	}
}

// resolveLeader returns the name of the relay that leads the fleet. For a step that undoes a fault,
// it returns the relay that was the leader when the fault was injected. It returns "" if no relay
// reports a leader.
func (r *run) resolveLeader(s scenario.Step) string {
	if leader := r.leaderByFault[s.Fault]; leader != "" {
		return leader
	}
	for _, n := range r.relays {
		var answer struct{ Engine struct{ Leader string } }
		if fleetRequest("GET", n.fleetAddr, "/-/fleet", nil, &answer) == http.StatusOK && answer.Engine.Leader != "" {
			r.leaderByFault[s.Fault] = answer.Engine.Leader
			r.event(r.now(), "%s is the leader", answer.Engine.Leader)
			return answer.Engine.Leader
		}
	}
	r.Progress("\rno relay reports a leader of the fleet; the step is skipped\n")
	return ""
}

// replaceDrainedMembers replaces the members that a release has drained, and records the state of
// each release.
func (r *run) replaceDrainedMembers(ctx context.Context) {
	replaced := map[string]bool{}
	for k := 0; sleep(ctx, fleetPollInterval); k++ {
		n := r.relays[k%len(r.relays)]
		var list struct{ Releases []rollout.ReleaseStatus }
		if fleetRequest("GET", n.fleetAddr, "/-/releases?stale", nil, &list) != http.StatusOK {
			continue
		}
		for _, summary := range list.Releases {
			var release rollout.ReleaseStatus
			if fleetRequest("GET", n.fleetAddr, "/-/releases/"+summary.Name+"?stale", nil, &release) != http.StatusOK {
				continue
			}
			r.locked(func(at time.Duration) {
				if state := r.unavailability.recordRelease(at, release); state != "" {
					r.event(at, "release %s is %s", summary.Name, state)
				}
			})
			for _, u := range release.Units {
				name := cmp.Or(u.Successor, u.Name) // a rollback replaces the successor by the previous build
				if u.Kind == rollout.KindMember && u.Phase == rollout.PhaseDrained && !replaced[name] {
					replaced[name] = true
					r.replaceMember(name, u.Reverting)
				}
			}
		}
	}
}

// replaceMember ends a member and starts its successor. In a rollback the successor runs the
// previous build, which has no defect.
func (r *run) replaceMember(name string, rollback bool) {
	r.mu.Lock()
	m := r.members[name]
	r.mu.Unlock()
	if m == nil {
		return
	}
	r.event(r.now(), "replacing drained member %s", name)
	successor, err := r.newMember(m.index, m.generation+1)
	m.MoveClients()
	m.Kill()
	r.discovery.SetLifecycle(m.ID, fakes.Deleted)
	if err != nil {
		r.Progress("cannot start a successor of member %s: %v\n", name, err)
		return
	}
	if rollback {
		successor.Defect = fakes.Defect{}
	}
	r.startMember(successor)
}

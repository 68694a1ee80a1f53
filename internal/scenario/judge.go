package scenario

import (
	"fmt"
	"slices"
	"sort"
	"time"
)

// Judge finds the violations of the rules that relays commit. Its input is what the fake clients,
// members and discovery observed at their sockets, and which faults the runner caused. It does not
// use anything that a relay reports about itself.
type Judge struct {
	Rules Rules
	// RunnerDelay is the longest delay of the scenario runner's own actions, by which the judge
	// extends all time limits. It is 0 until the runner sets it, before Finish.
	RunnerDelay time.Duration

	starts        []relayStart
	requests      map[string]*request
	members       map[string]*memberState
	memberUpdates map[relayMember]memberUpdate
	excuses       map[string][]span // by relay: periods in which a fault explains missing answers and broken flows
	violations    []Violation
	// idleFloods holds, by relay, the periods in which idle clients use up its descriptors. The relay
	// may then close new connections unread.
	idleFloods map[string][]span
}

// relayStart is one start of a relay, with the time it took until the relay was ready.
type relayStart struct {
	relay    string
	at, took time.Duration
}

type relayMember struct{ relay, member string }

// memberUpdate is the last state of a member that discovery sent to a relay.
type memberUpdate struct {
	drainsSince time.Duration // 0: the member does not drain
	started     time.Duration
}

// span is a period of time. It has not ended if to is 0.
type span struct{ from, to time.Duration }

// NewJudge returns a judge without any observations.
func NewJudge(r Rules) *Judge {
	return &Judge{Rules: r, requests: map[string]*request{}, members: map[string]*memberState{},
		memberUpdates: map[relayMember]memberUpdate{}, excuses: map[string][]span{}, idleFloods: map[string][]span{}}
}

func (j *Judge) addViolation(at time.Duration, rule Rule, relay, format string, args ...any) {
	j.violations = append(j.violations, Violation{at, rule, relay, fmt.Sprintf(format, args...)})
}

// tolerance returns by how much an observation may exceed a time limit.
func (j *Judge) tolerance() time.Duration { return socketTolerance + j.RunnerDelay }

// MemberUpdateSent records that discovery sent a relay its entry of a member: the lifecycle and the
// start time.
func (j *Judge) MemberUpdateSent(at time.Duration, relay, member, lifecycle string, started time.Duration) {
	key := relayMember{relay, member}
	u := j.memberUpdates[key]
	if lifecycle == "SERVING" {
		u.drainsSince = 0
	} else if u.drainsSince == 0 {
		u.drainsSince = at
	}
	u.started = started
	j.memberUpdates[key] = u
}

// BeginExcuse excuses missing answers and broken flows of a relay from the given time on, because
// the relay was killed or stopped, or a link was broken. Each call needs its own EndExcuse, unless
// the excuse lasts until the end of the run.
func (j *Judge) BeginExcuse(at time.Duration, relay string) {
	j.excuses[relay] = append(j.excuses[relay], span{at, 0})
}

// EndExcuse ends the oldest open excuse of a relay.
func (j *Judge) EndExcuse(at time.Duration, relay string) {
	for i, s := range j.excuses[relay] {
		if s.to == 0 {
			j.excuses[relay][i].to = at
			return
		}
	}
}

// BeginIdleFlood records that idle clients use up a relay's descriptors from the given time on.
func (j *Judge) BeginIdleFlood(at time.Duration, relay string) {
	j.idleFloods[relay] = append(j.idleFloods[relay], span{at, 0})
}

// EndIdleFlood ends the most recent idle flood of a relay.
func (j *Judge) EndIdleFlood(at time.Duration, relay string) {
	if all := j.idleFloods[relay]; len(all) > 0 {
		all[len(all)-1].to = at
	}
}

// RelayReady records that a relay became ready, and the time that took since its start.
func (j *Judge) RelayReady(at time.Duration, relay string, took time.Duration) {
	j.starts = append(j.starts, relayStart{relay, at, took})
}

// RelayRestarted records that a relay's new process has lost the member updates sent to the old one.
func (j *Judge) RelayRestarted(relay string) {
	for k := range j.memberUpdates {
		if k.relay == relay {
			delete(j.memberUpdates, k)
		}
	}
}

// RelayCrashed records that a relay's process ended, or did not start, without a fault that explains
// it. The relay's missing answers are excused from then on.
func (j *Judge) RelayCrashed(at time.Duration, relay, how string) {
	j.addViolation(at, RelayCrash, relay, "%s", how)
	j.BeginExcuse(at, relay) // missing answers are a consequence of the crash, not further violations
}

// CheckResources checks a relay's resource use after all clients have gone: the open descriptors
// must not exceed those before the clients came, and the peak memory must not exceed its limit. Both
// memory values are in MB; a limit of 0 means unlimited.
func (j *Judge) CheckResources(at time.Duration, relay string, descriptors, before int, memory, limit float64) {
	if descriptors > before {
		j.addViolation(at, DescriptorLeak, relay, "%d open descriptors, %d before the clients came", descriptors, before)
	}
	if limit > 0 && memory > limit {
		j.addViolation(at, MemoryOverLimit, relay, "peak memory %.0f MB, limit %.0f MB", memory, limit)
	}
}

// excused reports whether a relay had an excuse at any time between from and to.
func (j *Judge) excused(relay string, from, to time.Duration) bool {
	return anyOverlap(j.excuses[relay], from, to)
}

func anyOverlap(spans []span, from, to time.Duration) bool {
	return slices.ContainsFunc(spans, func(s span) bool { return s.from <= to && (s.to == 0 || s.to >= from) })
}

// Finish makes the checks that are possible only at the end of the run and returns all violations,
// sorted by time.
func (j *Judge) Finish(at time.Duration) []Violation {
	for id, r := range j.requests {
		j.finishRequest(at, id, r)
	}
	j.checkStarts()
	sort.SliceStable(j.violations, func(a, b int) bool {
		x, y := j.violations[a], j.violations[b]
		return x.At < y.At || x.At == y.At && x.What < y.What
	})
	return j.violations
}

// checkStarts checks how long relays took to become ready.
func (j *Judge) checkStarts() {
	slow := 0
	for _, s := range j.starts {
		if s.took > usualReadyTime {
			slow++
		}
		if s.took > maxReadyTime {
			j.addViolation(s.at, NotReadyInTime, s.relay, "ready after %v, limit %v", s.took, maxReadyTime)
		}
	}
	if 10*slow > len(j.starts) {
		j.addViolation(0, NotReadyInTime, "", "%d of %d starts took longer than %v, one in ten may",
			slow, len(j.starts), usualReadyTime)
	}
}

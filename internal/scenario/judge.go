package scenario

import (
	"fmt"
	"slices"
	"sort"
	"time"
)

// Judge finds the rules that relays broke. It is fed with what crossed the sockets of clients, members and discovery, and with what
// was done to the relays, never with a relay's own account.
type Judge struct {
	Rules Rules
	// RunnerDelay is how late the runner itself was at worst; it is set before Finish.
	RunnerDelay time.Duration

	starts        []relayStart
	requests      map[string]*request
	members       map[string]*memberState
	memberUpdates map[relayMember]memberUpdate
	excuses       map[string][]span // by relay: when it, or its links, were broken
	idleFloods    map[string][]span // by relay: when idle clients filled its descriptors, and it might close new connections unread
	violations    []Violation
}

// relayStart is one start of a relay, and how long it took to be ready.
type relayStart struct {
	relay    string
	at, took time.Duration
}

type relayMember struct{ relay, member string }

// memberUpdate is what a relay was last notified of a member.
type memberUpdate struct {
	drainsSince time.Duration // 0: it serves
	started     time.Duration
}

// span is a stretch of time; it has not ended if to is 0.
type span struct{ from, to time.Duration }

// NewJudge returns a judge that has seen nothing.
func NewJudge(r Rules) *Judge {
	return &Judge{Rules: r, requests: map[string]*request{}, members: map[string]*memberState{},
		memberUpdates: map[relayMember]memberUpdate{}, excuses: map[string][]span{}, idleFloods: map[string][]span{}}
}

func (j *Judge) addViolation(at time.Duration, rule Rule, relay, format string, args ...any) {
	j.violations = append(j.violations, Violation{at, rule, relay, fmt.Sprintf(format, args...)})
}

// tolerance is how much later than allowed something may be seen.
func (j *Judge) tolerance() time.Duration { return socketTolerance + j.RunnerDelay }

// MemberUpdateSent records that a relay was sent discovery's entry of a member.
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

// BeginExcuse excuses a relay's missing answers from now on: it was killed or stopped, or a link to its clients was broken. Each
// BeginExcuse has its own EndExcuse.
func (j *Judge) BeginExcuse(at time.Duration, relay string) {
	j.excuses[relay] = append(j.excuses[relay], span{at, 0})
}

// EndExcuse ends the first excuse of a relay that has not ended.
func (j *Judge) EndExcuse(at time.Duration, relay string) {
	for i, s := range j.excuses[relay] {
		if s.to == 0 {
			j.excuses[relay][i].to = at
			return
		}
	}
}

// BeginIdleFlood records that idle clients fill a relay's descriptors from now on.
func (j *Judge) BeginIdleFlood(at time.Duration, relay string) {
	j.idleFloods[relay] = append(j.idleFloods[relay], span{at, 0})
}

// EndIdleFlood ends the last idle flood of a relay.
func (j *Judge) EndIdleFlood(at time.Duration, relay string) {
	if all := j.idleFloods[relay]; len(all) > 0 {
		all[len(all)-1].to = at
	}
}

// RelayReady records how long a relay took from its start until it was ready.
func (j *Judge) RelayReady(at time.Duration, relay string, took time.Duration) {
	j.starts = append(j.starts, relayStart{relay, at, took})
}

// RelayRestarted records that a relay has lost what it was notified of.
func (j *Judge) RelayRestarted(relay string) {
	for k := range j.memberUpdates {
		if k.relay == relay {
			delete(j.memberUpdates, k)
		}
	}
}

// RelayCrashed records that a relay ended though nobody ended it.
func (j *Judge) RelayCrashed(at time.Duration, relay, how string) {
	j.addViolation(at, RelayCrash, relay, "%s", how)
	j.BeginExcuse(at, relay) // what it leaves unanswered is the same finding
}

// CheckResources compares what a relay uses after its clients have gone with what it may use: the descriptors with those before the
// clients came, and the peak memory with its limit, in MB; a limit of 0 is none.
func (j *Judge) CheckResources(at time.Duration, relay string, descriptors, before int, memory, limit float64) {
	if descriptors > before {
		j.addViolation(at, DescriptorLeak, relay, "%d, before there were clients %d", descriptors, before)
	}
	if limit > 0 && memory > limit {
		j.addViolation(at, MemoryOverLimit, relay, "%.0f of %.0f MB", memory, limit)
	}
}

// excused reports whether a relay had an excuse at some time between.
func (j *Judge) excused(relay string, from, to time.Duration) bool {
	return anyOverlap(j.excuses[relay], from, to)
}

func anyOverlap(spans []span, from, to time.Duration) bool {
	return slices.ContainsFunc(spans, func(s span) bool { return s.from <= to && (s.to == 0 || s.to >= from) })
}

// Finish judges what only the end shows, and returns all violations by time.
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

// checkStarts judges how soon relays were ready.
func (j *Judge) checkStarts() {
	slow := 0
	for _, s := range j.starts {
		if s.took > usualReadyTime {
			slow++
		}
		if s.took > maxReadyTime {
			j.addViolation(s.at, NotReadyInTime, s.relay, "%v", s.took)
		}
	}
	if 10*slow > len(j.starts) {
		j.addViolation(0, NotReadyInTime, "", "%d of %d starts took over %v", slow, len(j.starts), usualReadyTime)
	}
}

package scenario

import (
	"fmt"
	"sort"
	"strings"
	"time"
)

// Rules are the figures that a judge holds relays to.
type Rules struct {
	MaxAttempts    int           // of one request
	AnswerSlack    time.Duration // an answer may come so much after the deadline
	DrainGrace     time.Duration // something new may reach a member so long after a relay was told that it drains
	SlowStartFrom  float64       // a member's share just after its start
	SlowStartFor   time.Duration
	OverloadFactor float64 // the multiple of what it can do that brings it down
	OverloadWindow time.Duration
}

// Share is how much of its warm speed a member has so long after its start.
func (r Rules) Share(age time.Duration) float64 {
	if r.SlowStartFor <= 0 || age >= r.SlowStartFor {
		return 1
	}
	return r.SlowStartFrom + (1-r.SlowStartFrom)*age.Seconds()/r.SlowStartFor.Seconds()
}

// The rules that can be broken.
const (
	MultipleAnswers       = "more than one final answer"
	NoAnswer              = "no final answer"
	ForgedAnswer          = "an answer that no member made"
	ConcurrentAttempts    = "two attempts of one request out"
	TooManyAttempts       = "more attempts than the limit"
	SentToDraining        = "something new to a draining member"
	OverloadedInSlowStart = "a cold member overdriven"
	FlowCutOff            = "a client cut off without MOVE"
	FlowStalled           = "a client left waiting on a flow that has stopped"
	RelayCrash            = "a relay ended by itself"
	SentForGoneClient     = "an attempt for a client that has gone"
	DisallowedRepeat      = "run again though its effect or its window does not allow it"
	WrongRejection        = "refused though it may have run"
	NotReadyInTime        = "a relay not ready in time"
	DescriptorLeak        = "descriptors that were not given back"
	MemoryOverLimit       = "a relay over its limit of memory"
	// maxFlowSilence is how long a flow may bring nothing back from a member that runs.
	maxFlowSilence  = 7 * time.Second
	socketTolerance = 50 * time.Millisecond // the protocol's page: each limit is so much longer on sockets
	// maxAfterClientGone is how long after its client has gone an attempt may still begin.
	maxAfterClientGone = 100 * time.Millisecond
	// Of all starts nine in ten may take usualReadyTime to be ready, and none maxReadyTime.
	usualReadyTime, maxReadyTime = 10 * time.Second, 30 * time.Second
	// simultaneousWindow: of two ends of one flow that were seen within it, either may have come first.
	simultaneousWindow = 250 * time.Millisecond
)

// Violation is a rule broken.
type Violation struct {
	At    time.Duration `json:"at_ns"`
	Rule  string        `json:"rule"`
	Relay string        `json:"relay"`
	What  string        `json:"what"`
}

// Judge is told what crossed the sockets and says which rules were broken. It knows no relay's own word.
type Judge struct {
	Rules Rules
	// AnswerDelayMs is how late the rehearsal itself was at worst; it is set before Close.
	RunnerDelay time.Duration

	starts        []start
	requests      map[string]*request
	members       map[string]*memberState
	memberUpdates map[[2]string]memberUpdate // relay, member
	excuses       map[string][]span          // when a relay, or its ways, had an excuse
	idleFloods    map[string][]span          // when idle clients filled its descriptors: new connections may be shut unread then
	violations    []Violation
}

// Effect is what a class of requests allows.
type Effect struct {
	Kind   EffectKind
	Window time.Duration // of Keyed
}

// EffectKind says when a request may be run again.
type EffectKind int

// The kinds of effects.
const (
	Idempotent       EffectKind = iota // at any time
	IdempotencyKeyed                   // anywhere, within its window
	NonIdempotent                      // never
)

// start is one start of a relay, and how long it took to be ready.
type start struct {
	relay    string
	at, took time.Duration
}

type request struct {
	relay              string
	effect             Effect
	clientLeft         time.Duration // when its client has gone, or has ended its sending; 0: not
	lastAttempt        time.Duration // the latest attempt
	mayHaveRun         time.Duration // the first attempt that may have run; 0: none
	sentAt, deadline   time.Duration
	answer             string
	answeredAt         time.Duration
	attempts, inFlight int
	memberAnswer       string
	endedByMember      time.Duration // by a member itself; 0: not
	flowEnded          time.Duration // when the client's side ended with no word; 0: not
	gaveUp             bool
	overlapSince       time.Duration // since when two attempts have been out
	overlapMember      string        // where the second one went
}

type memberState struct {
	cores     float64
	started   time.Duration
	warmingUp bool
	load      float64
	arrivals  []arrival
	down      bool
}

type arrival struct {
	at         time.Duration
	work       float64 // seconds of a core
	startKnown bool
}

type memberUpdate struct {
	drainsSince time.Duration // 0: not told
	started     time.Duration
}

type span struct{ from, to time.Duration }

// NewJudge begins with nothing.
func NewJudge(r Rules) *Judge {
	return &Judge{Rules: r, requests: map[string]*request{}, members: map[string]*memberState{}, memberUpdates: map[[2]string]memberUpdate{}, excuses: map[string][]span{}, idleFloods: map[string][]span{}}
}

func (j *Judge) violate(at time.Duration, rule, relay, format string, args ...any) {
	j.violations = append(j.violations, Violation{at, rule, relay, fmt.Sprintf(format, args...)})
}

// MemberStarted says what one can do when it is warm, and when it started; 0: long ago.
func (j *Judge) MemberStarted(name string, cores float64, started time.Duration) {
	j.members[name] = &memberState{cores: cores, started: started, warmingUp: started > 0}
}

// MemberUpdateSent is called when a relay has been written what discovery says of a member.
func (j *Judge) MemberUpdateSent(at time.Duration, relay, member, lifecycle string, started time.Duration) {
	t := j.memberUpdates[[2]string{relay, member}]
	if lifecycle == "SERVING" {
		t.drainsSince = 0
	} else if t.drainsSince == 0 {
		t.drainsSince = at
	}
	t.started = started
	j.memberUpdates[[2]string{relay, member}] = t
}

// BeginExcuse excuses a relay's silence from now on: it was killed or stopped, or what is between it and the clients broke. Calm ends
// the excuse; each Trouble has its own Calm.
func (j *Judge) BeginExcuse(at time.Duration, relay string) {
	j.excuses[relay] = append(j.excuses[relay], span{at, 0})
}

// EndExcuse ends the excuse of the first Trouble of a relay that has not ended.
func (j *Judge) EndExcuse(at time.Duration, relay string) {
	for i, s := range j.excuses[relay] {
		if s.to == 0 {
			j.excuses[relay][i].to = at
			return
		}
	}
}

// BeginIdleFlood says that idle clients fill a relay's descriptors from now on; Disperse ends that.
func (j *Judge) BeginIdleFlood(at time.Duration, relay string) {
	j.idleFloods[relay] = append(j.idleFloods[relay], span{at, 0})
}

// EndIdleFlood ends the last Crowd of a relay.
func (j *Judge) EndIdleFlood(at time.Duration, relay string) {
	if all := j.idleFloods[relay]; len(all) > 0 {
		all[len(all)-1].to = at
	}
}

// RelayReady is a relay that took so long from its start until it was ready.
func (j *Judge) RelayReady(at time.Duration, relay string, took time.Duration) {
	j.starts = append(j.starts, start{relay, at, took})
}

// CheckResources is what a relay holds after its clients have gone: descriptors, of which it held so many before they came, and the
// most memory that it had, in MB, of what it may have; 0: without bound.
func (j *Judge) CheckResources(at time.Duration, relay string, descriptors, before int, memory, most float64) {
	if descriptors > before {
		j.violate(at, DescriptorLeak, relay, "%d, before there were clients %d", descriptors, before)
	}
	if most > 0 && memory > most {
		j.violate(at, MemoryOverLimit, relay, "%.0f of %.0f MB", memory, most)
	}
}

// RelayRestarted is a relay that has forgotten what it was told.
func (j *Judge) RelayRestarted(relay string) {
	for k := range j.memberUpdates {
		if k[0] == relay {
			delete(j.memberUpdates, k)
		}
	}
}

func (j *Judge) excused(relay string, from, to time.Duration) bool {
	return anyOverlap(j.excuses[relay], from, to)
}

// anyOverlap says whether some span meets the time between.
func anyOverlap(all []span, from, to time.Duration) bool {
	for _, s := range all {
		if s.from <= to && (s.to == 0 || s.to >= from) {
			return true
		}
	}
	return false
}

// LineUnanswered is a client that has had no answer to a line since then; it gives up.
func (j *Judge) LineUnanswered(at time.Duration, id string, since time.Duration) {
	if r := j.requests[id]; r != nil && at-since > maxFlowSilence+socketTolerance+j.RunnerDelay && !j.excused(r.relay, since, at) {
		j.violate(at, FlowStalled, r.relay, "%s: nothing since %v", id, at-since)
	}
}

// RelayCrashed is a relay that ended though nobody ended it.
func (j *Judge) RelayCrashed(at time.Duration, relay, how string) {
	j.violate(at, RelayCrash, relay, "%s", how)
	j.BeginExcuse(at, relay) // what it leaves unanswered is the same finding
}

// AddDemand is a request whose last byte is written to a relay, with the time that its client waits.
func (j *Judge) RequestSent(at time.Duration, id, relay string, within time.Duration, effect Effect) {
	j.requests[id] = &request{relay: relay, sentAt: at, deadline: within, effect: effect}
}

// ClientLeft is a client that has closed its connection before an answer, or has only ended its sending and still reads.
func (j *Judge) ClientLeft(at time.Duration, id string, reads bool) {
	if r := j.requests[id]; r != nil && r.answer == "" {
		r.clientLeft, r.gaveUp = at, !reads
	}
}

// AnswerReceived is a line that came back before the flow was up, or one after the final answer that is none of the flow's.
func (j *Judge) AnswerReceived(at time.Duration, id, line string) {
	r := j.requests[id]
	if r == nil {
		return
	}
	if r.answer != "" {
		j.violate(at, MultipleAnswers, r.relay, "%s: %q after %q", id, line, r.answer)
		return
	}
	if r.effect.Kind == NonIdempotent && strings.HasPrefix(line, "BUSY") && (r.mayHaveRun > 0 || r.inFlight > 0) {
		j.violate(at, WrongRejection, r.relay, "%s: %q", id, line)
	}
	r.answer, r.answeredAt = line, at
	if strings.HasPrefix(line, "UP ") && line != r.memberAnswer {
		j.violate(at, ForgedAnswer, r.relay, "%s: %q, made was %q", id, line, r.memberAnswer)
	}
}

// ClientGaveUp is a client that ended its own connection before an answer.
func (j *Judge) ClientGaveUp(id string) {
	if r := j.requests[id]; r != nil {
		r.gaveUp = true
	}
}

// FlowEnded is the end of a flow's connection at its client with no MOVE and no BYE.
func (j *Judge) FlowEnded(at time.Duration, id string) {
	if r := j.requests[id]; r != nil && r.flowEnded == 0 {
		r.flowEnded = at
	}
}

// AttemptStarted is an attempt that has reached a member, with the work that it makes and the load that it holds. It returns true if
// the member falls.
func (j *Judge) AttemptStarted(at time.Duration, id, relay, member string, work time.Duration, load float64) bool {
	r := j.requests[id]
	if r == nil { // what no client asked
		r = &request{relay: relay, sentAt: at, gaveUp: true}
		j.requests[id] = r
		j.violate(at, ForgedAnswer, relay, "%s: an attempt at %s that no client asked for", id, member)
	}
	j.checkAttemptAllowed(at, id, r)
	r.attempts++
	r.lastAttempt = at
	if r.inFlight++; r.inFlight == 2 {
		r.overlapSince, r.overlapMember = at, member
	}
	if r.attempts > j.Rules.MaxAttempts {
		j.violate(at, TooManyAttempts, relay, "%s: %d, allowed are %d", id, r.attempts, j.Rules.MaxAttempts)
	}
	t := j.memberUpdates[[2]string{relay, member}]
	if t.drainsSince > 0 && at > t.drainsSince+j.Rules.DrainGrace+socketTolerance+j.RunnerDelay {
		j.violate(at, SentToDraining, relay, "%s at %s, told %d ms before", id, member, (at - t.drainsSince).Milliseconds())
	}
	m := j.members[member]
	if m == nil || m.down {
		return false
	}
	m.load += load
	if !m.warmingUp || at-m.started > j.Rules.SlowStartFor {
		return false
	}
	m.arrivals = append(m.arrivals, arrival{at, work.Seconds(), t.started == m.started})
	return j.checkOverload(at, member, m)
}

// checkAttemptAllowed judges whether an attempt may begin now.
func (j *Judge) checkAttemptAllowed(at time.Duration, id string, r *request) {
	late := socketTolerance + j.RunnerDelay
	if r.clientLeft > 0 && at > r.clientLeft+maxAfterClientGone+late {
		j.violate(at, SentForGoneClient, r.relay, "%s: %v after", id, at-r.clientLeft)
	}
	if r.mayHaveRun > 0 && (r.effect.Kind == NonIdempotent || r.effect.Kind == IdempotencyKeyed && at > r.mayHaveRun+r.effect.Window+late) {
		j.violate(at, DisallowedRepeat, r.relay, "%s: %v after the first attempt", id, at-r.mayHaveRun)
	}
}

// checkOverload sums what a cold member was sent in the last OverloadWindow.
func (j *Judge) checkOverload(at time.Duration, member string, m *memberState) bool {
	for len(m.arrivals) > 0 && m.arrivals[0].at <= at-j.Rules.OverloadWindow {
		m.arrivals = m.arrivals[1:]
	}
	sum, knew := 0.0, 0.0
	for _, a := range m.arrivals {
		if sum += a.work; a.startKnown {
			knew += a.work
		}
	}
	window := j.Rules.OverloadWindow.Seconds()
	can := m.cores * j.Rules.Share(at-m.started) * window
	if j.Rules.OverloadFactor <= 0 || sum+m.load*window <= j.Rules.OverloadFactor*can {
		return false
	}
	m.down = true
	if sum == 0 || knew >= sum*2/3 {
		j.violate(at, OverloadedInSlowStart, "", "%s: %.2f s of work and %.2f cores held, it can do %.2f in %.1f s", member, sum, m.load, can, window)
	}
	return true
}

// checkOverlap judges two attempts that were out until now. The end of one and the start of the next are seen at two sockets, in either order.
func (j *Judge) checkOverlap(at time.Duration, id string, r *request) {
	if at-r.overlapSince > socketTolerance+j.RunnerDelay {
		j.violate(r.overlapSince, ConcurrentAttempts, r.relay, "%s at %s, for %v", id, r.overlapMember, at-r.overlapSince)
	}
}

// AttemptAccepted is the line that a member answers an attempt with, before it is sent.
func (j *Judge) AttemptAccepted(id, up string) {
	if r := j.requests[id]; r != nil {
		r.memberAnswer = up
	}
}

// AttemptEnded is the end of an attempt. Itself: the member ended it; turned: it was turned away, and has not run.
func (j *Judge) AttemptEnded(at time.Duration, id, member string, load float64, itself, turned bool) {
	if r := j.requests[id]; r != nil {
		if !turned && r.mayHaveRun == 0 {
			r.mayHaveRun = r.lastAttempt
		}
		if r.inFlight--; r.inFlight == 1 {
			j.checkOverlap(at, id, r)
		}
		if itself && r.endedByMember == 0 {
			r.endedByMember = at
		}
	}
	if m := j.members[member]; m != nil {
		m.load -= load
	}
}

// Finish judges what only the end shows, and returns all breaks by time.
func (j *Judge) Finish(at time.Duration) []Violation {
	for id, r := range j.requests {
		if r.inFlight > 1 {
			j.checkOverlap(at, id, r)
		}
		due := r.sentAt + r.deadline + j.Rules.AnswerSlack + socketTolerance + j.RunnerDelay
		switch {
		case r.answer == "" && !r.gaveUp && due < at && !j.excused(r.relay, r.sentAt, due) && !anyOverlap(j.idleFloods[r.relay], r.sentAt, due):
			j.violate(due, NoAnswer, r.relay, "%s within %v", id, r.deadline)
		case r.answer != "" && r.answeredAt > due && !j.excused(r.relay, r.sentAt, r.answeredAt):
			j.violate(r.answeredAt, NoAnswer, r.relay, "%s: %q %v after it was asked, the client waits %v", id, r.answer, r.answeredAt-r.sentAt, r.deadline)
		}
		if r.flowEnded > 0 && strings.HasPrefix(r.answer, "UP ") && (r.endedByMember == 0 || r.endedByMember > r.flowEnded+simultaneousWindow) && !j.excused(r.relay, r.flowEnded-simultaneousWindow, r.flowEnded) {
			j.violate(r.flowEnded, FlowCutOff, r.relay, "%s", id)
		}
	}
	j.checkStarts()
	sort.SliceStable(j.violations, func(a, b int) bool {
		return j.violations[a].At < j.violations[b].At || j.violations[a].At == j.violations[b].At && j.violations[a].What < j.violations[b].What
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
			j.violate(s.at, NotReadyInTime, s.relay, "%v", s.took)
		}
	}
	if 10*slow > len(j.starts) {
		j.violate(0, NotReadyInTime, "", "%d of %d starts took over %v", slow, len(j.starts), usualReadyTime)
	}
}

package scenario

import (
	"fmt"
	"sort"
	"strings"
	"time"
)

// Rules are the figures that a judge holds relays to.
type Rules struct {
	Attempts int           // of one request
	Slack    time.Duration // an answer may come so much after the deadline
	Grace    time.Duration // something new may reach a member so long after a relay was told that it drains
	ColdFrom float64       // a member's share just after its start
	ColdFor  time.Duration
	Overload float64 // the multiple of what it can do that brings it down
	FallFor  time.Duration
}

// Share is how much of its warm speed a member has so long after its start.
func (r Rules) Share(age time.Duration) float64 {
	if r.ColdFor <= 0 || age >= r.ColdFor {
		return 1
	}
	return r.ColdFrom + (1-r.ColdFrom)*age.Seconds()/r.ColdFor.Seconds()
}

// The rules that can be broken.
const (
	TwoAnswers  = "more than one final answer"
	NoAnswer    = "no final answer"
	FalseAnswer = "an answer that no member made"
	TwoOut      = "two attempts of one request out"
	TooMany     = "more attempts than the limit"
	Draining    = "something new to a draining member"
	Overdriven  = "a cold member overdriven"
	CutOff      = "a client cut off without MOVE"
	LeftWaiting = "a client left waiting on a flow that has stopped"
	Crash       = "a relay ended by itself"
	SentForGone = "an attempt for a client that has gone"
	Repeated    = "run again though its effect or its window does not allow it"
	FalseHope   = "refused though it may have run"
	NotReady    = "a relay not ready in time"
	Leaking     = "descriptors that were not given back"
	OverLimit   = "a relay over its limit of memory"
	// waitMost is how long a flow may bring nothing back from a member that runs.
	waitMost     = 7 * time.Second
	lateAtMember = 50 * time.Millisecond // the protocol's page: each limit is so much longer on sockets
	// goneMost is how long after its client has gone an attempt may still begin.
	goneMost = 100 * time.Millisecond
	// Of all starts nine in ten may take readyMost to be ready, and none readyLast.
	readyMost, readyLast = 10 * time.Second, 30 * time.Second
	// answerWindow: of two ends of one flow that were seen within it, either may have come first.
	answerWindow = 250 * time.Millisecond
)

// Break is a rule broken.
type Break struct {
	At    time.Duration `json:"at_ns"`
	Rule  string        `json:"rule"`
	Relay string        `json:"relay"`
	What  string        `json:"what"`
}

// Judge is told what crossed the sockets and says which rules were broken. It knows no relay's own word.
type Judge struct {
	Rules Rules
	// Late is how late the rehearsal itself was at worst; it is set before Close.
	Late time.Duration

	ready    []start
	requests map[string]*request
	members  map[string]*judged
	told     map[[2]string]telling // relay, member
	troubled map[string][]span     // when a relay, or its ways, had an excuse
	crowded  map[string][]span     // when idle clients filled its descriptors: new connections may be shut unread then
	breaks   []Break
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
	Safe   EffectKind = iota // at any time
	Keyed                    // anywhere, within its window
	Unsafe                   // never
)

// start is one start of a relay, and how long it took to be ready.
type start struct {
	relay    string
	at, took time.Duration
}

type request struct {
	relay         string
	effect        Effect
	left          time.Duration // when its client has gone, or has ended its sending; 0: not
	begun         time.Duration // the latest attempt
	ran           time.Duration // the first attempt that may have run; 0: none
	asked, within time.Duration
	answer        string
	answered      time.Duration
	attempts, out int
	receipt       string
	ended         time.Duration // by a member itself; 0: not
	cut           time.Duration // when the client's side ended with no word; 0: not
	gaveUp        bool
	both          time.Duration // since when two attempts have been out
	second        string        // where the second one went
}

type judged struct {
	cores   float64
	started time.Duration
	cold    bool
	held    float64
	came    []arrival
	fallen  bool
}

type arrival struct {
	at   time.Duration
	work float64 // seconds of a core
	knew bool
}

type telling struct {
	drains  time.Duration // 0: not told
	started time.Duration
}

type span struct{ from, to time.Duration }

// NewJudge begins with nothing.
func NewJudge(r Rules) *Judge {
	return &Judge{Rules: r, requests: map[string]*request{}, members: map[string]*judged{}, told: map[[2]string]telling{}, troubled: map[string][]span{}, crowded: map[string][]span{}}
}

func (j *Judge) broken(at time.Duration, rule, relay, format string, args ...any) {
	j.breaks = append(j.breaks, Break{at, rule, relay, fmt.Sprintf(format, args...)})
}

// Member says what one can do when it is warm, and when it started; 0: long ago.
func (j *Judge) Member(name string, cores float64, started time.Duration) {
	j.members[name] = &judged{cores: cores, started: started, cold: started > 0}
}

// Told is called when a relay has been written what discovery says of a member.
func (j *Judge) Told(at time.Duration, relay, member, lifecycle string, started time.Duration) {
	t := j.told[[2]string{relay, member}]
	if lifecycle == "SERVING" {
		t.drains = 0
	} else if t.drains == 0 {
		t.drains = at
	}
	t.started = started
	j.told[[2]string{relay, member}] = t
}

// Trouble excuses a relay's silence from now on: it was killed or stopped, or what is between it and the clients broke. Calm ends
// the excuse; each Trouble has its own Calm.
func (j *Judge) Trouble(at time.Duration, relay string) {
	j.troubled[relay] = append(j.troubled[relay], span{at, 0})
}

// Calm ends the excuse of the first Trouble of a relay that has not ended.
func (j *Judge) Calm(at time.Duration, relay string) {
	for i, s := range j.troubled[relay] {
		if s.to == 0 {
			j.troubled[relay][i].to = at
			return
		}
	}
}

// Crowd says that idle clients fill a relay's descriptors from now on; Disperse ends that.
func (j *Judge) Crowd(at time.Duration, relay string) {
	j.crowded[relay] = append(j.crowded[relay], span{at, 0})
}

// Disperse ends the last Crowd of a relay.
func (j *Judge) Disperse(at time.Duration, relay string) {
	if all := j.crowded[relay]; len(all) > 0 {
		all[len(all)-1].to = at
	}
}

// Ready is a relay that took so long from its start until it was ready.
func (j *Judge) Ready(at time.Duration, relay string, took time.Duration) {
	j.ready = append(j.ready, start{relay, at, took})
}

// Kept is what a relay holds after its clients have gone: descriptors, of which it held so many before they came, and the
// most memory that it had, in MB, of what it may have; 0: without bound.
func (j *Judge) Kept(at time.Duration, relay string, descriptors, before int, memory, most float64) {
	if descriptors > before {
		j.broken(at, Leaking, relay, "%d, before there were clients %d", descriptors, before)
	}
	if most > 0 && memory > most {
		j.broken(at, OverLimit, relay, "%.0f of %.0f MB", memory, most)
	}
}

// Restarted is a relay that has forgotten what it was told.
func (j *Judge) Restarted(relay string) {
	for k := range j.told {
		if k[0] == relay {
			delete(j.told, k)
		}
	}
}

func (j *Judge) excused(relay string, from, to time.Duration) bool {
	return meet(j.troubled[relay], from, to)
}

// meet says whether some span meets the time between.
func meet(all []span, from, to time.Duration) bool {
	for _, s := range all {
		if s.from <= to && (s.to == 0 || s.to >= from) {
			return true
		}
	}
	return false
}

// Waiting is a client that has had no answer to a line since then; it gives up.
func (j *Judge) Waiting(at time.Duration, id string, since time.Duration) {
	if r := j.requests[id]; r != nil && at-since > waitMost+lateAtMember+j.Late && !j.excused(r.relay, since, at) {
		j.broken(at, LeftWaiting, r.relay, "%s: nothing since %v", id, at-since)
	}
}

// Crashed is a relay that ended though nobody ended it.
func (j *Judge) Crashed(at time.Duration, relay, how string) {
	j.broken(at, Crash, relay, "%s", how)
	j.Trouble(at, relay) // what it leaves unanswered is the same finding
}

// Asked is a request whose last byte is written to a relay, with the time that its client waits.
func (j *Judge) Asked(at time.Duration, id, relay string, within time.Duration, effect Effect) {
	j.requests[id] = &request{relay: relay, asked: at, within: within, effect: effect}
}

// Left is a client that has closed its connection before an answer, or has only ended its sending and still reads.
func (j *Judge) Left(at time.Duration, id string, reads bool) {
	if r := j.requests[id]; r != nil && r.answer == "" {
		r.left, r.gaveUp = at, !reads
	}
}

// Answered is a line that came back before the flow was up, or one after the final answer that is none of the flow's.
func (j *Judge) Answered(at time.Duration, id, line string) {
	r := j.requests[id]
	if r == nil {
		return
	}
	if r.answer != "" {
		j.broken(at, TwoAnswers, r.relay, "%s: %q after %q", id, line, r.answer)
		return
	}
	if r.effect.Kind == Unsafe && strings.HasPrefix(line, "BUSY") && (r.ran > 0 || r.out > 0) {
		j.broken(at, FalseHope, r.relay, "%s: %q", id, line)
	}
	r.answer, r.answered = line, at
	if strings.HasPrefix(line, "UP ") && line != r.receipt {
		j.broken(at, FalseAnswer, r.relay, "%s: %q, made was %q", id, line, r.receipt)
	}
}

// GaveUp is a client that ended its own connection before an answer.
func (j *Judge) GaveUp(id string) {
	if r := j.requests[id]; r != nil {
		r.gaveUp = true
	}
}

// Broke is the end of a flow's connection at its client with no MOVE and no BYE.
func (j *Judge) Broke(at time.Duration, id string) {
	if r := j.requests[id]; r != nil && r.cut == 0 {
		r.cut = at
	}
}

// Begun is an attempt that has reached a member, with the work that it makes and the load that it holds. It returns true if
// the member falls.
func (j *Judge) Begun(at time.Duration, id, relay, member string, work time.Duration, load float64) bool {
	r := j.requests[id]
	if r == nil { // what no client asked
		r = &request{relay: relay, asked: at, gaveUp: true}
		j.requests[id] = r
		j.broken(at, FalseAnswer, relay, "%s: an attempt at %s that no client asked for", id, member)
	}
	j.mayBegin(at, id, r)
	r.attempts++
	r.begun = at
	if r.out++; r.out == 2 {
		r.both, r.second = at, member
	}
	if r.attempts > j.Rules.Attempts {
		j.broken(at, TooMany, relay, "%s: %d, allowed are %d", id, r.attempts, j.Rules.Attempts)
	}
	t := j.told[[2]string{relay, member}]
	if t.drains > 0 && at > t.drains+j.Rules.Grace+lateAtMember+j.Late {
		j.broken(at, Draining, relay, "%s at %s, told %d ms before", id, member, (at - t.drains).Milliseconds())
	}
	m := j.members[member]
	if m == nil || m.fallen {
		return false
	}
	m.held += load
	if !m.cold || at-m.started > j.Rules.ColdFor {
		return false
	}
	m.came = append(m.came, arrival{at, work.Seconds(), t.started == m.started})
	return j.weigh(at, member, m)
}

// mayBegin judges whether an attempt may begin now.
func (j *Judge) mayBegin(at time.Duration, id string, r *request) {
	late := lateAtMember + j.Late
	if r.left > 0 && at > r.left+goneMost+late {
		j.broken(at, SentForGone, r.relay, "%s: %v after", id, at-r.left)
	}
	if r.ran > 0 && (r.effect.Kind == Unsafe || r.effect.Kind == Keyed && at > r.ran+r.effect.Window+late) {
		j.broken(at, Repeated, r.relay, "%s: %v after the first attempt", id, at-r.ran)
	}
}

// weigh sums what a cold member was sent in the last FallFor.
func (j *Judge) weigh(at time.Duration, member string, m *judged) bool {
	for len(m.came) > 0 && m.came[0].at <= at-j.Rules.FallFor {
		m.came = m.came[1:]
	}
	sum, knew := 0.0, 0.0
	for _, a := range m.came {
		if sum += a.work; a.knew {
			knew += a.work
		}
	}
	window := j.Rules.FallFor.Seconds()
	can := m.cores * j.Rules.Share(at-m.started) * window
	if j.Rules.Overload <= 0 || sum+m.held*window <= j.Rules.Overload*can {
		return false
	}
	m.fallen = true
	if sum == 0 || knew >= sum*2/3 {
		j.broken(at, Overdriven, "", "%s: %.2f s of work and %.2f cores held, it can do %.2f in %.1f s", member, sum, m.held, can, window)
	}
	return true
}

// overlap judges two attempts that were out until now. The end of one and the start of the next are seen at two sockets, in either order.
func (j *Judge) overlap(at time.Duration, id string, r *request) {
	if at-r.both > lateAtMember+j.Late {
		j.broken(r.both, TwoOut, r.relay, "%s at %s, for %v", id, r.second, at-r.both)
	}
}

// Made is the line that a member answers an attempt with, before it is sent.
func (j *Judge) Made(id, up string) {
	if r := j.requests[id]; r != nil {
		r.receipt = up
	}
}

// Over is the end of an attempt. Itself: the member ended it; turned: it was turned away, and has not run.
func (j *Judge) Over(at time.Duration, id, member string, load float64, itself, turned bool) {
	if r := j.requests[id]; r != nil {
		if !turned && r.ran == 0 {
			r.ran = r.begun
		}
		if r.out--; r.out == 1 {
			j.overlap(at, id, r)
		}
		if itself && r.ended == 0 {
			r.ended = at
		}
	}
	if m := j.members[member]; m != nil {
		m.held -= load
	}
}

// Close judges what only the end shows, and returns all breaks by time.
func (j *Judge) Close(at time.Duration) []Break {
	for id, r := range j.requests {
		if r.out > 1 {
			j.overlap(at, id, r)
		}
		due := r.asked + r.within + j.Rules.Slack + lateAtMember + j.Late
		switch {
		case r.answer == "" && !r.gaveUp && due < at && !j.excused(r.relay, r.asked, due) && !meet(j.crowded[r.relay], r.asked, due):
			j.broken(due, NoAnswer, r.relay, "%s within %v", id, r.within)
		case r.answer != "" && r.answered > due && !j.excused(r.relay, r.asked, r.answered):
			j.broken(r.answered, NoAnswer, r.relay, "%s: %q %v after it was asked, the client waits %v", id, r.answer, r.answered-r.asked, r.within)
		}
		if r.cut > 0 && strings.HasPrefix(r.answer, "UP ") && (r.ended == 0 || r.ended > r.cut+answerWindow) && !j.excused(r.relay, r.cut-answerWindow, r.cut) {
			j.broken(r.cut, CutOff, r.relay, "%s", id)
		}
	}
	j.judgeStarts()
	sort.SliceStable(j.breaks, func(a, b int) bool {
		return j.breaks[a].At < j.breaks[b].At || j.breaks[a].At == j.breaks[b].At && j.breaks[a].What < j.breaks[b].What
	})
	return j.breaks
}

// judgeStarts judges how soon relays were ready.
func (j *Judge) judgeStarts() {
	slow := 0
	for _, s := range j.ready {
		if s.took > readyMost {
			slow++
		}
		if s.took > readyLast {
			j.broken(s.at, NotReady, s.relay, "%v", s.took)
		}
	}
	if 10*slow > len(j.ready) {
		j.broken(0, NotReady, "", "%d of %d starts took over %v", slow, len(j.ready), readyMost)
	}
}

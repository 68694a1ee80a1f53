package rehearsal

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
	// waitMost is how long a flow may bring nothing back from a member that runs.
	waitMost     = 7 * time.Second
	lateAtMember = 50 * time.Millisecond // the protocol's page: each limit is so much longer on sockets
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

	requests map[string]*request
	members  map[string]*judged
	told     map[[2]string]telling // relay, member
	troubled map[string][]span     // when a relay, or its ways, had an excuse
	breaks   []Break
}

type request struct {
	relay         string
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
	return &Judge{Rules: r, requests: map[string]*request{}, members: map[string]*judged{}, told: map[[2]string]telling{}, troubled: map[string][]span{}}
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

// Restarted is a relay that has forgotten what it was told.
func (j *Judge) Restarted(relay string) {
	for k := range j.told {
		if k[0] == relay {
			delete(j.told, k)
		}
	}
}

func (j *Judge) excused(relay string, from, to time.Duration) bool {
	for _, s := range j.troubled[relay] {
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
func (j *Judge) Asked(at time.Duration, id, relay string, within time.Duration) {
	j.requests[id] = &request{relay: relay, asked: at, within: within}
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
	r.attempts++
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

// Over is the end of an attempt. Itself: the member ended it.
func (j *Judge) Over(at time.Duration, id, member string, load float64, itself bool) {
	if r := j.requests[id]; r != nil {
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
		case r.answer == "" && !r.gaveUp && due < at && !j.excused(r.relay, r.asked, due):
			j.broken(due, NoAnswer, r.relay, "%s within %v", id, r.within)
		case r.answer != "" && r.answered > due && !j.excused(r.relay, r.asked, r.answered):
			j.broken(r.answered, NoAnswer, r.relay, "%s: %q %v after it was asked, the client waits %v", id, r.answer, r.answered-r.asked, r.within)
		}
		if r.cut > 0 && strings.HasPrefix(r.answer, "UP ") && (r.ended == 0 || r.ended > r.cut+answerWindow) && !j.excused(r.relay, r.cut-answerWindow, r.cut) {
			j.broken(r.cut, CutOff, r.relay, "%s", id)
		}
	}
	sort.SliceStable(j.breaks, func(a, b int) bool {
		return j.breaks[a].At < j.breaks[b].At || j.breaks[a].At == j.breaks[b].At && j.breaks[a].What < j.breaks[b].What
	})
	return j.breaks
}

package core

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"dahliarudder/internal/settings"
	"dahliarudder/policy"
)

const defaultSettings = `{"balancers":1,"zones":["a"],
 "classes":[{"name":"pay","aim-ms":400,"deadline-ms":2000,"effect":"read_like","key-scope":"all"}],
 "limits":{"max-attempts":3,"cancel":true,"probes":false,"connect-timeout-ms":250},
 "guarantees":{"answer-slack-ms":8,"drain-grace-ms":250},"extra":{"message-aim-ms":[90]}}`

// harness is a core with a fake clock, and records what the core requests. It is the core's Recorder.
type harness struct {
	*Core
	t        *testing.T
	now      time.Duration
	wakeAt   time.Duration // when the core wants its next Tick
	records  []string
	notReady bool          // the recorder cannot record
	owed     RecordBacklog // the latest argument of Ready
}

// downstream is a Downstream that records the calls that it receives, and checks that they are
// allowed.
type downstream struct {
	harness    *harness
	id         ID
	inFlight   int // attempts in flight
	attempts   int // all, including the one in flight
	answers    []string
	migrations int
	timeout    time.Duration
	member     string        // of the latest attempt
	retryAfter time.Duration // of the rejection
}

func (d *downstream) Send(id ID, to *Member, attempt int, timeout time.Duration) {
	d.id, d.timeout, d.member = id, timeout, to.Name
	d.inFlight++
	d.attempts++
	if d.inFlight > 1 || len(d.answers) > 0 || attempt != d.attempts-1 || d.attempts > 3 || timeout <= 0 {
		d.harness.t.Errorf("Send(attempt %d, timeout %v) as attempt %d of at most 3, with %d in flight, answers %v",
			attempt, timeout, d.attempts-1, d.inFlight, d.answers)
	}
}

func (d *downstream) Cancel(int) { d.inFlight-- }

func (d *downstream) Reject(retryAfter time.Duration) {
	d.retryAfter = retryAfter
	d.answer("rejected")
}

func (d *downstream) Fail() { d.answer("failed") }

func (d *downstream) Migrate() { d.migrations++; d.inFlight-- }

func (d *downstream) answer(answer string) {
	if d.answers = append(d.answers, answer); len(d.answers) > 1 || d.inFlight > 0 {
		d.harness.t.Errorf("answers %v with %d attempts in flight, want one answer and no attempt",
			d.answers, d.inFlight)
	}
}

func (h *harness) Ready(owed RecordBacklog) bool {
	h.owed = owed
	return !h.notReady
}

func (h *harness) RecordAttempt(_ *Request, id ID, attempt int, _ string, _, _ time.Duration, _ policy.Result) {
	h.records = append(h.records, fmt.Sprintf("attempt %d.%d", id, attempt))
}

func (h *harness) RecordAnswer(_ *Request, id ID, _ time.Duration, _ Answer, _ int) {
	h.records = append(h.records, fmt.Sprintf("answer %d", id))
}

// newHarness starts a core with the default settings and the given number of ready members.
func newHarness(t *testing.T, members int) *harness {
	t.Helper()
	return newHarnessWith(t, defaultSettings, testMembers(members, policy.Ready))
}

// testMembers returns the members m0, m1 and so on, whose member IDs count from 10.
func testMembers(n int, state policy.MemberState) []Member {
	members := make([]Member, n)
	for i := range members {
		members[i].Endpoint = policy.Endpoint{ID: policy.MemberID(10 + i), State: state, Weight: 1}
		members[i].Name = fmt.Sprint("m", i)
	}
	return members
}

// openRequest opens a request with a deadline in two seconds.
func (h *harness) openRequest() *downstream {
	d := &downstream{harness: h}
	d.id = h.Open(Request{Load: 0.01, TimeLeft: 2 * time.Second}, d)
	return d
}

// establishFlows opens n requests and establishes their flows.
func (h *harness) establishFlows(n int) (flows []*downstream) {
	for range n {
		d := h.openRequest()
		h.FlowEstablished(d.id, 0)
		flows = append(flows, d)
	}
	return flows
}

// advance moves the clock forward and calls Tick whenever it is due.
func (h *harness) advance(by time.Duration) {
	for end := h.now + by; ; {
		if h.wakeAt > end {
			h.now = end
			return
		}
		h.now, h.wakeAt = max(h.now, h.wakeAt), math.MaxInt64
		h.Tick()
	}
}

// The classes of classesText, by index.
const (
	idempotentClass = iota
	keyScopeAllClass
	keyScopeZoneClass
	nonIdempotentClass
	keyScopeCellClass
)

// classesText has a class of each idempotency and key scope. Their deduplication windows are shorter
// than their deadlines.
const classesText = `{"balancers":1,"zones":["a","b"],
 "classes":[{"name":"safe","aim-ms":400,"deadline-ms":2000,"effect":"read_like","key-scope":"all"},
  {"name":"all","aim-ms":400,"deadline-ms":2000,"effect":"idempotency_key","key-scope":"all","window-ms":900},
  {"name":"zone","aim-ms":400,"deadline-ms":2000,"effect":"idempotency_key","key-scope":"zone","window-ms":900},
  {"name":"unsafe","aim-ms":400,"deadline-ms":2000,"effect":"non_idempotent","key-scope":"all"},
  {"name":"cell","aim-ms":400,"deadline-ms":2000,"effect":"idempotency_key","key-scope":"cell","window-ms":900}],
 "limits":{"max-attempts":3,"cancel":true,"probes":false,"connect-timeout-ms":250},
 "guarantees":{"answer-slack-ms":8,"drain-grace-ms":250},"extra":{"message-aim-ms":[90]}}`

// newHarnessWith starts a core with these settings and members.
func newHarnessWith(t *testing.T, settingsText string, members []Member) *harness {
	t.Helper()
	set, err := settings.Decode([]byte(settingsText))
	if err != nil {
		t.Fatal(err)
	}
	h := &harness{t: t, now: time.Hour, wakeAt: math.MaxInt64}
	h.Core = New(Options{Settings: set, Seed: 7, FirstID: MaxFirstID - 1, Clock: func() time.Duration { return h.now },
		Wake: func(at time.Duration) { h.wakeAt = at }, Probe: func(*Member) {}, Watch: func() {}, Recorder: h})
	h.UpdateMembers(policy.ListCached, members)
	return h
}

// openInClass opens a request of the given class with a deadline in timeLeft.
func (h *harness) openInClass(class int, timeLeft time.Duration) *downstream {
	d := &downstream{harness: h}
	d.id = h.Open(Request{Class: class, Load: 0.01, TimeLeft: timeLeft}, d)
	return d
}

// endAttempt ends the attempt in flight before it is established.
func (d *downstream) endAttempt(result policy.Result) {
	d.inFlight--
	d.harness.AttemptEnded(d.id, d.attempts-1, result, policy.NoReport)
}

// openThree opens three requests of a class: one with an attempt in flight, one whose attempt has
// failed but may have run, so that the policy backs off before it retries, and one whose attempts
// cannot have run.
func (h *harness) openThree(class int) (sent, mayHaveRun, neverRan *downstream) {
	sent, mayHaveRun, neverRan = h.openInClass(class, 2*time.Second), h.openInClass(class, 2*time.Second), h.openInClass(class, 2*time.Second)
	mayHaveRun.endAttempt(policy.Error)
	neverRan.endAttempt(policy.Full)
	if neverRan.inFlight > 0 {
		neverRan.endAttempt(policy.ConnectFailed)
	}
	return sent, mayHaveRun, neverRan
}

// wantNoFlowsInPolicy checks that the policy counts no open flow: it keeps a member that is no
// longer listed only for its open flows.
func (h *harness) wantNoFlowsInPolicy(when string) {
	h.t.Helper()
	h.UpdateMembers(policy.ListFull, nil)
	if members := h.facade.LearnedState(h.now).Members; len(members) != 0 {
		h.t.Errorf("%s: the policy still has flows at %v", when, members)
	}
}

// migrations returns how often the flows were migrated, all together.
func migrations(flows []*downstream) (n int) {
	for _, d := range flows {
		n += d.migrations
	}
	return n
}

// answerText joins the final answers. At most one is allowed.
func (d *downstream) answerText() string { return strings.Join(d.answers, ",") }

// draining returns a member as it is listed when it drains.
func (h *harness) draining(id policy.MemberID) Member {
	m := h.members[id].Member
	m.State = policy.Draining
	return m
}

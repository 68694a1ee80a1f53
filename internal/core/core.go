// Package core carries requests from their arrival to their one final answer. It
// knows requests, attempts and outcomes, and no wire: a front tells it what
// happens and carries out what it asks for. Every decision is package policy's;
// what a request may never do is enforced here, in gate and in answer. See
// docs/design.md, "The core".
package core

import (
	"container/heap"
	"math"
	"slices"
	"time"

	"dahliarudder/internal/settings"
	"dahliarudder/internal/window"
	"dahliarudder/policy"
)

// ID names a request from its arrival to its end.
type ID = policy.RequestID

// Member is a pool member.
type Member struct {
	policy.Server
	Name string
	Addr string
}

// Request is what a client asks for.
type Request struct {
	Name   string // the client's own name for it, for the record
	Class  int
	Tenant int
	Key    uint64
	Group  uint64
	Load   float64
	Wait   time.Duration // how long the client still waits
	Again  bool          // the client comes again after a break or a move
	At     string        // the member that already holds the flow; empty for a new one
}

// VirtualServer is the client's side of one request. The core never calls it
// again after a final answer, but for Move of a flow that stands.
type VirtualServer interface {
	// Send starts a server-side flow, which is abandoned after wait.
	Send(id ID, to *Member, try int, wait time.Duration)
	// Cancel abandons the server-side flow.
	Cancel(try int)
	// Reject is a final answer: coming again, after some time, is harmless.
	Reject(after time.Duration)
	// Fail is a final answer without any promise.
	Fail()
	// Move asks the client of an open flow to come again, and ends the flow.
	Move()
}

// Answer is a final answer.
type Answer string

// The final answers. Lost is that of a request whose client went away first.
const (
	Served   Answer = "served"
	Rejected Answer = "rejected"
	Failed   Answer = "failed"
	Lost     Answer = "left"
)

// Ledger keeps the record of what happened. Its calls must not block.
type Ledger interface {
	// Ready says whether what follows will be recorded.
	Ready() bool
	// Attempt records the end of a server-side flow, or of its setting up.
	Attempt(q *Request, id ID, try int, member string, start, end time.Duration, result policy.Result)
	// Answer records the final answer.
	Answer(q *Request, id ID, at time.Duration, answer Answer, tries int)
}

// Options is what a Core is made of.
type Options struct {
	Settings *settings.Settings
	Seed     uint64
	Clock    func() time.Duration
	Round    func() time.Duration   // the time as of the loop's round, for messages; Clock if nil
	Wake     func(at time.Duration) // have Tick called once at that time; replaces an earlier wish
	Probe    func(to *Member)       // ends in Probed
	Watch    func()                 // ask discovery; ends in Pool
	Ledger   Ledger                 // nil for none
	// Saw is told how each attempt and probe went; nil if nobody wants to know.
	Saw func(m *Member, result policy.Result)
	// FeedMemory is how many bytes the messages on all feeds may hold; 0 for no bound.
	FeedMemory int
}

// StopNotice is how long after the start of a planned stop clients may still be
// sent here. Nobody is moved before: who is would come back to this relay.
const StopNotice = 450 * time.Millisecond

const (
	// The moves are spread between these times. Flows are served meanwhile, and where
	// relays are restarted one after another, the one before may be back only then.
	stopMovesFrom = 1200 * time.Millisecond
	stopMoves     = 2700 * time.Millisecond
	passWithin    = time.Second            // an upgrade has this long to pass flows on
	stopAfter     = 500 * time.Millisecond // when a client rejected meanwhile may come again
)

// A drain moves open flows between these times after its start, all of them well
// before the 4 s after which none may be held.
const (
	drainMovesFrom = StopNotice
	drainMoves     = 3 * time.Second
)

// noteEvery is how often slow messages at one member are told to the module.
const noteEvery = time.Second

type request struct {
	Request
	id       ID
	v        VirtualServer
	deadline time.Duration
	tries    int
	member   *member // of the attempt that is out, or of the open flow
	sent     time.Duration
	standing bool // it came with the member that holds it
	answered bool
	open     bool
	leave    time.Duration // when a stop or a drain moves its flow; 0 if none does
}

type member struct {
	Member                // as the module sees it
	listed  policy.Server // as discovery has it
	banned  bool          // the operators have taken it out
	started time.Duration // when discovery said that it started, as it was taken out
	back    time.Duration // when they put it back
	left    bool          // it drains, is gone or is banned
	told    time.Duration // when that was told
	flows   int           // attempts out and open flows
	slow    bool
	noted   time.Duration
	pace    *window.Pace  // of the messages that are out there
	paced   time.Duration // the start that it was made for
	joined  time.Duration // when it was first named, if that was while we watched
	line    []*Feed       // that wait for it
}

// Core is the state of one relay. All calls come from one goroutine.
type Core struct {
	Options
	set       policy.Settings // as the module made them sane
	grace     time.Duration
	facade    *policy.Facade
	requests  map[ID]*request
	last      ID
	members   map[policy.ServerID]*member
	byName    map[string]*member
	pending   []policy.Verdict
	running   bool
	alarms    alarms
	armed     time.Duration
	feeds     map[ID]*Feed
	feedBytes int             // of their messages
	bans      map[string]bool // by name, also of members that are not listed
	stopping  bool
	draining  bool
	doubting  bool
	strict    bool             // nothing goes to a member that has left, within the grace neither
	later     []policy.Verdict // what waits for the end of the doubt
	moveAt    time.Duration    // during a stop or a drain nobody is moved before
	Counts    Counts
}

// Counts is what has happened so far.
type Counts struct {
	Requests, Served, Rejected, Failed, Left, Attempts, Moves, Barred int
	Messages                                                          Messages
}

// New makes a Core.
func New(o Options) *Core {
	c := &Core{Options: o, set: policy.Sane(o.Settings.Policy()), requests: map[ID]*request{},
		members: map[policy.ServerID]*member{}, byName: map[string]*member{}, feeds: map[ID]*Feed{}, bans: map[string]bool{}, armed: math.MaxInt64}
	if c.grace = settings.Span(o.Settings.Guarantees.Grace); c.grace <= 0 {
		c.grace = 250 * time.Millisecond
	}
	if c.Round == nil {
		c.Round = c.Clock
	}
	c.facade = policy.Begin(c.Clock(), c.set, o.Seed)
	c.arm()
	return c
}

// Held is how many requests are on their way or stand as open flows.
func (c *Core) Held() int { return len(c.requests) }

// Holds says whether a request is on its way or stands as an open flow.
func (c *Core) Holds(id ID) bool { return c.requests[id] != nil }

// Flows is how many flows this relay holds at a member or is setting up there.
func (c *Core) Flows(id policy.ServerID) int {
	if m := c.members[id]; m != nil {
		return m.flows
	}
	return 0
}

// Limits is the settings as the module made them sane.
func (c *Core) Limits() policy.Settings { return c.set }

// Welcomes says whether clients should be sent here: no stop or drain is on.
func (c *Core) Welcomes() bool { return !c.stopping && !c.draining }

// Usable says whether some member may be sent to.
func (c *Core) Usable() bool {
	for _, m := range c.members {
		if !m.left {
			return true
		}
	}
	return false
}

// ---- What fronts tell ----

// Open takes a request. The final answer comes by v, perhaps at once.
func (c *Core) Open(q Request, v VirtualServer) ID {
	now := c.Clock()
	c.last++
	r := &request{Request: q, id: c.last, v: v, deadline: now + q.Wait}
	c.requests[r.id] = r
	c.Counts.Requests++
	switch {
	case c.stopping:
		c.answer(r, Rejected, stopAfter)
	case c.Ledger != nil && !c.Ledger.Ready():
		c.answer(r, Rejected, stopAfter)
	case q.Wait <= 0:
		c.answer(r, Failed, 0)
	case q.At != "":
		c.stand(now, r)
	default:
		c.alarm(r.deadline, r.id, -1)
		c.apply(c.facade.Pick(now, r.policy()))
	}
	return r.id
}

// stand sends a flow on to the member that already holds it.
func (c *Core) stand(now time.Duration, r *request) {
	m := c.byName[r.At]
	if m == nil {
		c.answer(r, Failed, 0)
		return
	}
	if m.banned {
		c.answer(r, Rejected, stopAfter)
		return
	}
	r.standing = true
	c.alarm(r.deadline, r.id, -1)
	c.start(now, r, m, r.Wait)
}

func (r *request) policy() policy.Request {
	return policy.Request{ID: r.id, Class: r.Class, Tenant: r.Tenant, Key: r.Key, Group: r.Group,
		Deadline: r.deadline, Load: r.Load, Again: r.Again}
}

// current is the request whose attempt of that number is out or open.
func (c *Core) current(id ID, try int) *request {
	if r := c.requests[id]; r != nil && r.member != nil && r.tries-1 == try {
		return r
	}
	return nil
}

// Up says that a server-side flow stands. It returns whether the client may be
// told so.
func (c *Core) Up(id ID, try int) bool {
	r := c.current(id, try)
	if r == nil || r.answered {
		return false
	}
	r.open = true
	c.record(r, Served)
	if c.Saw != nil {
		c.Saw(&r.member.Member, policy.OK)
	}
	if r.standing {
		c.tell(policy.Standing{Request: r.policy(), Server: r.member.ID})
	} else {
		c.tell(policy.Up{ID: id})
	}
	if !c.Welcomes() {
		c.leaveAt(r, max(c.moveAt, c.Clock()+StopNotice/2))
	}
	return true
}

// Ended says how a server-side flow ended, before it stood or after. A flow
// served to its end has its final answer by that.
func (c *Core) Ended(id ID, try int, result policy.Result, report policy.Report) {
	r := c.current(id, try)
	if r == nil {
		return
	}
	if result == policy.OK && !r.answered {
		c.record(r, Served)
	}
	c.ended(r, result, report)
}

// Left says that the client of a request went away.
func (c *Core) Left(id ID) {
	r := c.requests[id]
	if r == nil {
		return
	}
	if !r.answered {
		c.record(r, Lost)
		if !r.standing {
			c.tell(policy.Left{ID: id})
		}
	}
	c.abandon(r)
	delete(c.requests, id)
}

// Load is the load that an open flow has now, as work a second.
func (c *Core) Load(id ID, load float64) { c.tell(policy.FlowLoad{ID: id, Load: load}) }

// Message says how long a message on an open flow took. The module hears of it
// while messages are slow, and once more when they no longer are.
func (c *Core) Message(id ID, took time.Duration) {
	r := c.requests[id]
	if r == nil || r.member == nil {
		return
	}
	m, now, slow := r.member, c.Clock(), false
	for _, class := range c.set.Classes {
		slow = slow || took > class.MessageAim/3
	}
	if slow && now-m.noted < noteEvery || !slow && !m.slow {
		return
	}
	m.slow, m.noted = slow, now
	c.tell(policy.FlowDelay{ID: id, Took: took})
}

// Relays is by how many the budgets are divided that all relays share.
func (c *Core) Relays(share float64) { c.tell(policy.Relays{Share: share}) }

// Probed is the answer to a probe.
func (c *Core) Probed(server policy.ServerID, result policy.Result, report policy.Report) {
	if m := c.members[server]; m != nil && c.Saw != nil {
		c.Saw(&m.Member, result)
	}
	c.tell(policy.Probed{Server: server, Result: result, Report: report})
}

// Pool is what discovery says of the members.
func (c *Core) Pool(kind policy.ListKind, list []Member) {
	now := c.Clock()
	servers := make([]policy.Server, len(list))
	named := map[policy.ServerID]bool{}
	for i, e := range list {
		named[e.ID] = true
		m := c.members[e.ID]
		if m == nil {
			m = &member{noted: -noteEvery, banned: c.bans[e.Name], started: e.Started}
			c.members[e.ID] = m
			if kind == policy.ListDelta {
				m.joined = now
			}
		}
		m.Member, m.listed = e, e.Server
		c.byName[e.Name] = m
		c.see(now, m)
		servers[i] = m.Server
	}
	if kind == policy.ListFull || kind == policy.ListCached {
		for id, m := range c.members {
			if !named[id] {
				m.listed.State = policy.Gone
				c.see(now, m)
			}
		}
	}
	c.tell(policy.Pool{Kind: kind, Servers: servers})
}

// see makes of what discovery and the operators say of a member what the module
// and the gate go by. A banned member is one that drains; one put back has started
// just then, unless discovery knows of a start since the ban.
func (c *Core) see(now time.Duration, m *member) {
	m.Server = m.listed
	if m.back > 0 && m.Started <= m.started {
		m.Started = m.back
	}
	if m.banned && m.State == policy.Ready {
		m.State = policy.Draining
	}
	left := m.State != policy.Ready
	if left && !m.left {
		m.told = now
	}
	m.left = left
}

// ---- What operators tell ----

// Known says whether a member of that name is or was in the pool, or is banned.
func (c *Core) Known(name string) bool { return c.byName[name] != nil || c.bans[name] }

// Ban has nothing new sent to a member, whatever the pool says of it, and its flows
// moved.
func (c *Core) Ban(name string) {
	c.bans[name] = true
	if m := c.byName[name]; m != nil && !m.banned {
		m.banned, m.started = true, m.listed.Started
		c.word(m)
	}
}

// Allow ends a ban. Whatever the member was restarted for meanwhile, it is taken
// for cold, and nothing that was learned of it before counts.
func (c *Core) Allow(name string) {
	delete(c.bans, name)
	if m := c.byName[name]; m != nil && m.banned {
		m.banned, m.back = false, c.Clock()
		c.word(m)
	}
}

// word tells the module of a member about which the operators have spoken.
func (c *Core) word(m *member) {
	c.see(c.Clock(), m)
	c.tell(policy.Pool{Kind: policy.ListDelta, Servers: []policy.Server{m.Server}})
}

// Bans puts these names in the place of all that are banned.
func (c *Core) Bans(names []string) {
	for name := range c.bans {
		if !slices.Contains(names, name) {
			c.Allow(name)
		}
	}
	for _, name := range names {
		c.Ban(name)
	}
}

// Learned is what another core can go on from. Times are ages.
type Learned struct {
	Policy policy.Learned           `json:"policy"`
	Back   map[string]time.Duration `json:"back"` // how long ago members were put back
}

// Learned is what has been learned so far.
func (c *Core) Learned() Learned {
	now := c.Clock()
	l := Learned{Policy: c.facade.Learned(now), Back: map[string]time.Duration{}}
	for name, m := range c.byName {
		if m.back > 0 {
			l.Back[name] = now - m.back
		}
	}
	return l
}

// Recall goes on from what another core has learned. It comes after Pool.
func (c *Core) Recall(l Learned) {
	now := c.Clock()
	for name, ago := range l.Back {
		if m := c.byName[name]; m != nil {
			m.started, m.back = m.listed.Started, now-ago
			c.see(now, m)
		}
	}
	c.facade.Recall(now, l.Policy)
}

// Drain empties the relay: what still arrives is served, and open flows are moved
// one by one.
func (c *Core) Drain() {
	if c.Welcomes() {
		c.draining = true
		c.moveAll(drainMovesFrom, drainMoves)
	}
}

// Resume ends a drain; who was not moved yet stays.
func (c *Core) Resume() {
	if c.draining && !c.stopping {
		for _, r := range c.requests {
			r.leave = 0
		}
	}
	c.draining = false
}

// Tick does what is due.
func (c *Core) Tick() {
	now := c.Clock()
	c.armed = math.MaxInt64
	for len(c.alarms) > 0 && c.alarms[0].at <= now {
		a := heap.Pop(&c.alarms).(due)
		r := c.requests[a.id]
		switch {
		case a.try == feedDue:
			if f := c.feeds[a.id]; f != nil {
				f.due(now)
			}
		case r == nil:
		case a.try == moveFlow:
			if r.leave == a.at {
				c.move(r)
			}
		case a.try < 0 && !r.answered:
			// The module answers before this; a client must not be left without.
			c.giveUp(r, Failed, 0)
		case a.try >= 0 && !r.answered && c.current(a.id, a.try) != nil:
			r.v.Cancel(a.try)
			c.ended(r, policy.Timeout, policy.NoReport)
		}
	}
	c.apply(c.facade.Tick(now))
}

// GiveUp begins a planned stop of which another process takes the place: fronts pass
// open flows on to it, and those that are left after a while are moved.
func (c *Core) GiveUp() {
	if !c.stopping {
		c.stopping = true
		c.moveAll(passWithin, stopMoves)
	}
}

// Passed is an open flow on its way to another process. Times are ages.
type Passed struct {
	Request Request       `json:"request"`
	Member  string        `json:"member"`
	Age     time.Duration `json:"age"`
}

// Pass gives an open flow up to another process.
func (c *Core) Pass(id ID) (Passed, bool) {
	r := c.requests[id]
	if r == nil || !r.open || r.member == nil {
		return Passed{}, false
	}
	p := Passed{r.Request, r.member.Name, c.Clock() - r.sent}
	c.ended(r, policy.Cancelled, policy.NoReport)
	return p, true
}

// Take takes up the flow that another process has passed on; it is up already. False
// if its member is not known here.
func (c *Core) Take(p Passed, v VirtualServer) (ID, *Member, bool) {
	now, m := c.Clock(), c.byName[p.Member]
	if m == nil {
		return 0, nil, false
	}
	c.last++
	r := &request{Request: p.Request, id: c.last, v: v, deadline: now, tries: 1, member: m, sent: now - p.Age,
		standing: true, open: true}
	c.requests[r.id] = r
	m.flows++
	c.Counts.Requests++
	c.Counts.Attempts++
	c.record(r, Served)
	c.tell(policy.Standing{Request: r.policy(), Server: m.ID})
	switch {
	case m.left:
		c.leaveAt(r, now)
	case !c.Welcomes():
		c.leaveAt(r, c.moveAt)
	}
	c.arm()
	return r.id, &m.Member, true
}

// Stop begins a planned stop: what arrives is rejected, what is on its way is
// answered, and every open flow is moved. It is over when Held is 0.
func (c *Core) Stop() {
	if c.stopping {
		return
	}
	c.stopping = true
	c.moveAll(stopMovesFrom, stopMoves)
}

// moveAll spreads the moves of all open flows between two times from now.
func (c *Core) moveAll(from, to time.Duration) {
	var open []*request
	for _, r := range c.requests {
		if r.open {
			open = append(open, r)
		}
	}
	c.moveAt = c.Clock() + from
	for i, r := range open {
		c.leaveAt(r, c.moveAt+(to-from)*time.Duration(i)/time.Duration(len(open)))
	}
	c.arm()
}

func (c *Core) leaveAt(r *request, at time.Duration) {
	r.leave = at
	c.alarm(at, r.id, moveFlow)
}

// Finish ends a stop whose time is up: who still waits is rejected, and every
// open flow is moved at once.
func (c *Core) Finish() {
	for _, r := range c.requests {
		if r.open {
			c.move(r)
		} else {
			c.giveUp(r, Rejected, stopAfter)
		}
	}
}

// ---- Doubt ----

// Doubt has whatever is new to a member wait: this process stood still, and discovery may have said meanwhile that the member
// drains or is gone. Sure ends it: what has waited goes where it may still go, and what may not is decided anew.
func (c *Core) Doubt() { c.doubting = true }

// Sure is called when the news is told, and also when there is none to be had.
func (c *Core) Sure() {
	if !c.doubting {
		return
	}
	later := c.later
	c.doubting, c.later, c.strict = false, nil, true
	c.apply(later)
	c.strict = false
}

// ---- What the module's verdicts do ----

func (c *Core) tell(n policy.News) { c.apply(c.facade.Report(c.Clock(), n)) }

// apply carries verdicts out in their order; what they lead to comes after them.
func (c *Core) apply(verdicts []policy.Verdict) {
	c.pending = append(c.pending, verdicts...)
	if c.running {
		return
	}
	c.running = true
	for len(c.pending) > 0 {
		v := c.pending[0]
		c.pending = c.pending[1:]
		c.do(v)
	}
	c.pending, c.running = nil, false
	c.arm()
}

func (c *Core) do(v policy.Verdict) {
	r := c.requests[v.ID]
	if c.doubting && (v.Do == policy.DoSend || v.Do == policy.DoProbe) {
		c.later = append(c.later, v)
		return
	}
	switch v.Do {
	case policy.DoProbe:
		switch m := c.members[v.Server]; {
		case m == nil:
		case c.reachable(c.Clock(), m):
			c.Probe(&m.Member)
		default:
			c.Counts.Barred++
			c.tell(policy.Probed{Server: v.Server, Result: policy.Moot, Report: policy.NoReport})
		}
		return
	case policy.DoWatch:
		c.Watch()
		return
	}
	if r == nil {
		return
	}
	switch v.Do {
	case policy.DoSend:
		c.send(r, v)
	case policy.DoReject:
		c.abandon(r)
		c.answer(r, Rejected, v.For)
	case policy.DoFail:
		c.abandon(r)
		c.answer(r, Failed, 0)
	case policy.DoCancel:
		if c.current(v.ID, v.Try) != nil && !r.open {
			c.abandon(r)
		}
	case policy.DoMove:
		c.move(r)
	}
}

// gate is the one place that says whether an attempt may start, of a request or of a
// message on a feed: none after the final answer, no second one out, no more than the
// settings allow, none that the client no longer waits for, and none to a member that has
// left for longer than the grace.
func (c *Core) gate(now time.Duration, settled bool, tries int, due time.Duration, m *member) bool {
	return !settled && tries < c.set.MaxAttempts && now < due && m != nil && c.reachable(now, m)
}

// reachable says whether anything new may go to a member, a probe as well.
func (c *Core) reachable(now time.Duration, m *member) bool {
	return !m.left || !c.strict && now-m.told <= c.grace
}

// Reachable says the same to fronts that start something anew by themselves.
func (c *Core) Reachable(id policy.ServerID) bool {
	m := c.members[id]
	return m != nil && c.reachable(c.Clock(), m)
}

func (c *Core) send(r *request, v policy.Verdict) {
	now, m := c.Clock(), c.members[v.Server]
	if !c.gate(now, r.answered || r.member != nil, r.tries, r.deadline, m) {
		c.Counts.Barred++
		c.tell(policy.End{ID: r.id, Try: r.tries, Server: v.Server, Result: policy.Moot, Closed: r.answered,
			Report: policy.NoReport})
		return
	}
	wait := r.deadline - now
	if v.For > 0 && v.For < wait {
		wait = v.For
		c.alarm(now+wait, r.id, r.tries)
	}
	c.start(now, r, m, wait)
}

func (c *Core) start(now time.Duration, r *request, m *member, wait time.Duration) {
	r.member, r.sent = m, now
	m.flows++
	r.tries++
	c.Counts.Attempts++
	r.v.Send(r.id, &m.Member, r.tries-1, wait)
}

// ended closes the attempt that is out, or the open flow, and tells the module.
func (c *Core) ended(r *request, result policy.Result, report policy.Report) {
	m, try := r.member, r.tries-1
	r.member = nil
	m.flows--
	if c.Saw != nil && result != policy.OK { // an open flow was seen when it came up
		c.Saw(&m.Member, result)
	}
	if c.Ledger != nil {
		c.Ledger.Attempt(&r.Request, r.id, try, m.Name, r.sent, c.Clock(), result)
	}
	if r.answered {
		delete(c.requests, r.id)
	}
	if r.standing && !r.answered {
		c.answer(r, Failed, 0)
		return
	}
	c.tell(policy.End{ID: r.id, Try: try, Server: m.ID, Result: result, Closed: r.answered, Report: report})
}

// giveUp answers a request without the module's word, and tells it so.
func (c *Core) giveUp(r *request, a Answer, after time.Duration) {
	c.tell(policy.Left{ID: r.id})
	c.abandon(r)
	c.answer(r, a, after)
}

// abandon cancels the attempt that is out, if any.
func (c *Core) abandon(r *request) {
	if r.member == nil {
		return
	}
	r.v.Cancel(r.tries - 1)
	c.ended(r, policy.Cancelled, policy.NoReport)
}

// answer gives the final answer, once.
func (c *Core) answer(r *request, a Answer, after time.Duration) {
	if r.answered {
		return
	}
	c.record(r, a)
	delete(c.requests, r.id)
	if a == Rejected {
		r.v.Reject(after)
	} else {
		r.v.Fail()
	}
}

// record notes that a request has its final answer.
func (c *Core) record(r *request, a Answer) {
	r.answered = true
	switch a {
	case Served:
		c.Counts.Served++
	case Rejected:
		c.Counts.Rejected++
	case Failed:
		c.Counts.Failed++
	case Lost:
		c.Counts.Left++
	}
	if c.Ledger != nil {
		c.Ledger.Answer(&r.Request, r.id, c.Clock(), a, r.tries)
	}
}

func (c *Core) move(r *request) {
	if !r.open {
		return
	}
	c.Counts.Moves++
	r.v.Move()
	c.ended(r, policy.Cancelled, policy.NoReport)
}

// ---- Time ----

// These stand in an alarm in place of a try; -1 there is the deadline.
const (
	moveFlow = -2
	feedDue  = -3
)

func (c *Core) alarm(at time.Duration, id ID, try int) {
	heap.Push(&c.alarms, due{at, id, try})
}

// arm has Tick called when the next thing is due.
func (c *Core) arm() {
	next := time.Duration(math.MaxInt64)
	if at, ok := c.facade.Next(); ok {
		next = at
	}
	if len(c.alarms) > 0 {
		next = min(next, c.alarms[0].at)
	}
	if next != c.armed {
		c.armed = next
		c.Wake(next)
	}
}

type due struct {
	at  time.Duration
	id  ID
	try int
}

type alarms []due

func (a alarms) Len() int           { return len(a) }
func (a alarms) Less(i, j int) bool { return a[i].at < a[j].at }
func (a alarms) Swap(i, j int)      { a[i], a[j] = a[j], a[i] }
func (a *alarms) Push(x any)        { *a = append(*a, x.(due)) }
func (a *alarms) Pop() any {
	last := len(*a) - 1
	x := (*a)[last]
	*a = (*a)[:last]
	return x
}

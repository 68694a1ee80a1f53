package nats

import (
	"encoding/json"
	"maps"
	"slices"
	"time"

	"dahliarudder/internal/core"
)

// This file connects the processors of the two processes of a hot restart. A request belongs to the
// process that opened it, whatever connection its callers use. A process that does not have the request of
// a call asks the other one first, which handles the call if it has the request. It also remembers which
// attempts the other one has in flight, in case that ends without giving final answers.

const (
	// siblingTimeout is how long a call waits for the other process.
	siblingTimeout = 500 * time.Millisecond
	// maxSiblingCalls limits the calls that wait for the other process.
	maxSiblingCalls = 1024
)

// sibling is the processor of the other process of a hot restart, as seen from this one.
type sibling struct {
	front    *Front
	send     func(SiblingMessage) error // nil while there is no other process that is asked
	older    bool                       // this process is the older one
	lastCall uint64
	calls    map[uint64]*pendingCall
	asked    map[string]int            // number of pending picks by key
	held     map[string][]SiblingCall  // picks of the other process that wait for a pending one here
	callers  map[uint64]*siblingCaller // callers of the other process with requests here, by client
	attempts map[string]remoteAttempt  // in flight at the other process, by key
	orphans  map[string]remoteAttempt  // in flight at a process that has ended, by key
}

// remoteAttempt is an attempt that another process has told its proxy to make.
type remoteAttempt struct {
	id    core.ID
	until time.Duration // when it times out
}

// pendingCall is a call that waits for the answer of the other process.
type pendingCall struct {
	client  *client
	key     string // of a pick
	since   time.Duration
	timer   interface{ Stop() }
	proceed func(waited time.Duration) // the other process does not have the request
	refuse  func()                     // the other process cannot be asked
}

func newSibling(f *Front) *sibling {
	return &sibling{front: f, calls: map[uint64]*pendingCall{}, asked: map[string]int{}, held: map[string][]SiblingCall{},
		callers: map[uint64]*siblingCaller{}, attempts: map[string]remoteAttempt{}, orphans: map[string]remoteAttempt{}}
}

// ConnectSibling starts to ask the other process of a hot restart, with messages sent by send. older says
// whether this process is the older one.
func (f *Front) ConnectSibling(older bool, send func(SiblingMessage) error) {
	s := f.sibling
	s.older, s.send = older, send
	for _, p := range f.proxied {
		if p.current != nil && p.current.Verdict == verdictSend {
			s.attemptBegun(p)
		}
	}
}

// DisconnectSibling continues without the other process, which has ended. Attempts that it had in flight
// block their requests until they time out; its callers have gone.
func (f *Front) DisconnectSibling() {
	s := f.sibling
	s.send = nil
	s.orphanAttempts()
	for _, c := range s.callers {
		c.end()
	}
	for _, number := range slices.Sorted(maps.Keys(s.calls)) {
		s.complete(number, false)
	}
}

// HandleSibling handles a message of the other process.
func (f *Front) HandleSibling(m *SiblingMessage) {
	s := f.sibling
	switch {
	case m.Call != nil:
		s.handleCall(*m.Call)
	case m.Answer != nil:
		s.complete(m.Answer.Number, m.Answer.Owned)
	case m.Verdict != nil:
		if c := f.clientsByID[m.Verdict.Client]; c != nil {
			c.deliverLocal(command{subject: []byte(m.Verdict.Subject), payload: m.Verdict.Text})
		}
	case m.ClientEnded != 0:
		if c := s.callers[m.ClientEnded]; c != nil {
			c.end()
		}
	case m.AttemptBegun != nil:
		until := f.Loop.Now() + time.Duration(m.AttemptBegun.WaitMS)*time.Millisecond
		s.attempts[string(m.AttemptBegun.Key)] = remoteAttempt{m.AttemptBegun.ID, until}
	case m.AttemptOver != nil:
		delete(s.attempts, string(m.AttemptOver))
	}
}

// asks reports whether calls on requests that this process does not have are passed on.
func (s *sibling) asks() bool { return s.send != nil }

// orphanAttempts keeps the attempts of the process that has ended until they time out.
func (s *sibling) orphanAttempts() {
	latest := time.Duration(0)
	for key, a := range s.attempts {
		s.orphans[key] = a
		latest = max(latest, a.until-s.front.Loop.Now())
	}
	clear(s.attempts)
	if len(s.orphans) > 0 {
		s.front.Loop.After(latest, func() {
			maps.DeleteFunc(s.orphans, func(_ string, a remoteAttempt) bool { return a.until <= s.front.Loop.Now() })
		})
	}
}

// orphanedFor returns for how long an attempt of a process that has ended may still run; 0 if there is
// none of that key.
func (s *sibling) orphanedFor(key string) time.Duration {
	return max(s.orphans[key].until-s.front.Loop.Now(), 0)
}

// endOrphan forgets an attempt of a process that has ended, whose end its proxy has reported.
func (s *sibling) endOrphan(id core.ID) {
	maps.DeleteFunc(s.orphans, func(_ string, a remoteAttempt) bool { return a.id == id })
}

// attemptBegun tells the other process of an attempt before the proxy is told to make it.
func (s *sibling) attemptBegun(p *proxiedRequest) {
	if s.asks() && p.key != "" {
		wait := (p.deadline - s.front.Loop.Now()).Milliseconds()
		s.post(SiblingMessage{AttemptBegun: &SiblingAttempt{Key: []byte(p.key), ID: p.requestID, WaitMS: wait}})
	}
}

// attemptOver tells the other process that an attempt is no longer in flight.
func (s *sibling) attemptOver(p *proxiedRequest) {
	if s.asks() && p.key != "" {
		s.post(SiblingMessage{AttemptOver: []byte(p.key)})
	}
}

// post sends a message to the other process. An error means that it has ended, which the caller of
// DisconnectSibling notices, or that it does not read, so that its calls time out.
func (s *sibling) post(m SiblingMessage) {
	if err := s.send(m); err != nil {
		s.front.Log.WithError(err).Debug("cannot send to the processor of the other process")
	}
}

// askPick passes a pick on, and opens the request here if the other process does not have it.
func (s *sibling) askPick(c *client, key string, q pickRequest, reply string) {
	refusal := verdict{Verdict: verdictReject, AfterMS: resubscribeBackoff.Milliseconds()}
	s.ask(&pendingCall{client: c, key: key,
		proceed: func(waited time.Duration) {
			if p := s.front.proxied[key]; p != nil { // opened by another call meanwhile
				p.resume(c, q.Control, reply)
				return
			}
			c.openPick(key, q, reply, waited)
		},
		refuse: func() { c.sendVerdict(reply, refusal) },
	}, SiblingCall{Reply: reply, Key: []byte(key), Control: q.Control})
}

// askReport passes a report on.
func (s *sibling) askReport(c *client, o outcomeReport, reply string) {
	unknown := func() { c.sendVerdict(reply, verdict{Verdict: verdictUnknown, ID: o.ID}) }
	s.ask(&pendingCall{client: c, proceed: func(time.Duration) { unknown() }, refuse: unknown},
		SiblingCall{Reply: reply, Login: []byte(c.login()), ID: o.ID, Attempt: o.Attempt, Outcome: o.Outcome, Load: o.Load, Message: o.Message})
}

// ask sends a call to the other process. If that cannot be asked, the call is refused.
func (s *sibling) ask(p *pendingCall, call SiblingCall) {
	s.lastCall++
	call.Number, call.Client = s.lastCall, p.client.id
	if len(s.calls) >= maxSiblingCalls || s.send(SiblingMessage{Call: &call}) != nil {
		p.refuse()
		return
	}
	p.client.calledSibling = true
	p.client.siblingCalls++
	p.since = s.front.Loop.Now()
	p.timer = s.front.Loop.After(siblingTimeout, func() { s.timeOut(call.Number) })
	s.calls[call.Number] = p
	if p.key != "" {
		s.asked[p.key]++
	}
}

// take removes a pending call and returns it; nil if it is not pending.
func (s *sibling) take(number uint64) *pendingCall {
	p := s.calls[number]
	if p == nil {
		return nil
	}
	p.timer.Stop()
	delete(s.calls, number)
	p.client.siblingCalls--
	if p.key != "" {
		if s.asked[p.key]--; s.asked[p.key] == 0 {
			delete(s.asked, p.key)
		}
	}
	return p
}

// complete handles the answer to a call.
func (s *sibling) complete(number uint64, owned bool) {
	p := s.take(number)
	if p == nil {
		return
	}
	if !owned && !p.client.closed {
		p.proceed(s.front.Loop.Now() - p.since)
	}
	p.client.scheduleResume()
	s.releaseHeld(p.key)
}

// timeOut refuses a call that the other process has not answered.
func (s *sibling) timeOut(number uint64) {
	p := s.take(number)
	if p == nil {
		return
	}
	if !p.client.closed {
		p.refuse()
	}
	p.client.scheduleResume()
	s.releaseHeld(p.key)
}

// handleCall handles a call of the other process if this one has its request. If both ask for the same
// request at once, the older process opens it: it holds the other one's call until its own is answered.
func (s *sibling) handleCall(call SiblingCall) {
	key := string(call.Key)
	if s.older && key != "" && s.asked[key] > 0 && s.front.proxied[key] == nil {
		s.held[key] = append(s.held[key], call)
		return
	}
	var p *proxiedRequest
	if key != "" {
		p = s.front.proxied[key]
	} else if byID := s.front.proxiedByID[call.ID]; byID != nil && byID.login == string(call.Login) {
		p = byID
	}
	s.reply(SiblingMessage{Answer: &SiblingAnswer{Number: call.Number, Owned: p != nil}})
	if p == nil {
		return
	}
	caller := s.caller(call.Client)
	if key != "" {
		p.resume(caller, call.Control, call.Reply)
		return
	}
	p.report(caller, outcomeReport{ID: call.ID, Attempt: call.Attempt, Outcome: call.Outcome, Load: call.Load, Message: call.Message}, call.Reply)
}

// releaseHeld handles the calls of the other process that have waited for a pending one of this process.
func (s *sibling) releaseHeld(key string) {
	if s.asked[key] > 0 {
		return
	}
	calls := s.held[key]
	delete(s.held, key)
	for _, call := range calls {
		s.handleCall(call)
	}
}

// reply sends a message to the other process, also if that is not asked itself.
func (s *sibling) reply(m SiblingMessage) {
	if s.asks() {
		s.post(m)
	}
}

// clientEnded tells the other process that a client of this one has gone.
func (s *sibling) clientEnded(c *client) {
	if s.asks() && c.calledSibling {
		s.post(SiblingMessage{ClientEnded: c.id})
	}
}

// siblingCaller is a client of the other process that has asked for requests of this one. It implements
// caller.
type siblingCaller struct {
	sibling  *sibling
	client   uint64 // at the other process
	requests map[core.ID]*proxiedRequest
	ended    bool
}

// caller returns the caller of a client of the other process.
func (s *sibling) caller(client uint64) *siblingCaller {
	c := s.callers[client]
	if c == nil {
		c = &siblingCaller{sibling: s, client: client, requests: map[core.ID]*proxiedRequest{}}
		s.callers[client] = c
	}
	return c
}

func (c *siblingCaller) sendVerdict(subject string, v verdict) {
	text, _ := json.Marshal(v)
	c.sibling.reply(SiblingMessage{Verdict: &SiblingVerdict{Client: c.client, Subject: subject, Text: text}})
}

func (c *siblingCaller) attach(p *proxiedRequest) { c.requests[p.requestID] = p }

func (c *siblingCaller) detach(p *proxiedRequest) {
	delete(c.requests, p.requestID)
	if len(c.requests) == 0 && c.sibling.callers[c.client] == c {
		delete(c.sibling.callers, c.client)
	}
}

func (c *siblingCaller) hasEnded() bool { return c.ended }

// end ends the requests of a client that has gone.
func (c *siblingCaller) end() {
	c.ended = true
	for id, p := range c.requests {
		p.remove()
		c.sibling.front.Core.ClientGone(id)
	}
	delete(c.sibling.callers, c.client)
}

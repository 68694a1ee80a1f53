package line

import (
	"errors"
	"strings"
	"time"

	"dahliarudder/internal/core"
	"dahliarudder/internal/netloop"
	"dahliarudder/policy"
)

// This file is the probes of members.

const (
	probeWithin = 400 * time.Millisecond
	// probeIdle is the part of the settings' keepalive for which an idle connection to a member is kept: one that
	// the member ends just as it is used costs a second connection.
	probeIdle, keepalive = 0.8, 5 * time.Second // the latter where the settings do not say
)

// probeState is what the connection on which a member is probed is for.
type probeState int

const (
	probeNone     probeState = iota // there is no connection, and no answer is owed
	probeKept                       // no answer is owed; the connection has brought one and is kept for the next probe
	probeDialling                   // an answer is owed, the connection is being set up
	probeAsked                      // an answer is owed on a new connection
	probeReused                     // an answer is owed on a connection that has brought one before
)

// probeEvent is what may happen to a probe.
type probeEvent int

const (
	probeWanted     probeEvent = iota // the core wants one, and a kept connection leads elsewhere if there is one
	probeWantedOn                     // the core wants one, and the connection that is kept will do
	probeComesUp                      // the connection stands
	probeAnswered                     // the member has answered well
	probeRefused                      // it has answered otherwise or with more than one line, or has taken too long
	probeBroke                        // the connection has ended
	probeBrokeAgain                   // the same, and it may be set up anew
	probeIdled                        // it has been kept for long enough
)

// owes says that an answer is owed.
func (s probeState) owes() bool { return s >= probeDialling }

// next is the one place that says how events lead from state to state. An event that a state has no use for changes nothing.
func (s probeState) next(e probeEvent) probeState {
	switch e {
	case probeWanted:
		if !s.owes() {
			return probeDialling
		}
	case probeWantedOn:
		if s == probeKept {
			return probeReused
		}
	case probeComesUp:
		if s == probeDialling {
			return probeAsked
		}
	case probeAnswered:
		if s.owes() {
			return probeKept
		}
	case probeRefused, probeBroke, probeIdled:
		return probeNone
	case probeBrokeAgain:
		if s == probeReused { // it may have been ended for idleness just then
			return probeDialling
		}
		return probeNone
	}
	return s
}

// probe is the connection on which one member is probed.
type probe struct {
	f     *Front
	id    policy.ServerID
	addr  string
	c     *netloop.Conn
	state probeState
	due   *netloop.Timer // when the answer is late, or the connection has been kept for long enough
}

// CheckHealth asks a member for its load; the answer goes to the core.
func (f *Front) CheckHealth(to *core.Member) {
	p := f.probes[to.ID]
	if p == nil {
		p = &probe{f: f, id: to.ID}
		f.probes[to.ID] = p
	}
	if p.state.owes() {
		return
	}
	p.due.Stop()
	p.due = f.Loop.After(probeWithin, func() { p.done(policy.Timeout, policy.NoReport) })
	if p.state == probeKept && p.addr == to.Addr {
		p.state = p.state.next(probeWantedOn)
		p.c.Write(stats)
		return
	}
	p.hangUp()
	p.addr = to.Addr
	p.state = p.state.next(probeWanted)
	p.dial()
}

var stats = []byte("STATS\r\n")

func (p *probe) dial() { p.c = p.f.Loop.Dial(p.addr, p.f.connectWithin, p) }

func (p *probe) hangUp() {
	if p.c != nil {
		p.c.Finish()
		p.c = nil
	}
}

// idle ends a connection that has been kept for long enough.
func (p *probe) idle() {
	p.state = p.state.next(probeIdled)
	p.hangUp()
	p.forget()
}

// forget takes a probe that holds nothing off the front's list.
func (p *probe) forget() {
	if p.f.probes[p.id] == p {
		delete(p.f.probes, p.id)
	}
}

// Open is told by the loop.
func (p *probe) Open() {
	if !p.f.Core.Reachable(p.id) {
		p.done(policy.NotSent, policy.NoReport)
		return
	}
	p.state = p.state.next(probeComesUp)
	p.c.Write(stats)
}

// Drained is told by the loop.
func (p *probe) Drained() {}

// Data is told by the loop.
func (p *probe) Data(b []byte) int {
	text, n, err := cutLine(b)
	if n == 0 && err == nil {
		return 0
	}
	if !p.state.owes() { // nobody asked for it, and it would be taken for the next probe's answer
		p.due.Stop()
		p.idle()
		return len(b)
	}
	word, rest, _ := strings.Cut(text, " ")
	switch {
	case err != nil:
		p.done(policy.Error, policy.NoReport)
	case word == "PONG":
		p.finish(policy.OK, parseReport(rest), n == len(b))
	case word == "BUSY":
		p.done(policy.Full, parseReport(rest))
	default:
		p.done(policy.Error, parseReport(rest))
	}
	return n
}

// End is told by the loop.
func (p *probe) End(err error) {
	p.hangUp()
	if !p.state.owes() {
		p.due.Stop()
		p.state = p.state.next(probeBroke)
		p.forget()
		return
	}
	if p.state == probeReused && !isOwn(err) && p.f.Core.Reachable(p.id) {
		p.state = p.state.next(probeBrokeAgain)
		p.dial()
		return
	}
	p.done(p.broken(err), policy.NoReport)
}

// isOwn says that a connection ended for want of the relay's own means.
func isOwn(err error) bool { return errors.Is(err, netloop.ErrNoDescriptors) }

// broken is the result of a probe whose connection has ended.
func (p *probe) broken(err error) policy.Result {
	switch {
	case isOwn(err):
		return policy.NotSent
	case errors.Is(err, netloop.ErrDialTimeout): // it says nothing at all
		return policy.Timeout
	case p.state == probeDialling:
		return policy.ConnectFailed
	}
	return policy.Reset
}

// done tells an answer after which the connection is kept for nothing.
func (p *probe) done(result policy.Result, report policy.Report) { p.finish(result, report, false) }

// finish tells the answer. A connection that brought one, and nothing beyond it, is kept for a while.
func (p *probe) finish(result policy.Result, report policy.Report, keep bool) {
	p.due.Stop()
	if keep {
		p.state = p.state.next(probeAnswered)
		p.due = p.f.Loop.After(p.f.probeIdle, p.idle)
	} else {
		p.state = p.state.next(probeRefused)
		p.hangUp()
		p.forget()
	}
	p.f.Core.ProbeResult(p.id, result, report)
}

package policy

import (
	"math"
	"time"
)

// This file is how attempts end, and what falls due.

// Established says that a connection stands.
func (b *Balancer) Established(now time.Duration, id RequestID) {
	if r := b.requests[id]; r != nil && r.open {
		r.established, r.done = true, true
		b.good(r.at)
		r.at.fulls = 0
		b.daring = min(b.daring+learn, 1)
		b.pressed -= learn * b.pressed
	}
}

// AttemptEnded ends an attempt, before the connection stood or after.
func (b *Balancer) AttemptEnded(now time.Duration, o Outcome) {
	if s := b.byID[o.Server]; s != nil {
		b.take(now, s, o.Report)
	}
	r := b.requests[o.ID]
	if r == nil || o.Attempt != r.tries-1 || r.at == nil {
		return
	}
	s := r.at
	b.vacate(now, r)
	switch o.Result {
	case ConnectFailed, Reset, Timeout, Error:
		b.fail(now, s)
	case OK:
		b.good(s)
	case Full:
		// Its queue of new connections is what is full, which no report shows: leave it alone for a
		// moment. A second in a row, as from a server that drains unlisted, doubles the moment.
		s.fulls++
		pause := float64(b.horizon) * math.Exp2(float64(min(s.fulls-1, backOffMost)))
		s.until = now + time.Duration(pause*(0.5+b.rng.Float64()))
	}
	r.done = r.done || o.Final
	r.ran = r.ran || o.Result != Full && o.Result != ConnectFailed && o.Result != NotSent
	if r.done {
		b.forget(r)
		return
	}
	if now+b.set.AnswerSlack >= r.Deadline || r.tries >= b.set.MaxAttempts {
		b.end(r)
		return
	}
	r.stage, r.asked = 0, 0
	if o.Result == Timeout || o.Result == Error {
		if b.widely() {
			b.daring = max(b.daring*retreat, daringLeast)
		}
		pause := float64(b.set.Classes[r.Class].LatencyObjective) / 4 * math.Exp2(float64(r.tries)) * (0.5 + b.rng.Float64())
		b.wait(r, time.Duration(pause))
		return
	}
	b.place(now, r)
}

// widely says that most servers fail: the failures of one are no reason to send less to all.
func (b *Balancer) widely() bool {
	failing := 0
	for _, s := range b.servers {
		if s.fails > 0 {
			failing++
		}
	}
	return 2*failing > len(b.servers)
}

// RequestEnded says that the client left or that the request is over.
func (b *Balancer) RequestEnded(now time.Duration, id RequestID) {
	if r := b.requests[id]; r != nil {
		r.done = true
		b.forget(r)
	}
}

// Timer is a timer that has fallen due.
func (b *Balancer) Timer(now time.Duration, token uint64) {
	id := RequestID(token &^ tokenMask)
	switch token & tokenMask {
	case tokenWatch:
		if !b.watching {
			b.watching = true
			b.act.Watch()
		}
	case tokenDeadline:
		if r := b.requests[id]; r != nil && !r.done {
			b.end(r)
		}
	case tokenLook:
		b.look(now)
	case tokenWait:
		if r := b.requests[id]; r != nil {
			if r.round--; r.round == 0 {
				r.waiting = 0
				b.place(now, r)
			}
		}
	}
}

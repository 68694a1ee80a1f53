package policy

import (
	"math"
	"time"
)

// This file handles the events of attempts and requests, and timers.

// Established says that an attempt has become an open connection.
func (b *Balancer) Established(now time.Duration, id RequestID) {
	if r := b.requests[id]; r != nil && r.inFlight {
		r.established, r.answered = true, true
		b.recordSuccess(r.member)
		r.member.consecutiveFull = 0
		b.admissionRate = min(b.admissionRate+learningRate, 1)
		b.rejectionRate -= learningRate * b.rejectionRate
	}
}

// AttemptEnded ends an attempt, before it became an open connection or after.
func (b *Balancer) AttemptEnded(now time.Duration, o Outcome) {
	if m := b.byID[o.Member]; m != nil {
		b.applyReport(now, m, o.Report)
	}
	r := b.requests[o.ID]
	if r == nil || o.Attempt != r.attempts-1 || r.member == nil {
		return
	}
	m := r.member
	b.detach(now, r)
	switch o.Result {
	case ConnectFailed, Reset, Timeout, Error:
		b.recordFailure(now, m)
	case OK:
		b.recordSuccess(m)
	case Full:
		// Its queue of new connections is full, which no report shows: back off. Each further one in a row,
		// as from a server that drains before the list says so, doubles the backoff.
		m.consecutiveFull++
		backoff := float64(b.minObjective) * math.Exp2(float64(min(m.consecutiveFull-1, maxBackoffDoublings)))
		m.retryAt = now + time.Duration(backoff*(0.5+b.rng.Float64()))
	}
	r.answered = r.answered || o.Final
	r.mayHaveRun = r.mayHaveRun || o.Result != Full && o.Result != ConnectFailed && o.Result != NotSent
	if r.answered {
		b.forget(r)
		return
	}
	if now+b.cfg.AnswerSlack >= r.Deadline || r.attempts >= b.cfg.MaxAttempts {
		b.finish(r)
		return
	}
	r.stage, r.probedStage = 0, 0
	if o.Result == Timeout || o.Result == Error {
		if b.mostMembersFail() { // the failures of one server are no reason to send less to all
			b.admissionRate = max(b.admissionRate*admissionBackoff, minAdmissionRate)
		}
		objective := float64(b.cfg.Classes[r.Class].LatencyObjective)
		backoff := objective / 4 * math.Exp2(float64(r.attempts)) * (0.5 + b.rng.Float64())
		b.scheduleRetry(r, time.Duration(backoff))
		return
	}
	b.place(now, r)
}

// RequestEnded says that the client has gone or that the request is over.
func (b *Balancer) RequestEnded(now time.Duration, id RequestID) {
	if r := b.requests[id]; r != nil {
		r.answered = true
		b.forget(r)
	}
}

// Timer handles a timer that has expired.
func (b *Balancer) Timer(now time.Duration, token uint64) {
	id := RequestID(token &^ tokenMask)
	switch token & tokenMask {
	case tokenPoll:
		if !b.watching {
			b.watching = true
			b.executor.Watch()
		}
	case tokenDeadline:
		if r := b.requests[id]; r != nil && !r.answered {
			b.finish(r)
		}
	case tokenHealthCheck:
		b.checkHealth(now)
	case tokenRetry:
		if r := b.requests[id]; r != nil {
			if r.pendingTimers--; r.pendingTimers == 0 {
				r.pendingProbes = 0
				b.place(now, r)
			}
		}
	}
}

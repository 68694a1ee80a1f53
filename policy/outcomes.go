package policy

import (
	"math"
	"time"
)

// This file is how attempts end, and what falls due.

// Established says that a connection stands.
func (b *Balancer) Established(now time.Duration, id RequestID) {
	if r := b.requests[id]; r != nil && r.inFlight {
		r.established, r.answered = true, true
		b.recordSuccess(r.server)
		r.server.consecutiveFull = 0
		b.admissionRate = min(b.admissionRate+learningRate, 1)
		b.rejectionRate -= learningRate * b.rejectionRate
	}
}

// AttemptEnded ends an attempt, before the connection stood or after.
func (b *Balancer) AttemptEnded(now time.Duration, o Outcome) {
	if s := b.byID[o.Server]; s != nil {
		b.applyReport(now, s, o.Report)
	}
	r := b.requests[o.ID]
	if r == nil || o.Attempt != r.attempts-1 || r.server == nil {
		return
	}
	s := r.server
	b.detach(now, r)
	switch o.Result {
	case ConnectFailed, Reset, Timeout, Error:
		b.recordFailure(now, s)
	case OK:
		b.recordSuccess(s)
	case Full:
		// Its queue of new connections is what is full, which no report shows: leave it alone for a
		// moment. A second in a row, as from a server that drains unlisted, doubles the moment.
		s.consecutiveFull++
		pause := float64(b.minObjective) * math.Exp2(float64(min(s.consecutiveFull-1, maxBackoffDoublings)))
		s.retryAt = now + time.Duration(pause*(0.5+b.rng.Float64()))
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
		if b.mostServersFail() {
			b.admissionRate = max(b.admissionRate*admissionBackoff, minAdmissionRate)
		}
		pause := float64(b.cfg.Classes[r.Class].LatencyObjective) / 4 * math.Exp2(float64(r.attempts)) * (0.5 + b.rng.Float64())
		b.scheduleRetry(r, time.Duration(pause))
		return
	}
	b.place(now, r)
}

// mostServersFail says that most servers fail: the failures of one are no reason to send less to all.
func (b *Balancer) mostServersFail() bool {
	failing := 0
	for _, s := range b.servers {
		if s.failures > 0 {
			failing++
		}
	}
	return 2*failing > len(b.servers)
}

// RequestEnded says that the client left or that the request is over.
func (b *Balancer) RequestEnded(now time.Duration, id RequestID) {
	if r := b.requests[id]; r != nil {
		r.answered = true
		b.forget(r)
	}
}

// Timer is a timer that has fallen due.
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

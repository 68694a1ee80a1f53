package core

import (
	"time"

	"dahliarudder/policy"
)

// This file gives requests their final answers.

// GiveUp gives a request its final answer at once, if it has none yet: the client can no longer report on
// its attempt.
func (c *Core) GiveUp(id ID) {
	if r := c.requests[id]; r != nil && !r.state.final() && r.state != serving {
		c.abort(r)
	}
}

// abort rejects or fails a request without a decision of the policy, and notifies the policy.
func (c *Core) abort(r *request) {
	c.notifyPolicy(policy.ClientGone{ID: r.id})
	c.rejectOrFail(r, stopRetryAfter)
}

// rejectOrFail rejects a request, or fails it if a retry by the client could take effect twice.
func (c *Core) rejectOrFail(r *request, retryAfter time.Duration) {
	if c.clientMayRetry(r) {
		c.answer(r, Rejected, retryAfter)
	} else {
		c.answer(r, Failed, 0)
	}
}

// RetryAfter returns the Retry-After of a rejection: after, limited to the maximum in the
// settings, or 0 for none if the settings turn Retry-After off.
func (c *Core) RetryAfter(after time.Duration) time.Duration {
	if enabled := c.Settings.Limits.RetryAfter; enabled != nil && !*enabled {
		return 0
	}
	return min(after, c.policyCfg.MaxRetryAfter)
}

// answer rejects or fails a request, if it has no final answer yet, and abandons its attempt in
// flight.
func (c *Core) answer(r *request, a Answer, retryAfter time.Duration) {
	previous := r.state
	if !c.transition(r, answered) {
		return
	}
	c.abandon(r, previous)
	c.recordAnswer(r, a)
	if a == Rejected {
		retryAfter = c.RetryAfter(retryAfter)
		c.Counts.BackoffTime += retryAfter
		r.downstream.Reject(retryAfter)
	} else {
		c.Counts.BackoffTime += r.TimeLeft
		r.downstream.Fail()
	}
}

// recordAnswer counts and records the final answer of a request.
func (c *Core) recordAnswer(r *request, a Answer) {
	c.unansweredRequests.remove(r.Name)
	switch a {
	case Served:
		c.Counts.Served++
	case Rejected:
		c.Counts.Rejected++
	case Failed:
		c.Counts.Failed++
	case ClientGone:
		c.Counts.ClientsGone++
	}
	if c.Recorder != nil {
		c.Recorder.RecordAnswer(&r.Request, r.id, c.Clock(), a, r.attempts)
	}
}

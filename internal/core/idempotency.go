package core

import (
	"time"

	"dahliarudder/policy"
)

// This file holds the rules on retries, which keep a request from taking effect twice, whatever
// the policy decides.

// mayHaveRun reports whether a member may have run an attempt that ended with result.
func mayHaveRun(result policy.Result) bool {
	return result != policy.Full && result != policy.ConnectFailed && result != policy.NotSent
}

// firstRun is the first attempt of a request that may have run.
type firstRun struct {
	sentAt   time.Duration
	endpoint policy.Endpoint
}

// mayRetryAt reports whether an attempt may go to a member without the request taking effect twice.
func (c *Core) mayRetryAt(now time.Duration, r *request, m *member) bool {
	class := c.policyCfg.Classes[r.Class]
	switch {
	case r.firstRun == nil, class.Idempotency == policy.Idempotent:
		return true
	case class.Idempotency == policy.NonIdempotent, now >= r.firstRun.sentAt+class.DedupWindow:
		return false
	}
	return class.Scope == policy.ScopeAll || class.Scope == policy.ScopeZone && m.Zone == r.firstRun.endpoint.Zone ||
		class.Scope == policy.ScopeCell && m.Cell == r.firstRun.endpoint.Cell
}

// clientMayRetry reports whether a retry by the client cannot make its request take effect twice. If
// so, the final answer may be a rejection, which invites a retry.
func (c *Core) clientMayRetry(r *request) bool {
	class := c.policyCfg.Classes[r.Class]
	return class.Idempotency == policy.Idempotent ||
		class.Idempotency == policy.IdempotencyKey && class.Scope == policy.ScopeAll ||
		r.state == placing && r.firstRun == nil
}

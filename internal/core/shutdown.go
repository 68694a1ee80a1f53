package core

import "time"

// This file holds the drain and the graceful shutdown of a relay.

// StopNotice is how long after the start of a planned stop clients may still be sent
// here. No flow is migrated before: its client would come back to this relay.
const StopNotice = 450 * time.Millisecond

// maxStopDeadline is the longest deadline that counts in StopTimeout.
const maxStopDeadline = 3 * time.Second

const (
	// The migrations of a stop are spread between these parts of StopTimeout. Flows are served meanwhile, and where
	// relays are restarted one after another, the previous one may be back only then.
	stopMigrationStart, stopMigrationEnd = 0.4, 0.9
	// handoverEnd is the part of StopTimeout that an upgrade has for handing over flows.
	handoverEnd = 1 / 3.0
	// stopRetryAfter is when a client that is rejected meanwhile may retry.
	stopRetryAfter = 500 * time.Millisecond
)

// A drain migrates open flows between these times after its start, all of them well before the 4 s after which none
// may be held.
const (
	drainMigrationStart = StopNotice
	drainMigrationEnd   = 3 * time.Second
)

// StopTimeout is how long a planned stop may take: the longest deadline, counted as 3 s at most. SIGKILL comes no
// earlier than 0.7 s after that; those are for the last answers and a busy loop.
func (c *Core) StopTimeout() time.Duration {
	longest := time.Duration(0)
	for _, class := range c.policyCfg.Classes {
		longest = max(longest, class.Deadline)
	}
	return min(longest, maxStopDeadline)
}

// fraction is a part of a duration.
func fraction(part float64, d time.Duration) time.Duration { return time.Duration(part * float64(d)) }

// Drain empties the relay: requests that still arrive are served, and open flows are
// migrated one by one.
func (c *Core) Drain() {
	if c.AcceptsClients() {
		c.draining = true
		c.spreadMigrations(drainMigrationStart, drainMigrationEnd)
	}
}

// Resume ends a drain; flows that were not migrated yet stay.
func (c *Core) Resume() {
	if c.draining && !c.stopping {
		for _, r := range c.requestsInOrder() {
			r.migrateAt = 0
		}
	}
	c.draining = false
}

// Stop begins a planned stop: new requests are rejected, those in flight are answered,
// and every open flow is migrated. It is over when ActiveRequests is 0.
func (c *Core) Stop() {
	if c.stopping {
		return
	}
	c.stopping = true
	start := max(fraction(stopMigrationStart, c.StopTimeout()), StopNotice)
	c.spreadMigrations(start, fraction(stopMigrationEnd, c.StopTimeout()))
}

// BeginHandover begins a planned stop in which another process takes over: fronts hand
// over open flows, and those that are left after a while are migrated.
func (c *Core) BeginHandover() {
	if !c.stopping {
		c.stopping = true
		c.spreadMigrations(fraction(handoverEnd, c.StopTimeout()), fraction(stopMigrationEnd, c.StopTimeout()))
	}
}

// FinishStop ends a stop whose time is up: requests without an answer get one, and
// every open flow is migrated at once.
func (c *Core) FinishStop() {
	for _, r := range c.requestsInOrder() {
		switch r.state {
		case serving:
			c.migrate(r)
		case placing, attempting:
			c.abort(r)
		}
	}
}

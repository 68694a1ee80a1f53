package core

import (
	"maps"
	"slices"
	"time"
)

// This file implements the drain and the graceful shutdown of a relay.

// StopNotice is how long after the start of a planned stop clients may still be sent to this relay.
// No flow is migrated earlier, since its client might reconnect to this relay.
const StopNotice = 450 * time.Millisecond

// maxStopDeadline limits the deadline that StopTimeout is derived from.
const maxStopDeadline = 3 * time.Second

const (
	// A stop spreads its migrations between these fractions of StopTimeout. Flows are served until
	// then, and where relays are restarted one after another, the previous relay may need that long
	// until it serves again.
	stopMigrationStart, stopMigrationEnd = 0.4, 0.9
	// handoverEnd is the fraction of StopTimeout in which a hot restart hands over flows.
	handoverEnd = 1 / 3.0
	// stopRetryAfter is the Retry-After of rejections by a stop, and of others that the policy did
	// not decide.
	stopRetryAfter = 500 * time.Millisecond
)

// A drain migrates open flows between these times after its start. A draining relay must have no
// flow left after 4 s, so the migrations end well before that.
const (
	drainMigrationStart = StopNotice
	drainMigrationEnd   = 3 * time.Second
)

// StopTimeout returns how long a planned stop may take: the longest deadline of any class, but at
// most 3 s. SIGKILL follows no earlier than 0.7 s later, which leaves time for the last answers
// even if the event loop is late.
func (c *Core) StopTimeout() time.Duration {
	longest := time.Duration(0)
	for _, class := range c.policyCfg.Classes {
		longest = max(longest, class.Deadline)
	}
	return min(longest, maxStopDeadline)
}

// fraction returns the given part of a duration.
func fraction(part float64, d time.Duration) time.Duration { return time.Duration(part * float64(d)) }

// Drain starts a drain: new requests are still served, and open flows are migrated one by one.
func (c *Core) Drain() {
	if c.AcceptsClients() {
		c.draining = true
		c.spreadMigrations(drainMigrationStart, drainMigrationEnd)
	}
}

// Resume ends a drain. Flows that have not been migrated stay.
func (c *Core) Resume() {
	if c.draining && !c.stopping {
		for _, r := range c.requestsInOrder() {
			r.migrateAt = 0
		}
	}
	c.draining = false
}

// Stop starts a planned stop: new requests are rejected, pending ones are answered, and every open
// flow is migrated. The stop is complete when ActiveRequests returns 0.
func (c *Core) Stop() {
	if c.stopping {
		return
	}
	c.stopping = true
	start := max(fraction(stopMigrationStart, c.StopTimeout()), StopNotice)
	c.spreadMigrations(start, fraction(stopMigrationEnd, c.StopTimeout()))
}

// BeginHandover starts a planned stop in which another process takes over: fronts hand over open
// flows, and those that are left after handoverEnd of StopTimeout are migrated.
func (c *Core) BeginHandover() {
	if !c.stopping {
		c.stopping = true
		c.spreadMigrations(fraction(handoverEnd, c.StopTimeout()), fraction(stopMigrationEnd, c.StopTimeout()))
	}
}

// FinishStop ends a stop whose time is over: requests and messages without a final answer get one,
// and all open flows are migrated at once.
func (c *Core) FinishStop() {
	for _, r := range c.requestsInOrder() {
		switch r.state {
		case serving:
			c.migrate(r)
		case placing, attempting:
			c.abort(r)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(c.feeds)) {
		c.feeds[id].settle()
	}
}

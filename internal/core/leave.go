package core

import (
	"time"

	"dahliarudder/policy"
)

// This file is how a relay is left: a drain, a planned stop, and flows that pass on to another process.

// StopNotice is how long after the start of a planned stop clients may still be
// sent here. Nobody is moved before: who is would come back to this relay.
const StopNotice = 450 * time.Millisecond

// maxStopDeadline is the longest that clients' deadlines count in how long a planned stop may take.
const maxStopDeadline = 3 * time.Second

const (
	// The moves of a stop are spread between these parts of it. Flows are served meanwhile, and where relays are restarted one
	// after another, the one before may be back only then.
	stopMigrationStart, stopMigrationEnd = 0.4, 0.9
	handoverEnd                          = 1 / 3.0                // of it: an upgrade has so long to pass flows on
	stopRetryAfter                       = 500 * time.Millisecond // when a client rejected meanwhile may come again
)

// StopTimeout is when a planned stop is over: with the longest deadline, since SIGKILL comes no earlier than that, taken as three seconds
// where it is longer, and 0.7 s. Those are for the last answers and a busy loop.
func (c *Core) StopTimeout() time.Duration {
	longest := time.Duration(0)
	for _, class := range c.policyCfg.Classes {
		longest = max(longest, class.Deadline)
	}
	return min(longest, maxStopDeadline)
}

// of is a part of a time.
func fraction(part float64, d time.Duration) time.Duration { return time.Duration(part * float64(d)) }

// A drain moves open flows between these times after its start, all of them well
// before the 4 s after which none may be held.
const (
	drainMigrationStart = StopNotice
	drainMigrationEnd   = 3 * time.Second
)

// Drain empties the relay: what still arrives is served, and open flows are moved
// one by one.
func (c *Core) Drain() {
	if c.AcceptsClients() {
		c.draining = true
		c.spreadMigrations(drainMigrationStart, drainMigrationEnd)
	}
}

// Resume ends a drain; who was not moved yet stays.
func (c *Core) Resume() {
	if c.draining && !c.stopping {
		for _, r := range c.requestsInOrder() {
			r.migrateAt = 0
		}
	}
	c.draining = false
}

// BeginHandover begins a planned stop of which another process takes the place: fronts pass
// open flows on to it, and those that are left after a while are moved.
func (c *Core) BeginHandover() {
	if !c.stopping {
		c.stopping = true
		c.spreadMigrations(fraction(handoverEnd, c.StopTimeout()), fraction(stopMigrationEnd, c.StopTimeout()))
	}
}

// FlowTransfer is an open flow on its way to another process. Times are ages.
type FlowTransfer struct {
	Request Request       `json:"request"`
	Member  string        `json:"member"`
	Age     time.Duration `json:"age"`
}

// ReleaseFlow gives an open flow up to another process.
func (c *Core) ReleaseFlow(id ID) (FlowTransfer, bool) {
	r := c.requests[id]
	if r == nil || !c.transition(r, handedOver) {
		return FlowTransfer{}, false
	}
	p := FlowTransfer{r.Request, r.member.Name, c.Clock() - r.sentAt}
	c.releaseAttempt(r, serving, policy.Cancelled, policy.NoReport)
	return p, true
}

// AdoptFlow takes up the flow that another process has passed on; it is up already. False
// if its member is not known here.
func (c *Core) AdoptFlow(p FlowTransfer, v Downstream) (ID, *Member, bool) {
	now, m := c.Clock(), c.byName[p.Member]
	if m == nil {
		return 0, nil, false
	}
	c.lastID++
	r := &request{Request: p.Request, id: c.lastID, downstream: v, deadline: now, attempts: 1, policySends: 1, member: m, sentAt: now - p.Age,
		preexisting: true, state: serving}
	c.requests[r.id] = r
	m.flows++
	c.Counts.Requests++
	c.Counts.Attempts++
	c.recordAnswer(r, Served)
	c.notifyPolicy(policy.ExistingFlow{Request: r.policy(), Server: m.ID})
	if !c.AcceptsClients() {
		c.migrateAt(r, c.migrateNotBefore)
	}
	c.migrateIfUnavailable(r)
	c.scheduleTick()
	return r.id, &m.Member, true
}

// Stop begins a planned stop: what arrives is rejected, what is on its way is
// answered, and every open flow is moved. It is over when Held is 0.
func (c *Core) Stop() {
	if c.stopping {
		return
	}
	c.stopping = true
	c.spreadMigrations(max(fraction(stopMigrationStart, c.StopTimeout()), StopNotice), fraction(stopMigrationEnd, c.StopTimeout()))
}

// spreadMigrations spreads the moves of all open flows between two times from now.
func (c *Core) spreadMigrations(from, to time.Duration) {
	var open []*request
	for _, r := range c.requestsInOrder() {
		if r.state == serving {
			open = append(open, r)
		}
	}
	c.migrateNotBefore = c.Clock() + from
	for i, r := range open {
		c.migrateAt(r, c.migrateNotBefore+(to-from)*time.Duration(i)/time.Duration(len(open)))
	}
	c.scheduleTick()
}

func (c *Core) migrateAt(r *request, at time.Duration) {
	r.migrateAt = at
	c.setTimer(at, r.id, timerMigrate)
}

// migrateForMemberAt has a flow moved because of its member. It holds beside migrateAt: the earlier one counts, and Resume ends only that.
func (c *Core) migrateForMemberAt(r *request, at time.Duration) {
	if r.memberMigrateAt != at {
		r.memberMigrateAt = at
		c.setTimer(at, r.id, timerMigrate)
	}
}

// FinishStop ends a stop whose time is up: who still waits is answered, and every
// open flow is moved at once.
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

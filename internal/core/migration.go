package core

import (
	"math"
	"time"

	"dahliarudder/policy"
)

// This file decides when open flows are migrated: at once, as the policy asks, or spread over a time.

// migrate asks the client of an open flow to reconnect.
func (c *Core) migrate(r *request) {
	if !c.transition(r, migrated) {
		return
	}
	c.Counts.Migrations++
	r.downstream.Migrate()
	c.releaseAttempt(r, serving, policy.Cancelled, policy.NoReport)
}

// spreadMigrations spreads the migrations of all open flows between two times from now.
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

// migrateAt has a flow migrated because the relay stops or drains.
func (c *Core) migrateAt(r *request, at time.Duration) {
	r.migrateAt = at
	c.setTimer(at, r.id, timerMigrate)
}

// migrateForMemberAt has a flow migrated because of its member. It is independent of migrateAt: the earlier time
// counts, and Resume cancels only the other one.
func (c *Core) migrateForMemberAt(r *request, at time.Duration) {
	if r.memberMigrateAt != at {
		r.memberMigrateAt = at
		c.setTimer(at, r.id, timerMigrate)
	}
}

// deferMigration defers a migration that the policy asks for, where the fleet has agreed to remove the member and
// the flows of all relays are spread over a time. The policy asks once, so a deferred migration is the core's task.
func (c *Core) deferMigration(r *request) bool {
	if r.state != serving || r.member.listed.State != policy.Ready { // it drains by itself, and drops its clients soon
		return false
	}
	spread := c.fleetRemovals[r.member.Name].SpreadOver
	if !r.member.removed || c.ejections[r.member.Name] || spread <= 0 { // an operator of this relay ejected it
		return false
	}
	r.migrationDeferred, c.migrationsDeferred = true, true
	// Multiples of the golden ratio spread the flows of one relay evenly.
	part := math.Mod(float64(r.id)*math.Phi, 1)
	c.migrateForMemberAt(r, max(c.Clock(), r.member.unavailableSince+time.Duration(part*float64(spread))))
	return true
}

// migrateIfUnavailable has a flow migrated that was established after its member became unavailable: the policy asks
// for migrations only at that moment.
func (c *Core) migrateIfUnavailable(r *request) {
	if r.state == serving && r.member.unavailable && !c.deferMigration(r) {
		c.migrateForMemberAt(r, c.Clock())
	}
}

// updateDeferred reconsiders the deferred migrations of a member when its state or removal changes.
func (c *Core) updateDeferred(m *member) {
	for _, r := range c.requestsInOrder() {
		switch {
		case r.state != serving || r.member != m || !r.migrationDeferred:
		case !m.unavailable:
			r.memberMigrateAt = 0
		case m.unavailable && !c.deferMigration(r):
			c.migrate(r)
		}
	}
}

package core

import (
	"math"
	"time"

	"dahliarudder/policy"
)

// This file decides when open flows are migrated: at once when the policy asks, or spread over a
// period.

// migrate asks the client of an open flow to reconnect.
func (c *Core) migrate(r *request) {
	if !c.transition(r, migrated) {
		return
	}
	c.Counts.Migrations++
	r.downstream.Migrate()
	c.releaseAttempt(r, serving, policy.Cancelled, policy.NoReport)
}

// spreadMigrations schedules the migrations of all open flows evenly between from and to after now.
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

// migrateAt schedules the migration of a flow for a stop or drain of this relay.
func (c *Core) migrateAt(r *request, at time.Duration) {
	r.migrateAt = at
	c.setTimer(at, r.id, timerMigrate)
}

// migrateForMemberAt schedules the migration of a flow whose member is unavailable. It is
// independent of migrateAt: the earlier time applies, and Resume cancels only the time set by
// migrateAt.
func (c *Core) migrateForMemberAt(r *request, at time.Duration) {
	if r.memberMigrateAt != at {
		r.memberMigrateAt = at
		c.setTimer(at, r.id, timerMigrate)
	}
}

// deferMigration defers a migration that the policy asks for, and returns true, if the fleet has
// agreed to remove the member and to spread the migrations of all relays over a period. The policy
// asks only once, so the core must carry out a deferred migration.
func (c *Core) deferMigration(r *request) bool {
	// A member that is listed as draining drops its clients soon.
	if r.state != serving || r.member.listed.State != policy.Ready {
		return false
	}
	spread := c.fleetRemovals[r.member.Name].SpreadOver
	// An ejection by an operator of this relay takes effect at once.
	if !r.member.removed || c.ejections[r.member.Name] || spread <= 0 {
		return false
	}
	r.migrationDeferred, c.migrationsDeferred = true, true
	// Multiples of the golden ratio spread the flows of one relay evenly.
	part := math.Mod(float64(r.id-c.FirstID)*math.Phi, 1)
	c.migrateForMemberAt(r, max(c.Clock(), r.member.unavailableSince+time.Duration(part*float64(spread))))
	return true
}

// migrateIfUnavailable schedules the migration of a flow that was established after its member
// became unavailable. The policy asks for migrations only when the member becomes unavailable.
func (c *Core) migrateIfUnavailable(r *request) {
	if r.state == serving && r.member.unavailable && !c.deferMigration(r) {
		c.migrateForMemberAt(r, c.Clock())
	}
}

// updateDeferred adjusts the deferred migrations of a member whose state or removal has changed.
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

package core

import (
	"maps"
	"slices"
	"time"
)

// This file removes members: operators of this relay eject them, and the fleet agrees on removals.

// Removal is the removal of a member that the fleet has agreed on.
type Removal struct {
	SpreadOver time.Duration // the period over which the flows are migrated; 0: at once
	// Ejection is set if an operator ejected the member. By the time it is reinstated, the member may
	// be a new process, so it goes through slow start. Otherwise the member is being drained; if that
	// is revoked, it is not warmed up again.
	Ejection bool
}

// isRemoved reports whether an operator of this relay or the fleet has removed a member.
func (c *Core) isRemoved(name string) bool {
	_, agreed := c.fleetRemovals[name]
	return agreed || c.ejections[name]
}

// Eject stops all new attempts at a member, whatever discovery says of it, and migrates its flows.
func (c *Core) Eject(name string) {
	c.ejections[name] = true
	c.applyRemoval(name, false)
}

// Reinstate ends an ejection. The member may have been restarted since, so it goes through slow
// start, and the policy forgets what it has learned of it.
func (c *Core) Reinstate(name string) {
	delete(c.ejections, name)
	c.applyRemoval(name, false)
}

// SetEjections replaces the ejections by operators of this relay.
func (c *Core) SetEjections(names []string) {
	for _, name := range c.Ejected() {
		if !slices.Contains(names, name) {
			c.Reinstate(name)
		}
	}
	for _, name := range names {
		c.Eject(name)
	}
}

// Ejected returns the names of the members that operators of this relay have ejected, sorted.
func (c *Core) Ejected() []string { return slices.Sorted(maps.Keys(c.ejections)) }

// SetFleetRemovals replaces the removals that the fleet has agreed on. Ejections by operators of
// this relay are not affected.
func (c *Core) SetFleetRemovals(removals map[string]Removal) {
	previous := c.fleetRemovals
	c.fleetRemovals = maps.Clone(removals)
	for _, name := range slices.Sorted(maps.Keys(previous)) {
		if _, remains := removals[name]; !remains {
			c.applyRemoval(name, !previous[name].Ejection)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(removals)) {
		if old, existed := previous[name]; !existed || old != removals[name] {
			c.applyRemoval(name, false)
		}
	}
}

// applyRemoval removes or reinstates a member according to the current decisions, or changes how
// its flows are migrated. A reinstated member counts as just started, unless warm is set because a
// drain was revoked: if the member had restarted since, discovery would list a new start.
func (c *Core) applyRemoval(name string, warm bool) {
	m, removed := c.byName[name], c.isRemoved(name)
	switch {
	case m == nil || !m.removed && !removed:
		return
	case m.removed && removed: // still removed, but perhaps by another decision
		if c.migrationsDeferred {
			c.updateDeferred(m)
			c.scheduleTick()
		}
		return
	case removed:
		m.startedAtRemoval = m.listed.Started
	case !warm:
		m.reinstatedAt = c.Clock()
	}
	m.removed = removed
	c.notifyMemberChange(m)
}

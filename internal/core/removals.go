package core

import (
	"maps"
	"slices"
	"time"
)

// This file holds the removal of members: by this relay's operators, who eject them, and by agreement of the fleet.

// Removal is how the flows of a member that the fleet has agreed to remove are migrated.
type Removal struct {
	SpreadOver time.Duration // flows are migrated spread over this time; 0: at once
	// Ejection says that an operator ejected the member, which may be another process when it is reinstated.
	// Otherwise it is drained, and still warmed up if that is revoked.
	Ejection bool
}

// isRemoved reports whether an operator of this relay or the fleet has removed a member.
func (c *Core) isRemoved(name string) bool {
	_, agreed := c.fleetRemovals[name]
	return agreed || c.ejections[name]
}

// Eject has nothing new sent to a member, whatever discovery says of it, and its flows migrated.
func (c *Core) Eject(name string) {
	c.ejections[name] = true
	c.applyRemoval(name, false)
}

// Reinstate ends an ejection. The member may have been restarted meanwhile, so it goes through slow start, and what
// was learned of it before is dropped.
func (c *Core) Reinstate(name string) {
	delete(c.ejections, name)
	c.applyRemoval(name, false)
}

// SetEjections replaces the ejections of this relay's operators.
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

// Ejected is the members that this relay's own operators have ejected, in order.
func (c *Core) Ejected() []string { return slices.Sorted(maps.Keys(c.ejections)) }

// SetFleetRemovals replaces what the fleet has agreed on. Ejections by this relay's own operators stay.
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

// applyRemoval removes or reinstates a member as it is decided now, or changes how its flows are migrated. A
// reinstated member counts as just started, except after a revoked drain (warm): discovery would list a new start.
func (c *Core) applyRemoval(name string, warm bool) {
	m, removed := c.byName[name], c.isRemoved(name)
	switch {
	case m == nil || !m.removed && !removed:
		return
	case m.removed && removed: // still removed, maybe by another decision
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

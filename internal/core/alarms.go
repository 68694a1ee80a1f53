package core

import (
	"container/heap"
	"math"
	"time"

	"dahliarudder/policy"
)

// This file is what is due when.

// Tick does what is due.
func (c *Core) Tick() {
	now := c.Clock()
	c.armed = math.MaxInt64
	for len(c.alarms) > 0 && c.alarms[0].at <= now {
		a := heap.Pop(&c.alarms).(due)
		r := c.requests[a.id]
		switch {
		case a.try == feedDue:
			if f := c.feeds[a.id]; f != nil {
				f.due(now)
			}
		case r == nil:
		case a.try == moveFlow:
			if r.migrateAt == a.at || r.memberMigrateAt == a.at {
				c.move(r)
			}
		case a.try < 0 && !r.state.final():
			// The module answers before this; a client must not be left without.
			c.giveUp(r)
		case a.try >= 0 && r.state == attempting && c.current(a.id, a.try) != nil:
			r.downstream.Cancel(a.try)
			c.end(r, policy.Timeout, policy.NoReport)
		}
	}
	c.apply(c.facade.Tick(now))
}

// ---- Time ----

// These stand in an alarm in place of a try; -1 there is the deadline.
const (
	moveFlow = -2
	feedDue  = -3
)

func (c *Core) alarm(at time.Duration, id ID, try int) {
	heap.Push(&c.alarms, due{at, id, try})
}

// arm has Tick called when the next thing is due.
func (c *Core) arm() {
	next := time.Duration(math.MaxInt64)
	if at, ok := c.facade.Next(); ok {
		next = at
	}
	if len(c.alarms) > 0 {
		next = min(next, c.alarms[0].at)
	}
	if next != c.armed {
		c.armed = next
		c.Wake(next)
	}
}

type due struct {
	at  time.Duration
	id  ID
	try int
}

type alarms []due

func (a alarms) Len() int           { return len(a) }
func (a alarms) Less(i, j int) bool { return a[i].at < a[j].at }
func (a alarms) Swap(i, j int)      { a[i], a[j] = a[j], a[i] }
func (a *alarms) Push(x any)        { *a = append(*a, x.(due)) }
func (a *alarms) Pop() any {
	last := len(*a) - 1
	x := (*a)[last]
	*a = (*a)[:last]
	return x
}

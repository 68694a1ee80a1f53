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
	c.tickAt = math.MaxInt64
	for len(c.timers) > 0 && c.timers[0].at <= now {
		a := heap.Pop(&c.timers).(timer)
		r := c.requests[a.id]
		switch {
		case a.attempt == timerFeed:
			if f := c.feeds[a.id]; f != nil {
				f.onTimer(now)
			}
		case r == nil:
		case a.attempt == timerMigrate:
			if r.migrateAt == a.at || r.memberMigrateAt == a.at {
				c.migrate(r)
			}
		case a.attempt < 0 && !r.state.final():
			// The module answers before this; a client must not be left without.
			c.abort(r)
		case a.attempt >= 0 && r.state == attempting && c.currentAttempt(a.id, a.attempt) != nil:
			r.downstream.Cancel(a.attempt)
			c.endAttempt(r, policy.Timeout, policy.NoReport)
		}
	}
	c.apply(c.facade.Tick(now))
}

// ---- Time ----

// These stand in an alarm in place of a try; -1 there is the deadline.
const (
	timerMigrate = -2
	timerFeed    = -3
)

func (c *Core) setTimer(at time.Duration, id ID, try int) {
	heap.Push(&c.timers, timer{at, id, try})
}

// scheduleTick has Tick called when the next thing is due.
func (c *Core) scheduleTick() {
	next := time.Duration(math.MaxInt64)
	if at, ok := c.facade.Next(); ok {
		next = at
	}
	if len(c.timers) > 0 {
		next = min(next, c.timers[0].at)
	}
	if next != c.tickAt {
		c.tickAt = next
		c.Wake(next)
	}
}

type timer struct {
	at      time.Duration
	id      ID
	attempt int
}

type timerHeap []timer

func (a timerHeap) Len() int           { return len(a) }
func (a timerHeap) Less(i, j int) bool { return a[i].at < a[j].at }
func (a timerHeap) Swap(i, j int)      { a[i], a[j] = a[j], a[i] }
func (a *timerHeap) Push(x any)        { *a = append(*a, x.(timer)) }
func (a *timerHeap) Pop() any {
	last := len(*a) - 1
	x := (*a)[last]
	*a = (*a)[:last]
	return x
}

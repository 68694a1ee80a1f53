package core

import (
	"container/heap"
	"math"
	"time"

	"dahliarudder/policy"
)

// This file holds the timers of requests and feeds, and schedules calls of Tick.

// Values of timer.attempt for timers that do not end an attempt.
const (
	timerDeadline = -1 // the deadline of a request
	timerMigrate  = -2 // a scheduled migration of a flow
	timerFeed     = -3 // the timer of a feed
)

// timer is a timer of a request or a feed. Timers are not removed when they become obsolete: Tick
// checks whether they still apply.
type timer struct {
	at      time.Duration
	id      ID
	attempt int // the attempt that times out, or timerDeadline, timerMigrate or timerFeed
}

// Tick runs the timers that are due, including those of the policy.
func (c *Core) Tick() {
	now := c.Clock()
	c.tickAt = math.MaxInt64
	for len(c.timers) > 0 && c.timers[0].at <= now {
		t := heap.Pop(&c.timers).(timer)
		r := c.requests[t.id]
		switch {
		case t.attempt == timerFeed:
			if f := c.feeds[t.id]; f != nil {
				f.onTimer(now)
			}
		case r == nil:
		case t.attempt == timerMigrate:
			if r.migrateAt == t.at || r.memberMigrateAt == t.at {
				c.migrate(r)
			}
		case t.attempt < 0 && !r.state.final():
			// The policy answers before the deadline; if it has not, the request is answered here.
			c.abort(r)
		case t.attempt >= 0 && r.state == attempting && c.currentAttempt(t.id, t.attempt) != nil:
			r.downstream.Cancel(t.attempt)
			c.endAttempt(r, policy.Timeout, policy.NoReport)
		}
	}
	c.apply(c.facade.Tick(now))
}

func (c *Core) setTimer(at time.Duration, id ID, attempt int) {
	heap.Push(&c.timers, timer{at, id, attempt})
}

// scheduleTick calls Wake so that Tick is called when the next timer is due.
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

// timerHeap implements heap.Interface, with the earliest timer first.
type timerHeap []timer

func (h timerHeap) Len() int           { return len(h) }
func (h timerHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h timerHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *timerHeap) Push(x any)        { *h = append(*h, x.(timer)) }
func (h *timerHeap) Pop() any {
	last := len(*h) - 1
	x := (*h)[last]
	*h = (*h)[:last]
	return x
}

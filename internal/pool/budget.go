package pool

import "time"

// The protocol counts a change as told toldWithin after discovery had it and could be reached, whether or not it
// came, and what a call that waits has missed toldAfterWait after its wait. The steps below are what a watch takes
// of that in the worst order; docs/design/crossings.md, "The budget of a watch", adds them up, and TestBudget does.
const (
	toldWithin    = 6 * time.Second
	toldAfterWait = 2 * time.Second

	// watchWait is how long a call asks discovery to wait for news: the longest wait after which all of
	// toldAfterWait is left. A shorter one costs discovery more calls and brings nothing sooner.
	watchWait = toldWithin - toldAfterWait
	// lateAfter is how long after that wait an answer is taken for late. A second call is made then, on a connection
	// of its own; the first one stays, since it may only stand in a queue.
	lateAfter = toldAfterWait / 4
	// queueMost is how long the answer to a call that does not wait may take before a second one is made. Discovery
	// answers calls one after another and refuses at once what would stand too long; where that is 2 to 3 s (three
	// sites), a call that was taken in has its answer by then or shortly after.
	queueMost = toldAfterWait
	// patience is how long after its wait a call is given up. Sooner, the relay would leave a queue in which it has
	// stood for nothing, and discovery would answer nobody.
	patience = 2 * toldAfterWait
	// dialWithin is how long a connection to discovery may take: a packet that is lost leaves time for a second one.
	dialWithin = toldAfterWait / 4
	// After calls have failed the next one comes after a pause that is drawn between the half and the whole of a
	// span, so that relays which failed together come back spread out. The span doubles from the first to the most.
	pauseFirst = 250 * time.Millisecond
	pauseMost  = time.Second
)

// pause is how long to wait before the next call when so many have failed in a row; random is from 0 to 1.
func pause(failures int, random float64) time.Duration {
	span := pauseFirst
	for i := 1; i < failures && span < pauseMost; i++ {
		span *= 2
	}
	span = min(span, pauseMost)
	return span/2 + time.Duration(random*float64(span/2))
}

// firstWithin is the time over which the first calls of processes that start together are spread. A change that
// discovery had before a process started counts as told by the same 6 s; half of them is left for a crowd's queue.
const firstWithin = toldWithin / 2

// FirstBy is when a watch is begun at the latest; random draws from 0 to 1. A relay has to ask within askWithin anyway.
func FirstBy(askWithin time.Duration, random func() float64) time.Duration {
	return time.Duration(random() * float64(min(firstWithin, askWithin/2)))
}

// Descriptors is how many a watch may hold: two calls, and what has ended and lingers of those before, of which the
// pauses let no more than six come in the second that they linger for.
const Descriptors = 8

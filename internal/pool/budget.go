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
	// queueAfterRefusal is the same after discovery has refused a call: it is up then, and full. The longest queue of three
	// sites lets a call stand for 3 s, half of toldWithin. A second call beside one that stands so long would be refused,
	// and discovery may fail the first one with it: 17 of 32 relays had none for 9 to 22 s (throng+brink, ferry-boarding).
	queueAfterRefusal = toldWithin/2 + lateAfter/2
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

// timing is how long the steps of a call may take that does not wait for news.
type timing struct {
	dial       time.Duration // until its connection stands
	answer     time.Duration // until its answer is late
	refused    time.Duration // the same where the call before was refused
	giveUp     time.Duration // until it is given up
	pauseFirst time.Duration // the span of the pause after the first failure
	pauseMost  time.Duration // and after many
}

// asking is where discovery is asked: it is one service for all relays, with a queue.
var asking = timing{dial: dialWithin, answer: queueMost, refused: queueAfterRefusal, giveUp: patience, pauseFirst: pauseFirst, pauseMost: pauseMost}

// pushing is where lists are pushed. An agent of the relay's own has them, and what it has counts as told at once, also as
// it comes back after an outage. From then on there is the grace for sends that were under way: in the worst order the
// last step before its return was swallowed, so a step and a pause have to take less than that together.
func pushing(grace time.Duration) timing {
	step := grace / 4
	return timing{dial: step, answer: step, refused: step, giveUp: step, pauseFirst: step, pauseMost: step}
}

// pause is how long to wait before the next call when so many have failed in a row; random is from 0 to 1.
func (t timing) pause(failures int, random float64) time.Duration {
	span := t.pauseFirst
	for i := 1; i < failures && span < t.pauseMost; i++ {
		span *= 2
	}
	span = min(span, t.pauseMost)
	return span/2 + time.Duration(random*float64(span/2))
}

// firstWithin is the time over which the first calls of processes that start together are spread. A change that
// discovery had before a process started counts as told by the same 6 s; half of them is left for a crowd's queue.
const firstWithin = toldWithin / 2

// InitialDelay is when a watch is begun at the latest; random draws from 0 to 1. A relay has to ask within askWithin anyway.
func InitialDelay(askWithin time.Duration, random func() float64) time.Duration {
	return time.Duration(random() * float64(min(firstWithin, askWithin/2)))
}

// MaxDescriptors is how many a watch may hold: two calls, and what has ended and lingers of those before, of which the
// pauses let no more than six come in the second that they linger for.
const MaxDescriptors = 8

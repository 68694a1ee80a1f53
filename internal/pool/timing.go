package pool

import "time"

// The protocol counts a change as delivered deliveryDeadline after discovery had it and could be reached, whether or not
// it came, and what a long poll has missed deliveryAfterWait after its wait. The steps below are what a watch takes of that
// in the worst order; docs/design/crossings.md, "The budget of a watch", adds them up, and TestDeliveryBudget does.
const (
	deliveryDeadline  = 6 * time.Second
	deliveryAfterWait = 2 * time.Second

	// longPollWait is how long a poll asks discovery to wait for a change: the longest wait after which all of
	// deliveryAfterWait is left. A shorter one costs discovery more polls and brings nothing sooner.
	longPollWait = deliveryDeadline - deliveryAfterWait
	// overdueMargin is how long after that wait an answer is taken to be overdue. A second poll is sent then, on a connection
	// of its own; the first one goes on, since it may only stand in discovery's queue.
	overdueMargin = deliveryAfterWait / 4
	// maxQueueTime is how long the answer to an immediate poll may take before a second one is sent. Discovery answers
	// polls one after another and rejects at once what would queue for too long; where that is 2 to 3 s (three sites), a
	// poll that was accepted has its answer by then or shortly after.
	maxQueueTime = deliveryAfterWait
	// maxQueueTimeAfterRejection is the same after discovery has rejected a poll: it is up then, and overloaded. The longest
	// queue of three sites lets a poll stand for 3 s, half of deliveryDeadline. A second poll beside one that stands so long
	// would be rejected, and discovery may fail the first one with it: 17 of 32 relays had none for 9 to 22 s
	// (throng+brink, ferry-boarding).
	maxQueueTimeAfterRejection = deliveryDeadline/2 + overdueMargin/2
	// abandonMargin is how long after its wait a poll is abandoned. Sooner, the relay would leave a queue in which it has
	// stood for nothing, and discovery would answer nobody.
	abandonMargin = 2 * deliveryAfterWait
	// dialTimeout is how long a connection to discovery may take: a lost packet leaves time for a second one.
	dialTimeout = deliveryAfterWait / 4
	// After failures the next poll comes after a backoff that is drawn between the half and the whole of a span, so that
	// relays which failed together come back spread out. The span doubles from the initial one to the longest.
	initialBackoff = 250 * time.Millisecond
	maxBackoff     = time.Second
)

// timing is the timeouts of an immediate poll and the backoffs after failures.
type timing struct {
	dial                 time.Duration // until the connection is established
	answer               time.Duration // until the answer is overdue
	answerAfterRejection time.Duration // the same if the last poll was rejected
	abandon              time.Duration // until the poll is abandoned
	initialBackoff       time.Duration // the span of the backoff after the first failure
	maxBackoff           time.Duration // and after many
}

// pollTiming is for polls of discovery itself: it is one service for all relays, with a queue.
var pollTiming = timing{dial: dialTimeout, answer: maxQueueTime, answerAfterRejection: maxQueueTimeAfterRejection, abandon: abandonMargin,
	initialBackoff: initialBackoff, maxBackoff: maxBackoff}

// pushTiming is for polls of an agent of the relay's own, to which lists are pushed. What the agent has counts as delivered
// at once, also when it comes back after an outage. From then on there is the grace for sends that were under way: in the
// worst order the last step before its return was swallowed, so a step and a backoff have to take less than that together.
func pushTiming(grace time.Duration) timing {
	step := grace / 4
	return timing{dial: step, answer: step, answerAfterRejection: step, abandon: step, initialBackoff: step, maxBackoff: step}
}

// backoff is how long to wait before the next poll after so many failures in a row; random is from 0 to 1.
func (t timing) backoff(failures int, random float64) time.Duration {
	span := t.initialBackoff
	for i := 1; i < failures && span < t.maxBackoff; i++ {
		span *= 2
	}
	span = min(span, t.maxBackoff)
	return span/2 + time.Duration(random*float64(span/2))
}

// maxInitialDelay is the time over which the first polls of processes that start together are spread. A change that
// discovery had before a process started counts as delivered by the same deadline; half of that is left for a crowd's queue.
const maxInitialDelay = deliveryDeadline / 2

// InitialDelay is when a watch is started at the latest; random draws from 0 to 1. The relay has to poll within deadline anyway.
func InitialDelay(deadline time.Duration, random func() float64) time.Duration {
	return time.Duration(random() * float64(min(maxInitialDelay, deadline/2)))
}

// MaxDescriptors is how many a watch may use: two polls, and the ended connections that linger, of which the backoffs let
// no more than six come in the second that they linger for.
const MaxDescriptors = 8

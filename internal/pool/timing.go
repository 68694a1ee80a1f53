package pool

import "time"

// The protocol counts a change as delivered deliveryDeadline after discovery had the change and was
// reachable, whether or not the relay received it. A change that a long poll has missed counts as
// delivered deliveryAfterWait after the poll's wait. The constants below split that time between the
// steps of a watch in the worst order; docs/design/crossings.md, "The budget of a watch", adds them
// up, and TestDeliveryBudget checks the sums.
const (
	deliveryDeadline  = 6 * time.Second
	deliveryAfterWait = 2 * time.Second

	// longPollWait is how long a poll asks discovery to wait for a change: the longest wait that
	// leaves all of deliveryAfterWait. With a shorter wait, discovery would get more polls and no
	// change would arrive sooner.
	longPollWait = deliveryDeadline - deliveryAfterWait
	// overdueMargin is how long after that wait an answer becomes overdue. Then a second poll is sent
	// on a connection of its own. The first one continues, since it may just be waiting in
	// discovery's queue.
	overdueMargin = deliveryAfterWait / 4
	// maxQueueTime is how long the answer to an immediate poll may take before a second poll is sent.
	// Discovery answers polls one after another and rejects at once those that would queue for too
	// long. Where that limit is 2 to 3 s (three sites), an accepted poll is answered by then or
	// shortly after.
	maxQueueTime = deliveryAfterWait
	// maxQueueTimeAfterRejection is the same after discovery has rejected a poll: discovery is up
	// then, and overloaded. The longest queue of three sites delays a poll by 3 s, half of
	// deliveryDeadline. A second poll beside a queued one would be rejected, and discovery may then
	// fail the first one too, which left 17 of 32 relays without an answer for 9 to 22 s (scenarios
	// throng+brink and ferry-boarding).
	maxQueueTimeAfterRejection = deliveryDeadline/2 + overdueMargin/2
	// abandonMargin is how long after its wait a poll is abandoned. If polls were abandoned sooner,
	// they would leave discovery's queue before their answer, and discovery would answer no relay.
	abandonMargin = 2 * deliveryAfterWait
	// dialTimeout is how long connecting to discovery may take. After the loss of a packet there is
	// time left for a second attempt.
	dialTimeout = deliveryAfterWait / 4
	// After a failure, the backoff before the next poll is a random duration from half a span to the
	// whole span, so that relays that failed together do not return together. The span doubles with
	// each failure, from initialBackoff to maxBackoff.
	initialBackoff = 250 * time.Millisecond
	maxBackoff     = time.Second
)

// timing holds the timeouts of an immediate poll and the backoff spans.
type timing struct {
	dial                 time.Duration // until the connection is established
	answer               time.Duration // until the answer is overdue
	answerAfterRejection time.Duration // the same if the last poll was rejected
	abandon              time.Duration // until the poll is abandoned
	initialBackoff       time.Duration // span of the backoff after the first failure
	maxBackoff           time.Duration // maximum span
}

// pollTiming applies to polls of discovery itself: one service with a queue for all relays.
var pollTiming = timing{dial: dialTimeout, answer: maxQueueTime, answerAfterRejection: maxQueueTimeAfterRejection, abandon: abandonMargin,
	initialBackoff: initialBackoff, maxBackoff: maxBackoff}

// pushTiming applies to polls of a local agent to which discovery pushes lists. A change counts as
// delivered as soon as the agent has it, also when the agent returns after an outage. From then on the
// grace applies, the time for sends that were already in progress. In the worst case, the dial or poll
// that was in progress when the agent returned is lost: it takes one step to time out, and one backoff
// passes before the next poll. The two together must therefore be shorter than the grace.
func pushTiming(grace time.Duration) timing {
	step := grace / 4
	return timing{dial: step, answer: step, answerAfterRejection: step, abandon: step, initialBackoff: step, maxBackoff: step}
}

// backoff returns how long to wait before the next poll after the given number of consecutive
// failures. Random is in [0, 1].
func (t timing) backoff(failures int, random float64) time.Duration {
	span := t.initialBackoff
	for i := 1; i < failures && span < t.maxBackoff; i++ {
		span *= 2
	}
	span = min(span, t.maxBackoff)
	return span/2 + time.Duration(random*float64(span/2))
}

// maxInitialDelay is the time over which the first polls of processes that start together are spread.
// A change that discovery had before a process started counts as delivered by the same deadline. The
// other half of that deadline is left for the queue that many starting relays cause.
const maxInitialDelay = deliveryDeadline / 2

// InitialDelay returns the random delay after which a process starts its watch, unless it has started
// it earlier. The parameter deadline is the time within which the relay must poll anyway; random
// returns a value in [0, 1].
func InitialDelay(deadline time.Duration, random func() float64) time.Duration {
	return time.Duration(random() * float64(min(maxInitialDelay, deadline/2)))
}

// MaxDescriptors is the maximum number of file descriptors of a watch: two polls, and the closed
// connections that linger for a second each. The backoffs allow at most six of those.
const MaxDescriptors = 8

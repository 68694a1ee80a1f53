package scenario

import "time"

// Rules holds the limits that a judge checks relays against.
type Rules struct {
	MaxAttempts    int           // per request
	AnswerSlack    time.Duration // how long after the deadline an answer may arrive
	DrainGrace     time.Duration // how long a relay may use a member after it learned that the member drains
	SlowStart      SlowStart     // of members
	OverloadFactor float64       // a member in slow start fails beyond this multiple of its capacity
	OverloadWindow time.Duration // period over which a member's work is summed
}

// SlowStart is the ramp of a member's capacity after its start.
type SlowStart struct {
	From float64       // fraction of the full capacity at the start
	For  time.Duration // time until full capacity; 0: full capacity at once
}

// Share returns the fraction of its full capacity that a member of the given age has.
func (s SlowStart) Share(age time.Duration) float64 {
	if s.For <= 0 || age >= s.For {
		return 1
	}
	return s.From + (1-s.From)*age.Seconds()/s.For.Seconds()
}

// Rule is a rule that a relay can break. Its value is the rule's name in printed and stored results.
type Rule string

// The rules. Stored results contain the names, which must therefore not change.
const (
	MultipleAnswers Rule = "more than one final answer"
	// NoAnswer is broken if the final answer is missing or late.
	NoAnswer Rule = "no final answer"
	// ForgedAnswer is also broken by an attempt for which there is no request of a client.
	ForgedAnswer Rule = "an answer that no member made"
	// ConcurrentAttempts is broken if two attempts of one request are in flight at the same time.
	ConcurrentAttempts Rule = "two attempts of one request out"
	TooManyAttempts    Rule = "more attempts than the limit"
	// SentToDraining is broken by a new attempt at a draining member after Rules.DrainGrace.
	SentToDraining Rule = "something new to a draining member"
	// OverloadedInSlowStart is broken if the relays overload a member in slow start.
	OverloadedInSlowStart Rule = "a cold member overdriven"
	// FlowCutOff is broken if a flow ends at its client without MOVE or BYE and not because its member ended it.
	FlowCutOff Rule = "a client cut off without MOVE"
	// FlowStalled is broken if a line of a client is not answered within maxFlowSilence.
	FlowStalled Rule = "a client left waiting on a flow that has stopped"
	// RelayCrash is broken if a relay's process ends without a fault that explains it, or does not start.
	RelayCrash Rule = "a relay ended by itself"
	// SentForGoneClient is broken by an attempt later than maxAfterClientGone after its client left.
	SentForGoneClient Rule = "an attempt for a client that has gone"
	// DisallowedRepeat is broken by a further attempt that the request's Effect does not allow.
	DisallowedRepeat Rule = "run again though its effect or its window does not allow it"
	// WrongRejection is broken by the answer BUSY to a non-idempotent request that may have run.
	WrongRejection Rule = "refused though it may have run"
	NotReadyInTime Rule = "a relay not ready in time"
	// DescriptorLeak is broken if a relay has more open file descriptors after its clients than before.
	DescriptorLeak  Rule = "descriptors that were not given back"
	MemoryOverLimit Rule = "a relay over its limit of memory"
)

// Limits that the protocol sets, apart from Rules.
const (
	// maxFlowSilence is how long a line of a client may stay unanswered before the flow counts as
	// stalled.
	maxFlowSilence = 7 * time.Second
	// socketTolerance is added to each time limit, since events are observed at different sockets.
	socketTolerance = 50 * time.Millisecond
	// maxAfterClientGone is how long after its client has left an attempt may still start.
	maxAfterClientGone = 100 * time.Millisecond
	// One start in ten may take longer than usualReadyTime until the relay is ready, none may take
	// longer than maxReadyTime.
	usualReadyTime, maxReadyTime = 10 * time.Second, 30 * time.Second
	// simultaneousWindow is the largest difference between the end of a flow at the client and its
	// end at the member for which the judge cannot determine which of them came first.
	simultaneousWindow = 250 * time.Millisecond
)

// Violation is a rule that a relay broke.
type Violation struct {
	At    time.Duration `json:"at_ns"`
	Rule  Rule          `json:"rule"`
	Relay string        `json:"relay"`
	What  string        `json:"what"`
}

// Effect says whether requests of a class may be repeated after an attempt that may have run.
type Effect struct {
	Kind   EffectKind
	Window time.Duration // of the idempotency key, if Kind is IdempotencyKey
}

// EffectKind says when a request may be repeated after an attempt that may have run.
type EffectKind int

// The kinds of effects.
const (
	Idempotent     EffectKind = iota // at any time
	IdempotencyKey                   // within the window of its idempotency key
	NonIdempotent                    // never
)

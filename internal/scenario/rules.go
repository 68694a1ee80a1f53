package scenario

import "time"

// Rules are the figures that a judge holds relays to.
type Rules struct {
	MaxAttempts    int           // of one request
	AnswerSlack    time.Duration // how far beyond the deadline an answer may come
	DrainGrace     time.Duration // for how long a relay may still use a member after it was notified that the member drains
	SlowStart      SlowStart     // of members
	OverloadFactor float64       // the multiple of its capacity that brings a member down
	OverloadWindow time.Duration // over which the work is summed
}

// SlowStart is the ramp of a member's capacity after its start.
type SlowStart struct {
	From float64       // part of the full capacity at the start
	For  time.Duration // until full capacity; 0: at once
}

// Share is the part of its full capacity that a member has at an age.
func (s SlowStart) Share(age time.Duration) float64 {
	if s.For <= 0 || age >= s.For {
		return 1
	}
	return s.From + (1-s.From)*age.Seconds()/s.For.Seconds()
}

// Rule is a rule that a relay can break, by the name that results print.
type Rule string

// The rules.
const (
	MultipleAnswers       Rule = "more than one final answer"
	NoAnswer              Rule = "no final answer"
	ForgedAnswer          Rule = "an answer that no member made"
	ConcurrentAttempts    Rule = "two attempts of one request out"
	TooManyAttempts       Rule = "more attempts than the limit"
	SentToDraining        Rule = "something new to a draining member"
	OverloadedInSlowStart Rule = "a cold member overdriven"
	FlowCutOff            Rule = "a client cut off without MOVE"
	FlowStalled           Rule = "a client left waiting on a flow that has stopped"
	RelayCrash            Rule = "a relay ended by itself"
	SentForGoneClient     Rule = "an attempt for a client that has gone"
	DisallowedRepeat      Rule = "run again though its effect or its window does not allow it"
	WrongRejection        Rule = "refused though it may have run"
	NotReadyInTime        Rule = "a relay not ready in time"
	DescriptorLeak        Rule = "descriptors that were not given back"
	MemoryOverLimit       Rule = "a relay over its limit of memory"
)

// Limits that the protocol sets, apart from Rules.
const (
	// maxFlowSilence is how long a flow may bring nothing back from a running member.
	maxFlowSilence = 7 * time.Second
	// socketTolerance is added to each limit that is measured at sockets.
	socketTolerance = 50 * time.Millisecond
	// maxAfterClientGone is how long after its client has gone an attempt may still begin.
	maxAfterClientGone = 100 * time.Millisecond
	// One start in ten may take longer than usualReadyTime until the relay is ready, and none longer than maxReadyTime.
	usualReadyTime, maxReadyTime = 10 * time.Second, 30 * time.Second
	// simultaneousWindow: of two ends of one flow that were seen within it, either may have come first.
	simultaneousWindow = 250 * time.Millisecond
)

// Violation is a rule that a relay broke.
type Violation struct {
	At    time.Duration `json:"at_ns"`
	Rule  Rule          `json:"rule"`
	Relay string        `json:"relay"`
	What  string        `json:"what"`
}

// Effect is what a class of requests allows.
type Effect struct {
	Kind   EffectKind
	Window time.Duration // of IdempotencyKey
}

// EffectKind says when a request may be repeated.
type EffectKind int

// The kinds of effects.
const (
	Idempotent     EffectKind = iota // at any time
	IdempotencyKey                   // within the window of its idempotency key
	NonIdempotent                    // never
)

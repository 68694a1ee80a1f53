package line

import "dahliarudder/policy"

// attemptState is how far an attempt, and the open flow that it becomes, has come.
type attemptState int

const (
	attemptDialing   attemptState = iota // its connection is being set up
	attemptConnected                     // its connection stands, the first line is not written
	attemptAsked                         // the first line is written, no answer has come
	attemptUp                            // the flow is open
	attemptSaidBye                       // the flow is open, and the member has said BYE
	attemptSaidMove                      // the flow is open, and the member has said MOVE
	attemptFinished                      // it is answered, has ended or is abandoned
)

// attemptEvent is what may happen to an attempt.
type attemptEvent int

const (
	attemptComesUp   attemptEvent = iota // its connection stands
	attemptAsks                          // the first line is written
	attemptSaysUp                        // UP came
	attemptSaysBusy                      // BUSY came
	attemptSaysBye                       // BYE came, as the answer or on the open flow
	attemptSaysMove                      // MOVE came, likewise
	attemptSaysOther                     // any other answer came, or something that is no line
	attemptUnmade                        // the relay has no means for a connection, or may not use it
	attemptUnwritten                     // its connection broke before the first line had left
	attemptBroke                         // its connection ended or broke after that
	attemptAbandoned                     // nothing is waited for any more
)

// next is the one place that says how events lead from state to state. Ended says that the attempt has the result from now on.
func (s attemptState) next(e attemptEvent) (next attemptState, result policy.Result, ended bool) {
	switch s {
	case attemptDialing, attemptConnected, attemptAsked:
		return s.nextAnswer(e)
	case attemptUp, attemptSaidBye, attemptSaidMove:
		return s.nextOpen(e)
	}
	return s, 0, false
}

// nextAnswer is next before the flow is open.
func (s attemptState) nextAnswer(e attemptEvent) (attemptState, policy.Result, bool) {
	switch e {
	case attemptComesUp:
		return attemptConnected, 0, false
	case attemptAsks:
		return attemptAsked, 0, false
	case attemptSaysUp:
		return attemptUp, 0, false
	case attemptSaysBusy:
		return attemptFinished, policy.Full, true
	case attemptSaysBye:
		return attemptFinished, policy.OK, true
	case attemptSaysMove:
		return attemptFinished, policy.Cancelled, true
	case attemptSaysOther:
		return attemptFinished, policy.Error, true
	case attemptUnmade: // not the member's failure
		return attemptFinished, policy.NotSent, true
	case attemptUnwritten:
		return attemptFinished, policy.ConnectFailed, true
	case attemptBroke:
		return attemptFinished, policy.Reset, true
	case attemptAbandoned:
		return attemptFinished, policy.Cancelled, true
	}
	return s, 0, false
}

// nextOpen is next on an open flow.
func (s attemptState) nextOpen(e attemptEvent) (attemptState, policy.Result, bool) {
	switch e {
	case attemptSaysBye:
		return attemptSaidBye, 0, false
	case attemptSaysMove:
		return attemptSaidMove, 0, false
	case attemptAbandoned:
		return attemptFinished, policy.Cancelled, true
	case attemptUnmade, attemptUnwritten, attemptBroke:
		return attemptFinished, s.parting(), true
	}
	return s, 0, false
}

// parting is the result of an open flow that the member ends now.
func (s attemptState) parting() policy.Result {
	switch s {
	case attemptSaidBye:
		return policy.OK
	case attemptSaidMove:
		return policy.Cancelled
	}
	return policy.Reset
}

// isUnasked says that nothing has been sent to the member.
func (s attemptState) isUnasked() bool { return s == attemptDialing || s == attemptConnected }

// isOpen says that the flow is open.
func (s attemptState) isOpen() bool {
	return s == attemptUp || s == attemptSaidBye || s == attemptSaidMove
}

// lastWord is the line by which the member has parted, and saying the state of an open flow by it.
func (s attemptState) lastWord() string {
	switch s {
	case attemptSaidBye:
		return "BYE"
	case attemptSaidMove:
		return "MOVE"
	}
	return ""
}

func saying(lastWord string) attemptState {
	switch lastWord {
	case "BYE":
		return attemptSaidBye
	case "MOVE":
		return attemptSaidMove
	}
	return attemptUp
}

package line

import "dahliarudder/policy"

// attemptState is the state of an attempt, and of the open flow that it becomes.
type attemptState int

const (
	attemptDialing   attemptState = iota // its connection is being set up
	attemptConnected                     // its connection is open, the first line is not written
	attemptSent                          // the first line is written, no answer has come
	attemptOpen                          // the flow is open
	attemptGotBye                        // the flow is open, and the member has sent BYE
	attemptGotMove                       // the flow is open, and the member has sent MOVE
	attemptFinished                      // it is answered, closed or abandoned
)

// attemptEvent is an event of an attempt.
type attemptEvent int

const (
	eventConnected        attemptEvent = iota // its connection is open
	eventOpenSent                             // the first line is written
	eventUp                                   // UP came
	eventBusy                                 // BUSY came
	eventBye                                  // BYE came, as the answer or on the open flow
	eventMove                                 // MOVE came, likewise
	eventUnexpectedAnswer                     // any other answer came, or no valid line
	eventNoConnection                         // the relay is short of descriptors or memory, or may not use the connection
	eventConnLostUnsent                       // its connection was lost before the first line was sent
	eventConnLost                             // its connection was closed or lost after that
	eventAbandoned                            // its answer is no longer awaited
)

// next is the transition function. ended reports that the attempt is finished by this event, with the result.
func (s attemptState) next(e attemptEvent) (next attemptState, result policy.Result, ended bool) {
	switch s {
	case attemptDialing, attemptConnected, attemptSent:
		return s.nextAnswer(e)
	case attemptOpen, attemptGotBye, attemptGotMove:
		return s.nextOpen(e)
	}
	return s, 0, false
}

// nextAnswer is next before the flow is open.
func (s attemptState) nextAnswer(e attemptEvent) (attemptState, policy.Result, bool) {
	switch e {
	case eventConnected:
		return attemptConnected, 0, false
	case eventOpenSent:
		return attemptSent, 0, false
	case eventUp:
		return attemptOpen, 0, false
	case eventBusy:
		return attemptFinished, policy.Full, true
	case eventBye:
		return attemptFinished, policy.OK, true
	case eventMove:
		return attemptFinished, policy.Cancelled, true
	case eventUnexpectedAnswer:
		return attemptFinished, policy.Error, true
	case eventNoConnection: // not the member's failure
		return attemptFinished, policy.NotSent, true
	case eventConnLostUnsent:
		return attemptFinished, policy.ConnectFailed, true
	case eventConnLost:
		return attemptFinished, policy.Reset, true
	case eventAbandoned:
		return attemptFinished, policy.Cancelled, true
	}
	return s, 0, false
}

// nextOpen is next on an open flow.
func (s attemptState) nextOpen(e attemptEvent) (attemptState, policy.Result, bool) {
	switch e {
	case eventBye:
		return attemptGotBye, 0, false
	case eventMove:
		return attemptGotMove, 0, false
	case eventAbandoned:
		return attemptFinished, policy.Cancelled, true
	case eventNoConnection, eventConnLostUnsent, eventConnLost:
		return attemptFinished, s.closeResult(), true
	}
	return s, 0, false
}

// closeResult is the result of an open flow whose connection the member closes in this state.
func (s attemptState) closeResult() policy.Result {
	switch s {
	case attemptGotBye:
		return policy.OK
	case attemptGotMove:
		return policy.Cancelled
	}
	return policy.Reset
}

// isUnsent reports whether nothing has been sent to the member.
func (s attemptState) isUnsent() bool { return s == attemptDialing || s == attemptConnected }

// isOpen reports whether the flow is open.
func (s attemptState) isOpen() bool {
	return s == attemptOpen || s == attemptGotBye || s == attemptGotMove
}

// finalCommand is the command, BYE or MOVE, by which the member has announced the flow's end; empty if it has not.
func (s attemptState) finalCommand() string {
	switch s {
	case attemptGotBye:
		return commandBye
	case attemptGotMove:
		return commandMove
	}
	return ""
}

// openStateAfter is the state of an open flow on which that final command has come; the inverse of finalCommand.
func openStateAfter(command string) attemptState {
	switch command {
	case commandBye:
		return attemptGotBye
	case commandMove:
		return attemptGotMove
	}
	return attemptOpen
}

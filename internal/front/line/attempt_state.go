package line

import "dahliarudder/policy"

// attemptState is the state of an attempt and of the open flow that results from it.
type attemptState int

const (
	attemptDialing   attemptState = iota // the connection is being set up
	attemptConnected                     // the connection is open, the first line is not written
	attemptSent                          // the first line is written, no answer has arrived
	attemptOpen                          // the flow is open
	attemptGotBye                        // the flow is open, and the member has sent BYE
	attemptGotMove                       // the flow is open, and the member has sent MOVE
	attemptFinished                      // the attempt is answered, closed or abandoned
)

// attemptEvent is an event of an attempt.
type attemptEvent int

const (
	eventConnected        attemptEvent = iota // the connection is open
	eventOpenSent                             // the first line is written
	eventUp                                   // the member answered UP
	eventBusy                                 // the member answered BUSY
	eventBye                                  // the member sent BYE, as its answer or on the open flow
	eventMove                                 // the member sent MOVE, as its answer or on the open flow
	eventUnexpectedAnswer                     // the member answered something else or a malformed line
	// eventNoConnection: the relay is short of descriptors or memory, or may not use the connection.
	eventNoConnection
	eventConnLostUnsent // the connection was lost before the first line was sent completely
	eventConnLost       // the connection was closed or lost after that
	eventAbandoned      // the answer is no longer needed
)

// next returns the state after an event. ended is true if the event finishes the attempt, and
// result is then its result.
func (s attemptState) next(e attemptEvent) (next attemptState, result policy.Result, ended bool) {
	switch s {
	case attemptDialing, attemptConnected, attemptSent:
		return s.nextAnswer(e)
	case attemptOpen, attemptGotBye, attemptGotMove:
		return s.nextOpen(e)
	}
	return s, 0, false
}

// nextAnswer is next for the states before the flow is open.
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
	case eventNoConnection: // not a failure of the member
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

// nextOpen is next for the states of an open flow.
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

// closeResult returns the result of an open flow if the member closes its connection in this state.
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

// finalCommand returns the command, BYE or MOVE, with which the member has announced the end of the
// flow, or "" if it has not.
func (s attemptState) finalCommand() string {
	switch s {
	case attemptGotBye:
		return commandBye
	case attemptGotMove:
		return commandMove
	}
	return ""
}

// openStateAfter returns the state of an open flow on which the given final command, if any, has
// arrived. It is the inverse of finalCommand.
func openStateAfter(command string) attemptState {
	switch command {
	case commandBye:
		return attemptGotBye
	case commandMove:
		return attemptGotMove
	}
	return attemptOpen
}

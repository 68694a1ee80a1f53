package line

// clientState is what a client connection waits for.
type clientState int

const (
	clientNew      clientState = iota // for its first line; nothing but parts of one has come
	clientResting                     // for its first line; it has been answered PONG
	clientPlacing                     // for the final answer to its request, which is held or of which an attempt is out
	clientOpen                        // for nothing: its flow is open, and the client stands between two lines
	clientMidLine                     // for the rest of a line of which the member has sent a part
	clientMoving                      // for the same, after which MOVE is put
	clientDraining                    // for room for what the member has sent, which has ended
	clientParting                     // for room for what the client has sent, which has ended
	clientClosed                      // for nothing more; its connection is ended
)

// clientEvent is what may happen to a client connection.
type clientEvent int

const (
	clientPinged      clientEvent = iota // PING came as a first line
	clientLineBegun                      // a part of a first line came
	clientAsked                          // OPEN came as a first line
	clientMalformed                      // something else did
	clientTimedOut                       // the time of the state is up
	clientShed                           // its descriptor is wanted
	clientStopped                        // the relay ends
	clientUp                             // an attempt came up
	clientServed                         // an attempt was served to its end without coming up
	clientRejected                       // the core rejects the request
	clientFailed                         // the core fails it
	clientAbandoned                      // an attempt is abandoned
	clientLinePart                       // a part of a line of the member's has passed, not its end
	clientLineEnd                        // the end of one has
	clientMoveAsked                      // the client is to come again
	clientEnded                          // the client has ended its sending
	clientEndedUnread                    // the client has ended its sending, and something of it has had no room yet
	clientDrained                        // nothing of the client's waits for room
	clientReset                          // the client's connection has broken
	memberEnded                          // the member has ended its sending, on an open flow
	memberEndedUnread                    // the member has ended its sending, and something of it has had no room yet
	memberDrained                        // nothing of the member's waits for room
	memberReset                          // the member's connection has broken, of an open flow
)

// clientAction is what is to be done as an event happens.
type clientAction int

const (
	doNothing      clientAction = iota
	sendPong                    // answer PING, and wait for the first line anew
	awaitFirstLine              // wait for the rest of the first line, for so long as firstWithin
	placeRequest                // hand the request to the core
	sendError                   // answer ERR and end
	sendBusy                    // answer BUSY and end
	openFlow                    // pass on what the client has sent early; the member's UP has gone to it
	endClient                   // end the client's side politely
	resetClient                 // end the client's side by a reset
	leaveRequest                // tell the core that the client has left, answer it in case it still reads, and end its side
	leaveFlow                   // the same, and end the member's side politely
	leaveFlowHard               // the same, and end the member's side by a reset
	leaveDraining               // tell the core that the client has left, and wait for room, for so long as MoveWithin
	awaitLineEnd                // wait for the end of the line, for so long as MoveWithin
	sendMove                    // put MOVE and end both sides
	endBothSides                // end both sides politely
	drain                       // wait for room, for so long as endedAfter
	endAttempt                  // end the client's side politely, and tell the core how the flow has ended
)

// awaitsFirstLine says that no request has come.
func (s clientState) awaitsFirstLine() bool { return s == clientNew || s == clientResting }

// isOpen says that bytes pass between client and member.
func (s clientState) isOpen() bool {
	return s == clientOpen || s == clientMidLine || s == clientMoving
}

// stays says that the flow is open and nothing asks for its end.
func (s clientState) stays() bool { return s == clientOpen || s == clientMidLine }

// openState is the state of an open flow of which a part of a line has passed, or none.
func openState(midLine bool) clientState {
	if midLine {
		return clientMidLine
	}
	return clientOpen
}

// next is the one place that says how events lead from state to state. An event that a state has no use for changes nothing.
func (s clientState) next(e clientEvent) (clientState, clientAction) {
	switch s {
	case clientNew, clientResting:
		return s.nextFirstLine(e)
	case clientPlacing:
		return s.nextPlacing(e)
	case clientOpen, clientMidLine, clientMoving:
		return s.nextOpen(e)
	case clientDraining:
		return s.nextDraining(e)
	case clientParting:
		return s.nextParting(e)
	}
	return s, doNothing
}

func (s clientState) nextFirstLine(e clientEvent) (clientState, clientAction) {
	switch e {
	case clientPinged:
		return clientResting, sendPong
	case clientLineBegun:
		if s == clientResting {
			return clientNew, awaitFirstLine
		}
	case clientAsked:
		return clientPlacing, placeRequest
	case clientMalformed:
		return clientClosed, sendError
	case clientTimedOut, clientShed:
		if s == clientNew {
			return clientClosed, sendError
		}
		return clientClosed, sendBusy
	case clientStopped:
		return clientClosed, sendBusy
	case clientEnded, clientReset:
		return clientClosed, endClient
	}
	return s, doNothing
}

func (s clientState) nextPlacing(e clientEvent) (clientState, clientAction) {
	switch e {
	case clientUp:
		return clientOpen, openFlow
	case clientServed:
		return clientClosed, endClient
	case clientRejected:
		return clientClosed, sendBusy
	case clientFailed:
		return clientClosed, sendError
	case clientEnded, clientReset:
		return clientClosed, leaveRequest
	}
	return s, doNothing
}

func (s clientState) nextOpen(e clientEvent) (clientState, clientAction) {
	switch e {
	case clientEnded:
		return clientClosed, leaveFlow
	case clientEndedUnread:
		return clientParting, leaveDraining
	case clientReset:
		return clientClosed, leaveFlowHard
	case memberEnded:
		return clientClosed, endClient
	case memberEndedUnread:
		return clientDraining, drain
	case memberReset:
		if s == clientMoving {
			return clientClosed, endClient
		}
		return clientClosed, resetClient
	}
	if s == clientMoving {
		return s.nextMoving(e)
	}
	switch e {
	case clientLinePart:
		return clientMidLine, doNothing
	case clientLineEnd:
		return clientOpen, doNothing
	case clientMoveAsked:
		if s == clientMidLine {
			return clientMoving, awaitLineEnd
		}
		return clientClosed, sendMove
	}
	return s, doNothing
}

func (s clientState) nextMoving(e clientEvent) (clientState, clientAction) {
	switch e {
	case clientLineEnd:
		return clientClosed, sendMove
	case clientTimedOut:
		return clientClosed, endBothSides
	}
	return s, doNothing
}

func (s clientState) nextDraining(e clientEvent) (clientState, clientAction) {
	switch e {
	case memberDrained, clientTimedOut:
		return clientClosed, endAttempt
	case clientEnded, clientEndedUnread:
		return clientClosed, leaveFlow
	case clientReset:
		return clientClosed, leaveFlowHard
	}
	return s, doNothing
}

func (s clientState) nextParting(e clientEvent) (clientState, clientAction) {
	switch e {
	case clientDrained, clientTimedOut, clientReset, memberEnded, memberReset:
		return clientClosed, endBothSides
	}
	return s, doNothing
}

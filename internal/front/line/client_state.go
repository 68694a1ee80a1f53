package line

// clientState is the state of a client connection.
type clientState int

const (
	clientNew              clientState = iota // no first line has come, or only a part of one
	clientIdle                                // the last first line was PING; it has been answered, and the next is awaited
	clientPending                             // its request is queued or has an attempt in flight
	clientOpen                                // its flow is open, and the client has got whole lines only
	clientMidLine                             // its flow is open, and a part of a line of the member's has been forwarded
	clientMigrating                           // the same; MOVE follows the end of that line
	clientFlushingToClient                    // the member has closed; what it sent still goes to the client
	clientFlushingToMember                    // the client has closed; what it sent still goes to the member
	clientClosed                              // its connection is closed
)

// clientEvent is an event of a client connection.
type clientEvent int

const (
	eventPing             clientEvent = iota // PING came as the first line
	eventPartialFirstLine                    // a part of the first line came
	eventOpen                                // OPEN came as the first line
	eventMalformed                           // anything else came as the first line
	eventTimeout                             // the state has lasted as long as it may
	eventShed                                // the loop needs its descriptor
	eventShutdown                            // the relay shuts down
	eventAttemptUp                           // a member has answered UP
	eventAttemptServed                       // a member has answered BYE without UP
	eventRejected                            // the core rejects the request
	eventFailed                              // the core fails it
	eventAttemptAbandoned                    // an attempt is abandoned
	eventPartialLine                         // a part of a line of the member's has been forwarded, without its end
	eventLineEnd                             // the end of one has been forwarded
	eventMigrate                             // the client is to be migrated
	eventClientEOF                           // the client has closed its sending side
	eventClientEOFBlocked                    // the same, and some of what it sent has not been forwarded yet
	eventClientFlushed                       // all that the client sent has been forwarded
	eventClientReset                         // the client's connection was reset or lost
	eventMemberEOF                           // the member has closed its sending side, on an open flow
	eventMemberEOFBlocked                    // the same, and some of what it sent has not been forwarded yet
	eventMemberFlushed                       // all that the member sent has been forwarded
	eventMemberReset                         // the member's connection was reset or lost, on an open flow
)

// clientAction is what an event has the connection do.
type clientAction int

const (
	doNothing          clientAction = iota
	sendPong                        // answer PING, and await the next first line
	awaitFirstLine                  // await the rest of the first line, for at most firstLineTimeout
	placeRequest                    // hand the request to the core
	sendError                       // answer ERR and close
	sendBusy                        // answer BUSY and close
	openFlow                        // forward what the client has sent early; the member's UP has gone to it
	closeClient                     // close the client's side gracefully
	resetClient                     // reset the client's side
	cancelRequest                   // report to the core that the client has left, answer it in case it still reads, and close its side
	closeFlow                       // the same, and close the member's side gracefully
	resetFlow                       // the same, and reset the member's side
	flushThenCloseFlow              // report to the core that the client has left, and keep forwarding what it sent, for at most MoveTimeout
	awaitLineEnd                    // await the end of the line, for at most MoveTimeout
	sendMove                        // send MOVE and close both sides
	closeBothSides                  // close both sides gracefully
	awaitFlush                      // keep forwarding what the member sent, for at most lingerTimeout
	finishAttempt                   // close the client's side gracefully, and report the flow's result to the core
)

// awaitsFirstLine reports whether no request has come.
func (s clientState) awaitsFirstLine() bool { return s == clientNew || s == clientIdle }

// isOpen reports whether the flow is open.
func (s clientState) isOpen() bool {
	return s == clientOpen || s == clientMidLine || s == clientMigrating
}

// isEstablished reports whether the flow is open and is not being migrated.
func (s clientState) isEstablished() bool { return s == clientOpen || s == clientMidLine }

// openStateFor is the state of an open flow, by whether a part of a line has been forwarded to the client.
func openStateFor(midLine bool) clientState {
	if midLine {
		return clientMidLine
	}
	return clientOpen
}

// next is the transition function. An event that has no meaning in a state changes nothing.
func (s clientState) next(e clientEvent) (clientState, clientAction) {
	switch s {
	case clientNew, clientIdle:
		return s.nextFirstLine(e)
	case clientPending:
		return s.nextPending(e)
	case clientOpen, clientMidLine, clientMigrating:
		return s.nextOpen(e)
	case clientFlushingToClient:
		return s.nextFlushingToClient(e)
	case clientFlushingToMember:
		return s.nextFlushingToMember(e)
	}
	return s, doNothing
}

func (s clientState) nextFirstLine(e clientEvent) (clientState, clientAction) {
	switch e {
	case eventPing:
		return clientIdle, sendPong
	case eventPartialFirstLine:
		if s == clientIdle {
			return clientNew, awaitFirstLine
		}
	case eventOpen:
		return clientPending, placeRequest
	case eventMalformed:
		return clientClosed, sendError
	case eventTimeout, eventShed:
		if s == clientNew {
			return clientClosed, sendError
		}
		return clientClosed, sendBusy
	case eventShutdown:
		return clientClosed, sendBusy
	case eventClientEOF, eventClientReset:
		return clientClosed, closeClient
	}
	return s, doNothing
}

func (s clientState) nextPending(e clientEvent) (clientState, clientAction) {
	switch e {
	case eventAttemptUp:
		return clientOpen, openFlow
	case eventAttemptServed:
		return clientClosed, closeClient
	case eventRejected:
		return clientClosed, sendBusy
	case eventFailed:
		return clientClosed, sendError
	case eventClientEOF, eventClientReset:
		return clientClosed, cancelRequest
	}
	return s, doNothing
}

func (s clientState) nextOpen(e clientEvent) (clientState, clientAction) {
	switch e {
	case eventClientEOF:
		return clientClosed, closeFlow
	case eventClientEOFBlocked:
		return clientFlushingToMember, flushThenCloseFlow
	case eventClientReset:
		return clientClosed, resetFlow
	case eventMemberEOF:
		return clientClosed, closeClient
	case eventMemberEOFBlocked:
		return clientFlushingToClient, awaitFlush
	case eventMemberReset:
		if s == clientMigrating {
			return clientClosed, closeClient
		}
		return clientClosed, resetClient
	}
	if s == clientMigrating {
		return s.nextMigrating(e)
	}
	switch e {
	case eventPartialLine:
		return clientMidLine, doNothing
	case eventLineEnd:
		return clientOpen, doNothing
	case eventMigrate:
		if s == clientMidLine {
			return clientMigrating, awaitLineEnd
		}
		return clientClosed, sendMove
	}
	return s, doNothing
}

func (s clientState) nextMigrating(e clientEvent) (clientState, clientAction) {
	switch e {
	case eventLineEnd:
		return clientClosed, sendMove
	case eventTimeout:
		return clientClosed, closeBothSides
	}
	return s, doNothing
}

func (s clientState) nextFlushingToClient(e clientEvent) (clientState, clientAction) {
	switch e {
	case eventMemberFlushed, eventTimeout:
		return clientClosed, finishAttempt
	case eventClientEOF, eventClientEOFBlocked:
		return clientClosed, closeFlow
	case eventClientReset:
		return clientClosed, resetFlow
	}
	return s, doNothing
}

func (s clientState) nextFlushingToMember(e clientEvent) (clientState, clientAction) {
	switch e {
	case eventClientFlushed, eventTimeout, eventClientReset, eventMemberEOF, eventMemberReset:
		return clientClosed, closeBothSides
	}
	return s, doNothing
}

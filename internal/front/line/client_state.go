package line

// clientState is the state of a client connection.
type clientState int

const (
	clientNew              clientState = iota // no complete first line has arrived
	clientIdle                                // PING was answered, and the next line has not begun
	clientPending                             // the request is queued or has an attempt in flight
	clientOpen                                // the flow is open, and the client has received complete lines only
	clientMidLine                             // the flow is open, and part of a line from the member has been forwarded
	clientMigrating                           // like clientMidLine, and MOVE is to be sent after the end of that line
	clientFlushingToClient                    // the member has closed; its remaining bytes are forwarded to the client
	clientFlushingToMember                    // the client has closed; its remaining bytes are forwarded to the member
	clientClosed                              // the client's connection is closed
	clientStateCount                          // the number of states
)

// clientEvent is an event of a client connection.
type clientEvent int

const (
	eventPing             clientEvent = iota // the first line is PING
	eventPartialFirstLine                    // part of a first line arrived
	eventOpen                                // the first line is a valid OPEN
	eventMalformed                           // the first line is anything else
	eventTimeout                             // the time limit of the state has passed
	eventShed                                // the event loop needs the descriptor of this connection
	eventShutdown                            // the relay shuts down
	eventAttemptUp                           // a member answered UP
	eventAttemptServed                       // a member answered BYE without UP
	eventRejected                            // the core rejected the request
	eventFailed                              // the core reported the request as failed
	eventAttemptAbandoned                    // the core cancelled the attempt
	eventPartialLine                         // part of a line from the member was forwarded, without its end
	eventLineEnd                             // the end of a line from the member was forwarded
	eventMigrate                             // the client is to be migrated
	eventClientEOF                           // the client closed its sending side
	eventClientEOFBlocked                    // like eventClientEOF, with bytes from the client still to be forwarded
	eventClientFlushed                       // all bytes received from the client have been forwarded
	eventClientReset                         // the client's connection was reset or lost
	eventMemberEOF                           // the member closed its sending side, on an open flow
	eventMemberEOFBlocked                    // like eventMemberEOF, with bytes from the member still to be forwarded
	eventMemberFlushed                       // all bytes received from the member have been forwarded
	eventMemberReset                         // the member's connection was reset or lost, on an open flow
	clientEventCount                         // the number of events
)

// clientAction is what the connection does on an event.
type clientAction int

const (
	doNothing      clientAction = iota
	sendPong                    // answer PING and wait for the next line
	awaitFirstLine              // wait for the rest of the first line, for at most firstLineTimeout
	placeRequest                // hand the request to the core
	sendError                   // answer ERR and close
	sendBusy                    // answer BUSY and close
	openFlow                    // forward the bytes that the client sent early; UP has already been forwarded to it
	closeClient                 // close the client's side gracefully
	resetClient                 // reset the client's side
	cancelRequest               // report to the core that the client left, send a final answer, close its side
	closeFlow                   // report to the core that the client left, and close both sides gracefully
	resetFlow                   // like closeFlow, but reset the member's side
	// flushThenCloseFlow: report to the core that the client left; forward its bytes for at most
	// MoveTimeout.
	flushThenCloseFlow
	awaitLineEnd   // wait for the end of the line, for at most MoveTimeout
	sendMove       // send MOVE and close both sides
	closeBothSides // close both sides gracefully
	awaitFlush     // keep forwarding the member's bytes, for at most lingerTimeout
	finishAttempt  // close the client's side gracefully and report the flow's result to the core
)

// awaitsFirstLine reports whether no request has arrived yet.
func (s clientState) awaitsFirstLine() bool { return s == clientNew || s == clientIdle }

// isOpen reports whether the flow is open.
func (s clientState) isOpen() bool {
	return s == clientOpen || s == clientMidLine || s == clientMigrating
}

// isEstablished reports whether the flow is open and not being migrated.
func (s clientState) isEstablished() bool { return s == clientOpen || s == clientMidLine }

// openStateFor returns the state of an open flow; midLine says whether part of a line has been
// forwarded to the client.
func openStateFor(midLine bool) clientState {
	if midLine {
		return clientMidLine
	}
	return clientOpen
}

// clientRule is a transition: in any of the states in, the event on leads to next by action.
type clientRule struct {
	in     []clientState
	on     clientEvent
	next   clientState
	action clientAction
}

// clientRules are all transitions. An event without a rule for the current state has no effect.
var clientRules = []clientRule{
	{[]clientState{clientNew, clientIdle}, eventPing, clientIdle, sendPong},
	{[]clientState{clientIdle}, eventPartialFirstLine, clientNew, awaitFirstLine},
	{[]clientState{clientNew, clientIdle}, eventOpen, clientPending, placeRequest},
	{[]clientState{clientNew, clientIdle}, eventMalformed, clientClosed, sendError},
	{[]clientState{clientNew}, eventTimeout, clientClosed, sendError},
	{[]clientState{clientNew}, eventShed, clientClosed, sendError},
	{[]clientState{clientIdle}, eventTimeout, clientClosed, sendBusy},
	{[]clientState{clientIdle}, eventShed, clientClosed, sendBusy},
	{[]clientState{clientNew, clientIdle}, eventShutdown, clientClosed, sendBusy},
	{[]clientState{clientNew, clientIdle}, eventClientEOF, clientClosed, closeClient},
	{[]clientState{clientNew, clientIdle}, eventClientReset, clientClosed, closeClient},

	{[]clientState{clientPending}, eventAttemptUp, clientOpen, openFlow},
	{[]clientState{clientPending}, eventAttemptServed, clientClosed, closeClient},
	{[]clientState{clientPending}, eventRejected, clientClosed, sendBusy},
	{[]clientState{clientPending}, eventFailed, clientClosed, sendError},
	{[]clientState{clientPending}, eventClientEOF, clientClosed, cancelRequest},
	{[]clientState{clientPending}, eventClientReset, clientClosed, cancelRequest},

	{[]clientState{clientOpen, clientMidLine}, eventPartialLine, clientMidLine, doNothing},
	{[]clientState{clientOpen, clientMidLine}, eventLineEnd, clientOpen, doNothing},
	{[]clientState{clientOpen}, eventMigrate, clientClosed, sendMove},
	{[]clientState{clientMidLine}, eventMigrate, clientMigrating, awaitLineEnd},
	{[]clientState{clientMigrating}, eventLineEnd, clientClosed, sendMove},
	{[]clientState{clientMigrating}, eventTimeout, clientClosed, closeBothSides},
	{[]clientState{clientOpen, clientMidLine, clientMigrating}, eventClientEOF, clientClosed, closeFlow},
	{[]clientState{clientOpen, clientMidLine, clientMigrating}, eventClientEOFBlocked, clientFlushingToMember, flushThenCloseFlow},
	{[]clientState{clientOpen, clientMidLine, clientMigrating}, eventClientReset, clientClosed, resetFlow},
	{[]clientState{clientOpen, clientMidLine, clientMigrating}, eventMemberEOF, clientClosed, closeClient},
	{[]clientState{clientOpen, clientMidLine, clientMigrating}, eventMemberEOFBlocked, clientFlushingToClient, awaitFlush},
	{[]clientState{clientOpen, clientMidLine}, eventMemberReset, clientClosed, resetClient},
	{[]clientState{clientMigrating}, eventMemberReset, clientClosed, closeClient},

	{[]clientState{clientFlushingToClient}, eventMemberFlushed, clientClosed, finishAttempt},
	{[]clientState{clientFlushingToClient}, eventTimeout, clientClosed, finishAttempt},
	{[]clientState{clientFlushingToClient}, eventClientEOF, clientClosed, closeFlow},
	{[]clientState{clientFlushingToClient}, eventClientEOFBlocked, clientClosed, closeFlow},
	{[]clientState{clientFlushingToClient}, eventClientReset, clientClosed, resetFlow},

	{[]clientState{clientFlushingToMember}, eventClientFlushed, clientClosed, closeBothSides},
	{[]clientState{clientFlushingToMember}, eventTimeout, clientClosed, closeBothSides},
	{[]clientState{clientFlushingToMember}, eventClientReset, clientClosed, closeBothSides},
	{[]clientState{clientFlushingToMember}, eventMemberEOF, clientClosed, closeBothSides},
	{[]clientState{clientFlushingToMember}, eventMemberReset, clientClosed, closeBothSides},
}

// clientTransition is the next state and the action for an event in a state.
type clientTransition struct {
	next   clientState
	action clientAction
}

// clientTransitions is clientRules indexed by state and event.
var clientTransitions = func() (table [clientStateCount][clientEventCount]clientTransition) {
	for s := range clientStateCount {
		for e := range clientEventCount {
			table[s][e].next = s
		}
	}
	for _, r := range clientRules {
		for _, s := range r.in {
			table[s][r.on] = clientTransition{r.next, r.action}
		}
	}
	return table
}()

// next returns the next state and the action for an event.
func (s clientState) next(e clientEvent) (clientState, clientAction) {
	t := &clientTransitions[s][e]
	return t.next, t.action
}

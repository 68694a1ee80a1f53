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
	clientStateCount                          // the number of states
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
	clientEventCount                         // the number of events
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

// clientRule is the transition from each of the states in, by an event.
type clientRule struct {
	in     []clientState
	on     clientEvent
	next   clientState
	action clientAction
}

// clientRules are all transitions. An event without a rule for a state changes nothing.
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

// clientTransition is where an event leads from a state, and what it has the connection do.
type clientTransition struct {
	next   clientState
	action clientAction
}

// clientTransitions is clientRules by state and event.
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

// next is the transition function.
func (s clientState) next(e clientEvent) (clientState, clientAction) {
	t := &clientTransitions[s][e]
	return t.next, t.action
}

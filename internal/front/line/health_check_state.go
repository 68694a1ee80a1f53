package line

// healthCheckState is the state of the connection on which the health of a member is checked.
type healthCheckState int

const (
	checkDisconnected  healthCheckState = iota // there is no connection
	checkConnIdle                              // the connection has brought an answer, and is kept for the next check
	checkDialing                               // a check is pending, the connection is being set up
	checkPending                               // a check is pending on a new connection
	checkPendingReused                         // a check is pending on a connection that has brought an answer before
)

// healthCheckEvent is an event of a health check.
type healthCheckEvent int

const (
	eventCheckDue               healthCheckEvent = iota // the core requests a check, and there is no idle connection to the member's address
	eventCheckDueReusable                               // the core requests a check, and the idle connection can be used
	eventCheckConnected                                 // the connection is open
	eventCheckAnswered                                  // the member has answered PONG
	eventCheckFailed                                    // it has answered anything else or more than one line, or has taken too long
	eventCheckConnLost                                  // the connection was closed or lost
	eventCheckConnLostRetryable                         // the same, and it may be set up again
	eventCheckIdleTimeout                               // the idle connection has been kept for long enough
)

// isPending reports whether an answer is awaited.
func (s healthCheckState) isPending() bool { return s >= checkDialing }

// next is the transition function. An event that has no meaning in a state changes nothing.
func (s healthCheckState) next(e healthCheckEvent) healthCheckState {
	switch e {
	case eventCheckDue:
		if !s.isPending() {
			return checkDialing
		}
	case eventCheckDueReusable:
		if s == checkConnIdle {
			return checkPendingReused
		}
	case eventCheckConnected:
		if s == checkDialing {
			return checkPending
		}
	case eventCheckAnswered:
		if s.isPending() {
			return checkConnIdle
		}
	case eventCheckFailed, eventCheckConnLost, eventCheckIdleTimeout:
		return checkDisconnected
	case eventCheckConnLostRetryable:
		if s == checkPendingReused { // the member may have closed it as idle just then
			return checkDialing
		}
		return checkDisconnected
	}
	return s
}

package line

// healthCheckState is the state of the health check of one member.
type healthCheckState int

const (
	checkDisconnected  healthCheckState = iota // there is no connection
	checkConnIdle                              // the connection brought an answer and is kept for the next check
	checkDialing                               // a check is pending, and its connection is being set up
	checkPending                               // a check is pending on a new connection
	checkPendingReused                         // a check is pending on a reused connection
)

// healthCheckEvent is an event of a health check.
type healthCheckEvent int

const (
	eventCheckDue healthCheckEvent = iota // the core requests a check, which needs a new connection
	// eventCheckDueReusable: the core requests a check, and the idle connection can be used.
	eventCheckDueReusable
	eventCheckConnected // the connection is open
	eventCheckAnswered  // the member answered PONG and nothing else
	// eventCheckFailed: another answer, several lines, a timeout, or no check was sent.
	eventCheckFailed
	eventCheckConnLost          // the connection was closed or lost
	eventCheckConnLostRetryable // a reused connection ended, and a new one may be dialled
	eventCheckIdleTimeout       // the idle connection timed out or brought unsolicited data
)

// isPending reports whether a check has no result yet.
func (s healthCheckState) isPending() bool { return s >= checkDialing }

// next returns the state after an event. An event that has no meaning in a state does not change it.
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
		if s == checkPendingReused { // the member may have closed the idle connection just before
			return checkDialing
		}
		return checkDisconnected
	}
	return s
}

package line

import (
	"testing"

	"dahliarudder/policy"
)

// TestClientStates checks all states and events of a client connection: each action that ends the
// connection leads to clientClosed, a closed connection does nothing, and each action occurs only in
// the states in which the protocol allows it.
func TestClientStates(t *testing.T) {
	ends := map[clientAction]bool{sendError: true, sendBusy: true, closeClient: true, resetClient: true, cancelRequest: true,
		closeFlow: true, resetFlow: true, sendMove: true, closeBothSides: true, finishAttempt: true}
	hasFlow := func(s clientState) bool { return s.isOpen() || s == clientFlushingToClient }
	allowedIn := map[clientAction]func(clientState) bool{
		sendPong: clientState.awaitsFirstLine, placeRequest: clientState.awaitsFirstLine,
		awaitFirstLine: func(s clientState) bool { return s == clientIdle },
		sendError:      func(s clientState) bool { return !s.isOpen() },
		sendBusy:       func(s clientState) bool { return s == clientPending || s.awaitsFirstLine() },
		openFlow:       func(s clientState) bool { return s == clientPending },
		cancelRequest:  func(s clientState) bool { return s == clientPending },
		closeFlow:      hasFlow, resetFlow: hasFlow, sendMove: clientState.isOpen, awaitFlush: clientState.isOpen,
		finishAttempt:      func(s clientState) bool { return s == clientFlushingToClient },
		awaitLineEnd:       func(s clientState) bool { return s == clientMidLine },
		closeBothSides:     func(s clientState) bool { return s == clientMigrating || s == clientFlushingToMember },
		flushThenCloseFlow: clientState.isOpen,
	}
	for s := clientNew; s <= clientClosed; s++ {
		for e := eventPing; e <= eventMemberReset; e++ {
			next, action := s.next(e)
			if s == clientClosed && (next != s || action != doNothing) {
				t.Errorf("event %d on a closed connection: next state %d, action %d; want no change and no action",
					e, next, action)
			}
			if ends[action] != (next == clientClosed && s != clientClosed) {
				t.Errorf("event %d in state %d: next state %d with action %d; want the closed state with an ending action only",
					e, s, next, action)
			}
			if allowed := allowedIn[action]; allowed != nil && !allowed(s) {
				t.Errorf("event %d in state %d: action %d is not allowed in this state", e, s, action)
			}
		}
		for _, gone := range []clientEvent{eventClientEOF, eventClientReset} {
			if next, _ := s.next(gone); next != clientClosed && next != clientFlushingToMember {
				t.Errorf("event %d in state %d: next state %d, want closed or flushing to the member", gone, s, next)
			}
		}
	}
}

// TestClientRulesUnique checks that no two rules are for the same state and event: the later one
// would silently replace the earlier one.
func TestClientRulesUnique(t *testing.T) {
	var seen [clientStateCount][clientEventCount]bool
	for _, r := range clientRules {
		for _, s := range r.in {
			if seen[s][r.on] {
				t.Errorf("clientRules has two rules for event %d in state %d", r.on, s)
			}
			seen[s][r.on] = true
		}
	}
}

// TestAttemptStates checks all states and events of an attempt: it has exactly one result, which is
// reported when it is finished.
func TestAttemptStates(t *testing.T) {
	for s := attemptDialing; s <= attemptFinished; s++ {
		for e := eventConnected; e <= eventAbandoned; e++ {
			next, _, ended := s.next(e)
			if ended != (next == attemptFinished && s != attemptFinished) {
				t.Errorf("event %d in state %d: next state %d, ended = %v; want ended with the change to finished only",
					e, s, next, ended)
			}
			if s.isOpen() && !next.isOpen() && next != attemptFinished {
				t.Errorf("event %d on an open flow: next state %d, want open or finished", e, next)
			}
		}
	}
	for command, want := range map[string]policy.Result{"": policy.Reset, "BYE": policy.OK, "MOVE": policy.Cancelled} {
		s := openStateAfter(command)
		if s.finalCommand() != command {
			t.Errorf("openStateAfter(%q).finalCommand() = %q, want the same command", command, s.finalCommand())
		}
		if _, result, ended := s.next(eventConnLost); !ended || result != want {
			t.Errorf("connection lost after final command %q: result %v, ended = %v; want %v, true",
				command, result, ended, want)
		}
	}
}

// TestHealthCheckStates checks all states and events of a health check: a check begins only where
// none is pending, and every event that ends a pending check leaves it not pending.
func TestHealthCheckStates(t *testing.T) {
	for s := checkDisconnected; s <= checkPendingReused; s++ {
		for e := eventCheckDue; e <= eventCheckIdleTimeout; e++ {
			next := s.next(e)
			if !s.isPending() && next.isPending() != (e == eventCheckDue || e == eventCheckDueReusable && s == checkConnIdle) {
				t.Errorf("event %d in idle state %d: next state %d, want a pending state only if a check is due",
					e, s, next)
			}
			if s.isPending() && !next.isPending() != (e == eventCheckAnswered || e == eventCheckFailed || e == eventCheckConnLost || e == eventCheckIdleTimeout ||
				e == eventCheckConnLostRetryable && s != checkPendingReused) {
				t.Errorf("event %d in pending state %d: next state %d, want a state that is not pending only if the event ends the check",
					e, s, next)
			}
		}
	}
}

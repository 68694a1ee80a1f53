package line

import (
	"testing"

	"dahliarudder/policy"
)

// TestClientStates walks all states and events of a client connection: what ends it leaves it closed, nothing
// happens once it is closed, and each action stands only where the protocol has it.
func TestClientStates(t *testing.T) {
	ends := map[clientAction]bool{sendError: true, sendBusy: true, endClient: true, resetClient: true, leaveRequest: true,
		leaveFlow: true, leaveFlowHard: true, sendMove: true, endBothSides: true, endAttempt: true}
	hasFlow := func(s clientState) bool { return s.isOpen() || s == clientDraining }
	from := map[clientAction]func(clientState) bool{
		sendPong: clientState.awaitsFirstLine, placeRequest: clientState.awaitsFirstLine,
		awaitFirstLine: func(s clientState) bool { return s == clientResting },
		sendError:      func(s clientState) bool { return !s.isOpen() },
		sendBusy:       func(s clientState) bool { return s == clientPlacing || s.awaitsFirstLine() },
		openFlow:       func(s clientState) bool { return s == clientPlacing },
		leaveRequest:   func(s clientState) bool { return s == clientPlacing },
		leaveFlow:      hasFlow, leaveFlowHard: hasFlow, sendMove: clientState.isOpen, drain: clientState.isOpen,
		endAttempt:    func(s clientState) bool { return s == clientDraining },
		awaitLineEnd:  func(s clientState) bool { return s == clientMidLine },
		endBothSides:  func(s clientState) bool { return s == clientMoving || s == clientParting },
		leaveDraining: clientState.isOpen,
	}
	for s := clientNew; s <= clientClosed; s++ {
		for e := clientPinged; e <= memberReset; e++ {
			next, action := s.next(e)
			if s == clientClosed && (next != s || action != doNothing) {
				t.Errorf("event %d on a closed connection: state %d, action %d", e, next, action)
			}
			if ends[action] != (next == clientClosed && s != clientClosed) {
				t.Errorf("event %d in state %d: state %d by action %d", e, s, next, action)
			}
			if only := from[action]; only != nil && !only(s) {
				t.Errorf("event %d in state %d: action %d", e, s, action)
			}
		}
		for _, gone := range []clientEvent{clientEnded, clientReset} {
			if next, _ := s.next(gone); next != clientClosed && next != clientParting {
				t.Errorf("state %d once the client has gone: %d", s, next)
			}
		}
	}
}

// TestAttemptStates walks all states and events of an attempt: it has one result, at its end, and none twice.
func TestAttemptStates(t *testing.T) {
	for s := attemptDialing; s <= attemptFinished; s++ {
		for e := attemptComesUp; e <= attemptAbandoned; e++ {
			next, _, ended := s.next(e)
			if ended != (next == attemptFinished && s != attemptFinished) {
				t.Errorf("event %d in state %d: state %d, ended %v", e, s, next, ended)
			}
			if s.isOpen() && !next.isOpen() && next != attemptFinished {
				t.Errorf("event %d on an open flow: state %d", e, next)
			}
		}
	}
	for lastWord, want := range map[string]policy.Result{"": policy.Reset, "BYE": policy.OK, "MOVE": policy.Cancelled} {
		s := saying(lastWord)
		if s.lastWord() != lastWord {
			t.Errorf("%q became %q", lastWord, s.lastWord())
		}
		if _, result, ended := s.next(attemptBroke); !ended || result != want {
			t.Errorf("a flow that ends after %q: %v", lastWord, result)
		}
	}
}

// TestProbeStates walks all states and events of a probe: it is wanted only where no answer is owed, and an answer
// that was owed is, whatever ends it, owed no more.
func TestProbeStates(t *testing.T) {
	for s := probeNone; s <= probeReused; s++ {
		for e := probeWanted; e <= probeIdled; e++ {
			next := s.next(e)
			if !s.owes() && next.owes() != (e == probeWanted || e == probeWantedOn && s == probeKept) {
				t.Errorf("event %d in state %d: state %d", e, s, next)
			}
			if s.owes() && !next.owes() != (e == probeAnswered || e == probeRefused || e == probeBroke || e == probeIdled ||
				e == probeBrokeAgain && s != probeReused) {
				t.Errorf("event %d in state %d: state %d", e, s, next)
			}
		}
	}
}

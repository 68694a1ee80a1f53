package main

import (
	"dahliarudder/internal/handover"
)

// takeoverState says whether this process, which is shutting down, leaves its clients to the sibling.
type takeoverState int

const (
	takeoverNone      takeoverState = iota // it answers them itself
	takeoverRequested                      // it accepts none, and the sibling has not confirmed that it does
	takeoverConfirmed                      // the sibling accepts them
)

// pauseAccepting pauses the listeners for clients, or resumes them.
func (r *relay) pauseAccepting(paused bool) {
	for _, l := range r.clientListeners {
		l.SetPaused(paused)
	}
}

// startAccepting accepts clients. The newer process of an upgrade does so once it has members
// to send to.
func (r *relay) startAccepting() {
	if r.accepting {
		return
	}
	r.accepting = true
	r.pauseAccepting(false)
	r.sendMessage(handover.Message{Serving: true})
	r.awaitSuccessor()
}

// requestTakeover leaves the clients to the sibling, if that serves, and returns whether it does. The newer process of the two may be
// stopped first and leaves them to the older one. The sibling may be shutting down too: only when it confirms the takeover may this
// process end early.
func (r *relay) requestTakeover() bool {
	if r.sibling == nil {
		return false
	}
	r.sendMessage(handover.Message{Stopping: true})
	if r.sibling.stage != stageServing {
		return false
	}
	r.pauseAccepting(true)
	r.takeover = takeoverRequested
	if !r.sibling.peer.ConfirmsTransfers() { // it speaks a version without confirmations
		r.onTakeoverConfirmed()
	}
	return true
}

// onSiblingStopping: the sibling is shutting down. If this process is too, each answers its own clients.
func (r *relay) onSiblingStopping() {
	r.sibling.stage = stageStopping
	if r.lineFront != nil {
		r.lineFront.ResumeIdle() // nothing more is handed over
	}
	if !r.accepting {
		return // it accepts no clients yet, and the sibling knows that
	}
	r.pauseAccepting(false)
	if r.stopping {
		r.takeover = takeoverNone
		return
	}
	r.sendMessage(handover.Message{TakingOver: true})
}

// onTakeoverConfirmed: the sibling accepts the clients.
func (r *relay) onTakeoverConfirmed() {
	if r.takeover != takeoverRequested {
		return
	}
	r.takeover = takeoverConfirmed
	if r.sibling.role == rolePredecessor {
		r.sibling.peer.Close()
		r.sibling = nil
	}
}

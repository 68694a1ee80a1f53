package main

import (
	"dahliarudder/internal/handover"
)

// takeoverState says whether a process that is shutting down leaves its clients to the sibling.
type takeoverState int

const (
	takeoverNone      takeoverState = iota // this process answers its clients itself
	takeoverRequested                      // this process accepts none, the sibling has not confirmed yet
	takeoverConfirmed                      // the sibling accepts the clients
)

// pauseAccepting pauses the listeners for clients if paused is set, and resumes them otherwise.
func (r *relay) pauseAccepting(paused bool) {
	for _, l := range r.clientListeners {
		l.SetPaused(paused)
	}
}

// startAccepting starts to accept clients, and notifies the predecessor. A successor calls it once
// it has a usable member, or once the predecessor is gone.
func (r *relay) startAccepting() {
	if r.accepting {
		return
	}
	r.accepting = true
	r.pauseAccepting(false)
	r.sendMessage(handover.Message{Serving: true})
	r.awaitSuccessor()
}

// requestTakeover leaves the clients to the sibling if that serves, and returns whether it does.
// The sibling may be either process: if the successor is stopped first, it leaves its clients to
// the predecessor. The sibling may be shutting down too, so this process may end early only once
// the sibling confirms the takeover.
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
	if !r.sibling.peer.ConfirmsTransfers() { // its protocol version has no confirmations
		r.onTakeoverConfirmed()
	}
	return true
}

// onSiblingStopping handles the message that the sibling is shutting down. If both processes are,
// each answers its own clients; otherwise this one confirms the takeover.
func (r *relay) onSiblingStopping() {
	r.sibling.stage = stageStopping
	if r.lineFront != nil {
		r.lineFront.ResumeIdle() // no more connections are handed over
	}
	if !r.accepting {
		return // this process accepts no clients yet, so the sibling did not request a takeover
	}
	r.pauseAccepting(false)
	if r.stopping {
		r.takeover = takeoverNone
		return
	}
	r.sendMessage(handover.Message{TakingOver: true})
}

// onTakeoverConfirmed handles the sibling's confirmation that it accepts the clients.
func (r *relay) onTakeoverConfirmed() {
	if r.takeover != takeoverRequested {
		return
	}
	r.takeover = takeoverConfirmed
	if r.sibling.role == rolePredecessor {
		r.sibling.peer.Close()
		r.sibling = nil
		r.disconnectProcessors()
	}
}

package main

import (
	"dahliarudder/internal/handover"
)

// takeoverState says whether this process, which was told to stop, leaves clients to the other one.
type takeoverState int

const (
	takeoverNone      takeoverState = iota // it answers them itself
	takeoverRequested                      // it takes none in, but the other one has not said that it does
	takeoverConfirmed                      // the other one takes them in
)

// pauseAccepting has the fronts take no client in, or go on.
func (r *relay) pauseAccepting(held bool) {
	for _, l := range r.clientListeners {
		l.SetPaused(held)
	}
}

// startAccepting takes clients in. A process that is to take another's place does so once it
// has members to send to.
func (r *relay) startAccepting() {
	if r.accepting {
		return
	}
	r.accepting = true
	r.pauseAccepting(false)
	r.sendNote(handover.Message{Serving: true})
	r.awaitSuccessor()
}

// requestTakeover leaves clients to the other process, if one serves, and says whether there
// is one. A second process that is stopped before the first leaves them to that one. The other one may have been told to stop too: only
// when it says that it goes on may this one end before its time.
func (r *relay) requestTakeover() bool {
	if r.sibling == nil {
		return false
	}
	r.sendNote(handover.Message{Stopping: true})
	if r.sibling.stage != stageServing {
		return false
	}
	r.pauseAccepting(true)
	r.takeover = takeoverRequested
	if !r.sibling.peer.ConfirmsTransfers() { // it answers nothing
		r.onTakeoverConfirmed()
	}
	return true
}

// onSiblingStopping is told that the other process was told to stop. If this one was too, each answers who comes to it.
func (r *relay) onSiblingStopping() {
	r.sibling.stage = stageStopping
	if r.lineFront != nil {
		r.lineFront.ResumeIdle() // nothing more is handed over
	}
	if !r.accepting {
		return // it takes no clients in yet, and the other one knows that
	}
	r.pauseAccepting(false)
	if r.stopping {
		r.takeover = takeoverNone
		return
	}
	r.sendNote(handover.Message{TakingOver: true})
}

// onTakeoverConfirmed is told that the other process takes clients in.
func (r *relay) onTakeoverConfirmed() {
	if r.takeover != takeoverRequested {
		return
	}
	r.takeover = takeoverConfirmed
	if r.sibling.origin == originOlder {
		r.sibling.peer.Close()
		r.sibling = nil
	}
}

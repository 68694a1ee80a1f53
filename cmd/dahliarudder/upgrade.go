package main

import (
	"slices"
	"time"

	"golang.org/x/sys/unix"

	"dahliarudder/internal/handover"
	"dahliarudder/internal/netloop"
	"dahliarudder/policy"
)

const (
	// openStateInterval is how often a process sends its open requests to its successor.
	openStateInterval = 50 * time.Millisecond
	// retrySockets is how many descriptors the older process may open beyond those it has: for
	// retries of requests in flight.
	retrySockets = 16
	// handoverBurst connections at most are in transfer at once; the older process looks again each handoverInterval.
	handoverBurst    = 8
	handoverInterval = 5 * time.Millisecond
	// upgradeDescriptors are reserved for the listener for successors, the channel to one,
	// and a connection in transfer.
	upgradeDescriptors = 4
)

// siblingOrigin says which of the two processes of an upgrade the sibling is.
type siblingRole int

const (
	roleSuccessor   siblingRole = iota // it was started beside this one
	rolePredecessor                    // it was here first
)

// siblingStage is the phase of the sibling.
type siblingStage int

const (
	stageStarting siblingStage = iota // it does not accept clients yet; only a newer process is in this stage
	stageServing                      // it accepts clients, or did before this one
	stageStopping                     // it is shutting down
)

// siblingProcess is the other process of this relay during an upgrade.
type siblingProcess struct {
	peer          *handover.Peer
	role          siblingRole
	stage         siblingStage
	lastSentOpen  handover.OpenRequests // what a newer one was sent last
	handoverTimer *netloop.Timer        // until the next connections are handed over to it
}

// joinPredecessor requests the state of the process that this one replaces, if there is
// one, and takes its listening sockets.
func (r *relay) joinPredecessor(dir string) error {
	fd, state, fds, err := handover.RequestState(dir)
	if err != nil || state == nil {
		return err
	}
	r.inheritedSockets = map[string]int{}
	for i, front := range state.Fronts {
		r.inheritedSockets[front] = fds[i]
	}
	r.inheritedState = state
	r.sibling = &siblingProcess{role: rolePredecessor, stage: stageServing}
	r.limitToRemainingSockets(state.Limit)
	if r.sibling.peer, err = handover.NewPeer(r.loop, fd, r.onMessage, r.onSiblingGone); err != nil {
		return err
	}
	r.sibling.peer.SetVersion(state.Version)
	return nil
}

// awaitSuccessor listens for a process that is started to replace this one.
func (r *relay) awaitSuccessor() {
	r.successorListener.Close()
	var err error
	r.successorListener, err = r.loop.ListenChannel(handover.Path(r.stateDir), func(fd int) {
		if r.sibling != nil { // one at a time
			unix.Close(fd)
			return
		}
		r.sibling = &siblingProcess{}
		if r.sibling.peer, err = handover.NewPeer(r.loop, fd, r.onMessage, r.onSiblingGone); err != nil {
			r.log.WithError(err).Error("no channel to the successor")
			r.sibling = nil
		}
	})
	if err != nil {
		r.log.WithError(err).Error("no successor can take over")
	}
}

// onMessage handles a message of the sibling. It owns the descriptors.
func (r *relay) onMessage(m *handover.Message, fds []int) {
	switch {
	case m.Hello > 0:
		r.sendStateToSuccessor(m.Hello)
	case m.Serving:
		r.log.Info("a successor serves")
		r.sibling.stage = stageServing
		r.pauseAccepting(true)
		r.sendOpenState()
		r.handOverConnections()
	case m.Stopping:
		r.onSiblingStopping()
	case m.TakingOver:
		r.onTakeoverConfirmed()
	case m.EjectionsChanged:
		r.applyEjections("", false, func(error) {})
	case m.Drain != nil:
		r.drainedByOperator = *m.Drain
		r.setDraining(*m.Drain)
	case m.OpenRequests != nil:
		r.limitToRemainingSockets(m.OpenRequests.Limit)
		if r.lineFront != nil {
			r.lineFront.SetRemoteIDs(m.OpenRequests.IDs)
		}
	case r.adoptConnection(m, fds):
		return
	}
	for _, fd := range fds {
		unix.Close(fd)
	}
}

// sendStateToSuccessor sends a successor the state that it starts with, and the listening sockets.
func (r *relay) sendStateToSuccessor(hello int) {
	r.sibling.peer.SetVersion(hello)
	state := handover.NewState(r.core.LearnedState(), hello)
	var fds []int
	for front, l := range r.clientListeners {
		state.Fronts = append(state.Fronts, front)
		fds = append(fds, l.FD())
	}
	var known bool
	if state.Pool, known = r.watch.Snapshot(); known {
		state.DiscoveryAddr = r.watch.Addr
	}
	r.limitToOwnSockets()
	state.Limit = r.sibling.lastSentOpen.Limit
	r.log.WithField("open_requests", r.core.ActiveRequests()).Info("a successor starts")
	r.sendMessage(handover.Message{State: state}, fds...)
	r.syncSibling()
}

// limitToOwnSockets leaves the descriptors that this process does not need to its successor.
func (r *relay) limitToOwnSockets() {
	inTransfer := r.sibling.peer.PendingFDs()
	limit := r.loop.OpenDescriptors() + inTransfer + retrySockets
	if r.sibling.lastSentOpen.Limit > 0 {
		limit = min(limit, r.sibling.lastSentOpen.Limit)
	}
	r.sibling.lastSentOpen.Limit = limit
	r.loop.SetDescriptorLimit(limit - inTransfer)
	r.loop.SetMemoryLimit(r.maxBufferBytes / 2)
}

// limitToRemainingSockets takes the descriptors that the older process leaves.
func (r *relay) limitToRemainingSockets(theirs int) {
	r.loop.SetDescriptorLimit(r.maxSockets - theirs - reservedSockets - r.operatorDescriptors())
	r.loop.SetMemoryLimit(r.maxBufferBytes / 2)
}

// syncSibling sends the sibling what changes, as long as there is one.
func (r *relay) syncSibling() {
	if r.sibling == nil {
		return
	}
	switch {
	case r.sibling.role == roleSuccessor:
		r.sendOpenState()
	case !r.accepting && !r.stopping && r.core.HasUsableMember():
		r.startAccepting()
	}
	r.loop.After(openStateInterval, r.syncSibling)
}

// sendOpenState sends the successor the ids of the requests that are open here, if they have changed.
func (r *relay) sendOpenState() {
	before := r.sibling.lastSentOpen
	r.limitToOwnSockets()
	if r.lineFront != nil && r.sibling.stage == stageServing {
		r.sibling.lastSentOpen.IDs = r.lineFront.OpenRequestIDs()
		slices.Sort(r.sibling.lastSentOpen.IDs)
	}
	if now := r.sibling.lastSentOpen; now.Limit != before.Limit || !slices.Equal(now.IDs, before.IDs) {
		r.sendMessage(handover.Message{OpenRequests: &now})
	}
}

func (r *relay) sendMessage(m handover.Message, fds ...int) {
	if r.sibling == nil {
		return
	}
	if err := r.sibling.peer.Send(m, fds...); err != nil {
		r.log.WithError(err).Error("cannot send to the other process")
	}
}

// onSiblingGone goes on as the only process. The clients of a successor that has ended before it took over
// stay with this one, and connections in transfer to it come back.
func (r *relay) onSiblingGone(err error) {
	was := r.sibling
	r.sibling, r.takeover = nil, takeoverNone
	was.handoverTimer.Stop()
	r.log.WithError(err).WithField("older", was.role == rolePredecessor).Info("the other process is gone")
	r.loop.SetDescriptorLimit(r.maxSockets)
	r.loop.SetMemoryLimit(r.maxBufferBytes)
	if r.lineFront != nil {
		r.lineFront.SetRemoteIDs(nil)
		r.lineFront.ResumeIdle()
	}
	for _, t := range was.peer.Unconfirmed() {
		r.adoptConnection(&t.Message, t.FDs)
	}
	r.loop.SetDescriptorLimit(r.maxSockets)
	if was.role == rolePredecessor && !r.accepting {
		r.startAccepting()
		return
	}
	r.pauseAccepting(false)
	if was.role == roleSuccessor {
		r.awaitSuccessor()
	}
}

// restorePredecessorState takes over the endpoint list and the learned state of the older process, before the first client.
func (r *relay) restorePredecessorState() {
	if r.inheritedState == nil {
		return
	}
	if r.cfg.AdoptDiscovery(r.inheritedState.DiscoveryAddr) {
		r.watch.Addr = r.cfg.Discovery
		r.watch.SetInitialList(r.inheritedState.Pool)
	}
	if len(r.inheritedState.Pool.Instances) > 0 {
		r.core.UpdateMembers(policy.ListCached, r.mapper.Members(r.inheritedState.Pool))
	}
	r.core.Restore(r.inheritedState.Learned)
	r.inheritedState = nil
}

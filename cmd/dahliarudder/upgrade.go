package main

import (
	"errors"
	"slices"
	"time"

	"golang.org/x/sys/unix"

	"dahliarudder/internal/ejections"
	"dahliarudder/internal/front/nats"
	"dahliarudder/internal/handover"
	"dahliarudder/internal/netloop"
	"dahliarudder/policy"
)

// This file implements hot restarts. A successor is a process that is started to replace a running
// one, its predecessor. Both run until the predecessor has handed over its clients and ends. The
// sibling of a process is the other one of the two, in either role.

const (
	// openStateInterval is how often a process sends its open requests to its successor.
	openStateInterval = 50 * time.Millisecond
	// predecessorRetryPause is the pause between requests to a predecessor that does not answer.
	predecessorRetryPause = 100 * time.Millisecond
	// retrySockets is how many descriptors the predecessor may open beyond those that it has, for
	// retries of requests in flight.
	retrySockets = 16
	// handoverBurst limits the connections in transfer at a time. The predecessor hands over more at
	// each handoverInterval.
	handoverBurst    = 8
	handoverInterval = 5 * time.Millisecond
	// upgradeDescriptors are the descriptors reserved for the listener for successors, the channel to
	// one, and a connection in transfer.
	upgradeDescriptors = 4
)

// siblingRole is the role of the sibling in a hot restart.
type siblingRole int

const (
	roleSuccessor   siblingRole = iota // the sibling was started to replace this process
	rolePredecessor                    // this process was started to replace the sibling
)

// siblingStage is the phase of the sibling.
type siblingStage int

const (
	stageStarting siblingStage = iota // it does not accept clients yet; only a successor is in this stage
	stageServing                      // it accepts clients, or accepted them before this process did
	stageStopping                     // it is shutting down
)

// siblingProcess is the other process of this relay during a hot restart.
type siblingProcess struct {
	peer          *handover.Peer
	role          siblingRole
	stage         siblingStage
	lastSentOpen  handover.OpenRequests // last state of the open requests sent to a successor
	handoverTimer *netloop.Timer        // fires when the next connections are handed over to a successor
}

// joinPredecessor requests the state and the listening sockets of the predecessor. It does nothing
// if there is none.
func (r *relay) joinPredecessor(dir string) error {
	fd, state, fds, err := r.requestPredecessorState(dir)
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
	r.connectProcessors()
	return nil
}

// requestPredecessorState requests the predecessor's state, and retries while the predecessor is silent,
// since it holds the addresses at which this process is to listen.
func (r *relay) requestPredecessorState(dir string) (fd int, state *handover.State, fds []int, err error) {
	for logged := false; ; time.Sleep(predecessorRetryPause) {
		fd, state, fds, err = handover.RequestState(dir)
		if !errors.Is(err, handover.ErrSilent) || r.signals.stopping() {
			return fd, state, fds, err
		}
		if !logged {
			r.log.WithError(err).Warn("the older process does not answer yet, retrying")
			logged = true
		}
	}
}

// awaitSuccessor listens for a successor, and retries while the state directory cannot be used.
func (r *relay) awaitSuccessor() {
	r.successorListener.Close()
	var err error
	r.successorListener, err = r.loop.ListenChannel(handover.Path(r.stateDir), func(fd int) {
		if r.sibling != nil { // one successor at a time
			unix.Close(fd)
			return
		}
		r.sibling = &siblingProcess{}
		if r.sibling.peer, err = handover.NewPeer(r.loop, fd, r.onMessage, r.onSiblingGone); err != nil {
			r.log.WithError(err).Error("cannot open the channel to a successor")
			r.sibling = nil
		}
	})
	if err != nil {
		r.log.WithError(err).Error("cannot listen for a successor, retrying")
		r.retryAwaitSuccessor()
	}
}

// retryAwaitSuccessor retries to listen for a successor. The state directory is created again, which
// may have failed at the start.
func (r *relay) retryAwaitSuccessor() {
	dir := r.stateDir
	r.loop.After(stateDirRetryInterval, func() {
		r.background.run(func(<-chan struct{}) {
			err := ejections.CreateStateDir(dir)
			r.loop.Post(func() {
				switch {
				case r.stopping || r.sibling != nil:
				case err != nil:
					r.retryAwaitSuccessor()
				default:
					r.awaitSuccessor()
				}
			})
		})
	})
}

// onMessage handles a message of the sibling. It owns fds.
func (r *relay) onMessage(m *handover.Message, fds []int) {
	switch {
	case m.Hello > 0:
		r.sendStateToSuccessor(m.Hello)
	case m.Serving:
		r.log.Info("a successor serves")
		r.sibling.stage = stageServing
		r.connectProcessors()
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
	case m.Processor != nil && r.natsFront != nil:
		r.natsFront.HandleSibling(m.Processor)
	case r.adoptConnection(m, fds):
		return
	}
	for _, fd := range fds {
		unix.Close(fd)
	}
}

// connectProcessors makes the processors of both processes ask each other for requests. A predecessor
// does so once its successor accepts clients.
func (r *relay) connectProcessors() {
	if r.natsFront == nil || !r.sibling.peer.ConnectsProcessors() {
		return
	}
	peer := r.sibling.peer
	r.natsFront.ConnectSibling(r.sibling.role == roleSuccessor, func(m nats.SiblingMessage) error {
		return peer.Send(handover.Message{Processor: &m})
	})
}

// disconnectProcessors ends what connectProcessors began.
func (r *relay) disconnectProcessors() {
	if r.natsFront != nil {
		r.natsFront.DisconnectSibling()
	}
}

// sendStateToSuccessor sends a successor its initial state and the listening sockets. hello is the
// successor's protocol version.
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

// limitToOwnSockets lowers this process's descriptor limit to what it needs, so that the successor
// can use the rest. Each of the two processes gets half of the memory for buffers.
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

// limitToRemainingSockets sets the descriptor limit to what remains beside the predecessor's limit,
// and the memory limit to half of the memory for buffers.
func (r *relay) limitToRemainingSockets(predecessorLimit int) {
	r.loop.SetDescriptorLimit(r.maxSockets - predecessorLimit - reservedSockets - r.operatorDescriptors())
	r.loop.SetMemoryLimit(r.maxBufferBytes / 2)
}

// syncSibling runs every openStateInterval while there is a sibling. It sends a successor the
// changes of the open requests, or starts accepting clients beside a predecessor once there is a
// usable member.
func (r *relay) syncSibling() {
	if r.sibling == nil {
		return
	}
	switch {
	case r.sibling.role == roleSuccessor:
		r.sendOpenState()
	case !r.accepting && !r.stopping && r.core.HasUsableMember() && (r.storeOpened() || r.loop.Now() >= clockStart+storeTakeoverTimeout):
		r.startAccepting()
	}
	r.loop.After(openStateInterval, r.syncSibling)
}

// sendOpenState sends the successor the ids of the requests that are open here and this process's
// descriptor limit, if either has changed.
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

// onSiblingGone continues as the only process after the sibling has ended. If a successor ended
// before it took over, this process keeps its clients. Connections whose transfer was not confirmed
// are adopted again.
func (r *relay) onSiblingGone(err error) {
	was := r.sibling
	r.sibling, r.takeover = nil, takeoverNone
	r.disconnectProcessors()
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

// restorePredecessorState restores the predecessor's endpoint list and learned state. It runs
// before the first client is accepted.
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

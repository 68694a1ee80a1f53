package main

import (
	"dahliarudder/internal/front/line"
	"dahliarudder/internal/handover"
)

// adoptConnection takes over the connection that a message carries, with its descriptors. If the
// message carries none, it returns false and the caller still owns the descriptors.
func (r *relay) adoptConnection(m *handover.Message, fds []int) bool {
	switch {
	case r.lineFront == nil:
		return false
	case m.Client != nil && len(fds) == 1:
		r.loop.RaiseDescriptorLimit(len(fds))
		r.lineFront.AdoptIdle(*m.Client, fds[0])
	case m.Flow != nil && len(fds) == 2:
		r.loop.RaiseDescriptorLimit(len(fds))
		r.lineFront.AdoptFlow(*m.Flow, fds[0], fds[1])
	default:
		return false
	}
	return true
}

// handOverConnections hands connections over to a successor that serves: those without a request,
// and during shutdown also the open flows. It hands over a few at a time, so that the others are
// served meanwhile.
func (r *relay) handOverConnections() {
	if !r.handsOver() {
		return
	}
	r.lineFront.HandOffIdle(r.handoverWindow(), func(p line.IdleConn, fd int) {
		r.sendConnection(handover.Message{Client: &p}, fd)
	})
	if r.stopping {
		r.lineFront.HandOffFlows(r.handoverWindow(), func(f line.FlowHandoff, client, member int) {
			r.sendConnection(handover.Message{Flow: &f}, client, member)
		})
	}
	next := openStateInterval
	if r.stopping || r.sibling.peer.Pending() > 0 || r.lineFront.IdleCount() > 0 {
		next = handoverInterval
	}
	r.sibling.handoverTimer.Stop()
	r.sibling.handoverTimer = r.loop.After(next, r.handOverConnections)
}

// handsOver reports whether this process hands connections over, that is, whether it has a
// successor that serves.
func (r *relay) handsOver() bool {
	return r.sibling != nil && r.sibling.role == roleSuccessor && r.sibling.stage == stageServing && r.lineFront != nil
}

// handoverComplete reports whether everything is sent to the sibling and confirmed by it.
func (r *relay) handoverComplete() bool {
	if r.sibling == nil {
		return true
	}
	return r.sibling.peer.Idle() && (!r.handsOver() || r.lineFront.IdleCount() == 0)
}

// handoverWindow returns how many more connections may be in transfer now.
func (r *relay) handoverWindow() int { return handoverBurst - r.sibling.peer.Pending() }

// sendConnection hands a connection over. If it cannot be sent, this process continues to serve it.
func (r *relay) sendConnection(m handover.Message, fds ...int) {
	if err := r.sibling.peer.SendConnection(m, fds...); err != nil {
		r.log.WithError(err).Error("cannot send to the other process")
		r.loop.After(0, func() { r.adoptConnection(&m, fds) })
	}
}

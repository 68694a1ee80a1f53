package main

import (
	"dahliarudder/internal/core"
)

// stop shuts the relay down gracefully. The process ends once no request is open, at the latest at
// the deadline.
func (r *relay) stop() {
	if r.stopping { // both a signal and an order may call stop
		return
	}
	r.stopping = true
	loop := r.loop
	open := r.core.ActiveRequests()
	r.peers.Leave() // this relay dispatches no new requests from here on
	deadline := loop.Now() + r.core.StopTimeout()
	earliest := loop.Now() + core.StopNotice
	if r.requestTakeover() {
		r.core.BeginHandover()
		r.handOverConnections()
	} else {
		r.core.Stop()
	}
	// Logged after the message to the sibling is sent, since readers of the log may rely on that.
	r.log.WithField("open_requests", open).Info("stopping")
	if r.natsFront != nil {
		r.natsFront.EnterLameDuck()
	}
	r.pollUntil(func() bool {
		now := loop.Now()
		return now >= deadline || (now >= earliest || r.takeover == takeoverConfirmed) && r.openRequests() == 0 && r.handoverComplete()
	}, r.closeAndExit)
}

// pollUntil polls done until it returns true, and then calls next.
func (r *relay) pollUntil(done func() bool, next func()) {
	if done() {
		next()
		return
	}
	r.loop.After(stopPollInterval, func() { r.pollUntil(done, next) })
}

// openRequests returns how many requests and messages have no final answer, or one that is not sent
// yet.
func (r *relay) openRequests() int {
	open := r.core.ActiveRequests() + r.core.UnansweredMessages()
	if r.lineFront != nil {
		open = max(open, r.lineFront.OpenRequests())
	}
	return open
}

// closeAndExit is the last step of a shutdown. It gives the remaining requests their final answers,
// closes the listeners, and stops the event loop once the answers are sent.
func (r *relay) closeAndExit() {
	r.core.FinishStop()
	r.closeIdleConnections() // frees descriptors for connections that are still in a listener's queue
	r.closeNATSClients()
	for _, l := range append(r.listeners, r.successorListener) {
		l.Close()
	}
	earliest, latest := r.loop.Now()+stopLingerTime, r.loop.Now()+stopOverrun
	r.pollUntil(func() bool {
		r.closeIdleConnections() // those accepted from a listener's queue since
		r.closeNATSClients()
		now := r.loop.Now()
		return now >= latest || now >= earliest && r.openRequests() == 0 && r.listenersClosed()
	}, r.loop.Stop)
}

// closeIdleConnections closes connections without a request.
func (r *relay) closeIdleConnections() {
	if r.lineFront != nil {
		r.lineFront.CloseIdle()
	}
}

// closeNATSClients closes the clients of the NATS front, whose publications the core has answered.
func (r *relay) closeNATSClients() {
	if r.natsFront != nil {
		r.natsFront.CloseClients()
	}
}

func (r *relay) closeStore() error {
	if r.store == nil {
		return nil
	}
	return r.store.Close(storeFlushTimeout)
}

package main

import (
	"dahliarudder/internal/core"
)

// stop shuts the relay down gracefully: it ends once no request is open, and at the latest at the deadline.
func (r *relay) stop() {
	if r.stopping { // a signal and an order may both come
		return
	}
	r.stopping = true
	loop := r.loop
	open := r.core.ActiveRequests()
	r.peers.Leave() // nothing new is placed from here on
	deadline := loop.Now() + r.core.StopTimeout()
	earliest := loop.Now() + core.StopNotice
	if r.requestTakeover() {
		r.core.BeginHandover()
		r.handOverConnections()
	} else {
		r.core.Stop()
	}
	r.log.WithField("open_requests", open).Info("stopping") // once the sibling has its notice: what reads the log may rely on that
	if r.natsFront != nil {
		r.natsFront.EnterLameDuck()
	}
	r.pollUntil(func() bool {
		now := loop.Now()
		return now >= deadline || (now >= earliest || r.takeover == takeoverConfirmed) && r.openRequests() == 0 && r.handoverComplete()
	}, r.closeAndExit)
}

// pollUntil checks a condition until it is true, and then calls next.
func (r *relay) pollUntil(done func() bool, next func()) {
	if done() {
		next()
		return
	}
	r.loop.After(stopPollInterval, func() { r.pollUntil(done, next) })
}

// openRequests is how many requests have no final answer, or one that has not left yet.
func (r *relay) openRequests() int {
	open := r.core.ActiveRequests()
	if r.lineFront != nil {
		open = max(open, r.lineFront.OpenRequests())
	}
	return open
}

// closeAndExit is the last step of a shutdown: it closes the listeners, answers what waits, and ends the loop once the answers have left.
func (r *relay) closeAndExit() {
	r.core.FinishStop()
	r.closeIdleConnections() // their descriptors are needed for connections in a listener's queue
	for _, l := range append(r.listeners, r.successorListener) {
		l.Close()
	}
	earliest, latest := r.loop.Now()+stopLingerTime, r.loop.Now()+stopOverrun
	r.pollUntil(func() bool {
		r.closeIdleConnections() // those that were in the queue
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

func (r *relay) closeStore() error {
	if r.store == nil {
		return nil
	}
	return r.store.Close(storeFlushTimeout)
}

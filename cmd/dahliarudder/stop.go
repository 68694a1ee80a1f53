package main

import (
	"dahliarudder/internal/core"
)

// stop ends the relay once nothing is held any more, and in any case in time.
func (r *relay) stop() {
	if r.stopping { // a signal and an order may both come
		return
	}
	r.stopping = true
	loop := r.loop
	r.log.WithField("open_requests", r.core.ActiveRequests()).Info("stopping")
	r.peers.Leave() // nothing new is placed from here on
	deadline := loop.Now() + r.core.StopTimeout()
	least := loop.Now() + core.StopNotice
	if r.requestTakeover() {
		r.core.BeginHandover()
		r.handOverConnections()
	} else {
		r.core.Stop()
	}
	if r.natsFront != nil {
		r.natsFront.EnterLameDuck()
	}
	r.pollUntil(func() bool {
		now := loop.Now()
		return now >= deadline || (now >= least || r.takeover == takeoverConfirmed) && r.openRequests() == 0 && r.handoverComplete()
	}, r.closeAndExit)
}

// pollUntil looks until something is so, and then goes on.
func (r *relay) pollUntil(so func() bool, then func()) {
	if so() {
		then()
		return
	}
	r.loop.After(stopPollInterval, func() { r.pollUntil(so, then) })
}

// openRequests is how many clients are not done with.
func (r *relay) openRequests() int {
	held := r.core.ActiveRequests()
	if r.lineFront != nil {
		held = max(held, r.lineFront.OpenRequests())
	}
	return held
}

// closeAndExit ends a stop: nobody comes any more, who waits is answered, and the loop ends once what that takes has left.
func (r *relay) closeAndExit() {
	r.core.FinishStop()
	r.closeIdleConnections() // their descriptors are free for who is in a listener's queue
	for _, l := range append(r.listeners, r.successorListener) {
		l.Close()
	}
	least, most := r.loop.Now()+stopLingerTime, r.loop.Now()+stopOverrun
	r.pollUntil(func() bool {
		r.closeIdleConnections() // who was in the queue
		now := r.loop.Now()
		return now >= most || now >= least && r.openRequests() == 0 && r.listenersClosed()
	}, r.loop.Stop)
}

// closeIdleConnections ends connections on which nothing was asked yet.
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

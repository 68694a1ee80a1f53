package nats

import (
	"math"
	"time"
)

// This file ends clients. A client that the relay ends by itself is closed gracefully: everything that
// was read from it gets its answer first. Only a client that has gone is closed at once.

// closingGrace is how long publications are still accepted from a client that is being closed. After
// that they are rejected, so that a client that never pauses comes to its end.
const closingGrace = 500 * time.Millisecond

// departureGrace is how long attempts may still begin for a client that has closed its side. Attempts that
// begin 0.1 s after the close or later are wrong.
const departureGrace = 80 * time.Millisecond

// closeOnceAnswered closes the client when each command that was read has its answer.
func (c *client) closeOnceAnswered() {
	if c.closing || c.closed {
		return
	}
	c.closing = true
	c.closingTimer = c.front.Loop.After(closingGrace, c.rejectPublications)
	c.scheduleResume()
}

// rejectPublications rejects publications and calls of the processor from now on, those included that
// were read and have waited so far.
func (c *client) rejectPublications() {
	c.rejecting = true
	for _, p := range c.publishers {
		p.feed.RejectNew()
	}
	c.scheduleResume()
}

// PeerClosed implements netloop's PeerClosedHandler: the client has closed its side, perhaps with commands
// unread.
func (c *client) PeerClosed() {
	c.departureTimer = c.front.Loop.After(departureGrace, c.leave)
}

// leave ends everything for a client that has gone, except messages that are in flight at a member.
func (c *client) leave() {
	if c.closed {
		return
	}
	c.halfClosed, c.rejecting = true, true
	for _, p := range c.publishers {
		p.feed.ClientLeft()
	}
	if c.oldestUnanswered() > c.publishSeq { // no message is in flight
		c.close()
		return
	}
	for _, s := range c.subscriptions {
		s.end()
	}
	for id, p := range c.proxied {
		p.remove()
		c.front.Core.ClientGone(id)
	}
	c.responses, c.pendingSubscribes = nil, 0 // nobody reads them
}

// Overflow implements netloop's OverflowHandler.
func (c *client) Overflow() { c.abort(errMemory) }

// abort closes the client with -ERR for a reason that is not in its latest command. What was read and
// has not been executed is rejected.
func (c *client) abort(err error) {
	if c.closed || c.failure != nil {
		return
	}
	c.rejectPublications()
	c.conn.ResumeReading()
	c.fail(err)
}

// fail closes the client with -ERR because of its latest command. What else it sends is discarded, and
// each earlier command gets its answer first. A proxy's requests get theirs at once, since its reports are
// discarded too.
func (c *client) fail(err error) {
	if c.closed || c.failure != nil {
		return
	}
	c.closing, c.failure = true, err
	for id := range c.proxied {
		c.front.Core.GiveUp(id)
	}
	c.closeIfAnswered()
}

// closeIfAnswered closes a client that is being closed, if nothing that was read waits for its answer.
func (c *client) closeIfAnswered() {
	if !c.closing || !c.isAnswered() {
		return
	}
	if c.failure != nil {
		c.sendError(c.failure.Error())
	}
	c.close()
}

// isAnswered reports whether each command that was read from the client has its answer. Some may wait for
// the check of CONNECT, for scheduleResume, or for a proxy's report; after a failure none does.
func (c *client) isAnswered() bool {
	waiting := c.authenticating || c.resumeScheduled || len(c.proxied) > 0 || c.siblingCalls > 0
	return c.isQuiescent() && (!waiting || c.failure != nil)
}

// closeNow closes the client at the end of the process. The core has answered all publications and
// requests; the answers go out without waiting for members.
func (c *client) closeNow() {
	if c.failure == nil {
		c.rejectPublications()
		c.conn.ResumeReading()
	}
	for _, s := range c.subscriptions {
		s.rejectPending(resubscribeBackoff)
	}
	for _, r := range c.responses {
		if r.subscription != nil {
			r.subscription.finishDrain()
		}
	}
	c.fencedSeq = math.MaxUint64
	c.flushResponses()
	if c.failure != nil {
		c.sendError(c.failure.Error())
	}
	c.close()
}

// close ends the client with its publishers, subscriptions, proxied requests and links. Every path
// that ends a client calls it.
func (c *client) close() {
	if c.closed {
		return
	}
	c.closed = true
	delete(c.front.clients, c)
	delete(c.front.clientsByID, c.id)
	c.timer.Stop()
	c.expiryTimer.Stop()
	c.closingTimer.Stop()
	c.departureTimer.Stop()
	for _, p := range c.publishers {
		p.feed.Close()
	}
	for _, s := range c.subscriptions {
		s.end()
	}
	for id, p := range c.proxied {
		p.remove()
		c.front.Core.ClientGone(id)
	}
	c.front.sibling.clientEnded(c)
	for _, l := range append([]*link(nil), c.links...) {
		l.close()
	}
	c.conn.Finish()
}

// CloseClients closes all clients at the end of the process, after the core's FinishStop.
func (f *Front) CloseClients() {
	for c := range f.clients {
		c.closeNow()
	}
}

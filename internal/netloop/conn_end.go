package netloop

import (
	"golang.org/x/sys/unix"
)

// Finish closes the connection gracefully: unsent bytes are sent, then the peer sees EOF. If a dial
// is still in progress, it is abandoned. The handler receives no more events.
func (c *Conn) Finish() {
	if c.fd < 0 || c.dialTimer != nil || c.failTimer != nil {
		c.release()
		return
	}
	if c.finishing {
		return
	}
	c.finishing, c.handler = true, discardHandler{}
	c.dropUnread()
	c.countBuffered()
	// A peer that neither reads nor closes must not hold the descriptor for longer than this.
	c.lingerTimer = c.loop.After(lingerTimeout, c.release)
	c.SetEvictable(c.release)
	c.finishWriting()
	c.updateInterest()
}

// Reset closes the connection at once; the peer sees a TCP reset. The handler receives no more
// events.
func (c *Conn) Reset() {
	if c.fd >= 0 {
		unix.SetsockoptLinger(c.fd, unix.SOL_SOCKET, unix.SO_LINGER, &unix.Linger{Onoff: 1})
	}
	c.release()
}

// Detachable reports whether the connection can be detached: it is established, has no TLS, is not
// ending, and has no unsent bytes.
func (c *Conn) Detachable() bool {
	return c.fd >= 0 && c.dialTimer == nil && c.failTimer == nil && !c.finishing && !c.eof && c.unsentBuf.size() == 0 && c.tls == nil
}

// Detach removes the connection from the loop without ending it. It returns the connection's
// descriptor, which the caller then owns, and the bytes that the handler has not consumed. fd is -1
// if the connection is not Detachable or its descriptor cannot be duplicated.
func (c *Conn) Detach() (fd int, unread []byte) {
	if !c.Detachable() {
		return -1, nil
	}
	fd, err := unix.FcntlInt(uintptr(c.fd), unix.F_DUPFD_CLOEXEC, 0)
	if err != nil {
		return -1, nil
	}
	unread = append(unread, c.unread.data()...)
	c.release()
	return fd, unread
}

// Attach takes ownership of a descriptor that was detached in this or another process, along with the
// unconsumed bytes. ResumeReading passes these bytes to the handler.
func (l *Loop) Attach(fd int, unread []byte, h Handler) *Conn {
	c := newConn(l, fd, &l.descriptorBudget)
	c.handler = h
	if len(unread) > 0 {
		c.unread.append(l, unread)
	}
	c.countBuffered()
	c.updateInterest()
	return c
}

// release frees everything that the connection owns. Every connection ends with it.
func (c *Conn) release() {
	for _, t := range []*Timer{c.dialTimer, c.failTimer, c.lingerTimer, c.retryTimer} {
		t.Stop()
	}
	c.SetEvictable(nil)
	c.unsentAtEnd += c.unsent()
	c.unsentBuf.free(c.loop)
	if c.tls != nil {
		c.tls.end()
	}
	c.dropUnread()
	c.handler, c.finishing = discardHandler{}, true
	c.countBuffered()
	if c.fd >= 0 {
		if c.writeClosed {
			c.discardUnread()
		}
		c.loop.unregister(c.fd, c.budget)
		c.fd = -1
	}
}

// shutdownOnExit shuts down the sending side when the loop closes: the peer receives what the
// kernel has accepted, then EOF. Unread bytes are discarded so that closing the socket does not
// reset the connection.
func (c *Conn) shutdownOnExit() {
	if c.dialTimer == nil {
		unix.Shutdown(c.fd, unix.SHUT_WR)
		c.discardUnread()
	}
}

// dropUnread discards unread bytes. While Data runs, their memory is not returned to the pool,
// because the handler may still read it.
func (c *Conn) dropUnread() {
	if c.inData {
		c.unread = buffer{}
	} else {
		c.unread.free(c.loop)
	}
}

// fail closes the connection and reports err to the handler, unless EOF was reported before.
func (c *Conn) fail(err error) {
	h, reported := c.handler, c.eof
	c.release()
	if !reported {
		h.End(err)
	}
}

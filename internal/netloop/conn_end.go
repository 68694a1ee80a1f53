package netloop

import (
	"golang.org/x/sys/unix"
)

// Finish closes the connection in order: what is unsent is still sent, then the peer sees EOF. The handler receives no more
// events.
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
	// A peer that neither reads nor closes must not keep the descriptor.
	c.lingerTimer = c.loop.After(lingerTimeout, c.release)
	c.SetEvictable(c.release)
	c.finishWriting()
	c.updateInterest()
}

// Reset ends the connection at once; the peer sees a reset.
func (c *Conn) Reset() {
	if c.fd >= 0 {
		unix.SetsockoptLinger(c.fd, unix.SOL_SOCKET, unix.SO_LINGER, &unix.Linger{Onoff: 1})
	}
	c.release()
}

// Detachable reports whether Detach would work: the connection is established, is not ending, and has nothing to send.
func (c *Conn) Detachable() bool {
	return c.fd >= 0 && c.dialTimer == nil && c.failTimer == nil && !c.finishing && !c.eof && c.unsentBuf.size() == 0 && c.tls == nil
}

// Detach takes the connection off the loop without ending it, and returns its descriptor, which is the caller's then, and the
// bytes that were not consumed. It returns -1 if that is not possible.
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

// Attach takes over a descriptor that was detached, here or in another process, and the bytes that were not consumed there;
// ResumeReading hands them to the handler.
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

// release gives back all that the connection owns. Every connection ends here.
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

// shutdownOnExit closes the connection when the loop closes: the peer gets what the kernel has accepted, and EOF after it.
func (c *Conn) shutdownOnExit() {
	if c.dialTimer == nil {
		unix.Shutdown(c.fd, unix.SHUT_WR)
		c.discardUnread()
	}
}

// dropUnread throws unread bytes away. Inside Data their memory is left to the handler, which may still read it.
func (c *Conn) dropUnread() {
	if c.inData {
		c.unread = buffer{}
	} else {
		c.unread.free(c.loop)
	}
}

// fail ends the connection on an error.
func (c *Conn) fail(err error) {
	h, reported := c.handler, c.eof
	c.release()
	if !reported {
		h.End(err)
	}
}

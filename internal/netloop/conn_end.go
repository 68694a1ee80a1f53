package netloop

import (
	"golang.org/x/sys/unix"
)

// This file is how connections end, or leave the loop without ending.

// Finish ends the connection politely: what is unsent still leaves, then the
// peer sees the end. The handler is told nothing more.
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
	// A peer that neither reads nor ends must not hold the descriptor.
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

// Detachable says whether Detach would work: the connection stands, is not ending and
// has nothing to send.
func (c *Conn) Detachable() bool {
	return c.fd >= 0 && c.dialTimer == nil && c.failTimer == nil && !c.finishing && !c.eof && c.unsentBuf.size() == 0 && c.tls == nil
}

// Detach takes the connection off the loop without ending it, and returns its
// descriptor, which is the caller's then, and the bytes that were not taken. It
// returns -1 if that cannot be.
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

// Attach takes over a descriptor that was detached, here or in another process, and
// the bytes that were not taken there; they are handed to the handler by Resume.
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

// release is the one place where a connection gives back what it owns.
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

// shutdownOnExit ends the connection as the loop ends: the peer gets what the system has taken, and an end after it.
func (c *Conn) shutdownOnExit() {
	if c.dialTimer == nil {
		unix.Shutdown(c.fd, unix.SHUT_WR)
		c.discardUnread()
	}
}

// dropUnread throws unread bytes away. A handler that is reading them still may.
func (c *Conn) dropUnread() {
	if c.inData {
		c.unread = buffer{}
	} else {
		c.unread.free(c.loop)
	}
}

// fail ends the connection on an error.
func (c *Conn) fail(err error) {
	h, told := c.handler, c.eof
	c.release()
	if !told {
		h.End(err)
	}
}

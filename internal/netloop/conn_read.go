package netloop

import (
	"io"

	"golang.org/x/sys/unix"
)

// PauseReading stops reading until ResumeReading. A handler calls it when it leaves bytes because
// it cannot use them yet. Otherwise bytes that Data has not consumed are treated as an
// incomplete message, and more is read and buffered up to the read limit.
func (c *Conn) PauseReading() { c.readPaused = true }

// SetEarlyEOF sets whether the peer's EOF is reported as soon as it arrives, even while earlier
// bytes are unread. By default it is reported after them. It is meant for a handler that leaves
// bytes in the kernel and has no use for them once the peer has closed its side.
func (c *Conn) SetEarlyEOF(on bool) {
	c.earlyEOF = on
	c.updateInterest()
}

// ResumeReading passes unconsumed bytes to the handler and continues reading.
func (c *Conn) ResumeReading() {
	c.readPaused = false
	if c.fd < 0 || c.yielded || c.inData || c.dialTimer != nil || c.failTimer != nil {
		return
	}
	c.offerUnread()
	if c.tls != nil && c.fd >= 0 {
		c.tls.read()
	}
	c.updateInterest()
}

// discardUnread reads and discards the received bytes. Closing a socket that has unread bytes would
// reset the connection, and the peer could lose the last answer.
func (c *Conn) discardUnread() {
	for c.discarded <= maxLingerBytes {
		n, err := c.loop.syscalls.Read(c.fd, c.loop.readBuffer)
		if n <= 0 || err != nil {
			return
		}
		c.discarded += n
	}
}

// read reads from the socket. Bytes received after Finish are discarded, because closing a socket
// that has unread bytes would reset the connection.
func (c *Conn) read(events uint32) {
	for range maxReadsPerEvent {
		if c.fd < 0 || c.eof {
			return
		}
		limit := c.readLimit()
		if limit == 0 {
			break
		}
		n, err := c.loop.syscalls.Read(c.fd, c.loop.readBuffer[:limit])
		switch {
		case err == unix.EINTR:
			continue
		case err == unix.EAGAIN:
			return
		case outOfMemory(err):
			c.stall()
			return
		case err != nil:
			c.fail(err)
			return
		case n == 0:
			c.handleEOF()
			return
		}
		if !c.finishing {
			c.receive(c.loop.readBuffer[:n])
			if c.unread.size() > DefaultReadLimit && c.loop.overMemoryLimit() {
				c.overflow()
				return
			}
		} else if c.discarded += n; c.discarded > maxLingerBytes {
			c.release()
			return
		}
		if n < limit || c.yielded || c.turnOver() {
			return
		}
	}
	if events&(unix.EPOLLERR|unix.EPOLLHUP) != 0 && c.fd >= 0 && !c.finishing {
		c.checkReset(events)
	}
}

// overflow ends a connection whose unread bytes no longer fit into the loop's memory limit. Its handler
// may still write, if it is an OverflowHandler.
func (c *Conn) overflow() {
	h, ok := c.handler.(OverflowHandler)
	if !ok {
		c.fail(ErrOverflow)
		return
	}
	h.Overflow()
	c.dropUnread()
	c.countBuffered()
}

// readLimit returns how many bytes to read at once; 0 if the connection should not be read now.
func (c *Conn) readLimit() int {
	limit := len(c.loop.readBuffer)
	if c.finishing {
		return limit
	}
	if limit = min(limit, c.maxUnread-c.unread.size()); limit == 0 || c.readPaused || c.yielded {
		return 0
	}
	if c.loop.MemoryPressure() { // read only up to the default limit, or the next part of a larger message
		if limit = min(limit, DefaultReadLimit); c.unread.size() < DefaultReadLimit {
			limit = min(limit, DefaultReadLimit-c.unread.size())
		}
	}
	return limit
}

// checkReset fails a connection that is not being read if the peer has reset it.
func (c *Conn) checkReset(events uint32) {
	if code, err := unix.GetsockoptInt(c.fd, unix.SOL_SOCKET, unix.SO_ERROR); err == nil && code != 0 {
		c.fail(unix.Errno(code))
	} else if events&unix.EPOLLHUP != 0 {
		c.fail(unix.ECONNRESET)
	}
}

// handleEOF handles EOF from the peer.
func (c *Conn) handleEOF() {
	if c.eof {
		return
	}
	if c.tls != nil && !c.tls.established && !c.finishing {
		c.fail(io.ErrUnexpectedEOF)
		return
	}
	c.eof = true
	if c.finishing {
		if c.writeClosed {
			c.release()
		}
		return
	}
	c.handler.End(io.EOF)
}

// receive handles bytes read from the socket.
func (c *Conn) receive(b []byte) {
	if c.tls != nil {
		c.tls.receive(b)
	} else {
		c.receivePlain(b)
	}
}

// receivePlain passes unencrypted bytes to the handler. If no earlier bytes are unread, b is passed
// without a copy, and only what the handler does not consume is copied.
func (c *Conn) receivePlain(b []byte) {
	if c.unread.size() > 0 {
		c.unread.append(c.loop, b)
		c.offerUnread()
		return
	}
	c.inData = true
	n := c.handler.Data(b)
	c.inData = false
	if n = min(n, len(b)); n < len(b) && !c.finishing {
		c.unread.appendSmall(c.loop, b[n:])
	}
	c.countBuffered()
}

// offerUnread passes the unread bytes to the handler.
func (c *Conn) offerUnread() {
	if c.unread.size() == 0 {
		return
	}
	c.inData = true
	n := c.handler.Data(c.unread.data())
	c.inData = false
	if c.unread.buf != nil {
		c.unread.consume(c.loop, min(n, c.unread.size()))
	}
	c.countBuffered()
}

package netloop

import (
	"io"

	"golang.org/x/sys/unix"
)

// This file is how bytes, and the end of the peer, come in on a connection.

// PauseReading has nothing more read before Resume: for a handler that leaves bytes for want of room,
// not because it needs more of them. Without this all that a peer sends is kept up to the bound.
func (c *Conn) PauseReading() { c.readPaused = true }

// SetEarlyEOF has the peer's end told as soon as it comes, or again only after all bytes that came before it: for a
// handler that leaves bytes in the kernel, and to which they mean nothing once their sender has gone.
func (c *Conn) SetEarlyEOF(on bool) {
	c.earlyEOF = on
	c.updateInterest()
}

// ResumeReading hands over bytes that the handler left, and reads on.
func (c *Conn) ResumeReading() {
	c.readPaused = false
	if c.fd < 0 || c.inData || c.dialTimer != nil || c.failTimer != nil {
		return
	}
	c.offerUnread()
	if c.tls != nil && c.fd >= 0 {
		c.tls.read()
	}
	c.updateInterest()
}

// discardUnread throws away what has come since: closing a socket with unread bytes would reset the connection, and the
// last answer with it.
func (c *Conn) discardUnread() {
	for c.discarded <= maxLingerBytes {
		n, err := c.loop.syscalls.Read(c.fd, c.loop.readBuffer)
		if n <= 0 || err != nil {
			return
		}
		c.discarded += n
	}
}

// read takes in what is there. What comes after Finish is thrown away: closing
// a socket with unread bytes would reset it.
func (c *Conn) read(events uint32) {
	chunk := c.loop.readBuffer
	for range maxReadsPerEvent {
		if c.fd < 0 || c.eof {
			return
		}
		room := len(chunk)
		if !c.finishing {
			if room = min(room, c.maxUnread-c.unread.size()); room == 0 || c.readPaused {
				break
			}
			if c.loop.MemoryPressure() { // no more than fits the basic share, or completes a large message
				if room = min(room, DefaultReadLimit); c.unread.size() < DefaultReadLimit {
					room = min(room, DefaultReadLimit-c.unread.size())
				}
			}
		}
		n, err := c.loop.syscalls.Read(c.fd, chunk[:room])
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
			c.receive(chunk[:n])
			if c.unread.size() > DefaultReadLimit && c.loop.overMemoryLimit() {
				c.fail(ErrOverflow)
				return
			}
		} else if c.discarded += n; c.discarded > maxLingerBytes {
			c.release()
			return
		}
		if n < room {
			return
		}
	}
	if events&(unix.EPOLLERR|unix.EPOLLHUP) != 0 && c.fd >= 0 && !c.finishing {
		// Nothing more is read, yet the peer has reset the connection.
		if code, err := unix.GetsockoptInt(c.fd, unix.SOL_SOCKET, unix.SO_ERROR); err == nil && code != 0 {
			c.fail(unix.Errno(code))
		} else if events&unix.EPOLLHUP != 0 {
			c.fail(unix.ECONNRESET)
		}
	}
}

// handleEOF says that the peer has ended its sending.
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

// receive takes bytes that were just read.
func (c *Conn) receive(b []byte) {
	if c.tls != nil {
		c.tls.receive(b)
	} else {
		c.receivePlain(b)
	}
}

// receivePlain hands over bytes that were just read. Where none are kept already they go from the
// loop's own buffer, and only what the handler leaves is copied.
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
		c.unread.append(c.loop, b[n:])
	}
	c.countBuffered()
}

// offerUnread hands the unread bytes to the handler.
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

package netloop

import (
	"io"

	"golang.org/x/sys/unix"
)

// This file is how bytes, and the end of the peer, come in on a connection.

// PauseReading has nothing more read before Resume: for a handler that leaves bytes for want of room,
// not because it needs more of them. Without this all that a peer sends is kept up to the bound.
func (c *Conn) PauseReading() { c.resting = true }

// SetEarlyEOF has the peer's end told as soon as it comes, or again only after all bytes that came before it: for a
// handler that leaves bytes in the kernel, and to which they mean nothing once their sender has gone.
func (c *Conn) SetEarlyEOF(on bool) {
	c.endFirst = on
	c.update()
}

// ResumeReading hands over bytes that the handler left, and reads on.
func (c *Conn) ResumeReading() {
	c.resting = false
	if c.fd < 0 || c.busy || c.dialling != nil || c.failing != nil {
		return
	}
	c.offer()
	if c.sec != nil && c.fd >= 0 {
		c.sec.read()
	}
	c.update()
}

// readOut throws away what has come since: closing a socket with unread bytes would reset the connection, and the
// last answer with it.
func (c *Conn) readOut() {
	for c.rest <= lingerMost {
		n, err := c.l.sys.Read(c.fd, c.l.chunk)
		if n <= 0 || err != nil {
			return
		}
		c.rest += n
	}
}

// read takes in what is there. What comes after Finish is thrown away: closing
// a socket with unread bytes would reset it.
func (c *Conn) read(events uint32) {
	chunk := c.l.chunk
	for range readMost {
		if c.fd < 0 || c.eof {
			return
		}
		room := len(chunk)
		if !c.ending {
			if room = min(room, c.inMost-c.in.size()); room == 0 || c.resting {
				break
			}
			if c.l.MemoryPressure() { // no more than fits the basic share, or completes a large message
				if room = min(room, DefaultReadLimit); c.in.size() < DefaultReadLimit {
					room = min(room, DefaultReadLimit-c.in.size())
				}
			}
		}
		n, err := c.l.sys.Read(c.fd, chunk[:room])
		switch {
		case err == unix.EINTR:
			continue
		case err == unix.EAGAIN:
			return
		case outOfMeans(err):
			c.stall()
			return
		case err != nil:
			c.fail(err)
			return
		case n == 0:
			c.heardEnd()
			return
		}
		if !c.ending {
			c.takeIn(chunk[:n])
			if c.in.size() > DefaultReadLimit && c.l.overMemoryLimit() {
				c.fail(ErrOverflow)
				return
			}
		} else if c.rest += n; c.rest > lingerMost {
			c.release()
			return
		}
		if n < room {
			return
		}
	}
	if events&(unix.EPOLLERR|unix.EPOLLHUP) != 0 && c.fd >= 0 && !c.ending {
		// Nothing more is read, yet the peer has reset the connection.
		if code, err := unix.GetsockoptInt(c.fd, unix.SOL_SOCKET, unix.SO_ERROR); err == nil && code != 0 {
			c.fail(unix.Errno(code))
		} else if events&unix.EPOLLHUP != 0 {
			c.fail(unix.ECONNRESET)
		}
	}
}

// heardEnd says that the peer has ended its sending.
func (c *Conn) heardEnd() {
	if c.eof {
		return
	}
	if c.sec != nil && !c.sec.up && !c.ending {
		c.fail(io.ErrUnexpectedEOF)
		return
	}
	c.eof = true
	if c.ending {
		if c.shut {
			c.release()
		}
		return
	}
	c.h.End(io.EOF)
}

// takeIn takes bytes that were just read.
func (c *Conn) takeIn(b []byte) {
	if c.sec != nil {
		c.sec.take(b)
	} else {
		c.takePlain(b)
	}
}

// takePlain hands over bytes that were just read. Where none are kept already they go from the
// loop's own buffer, and only what the handler leaves is copied.
func (c *Conn) takePlain(b []byte) {
	if c.in.size() > 0 {
		c.in.add(c.l, b)
		c.offer()
		return
	}
	c.busy = true
	n := c.h.Data(b)
	c.busy = false
	if n = min(n, len(b)); n < len(b) && !c.ending {
		c.in.add(c.l, b[n:])
	}
	c.count()
}

// offer hands the unread bytes to the handler.
func (c *Conn) offer() {
	if c.in.size() == 0 {
		return
	}
	c.busy = true
	n := c.h.Data(c.in.data())
	c.busy = false
	if c.in.buf != nil {
		c.in.drop(c.l, min(n, c.in.size()))
	}
	c.count()
}

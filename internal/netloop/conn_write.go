package netloop

import (
	"golang.org/x/sys/unix"
)

// Unsent is the number of written bytes that the kernel has not accepted. With TLS, bytes that are
// already encrypted count with the overhead of their records. After the end it is the number that
// was never sent.
func (c *Conn) Unsent() int { return c.unsentAtEnd + c.unsent() }

func (c *Conn) unsent() int {
	if c.tls != nil {
		return c.unsentBuf.size() + c.tls.encrypted.size()
	}
	return c.unsentBuf.size()
}

// WriteCapacity is the number of bytes that can be written before the sender should pause.
func (c *Conn) WriteCapacity() int { return max(0, c.maxUnsent-c.unsentBuf.size()) }

// Write sends b, and buffers what cannot be sent yet. On a dialled connection it must not be called
// before Open. After the end of the connection it does nothing.
func (c *Conn) Write(b []byte) {
	if c.fd < 0 || c.finishing || c.failTimer != nil {
		return
	}
	if c.tls != nil {
		c.Queue(b)
		return
	}
	if c.unsentBuf.size() == 0 {
		n, err := c.loop.syscalls.Write(c.fd, b)
		switch {
		case err == nil, err == unix.EAGAIN, err == unix.EINTR:
		case outOfMemory(err):
			c.stall()
		default:
			c.unsentAtEnd += len(b)
			c.failLater(err)
			return
		}
		b = b[max(n, 0):]
	}
	if len(b) == 0 {
		return
	}
	c.unsentBuf.append(c.loop, b)
	c.countBuffered()
	if c.unsentBuf.size() > c.maxUnsent+writeMargin || c.unsentBuf.size() > DefaultWriteLimit+writeMargin && c.loop.overMemoryLimit() {
		c.failLater(ErrOverflow)
		return
	}
	c.updateInterest()
}

// Queue is like Write, but sends b at the end of the current round of the loop, together with
// everything else queued in the round. It is meant for callers that write often.
func (c *Conn) Queue(b []byte) { c.Commit(append(c.Buffer(len(b)), b...)) }

// Buffer returns the unsent bytes as a slice with capacity for at least more further bytes. The
// caller appends to it and passes the result to Commit at once. Compared with Queue this saves a
// copy.
func (c *Conn) Buffer(more int) []byte {
	if c.fd < 0 || c.finishing || c.failTimer != nil {
		return c.loop.discardBuffer[:0] // Commit discards it
	}
	return c.unsentBuf.reserve(c.loop, more)
}

// Commit queues the bytes that were appended to the result of Buffer.
func (c *Conn) Commit(out []byte) {
	if c.fd < 0 || c.finishing || c.failTimer != nil {
		c.loop.discardBuffer = out
		return
	}
	c.unsentBuf.buf = out
	c.countBuffered()
	if !c.flushQueued {
		c.flushQueued = true
		c.loop.queued = append(c.loop.queued, c)
	}
	if c.unsentBuf.size() > c.maxUnsent+writeMargin || c.unsentBuf.size() > DefaultWriteLimit+writeMargin && c.loop.overMemoryLimit() {
		c.failLater(ErrOverflow)
	}
}

// flushQueue sends the bytes queued in this round.
func (c *Conn) flushQueue() {
	c.flushQueued = false
	if c.fd >= 0 && c.dialTimer == nil && c.failTimer == nil && c.interest&unix.EPOLLOUT == 0 {
		c.flush()
		c.updateInterest()
	}
}

func (c *Conn) flush() {
	if c.fd < 0 || c.unsent() == 0 {
		return
	}
	from := &c.unsentBuf
	if c.tls != nil {
		if err := c.tls.write(); err != nil {
			c.fail(err)
			return
		}
		if from = &c.tls.encrypted; from.size() == 0 {
			return // the handshake is in progress
		}
	}
	n, err := c.loop.syscalls.Write(c.fd, from.data())
	switch {
	case err == nil:
	case err == unix.EAGAIN, err == unix.EINTR:
		return
	case outOfMemory(err):
		c.stall()
		return
	default:
		c.fail(err)
		return
	}
	from.consume(c.loop, n)
	c.countBuffered()
	if c.unsent() > 0 {
		return
	}
	c.finishWriting()
	c.handler.Drained()
}

// finishWriting shuts down the sending side once Finish was called and all bytes are sent.
func (c *Conn) finishWriting() {
	if !c.finishing || c.unsent() > 0 || c.writeClosed || c.fd < 0 {
		return
	}
	if c.tls != nil && c.tls.closeNotify() {
		c.flush()
		return
	}
	c.writeClosed = true
	unix.Shutdown(c.fd, unix.SHUT_WR)
	if c.eof {
		c.release()
	}
}

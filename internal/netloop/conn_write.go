package netloop

import (
	"golang.org/x/sys/unix"
)

// This file is how bytes leave on a connection.

// Unsent is how many written bytes have not left; it stays after the end.
func (c *Conn) Unsent() int { return c.left + c.unsent() }

func (c *Conn) unsent() int {
	if c.sec != nil {
		return c.out.size() + c.sec.cipher.size()
	}
	return c.out.size()
}

// WriteCapacity is how many bytes may be written before the reader should rest.
func (c *Conn) WriteCapacity() int { return max(0, c.outMost-c.out.size()) }

// Write sends b, or keeps what cannot leave yet. It must not be called before
// Open on a dialled connection. After the end it does nothing.
func (c *Conn) Write(b []byte) {
	if c.fd < 0 || c.ending || c.failing != nil {
		return
	}
	if c.sec != nil {
		c.Queue(b)
		return
	}
	if c.out.size() == 0 {
		n, err := c.l.sys.Write(c.fd, b)
		switch {
		case err == nil, err == unix.EAGAIN, err == unix.EINTR:
		case outOfMeans(err):
			c.stall()
		default:
			c.left += len(b)
			c.later(err)
			return
		}
		b = b[max(n, 0):]
	}
	if len(b) == 0 {
		return
	}
	c.out.add(c.l, b)
	c.count()
	if c.out.size() > c.outMost+outOver || c.out.size() > DefaultWriteLimit+outOver && c.l.overMemoryLimit() {
		c.later(ErrOverflow)
		return
	}
	c.update()
}

// Queue is Write for those who write often: b leaves with all that is queued in this
// round of the loop, at its end.
func (c *Conn) Queue(b []byte) { c.Commit(append(c.Buffer(len(b)), b...)) }

// Buffer is what is unsent, for a caller that appends so many bytes to it and at once calls
// Commit with the result. This spares a copy.
func (c *Conn) Buffer(more int) []byte {
	if c.fd < 0 || c.ending || c.failing != nil {
		return c.l.scrap[:0] // thrown away by Commit
	}
	return c.out.open(c.l, more)
}

// Commit ends what Buffer has begun.
func (c *Conn) Commit(out []byte) {
	if c.fd < 0 || c.ending || c.failing != nil {
		c.l.scrap = out
		return
	}
	c.out.buf = out
	c.count()
	if !c.dirty {
		c.dirty = true
		c.l.dirty = append(c.l.dirty, c)
	}
	if c.out.size() > c.outMost+outOver || c.out.size() > DefaultWriteLimit+outOver && c.l.overMemoryLimit() {
		c.later(ErrOverflow)
	}
}

// push sends what was queued in this round.
func (c *Conn) push() {
	c.dirty = false
	if c.fd >= 0 && c.dialling == nil && c.failing == nil && c.interest&unix.EPOLLOUT == 0 {
		c.flush()
		c.update()
	}
}

func (c *Conn) flush() {
	if c.fd < 0 || c.unsent() == 0 {
		return
	}
	from := &c.out
	if c.sec != nil {
		if err := c.sec.write(); err != nil {
			c.fail(err)
			return
		}
		if from = &c.sec.cipher; from.size() == 0 {
			return // the handshake is not over
		}
	}
	n, err := c.l.sys.Write(c.fd, from.data())
	switch {
	case err == nil:
	case err == unix.EAGAIN, err == unix.EINTR:
		return
	case outOfMeans(err):
		c.stall()
		return
	default:
		c.fail(err)
		return
	}
	from.drop(c.l, n)
	c.count()
	if c.unsent() > 0 {
		return
	}
	c.flushed()
	c.h.Drained()
}

// flushed ends our sending once Finish was called and all has left.
func (c *Conn) flushed() {
	if !c.ending || c.unsent() > 0 || c.shut || c.fd < 0 {
		return
	}
	if c.sec != nil && c.sec.bye() {
		c.flush()
		return
	}
	c.shut = true
	unix.Shutdown(c.fd, unix.SHUT_WR)
	if c.eof {
		c.release()
	}
}

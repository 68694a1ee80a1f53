package netloop

import (
	"golang.org/x/sys/unix"
)

// This file is how connections end, or leave the loop without ending.

// Finish ends the connection politely: what is unsent still leaves, then the
// peer sees the end. The handler is told nothing more.
func (c *Conn) Finish() {
	if c.fd < 0 || c.dialling != nil || c.failing != nil {
		c.release()
		return
	}
	if c.ending {
		return
	}
	c.ending, c.h = true, deaf{}
	c.forget()
	c.count()
	// A peer that neither reads nor ends must not hold the descriptor.
	c.farewell = c.l.After(linger, c.release)
	c.SetEvictable(c.release)
	c.flushed()
	c.update()
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
	return c.fd >= 0 && c.dialling == nil && c.failing == nil && !c.ending && !c.eof && c.out.size() == 0 && c.sec == nil
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
	unread = append(unread, c.in.data()...)
	c.release()
	return fd, unread
}

// Attach takes over a descriptor that was detached, here or in another process, and
// the bytes that were not taken there; they are handed to the handler by Resume.
func (l *Loop) Attach(fd int, unread []byte, h Handler) *Conn {
	c := newConn(l, fd, &l.descriptorBudget)
	c.h = h
	if len(unread) > 0 {
		c.in.add(l, unread)
	}
	c.count()
	c.update()
	return c
}

// release is the one place where a connection gives back what it owns.
func (c *Conn) release() {
	for _, t := range []*Timer{c.dialling, c.failing, c.farewell, c.retry} {
		t.Stop()
	}
	c.SetEvictable(nil)
	c.left += c.unsent()
	c.out.free(c.l)
	if c.sec != nil {
		c.sec.end()
	}
	c.forget()
	c.h, c.ending = deaf{}, true
	c.count()
	if c.fd >= 0 {
		if c.shut {
			c.readOut()
		}
		c.l.drop(c.fd, c.budget)
		c.fd = -1
	}
}

// leave ends the connection as the loop ends: the peer gets what the system has taken, and an end after it.
func (c *Conn) leave() {
	if c.dialling == nil {
		unix.Shutdown(c.fd, unix.SHUT_WR)
		c.readOut()
	}
}

// forget throws unread bytes away. A handler that is reading them still may.
func (c *Conn) forget() {
	if c.busy {
		c.in = store{}
	} else {
		c.in.free(c.l)
	}
}

// fail ends the connection on an error.
func (c *Conn) fail(err error) {
	h, told := c.h, c.eof
	c.release()
	if !told {
		h.End(err)
	}
}

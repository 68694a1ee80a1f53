package netloop

import (
	"fmt"
	"time"

	"golang.org/x/sys/unix"
)

// Dial starts a connection. A failure, also an immediate one, is reported by the handler's End, never from within Dial.
func (l *Loop) Dial(addr string, timeout time.Duration, h Handler) *Conn {
	return l.dial(addr, timeout, h, &l.descriptorBudget)
}

// DescriptorReserve is a descriptor budget for dials of one purpose beside the loop's limit: what the rest of the loop has open
// cannot keep them from being dialled.
type DescriptorReserve struct {
	loop *Loop
	descriptorBudget
}

// NewDescriptorReserve makes a reserve for so many connections.
func (l *Loop) NewDescriptorReserve(limit int) *DescriptorReserve {
	return &DescriptorReserve{l, descriptorBudget{limit: limit}}
}

// Dial is the loop's Dial within the reserve. If that is used up, a connection that has ended and lingers is closed, so that
// the next dial finds a descriptor.
func (r *DescriptorReserve) Dial(addr string, timeout time.Duration, h Handler) *Conn {
	if r.FreeDescriptors() <= 0 {
		r.evictOldest()
	}
	return r.loop.dial(addr, timeout, h, &r.descriptorBudget)
}

func (l *Loop) dial(addr string, timeout time.Duration, h Handler, budget *descriptorBudget) *Conn {
	c := newConn(l, -1, budget)
	c.handler = h
	if err := c.connect(addr, timeout); err != nil {
		c.dialTimer = l.After(0, func() { c.fail(err) })
	}
	return c
}

func (c *Conn) connect(addr string, timeout time.Duration) error {
	sockaddr, family, err := parseSockaddr(addr)
	if err != nil {
		return err
	}
	if c.budget.FreeDescriptors() <= 0 {
		return ErrNoDescriptors
	}
	fd, err := c.loop.syscalls.Socket(family, unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return localError(err)
	}
	if err = c.loop.syscalls.Connect(fd, sockaddr); err != nil && !inProgress(err) {
		unix.Close(fd)
		return connectError(err)
	}
	c.adopt(fd)
	c.dialTimer = c.loop.After(timeout, func() { c.fail(ErrDialTimeout) })
	c.updateInterest()
	return nil
}

// inProgress reports whether a connection is being set up, though connect has not waited for it.
func inProgress(err error) bool { return err == unix.EINPROGRESS || err == unix.EINTR }

// connectError classifies an error of connect itself. The peer can only have caused these three.
func connectError(err error) error {
	switch err {
	case unix.ECONNREFUSED, unix.EHOSTUNREACH, unix.ETIMEDOUT:
		return err
	}
	return localError(err)
}

// localError marks an error as a lack of this machine's own resources, which the peer has nothing to do with.
func localError(err error) error { return fmt.Errorf("%w: %w", ErrNoDescriptors, err) }

// finishDial finishes a dial; false if the connection is still being set up, or over.
func (c *Conn) finishDial() bool {
	code, err := unix.GetsockoptInt(c.fd, unix.SOL_SOCKET, unix.SO_ERROR)
	if err == nil && code != 0 {
		err = unix.Errno(code)
	}
	if err != nil {
		c.fail(err)
		return false
	}
	if _, err := unix.Getpeername(c.fd); err != nil {
		return false
	}
	c.dialTimer.Stop()
	c.dialTimer = nil
	c.handler.Open()
	return c.fd >= 0
}

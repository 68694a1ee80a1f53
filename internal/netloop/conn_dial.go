package netloop

import (
	"fmt"
	"time"

	"golang.org/x/sys/unix"
)

// Dial starts a connection to addr, an IP address with a port. A failure, even an immediate one, is
// reported by a later call of the handler's End, never from within Dial: ErrDialTimeout after
// timeout, ErrNoDescriptors for a failure on this host, otherwise the error of the address or the
// system call.
func (l *Loop) Dial(addr string, timeout time.Duration, h Handler) *Conn {
	return l.dial(addr, timeout, h, &l.descriptorBudget)
}

// DescriptorReserve is a descriptor budget for the dials of one purpose, separate from the loop's
// limit. Descriptors that the rest of the loop has open do not count against it.
type DescriptorReserve struct {
	loop *Loop
	descriptorBudget
}

// NewDescriptorReserve returns a reserve for limit connections.
func (l *Loop) NewDescriptorReserve(limit int) *DescriptorReserve {
	return &DescriptorReserve{l, descriptorBudget{limit: limit}}
}

// Dial is like Loop.Dial, but counts against the reserve. If the reserve is exhausted, Dial closes
// one of its connections that is lingering after Finish. This dial still fails with
// ErrNoDescriptors; the descriptor is free for a dial in a later round.
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

// inProgress reports whether connect has returned err while the connection is still being set up.
func inProgress(err error) bool { return err == unix.EINPROGRESS || err == unix.EINTR }

// connectError classifies an error returned by connect. Only these three can be caused by the peer or
// the network; any other is a local error.
func connectError(err error) error {
	switch err {
	case unix.ECONNREFUSED, unix.EHOSTUNREACH, unix.ETIMEDOUT:
		return err
	}
	return localError(err)
}

// localError marks an error as a failure on this host that the peer did not cause.
func localError(err error) error { return fmt.Errorf("%w: %w", ErrNoDescriptors, err) }

// finishDial completes a dial once the socket is writable. It returns false if the connection is not
// established yet, has failed, or was closed by the handler's Open.
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

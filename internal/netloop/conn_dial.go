package netloop

import (
	"time"

	"golang.org/x/sys/unix"
)

// This file is how connections are dialled.

// Dial starts a connection. Its end, also at once, is told by the handler's End,
// never from within Dial.
func (l *Loop) Dial(addr string, within time.Duration, h Handler) *Conn {
	return l.dial(addr, within, h, &l.budget)
}

// Reserve is room for connections of one purpose beside the loop's limit: what the rest of the loop holds cannot
// keep them from being dialled.
type Reserve struct {
	loop *Loop
	budget
}

// Reserve makes room for so many connections.
func (l *Loop) Reserve(most int) *Reserve { return &Reserve{l, budget{limit: most}} }

// Dial is the loop's Dial within the reserve. Where that is used up, a connection that has ended and lingers makes
// room, which the dial after this one finds.
func (r *Reserve) Dial(addr string, within time.Duration, h Handler) *Conn {
	if r.Free() <= 0 {
		r.giveUp()
	}
	return r.loop.dial(addr, within, h, &r.budget)
}

func (l *Loop) dial(addr string, within time.Duration, h Handler, from *budget) *Conn {
	c := newConn(l, -1, from)
	c.h = h
	if err := c.connect(addr, within); err != nil {
		c.dialling = l.After(0, func() { c.fail(err) })
	}
	return c
}

func (c *Conn) connect(addr string, within time.Duration) error {
	at, family, err := address(addr)
	if err != nil {
		return err
	}
	if c.budget.Free() <= 0 {
		return ErrFull
	}
	fd, err := c.l.sys.Socket(family, unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return errNone(err)
	}
	c.l.sys.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1)
	if err = c.l.sys.Connect(fd, at); err == unix.EINPROGRESS || err == nil {
		err = c.l.add(fd, unix.EPOLLOUT, c, c.budget)
	} else if err == unix.EADDRNOTAVAIL || err == unix.EAGAIN || err == unix.ENOBUFS || err == unix.ENOMEM {
		err = errNone(err)
	}
	if err != nil {
		unix.Close(fd)
		return err
	}
	c.fd, c.interest = fd, unix.EPOLLOUT
	c.dialling = c.l.After(within, func() { c.fail(ErrDialTimeout) })
	return nil
}

// opened finishes a dial; false if the connection is still on its way or over.
func (c *Conn) opened() bool {
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
	c.dialling.Stop()
	c.dialling = nil
	c.h.Open()
	return c.fd >= 0
}

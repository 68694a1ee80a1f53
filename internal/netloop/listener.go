package netloop

import (
	"errors"
	"fmt"
	"time"

	"golang.org/x/sys/unix"
)

// closeTimeout is how long the end of listening waits for means to take in what is in the queue.
const closeTimeout = 300 * time.Millisecond

// acceptBurst bounds the connections accepted before other sockets have a turn.
const acceptBurst = 16

// evictPause is how long a listener rests that has no descriptor left, where some are given up for it: those are
// free after the round.
const evictPause = time.Millisecond

// Listener takes connections in.
type Listener struct {
	loop         *Loop
	fd           int
	onAccept     func(*Conn)
	onAcceptFD   func(fd int) // in the place of accept, for connections that are none of Conn's
	pauseTimer   *Timer
	paused       bool
	closing      bool              // it ends once its queue is empty
	closeTimer   *Timer            // or then
	abortedInRow int               // connections in a row that were gone before they could be taken in
	budget       *descriptorBudget // of the connections it takes in
}

// Listen opens a listening socket. For each connection it calls accept, which
// must give the Conn a handler by Handle.
func (l *Loop) Listen(addr string, accept func(*Conn)) (*Listener, error) {
	return l.listen(addr, accept, &l.descriptorBudget)
}

// ListenReserved does the same with room for so many connections beside the loop's
// limit: what the rest of the loop holds cannot keep them out, nor they the rest.
func (l *Loop) ListenReserved(addr string, most int, accept func(*Conn)) (*Listener, error) {
	return l.listen(addr, accept, &descriptorBudget{limit: most})
}

func (l *Loop) listen(addr string, accept func(*Conn), from *descriptorBudget) (*Listener, error) {
	at, family, err := parseSockaddr(addr)
	if err != nil {
		return nil, err
	}
	fd, err := l.syscalls.Socket(family, unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, fmt.Errorf("listening at %s: %w", addr, err)
	}
	s := &Listener{loop: l, fd: fd, onAccept: accept, budget: from}
	err = l.syscalls.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1)
	if err == nil {
		err = l.syscalls.Bind(fd, at)
	}
	if err == nil {
		err = s.start(4096)
	}
	if err != nil {
		unix.Close(fd)
		return nil, fmt.Errorf("listening at %s: %w", addr, err)
	}
	return s, nil
}

// IsTransientListenError says that listening has failed by what may be over in a moment: another process holds the address, or the
// system has no means now.
func IsTransientListenError(err error) bool {
	for _, passing := range []unix.Errno{unix.EADDRINUSE, unix.EADDRNOTAVAIL, unix.EMFILE, unix.ENFILE, unix.ENOBUFS, unix.ENOMEM,
		unix.ENOSPC, unix.EINTR, unix.EAGAIN} {
		if errors.Is(err, passing) {
			return true
		}
	}
	return false
}

func (s *Listener) start(backlog int) error {
	if err := s.loop.syscalls.Listen(s.fd, backlog); err != nil {
		return err
	}
	return s.loop.register(s.fd, unix.EPOLLIN, s, &s.loop.descriptorBudget)
}

// Inherit listens by a socket that another process has opened and listens by too.
func (l *Loop) Inherit(fd int, accept func(*Conn)) (*Listener, error) {
	s := &Listener{loop: l, fd: fd, onAccept: accept, budget: &l.descriptorBudget}
	if err := l.register(fd, unix.EPOLLIN, s, &l.descriptorBudget); err != nil {
		unix.Close(fd)
		return nil, fmt.Errorf("listening: %w", err)
	}
	return s, nil
}

// Fd is the socket, to be handed over.
func (s *Listener) FD() int { return s.fd }

// SetPaused has the listener take nothing in, or go on. What waits in the queue of a
// socket that another process shares is that one's.
func (s *Listener) SetPaused(held bool) {
	if s.paused = held; s.fd >= 0 {
		s.pauseTimer.Stop()
		s.updateInterest()
	}
}

// LocalAddr is the address that the socket is bound to.
func (s *Listener) Addr() string { return localAddr(s.fd) }

// Close ends listening; connections already taken in stay. Those in the queue are taken in first: closing the socket
// would reset them. Where the system has no means for that now, listening ends once they are taken in, or after
// closeTimeout. A nil one may be closed.
func (s *Listener) Close() {
	if s == nil || s.fd < 0 || s.closing {
		return
	}
	s.closing = true
	if s.onAcceptFD != nil || s.paused { // what waits is another process's, or no client's
		s.closeSocket()
		return
	}
	s.closeTimer = s.loop.After(closeTimeout, s.closeSocket)
	s.drainBacklog()
}

// drainBacklog takes in what is in the queue, and ends listening after that.
func (s *Listener) drainBacklog() {
	for s.fd >= 0 {
		switch s.acceptNext() {
		case backlogEmpty:
			s.closeSocket()
		case backlogStuck:
			return // it is tried again
		}
	}
}

// closeSocket gives the socket back.
func (s *Listener) closeSocket() {
	s.pauseTimer.Stop()
	s.closeTimer.Stop()
	s.loop.unregister(s.fd, &s.loop.descriptorBudget)
	s.fd = -1
}

// Closed says that listening has ended.
func (s *Listener) Closed() bool { return s.fd < 0 }

func (s *Listener) ready(uint32) {
	if s.closing {
		s.drainBacklog()
		return
	}
	for range acceptBurst {
		if s.fd < 0 || s.paused || s.acceptNext() != acceptTaken {
			return
		}
	}
}

// acceptResult is what an attempt to take a connection in shows of the listener's queue.
type acceptResult int

const (
	acceptTaken acceptResult = iota // there may be more
	backlogEmpty
	backlogStuck // it cannot be taken from now; that is tried again after a rest
)

// acceptNext takes a connection in.
func (s *Listener) acceptNext() acceptResult {
	if s.budget.FreeDescriptors() <= 0 {
		rest := resourceRetryDelay
		if s.budget.evictIfLow() {
			rest = evictPause
		}
		s.pause(rest)
		return backlogStuck
	}
	fd, _, err := s.loop.syscalls.Accept(s.fd, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
	switch {
	case err == unix.EAGAIN:
		return backlogEmpty
	case err != nil && isAborted(err) && s.abortedInRow < acceptBurst:
		s.abortedInRow++
		return acceptTaken
	case err != nil:
		s.abortedInRow = 0
		s.pause(resourceRetryDelay)
		return backlogStuck
	}
	s.abortedInRow = 0
	if s.onAcceptFD != nil {
		s.onAcceptFD(fd)
		return acceptTaken
	}
	s.budget.evictIfLow() // before the new one may be spared: it has had no turn yet
	c := newConn(s.loop, fd, s.budget)
	s.onAccept(c)
	c.updateInterest()
	return acceptTaken
}

// isAborted says that accept has met a connection that is gone already, or a signal: the next one may be well.
func isAborted(err error) bool {
	switch err {
	case unix.EINTR, unix.ECONNABORTED, unix.EPROTO, unix.EPERM, unix.ENETDOWN, unix.ENOPROTOOPT, unix.EHOSTDOWN,
		unix.ENONET, unix.EHOSTUNREACH, unix.EOPNOTSUPP, unix.ENETUNREACH, unix.ETIMEDOUT:
		return true
	}
	return false
}

// pause guards against spinning on a backlog that cannot be taken in.
func (s *Listener) pause(rest time.Duration) {
	s.loop.epollCtl(unix.EPOLL_CTL_MOD, s.fd, 0) // where that fails the listener spins until the rest is over
	s.pauseTimer.Stop()
	s.pauseTimer = s.loop.After(rest, s.updateInterest)
}

// updateInterest has epoll tell of connections in the queue, unless the listener is held.
func (s *Listener) updateInterest() {
	var want uint32
	if !s.paused {
		want = unix.EPOLLIN
	}
	if s.loop.epollCtl(unix.EPOLL_CTL_MOD, s.fd, want) != nil {
		s.pauseTimer.Stop()
		s.pauseTimer = s.loop.After(resourceRetryDelay, s.updateInterest)
		return
	}
	if s.closing {
		s.drainBacklog()
	}
}

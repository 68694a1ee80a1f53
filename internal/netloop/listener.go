package netloop

import (
	"errors"
	"fmt"
	"time"

	"golang.org/x/sys/unix"
)

// closeTimeout is how long Close waits for system resources to accept what is in the backlog.
const closeTimeout = 300 * time.Millisecond

// acceptBurst bounds the connections accepted before other sockets have a turn.
const acceptBurst = 16

// evictPause is how long a listener without descriptors pauses if connections were evicted for it: their descriptors are free
// after the round.
const evictPause = time.Millisecond

// Listener accepts connections.
type Listener struct {
	loop         *Loop
	fd           int
	onAccept     func(*Conn)
	onAcceptFD   func(fd int) // in place of onAccept, for connections that are not served by a Conn
	pauseTimer   *Timer
	paused       bool
	closing      bool              // it is closed once its backlog is empty
	closeTimer   *Timer            // or after this
	abortedInRow int               // connections in a row that had ended before they were accepted
	budget       *descriptorBudget // of the connections that it accepts
}

// Listen opens a listening socket. For each connection it calls accept, which must set a handler.
func (l *Loop) Listen(addr string, accept func(*Conn)) (*Listener, error) {
	return l.listen(addr, accept, &l.descriptorBudget)
}

// ListenReserved does the same with a budget of so many connections beside the loop's limit: what the rest of the loop has
// open cannot keep them out, nor they the rest.
func (l *Loop) ListenReserved(addr string, limit int, accept func(*Conn)) (*Listener, error) {
	return l.listen(addr, accept, &descriptorBudget{limit: limit})
}

func (l *Loop) listen(addr string, accept func(*Conn), budget *descriptorBudget) (*Listener, error) {
	sockaddr, family, err := parseSockaddr(addr)
	if err != nil {
		return nil, err
	}
	fd, err := l.syscalls.Socket(family, unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, fmt.Errorf("listening at %s: %w", addr, err)
	}
	s := &Listener{loop: l, fd: fd, onAccept: accept, budget: budget}
	err = l.syscalls.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1)
	if err == nil {
		err = l.syscalls.Bind(fd, sockaddr)
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

// IsTransientListenError reports whether listening has failed for a reason that may be over in a moment: another process has the
// address, or the system is out of resources.
func IsTransientListenError(err error) bool {
	for _, transient := range []unix.Errno{unix.EADDRINUSE, unix.EADDRNOTAVAIL, unix.EMFILE, unix.ENFILE, unix.ENOBUFS, unix.ENOMEM,
		unix.ENOSPC, unix.EINTR, unix.EAGAIN} {
		if errors.Is(err, transient) {
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

// ListenInherited listens on a socket that another process has opened and listens on too.
func (l *Loop) ListenInherited(fd int, accept func(*Conn)) (*Listener, error) {
	s := &Listener{loop: l, fd: fd, onAccept: accept, budget: &l.descriptorBudget}
	if err := l.register(fd, unix.EPOLLIN, s, &l.descriptorBudget); err != nil {
		unix.Close(fd)
		return nil, fmt.Errorf("listening: %w", err)
	}
	return s, nil
}

// FD is the socket, to be handed over to another process.
func (s *Listener) FD() int { return s.fd }

// SetPaused has the listener accept nothing, or go on. The backlog of a socket that another process shares is left to that one.
func (s *Listener) SetPaused(paused bool) {
	if s.paused = paused; s.fd >= 0 {
		s.pauseTimer.Stop()
		s.updateInterest()
	}
}

// Addr is the address that the socket is bound to.
func (s *Listener) Addr() string { return localAddr(s.fd) }

// Close ends listening; accepted connections stay. Those in the backlog are accepted first: closing the socket would reset
// them. If the system is out of resources for that, listening ends once they are accepted, or after closeTimeout. A nil
// Listener may be closed.
func (s *Listener) Close() {
	if s == nil || s.fd < 0 || s.closing {
		return
	}
	s.closing = true
	if s.onAcceptFD != nil || s.paused { // the backlog is another process's, or no client's
		s.closeSocket()
		return
	}
	s.closeTimer = s.loop.After(closeTimeout, s.closeSocket)
	s.drainBacklog()
}

// drainBacklog accepts what is in the backlog, and closes the socket after that.
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

// closeSocket closes the socket.
func (s *Listener) closeSocket() {
	s.pauseTimer.Stop()
	s.closeTimer.Stop()
	s.loop.unregister(s.fd, &s.loop.descriptorBudget)
	s.fd = -1
}

// Closed reports whether listening has ended.
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

// acceptResult is what an attempt to accept shows of the listener's backlog.
type acceptResult int

const (
	acceptTaken acceptResult = iota // there may be more
	backlogEmpty
	backlogStuck // nothing can be accepted now; it is tried again after a pause
)

// acceptNext accepts one connection.
func (s *Listener) acceptNext() acceptResult {
	if s.budget.FreeDescriptors() <= 0 {
		delay := resourceRetryDelay
		if s.budget.evictIfLow() {
			delay = evictPause
		}
		s.pause(delay)
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
	s.budget.evictIfLow() // before the new one is evictable: it has had no turn yet
	c := newConn(s.loop, fd, s.budget)
	s.onAccept(c)
	c.updateInterest()
	return acceptTaken
}

// isAborted reports whether accept has met a connection that has ended already, or a signal: the next one may be well.
func isAborted(err error) bool {
	switch err {
	case unix.EINTR, unix.ECONNABORTED, unix.EPROTO, unix.EPERM, unix.ENETDOWN, unix.ENOPROTOOPT, unix.EHOSTDOWN,
		unix.ENONET, unix.EHOSTUNREACH, unix.EOPNOTSUPP, unix.ENETUNREACH, unix.ETIMEDOUT:
		return true
	}
	return false
}

// pause guards against spinning on a backlog that cannot be accepted.
func (s *Listener) pause(d time.Duration) {
	s.loop.epollCtl(unix.EPOLL_CTL_MOD, s.fd, 0) // if that fails the listener spins until the pause is over
	s.pauseTimer.Stop()
	s.pauseTimer = s.loop.After(d, s.updateInterest)
}

// updateInterest has epoll watch for connections in the backlog, unless the listener is paused.
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

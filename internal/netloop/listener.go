package netloop

import (
	"errors"
	"fmt"
	"time"

	"golang.org/x/sys/unix"
)

// closeTimeout is how long Close keeps trying to accept the backlog when system resources are short.
const closeTimeout = 300 * time.Millisecond

// acceptBurst is how many connections a listener accepts before other sockets have their turn.
const acceptBurst = 16

// evictPause is how long a listener without free descriptors pauses after it has evicted
// connections. Their descriptors are closed at the end of the round.
const evictPause = time.Millisecond

// Listener accepts connections.
type Listener struct {
	loop         *Loop
	fd           int
	onAccept     func(*Conn)
	onAcceptFD   func(fd int) // replaces onAccept for connections that are not served by a Conn
	pauseTimer   *Timer
	paused       bool
	closing      bool              // Close was called; the socket is closed once the backlog is empty
	closeTimer   *Timer            // closes the socket closeTimeout after Close
	abortedInRow int               // consecutive connections that had ended before they were accepted
	budget       *descriptorBudget // budget of the accepted connections
}

// Listen opens a listening socket at addr, an IP address with a port. It calls accept for each
// connection; accept must set a handler.
func (l *Loop) Listen(addr string, accept func(*Conn)) (*Listener, error) {
	return l.listen(addr, accept, &l.descriptorBudget)
}

// ListenReserved is like Listen, but its connections have a descriptor budget of their own,
// separate from the loop's limit: up to limit connections can be open however many descriptors the
// rest of the loop uses, and they take none from it.
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

// IsTransientListenError reports whether listening has failed for a reason that may pass: another
// process uses the address, the address is not available yet, or the system is short of resources.
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

// ListenInherited listens on a socket opened by another process, which may listen on it at the same
// time. It takes ownership of fd, also on an error.
func (l *Loop) ListenInherited(fd int, accept func(*Conn)) (*Listener, error) {
	s := &Listener{loop: l, fd: fd, onAccept: accept, budget: &l.descriptorBudget}
	if err := l.register(fd, unix.EPOLLIN, s, &l.descriptorBudget); err != nil {
		unix.Close(fd)
		return nil, fmt.Errorf("listening on inherited socket: %w", err)
	}
	return s, nil
}

// FD is the listening socket, to be passed to another process; -1 once the listener is closed.
func (s *Listener) FD() int { return s.fd }

// SetPaused stops or resumes accepting connections. While this listener is paused, another process
// that shares the socket accepts its backlog.
func (s *Listener) SetPaused(paused bool) {
	if s.paused = paused; s.fd >= 0 {
		s.pauseTimer.Stop()
		s.updateInterest()
	}
}

// Addr is the address that the socket is bound to, or "" once the listener is closed.
func (s *Listener) Addr() string { return localAddr(s.fd) }

// Close stops listening; accepted connections stay open. Connections in the backlog are accepted
// first, because closing the socket would reset them. If system resources are short, the socket is
// closed when they have been accepted, or after closeTimeout. Closing a nil Listener does nothing.
func (s *Listener) Close() {
	if s == nil || s.fd < 0 || s.closing {
		return
	}
	s.closing = true
	// The backlog of a channel's listener has no clients. The backlog of a paused listener is left to
	// the process that shares the socket.
	if s.onAcceptFD != nil || s.paused {
		s.closeSocket()
		return
	}
	s.closeTimer = s.loop.After(closeTimeout, s.closeSocket)
	s.drainBacklog()
}

// drainBacklog accepts the connections in the backlog and closes the socket when the backlog is
// empty.
func (s *Listener) drainBacklog() {
	for s.fd >= 0 {
		switch s.acceptNext() {
		case backlogEmpty:
			s.closeSocket()
		case backlogStuck:
			return // acceptNext has set a timer for a retry
		}
	}
}

// closeSocket closes the socket without accepting the backlog.
func (s *Listener) closeSocket() {
	s.pauseTimer.Stop()
	s.closeTimer.Stop()
	s.loop.unregister(s.fd, &s.loop.descriptorBudget)
	s.fd = -1
}

// Closed reports whether the socket is closed.
func (s *Listener) Closed() bool { return s.fd < 0 }

func (s *Listener) ready(uint32) {
	if s.closing {
		s.drainBacklog()
		return
	}
	for range acceptBurst {
		if s.fd < 0 || s.paused || s.acceptNext() != acceptedOne {
			return
		}
	}
}

// acceptResult is what acceptNext found in the backlog.
type acceptResult int

const (
	acceptedOne acceptResult = iota // one connection was accepted, or had ended already; there may be more
	backlogEmpty
	backlogStuck // nothing can be accepted now; accepting resumes after a pause
)

// acceptNext accepts one connection. If descriptors or system resources are short, it pauses the
// listener.
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
		return acceptedOne
	case err != nil:
		s.abortedInRow = 0
		s.pause(resourceRetryDelay)
		return backlogStuck
	}
	s.abortedInRow = 0
	if s.onAcceptFD != nil {
		s.onAcceptFD(fd)
		return acceptedOne
	}
	// Evict before onAccept makes the new connection evictable: it must be read at least once.
	s.budget.evictIfLow()
	c := newConn(s.loop, fd, s.budget)
	s.onAccept(c)
	c.updateInterest()
	return acceptedOne
}

// isAborted reports whether accept failed because the connection had ended already or a signal
// interrupted the call. The next accept may succeed.
func isAborted(err error) bool {
	switch err {
	case unix.EINTR, unix.ECONNABORTED, unix.EPROTO, unix.EPERM, unix.ENETDOWN, unix.ENOPROTOOPT, unix.EHOSTDOWN,
		unix.ENONET, unix.EHOSTUNREACH, unix.EOPNOTSUPP, unix.ENETUNREACH, unix.ETIMEDOUT:
		return true
	}
	return false
}

// pause stops accepting for d. Without it, epoll would report a backlog that cannot be accepted again
// and again.
func (s *Listener) pause(d time.Duration) {
	// If this fails, accept is called in every round until the pause ends.
	s.loop.epollCtl(unix.EPOLL_CTL_MOD, s.fd, 0)
	s.pauseTimer.Stop()
	s.pauseTimer = s.loop.After(d, s.updateInterest)
}

// updateInterest makes epoll watch for connections in the backlog, unless the listener is paused.
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

package netloop

import (
	"errors"
	"fmt"
	"time"

	"golang.org/x/sys/unix"
)

// closeWithin is how long the end of listening waits for means to take in what is in the queue.
const closeWithin = 300 * time.Millisecond

// acceptBurst bounds the connections accepted before other sockets have a turn.
const acceptBurst = 16

// relievePause is how long a listener rests that has no descriptor left, where some are given up for it: those are
// free after the round.
const relievePause = time.Millisecond

// Listener takes connections in.
type Listener struct {
	l       *Loop
	fd      int
	accept  func(*Conn)
	take    func(fd int) // in the place of accept, for connections that are none of Conn's
	rest    *Timer
	held    bool
	closing bool              // it ends once its queue is empty
	endBy   *Timer            // or then
	aborted int               // connections in a row that were gone before they could be taken in
	budget  *descriptorBudget // of the connections it takes in
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
	at, family, err := address(addr)
	if err != nil {
		return nil, err
	}
	fd, err := l.sys.Socket(family, unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, fmt.Errorf("listening at %s: %w", addr, err)
	}
	s := &Listener{l: l, fd: fd, accept: accept, budget: from}
	err = l.sys.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1)
	if err == nil {
		err = l.sys.Bind(fd, at)
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
	if err := s.l.sys.Listen(s.fd, backlog); err != nil {
		return err
	}
	return s.l.add(s.fd, unix.EPOLLIN, s, &s.l.descriptorBudget)
}

// Inherit listens by a socket that another process has opened and listens by too.
func (l *Loop) Inherit(fd int, accept func(*Conn)) (*Listener, error) {
	s := &Listener{l: l, fd: fd, accept: accept, budget: &l.descriptorBudget}
	if err := l.add(fd, unix.EPOLLIN, s, &l.descriptorBudget); err != nil {
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
	if s.held = held; s.fd >= 0 {
		s.rest.Stop()
		s.watch()
	}
}

// LocalAddr is the address that the socket is bound to.
func (s *Listener) Addr() string { return ownAddr(s.fd) }

// Close ends listening; connections already taken in stay. Those in the queue are taken in first: closing the socket
// would reset them. Where the system has no means for that now, listening ends once they are taken in, or after
// closeWithin. A nil one may be closed.
func (s *Listener) Close() {
	if s == nil || s.fd < 0 || s.closing {
		return
	}
	s.closing = true
	if s.take != nil || s.held { // what waits is another process's, or no client's
		s.end()
		return
	}
	s.endBy = s.l.After(closeWithin, s.end)
	s.empty()
}

// empty takes in what is in the queue, and ends listening after that.
func (s *Listener) empty() {
	for s.fd >= 0 {
		switch s.next() {
		case queueEmpty:
			s.end()
		case queueStuck:
			return // it is tried again
		}
	}
}

// end gives the socket back.
func (s *Listener) end() {
	s.rest.Stop()
	s.endBy.Stop()
	s.l.drop(s.fd, &s.l.descriptorBudget)
	s.fd = -1
}

// Closed says that listening has ended.
func (s *Listener) Closed() bool { return s.fd < 0 }

func (s *Listener) ready(uint32) {
	if s.closing {
		s.empty()
		return
	}
	for range acceptBurst {
		if s.fd < 0 || s.held || s.next() != queueTaken {
			return
		}
	}
}

// queued is what an attempt to take a connection in shows of the listener's queue.
type queued int

const (
	queueTaken queued = iota // there may be more
	queueEmpty
	queueStuck // it cannot be taken from now; that is tried again after a rest
)

// next takes a connection in.
func (s *Listener) next() queued {
	if s.budget.FreeDescriptors() <= 0 {
		rest := meansPause
		if s.budget.relieve() {
			rest = relievePause
		}
		s.pause(rest)
		return queueStuck
	}
	fd, _, err := s.l.sys.Accept(s.fd, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
	switch {
	case err == unix.EAGAIN:
		return queueEmpty
	case err != nil && isOver(err) && s.aborted < acceptBurst:
		s.aborted++
		return queueTaken
	case err != nil:
		s.aborted = 0
		s.pause(meansPause)
		return queueStuck
	}
	s.aborted = 0
	if s.take != nil {
		s.take(fd)
		return queueTaken
	}
	s.budget.relieve() // before the new one may be spared: it has had no turn yet
	c := newConn(s.l, fd, s.budget)
	s.accept(c)
	c.update()
	return queueTaken
}

// isOver says that accept has met a connection that is gone already, or a signal: the next one may be well.
func isOver(err error) bool {
	switch err {
	case unix.EINTR, unix.ECONNABORTED, unix.EPROTO, unix.EPERM, unix.ENETDOWN, unix.ENOPROTOOPT, unix.EHOSTDOWN,
		unix.ENONET, unix.EHOSTUNREACH, unix.EOPNOTSUPP, unix.ENETUNREACH, unix.ETIMEDOUT:
		return true
	}
	return false
}

// pause guards against spinning on a backlog that cannot be taken in.
func (s *Listener) pause(rest time.Duration) {
	s.l.watch(unix.EPOLL_CTL_MOD, s.fd, 0) // where that fails the listener spins until the rest is over
	s.rest.Stop()
	s.rest = s.l.After(rest, s.watch)
}

// watch has epoll tell of connections in the queue, unless the listener is held.
func (s *Listener) watch() {
	var want uint32
	if !s.held {
		want = unix.EPOLLIN
	}
	if s.l.watch(unix.EPOLL_CTL_MOD, s.fd, want) != nil {
		s.rest.Stop()
		s.rest = s.l.After(meansPause, s.watch)
		return
	}
	if s.closing {
		s.empty()
	}
}

package netloop

import (
	"fmt"
	"time"

	"golang.org/x/sys/unix"
)

// acceptPause is how long a listener rests after the system ran out of
// descriptors: the connection stays in the backlog, and polling for it at once
// would spin.
const acceptPause = 20 * time.Millisecond

// acceptBurst bounds the connections accepted before other sockets have a turn.
const acceptBurst = 16

// Listener takes connections in.
type Listener struct {
	l      *Loop
	fd     int
	accept func(*Conn)
	take   func(fd int) // in the place of accept, for connections that are none of Conn's
	rest   *Timer
	held   bool
	budget *budget // of the connections it takes in
}

// Listen opens a listening socket. For each connection it calls accept, which
// must give the Conn a handler by Handle.
func (l *Loop) Listen(addr string, accept func(*Conn)) (*Listener, error) {
	return l.listen(addr, accept, &l.budget)
}

// ListenApart does the same with room for so many connections beside the loop's
// limit: what the rest of the loop holds cannot keep them out, nor they the rest.
func (l *Loop) ListenApart(addr string, most int, accept func(*Conn)) (*Listener, error) {
	return l.listen(addr, accept, &budget{limit: most})
}

func (l *Loop) listen(addr string, accept func(*Conn), from *budget) (*Listener, error) {
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

func (s *Listener) start(backlog int) error {
	if err := s.l.sys.Listen(s.fd, backlog); err != nil {
		return err
	}
	return s.l.add(s.fd, unix.EPOLLIN, s, &s.l.budget)
}

// Inherit listens by a socket that another process has opened and listens by too.
func (l *Loop) Inherit(fd int, accept func(*Conn)) (*Listener, error) {
	s := &Listener{l: l, fd: fd, accept: accept, budget: &l.budget}
	if err := l.add(fd, unix.EPOLLIN, s, &l.budget); err != nil {
		unix.Close(fd)
		return nil, fmt.Errorf("listening: %w", err)
	}
	return s, nil
}

// Fd is the socket, to be handed over.
func (s *Listener) Fd() int { return s.fd }

// Hold has the listener take nothing in, or go on. What waits in the queue of a
// socket that another process shares is that one's.
func (s *Listener) Hold(held bool) {
	if s.held = held; s.fd >= 0 {
		s.rest.Stop()
		s.watch()
	}
}

// Addr is the address that the socket is bound to.
func (s *Listener) Addr() string { return local(s.fd) }

// Close ends listening; connections already taken in stay. Those in the queue are taken in first, as far as
// descriptors go: closing the socket would reset them. A nil one may be closed.
func (s *Listener) Close() {
	if s != nil && s.fd >= 0 {
		for s.take == nil && !s.held && s.next() {
		}
		s.rest.Stop()
		s.l.drop(s.fd, &s.l.budget)
		s.fd = -1
	}
}

// Closed says that listening has ended.
func (s *Listener) Closed() bool { return s.fd < 0 }

func (s *Listener) ready(uint32) {
	for range acceptBurst {
		if s.fd < 0 || s.held || !s.next() {
			return
		}
	}
}

// next takes a connection in; false if there is none to be had now.
func (s *Listener) next() bool {
	if s.budget.Free() <= 0 {
		s.budget.relieve()
		s.pause()
		return false
	}
	fd, _, err := s.l.sys.Accept(s.fd, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
	switch err {
	case nil:
	case unix.EAGAIN:
		return false
	case unix.EMFILE, unix.ENFILE, unix.ENOBUFS, unix.ENOMEM:
		s.pause()
		return false
	default: // that connection is gone already, or a signal came
		return true
	}
	if s.take != nil {
		s.take(fd)
		return true
	}
	s.budget.relieve() // before the new one may be spared: it has had no turn yet
	c := newConn(s.l, fd, s.budget)
	if err := s.l.add(fd, unix.EPOLLIN, c, s.budget); err != nil {
		unix.Close(fd)
		return true
	}
	c.interest = unix.EPOLLIN
	s.accept(c)
	return true
}

// pause guards against spinning on a backlog that cannot be taken in.
func (s *Listener) pause() {
	s.l.watch(unix.EPOLL_CTL_MOD, s.fd, 0)
	s.rest.Stop()
	s.rest = s.l.After(acceptPause, s.watch)
}

func (s *Listener) watch() {
	var want uint32
	if !s.held {
		want = unix.EPOLLIN
	}
	s.l.watch(unix.EPOLL_CTL_MOD, s.fd, want)
}

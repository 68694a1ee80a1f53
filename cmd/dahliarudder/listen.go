package main

import (
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sys/unix"

	"dahliarudder/internal/netloop"
)

// listen opens the listener of a front that serves clients.
func (r *relay) listen(front, addr string, accept func(*netloop.Conn)) error {
	l, err := r.inheritOrListen(front, addr, accept)
	r.addListener(front, l, err)
	if err == nil {
		r.clientListeners[front] = l
	}
	return err
}

// listenRetryPause is the pause between attempts to listen.
const listenRetryPause = 20 * time.Millisecond

// listenWithRetry listens, and retries after transient errors until it succeeds or this process is to
// stop: the previous process may still be ending, and the address may be free later.
func (r *relay) listenWithRetry(listen func() (*netloop.Listener, error)) (*netloop.Listener, error) {
	for logged := false; ; time.Sleep(listenRetryPause) {
		l, err := listen()
		if err == nil || !netloop.IsTransientListenError(err) || r.signals.stopping() {
			return l, err
		}
		if !logged {
			r.log.WithError(err).Warn("cannot listen at the address yet, retrying")
			logged = true
		}
	}
}

// addListener registers a listener, unless err is set.
func (r *relay) addListener(front string, l *netloop.Listener, err error) {
	if err == nil {
		r.listeners = append(r.listeners, l)
		r.log.WithFields(logrus.Fields{"front": front, "listen": l.Addr()}).Info("serving")
	}
}

// listenersClosed reports whether all listeners are closed.
func (r *relay) listenersClosed() bool {
	for _, l := range r.listeners {
		if !l.Closed() {
			return false
		}
	}
	return true
}

// closeUnusedSockets closes the listening sockets of the predecessor's fronts that this process
// does not use.
func (r *relay) closeUnusedSockets() {
	for _, fd := range r.inheritedSockets {
		unix.Close(fd)
	}
	r.inheritedSockets = nil
}

// inheritOrListen listens on the predecessor's socket for that front if it is bound to addr,
// otherwise on a new one. An inherited listener is paused until startAccepting.
func (r *relay) inheritOrListen(front, addr string, accept func(*netloop.Conn)) (*netloop.Listener, error) {
	fd, ok := r.inheritedSockets[front]
	delete(r.inheritedSockets, front)
	if !ok {
		return r.listenOnNewSocket(addr, accept)
	}
	if !netloop.IsBoundTo(fd, addr) {
		unix.Close(fd)
		return r.listenOnNewSocket(addr, accept)
	}
	l, err := r.loop.ListenInherited(fd, accept)
	if err == nil {
		l.SetPaused(true)
	}
	return l, err
}

// listenOnNewSocket listens on a new socket.
func (r *relay) listenOnNewSocket(addr string, accept func(*netloop.Conn)) (*netloop.Listener, error) {
	return r.listenWithRetry(func() (*netloop.Listener, error) { return r.loop.Listen(addr, accept) })
}

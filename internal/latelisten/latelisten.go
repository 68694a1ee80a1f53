// Package latelisten provides TCP listeners at addresses that may be free only later: during a hot
// restart the older process still listens there.
package latelisten

import (
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"dahliarudder/internal/netloop"
)

// retryInterval is the time between attempts to bind the address.
const retryInterval = 100 * time.Millisecond

// Listen listens at addr. If that fails for a reason that may pass, the listener binds the address
// later, and Accept waits until then. onBound is called once with the bound address.
func Listen(network, addr string, log logrus.FieldLogger, onBound func(net.Addr)) (net.Listener, error) {
	bound, err := net.Listen(network, addr)
	if err == nil {
		onBound(bound.Addr())
		return bound, nil
	}
	if !netloop.IsTransientListenError(err) {
		return nil, fmt.Errorf("listening at %s: %w", addr, err)
	}
	requested, resolveErr := net.ResolveTCPAddr(network, addr)
	if resolveErr != nil {
		return nil, fmt.Errorf("listening at %s: %w", addr, resolveErr)
	}
	log.WithError(err).Warn("cannot listen at the address yet, retrying")
	return &listener{network: network, requested: requested, onBound: onBound, closed: make(chan struct{})}, nil
}

// listener is a net.Listener whose address is not bound yet.
type listener struct {
	network   string
	requested net.Addr
	onBound   func(net.Addr)
	closed    chan struct{}

	mu       sync.Mutex
	bound    net.Listener // nil until the address is bound
	isClosed bool
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		bound, err := l.bind()
		if err != nil {
			return nil, err
		}
		if bound != nil {
			return bound.Accept()
		}
		select {
		case <-l.closed:
		case <-time.After(retryInterval):
		}
	}
}

// bind returns the bound listener, or nil if the address is still not available. It returns an error
// once the listener is closed.
func (l *listener) bind() (net.Listener, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.isClosed {
		return nil, net.ErrClosed
	}
	if l.bound != nil {
		return l.bound, nil
	}
	bound, err := net.Listen(l.network, l.requested.String())
	if err != nil {
		return nil, nil
	}
	l.bound = bound
	l.onBound(bound.Addr())
	return bound, nil
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.isClosed {
		return net.ErrClosed
	}
	l.isClosed = true
	close(l.closed)
	if l.bound == nil {
		return nil
	}
	return l.bound.Close()
}

// Addr implements net.Listener. It returns the requested address until that is bound.
func (l *listener) Addr() net.Addr {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.bound == nil {
		return l.requested
	}
	return l.bound.Addr()
}

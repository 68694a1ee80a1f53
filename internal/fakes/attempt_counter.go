package fakes

import (
	"fmt"
	"net"
	"sync"
	"syscall"

	"golang.org/x/sys/unix"
)

// maxAttemptsPerRequest is the number of attempts of one request above which Violations reports it.
const maxAttemptsPerRequest = 3

// AttemptCounter counts the attempts of each request across all pool members, and those that were in
// flight at the same time. It is safe for concurrent use.
type AttemptCounter struct {
	mu       sync.Mutex
	inFlight map[string]map[*CountedAttempt]bool // by request
	total    map[string]int                      // by request
	overlaps int
}

// CountedAttempt is one attempt of a request, with the connection on which it arrived.
type CountedAttempt struct {
	counter   *AttemptCounter
	requestID string
	conn      net.Conn
}

// NewAttemptCounter returns a counter without attempts.
func NewAttemptCounter() *AttemptCounter {
	return &AttemptCounter{inFlight: map[string]map[*CountedAttempt]bool{}, total: map[string]int{}}
}

// Begin records the arrival of an attempt. It counts an overlap if another attempt of the same
// request is in flight. Attempts whose sender has already closed the connection do not count as in
// flight: the goroutine that serves such a connection may not have noticed the end yet.
func (c *AttemptCounter) Begin(requestID string, conn net.Conn) *CountedAttempt {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.inFlight[requestID] == nil {
		c.inFlight[requestID] = map[*CountedAttempt]bool{}
	}
	overlaps := false
	for other := range c.inFlight[requestID] {
		if peerHasClosed(other.conn) {
			delete(c.inFlight[requestID], other)
		} else {
			overlaps = true
		}
	}
	if overlaps {
		c.overlaps++
	}
	c.total[requestID]++
	a := &CountedAttempt{c, requestID, conn}
	c.inFlight[requestID][a] = true
	return a
}

// End records the end of an attempt. It must be called before the sender of the attempt can observe
// the end, because the sender's next attempt may arrive at once. Further calls have no effect.
func (a *CountedAttempt) End() {
	a.counter.mu.Lock()
	defer a.counter.mu.Unlock()
	if all := a.counter.inFlight[a.requestID]; all != nil {
		if delete(all, a); len(all) == 0 {
			delete(a.counter.inFlight, a.requestID)
		}
	}
}

// tcpEstablished is the state of a TCP connection that neither side has begun to close (the
// kernel's TCP_ESTABLISHED).
const tcpEstablished = 1

// peerHasClosed reports whether the kernel knows that the other side has closed the connection or its
// sending direction, or has reset the connection.
func peerHasClosed(c net.Conn) bool {
	if wrapped, ok := c.(interface{ NetConn() net.Conn }); ok { // TLS
		c = wrapped.NetConn()
	}
	s, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return true
	}
	state := uint8(tcpEstablished)
	err = raw.Control(func(fd uintptr) {
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.SOL_TCP, unix.TCP_INFO); err == nil {
			state = info.State
		}
	})
	return err != nil || state != tcpEstablished
}

// Violations describes the violations so far: overlapping attempts of one request, and requests with
// more than maxAttemptsPerRequest attempts.
func (c *AttemptCounter) Violations() (all []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.overlaps > 0 {
		all = append(all, fmt.Sprintf("%d overlapping attempts", c.overlaps))
	}
	for id, n := range c.total {
		if n > maxAttemptsPerRequest {
			all = append(all, fmt.Sprintf("request %s had %d attempts", id, n))
		}
	}
	return all
}

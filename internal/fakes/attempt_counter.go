package fakes

import (
	"fmt"
	"net"
	"sync"
	"syscall"

	"golang.org/x/sys/unix"
)

// Attempts counts the attempts of each request over all pool members.
type AttemptCounter struct {
	mu       sync.Mutex
	out      map[string]map[*CountedAttempt]bool
	all      map[string]int
	overlaps int
}

// CountedAttempt is one attempt of a request, on the connection that brought it.
type CountedAttempt struct {
	tries *AttemptCounter
	id    string
	conn  net.Conn
}

// NewAttemptCounter counts from nothing.
func NewAttemptCounter() *AttemptCounter {
	return &AttemptCounter{out: map[string]map[*CountedAttempt]bool{}, all: map[string]int{}}
}

// Begin is called as an attempt has come. Whatever is out of the same request by then overlaps with it, but for what its
// sender has ended already: the goroutine that serves that connection may not have been told yet.
func (c *AttemptCounter) Begin(id string, conn net.Conn) *CountedAttempt {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.out[id] == nil {
		c.out[id] = map[*CountedAttempt]bool{}
	}
	overlaps := false
	for other := range c.out[id] {
		if isEnded(other.conn) {
			delete(c.out[id], other)
		} else {
			overlaps = true
		}
	}
	if overlaps {
		c.overlaps++
	}
	c.all[id]++
	t := &CountedAttempt{c, id, conn}
	c.out[id][t] = true
	return t
}

// End is called as an attempt is over, before its sender can know. A further call does nothing.
func (t *CountedAttempt) End() {
	t.tries.mu.Lock()
	defer t.tries.mu.Unlock()
	if all := t.tries.out[t.id]; all != nil {
		if delete(all, t); len(all) == 0 {
			delete(t.tries.out, t.id)
		}
	}
}

// established is the state of a TCP connection of which neither side has ended anything (the kernel's TCP_ESTABLISHED).
const established = 1

// isEnded says that the other side has ended a connection, or its sending on it, by what the kernel knows.
func isEnded(c net.Conn) bool {
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
	state := uint8(established)
	err = raw.Control(func(fd uintptr) {
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.SOL_TCP, unix.TCP_INFO); err == nil {
			state = info.State
		}
	})
	return err != nil || state != established
}

// Violations lists the rules that were broken: two attempts out at once, or more than three.
func (c *AttemptCounter) Violations() (all []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.overlaps > 0 {
		all = append(all, fmt.Sprintf("%d overlapping attempts", c.overlaps))
	}
	for id, n := range c.all {
		if n > 3 {
			all = append(all, fmt.Sprintf("request %s had %d attempts", id, n))
		}
	}
	return all
}

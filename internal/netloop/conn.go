package netloop

import (
	"container/list"
	"errors"
	"net/netip"
	"time"

	"golang.org/x/sys/unix"
)

// Bounds of a connection's buffers unless SetBufferLimits sets others, and of how long an ended one lingers.
const (
	DefaultReadLimit  = 8 << 10  // unread bytes; with more, reading pauses
	DefaultWriteLimit = 64 << 10 // unsent bytes at which WriteCapacity is 0
	writeMargin       = 32 << 10 // what may be written beyond that, for answers
	lingerTimeout     = time.Second
	// maxLingerBytes is how much is still read on a connection that has ended, so that a peer which sends without end costs
	// no more than that.
	maxLingerBytes = 256 << 10
	// resourceRetryDelay is how long to wait after the system was out of resources: trying again at once would spin.
	resourceRetryDelay = 20 * time.Millisecond
	// maxReadsPerEvent is how many times a connection is read before others have a turn.
	maxReadsPerEvent = 8
)

// ErrDialTimeout is how a dial ends that took too long.
var ErrDialTimeout = errors.New("the connection did not come up in time")

// ErrOverflow is how a connection ends whose peer reads nothing while more is written.
var ErrOverflow = errors.New("too much unsent")

// Handler receives the events of a connection. There are none after End.
type Handler interface {
	// Open: a dialled connection is established.
	Open()
	// Data hands over all unread bytes and returns how many were consumed. The rest comes again with more bytes, or after
	// ResumeReading.
	Data(b []byte) int
	// Drained: all written bytes are sent.
	Drained()
	// End: the peer ended the connection. With io.EOF it was closed in order, and writing goes on until Finish; with another
	// error the connection is over.
	End(err error)
}

// Conn is a connection. It owns its descriptor and its buffers.
type Conn struct {
	loop    *Loop
	fd      int // -1 once given back
	handler Handler
	budget  *descriptorBudget
	tls     *tlsState // nil without TLS

	unread, unsentBuf    buffer
	maxUnread, maxUnsent int
	countedBytes         int  // what the loop has counted of the buffers
	flushQueued          bool // queued bytes are flushed at the end of the round
	inData               bool // in a call of the handler's Data

	registered bool   // epoll watches the descriptor
	interest   uint32 // the events that it watches for
	readPaused bool   // until ResumeReading
	earlyEOF   bool   // the peer's end is reported also while earlier bytes are unread
	stalled    bool   // nothing is read or written until retryTimer, for want of system resources
	retryTimer *Timer

	dialTimer   *Timer // until a dialled connection is established
	failTimer   *Timer // until an error is reported to the handler
	lingerTimer *Timer // until a connection is closed after Finish
	eof         bool   // the peer has closed its side
	finishing   bool   // Finish was called
	writeClosed bool   // this side is closed
	unsentAtEnd int    // bytes that were unsent when it broke
	discarded   int    // bytes that were thrown away after Finish

	evictElement *list.Element // in the budget's list of evictable connections
	onEvict      func()
}

// newConn makes a connection; fd is -1 if it has no descriptor yet.
func newConn(l *Loop, fd int, budget *descriptorBudget) *Conn {
	c := &Conn{loop: l, fd: -1, maxUnread: DefaultReadLimit, maxUnsent: DefaultWriteLimit, budget: budget}
	if fd >= 0 {
		c.adopt(fd)
	}
	return c
}

// adopt takes over the connection's descriptor, with Nagle's algorithm off: what is written leaves at once.
func (c *Conn) adopt(fd int) {
	c.loop.syscalls.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1)
	c.fd = fd
	c.loop.track(fd, c, c.budget)
}

// SetHandler sets who receives events from now on.
func (c *Conn) SetHandler(h Handler) { c.handler = h }

// SetBufferLimits sets how many bytes may be unread and unsent.
func (c *Conn) SetBufferLimits(unread, unsent int) { c.maxUnread, c.maxUnsent = unread, unsent }

// LocalAddr is the address of this side.
func (c *Conn) LocalAddr() string { return localAddr(c.fd) }

// RemoteIP is the peer's IP address; empty if the connection has ended.
func (c *Conn) RemoteIP() string {
	sockaddr, err := unix.Getpeername(c.fd)
	if err != nil {
		return ""
	}
	addrPort, err := netip.ParseAddrPort(formatSockaddr(sockaddr))
	if err != nil {
		return ""
	}
	return addrPort.Addr().Unmap().String()
}

// SetEvictable lets the connection be ended when descriptors run short: then onEvict is called, and what has been sent by
// then still arrives. The connection that has been evictable for longest goes first. Nil takes it back.
func (c *Conn) SetEvictable(onEvict func()) {
	if c.evictElement != nil {
		c.budget.evictable.Remove(c.evictElement)
		c.evictElement = nil
	}
	if c.onEvict = onEvict; onEvict != nil && c.fd >= 0 {
		c.evictElement = c.budget.evictable.PushBack(c)
	}
}

// failLater reports an error from the loop, since it was met inside a call of the handler's.
func (c *Conn) failLater(err error) {
	if c.failTimer == nil {
		c.failTimer = c.loop.After(0, func() { c.fail(err) })
	}
}

// countBuffered updates the loop's count of buffered bytes.
func (c *Conn) countBuffered() {
	size := c.unread.size() + c.unsent()
	c.loop.bufferedBytes += size - c.countedBytes
	c.countedBytes = size
}

func (c *Conn) ready(events uint32) {
	if c.interest&unix.EPOLLOUT != 0 && events&(unix.EPOLLOUT|unix.EPOLLERR|unix.EPOLLHUP) != 0 {
		if c.dialTimer != nil && !c.finishDial() {
			return
		}
		c.flush()
	}
	if c.fd >= 0 && c.dialTimer == nil && c.failTimer == nil && events&(unix.EPOLLIN|unix.EPOLLERR|unix.EPOLLHUP|unix.EPOLLRDHUP) != 0 {
		c.read(events)
	}
	if c.fd >= 0 && c.earlyEOF && events&unix.EPOLLRDHUP != 0 && c.interest&unix.EPOLLRDHUP != 0 {
		c.handleEOF()
	}
	c.updateInterest()
}

// updateInterest has epoll watch for the events that the connection can use now.
func (c *Conn) updateInterest() {
	if c.fd < 0 {
		return
	}
	want := c.wantedEvents()
	operation := unix.EPOLL_CTL_MOD
	switch {
	case !c.registered:
		operation = unix.EPOLL_CTL_ADD
	case want == c.interest:
		return
	}
	if c.loop.epollCtl(operation, c.fd, want) != nil {
		c.retryLater()
		return
	}
	c.registered, c.interest = true, want
}

// retryLater tries again a little later what the system has no resources for now.
func (c *Conn) retryLater() {
	c.retryTimer.Stop()
	c.retryTimer = c.loop.After(resourceRetryDelay, func() {
		c.stalled = false
		if c.dialTimer == nil {
			c.flush()
		}
		c.updateInterest()
	})
}

// stall pauses reading and writing for a moment: epoll would report the connection as ready all the time.
func (c *Conn) stall() {
	c.stalled = true
	c.retryLater()
}

// outOfMemory reports whether a call has failed for want of the system's memory, and may be made again.
func outOfMemory(err error) bool { return err == unix.ENOBUFS || err == unix.ENOMEM }

// wantedEvents is the events that epoll is to watch for.
func (c *Conn) wantedEvents() (want uint32) {
	if c.stalled {
		return 0
	}
	if c.dialTimer != nil || c.canSend() {
		want |= unix.EPOLLOUT
	}
	if c.dialTimer == nil && c.failTimer == nil && !c.eof && (c.finishing || c.unread.size() < c.maxUnread && !c.readPaused) {
		want |= unix.EPOLLIN
	} else if c.earlyEOF && c.dialTimer == nil && c.failTimer == nil && !c.eof {
		want |= unix.EPOLLRDHUP
	}
	return want
}

// canSend reports whether there are bytes that may be sent now: with TLS, plain ones only after the handshake.
func (c *Conn) canSend() bool {
	if c.tls == nil {
		return c.unsentBuf.size() > 0
	}
	return c.tls.encrypted.size() > 0 || c.tls.established && c.unsentBuf.size() > 0
}

// discardHandler is the handler of a connection after Finish.
type discardHandler struct{}

func (discardHandler) Open()             {}
func (discardHandler) Data(b []byte) int { return len(b) }
func (discardHandler) Drained()          {}
func (discardHandler) End(error)         {}

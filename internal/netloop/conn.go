package netloop

import (
	"container/list"
	"errors"
	"net/netip"
	"time"

	"golang.org/x/sys/unix"
)

// Default buffer limits of a connection, and limits for closing it.
const (
	DefaultReadLimit  = 8 << 10     // unread bytes at which reading pauses
	DefaultWriteLimit = 64 << 10    // unsent bytes at which WriteCapacity is 0
	writeMargin       = 32 << 10    // bytes beyond the write limit that are still buffered, for final answers
	lingerTimeout     = time.Second // longest time that a connection stays open after Finish
	// maxLingerBytes is how many bytes are read and discarded after Finish. The limit bounds the
	// work for a peer that never stops sending.
	maxLingerBytes = 256 << 10
	// resourceRetryDelay is the pause after a call failed for lack of system resources. An immediate
	// retry would spin.
	resourceRetryDelay = 20 * time.Millisecond
	// maxReadsPerEvent is how often one connection is read before others have their turn.
	maxReadsPerEvent = 8
)

// ErrDialTimeout is reported when a dial or a TLS handshake does not complete in time.
var ErrDialTimeout = errors.New("connection or TLS handshake timed out")

// ErrOverflow is reported when a connection has more unsent bytes than its limit allows, usually
// because the peer does not read, or needs more buffer while the loop's memory limit is exceeded.
var ErrOverflow = errors.New("connection buffer limit exceeded")

// Handler receives the events of a connection. After End with an error other than io.EOF, and after
// Finish or Reset, there are no more events.
type Handler interface {
	// Open is called when a dialled connection is established.
	Open()
	// Data receives all unread bytes and returns how many it consumed. The rest is passed again when
	// more bytes arrive or ResumeReading is called. b is valid only during the call.
	Data(b []byte) int
	// Drained is called when all written bytes have been sent.
	Drained()
	// End is called once, when the peer ends the connection or it fails. After io.EOF, which means
	// that the peer has closed its side, writing continues until Finish. After any other error the
	// connection is closed.
	End(err error)
}

// OverflowHandler is a Handler that ends a connection itself when its unread bytes exceed the loop's
// memory limit. Without it the connection is closed, and End gets ErrOverflow.
type OverflowHandler interface {
	Handler
	// Overflow tells the handler to end the connection soon, and to consume all further bytes until then.
	// Bytes that are unread when it returns are dropped.
	Overflow()
}

// PeerClosedHandler is a Handler that wants to know at once that the peer has closed its side, while earlier
// bytes may be unread. End follows after these bytes.
type PeerClosedHandler interface {
	Handler
	PeerClosed()
}

// Conn is a TCP connection, with or without TLS. It owns its descriptor and its buffers.
type Conn struct {
	loop    *Loop
	fd      int // -1 before the dial has a socket and after release
	handler Handler
	budget  *descriptorBudget
	tls     *tlsState // nil without TLS

	unread, unsentBuf    buffer
	maxUnread, maxUnsent int
	countedBytes         int  // this connection's share of the loop's bufferedBytes
	flushQueued          bool // the connection is in the loop's list of connections to flush in this round
	inData               bool // the handler's Data is running

	registered bool   // epoll watches the descriptor
	interest   uint32 // events that epoll watches for
	readPaused bool   // set by PauseReading, cleared by ResumeReading
	yielded    bool   // the turn has ended; reading goes on in the next round
	peerClosed bool   // PeerClosed was called
	earlyEOF   bool   // report the peer's EOF even while earlier bytes are unread
	stalled    bool   // no reads or writes until retryTimer, because the system is out of memory
	retryTimer *Timer

	dialTimer   *Timer // set while a dial is in progress or has failed; reports the timeout or the failure
	failTimer   *Timer // reports an error to the handler in a later call from the loop
	lingerTimer *Timer // closes the connection lingerTimeout after Finish
	eof         bool   // the peer has closed its side
	finishing   bool   // Finish was called
	writeClosed bool   // the sending side is shut down
	unsentAtEnd int    // bytes that were unsent when the connection ended
	discarded   int    // bytes discarded after Finish

	evictElement *list.Element // element in the budget's list of evictable connections, or nil
	onEvict      func()
}

// newConn returns a connection for fd, or one without a descriptor if fd is -1.
func newConn(l *Loop, fd int, budget *descriptorBudget) *Conn {
	c := &Conn{loop: l, fd: -1, maxUnread: DefaultReadLimit, maxUnsent: DefaultWriteLimit, budget: budget}
	if fd >= 0 {
		c.adopt(fd)
	}
	return c
}

// adopt takes ownership of the connection's descriptor. It sets TCP_NODELAY, so that small writes are
// sent at once.
func (c *Conn) adopt(fd int) {
	c.loop.syscalls.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1)
	c.fd = fd
	c.loop.track(fd, c, c.budget)
}

// SetHandler sets the handler of all further events.
func (c *Conn) SetHandler(h Handler) { c.handler = h }

// SetBufferLimits sets how many bytes may be unread and how many unsent.
func (c *Conn) SetBufferLimits(unread, unsent int) { c.maxUnread, c.maxUnsent = unread, unsent }

// LocalAddr is the local address as "host:port", or "" if the connection has ended.
func (c *Conn) LocalAddr() string { return localAddr(c.fd) }

// RemoteIP is the peer's IP address, or "" if the connection has ended.
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

// SetEvictable allows the loop to end the connection when descriptors run short. The loop then
// calls onEvict and closes the connection; the peer still receives what onEvict writes, as far as
// the kernel accepts it at once. The connection that has been evictable for longest is evicted
// first. With nil the connection is no longer evictable.
func (c *Conn) SetEvictable(onEvict func()) {
	if c.evictElement != nil {
		c.budget.evictable.Remove(c.evictElement)
		c.evictElement = nil
	}
	if c.onEvict = onEvict; onEvict != nil && c.fd >= 0 {
		c.evictElement = c.budget.evictable.PushBack(c)
	}
}

// failLater reports an error in a later call from the loop, because the caller may be running
// inside a call of the handler.
func (c *Conn) failLater(err error) {
	if c.failTimer == nil {
		c.failTimer = c.loop.After(0, func() { c.fail(err) })
	}
}

// tlsMemory is about what an established TLS connection takes besides the buffers that are counted.
const tlsMemory = 16 << 10

// countBuffered updates the loop's total of buffered bytes. What counts is the memory of the buffers, which
// may be many times what they hold.
func (c *Conn) countBuffered() {
	size := c.unread.memory() + c.unsentBuf.memory()
	if c.tls != nil && c.fd >= 0 {
		size += c.tls.encrypted.memory() + c.tls.transport.size() + tlsMemory
	}
	c.loop.bufferedBytes += size - c.countedBytes
	c.countedBytes = size
}

func (c *Conn) ready(events uint32) {
	c.beginTurn()
	if c.interest&unix.EPOLLOUT != 0 && events&(unix.EPOLLOUT|unix.EPOLLERR|unix.EPOLLHUP) != 0 {
		if c.dialTimer != nil && !c.finishDial() {
			return
		}
		c.flush()
	}
	if events&unix.EPOLLRDHUP != 0 {
		c.notifyPeerClosed()
	}
	if c.fd >= 0 && c.dialTimer == nil && c.failTimer == nil && events&(unix.EPOLLIN|unix.EPOLLERR|unix.EPOLLHUP|unix.EPOLLRDHUP) != 0 {
		c.read(events)
	}
	if c.fd >= 0 && c.earlyEOF && !c.yielded && events&unix.EPOLLRDHUP != 0 && c.interest&unix.EPOLLRDHUP != 0 {
		c.handleEOF()
	}
	c.updateInterest()
}

// updateInterest makes epoll watch for the events that the connection can handle now. If epoll_ctl
// fails, it is retried after resourceRetryDelay.
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

// retryLater flushes and updates the epoll interest again after resourceRetryDelay.
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

// stall pauses reading and writing for resourceRetryDelay. Without the pause, epoll would report the
// connection as ready over and over.
func (c *Conn) stall() {
	c.stalled = true
	c.retryLater()
}

// outOfMemory reports whether a system call has failed for lack of kernel memory and can be retried.
func outOfMemory(err error) bool { return err == unix.ENOBUFS || err == unix.ENOMEM }

// wantedEvents returns the events that epoll should watch for.
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
	if c.awaitsPeerClosed() {
		want |= unix.EPOLLRDHUP
	}
	return want
}

// awaitsPeerClosed reports whether the handler is still to be told that the peer has closed its side.
func (c *Conn) awaitsPeerClosed() bool {
	_, ok := c.handler.(PeerClosedHandler)
	return ok && !c.peerClosed && c.dialTimer == nil
}

func (c *Conn) notifyPeerClosed() {
	if h, ok := c.handler.(PeerClosedHandler); ok && !c.peerClosed {
		c.peerClosed = true
		h.PeerClosed()
	}
}

// canSend reports whether there are bytes that can be sent now. With TLS, application bytes have to
// wait for the end of the handshake.
func (c *Conn) canSend() bool {
	if c.tls == nil {
		return c.unsentBuf.size() > 0
	}
	return c.tls.encrypted.size() > 0 || c.tls.established && c.unsentBuf.size() > 0
}

// discardHandler replaces the handler of a connection after Finish or release.
type discardHandler struct{}

func (discardHandler) Open()             {}
func (discardHandler) Data(b []byte) int { return len(b) }
func (discardHandler) Drained()          {}
func (discardHandler) End(error)         {}

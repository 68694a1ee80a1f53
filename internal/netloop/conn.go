package netloop

import (
	"container/list"
	"errors"
	"net/netip"
	"time"

	"golang.org/x/sys/unix"
)

// Bounds of a connection's buffers unless Bound sets others, and how long an
// ended one may linger.
const (
	DefaultReadLimit  = 8 << 10  // unread bytes kept; beyond it reading rests
	DefaultWriteLimit = 64 << 10 // unsent bytes at which Room is used up
	writeMargin       = 32 << 10 // what may be written beyond, for answers
	lingerTimeout     = time.Second
	// maxLingerBytes is how much of an ended connection's rest is read, so that who
	// sends without end costs no more than that.
	maxLingerBytes = 256 << 10
	// resourceRetryDelay is how long what the system has no means for rests before it is tried again: asking at once would spin.
	resourceRetryDelay = 20 * time.Millisecond
	// maxReadsPerEvent is how many times a connection is read before others have a turn.
	maxReadsPerEvent = 8
)

// ErrDialTimeout is how a dial ends that took too long.
var ErrDialTimeout = errors.New("the connection did not come up in time")

// ErrOverflow is how a connection ends whose peer takes nothing while more is written.
var ErrOverflow = errors.New("too much unsent")

// Handler is told what happens on a connection. After End nothing more comes.
type Handler interface {
	// Open says that a dialled connection stands.
	Open()
	// Data hands over all unread bytes and returns how many were taken. The
	// rest comes again with more bytes, or after Resume.
	Data(b []byte) int
	// Drained says that nothing written is unsent any more.
	Drained()
	// End says that the peer ended the connection: io.EOF if politely, when
	// writing goes on until Finish, or another error when all is over.
	End(err error)
}

// Conn is a connection. It owns its descriptor and its buffers.
type Conn struct {
	loop              *Loop
	fd                int // -1 once given back
	handler           Handler
	unread, unsentBuf buffer
	maxUnread         int
	maxUnsent         int
	registered        bool   // epoll has taken the descriptor
	interest          uint32 // what epoll watches it for
	retryTimer        *Timer // until what the system had no means for is tried again
	stalled           bool   // nothing is read or written meanwhile
	dialTimer         *Timer // until a dialled connection stands
	failTimer         *Timer // an error waits to be told
	lingerTimer       *Timer // an ended connection lingers
	eof               bool   // the peer has ended its sending
	finishing         bool   // Finish was called
	writeClosed       bool   // our sending is ended
	inData            bool   // in a call of the handler's Data
	unsentAtEnd       int    // bytes that were unsent when it broke
	countedBytes      int    // bytes of its buffers that the loop has counted
	discarded         int    // bytes thrown away after Finish
	evictElement      *list.Element
	onEvict           func()
	budget            *descriptorBudget
	flushQueued       bool // what Queue has kept leaves at the end of the round
	tls               *tlsState
	readPaused        bool // the handler has no use for more bytes before Resume
	earlyEOF          bool // the peer's end is told also while bytes that came before it are unread
}

// newConn makes a connection, which owns the descriptor if there is one yet.
func newConn(l *Loop, fd int, from *descriptorBudget) *Conn {
	c := &Conn{loop: l, fd: -1, maxUnread: DefaultReadLimit, maxUnsent: DefaultWriteLimit, budget: from}
	if fd >= 0 {
		c.adopt(fd)
	}
	return c
}

// adopt makes a descriptor the connection's own. What is written is to leave at once.
func (c *Conn) adopt(fd int) {
	c.loop.syscalls.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1)
	c.fd = fd
	c.loop.track(fd, c, c.budget)
}

// SetHandler names who is told from now on.
func (c *Conn) SetHandler(h Handler) { c.handler = h }

// SetBufferLimits sets how many bytes may be unread and unsent.
func (c *Conn) SetBufferLimits(in, out int) { c.maxUnread, c.maxUnsent = in, out }

// LocalAddr is the connection's own address.
func (c *Conn) LocalAddr() string { return localAddr(c.fd) }

// RemoteIP is the other end's IP address.
func (c *Conn) RemoteIP() string {
	at, err := unix.Getpeername(c.fd)
	if err != nil {
		return ""
	}
	ip, err := netip.ParseAddrPort(formatSockaddr(at))
	if err != nil {
		return ""
	}
	return ip.Addr().Unmap().String()
}

// SetEvictable says that the connection may be given up when descriptors run short: then
// end is called, and what has left by then still arrives. Who was spared longest
// ago goes first. Nil takes it back.
func (c *Conn) SetEvictable(end func()) {
	if c.evictElement != nil {
		c.budget.evictable.Remove(c.evictElement)
		c.evictElement = nil
	}
	if c.onEvict = end; end != nil && c.fd >= 0 {
		c.evictElement = c.budget.evictable.PushBack(c)
	}
}

// failLater tells an error met inside a call of the handler's from the loop.
func (c *Conn) failLater(err error) {
	if c.failTimer == nil {
		c.failTimer = c.loop.After(0, func() { c.fail(err) })
	}
}

// countBuffered tells the loop how much the buffers hold.
func (c *Conn) countBuffered() {
	now := c.unread.size() + c.unsent()
	c.loop.bufferedBytes += now - c.countedBytes
	c.countedBytes = now
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

// updateInterest asks epoll for what the connection can use now.
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

// retryLater goes on a little later with what the system has no means for now.
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

// stall has nothing read or written for a moment: epoll would report the connection as ready all the time.
func (c *Conn) stall() {
	c.stalled = true
	c.retryLater()
}

// outOfMemory says that a call has failed for want of the system's own memory, and may be made again.
func outOfMemory(err error) bool { return err == unix.ENOBUFS || err == unix.ENOMEM }

// wantedEvents is what epoll is to watch the connection for.
func (c *Conn) wantedEvents() (want uint32) {
	if c.stalled {
		return 0
	}
	if c.dialTimer != nil || c.tls == nil && c.unsentBuf.size() > 0 || c.tls != nil && (c.tls.encrypted.size() > 0 || c.tls.established && c.unsentBuf.size() > 0) {
		want |= unix.EPOLLOUT
	}
	if c.dialTimer == nil && c.failTimer == nil && !c.eof && (c.finishing || c.unread.size() < c.maxUnread && !c.readPaused) {
		want |= unix.EPOLLIN
	} else if c.earlyEOF && c.dialTimer == nil && c.failTimer == nil && !c.eof {
		want |= unix.EPOLLRDHUP
	}
	return want
}

// discardHandler is the handler of a connection that nobody listens to any more.
type discardHandler struct{}

func (discardHandler) Open()             {}
func (discardHandler) Data(b []byte) int { return len(b) }
func (discardHandler) Drained()          {}
func (discardHandler) End(error)         {}

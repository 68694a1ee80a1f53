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
	outOver           = 32 << 10 // what may be written beyond, for answers
	linger            = time.Second
	// lingerMost is how much of an ended connection's rest is read, so that who
	// sends without end costs no more than that.
	lingerMost = 256 << 10
	// meansPause is how long what the system has no means for rests before it is tried again: asking at once would spin.
	meansPause = 20 * time.Millisecond
	// readMost is how many times a connection is read before others have a turn.
	readMost = 8
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
	l        *Loop
	fd       int // -1 once given back
	h        Handler
	in, out  store
	inMost   int
	outMost  int
	watched  bool   // epoll has taken the descriptor
	interest uint32 // what epoll watches it for
	retry    *Timer // until what the system had no means for is tried again
	stalled  bool   // nothing is read or written meanwhile
	dialling *Timer // until a dialled connection stands
	failing  *Timer // an error waits to be told
	farewell *Timer // an ended connection lingers
	eof      bool   // the peer has ended its sending
	ending   bool   // Finish was called
	shut     bool   // our sending is ended
	busy     bool   // in a call of the handler's Data
	left     int    // bytes that were unsent when it broke
	held     int    // bytes of its buffers that the loop has counted
	rest     int    // bytes thrown away after Finish
	spare    *list.Element
	giveUp   func()
	budget   *descriptorBudget
	dirty    bool // what Queue has kept leaves at the end of the round
	sec      *secure
	resting  bool // the handler has no use for more bytes before Resume
	endFirst bool // the peer's end is told also while bytes that came before it are unread
}

// newConn makes a connection, which owns the descriptor if there is one yet.
func newConn(l *Loop, fd int, from *descriptorBudget) *Conn {
	c := &Conn{l: l, fd: -1, inMost: DefaultReadLimit, outMost: DefaultWriteLimit, budget: from}
	if fd >= 0 {
		c.takeOver(fd)
	}
	return c
}

// takeOver makes a descriptor the connection's own. What is written is to leave at once.
func (c *Conn) takeOver(fd int) {
	c.l.sys.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1)
	c.fd = fd
	c.l.own(fd, c, c.budget)
}

// SetHandler names who is told from now on.
func (c *Conn) SetHandler(h Handler) { c.h = h }

// SetBufferLimits sets how many bytes may be unread and unsent.
func (c *Conn) SetBufferLimits(in, out int) { c.inMost, c.outMost = in, out }

// LocalAddr is the connection's own address.
func (c *Conn) LocalAddr() string { return ownAddr(c.fd) }

// RemoteIP is the other end's IP address.
func (c *Conn) RemoteIP() string {
	at, err := unix.Getpeername(c.fd)
	if err != nil {
		return ""
	}
	ip, err := netip.ParseAddrPort(named(at))
	if err != nil {
		return ""
	}
	return ip.Addr().Unmap().String()
}

// SetEvictable says that the connection may be given up when descriptors run short: then
// end is called, and what has left by then still arrives. Who was spared longest
// ago goes first. Nil takes it back.
func (c *Conn) SetEvictable(end func()) {
	if c.spare != nil {
		c.budget.spare.Remove(c.spare)
		c.spare = nil
	}
	if c.giveUp = end; end != nil && c.fd >= 0 {
		c.spare = c.budget.spare.PushBack(c)
	}
}

// later tells an error met inside a call of the handler's from the loop.
func (c *Conn) later(err error) {
	if c.failing == nil {
		c.failing = c.l.After(0, func() { c.fail(err) })
	}
}

// count tells the loop how much the buffers hold.
func (c *Conn) count() {
	now := c.in.size() + c.unsent()
	c.l.held += now - c.held
	c.held = now
}

func (c *Conn) ready(events uint32) {
	if c.interest&unix.EPOLLOUT != 0 && events&(unix.EPOLLOUT|unix.EPOLLERR|unix.EPOLLHUP) != 0 {
		if c.dialling != nil && !c.opened() {
			return
		}
		c.flush()
	}
	if c.fd >= 0 && c.dialling == nil && c.failing == nil && events&(unix.EPOLLIN|unix.EPOLLERR|unix.EPOLLHUP|unix.EPOLLRDHUP) != 0 {
		c.read(events)
	}
	if c.fd >= 0 && c.endFirst && events&unix.EPOLLRDHUP != 0 && c.interest&unix.EPOLLRDHUP != 0 {
		c.heardEnd()
	}
	c.update()
}

// update asks epoll for what the connection can use now.
func (c *Conn) update() {
	if c.fd < 0 {
		return
	}
	want := c.wanted()
	operation := unix.EPOLL_CTL_MOD
	switch {
	case !c.watched:
		operation = unix.EPOLL_CTL_ADD
	case want == c.interest:
		return
	}
	if c.l.watch(operation, c.fd, want) != nil {
		c.tryAgain()
		return
	}
	c.watched, c.interest = true, want
}

// tryAgain goes on a little later with what the system has no means for now.
func (c *Conn) tryAgain() {
	c.retry.Stop()
	c.retry = c.l.After(meansPause, func() {
		c.stalled = false
		if c.dialling == nil {
			c.flush()
		}
		c.update()
	})
}

// stall has nothing read or written for a moment: epoll would report the connection as ready all the time.
func (c *Conn) stall() {
	c.stalled = true
	c.tryAgain()
}

// outOfMeans says that a call has failed for want of the system's own memory, and may be made again.
func outOfMeans(err error) bool { return err == unix.ENOBUFS || err == unix.ENOMEM }

// wanted is what epoll is to watch the connection for.
func (c *Conn) wanted() (want uint32) {
	if c.stalled {
		return 0
	}
	if c.dialling != nil || c.sec == nil && c.out.size() > 0 || c.sec != nil && (c.sec.cipher.size() > 0 || c.sec.up && c.out.size() > 0) {
		want |= unix.EPOLLOUT
	}
	if c.dialling == nil && c.failing == nil && !c.eof && (c.ending || c.in.size() < c.inMost && !c.resting) {
		want |= unix.EPOLLIN
	} else if c.endFirst && c.dialling == nil && c.failing == nil && !c.eof {
		want |= unix.EPOLLRDHUP
	}
	return want
}

// deaf is the handler of a connection that nobody listens to any more.
type deaf struct{}

func (deaf) Open()             {}
func (deaf) Data(b []byte) int { return len(b) }
func (deaf) Drained()          {}
func (deaf) End(error)         {}

package netloop

import (
	"container/list"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"time"

	"golang.org/x/sys/unix"
)

// Bounds of a connection's buffers unless Bound sets others, and how long an
// ended one may linger.
const (
	InBound  = 8 << 10  // unread bytes kept; beyond it reading rests
	OutBound = 64 << 10 // unsent bytes at which Room is used up
	outOver  = 32 << 10 // what may be written beyond, for answers
	linger   = time.Second
	// lingerMost is how much of an ended connection's rest is read, so that who
	// sends without end costs no more than that.
	lingerMost = 256 << 10
	// readMost is how many times a connection is read before others have a turn.
	readMost = 8
)

// errNone says that a descriptor could not be had or used for want of the
// machine's own means: nothing that the peer did.
func errNone(err error) error { return fmt.Errorf("%w: %w", ErrFull, err) }

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
	interest uint32
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
	budget   *budget
	dirty    bool // what Queue has kept leaves at the end of the round
	sec      *secure
	resting  bool // the handler has no use for more bytes before Resume
	endFirst bool // the peer's end is told also while bytes that came before it are unread
}

func newConn(l *Loop, fd int, from *budget) *Conn {
	if fd >= 0 {
		l.sys.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1)
	}
	return &Conn{l: l, fd: fd, inMost: InBound, outMost: OutBound, budget: from}
}

// Dial starts a connection. Its end, also at once, is told by the handler's End,
// never from within Dial.
func (l *Loop) Dial(addr string, within time.Duration, h Handler) *Conn {
	return l.dial(addr, within, h, &l.budget)
}

// Reserve is room for connections of one purpose beside the loop's limit: what the rest of the loop holds cannot
// keep them from being dialled.
type Reserve struct {
	loop *Loop
	budget
}

// Reserve makes room for so many connections.
func (l *Loop) Reserve(most int) *Reserve { return &Reserve{l, budget{limit: most}} }

// Dial is the loop's Dial within the reserve. Where that is used up, a connection that has ended and lingers makes
// room, which the dial after this one finds.
func (r *Reserve) Dial(addr string, within time.Duration, h Handler) *Conn {
	if r.Free() <= 0 {
		r.giveUp()
	}
	return r.loop.dial(addr, within, h, &r.budget)
}

func (l *Loop) dial(addr string, within time.Duration, h Handler, from *budget) *Conn {
	c := newConn(l, -1, from)
	c.h = h
	if err := c.connect(addr, within); err != nil {
		c.dialling = l.After(0, func() { c.fail(err) })
	}
	return c
}

func (c *Conn) connect(addr string, within time.Duration) error {
	at, family, err := address(addr)
	if err != nil {
		return err
	}
	if c.budget.Free() <= 0 {
		return ErrFull
	}
	fd, err := c.l.sys.Socket(family, unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return errNone(err)
	}
	c.l.sys.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1)
	if err = c.l.sys.Connect(fd, at); err == unix.EINPROGRESS || err == nil {
		err = c.l.add(fd, unix.EPOLLOUT, c, c.budget)
	} else if err == unix.EADDRNOTAVAIL || err == unix.EAGAIN || err == unix.ENOBUFS || err == unix.ENOMEM {
		err = errNone(err)
	}
	if err != nil {
		unix.Close(fd)
		return err
	}
	c.fd, c.interest = fd, unix.EPOLLOUT
	c.dialling = c.l.After(within, func() { c.fail(ErrDialTimeout) })
	return nil
}

// Handle names who is told from now on.
func (c *Conn) Handle(h Handler) { c.h = h }

// Bound sets how many bytes may be unread and unsent.
func (c *Conn) Bound(in, out int) { c.inMost, c.outMost = in, out }

// Unsent is how many written bytes have not left; it stays after the end.
func (c *Conn) Unsent() int { return c.left + c.unsent() }

func (c *Conn) unsent() int {
	if c.sec != nil {
		return c.out.size() + c.sec.cipher.size()
	}
	return c.out.size()
}

// Room is how many bytes may be written before the reader should rest.
func (c *Conn) Room() int { return max(0, c.outMost-c.out.size()) }

// Addr is the connection's own address.
func (c *Conn) Addr() string { return local(c.fd) }

// Peer is the other end's IP address.
func (c *Conn) Peer() string {
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

// Spare says that the connection may be given up when descriptors run short: then
// end is called, and what has left by then still arrives. Who was spared longest
// ago goes first. Nil takes it back.
func (c *Conn) Spare(end func()) {
	if c.spare != nil {
		c.budget.spare.Remove(c.spare)
		c.spare = nil
	}
	if c.giveUp = end; end != nil && c.fd >= 0 {
		c.spare = c.budget.spare.PushBack(c)
	}
}

// Write sends b, or keeps what cannot leave yet. It must not be called before
// Open on a dialled connection. After the end it does nothing.
func (c *Conn) Write(b []byte) {
	if c.fd < 0 || c.ending || c.failing != nil {
		return
	}
	if c.sec != nil {
		c.Queue(b)
		return
	}
	if c.out.size() == 0 {
		n, err := c.l.sys.Write(c.fd, b)
		if err != nil && err != unix.EAGAIN && err != unix.EINTR {
			c.left += len(b)
			c.later(err)
			return
		}
		b = b[max(n, 0):]
	}
	if len(b) == 0 {
		return
	}
	c.out.add(c.l, b)
	c.count()
	if c.out.size() > c.outMost+outOver || c.out.size() > OutBound+outOver && c.l.crammed() {
		c.later(ErrOverflow)
		return
	}
	c.update()
}

// Queue is Write for those who write often: b leaves with all that is queued in this
// round of the loop, at its end.
func (c *Conn) Queue(b []byte) { c.Commit(append(c.Buffer(len(b)), b...)) }

// Buffer is what is unsent, for a caller that appends so many bytes to it and at once calls
// Commit with the result. This spares a copy.
func (c *Conn) Buffer(more int) []byte {
	if c.fd < 0 || c.ending || c.failing != nil {
		return c.l.scrap[:0] // thrown away by Commit
	}
	return c.out.open(c.l, more)
}

// Commit ends what Buffer has begun.
func (c *Conn) Commit(out []byte) {
	if c.fd < 0 || c.ending || c.failing != nil {
		c.l.scrap = out
		return
	}
	c.out.buf = out
	c.count()
	if !c.dirty {
		c.dirty = true
		c.l.dirty = append(c.l.dirty, c)
	}
	if c.out.size() > c.outMost+outOver || c.out.size() > OutBound+outOver && c.l.crammed() {
		c.later(ErrOverflow)
	}
}

// push sends what was queued in this round.
func (c *Conn) push() {
	c.dirty = false
	if c.fd >= 0 && c.dialling == nil && c.failing == nil && c.interest&unix.EPOLLOUT == 0 {
		c.flush()
		c.update()
	}
}

// later tells an error met inside a call of the handler's from the loop.
func (c *Conn) later(err error) {
	if c.failing == nil {
		c.failing = c.l.After(0, func() { c.fail(err) })
	}
}

// Rest has nothing more read before Resume: for a handler that leaves bytes for want of room,
// not because it needs more of them. Without this all that a peer sends is kept up to the bound.
func (c *Conn) Rest() { c.resting = true }

// EndFirst has the peer's end told as soon as it comes, or again only after all bytes that came before it: for a
// handler that leaves bytes in the kernel, and to which they mean nothing once their sender has gone.
func (c *Conn) EndFirst(on bool) {
	c.endFirst = on
	c.update()
}

// Resume hands over bytes that the handler left, and reads on.
func (c *Conn) Resume() {
	c.resting = false
	if c.fd < 0 || c.busy || c.dialling != nil || c.failing != nil {
		return
	}
	c.offer()
	if c.sec != nil && c.fd >= 0 {
		c.sec.read()
	}
	c.update()
}

// count tells the loop how much the buffers hold.
func (c *Conn) count() {
	now := c.in.size() + c.unsent()
	c.l.held += now - c.held
	c.held = now
}

// Finish ends the connection politely: what is unsent still leaves, then the
// peer sees the end. The handler is told nothing more.
func (c *Conn) Finish() {
	if c.fd < 0 || c.dialling != nil || c.failing != nil {
		c.release()
		return
	}
	if c.ending {
		return
	}
	c.ending, c.h = true, deaf{}
	c.forget()
	c.count()
	// A peer that neither reads nor ends must not hold the descriptor.
	c.farewell = c.l.After(linger, c.release)
	c.Spare(c.release)
	c.flushed()
	c.update()
}

// Reset ends the connection at once; the peer sees a reset.
func (c *Conn) Reset() {
	if c.fd >= 0 {
		unix.SetsockoptLinger(c.fd, unix.SOL_SOCKET, unix.SO_LINGER, &unix.Linger{Onoff: 1})
	}
	c.release()
}

// Detachable says whether Detach would work: the connection stands, is not ending and
// has nothing to send.
func (c *Conn) Detachable() bool {
	return c.fd >= 0 && c.dialling == nil && c.failing == nil && !c.ending && !c.eof && c.out.size() == 0 && c.sec == nil
}

// Detach takes the connection off the loop without ending it, and returns its
// descriptor, which is the caller's then, and the bytes that were not taken. It
// returns -1 if that cannot be.
func (c *Conn) Detach() (fd int, unread []byte) {
	if !c.Detachable() {
		return -1, nil
	}
	fd, err := unix.FcntlInt(uintptr(c.fd), unix.F_DUPFD_CLOEXEC, 0)
	if err != nil {
		return -1, nil
	}
	unread = append(unread, c.in.data()...)
	c.release()
	return fd, unread
}

// Attach takes over a descriptor that was detached, here or in another process, and
// the bytes that were not taken there; they are handed to the handler by Resume.
func (l *Loop) Attach(fd int, unread []byte, h Handler) (*Conn, error) {
	c := newConn(l, fd, &l.budget)
	if err := l.add(fd, unix.EPOLLIN, c, c.budget); err != nil {
		unix.Close(fd)
		return nil, err
	}
	c.interest, c.h = unix.EPOLLIN, h
	if len(unread) > 0 {
		c.in.add(l, unread)
	}
	c.count()
	return c, nil
}

// release is the one place where a connection gives back what it owns.
func (c *Conn) release() {
	for _, t := range []*Timer{c.dialling, c.failing, c.farewell} {
		t.Stop()
	}
	c.Spare(nil)
	c.left += c.unsent()
	c.out.free(c.l)
	if c.sec != nil {
		c.sec.end()
	}
	c.forget()
	c.h, c.ending = deaf{}, true
	c.count()
	if c.fd >= 0 {
		if c.shut {
			c.readOut()
		}
		c.l.drop(c.fd, c.budget)
		c.fd = -1
	}
}

// readOut throws away what has come since: closing a socket with unread bytes would reset the connection, and the
// last answer with it.
func (c *Conn) readOut() {
	for c.rest <= lingerMost {
		n, err := c.l.sys.Read(c.fd, c.l.chunk)
		if n <= 0 || err != nil {
			return
		}
		c.rest += n
	}
}

// leave ends the connection as the loop ends: the peer gets what the system has taken, and an end after it.
func (c *Conn) leave() {
	if c.dialling == nil {
		unix.Shutdown(c.fd, unix.SHUT_WR)
		c.readOut()
	}
}

// forget throws unread bytes away. A handler that is reading them still may.
func (c *Conn) forget() {
	if c.busy {
		c.in = store{}
	} else {
		c.in.free(c.l)
	}
}

// fail ends the connection on an error.
func (c *Conn) fail(err error) {
	h, told := c.h, c.eof
	c.release()
	if !told {
		h.End(err)
	}
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

// opened finishes a dial; false if the connection is still on its way or over.
func (c *Conn) opened() bool {
	code, err := unix.GetsockoptInt(c.fd, unix.SOL_SOCKET, unix.SO_ERROR)
	if err == nil && code != 0 {
		err = unix.Errno(code)
	}
	if err != nil {
		c.fail(err)
		return false
	}
	if _, err := unix.Getpeername(c.fd); err != nil {
		return false
	}
	c.dialling.Stop()
	c.dialling = nil
	c.h.Open()
	return c.fd >= 0
}

func (c *Conn) flush() {
	if c.fd < 0 || c.unsent() == 0 {
		return
	}
	from := &c.out
	if c.sec != nil {
		if err := c.sec.write(); err != nil {
			c.fail(err)
			return
		}
		if from = &c.sec.cipher; from.size() == 0 {
			return // the handshake is not over
		}
	}
	n, err := c.l.sys.Write(c.fd, from.data())
	if err == unix.EAGAIN || err == unix.EINTR {
		return
	}
	if err != nil {
		c.fail(err)
		return
	}
	from.drop(c.l, n)
	c.count()
	if c.unsent() > 0 {
		return
	}
	c.flushed()
	c.h.Drained()
}

// flushed ends our sending once Finish was called and all has left.
func (c *Conn) flushed() {
	if !c.ending || c.unsent() > 0 || c.shut || c.fd < 0 {
		return
	}
	if c.sec != nil && c.sec.bye() {
		c.flush()
		return
	}
	c.shut = true
	unix.Shutdown(c.fd, unix.SHUT_WR)
	if c.eof {
		c.release()
	}
}

// read takes in what is there. What comes after Finish is thrown away: closing
// a socket with unread bytes would reset it.
func (c *Conn) read(events uint32) {
	chunk := c.l.chunk
	for range readMost {
		if c.fd < 0 || c.eof {
			return
		}
		room := len(chunk)
		if !c.ending {
			if room = min(room, c.inMost-c.in.size()); room == 0 || c.resting {
				break
			}
			if c.l.Tight() { // no more than fits the basic share, or completes a large message
				if room = min(room, InBound); c.in.size() < InBound {
					room = min(room, InBound-c.in.size())
				}
			}
		}
		n, err := c.l.sys.Read(c.fd, chunk[:room])
		switch {
		case err == unix.EINTR:
			continue
		case err == unix.EAGAIN:
			return
		case err != nil:
			c.fail(err)
			return
		case n == 0:
			c.heardEnd()
			return
		}
		if !c.ending {
			c.takeIn(chunk[:n])
			if c.in.size() > InBound && c.l.crammed() {
				c.fail(ErrOverflow)
				return
			}
		} else if c.rest += n; c.rest > lingerMost {
			c.release()
			return
		}
		if n < room {
			return
		}
	}
	if events&(unix.EPOLLERR|unix.EPOLLHUP) != 0 && c.fd >= 0 && !c.ending {
		// Nothing more is read, yet the peer has reset the connection.
		if code, err := unix.GetsockoptInt(c.fd, unix.SOL_SOCKET, unix.SO_ERROR); err == nil && code != 0 {
			c.fail(unix.Errno(code))
		} else if events&unix.EPOLLHUP != 0 {
			c.fail(unix.ECONNRESET)
		}
	}
}

// heardEnd says that the peer has ended its sending.
func (c *Conn) heardEnd() {
	if c.eof {
		return
	}
	if c.sec != nil && !c.sec.up && !c.ending {
		c.fail(io.ErrUnexpectedEOF)
		return
	}
	c.eof = true
	if c.ending {
		if c.shut {
			c.release()
		}
		return
	}
	c.h.End(io.EOF)
}

// takeIn takes bytes that were just read.
func (c *Conn) takeIn(b []byte) {
	if c.sec != nil {
		c.sec.take(b)
	} else {
		c.takePlain(b)
	}
}

// takePlain hands over bytes that were just read. Where none are kept already they go from the
// loop's own buffer, and only what the handler leaves is copied.
func (c *Conn) takePlain(b []byte) {
	if c.in.size() > 0 {
		c.in.add(c.l, b)
		c.offer()
		return
	}
	c.busy = true
	n := c.h.Data(b)
	c.busy = false
	if n = min(n, len(b)); n < len(b) && !c.ending {
		c.in.add(c.l, b[n:])
	}
	c.count()
}

// offer hands the unread bytes to the handler.
func (c *Conn) offer() {
	if c.in.size() == 0 {
		return
	}
	c.busy = true
	n := c.h.Data(c.in.data())
	c.busy = false
	if c.in.buf != nil {
		c.in.drop(c.l, min(n, c.in.size()))
	}
	c.count()
}

// update asks epoll for what the connection can use now.
func (c *Conn) update() {
	if c.fd < 0 {
		return
	}
	var want uint32
	if c.dialling != nil || c.sec == nil && c.out.size() > 0 || c.sec != nil && (c.sec.cipher.size() > 0 || c.sec.up && c.out.size() > 0) {
		want |= unix.EPOLLOUT
	}
	if c.dialling == nil && c.failing == nil && !c.eof && (c.ending || c.in.size() < c.inMost && !c.resting) {
		want |= unix.EPOLLIN
	} else if c.endFirst && c.dialling == nil && c.failing == nil && !c.eof {
		want |= unix.EPOLLRDHUP
	}
	if want != c.interest {
		c.interest = want
		c.l.watch(unix.EPOLL_CTL_MOD, c.fd, want)
	}
}

// deaf is the handler of a connection that nobody listens to any more.
type deaf struct{}

func (deaf) Open()             {}
func (deaf) Data(b []byte) int { return len(b) }
func (deaf) Drained()          {}
func (deaf) End(error)         {}

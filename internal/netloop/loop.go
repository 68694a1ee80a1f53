// Package netloop is the event loop on which all sockets of the relay live: one
// goroutine, epoll, timers, non-blocking connects and buffers of a fixed bound.
//
// Ownership is in docs/design.md, "The loop": a Conn owns its descriptor and
// both buffers, and gives them back in release, once. Everything but Post must
// be called from the loop's own goroutine, that is from its callbacks or before
// Run.
package netloop

import (
	"container/heap"
	"container/list"
	"errors"
	"fmt"
	"math"
	"net/netip"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// ErrFull is how a dial ends when no more descriptors may be opened.
var ErrFull = errors.New("no descriptors left")

// acceptPause is how long a listener rests after the system ran out of
// descriptors: the connection stays in the backlog, and polling for it at once
// would spin.
const acceptPause = 20 * time.Millisecond

// acceptBurst bounds the connections accepted before other sockets have a turn.
const acceptBurst = 16

// When descriptors run short: under the first part of the limit, two connections
// that may be spared are given up for each one accepted; under the second, fronts
// should take no request in that needs more descriptors.
const (
	sparePart  = 4
	shortPart  = 16
	shortLeast = 4 // so that there is room to take clients in and reject them, however low the limit
)

// source is what an epoll event goes to.
type source interface{ ready(events uint32) }

// budget is how many descriptors some part of the loop may hold.
type budget struct {
	limit, open int
	spare       list.List // of *Conn: those that may be given up, longest so first
}

// spent is a descriptor that is given back, and to whom.
type spent struct {
	fd   int
	from *budget
}

// Loop is an event loop.
type Loop struct {
	poll, wake int
	now        func() time.Duration
	sources    map[int]source
	timers     timers
	spent      []spent // descriptors to close after the batch, so that no event of it meets a new one
	budget             // of all but the listeners that have their own
	held       int     // bytes in all buffers
	most       int     // how many that may be; 0 for no bound
	events     [256]unix.EpollEvent
	stopped    bool
	round      time.Duration // when this one began
	spell      time.Duration // how long the last one took
	busy       float64
	gapMost    time.Duration
	gapped     func(time.Duration) // nil: nobody wants to know
	chunk      []byte              // what one read may bring
	plain      []byte              // where TLS records are decrypted; nil until there are any
	shaking    int                 // TLS handshakes under way
	dirty      []*Conn             // that have something queued
	free       [][]byte            // buffers that nothing is in
	freeBytes  int
	scrap      []byte // where writing goes that nobody sends

	mu     sync.Mutex
	posted []func()
	closed bool // nothing is posted any more
}

// New makes a loop that reads its time from now. It lets at most limit
// descriptors of its own be open at once.
func New(now func() time.Duration, limit int) (*Loop, error) {
	poll, err := unix.EpollCreate1(unix.EPOLL_CLOEXEC)
	if err != nil {
		return nil, fmt.Errorf("epoll: %w", err)
	}
	wake, err := unix.Eventfd(0, unix.EFD_NONBLOCK|unix.EFD_CLOEXEC)
	if err != nil {
		unix.Close(poll)
		return nil, fmt.Errorf("eventfd: %w", err)
	}
	l := &Loop{poll: poll, wake: wake, now: now, round: now(), sources: map[int]source{}, budget: budget{limit: limit}, chunk: make([]byte, chunkSize)}
	if err := l.watch(unix.EPOLL_CTL_ADD, wake, unix.EPOLLIN); err != nil {
		unix.Close(poll)
		unix.Close(wake)
		return nil, err
	}
	l.sources[wake] = wakeup{l}
	return l, nil
}

// Now is the loop's clock.
func (l *Loop) Now() time.Duration { return l.now() }

// account keeps the part of the time that is work, over about busyOver.
func (l *Loop) account(slept time.Duration) {
	if all := l.spell + slept; all > 0 {
		weight := 1 - math.Exp(-all.Seconds()/busyOver.Seconds())
		l.busy += weight * (l.spell.Seconds()/all.Seconds() - l.busy)
	}
}

const busyOver = 500 * time.Millisecond

// Busy is the part of the last half second or so that the loop has worked and not waited.
func (l *Loop) Busy() float64 { return l.busy }

// Round is when this round began, for who needs the time often and not to the microsecond.
func (l *Loop) Round() time.Duration { return l.round }

// Spell is how long the last round took: what is timed by this loop may be later by so much
// for the loop's own work.
func (l *Loop) Spell() time.Duration { return l.spell }

// Free is how many more descriptors may be opened.
func (b *budget) Free() int { return b.limit - b.open }

// Short says that hardly any more descriptors may be opened.
func (b *budget) Short() bool { return b.Free() < max(b.limit/shortPart, shortLeast) }

// relieve gives up connections that may be spared, so that those who connect and
// say nothing cannot keep others out.
func (b *budget) relieve() {
	for range 2 {
		if b.Free() < max(b.limit/sparePart, 1) {
			b.giveUp()
		}
	}
}

// giveUp gives up the connection that was spared longest ago; false if there is none.
func (b *budget) giveUp() bool {
	e := b.spare.Front()
	if e == nil {
		return false
	}
	c := e.Value.(*Conn)
	c.giveUp()
	c.release()
	return true
}

// Memory bounds the bytes that all buffers hold together. While they hold more, a
// connection that keeps more than its basic share is ended when it wants yet more:
// each may have the room of one large message, all at once may not.
func (l *Loop) Memory(most int) { l.most = most }

// Tight says that the buffers hold half of what they may. Who can do with less then should, well
// before connections are ended for it.
func (l *Loop) Tight() bool { return l.most > 0 && l.held > l.most/2 }

func (l *Loop) crammed() bool { return l.most > 0 && l.held > l.most }

// Post has f run on the loop. It may be called from any goroutine. After Close it does nothing.
func (l *Loop) Post(f func()) {
	l.mu.Lock()
	defer l.mu.Unlock() // until it is written: a descriptor that Close has given back may be another's at once
	if l.closed {
		return
	}
	l.posted = append(l.posted, f)
	one := [8]byte{1}
	unix.Write(l.wake, one[:]) // a full counter wakes the loop as well
}

// Gap has gapped called, before anything else of its round, when this process has stood still for longer than most: it was stopped,
// its machine slept, or one round took as long.
func (l *Loop) Gap(most time.Duration, gapped func(time.Duration)) {
	l.gapMost, l.gapped, l.round = most, gapped, l.now() // a start that took its time is none
}

// Stop ends Run after the current round.
func (l *Loop) Stop() { l.stopped = true }

// Run serves until Stop, then gives everything back.
func (l *Loop) Run() error {
	defer l.Close()
	for !l.stopped {
		if err := l.Turn(l.patience()); err != nil {
			return err
		}
	}
	return nil
}

// Turn does one round: it waits for events for at most so many milliseconds,
// serves them and runs what is due.
func (l *Loop) Turn(patience int) error {
	n, err := unix.EpollWait(l.poll, l.events[:], patience)
	if err == unix.EINTR {
		// So ends the wait of a process that was stopped and goes on: what has come meanwhile goes before what is overdue.
		n, err = unix.EpollWait(l.poll, l.events[:], 0)
	}
	if err != nil && err != unix.EINTR {
		return fmt.Errorf("epoll: %w", err)
	}
	slept := l.now() - l.round - l.spell
	late := max(slept-time.Duration(patience)*time.Millisecond, l.spell)
	l.round += l.spell + slept
	if l.gapped != nil && patience >= 0 && late > l.gapMost {
		l.gapped(late)
	}
	defer func() {
		l.spell = l.now() - l.round
		l.account(slept)
	}()
	for _, e := range l.events[:max(n, 0)] {
		if s := l.sources[int(e.Fd)]; s != nil {
			s.ready(e.Events)
		}
	}
	l.fire()
	for len(l.dirty) > 0 { // a push may have its handler queue more
		batch := l.dirty
		l.dirty = nil
		for _, c := range batch {
			c.push()
		}
	}
	l.bury()
	return nil
}

func (l *Loop) bury() {
	for _, s := range l.spent {
		unix.Close(s.fd)
		s.from.open--
	}
	l.spent = l.spent[:0]
}

// Close gives back all that the loop holds.
func (l *Loop) Close() {
	if l.sources == nil {
		return
	}
	l.mu.Lock()
	l.closed, l.posted = true, nil
	l.mu.Unlock()
	for fd, s := range l.sources {
		if c, ok := s.(*Conn); ok && c.sec == nil {
			c.leave()
		}
		unix.Close(fd)
	}
	l.bury()
	unix.Close(l.poll)
	l.sources = nil
}

func (l *Loop) watch(op, fd int, events uint32) error {
	if err := unix.EpollCtl(l.poll, op, fd, &unix.EpollEvent{Events: events, Fd: int32(fd)}); err != nil {
		return fmt.Errorf("epoll: %w", err)
	}
	return nil
}

// add takes a descriptor over, at the cost of that budget.
func (l *Loop) add(fd int, events uint32, s source, from *budget) error {
	if err := l.watch(unix.EPOLL_CTL_ADD, fd, events); err != nil {
		return err
	}
	l.sources[fd] = s
	from.open++
	return nil
}

// drop is where every descriptor but the loop's own two is given back.
func (l *Loop) drop(fd int, from *budget) {
	delete(l.sources, fd)
	l.watch(unix.EPOLL_CTL_DEL, fd, 0)
	l.spent = append(l.spent, spent{fd, from})
}

type wakeup struct{ l *Loop }

func (w wakeup) ready(uint32) {
	var buf [8]byte
	unix.Read(w.l.wake, buf[:])
	w.l.mu.Lock()
	posted := w.l.posted
	w.l.posted = nil
	w.l.mu.Unlock()
	for _, f := range posted {
		f()
	}
}

// ---- Timers ----

// Timer is a call that is due once.
type Timer struct {
	at    time.Duration
	order uint64
	index int
	call  func()
	loop  *Loop
}

// After has call run once the time has passed, never from within After.
func (l *Loop) After(d time.Duration, call func()) *Timer {
	t := &Timer{at: l.Now() + max(d, 0), order: l.timers.order, call: call, loop: l}
	l.timers.order++
	heap.Push(&l.timers, t)
	return t
}

// Stop takes a timer back. A nil or spent timer may be stopped too.
func (t *Timer) Stop() {
	if t != nil && t.index >= 0 {
		heap.Remove(&t.loop.timers, t.index)
	}
}

func (l *Loop) patience() int {
	if len(l.timers.heap) == 0 {
		return -1
	}
	wait := l.timers.heap[0].at - l.Now()
	return int(max(0, min(wait+time.Millisecond-1, time.Minute)) / time.Millisecond)
}

// fire runs what is due. A timer set meanwhile waits for the next round, so that
// one that sets itself again cannot keep the sockets waiting.
func (l *Loop) fire() {
	now, order := l.Now(), l.timers.order
	for len(l.timers.heap) > 0 && l.timers.heap[0].at <= now && l.timers.heap[0].order < order {
		heap.Pop(&l.timers).(*Timer).call()
	}
}

type timers struct {
	heap  []*Timer
	order uint64
}

func (t *timers) Len() int { return len(t.heap) }
func (t *timers) Less(i, j int) bool {
	x, y := t.heap[i], t.heap[j]
	return x.at < y.at || x.at == y.at && x.order < y.order
}
func (t *timers) Swap(i, j int) {
	t.heap[i], t.heap[j] = t.heap[j], t.heap[i]
	t.heap[i].index, t.heap[j].index = i, j
}
func (t *timers) Push(x any) {
	t.heap = append(t.heap, x.(*Timer))
	x.(*Timer).index = len(t.heap) - 1
}
func (t *timers) Pop() any {
	last := len(t.heap) - 1
	x := t.heap[last]
	t.heap[last] = nil
	t.heap = t.heap[:last]
	x.index = -1
	return x
}

// ---- Listening ----

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
	fd, err := unix.Socket(family, unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, fmt.Errorf("listening at %s: %w", addr, err)
	}
	s := &Listener{l: l, fd: fd, accept: accept, budget: from}
	err = unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1)
	if err == nil {
		err = unix.Bind(fd, at)
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
	if err := unix.Listen(s.fd, backlog); err != nil {
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

// Limit sets how many descriptors the loop may hold.
func (l *Loop) Limit(most int) { l.limit = most }

// Held is how many it holds.
func (l *Loop) Held() int { return l.open }

// Grant lets the loop hold so many more, which came from another process that holds
// them no longer.
func (l *Loop) Grant(more int) { l.limit += more }

// ListensAt says whether a socket stands at an address.
func ListensAt(fd int, addr string) bool {
	at, err := netip.ParseAddrPort(addr)
	if err != nil {
		return false
	}
	is, err := netip.ParseAddrPort(local(fd))
	return err == nil && is.Addr().Unmap() == at.Addr().Unmap() && (at.Port() == 0 || is.Port() == at.Port())
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
	fd, _, err := unix.Accept4(s.fd, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
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

func address(addr string) (unix.Sockaddr, int, error) {
	at, err := netip.ParseAddrPort(addr)
	if err != nil {
		return nil, 0, fmt.Errorf("address %q: %w", addr, err)
	}
	if ip := at.Addr().Unmap(); ip.Is4() {
		return &unix.SockaddrInet4{Port: int(at.Port()), Addr: ip.As4()}, unix.AF_INET, nil
	}
	return &unix.SockaddrInet6{Port: int(at.Port()), Addr: at.Addr().As16()}, unix.AF_INET6, nil
}

func local(fd int) string {
	at, err := unix.Getsockname(fd)
	if err != nil {
		return ""
	}
	return named(at)
}

func named(at unix.Sockaddr) string {
	switch at := at.(type) {
	case *unix.SockaddrInet4:
		return netip.AddrPortFrom(netip.AddrFrom4(at.Addr), uint16(at.Port)).String()
	case *unix.SockaddrInet6:
		return netip.AddrPortFrom(netip.AddrFrom16(at.Addr), uint16(at.Port)).String()
	}
	return ""
}

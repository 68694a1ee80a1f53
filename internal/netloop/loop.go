// Package netloop is the event loop on which all sockets of the relay live: one
// goroutine, epoll, timers, non-blocking connects and buffers of a fixed bound.
//
// Ownership is in docs/design.md, "The loop": a Conn owns its descriptor and
// both buffers, and gives them back in release, once. Everything but Post must
// be called from the loop's own goroutine, that is from its callbacks or before
// Run.
package netloop

import (
	"container/list"
	"errors"
	"fmt"
	"math"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// ErrNoDescriptors is how a dial ends when no more descriptors may be opened.
var ErrNoDescriptors = errors.New("no descriptors left")

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

// descriptorBudget is how many descriptors some part of the loop may hold.
type descriptorBudget struct {
	limit, open int
	spare       list.List // of *Conn: those that may be given up, longest so first
}

// spent is a descriptor that is given back, and to whom.
type spent struct {
	fd   int
	from *descriptorBudget
}

// Loop is an event loop.
type Loop struct {
	sys              Syscalls
	poll, wake       int
	now              func() time.Duration
	sources          map[int]source
	timers           timers
	spent            []spent // descriptors to close after the batch, so that no event of it meets a new one
	descriptorBudget         // of all but the listeners that have their own
	held             int     // bytes in all buffers
	most             int     // how many that may be; 0 for no bound
	events           [256]unix.EpollEvent
	stopped          bool
	round            time.Duration // when this one began
	spell            time.Duration // how long the last one took
	busy             float64
	gapMost          time.Duration
	gapped           func(time.Duration) // nil: nobody wants to know
	chunk            []byte              // what one read may bring
	plain            []byte              // where TLS records are decrypted; nil until there are any
	shaking          int                 // TLS handshakes under way
	dirty            []*Conn             // that have something queued
	free             [][]byte            // buffers that nothing is in
	freeBytes        int
	scrap            []byte // where writing goes that nobody sends

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
	l := &Loop{sys: DefaultSyscalls, poll: poll, wake: wake, now: now, round: now(), sources: map[int]source{}, descriptorBudget: descriptorBudget{limit: limit}, chunk: make([]byte, chunkSize)}
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

// Utilization is the part of the last half second or so that the loop has worked and not waited.
func (l *Loop) Utilization() float64 { return l.busy }

// RoundStart is when this round began, for who needs the time often and not to the microsecond.
func (l *Loop) RoundStart() time.Duration { return l.round }

// LastRoundDuration is how long the last round took: what is timed by this loop may be later by so much
// for the loop's own work.
func (l *Loop) LastRoundDuration() time.Duration { return l.spell }

// FreeDescriptors is how many more descriptors may be opened.
func (b *descriptorBudget) FreeDescriptors() int { return b.limit - b.open }

// DescriptorsLow says that hardly any more descriptors may be opened.
func (b *descriptorBudget) DescriptorsLow() bool {
	return b.FreeDescriptors() < max(b.limit/shortPart, shortLeast)
}

// relieve gives up connections that may be spared, so that those who connect and
// say nothing cannot keep others out. It returns whether there were any.
func (b *descriptorBudget) relieve() (some bool) {
	for range 2 {
		if b.FreeDescriptors() < max(b.limit/sparePart, 1) && b.giveUp() {
			some = true
		}
	}
	return some
}

// giveUp gives up the connection that was spared longest ago; false if there is none.
func (b *descriptorBudget) giveUp() bool {
	e := b.spare.Front()
	if e == nil {
		return false
	}
	c := e.Value.(*Conn)
	c.giveUp()
	c.release()
	return true
}

// SetMemoryLimit bounds the bytes that all buffers hold together. While they hold more, a
// connection that keeps more than its basic share is ended when it wants yet more:
// each may have the room of one large message, all at once may not.
func (l *Loop) SetMemoryLimit(most int) { l.most = most }

// MemoryPressure says that the buffers hold half of what they may. Who can do with less then should, well
// before connections are ended for it.
func (l *Loop) MemoryPressure() bool { return l.most > 0 && l.held > l.most/2 }

func (l *Loop) overMemoryLimit() bool { return l.most > 0 && l.held > l.most }

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

// OnStall has gapped called, before anything else of its round, when this process has stood still for longer than most: it was stopped,
// its machine slept, or one round took as long.
func (l *Loop) OnStall(most time.Duration, gapped func(time.Duration)) {
	l.gapMost, l.gapped, l.round = most, gapped, l.now() // a start that took its time is none
}

// Stop ends Run after the current round.
func (l *Loop) Stop() { l.stopped = true }

// Run serves until Stop, then gives everything back.
func (l *Loop) Run() error {
	defer l.Close()
	for !l.stopped {
		if err := l.RunOnce(l.patience()); err != nil {
			return err
		}
	}
	return nil
}

// RunOnce does one round: it waits for events for at most so many milliseconds,
// serves them and runs what is due.
func (l *Loop) RunOnce(patience int) error {
	n, err := l.sys.EpollWait(l.poll, l.events[:], patience)
	if err == unix.EINTR {
		// So ends the wait of a process that was stopped and goes on: what has come meanwhile goes before what is overdue.
		n, err = l.sys.EpollWait(l.poll, l.events[:], 0)
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
	if err := l.sys.EpollCtl(l.poll, op, fd, &unix.EpollEvent{Events: events, Fd: int32(fd)}); err != nil {
		return fmt.Errorf("epoll: %w", err)
	}
	return nil
}

// add takes a descriptor over, at the cost of that budget, and has it watched.
func (l *Loop) add(fd int, events uint32, s source, from *descriptorBudget) error {
	if err := l.watch(unix.EPOLL_CTL_ADD, fd, events); err != nil {
		return err
	}
	l.own(fd, s, from)
	return nil
}

// own takes a descriptor over, at the cost of that budget. It is not watched yet.
func (l *Loop) own(fd int, s source, from *descriptorBudget) {
	l.sources[fd] = s
	from.open++
}

// drop is where every descriptor but the loop's own two is given back.
func (l *Loop) drop(fd int, from *descriptorBudget) {
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

// SetDescriptorLimit sets how many descriptors the loop may hold.
func (l *Loop) SetDescriptorLimit(most int) { l.limit = most }

// OpenDescriptors is how many it holds.
func (l *Loop) OpenDescriptors() int { return l.open }

// RaiseDescriptorLimit lets the loop hold so many more, which came from another process that holds
// them no longer.
func (l *Loop) RaiseDescriptorLimit(more int) { l.limit += more }

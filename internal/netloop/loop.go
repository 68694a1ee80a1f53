// Package netloop is the event loop on which all sockets of the relay live: one goroutine, epoll, timers, non-blocking
// connects and bounded buffers.
//
// Ownership is in docs/design.md, "The loop": a Conn owns its descriptor and both buffers, and gives them back in release,
// once. Everything but Post must be called from the loop's own goroutine, that is from its callbacks or before Run.
package netloop

import (
	"fmt"
	"math"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// eventSource receives the epoll events of a descriptor.
type eventSource interface{ ready(events uint32) }

// Loop is an event loop.
type Loop struct {
	descriptorBudget // of all but listeners and dials that have their own

	syscalls        Syscalls
	epollFD, wakeFD int
	events          [256]unix.EpollEvent
	sources         map[int]eventSource
	released        []releasedFD // to be closed after the batch, so that no event of it meets a new descriptor of the same number
	timers          timerQueue
	queued          []*Conn // that have queued bytes to flush at the end of the round
	stopped         bool

	now         func() time.Duration
	roundStart  time.Duration
	lastRound   time.Duration // how long the last round took
	utilization float64
	maxStall    time.Duration
	onStall     func(time.Duration)

	bufferedBytes       int    // in the buffers of all connections
	maxBuffered         int    // the bound of that; 0 for none
	readBuffer          []byte // for one read
	tlsReadBuffer       []byte // for decrypted TLS records; nil until there are any
	discardBuffer       []byte // for what is written to connections that have ended
	freeBuffers         [][]byte
	freeBytes           int            // the capacity of freeBuffers
	handshakes          int            // TLS handshakes under way
	handshakeGoroutines sync.WaitGroup // their goroutines

	mu     sync.Mutex
	posted []func()
	closed bool // nothing is posted any more
}

// New makes a loop that reads its time from now. It lets at most limit descriptors of its own be open at once.
func New(now func() time.Duration, limit int) (*Loop, error) {
	epollFD, err := unix.EpollCreate1(unix.EPOLL_CLOEXEC)
	if err != nil {
		return nil, fmt.Errorf("epoll: %w", err)
	}
	wakeFD, err := unix.Eventfd(0, unix.EFD_NONBLOCK|unix.EFD_CLOEXEC)
	if err != nil {
		unix.Close(epollFD)
		return nil, fmt.Errorf("eventfd: %w", err)
	}
	l := &Loop{syscalls: DefaultSyscalls, epollFD: epollFD, wakeFD: wakeFD, now: now, roundStart: now(), sources: map[int]eventSource{},
		descriptorBudget: descriptorBudget{limit: limit}, readBuffer: make([]byte, readSize)}
	if err := l.epollCtl(unix.EPOLL_CTL_ADD, wakeFD, unix.EPOLLIN); err != nil {
		unix.Close(epollFD)
		unix.Close(wakeFD)
		return nil, err
	}
	l.sources[wakeFD] = wakeup{l}
	return l, nil
}

// Now is the loop's clock.
func (l *Loop) Now() time.Duration { return l.now() }

// RoundStart is when this round began, for callers that need the time often and not to the microsecond.
func (l *Loop) RoundStart() time.Duration { return l.roundStart }

// LastRoundDuration is how long the last round took: what is timed by this loop may be later by so much, for the loop's own
// work.
func (l *Loop) LastRoundDuration() time.Duration { return l.lastRound }

// utilizationWindow is over what time Utilization is averaged.
const utilizationWindow = 500 * time.Millisecond

// Utilization is the part of the last half second or so that the loop has worked and not waited.
func (l *Loop) Utilization() float64 { return l.utilization }

// updateUtilization takes the last round, and the wait before it, into the average.
func (l *Loop) updateUtilization(slept time.Duration) {
	if elapsed := l.lastRound + slept; elapsed > 0 {
		weight := 1 - math.Exp(-elapsed.Seconds()/utilizationWindow.Seconds())
		l.utilization += weight * (l.lastRound.Seconds()/elapsed.Seconds() - l.utilization)
	}
}

// Post has f run on the loop. It may be called from any goroutine. After Close it does nothing.
func (l *Loop) Post(f func()) {
	l.mu.Lock()
	defer l.mu.Unlock() // until it is written: a descriptor that Close has given back may be another's at once
	if l.closed {
		return
	}
	l.posted = append(l.posted, f)
	one := [8]byte{1}
	unix.Write(l.wakeFD, one[:]) // a full counter wakes the loop as well
}

// OnStall has stalled called, before anything else of its round, when this process has stood still for longer than
// threshold: it was stopped, its machine was suspended, or one round took as long.
func (l *Loop) OnStall(threshold time.Duration, stalled func(time.Duration)) {
	l.maxStall, l.onStall, l.roundStart = threshold, stalled, l.now() // a start that took its time is none
}

// Stop ends Run after the current round.
func (l *Loop) Stop() { l.stopped = true }

// Run serves until Stop, then closes the loop.
func (l *Loop) Run() error {
	defer l.Close()
	for !l.stopped {
		if err := l.RunOnce(l.pollTimeout()); err != nil {
			return err
		}
	}
	return nil
}

// RunOnce does one round: it waits for events for at most timeoutMS milliseconds (without end if that is negative), handles
// them and runs the timers that are due.
func (l *Loop) RunOnce(timeoutMS int) error {
	n, err := l.syscalls.EpollWait(l.epollFD, l.events[:], timeoutMS)
	if err == unix.EINTR {
		// So ends the wait of a process that was stopped and goes on: what has come meanwhile goes before what is overdue.
		n, err = l.syscalls.EpollWait(l.epollFD, l.events[:], 0)
	}
	if err != nil && err != unix.EINTR {
		return fmt.Errorf("epoll: %w", err)
	}
	slept := l.now() - l.roundStart - l.lastRound
	late := max(slept-time.Duration(timeoutMS)*time.Millisecond, l.lastRound)
	l.roundStart += l.lastRound + slept
	if l.onStall != nil && timeoutMS >= 0 && late > l.maxStall {
		l.onStall(late)
	}
	defer func() {
		l.lastRound = l.now() - l.roundStart
		l.updateUtilization(slept)
	}()
	for _, e := range l.events[:max(n, 0)] {
		if s := l.sources[int(e.Fd)]; s != nil {
			s.ready(e.Events)
		}
	}
	l.runTimers()
	for len(l.queued) > 0 { // a handler of Drained may queue more
		batch := l.queued
		l.queued = nil
		for _, c := range batch {
			c.flushQueue()
		}
	}
	l.closeReleased()
	return nil
}

// Close closes every descriptor of the loop, and waits for the goroutines of TLS handshakes, which end at once.
func (l *Loop) Close() {
	if l.sources == nil {
		return
	}
	l.mu.Lock()
	l.closed, l.posted = true, nil
	l.mu.Unlock()
	for fd, s := range l.sources {
		if c, ok := s.(*Conn); ok && c.tls != nil {
			c.tls.transport.Close()
		} else if ok {
			c.shutdownOnExit()
		}
		unix.Close(fd)
	}
	l.closeReleased()
	unix.Close(l.epollFD)
	l.sources = nil
	l.handshakeGoroutines.Wait()
}

func (l *Loop) epollCtl(op, fd int, events uint32) error {
	if err := l.syscalls.EpollCtl(l.epollFD, op, fd, &unix.EpollEvent{Events: events, Fd: int32(fd)}); err != nil {
		return fmt.Errorf("epoll: %w", err)
	}
	return nil
}

// wakeup runs posted functions when Post has written to wakeFD.
type wakeup struct{ l *Loop }

func (w wakeup) ready(uint32) {
	var buf [8]byte
	unix.Read(w.l.wakeFD, buf[:])
	w.l.mu.Lock()
	posted := w.l.posted
	w.l.posted = nil
	w.l.mu.Unlock()
	for _, f := range posted {
		f()
	}
}

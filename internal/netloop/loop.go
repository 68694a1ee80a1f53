// Package netloop is the event loop that serves all sockets of the relay: a single goroutine with
// epoll, timers, non-blocking connects and bounded buffers.
//
// A Conn owns its descriptor and its buffers, and release frees them once; see docs/design.md, "The
// loop". Every function except Post must be called from the loop's goroutine, that is from its
// callbacks, or before Run.
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
	descriptorBudget // of all descriptors except connections that have a budget of their own

	syscalls        Syscalls
	epollFD, wakeFD int
	events          [256]unix.EpollEvent
	sources         map[int]eventSource
	// released are descriptors to close at the end of the round. If they were closed earlier, a
	// pending event could be delivered to a new descriptor with the same number.
	released []releasedFD
	timers   timerQueue
	queued   []*Conn // connections to flush at the end of the round
	yielded  []*Conn // connections whose turn ended before they had used what they had read
	stopped  bool

	now         func() time.Duration
	roundStart  time.Duration
	turnStart   time.Duration // when the turn of the connection that is being served began
	lastRound   time.Duration // duration of the last round, without its wait for events
	utilization float64
	maxStall    time.Duration // onStall is called for longer stalls
	onStall     func(time.Duration)

	bufferedBytes       int    // bytes in the buffers of all connections
	maxBuffered         int    // limit of bufferedBytes; 0 for none
	readBuffer          []byte // buffer of a single read
	tlsReadBuffer       []byte // buffer for decrypted TLS records; nil until it is needed
	discardBuffer       []byte // result of Conn.Buffer on connections that have ended
	freeBuffers         [][]byte
	freeBytes           int            // total capacity of freeBuffers
	handshakes          int            // TLS handshakes in progress
	handshakeGoroutines sync.WaitGroup // goroutines of the TLS handshakes

	mu     sync.Mutex
	posted []func()
	closed bool // Post does nothing any more
}

// New returns a loop that reads its time from now. At most limit descriptors may be open at once, not
// counting the loop's epoll and wake-up descriptors.
func New(now func() time.Duration, limit int) (*Loop, error) {
	epollFD, err := unix.EpollCreate1(unix.EPOLL_CLOEXEC)
	if err != nil {
		return nil, fmt.Errorf("creating epoll instance: %w", err)
	}
	wakeFD, err := unix.Eventfd(0, unix.EFD_NONBLOCK|unix.EFD_CLOEXEC)
	if err != nil {
		unix.Close(epollFD)
		return nil, fmt.Errorf("creating eventfd: %w", err)
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

// Now is the current time of the loop's clock.
func (l *Loop) Now() time.Duration { return l.now() }

// RoundStart is the time at which the current round began. It is cheaper than Now, for callers that
// need the time often and only roughly.
func (l *Loop) RoundStart() time.Duration { return l.roundStart }

// LastRoundDuration is how long the last round took, without its wait for events. The loop may notice
// an event late by up to this duration, because it was busy with its own work.
func (l *Loop) LastRoundDuration() time.Duration { return l.lastRound }

// utilizationWindow is the time constant of the moving average that Utilization returns.
const utilizationWindow = 500 * time.Millisecond

// Utilization is the fraction of time, from 0 to 1, that the loop spent working and not waiting for
// events. It is a moving average over about half a second.
func (l *Loop) Utilization() float64 { return l.utilization }

// updateUtilization adds the last round and the wait that followed it to the average.
func (l *Loop) updateUtilization(slept time.Duration) {
	if elapsed := l.lastRound + slept; elapsed > 0 {
		weight := 1 - math.Exp(-elapsed.Seconds()/utilizationWindow.Seconds())
		l.utilization += weight * (l.lastRound.Seconds()/elapsed.Seconds() - l.utilization)
	}
}

// Post schedules f to run on the loop's goroutine. It may be called from any goroutine. After Close
// it does nothing.
func (l *Loop) Post(f func()) {
	l.mu.Lock()
	defer l.mu.Unlock() // after the write: once Close has closed wakeFD, its number may belong to another file
	if l.closed {
		return
	}
	l.posted = append(l.posted, f)
	one := [8]byte{1}
	unix.Write(l.wakeFD, one[:]) // an error can be ignored: a full counter wakes the loop as well
}

// OnStall sets a function that is called, before any other callback of a round, if the process did
// not run for longer than threshold, because it was stopped or its host was suspended, or if the
// previous round took longer than threshold. The argument is the duration of the stall.
func (l *Loop) OnStall(threshold time.Duration, stalled func(time.Duration)) {
	// Measuring starts now, so that a slow start of the process does not count as a stall.
	l.maxStall, l.onStall, l.roundStart = threshold, stalled, l.now()
}

// Stop ends Run after the current round.
func (l *Loop) Stop() { l.stopped = true }

// Run runs rounds until Stop is called, then closes the loop.
func (l *Loop) Run() error {
	defer l.Close()
	for !l.stopped {
		if err := l.RunOnce(l.pollTimeout()); err != nil {
			return err
		}
	}
	return nil
}

// RunOnce runs one round: it waits for events for at most timeoutMS milliseconds (without limit if
// negative), handles them, runs the timers that are due and sends queued bytes.
func (l *Loop) RunOnce(timeoutMS int) error {
	yielded := l.yielded
	l.yielded = nil
	if len(yielded) > 0 {
		timeoutMS = 0
	}
	n, err := l.syscalls.EpollWait(l.epollFD, l.events[:], timeoutMS)
	if err == unix.EINTR {
		// A process that is stopped and continued gets EINTR here. Poll again without waiting, so
		// that events received in the meantime are handled before overdue timers.
		n, err = l.syscalls.EpollWait(l.epollFD, l.events[:], 0)
	}
	if err != nil && err != unix.EINTR {
		return fmt.Errorf("epoll_wait: %w", err)
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
	l.resumeYielded(yielded)
	l.runTimers()
	for len(l.queued) > 0 { // handlers may queue more bytes in Drained
		batch := l.queued
		l.queued = nil
		for _, c := range batch {
			c.flushQueue()
		}
	}
	l.closeReleased()
	return nil
}

// Close closes all descriptors of the loop and waits for the goroutines of TLS handshakes, which
// end at once.
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
		return fmt.Errorf("epoll_ctl: %w", err)
	}
	return nil
}

// wakeup runs the posted functions after Post has written to wakeFD.
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

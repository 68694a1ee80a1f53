package netloop

import (
	"container/list"
	"errors"

	"golang.org/x/sys/unix"
)

// ErrNoDescriptors is how a dial ends when no more descriptors may be opened.
var ErrNoDescriptors = errors.New("no descriptors left")

// When descriptors run short: with less than limit/evictFraction left, two evictable connections are ended for each one that
// is accepted; with less than limit/lowFraction left, fronts should admit no request that needs more descriptors.
const (
	evictFraction = 4
	lowFraction   = 16
	minLowMark    = 4 // so that some are left to accept clients and reject them, however low the limit
)

// descriptorBudget bounds the descriptors of one part of the loop.
type descriptorBudget struct {
	limit, open int
	evictable   list.List // of *Conn: those that may be ended, the one that was so for longest first
}

// releasedFD is a descriptor that is to be closed, and the budget that it counts against until then.
type releasedFD struct {
	fd     int
	budget *descriptorBudget
}

// FreeDescriptors is how many more descriptors may be opened.
func (b *descriptorBudget) FreeDescriptors() int { return b.limit - b.open }

// DescriptorsLow reports whether hardly any more descriptors may be opened.
func (b *descriptorBudget) DescriptorsLow() bool {
	return b.FreeDescriptors() < max(b.limit/lowFraction, minLowMark)
}

// SetDescriptorLimit sets how many descriptors the loop may have open.
func (l *Loop) SetDescriptorLimit(limit int) { l.limit = limit }

// OpenDescriptors is how many it has open.
func (l *Loop) OpenDescriptors() int { return l.open }

// RaiseDescriptorLimit raises the limit by descriptors that came from another process, which has them no longer.
func (l *Loop) RaiseDescriptorLimit(more int) { l.limit += more }

// evictIfLow ends evictable connections if descriptors run short, so that clients that connect and send nothing cannot keep
// others out. It reports whether there were any.
func (b *descriptorBudget) evictIfLow() (evicted bool) {
	for range 2 {
		if b.FreeDescriptors() < max(b.limit/evictFraction, 1) && b.evictOldest() {
			evicted = true
		}
	}
	return evicted
}

// evictOldest ends the connection that has been evictable for longest; false if there is none.
func (b *descriptorBudget) evictOldest() bool {
	e := b.evictable.Front()
	if e == nil {
		return false
	}
	c := e.Value.(*Conn)
	c.onEvict()
	c.release()
	return true
}

// register takes a descriptor over, against a budget, and has epoll watch it.
func (l *Loop) register(fd int, events uint32, s eventSource, budget *descriptorBudget) error {
	if err := l.epollCtl(unix.EPOLL_CTL_ADD, fd, events); err != nil {
		return err
	}
	l.track(fd, s, budget)
	return nil
}

// track takes a descriptor over, against a budget. Epoll does not watch it yet.
func (l *Loop) track(fd int, s eventSource, budget *descriptorBudget) {
	l.sources[fd] = s
	budget.open++
}

// unregister gives a descriptor back. Every descriptor but the loop's own two ends here.
func (l *Loop) unregister(fd int, budget *descriptorBudget) {
	delete(l.sources, fd)
	l.epollCtl(unix.EPOLL_CTL_DEL, fd, 0)
	l.released = append(l.released, releasedFD{fd, budget})
}

// closeReleased closes the descriptors that were given back in this round.
func (l *Loop) closeReleased() {
	for _, r := range l.released {
		unix.Close(r.fd)
		r.budget.open--
	}
	l.released = l.released[:0]
}

package netloop

import (
	"container/list"
	"errors"

	"golang.org/x/sys/unix"
)

// ErrNoDescriptors is reported when a dial fails for a reason on this host, not at the peer: the
// descriptor limit is reached, or socket or connect returned an error that the peer cannot have
// caused (see connectError). That error is wrapped along with it.
var ErrNoDescriptors = errors.New("no descriptors left or other local failure")

// Thresholds for a shortage of descriptors. With less than limit/evictFraction free, two evictable
// connections are ended for each one that is accepted. With less than limit/lowFraction free, fronts
// should admit no request that needs another descriptor.
const (
	evictFraction = 4
	lowFraction   = 16
	minLowMark    = 4 // keeps some descriptors free to accept and reject clients, even with a small limit
)

// descriptorBudget limits the number of open descriptors of the loop, or of one purpose within it.
type descriptorBudget struct {
	limit, open int
	evictable   list.List // of *Conn that may be ended; the one that has been evictable for longest is first
}

// releasedFD is a descriptor to close at the end of the round. It counts against its budget until
// then.
type releasedFD struct {
	fd     int
	budget *descriptorBudget
}

// FreeDescriptors is the number of descriptors that can still be opened.
func (b *descriptorBudget) FreeDescriptors() int { return b.limit - b.open }

// DescriptorsLow reports whether the budget is almost exhausted; see lowFraction.
func (b *descriptorBudget) DescriptorsLow() bool {
	return b.FreeDescriptors() < max(b.limit/lowFraction, minLowMark)
}

// SetDescriptorLimit sets how many descriptors the loop may have open. Connections with a budget of
// their own (ListenReserved, DescriptorReserve) do not count.
func (l *Loop) SetDescriptorLimit(limit int) { l.limit = limit }

// OpenDescriptors is the number of descriptors that count against the loop's limit.
func (l *Loop) OpenDescriptors() int { return l.open }

// RaiseDescriptorLimit raises the limit by the number of descriptors received from another process,
// which no longer has them open.
func (l *Loop) RaiseDescriptorLimit(more int) { l.limit += more }

// evictIfLow ends up to two evictable connections if descriptors run short, so that clients that
// connect and send nothing cannot lock out others. It reports whether it ended any.
func (b *descriptorBudget) evictIfLow() (evicted bool) {
	for range 2 {
		if b.FreeDescriptors() < max(b.limit/evictFraction, 1) && b.evictOldest() {
			evicted = true
		}
	}
	return evicted
}

// evictOldest ends the connection that has been evictable for longest. It returns false if there is
// none.
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

// register takes ownership of a descriptor, counts it against budget, and makes epoll watch it.
func (l *Loop) register(fd int, events uint32, s eventSource, budget *descriptorBudget) error {
	if err := l.epollCtl(unix.EPOLL_CTL_ADD, fd, events); err != nil {
		return err
	}
	l.track(fd, s, budget)
	return nil
}

// track takes ownership of a descriptor and counts it against budget. Epoll does not watch it yet.
func (l *Loop) track(fd int, s eventSource, budget *descriptorBudget) {
	l.sources[fd] = s
	budget.open++
}

// unregister removes a descriptor from epoll and schedules it to be closed at the end of the round.
// Every descriptor except the loop's epoll and wake-up descriptors goes through it while the loop
// runs.
func (l *Loop) unregister(fd int, budget *descriptorBudget) {
	delete(l.sources, fd)
	l.epollCtl(unix.EPOLL_CTL_DEL, fd, 0)
	l.released = append(l.released, releasedFD{fd, budget})
}

// closeReleased closes the descriptors that were unregistered in this round.
func (l *Loop) closeReleased() {
	for _, r := range l.released {
		unix.Close(r.fd)
		r.budget.open--
	}
	l.released = l.released[:0]
}

package netloop

import (
	"container/heap"
	"time"
)

// Timer is a function call scheduled to run once.
type Timer struct {
	at    time.Duration // time of the call by the loop's clock
	order uint64        // order of creation; decides between equal times
	index int           // position in the heap; -1 once the timer has run or was stopped
	call  func()
	loop  *Loop
}

// After schedules call to run on the loop once d has passed. It never runs from within After.
func (l *Loop) After(d time.Duration, call func()) *Timer {
	t := &Timer{at: l.Now() + max(d, 0), order: l.timers.order, call: call, loop: l}
	l.timers.order++
	heap.Push(&l.timers, t)
	return t
}

// Stop cancels a timer. Stopping a nil Timer, or one that has already run, does nothing.
func (t *Timer) Stop() {
	if t != nil && t.index >= 0 {
		heap.Remove(&t.loop.timers, t.index)
	}
}

// pollTimeout returns how many milliseconds epoll may wait until the next timer is due, at most a
// minute; -1 if there is no timer.
func (l *Loop) pollTimeout() int {
	if len(l.timers.heap) == 0 {
		return -1
	}
	wait := l.timers.heap[0].at - l.Now()
	return int(max(0, min(wait+time.Millisecond-1, time.Minute)) / time.Millisecond)
}

// runTimers runs the timers that are due. A timer created during this waits for the next round, so
// that one that reschedules itself cannot starve the sockets.
func (l *Loop) runTimers() {
	now, order := l.Now(), l.timers.order
	for len(l.timers.heap) > 0 && l.timers.heap[0].at <= now && l.timers.heap[0].order < order {
		heap.Pop(&l.timers).(*Timer).call()
	}
}

// timerQueue is a heap of timers, ordered by time and then by creation. It implements heap.Interface.
type timerQueue struct {
	heap  []*Timer
	order uint64 // order of the next timer that is created
}

func (t *timerQueue) Len() int { return len(t.heap) }
func (t *timerQueue) Less(i, j int) bool {
	x, y := t.heap[i], t.heap[j]
	return x.at < y.at || x.at == y.at && x.order < y.order
}
func (t *timerQueue) Swap(i, j int) {
	t.heap[i], t.heap[j] = t.heap[j], t.heap[i]
	t.heap[i].index, t.heap[j].index = i, j
}
func (t *timerQueue) Push(x any) {
	t.heap = append(t.heap, x.(*Timer))
	x.(*Timer).index = len(t.heap) - 1
}
func (t *timerQueue) Pop() any {
	last := len(t.heap) - 1
	x := t.heap[last]
	t.heap[last] = nil
	t.heap = t.heap[:last]
	x.index = -1
	return x
}

package main

import (
	"sync"
	"time"
)

// backgroundStopTimeout limits how long the process waits for its goroutines when it ends. SIGKILL
// comes 0.1 s after the latest end of a shutdown, and the goroutines must not delay the end past it.
const backgroundStopTimeout = 20 * time.Millisecond

// background owns the goroutines of a relay other than its event loop. They wait for signals, the
// disk or password checks.
type background struct {
	quit chan struct{}
	wg   sync.WaitGroup
}

func newBackground() *background { return &background{quit: make(chan struct{})} }

// run starts f on a goroutine. f must return once quit is closed.
func (b *background) run(f func(quit <-chan struct{})) { b.wg.Go(func() { f(b.quit) }) }

// stop ends the goroutines, calls closers concurrently, and waits for all of them for at most
// backgroundStopTimeout. A file write that a slow disk delays beyond that may be lost, but files are
// replaced atomically, so none is left half written.
func (b *background) stop(closers ...func()) {
	close(b.quit)
	for _, c := range closers {
		b.wg.Go(c)
	}
	done := make(chan struct{})
	go func() { b.wg.Wait(); close(done) }()
	select {
	case <-done:
	case <-time.After(backgroundStopTimeout):
	}
}

// consume handles the values of a queue until quit is closed, and then those that are still queued.
func consume[T any](quit <-chan struct{}, queue <-chan T, handle func(T)) {
	for {
		select {
		case x := <-queue:
			handle(x)
		case <-quit:
			select {
			case x := <-queue:
				handle(x)
			default:
				return
			}
		}
	}
}

package main

import (
	"sync"
	"time"
)

// backgroundStopTimeout is how long the end of the process waits for its goroutines: none of them may delay it past SIGKILL, which
// comes 0.1 s after the latest end of a shutdown.
const backgroundStopTimeout = 20 * time.Millisecond

// background owns the goroutines of a relay beside its loop: those that wait for signals, the disk or a password check.
type background struct {
	quit chan struct{}
	wg   sync.WaitGroup
}

func newBackground() *background { return &background{quit: make(chan struct{})} }

// run starts a goroutine, which returns once quit is closed.
func (b *background) run(f func(quit <-chan struct{})) { b.wg.Go(func() { f(b.quit) }) }

// stop ends the goroutines and calls closers, and waits for all of them, but not longer than backgroundStopTimeout: what a slow disk
// still holds up is a file that is replaced atomically or not at all.
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

// consume handles what comes through a queue until quit is closed, and then what is queued already.
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

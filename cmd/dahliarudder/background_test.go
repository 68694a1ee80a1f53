package main

import (
	"testing"
	"time"
)

// TestBackgroundStop checks that stop handles what is queued, ends all goroutines, and does not
// wait for one that is blocked.
func TestBackgroundStop(t *testing.T) {
	b, queue, handled := newBackground(), make(chan int, 4), 0
	first := make(chan struct{})
	b.run(func(quit <-chan struct{}) {
		consume(quit, queue, func(n int) {
			if n == 0 {
				close(first)
				<-quit // leaves the rest queued until stop is called
			}
			handled++
		})
	})
	for n := range 4 {
		queue <- n
	}
	<-first
	closed := false
	b.stop(func() { closed = true })
	b.wg.Wait() // stop itself waits only for backgroundStopTimeout
	if handled != 4 || !closed {
		t.Errorf("after stop: %d of 4 queued values handled, closer called = %v, want 4 and true", handled, closed)
	}
	b, unblock := newBackground(), make(chan struct{})
	defer close(unblock)
	b.run(func(<-chan struct{}) { <-unblock })
	returned := make(chan struct{})
	go func() { b.stop(); close(returned) }()
	select {
	case <-returned:
	case <-time.After(time.Minute):
		t.Error("stop did not return within a minute while a goroutine was blocked")
	}
}

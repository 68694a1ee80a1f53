// Package await bounds the wait for a call that may block, such as one on a directory of a disk that does
// not answer.
package await

import (
	"fmt"
	"time"
)

// Result runs f on a goroutine and returns its result, or an error if f takes longer than timeout.
// A late result is dropped.
func Result[T any](timeout time.Duration, f func() (T, error)) (T, error) {
	type result struct {
		value T
		err   error
	}
	done := make(chan result, 1)
	go func() {
		value, err := f()
		done <- result{value, err}
	}()
	select {
	case r := <-done:
		return r.value, r.err
	case <-time.After(timeout):
		var none T
		return none, fmt.Errorf("no result within %v", timeout)
	}
}

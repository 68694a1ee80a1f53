package window

import (
	"math/bits"
	"sync"
)

// An idle feed keeps no more than a few places and a little text; what it needs beyond that it
// borrows while it is busy.
const (
	few   = 16
	small = 1 << 10
)

var (
	texts = reserve[byte]{least: small}
	rings = reserve[Message]{least: few}
)

// reserve keeps slices whose lengths are powers of two for the next who needs one.
type reserve[T any] struct {
	least int
	sizes [32]sync.Pool
}

// borrow gets an empty slice with room for n.
func (r *reserve[T]) borrow(n int) []T {
	class := bits.Len(uint(max(n, r.least) - 1))
	if class < len(r.sizes) {
		if s, ok := r.sizes[class].Get().(*[]T); ok {
			return (*s)[:0]
		}
	}
	return make([]T, 0, 1<<class)
}

// giveBack returns one that was borrowed.
func (r *reserve[T]) giveBack(s []T) {
	if n := cap(s); n > r.least && n&(n-1) == 0 {
		if class := bits.Len(uint(n - 1)); class < len(r.sizes) {
			r.sizes[class].Put(&s)
		}
	}
}

package window

import (
	"math/bits"
	"sync"
)

// An idle feed keeps no more than a few places and a little text; what it needs beyond that it
// borrows while it is busy.
const (
	minRing = 16
	minText = 1 << 10
)

var (
	textPool = slicePool[byte]{minSize: minText}
	ringPool = slicePool[Message]{minSize: minRing}
)

// slicePool keeps slices whose lengths are powers of two for the next who needs one.
type slicePool[T any] struct {
	minSize int
	pools   [32]sync.Pool
}

// get gets an empty slice with room for n.
func (r *slicePool[T]) get(n int) []T {
	class := bits.Len(uint(max(n, r.minSize) - 1))
	if class < len(r.pools) {
		if s, ok := r.pools[class].Get().(*[]T); ok {
			return (*s)[:0]
		}
	}
	return make([]T, 0, 1<<class)
}

// put returns one that was borrowed.
func (r *slicePool[T]) put(s []T) {
	if n := cap(s); n > r.minSize && n&(n-1) == 0 {
		if class := bits.Len(uint(n - 1)); class < len(r.pools) {
			r.pools[class].Put(&s)
		}
	}
}

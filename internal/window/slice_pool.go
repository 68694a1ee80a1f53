package window

import (
	"math/bits"
	"sync"
)

// An idle feed keeps only a ring and a text buffer of these sizes. While it is busy, it takes
// larger ones from the pools.
const (
	minRing = 16      // messages
	minText = 1 << 10 // bytes
)

var (
	textPool = slicePool[byte]{minSize: minText}
	ringPool = slicePool[Message]{minSize: minRing}
)

// slicePool reuses slices whose capacities are powers of two. Slices of minSize or less are not
// pooled.
type slicePool[T any] struct {
	minSize int           // in elements
	pools   [32]sync.Pool // pool i holds slices with a capacity of 1<<i
}

// get returns an empty slice with a capacity of at least n.
func (p *slicePool[T]) get(n int) []T {
	class := bits.Len(uint(max(n, p.minSize) - 1))
	if class < len(p.pools) {
		if s, ok := p.pools[class].Get().(*[]T); ok {
			return (*s)[:0]
		}
	}
	return make([]T, 0, 1<<class)
}

// put returns a slice to the pool. The caller must not use it any more.
func (p *slicePool[T]) put(s []T) {
	if n := cap(s); n > p.minSize && n&(n-1) == 0 {
		if class := bits.Len(uint(n - 1)); class < len(p.pools) {
			p.pools[class].Put(&s)
		}
	}
}

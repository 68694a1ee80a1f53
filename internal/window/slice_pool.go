package window

import (
	"math/bits"
	"sync"
)

// An idle feed keeps only a short ring and a little text; it borrows what it needs beyond that while it is busy.
const (
	minRing = 16
	minText = 1 << 10
)

var (
	textPool = slicePool[byte]{minSize: minText}
	ringPool = slicePool[Message]{minSize: minRing}
)

// slicePool reuses slices whose capacities are powers of two.
type slicePool[T any] struct {
	minSize int
	pools   [32]sync.Pool
}

// get returns an empty slice with a capacity of n at least.
func (p *slicePool[T]) get(n int) []T {
	class := bits.Len(uint(max(n, p.minSize) - 1))
	if class < len(p.pools) {
		if s, ok := p.pools[class].Get().(*[]T); ok {
			return (*s)[:0]
		}
	}
	return make([]T, 0, 1<<class)
}

// put returns a slice to the pool.
func (p *slicePool[T]) put(s []T) {
	if n := cap(s); n > p.minSize && n&(n-1) == 0 {
		if class := bits.Len(uint(n - 1)); class < len(p.pools) {
			p.pools[class].Put(&s)
		}
	}
}

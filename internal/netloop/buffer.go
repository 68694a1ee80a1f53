package netloop

// store is bytes that wait, in a buffer of the loop's.
type store struct {
	buf []byte
	off int // what stands before it is done with
}

func (s *store) size() int    { return len(s.buf) - s.off }
func (s *store) data() []byte { return s.buf[s.off:] }

// open is the buffer, with room for so many bytes more, to be appended to and given to close.
func (s *store) open(l *Loop, more int) []byte {
	if s.buf == nil {
		s.buf = l.borrow(more)
	}
	if s.off > len(s.buf)/2 || s.off > 0 && len(s.buf)+more > cap(s.buf) {
		s.buf = s.buf[:copy(s.buf, s.buf[s.off:])]
		s.off = 0
	}
	if len(s.buf)+more > cap(s.buf) {
		old := s.buf
		s.buf = append(l.borrow(max(len(old)+more, 2*len(old))), old...)
		l.giveBack(old)
	}
	return s.buf
}

func (s *store) add(l *Loop, b []byte) { s.buf = append(s.open(l, len(b)), b...) }

// drop is done with the first n bytes.
func (s *store) drop(l *Loop, n int) {
	if s.off += n; s.off >= len(s.buf) {
		s.free(l)
	}
}

// free gives the buffer back.
func (s *store) free(l *Loop) {
	l.giveBack(s.buf)
	s.buf, s.off = nil, 0
}

// Buffers that nothing is in are kept for the next writer: none larger than bufferMost, and
// freeMost bytes together. Without this every round of a busy connection has a buffer grow anew.
const (
	chunkSize  = 64 << 10 // the most that one read brings
	bufferMost = 2 * chunkSize
	freeMost   = 4 << 20
	smallest   = 512
)

func (l *Loop) borrow(least int) []byte {
	switch {
	case least <= smallest:
		return make([]byte, 0, smallest)
	case least > chunkSize:
		return make([]byte, 0, least)
	}
	if n := len(l.free); n > 0 {
		b := l.free[n-1]
		l.free = l.free[:n-1]
		l.freeBytes -= cap(b)
		return b[:0]
	}
	return make([]byte, 0, chunkSize)
}

func (l *Loop) giveBack(b []byte) {
	if cap(b) >= chunkSize && cap(b) <= bufferMost && l.freeBytes+cap(b) <= freeMost {
		l.free = append(l.free, b)
		l.freeBytes += cap(b)
	}
}

package netloop

// buffer is a queue of bytes, in a buffer from the loop's pool.
type buffer struct {
	buf   []byte
	start int // of the bytes that are not consumed
}

func (s *buffer) size() int    { return len(s.buf) - s.start }
func (s *buffer) data() []byte { return s.buf[s.start:] }

// reserve is the buffer with capacity for so many bytes more, to be appended to.
func (s *buffer) reserve(l *Loop, more int) []byte {
	if s.buf == nil {
		s.buf = l.getBuffer(more)
	}
	if s.start > len(s.buf)/2 || s.start > 0 && len(s.buf)+more > cap(s.buf) {
		s.buf = s.buf[:copy(s.buf, s.buf[s.start:])]
		s.start = 0
	}
	if len(s.buf)+more > cap(s.buf) {
		old := s.buf
		s.buf = append(l.getBuffer(max(len(old)+more, 2*len(old))), old...)
		l.putBuffer(old)
	}
	return s.buf
}

func (s *buffer) append(l *Loop, b []byte) { s.buf = append(s.reserve(l, len(b)), b...) }

// consume drops the first n bytes.
func (s *buffer) consume(l *Loop, n int) {
	if s.start += n; s.start >= len(s.buf) {
		s.free(l)
	}
}

// free drops all bytes and gives the buffer back to the pool.
func (s *buffer) free(l *Loop) {
	l.putBuffer(s.buf)
	s.buf, s.start = nil, 0
}

// Empty buffers are pooled: none larger than maxPooledBuffer, and maxPooledBytes bytes together. Without this every round of a
// busy connection has a buffer grow anew.
const (
	readSize        = 64 << 10 // the most that one read returns
	maxPooledBuffer = 2 * readSize
	maxPooledBytes  = 4 << 20
	minBuffer       = 512
)

func (l *Loop) getBuffer(capacity int) []byte {
	switch {
	case capacity <= minBuffer:
		return make([]byte, 0, minBuffer)
	case capacity > readSize:
		return make([]byte, 0, capacity)
	}
	if n := len(l.freeBuffers); n > 0 {
		b := l.freeBuffers[n-1]
		l.freeBuffers = l.freeBuffers[:n-1]
		l.freeBytes -= cap(b)
		return b[:0]
	}
	return make([]byte, 0, readSize)
}

func (l *Loop) putBuffer(b []byte) {
	if cap(b) >= readSize && cap(b) <= maxPooledBuffer && l.freeBytes+cap(b) <= maxPooledBytes {
		l.freeBuffers = append(l.freeBuffers, b)
		l.freeBytes += cap(b)
	}
}

// SetMemoryLimit bounds the bytes in all buffers together; 0 for no bound. While they have more, a connection that has more
// than its default share is ended when it needs yet more: each may have the memory for one large message, all at once may not.
func (l *Loop) SetMemoryLimit(limit int) { l.maxBuffered = limit }

// MemoryPressure reports whether the buffers have more than half of the limit. Callers that can do with less should then,
// well before connections are ended for it.
func (l *Loop) MemoryPressure() bool { return l.maxBuffered > 0 && l.bufferedBytes > l.maxBuffered/2 }

func (l *Loop) overMemoryLimit() bool { return l.maxBuffered > 0 && l.bufferedBytes > l.maxBuffered }

package netloop

import "math/bits"

// buffer is a byte queue. Its memory comes from the loop's buffer pool.
type buffer struct {
	buf   []byte
	start int // index in buf of the first byte that is not consumed
}

func (s *buffer) size() int    { return len(s.buf) - s.start }
func (s *buffer) data() []byte { return s.buf[s.start:] }

// reserve returns the buffered bytes as a slice with capacity for at least more further bytes. The
// caller appends to it and stores the result in buf.
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

// appendSmall is like append, but a first buffer is hardly larger than b. It is meant for bytes that may
// stay for long on many connections, such as the begin of a message.
func (s *buffer) appendSmall(l *Loop, b []byte) {
	if s.buf == nil && len(b) <= readSize/2 {
		s.buf = newSmallBuffer(len(b))
	}
	s.append(l, b)
}

// memory is how many bytes of memory the buffer holds.
func (s *buffer) memory() int { return cap(s.buf) }

// consume drops the first n bytes.
func (s *buffer) consume(l *Loop, n int) {
	if s.start += n; s.start >= len(s.buf) {
		s.free(l)
	}
}

// free drops all bytes and returns the memory to the pool.
func (s *buffer) free(l *Loop) {
	l.putBuffer(s.buf)
	s.buf, s.start = nil, 0
}

// Limits of the pool of empty buffers. Without the pool, a busy connection would allocate and grow a
// buffer in every round of the loop.
const (
	readSize        = 64 << 10     // most bytes that one read returns; smallest buffer in the pool
	maxPooledBuffer = 2 * readSize // capacity of the largest buffer in the pool, in bytes
	maxPooledBytes  = 4 << 20      // total capacity of the pool, in bytes
	minBuffer       = 512          // capacity of the smallest buffer, in bytes; not pooled
)

func (l *Loop) getBuffer(capacity int) []byte {
	switch {
	case capacity <= minBuffer:
		return make([]byte, 0, minBuffer)
	case capacity > readSize:
		return make([]byte, 0, capacity)
	case capacity <= readSize/2 && l.MemoryPressure(): // many connections hold buffers
		return newSmallBuffer(capacity)
	}
	if n := len(l.freeBuffers); n > 0 {
		b := l.freeBuffers[n-1]
		l.freeBuffers = l.freeBuffers[:n-1]
		l.freeBytes -= cap(b)
		return b[:0]
	}
	return make([]byte, 0, readSize)
}

// newSmallBuffer returns an empty buffer whose capacity is at most twice the given one, and minBuffer at
// least.
func newSmallBuffer(capacity int) []byte {
	return make([]byte, 0, max(minBuffer, 1<<bits.Len(uint(capacity-1))))
}

func (l *Loop) putBuffer(b []byte) {
	if cap(b) >= readSize && cap(b) <= maxPooledBuffer && l.freeBytes+cap(b) <= maxPooledBytes {
		l.freeBuffers = append(l.freeBuffers, b)
		l.freeBytes += cap(b)
	}
}

// SetMemoryLimit limits the bytes buffered by all connections together; 0 means no limit. While the
// limit is exceeded, a connection that needs more than its default share of buffer ends with
// ErrOverflow. Any one connection may therefore buffer a large message, but not all of them at once.
func (l *Loop) SetMemoryLimit(limit int) { l.maxBuffered = limit }

// MemoryPressure reports whether more than half of the memory limit is in use. Callers should then
// reduce their memory use, so that no connection has to be ended.
func (l *Loop) MemoryPressure() bool { return l.maxBuffered > 0 && l.bufferedBytes > l.maxBuffered/2 }

func (l *Loop) overMemoryLimit() bool { return l.maxBuffered > 0 && l.bufferedBytes > l.maxBuffered }

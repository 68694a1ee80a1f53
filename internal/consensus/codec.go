package consensus

import (
	"encoding/binary"
	"errors"
)

// errMalformed means that data ended early or could not be decoded. The text is sent in rejections.
var errMalformed = errors.New("short or malformed")

// reader decodes what the put functions encode. After the first error all further reads return zero
// values; finish returns the error.
type reader struct {
	rest []byte
	err  error
}

func (r *reader) fail() { r.err, r.rest = errMalformed, nil }

func (r *reader) uint() uint64 {
	v, n := binary.Uvarint(r.rest)
	if n <= 0 {
		r.fail()
		return 0
	}
	r.rest = r.rest[n:]
	return v
}

func (r *reader) bytes() []byte {
	n := r.uint()
	if n > uint64(len(r.rest)) {
		r.fail()
		return nil
	}
	b := r.rest[:n:n]
	r.rest = r.rest[n:]
	return b
}

// count reads the number of elements that follow. Each takes at least one byte, so a count larger than
// the remaining bytes is an error.
func (r *reader) count() int {
	n := r.uint()
	if n > uint64(len(r.rest)) {
		r.fail()
		return 0
	}
	return int(n)
}

// list reads a list of at most limit byte strings; a longer one is an error.
func (r *reader) list(limit int) (l [][]byte) {
	n := r.count()
	if n > limit {
		r.fail()
		return nil
	}
	for range n {
		l = append(l, r.bytes())
	}
	return l
}

func (r *reader) string() string { return string(r.bytes()) }

// finish returns the first error. Bytes that are left over are an error too.
func (r *reader) finish() error {
	if r.err == nil && len(r.rest) > 0 {
		return errMalformed
	}
	return r.err
}

func putUints(b []byte, vs ...uint64) []byte {
	for _, v := range vs {
		b = binary.AppendUvarint(b, v)
	}
	return b
}

func putBytes[T string | []byte](b []byte, v T) []byte {
	return append(binary.AppendUvarint(b, uint64(len(v))), v...)
}

func putList(b []byte, l [][]byte) []byte {
	b = putUints(b, uint64(len(l)))
	for _, v := range l {
		b = putBytes(b, v)
	}
	return b
}

func boolToUint(v bool) uint64 {
	if v {
		return 1
	}
	return 0
}

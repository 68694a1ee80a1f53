package consensus

import (
	"encoding/binary"
	"errors"
)

var errMalformed = errors.New("short or malformed")

// reader takes apart what writer made. The first error stays; what is read after it is empty.
type reader struct {
	rest []byte
	err  error
}

func (r *reader) uint() uint64 {
	v, n := binary.Uvarint(r.rest)
	if n <= 0 {
		r.err, r.rest = errMalformed, nil
		return 0
	}
	r.rest = r.rest[n:]
	return v
}

func (r *reader) bytes() []byte {
	n := r.uint()
	if n > uint64(len(r.rest)) {
		r.err, r.rest = errMalformed, nil
		return nil
	}
	b := r.rest[:n:n]
	r.rest = r.rest[n:]
	return b
}

// count is a number of things of which each takes at least a byte.
func (r *reader) count() int {
	n := r.uint()
	if n > uint64(len(r.rest)) {
		r.err, r.rest = errMalformed, nil
		return 0
	}
	return int(n)
}

// list is at most so many byte strings: more are an error.
func (r *reader) list(most int) (l [][]byte) {
	n := r.count()
	if n > most {
		r.err, r.rest = errMalformed, nil
		return nil
	}
	for range n {
		l = append(l, r.bytes())
	}
	return l
}

func (r *reader) string() string { return string(r.bytes()) }

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

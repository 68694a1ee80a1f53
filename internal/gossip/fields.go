package gossip

import "google.golang.org/protobuf/encoding/protowire"

// field binds the number of a protobuf field to the variable that it is encoded from and decoded into: text or value.
type field struct {
	number protowire.Number
	text   *string
	value  *uint64
}

// zeroFields says what appendFields does with a field whose variable is zero.
type zeroFields bool

const (
	omitZero zeroFields = true
	keepZero zeroFields = false
)

// appendFields encodes fields in their order.
func appendFields(b []byte, fields []field, zero zeroFields) []byte {
	for _, f := range fields {
		switch {
		case f.text != nil && (*f.text != "" || zero == keepZero):
			b = protowire.AppendString(protowire.AppendTag(b, f.number, protowire.BytesType), *f.text)
		case f.value != nil && (*f.value != 0 || zero == keepZero):
			b = protowire.AppendVarint(protowire.AppendTag(b, f.number, protowire.VarintType), *f.value)
		}
	}
	return b
}

func appendBytes(b []byte, n protowire.Number, content []byte) []byte {
	return protowire.AppendBytes(protowire.AppendTag(b, n, protowire.BytesType), content)
}

// setField sets the variable of a decoded field; false if the number is none of theirs.
func setField(fields []field, n protowire.Number, v uint64, s []byte) bool {
	for _, f := range fields {
		if f.number == n {
			if f.text != nil {
				*f.text = string(s)
			} else {
				*f.value = v
			}
			return true
		}
	}
	return false
}

// decodeFields calls take with each field. Those that take does not know, for which it returns false, are returned as they are.
func decodeFields(b []byte, handle func(n protowire.Number, v uint64, s []byte) bool) (unknown []byte, err error) {
	for len(b) > 0 {
		n, kind, tagSize := protowire.ConsumeTag(b)
		if tagSize < 0 {
			return nil, ErrMalformed
		}
		var v uint64
		var s []byte
		size := 0
		switch kind {
		case protowire.VarintType:
			v, size = protowire.ConsumeVarint(b[tagSize:])
		case protowire.BytesType:
			s, size = protowire.ConsumeBytes(b[tagSize:])
		default:
			size = protowire.ConsumeFieldValue(n, kind, b[tagSize:])
		}
		if size < 0 {
			return nil, ErrMalformed
		}
		if !handle(n, v, s) {
			unknown = append(unknown, b[:tagSize+size]...)
		}
		b = b[tagSize+size:]
	}
	return unknown, nil
}

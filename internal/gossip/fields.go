package gossip

import "google.golang.org/protobuf/encoding/protowire"

// field maps a protobuf field number to the variable that holds its value: either text or value.
type field struct {
	number protowire.Number
	text   *string
	value  *uint64
}

// zeroFields tells appendFields whether to encode a field whose value is zero.
type zeroFields bool

const (
	omitZero zeroFields = true
	keepZero zeroFields = false
)

// appendFields encodes the fields in the given order.
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

// setField stores a decoded value in the field with number n. It returns false if there is none.
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

// decodeFields calls handle for each field of b. It returns the encoded bytes of the fields for
// which handle returned false.
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

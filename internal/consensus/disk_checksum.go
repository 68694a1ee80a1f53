package consensus

import (
	"encoding/binary"
	"hash/crc32"
	"hash/fnv"
)

const checksumSize = 4

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// withChecksum makes a stored value: the checksum, then the content.
func withChecksum(content []byte) []byte {
	return append(binary.BigEndian.AppendUint32(nil, crc32.Checksum(content, castagnoli)), content...)
}

// verifyChecksum returns a copy of a stored value's content.
func verifyChecksum(value []byte) ([]byte, error) {
	if len(value) < checksumSize || binary.BigEndian.Uint32(value) != crc32.Checksum(value[checksumSize:], castagnoli) {
		return nil, errDamaged
	}
	return append([]byte(nil), value[checksumSize:]...), nil
}

// pairChecksum is a pair's part of the checksum over all pairs; the parts are combined by exclusive or. A value begins with its own checksum.
func pairChecksum(key, value []byte) uint64 {
	if len(value) < checksumSize {
		return 0
	}
	h := fnv.New64a()
	h.Write(key)
	h.Write(value[:checksumSize])
	return h.Sum64()
}

// encodeChecksum encodes the checksum over all pairs with the transaction's number, so that an older page in the place of a newer one is
// detected, with all that it refers to.
func encodeChecksum(checksum, txID uint64) []byte {
	return append(uint64Key(checksum), uint64Key(txID)...)
}

func uint64Key(v uint64) []byte { return binary.BigEndian.AppendUint64(nil, v) }

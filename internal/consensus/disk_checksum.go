package consensus

import (
	"encoding/binary"
	"hash/crc32"
	"hash/fnv"
)

var (
	castagnoli = crc32.MakeTable(crc32.Castagnoli)
)

func withChecksum(b []byte) []byte {
	return append(binary.BigEndian.AppendUint32(nil, crc32.Checksum(b, castagnoli)), b...)
}

func verifyChecksum(b []byte) ([]byte, error) {
	if len(b) < 4 || binary.BigEndian.Uint32(b) != crc32.Checksum(b[4:], castagnoli) {
		return nil, errDamaged
	}
	return append([]byte(nil), b[4:]...), nil
}

func uint64Key(i uint64) []byte { return binary.BigEndian.AppendUint64(nil, i) }

// pairChecksum is a pair's part of the sum over all; a value begins with its own checksum.
func pairChecksum(k, v []byte) uint64 {
	if len(v) < 4 {
		return 0
	}
	h := fnv.New64a()
	h.Write(k)
	h.Write(v[:4])
	return h.Sum64()
}

// encodeChecksum also holds the number of the transaction, so that an older page in the place of a newer one, with all that hangs on it, is found.
func encodeChecksum(sum, number uint64) []byte { return append(uint64Key(sum), uint64Key(number)...) }

package consensus

import (
	"encoding/binary"
	"hash/crc32"
	"hash/fnv"
)

const checksumSize = 4 // bytes

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// withChecksum returns a value as it is stored: a checksum followed by the content.
func withChecksum(content []byte) []byte {
	return append(binary.BigEndian.AppendUint32(nil, crc32.Checksum(content, castagnoli)), content...)
}

// verifyChecksum checks a stored value and returns a copy of its content.
func verifyChecksum(value []byte) ([]byte, error) {
	if len(value) < checksumSize || binary.BigEndian.Uint32(value) != crc32.Checksum(value[checksumSize:], castagnoli) {
		return nil, errDamaged
	}
	return append([]byte(nil), value[checksumSize:]...), nil
}

// pairChecksum returns a pair's share of the checksum over all pairs, which is the exclusive or of all
// shares. A stored value begins with its own checksum, so only that part is hashed.
func pairChecksum(key, value []byte) uint64 {
	if len(value) < checksumSize {
		return 0
	}
	h := fnv.New64a()
	h.Write(key)
	h.Write(value[:checksumSize])
	return h.Sum64()
}

// encodeChecksum encodes the checksum over all pairs together with the transaction's ID. The ID detects
// an older page that replaced a newer one, even if everything that the page refers to is consistent.
func encodeChecksum(checksum, txID uint64) []byte {
	return append(uint64Key(checksum), uint64Key(txID)...)
}

func uint64Key(v uint64) []byte { return binary.BigEndian.AppendUint64(nil, v) }

package wire

import (
	"encoding/binary"
	"fmt"
	"math"
	"time"

	"dahliarudder/internal/settings"
	"dahliarudder/policy"
)

// cursor reads the fields of a record. Reading past the end returns zeros and sets truncated.
type cursor struct {
	data      []byte
	truncated bool
}

var zeros [8]byte

func (c *cursor) take(n int) []byte {
	if n > len(c.data) {
		c.truncated, c.data = true, nil
		return zeros[:min(n, len(zeros))]
	}
	part := c.data[:n]
	c.data = c.data[n:]
	return part
}

func (c *cursor) skip(n int)   { c.take(n) }
func (c *cursor) u8() uint8    { return c.take(1)[0] }
func (c *cursor) u16() uint16  { return binary.LittleEndian.Uint16(c.take(2)) }
func (c *cursor) u32() uint32  { return binary.LittleEndian.Uint32(c.take(4)) }
func (c *cursor) u64() uint64  { return binary.LittleEndian.Uint64(c.take(8)) }
func (c *cursor) f32() float32 { return math.Float32frombits(c.u32()) }
func (c *cursor) f64() float64 { return math.Float64frombits(c.u64()) }

func (c *cursor) bytes(n uint32) []byte {
	if uint64(n) > uint64(len(c.data)) {
		c.truncated, c.data = true, nil
		return nil
	}
	return c.take(int(n))
}

// ms reads a time in milliseconds. A time that is out of range is read as 0.
func (c *cursor) ms() time.Duration {
	t, _ := settings.ParseMillis(c.f64())
	return t
}

func (c *cursor) result() (policy.Result, error) {
	code := c.u8()
	if int(code) >= len(results) {
		return 0, fmt.Errorf("%w: unknown result code %d", ErrMalformed, code)
	}
	return results[code], nil
}

// report reads a load report, whose values are in the order of names.
func (c *cursor) report(names []string) policy.Report {
	n := int(c.u8())
	values := make(map[string]float64, maxReport)
	for i := range n {
		if value := float64(c.f32()); i < len(names) && i < maxReport {
			values[names[i]] = value
		}
	}
	return settings.Report(values)
}

// Package wire implements the simulator's binary protocol: it reads batches of events,
// passes them to the balancers of the host in terms of package policy, and writes the
// replies. It decides nothing.
package wire

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"
	"time"

	"dahliarudder/internal/settings"
	"dahliarudder/policy"
)

// Codes of the events.
const (
	evLaunch uint8 = iota
	evMembers
	evRequest
	evEstablished
	evAttemptEnded
	evRequestEnded
	evTimer
	evProbeResult
	evPeer
	evStop
	evEndpointList
	evExisting
	evNote
	evInstance
)

// Codes of the actions.
const (
	acSend     uint8 = 0
	acReject   uint8 = 1
	acFail     uint8 = 2
	acCancel   uint8 = 3
	acTimer    uint8 = 4
	acProbe    uint8 = 5
	acWatch    uint8 = 10
	acMigrate  uint8 = 12
	acInstance uint8 = 13
)

// Sizes in bytes, and limits.
const (
	headerSize = 16
	entrySize  = 21 // an entry of an endpoint list
	maxLists   = 16 // endpoint lists, numbered from 0
	// maxBatch limits the size that a header may announce. Usual batches have a few megabytes.
	maxBatch = 1 << 30
	// maxReport is the largest number of values in a load report.
	maxReport = 4
)

// Kinds of notes.
const (
	noteLoad    = 1
	noteLatency = 2
)

// ErrMalformed is wrapped by every error about input that violates the protocol.
var ErrMalformed = errors.New("malformed frame")

// Host runs the instances that the events are for.
type Host interface {
	Launch(instance uint16, now time.Duration, seed uint64, set policy.Settings)
	Stop(instance uint16)
	// Instance returns the balancer of a running instance, or nil.
	Instance(instance uint16) *policy.Balancer
}

// Decoder reads batches from a stream.
type Decoder struct {
	r             io.Reader
	buf           []byte
	endpointLists [maxLists][]policy.Endpoint
	reportNames   map[uint16][]string // names of the values in load reports, by instance
	encoder       *Encoder
}

// NewDecoder returns a Decoder that reads from r and sets the current instance of out.
func NewDecoder(r io.Reader, out *Encoder) *Decoder {
	return &Decoder{r: r, reportNames: map[uint16][]string{}, encoder: out}
}

// Next reads one batch and passes its events to the host. It returns io.EOF at a clean
// end of the stream.
func (d *Decoder) Next(h Host) error {
	var header [headerSize]byte
	if _, err := io.ReadFull(d.r, header[:]); err != nil {
		if err == io.EOF {
			return err
		}
		return fmt.Errorf("%w: truncated batch header", ErrMalformed)
	}
	size := binary.LittleEndian.Uint32(header[:])
	count := binary.LittleEndian.Uint32(header[12:])
	clock := math.Float64frombits(binary.LittleEndian.Uint64(header[4:]))
	now, ok := settings.ParseMillis(clock)
	switch {
	case !ok:
		return fmt.Errorf("%w: clock of %v ms is out of range", ErrMalformed, clock)
	case size > maxBatch:
		return fmt.Errorf("%w: batch of %d bytes, the limit is %d", ErrMalformed, size, maxBatch)
	case count > size:
		return fmt.Errorf("%w: %d records in a batch of %d bytes", ErrMalformed, count, size)
	}
	if err := d.readBody(int(size)); err != nil {
		return err
	}
	c := &cursor{data: d.buf}
	instance := -1
	for i := uint32(0); i < count; i++ {
		code := c.u8()
		if code == evInstance {
			instance = int(c.u16())
			d.encoder.setInstance(uint16(instance))
		} else if err := d.decodeEvent(c, code, instance, now, h); err != nil {
			return err
		}
		if c.truncated {
			return fmt.Errorf("%w: record %d (code %d) is truncated", ErrMalformed, i, code)
		}
	}
	if len(c.data) > 0 {
		return fmt.Errorf("%w: %d unread bytes after the last record", ErrMalformed, len(c.data))
	}
	return nil
}

// readBody reads size bytes. The buffer grows only as bytes arrive, so that a wrong size in a
// header does not cause a huge allocation.
func (d *Decoder) readBody(size int) error {
	const step = 1 << 20
	d.buf = d.buf[:0]
	for len(d.buf) < size {
		n := min(step, size-len(d.buf))
		at := len(d.buf)
		if cap(d.buf) < at+n {
			d.buf = append(d.buf, make([]byte, n)...)
		}
		d.buf = d.buf[:at+n]
		if _, err := io.ReadFull(d.r, d.buf[at:]); err != nil {
			return fmt.Errorf("%w: truncated batch body, want %d bytes", ErrMalformed, size)
		}
	}
	return nil
}

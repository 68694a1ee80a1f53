// Package wire speaks the simulator's binary dialect: it reads batches of
// events, hands them to whoever hosts the instances in terms of package
// policy, and writes the reply. It decides nothing.
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
	evCall
	evFirst
	evResolved
	evAborted
	evTimer
	evProbed
	evPeer
	evStop
	evPool
	evExisting
	evNote
	evAbout
)

// Codes of the actions.
const (
	acForward  uint8 = 0
	acRefuse   uint8 = 1
	acFail     uint8 = 2
	acRecall   uint8 = 3
	acSleep    uint8 = 4
	acSample   uint8 = 5
	acWatch    uint8 = 10
	acMigrate  uint8 = 12
	acBy       uint8 = 13
	headerSize       = 16
	entrySize        = 21
	maxLists         = 16
	// maxBatch bounds what a header may ask for; real batches are a few megabytes.
	maxBatch = 1 << 30
	// maxReport is the largest number of values in a load report.
	maxReport = 4
)

// Kinds of notes.
const (
	noteLoad = 1
	noteSlow = 2
)

// ErrMalformed is wrapped by every error about a frame that breaks the dialect.
var ErrMalformed = errors.New("malformed frame")

// Host receives the decoded events. Each method that concerns an instance gets
// its number and the clock of the batch.
type Host interface {
	Launch(inst uint16, now time.Duration, seed uint64, set policy.Settings)
	Stop(inst uint16)
	// Instance returns the balancer of a running instance, or nil.
	Instance(inst uint16) *policy.Balancer
}

// Decoder reads batches from a stream.
type Decoder struct {
	r       io.Reader
	buf     []byte
	lists   [maxLists][]policy.Server
	reports map[uint16][]string // names of the report values, of each instance
	encoder *Encoder
}

// NewDecoder returns a Decoder that reads from r and tells out whose turn it is.
func NewDecoder(r io.Reader, out *Encoder) *Decoder {
	return &Decoder{r: r, reports: map[uint16][]string{}, encoder: out}
}

// Next reads one batch and plays its events to the host. It returns io.EOF at
// a clean end of the stream.
func (d *Decoder) Next(h Host) error {
	var header [headerSize]byte
	if _, err := io.ReadFull(d.r, header[:]); err != nil {
		if err == io.EOF {
			return err
		}
		return fmt.Errorf("%w: header cut short", ErrMalformed)
	}
	size := binary.LittleEndian.Uint32(header[:])
	count := binary.LittleEndian.Uint32(header[12:])
	clock := math.Float64frombits(binary.LittleEndian.Uint64(header[4:]))
	now, ok := settings.ParseMillis(clock)
	switch {
	case !ok:
		return fmt.Errorf("%w: clock %v", ErrMalformed, clock)
	case size > maxBatch:
		return fmt.Errorf("%w: size %d", ErrMalformed, size)
	case count > size:
		return fmt.Errorf("%w: %d records in %d bytes", ErrMalformed, count, size)
	}
	if err := d.readBody(int(size)); err != nil {
		return err
	}
	c := &cursor{b: d.buf}
	inst := -1
	for i := uint32(0); i < count; i++ {
		code := c.u8()
		if code == evAbout {
			inst = int(c.u16())
			d.encoder.setInstance(uint16(inst))
		} else if err := d.decodeEvent(c, code, inst, now, h); err != nil {
			return err
		}
		if c.short {
			return fmt.Errorf("%w: record %d (code %d) cut short", ErrMalformed, i, code)
		}
	}
	if len(c.b) > 0 {
		return fmt.Errorf("%w: %d bytes after the last record", ErrMalformed, len(c.b))
	}
	return nil
}

// readBody reads size bytes, growing the buffer only as they really arrive.
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
			return fmt.Errorf("%w: body cut short", ErrMalformed)
		}
	}
	return nil
}

// decodeEvent decodes one record and plays it.
func (d *Decoder) decodeEvent(c *cursor, code uint8, inst int, now time.Duration, h Host) error {
	if code == evPool {
		return d.decodeList(c)
	}
	if inst < 0 {
		return fmt.Errorf("%w: code %d before any instance was named", ErrMalformed, code)
	}
	id := uint16(inst)
	if code == evLaunch {
		seed := c.u64()
		text := c.bytes(c.u32())
		if c.short {
			return nil
		}
		set, err := settings.Decode(text)
		if err != nil {
			return fmt.Errorf("%w: %v", ErrMalformed, err)
		}
		d.reports[id] = set.Report.Names
		h.Launch(id, now, seed, set.Policy())
		return nil
	}
	b := h.Instance(id)
	if b == nil {
		return fmt.Errorf("%w: code %d for instance %d, which does not run", ErrMalformed, code, id)
	}
	switch code {
	case evMembers:
		list, how := c.u16(), c.u8()
		c.u32()
		kind, known := listKinds[how]
		if !known || kind != policy.ListFailed && list >= maxLists {
			return fmt.Errorf("%w: list %d of kind %d", ErrMalformed, list, how)
		}
		if c.short {
			return nil
		}
		var servers []policy.Server
		if kind != policy.ListFailed {
			servers = d.lists[list]
		}
		b.UpdateServers(now, kind, servers)
	case evCall:
		q := requestRecord{ID: policy.RequestID(c.u64()), Group: c.u64()}
		q.Deadline = c.ms()
		load := c.f64()
		q.Tenant, q.Class = int(c.u32()), int(c.u8())
		q.setFlags(c.u16(), load)
		q.Key = c.u64()
		if !c.short {
			b.Request(now, policy.Request(q))
		}
	case evExisting:
		q := requestRecord{ID: policy.RequestID(c.u64())}
		q.Class, q.Tenant, q.Key = int(c.u8()), int(c.u32()), c.u64()
		q.Deadline = c.ms()
		load := c.f64()
		q.Group = c.u64()
		q.setFlags(c.u16(), load)
		if server := policy.ServerID(c.u32()); !c.short {
			b.AddExisting(now, policy.Request(q), server)
		}
	case evFirst:
		r := policy.RequestID(c.u64())
		c.skip(1 + 8 + 4)
		if !c.short {
			b.Established(now, r)
		}
	case evResolved:
		return d.decodeOutcome(c, b, id, now)
	case evAborted:
		if r := policy.RequestID(c.u64()); !c.short {
			b.RequestEnded(now, r)
		}
	case evTimer:
		if token := c.u64(); !c.short {
			b.Timer(now, token)
		}
	case evProbed:
		server := policy.ServerID(c.u32())
		result, err := c.result()
		c.skip(8)
		report := c.report(d.reports[id])
		if err != nil {
			return err
		}
		if !c.short {
			b.ProbeResult(now, server, result, report)
		}
	case evNote:
		r := policy.RequestID(c.u64())
		c.skip(1 + 4)
		what, value := c.u8(), float64(c.f32())
		if c.short {
			return nil
		}
		switch what {
		case noteLoad:
			b.UpdateLoad(now, r, value/1e6)
		case noteSlow:
			if slow, ok := settings.ParseMillis(value); ok {
				b.ObserveLatency(now, r, slow)
			}
		}
	case evPeer:
		c.skip(4)
		c.bytes(uint32(c.u16()))
	case evStop:
		h.Stop(id)
	default:
		return fmt.Errorf("%w: unknown code %d", ErrMalformed, code)
	}
	return nil
}

func (d *Decoder) decodeOutcome(c *cursor, b *policy.Balancer, id uint16, now time.Duration) error {
	o := policy.Outcome{ID: policy.RequestID(c.u64())}
	c.skip(8)
	result, err := c.result()
	o.Result = result
	o.Final = c.u8() != 0
	o.Attempt = int(c.u8())
	o.Server = policy.ServerID(c.u32())
	o.Report = c.report(d.reports[id])
	if err == nil && !c.short {
		b.AttemptEnded(now, o)
	}
	return err
}

// decodeList reads a numbered list; instances refer to it by its number.
func (d *Decoder) decodeList(c *cursor) error {
	number, n := c.u16(), c.u32()
	if c.short {
		return nil
	}
	if number >= maxLists {
		return fmt.Errorf("%w: list number %d", ErrMalformed, number)
	}
	if uint64(n)*entrySize > uint64(len(c.b)) {
		return fmt.Errorf("%w: %d list entries in %d bytes", ErrMalformed, n, len(c.b))
	}
	list := make([]policy.Server, n)
	for i := range list {
		e := &list[i]
		e.ID, e.Zone, e.Kind, e.Cell = policy.ServerID(c.u32()), int(c.u8()), int(c.u8()), int(c.u16())
		state, known := states[c.u8()]
		if !known {
			return fmt.Errorf("%w: unknown server state", ErrMalformed)
		}
		e.State = state
		e.Weight = float64(c.f32())
		e.Started = c.ms()
	}
	d.lists[number] = list
	return nil
}

var listKinds = map[uint8]policy.ListKind{
	0: policy.ListFailed, 1: policy.ListDelta, 3: policy.ListFull, 4: policy.ListCached,
}

var states = map[uint8]policy.ServerState{0: policy.Gone, 1: policy.Ready, 2: policy.Draining}

var results = [...]policy.Result{
	0: policy.Error, 1: policy.OK, 2: policy.Full, 3: policy.Timeout,
	4: policy.ConnectFailed, 5: policy.Reset, 6: policy.Cancelled, 7: policy.NotSent,
}

// Flags of a request.
const (
	flagHint    = 1
	flagMidFlow = 8
	flagAgain   = 16
)

// requestRecord is a policy.Request being read.
type requestRecord policy.Request

// setFlags takes the flags, and the hint, which only counts if they say so.
func (q *requestRecord) setFlags(flags uint16, hint float64) {
	q.MidFlow, q.Reconnect = flags&flagMidFlow != 0, flags&flagAgain != 0
	if flags&flagHint != 0 {
		q.Load = hint / 1e3
	}
}

package wire

import (
	"encoding/binary"
	"io"
	"math"
	"time"

	"dahliarudder/policy"
)

// Encoder gathers the actions of one batch and writes them as a reply.
type Encoder struct {
	w            io.Writer
	buf          []byte
	lastInstance int // instance named last in this reply, -1 if none
	instance     uint16
}

// NewEncoder returns an Encoder that writes to w.
func NewEncoder(w io.Writer) *Encoder {
	e := &Encoder{w: w}
	e.reset()
	return e
}

func (e *Encoder) reset() {
	e.buf = append(e.buf[:0], 0, 0, 0, 0)
	e.lastInstance = -1
}

// by notes whose events are being played; its actions follow.
func (e *Encoder) setInstance(inst uint16) { e.instance = inst }

// Flush writes the reply to one batch.
func (e *Encoder) Flush() error {
	binary.LittleEndian.PutUint32(e.buf, uint32(len(e.buf)-4))
	_, err := e.w.Write(e.buf)
	e.reset()
	return err
}

// beginAction begins an action record of the instance whose turn it is.
func (e *Encoder) beginAction(code uint8) {
	if e.lastInstance != int(e.instance) {
		e.buf = append(e.buf, acBy)
		e.buf = binary.LittleEndian.AppendUint16(e.buf, e.instance)
		e.lastInstance = int(e.instance)
	}
	e.buf = append(e.buf, code)
}

func (e *Encoder) u64(v uint64) { e.buf = binary.LittleEndian.AppendUint64(e.buf, v) }
func (e *Encoder) u32(v uint32) { e.buf = binary.LittleEndian.AppendUint32(e.buf, v) }
func (e *Encoder) ms(d time.Duration) {
	e.u64(math.Float64bits(float64(d) / float64(time.Millisecond)))
}

// Send implements policy.Actions, as do the methods below.
func (e *Encoder) Send(id policy.RequestID, server policy.ServerID, timeout time.Duration) {
	e.beginAction(acForward)
	e.u64(uint64(id))
	e.ms(timeout)
	e.u32(uint32(server))
}

// Reject writes a refusal.
func (e *Encoder) Reject(id policy.RequestID, retryAfter time.Duration) {
	e.beginAction(acRefuse)
	e.u64(uint64(id))
	e.ms(retryAfter)
}

// Fail writes a failure.
func (e *Encoder) Fail(id policy.RequestID) {
	e.beginAction(acFail)
	e.u64(uint64(id))
}

// Cancel writes the withdrawal of an attempt.
func (e *Encoder) Cancel(id policy.RequestID, try int) {
	e.beginAction(acRecall)
	e.u64(uint64(id))
	e.buf = append(e.buf, uint8(try))
}

// Migrate writes the polite end of a connection.
func (e *Encoder) Migrate(id policy.RequestID) {
	e.beginAction(acMigrate)
	e.u64(uint64(id))
}

// Probe writes a probe.
func (e *Encoder) Probe(server policy.ServerID) {
	e.beginAction(acSample)
	e.u32(uint32(server))
}

// Timer writes the wish for a timer.
func (e *Encoder) Timer(delay time.Duration, token uint64) {
	e.beginAction(acSleep)
	e.ms(delay)
	e.u64(token)
}

// Watch writes the wish to be kept informed of the server list.
func (e *Encoder) Watch() {
	e.beginAction(acWatch)
	e.buf = append(e.buf, 1)
}

package wire

import (
	"encoding/binary"
	"io"
	"math"
	"time"

	"dahliarudder/policy"
)

// Encoder collects the actions of one batch and writes them as a reply. It is the policy.Executor
// of all instances.
type Encoder struct {
	w            io.Writer
	buf          []byte
	lastInstance int // instance of the last action in this reply, -1 if there is none
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

// setInstance sets the instance to which the following actions belong.
func (e *Encoder) setInstance(instance uint16) { e.instance = instance }

// Flush writes the reply to one batch.
func (e *Encoder) Flush() error {
	binary.LittleEndian.PutUint32(e.buf, uint32(len(e.buf)-4))
	_, err := e.w.Write(e.buf)
	e.reset()
	return err
}

// beginAction starts an action record. If the last action in this reply belongs to another
// instance, it first writes a record that names the current one.
func (e *Encoder) beginAction(code uint8) {
	if e.lastInstance != int(e.instance) {
		e.buf = append(e.buf, acInstance)
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

// Send writes an attempt. This method and those below implement policy.Executor.
func (e *Encoder) Send(id policy.RequestID, member policy.MemberID, timeout time.Duration) {
	e.beginAction(acSend)
	e.u64(uint64(id))
	e.ms(timeout)
	e.u32(uint32(member))
}

// Reject writes a rejection.
func (e *Encoder) Reject(id policy.RequestID, retryAfter time.Duration) {
	e.beginAction(acReject)
	e.u64(uint64(id))
	e.ms(retryAfter)
}

// Fail writes a failure.
func (e *Encoder) Fail(id policy.RequestID) {
	e.beginAction(acFail)
	e.u64(uint64(id))
}

// Cancel writes the cancellation of an attempt.
func (e *Encoder) Cancel(id policy.RequestID, attempt int) {
	e.beginAction(acCancel)
	e.u64(uint64(id))
	e.buf = append(e.buf, uint8(attempt))
}

// Migrate writes the migration of a connection.
func (e *Encoder) Migrate(id policy.RequestID) {
	e.beginAction(acMigrate)
	e.u64(uint64(id))
}

// Probe writes a probe.
func (e *Encoder) Probe(member policy.MemberID) {
	e.beginAction(acProbe)
	e.u32(uint32(member))
}

// Timer writes a timer.
func (e *Encoder) Timer(delay time.Duration, token uint64) {
	e.beginAction(acTimer)
	e.ms(delay)
	e.u64(token)
}

// Watch writes a subscription to the endpoint list.
func (e *Encoder) Watch() {
	e.beginAction(acWatch)
	e.buf = append(e.buf, 1)
}

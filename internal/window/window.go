// Package window holds the send window of one feed: the messages that a client has
// published and that have no final answer yet, in their order. It decides what may be sent
// next, what an acknowledgement settles, what is sent again after a lost link and what
// expires. It does no I/O, and time is passed in. See docs/design/nats.md, "The window".
package window

import "time"

// InitialWindow is how many messages of a feed may be in flight at first, and again after a lost link.
const InitialWindow = 16

// The parts of the latency objective under which an acknowledgement lets the window grow, and
// over which it is halved; and the part of a message's time that one attempt may take.
const (
	growBelow, shrinkAbove = 0.25, 0.5
	attemptShare           = 0.6
)

// Limits is what a window may hold and how it repeats.
type Limits struct {
	MaxMessages      int           // waiting and in flight together
	MaxBytes         int           // of their text
	MaxAttempts      int           // of one message
	LatencyObjective time.Duration // for an acknowledgement
	Repeatable       bool          // what may have been accepted may be sent again
	RepeatWindow     time.Duration // for how long after the first such attempt; 0: no limit
}

// Message is a message in a Window.
type Message struct {
	ID                 uint64
	Name               string        // for the record; may be empty
	Subject            uint64        // messages of one subject keep their order
	Sequence           uint64        // set by the front; grows from message to message
	Deadline           time.Duration // when it expires
	Sent               time.Duration // when its latest attempt began
	Offset             uint64        // bytes written to the link up to its end; set by the transport
	ReplyExpected      bool          // a client waits for a no-responders reply
	Attempts           int
	mayHaveRun         bool // an attempt may have been accepted
	state              state
	textStart, textEnd int // of its text, as Window.base counts
}

// state is the state of a message.
type state uint8

const (
	waiting state = iota
	inFlight
	rejected // by the member, which has not accepted it
	answered // it has its final answer
)

// Result is how an attempt without an acknowledgement ended.
type Result uint8

// The results.
const (
	NotWritten Result = iota // its bytes were never written
	AckLost                  // it may have been accepted
	Rejected                 // by the member
)

// Window holds the messages of one feed.
type Window struct {
	Limits
	ring         []Message // its length is a power of two; message n is at n modulo that
	head         uint64    // the oldest without a final answer
	acked        uint64    // the oldest in flight
	sent         uint64    // the next to send
	next         uint64    // the next to arrive
	text         []byte    // of the messages from head on, with gaps
	base         int       // how much text was dropped before it
	bytes        int       // of messages without a final answer
	maxInFlight  int
	lastDecrease time.Duration
	awaitingAcks bool // a message was rejected: nothing is sent until all others in flight are acknowledged
}

// New makes an empty window.
func New(l Limits) *Window {
	l.MaxMessages, l.MaxBytes, l.MaxAttempts = max(l.MaxMessages, 1), max(l.MaxBytes, 1), max(l.MaxAttempts, 1)
	return &Window{Limits: l, maxInFlight: min(InitialWindow, l.MaxMessages)}
}

// HasCapacity reports whether another message may be put.
func (w *Window) HasCapacity() bool { return w.Len() < w.MaxMessages && w.bytes < w.MaxBytes }

// Len is how many messages it holds.
func (w *Window) Len() int { return int(w.next - w.head) }

// Bytes is how many bytes of messages it holds.
func (w *Window) Bytes() int { return w.bytes }

// InFlight is how many messages are sent and not acknowledged.
func (w *Window) InFlight() int { return int(w.sent - w.acked) }

// Idle says that it holds nothing.
func (w *Window) Idle() bool { return w.head == w.next }

// OldestSequence is the sequence of the oldest message without a final answer.
func (w *Window) OldestSequence() (sequence uint64, ok bool) {
	if w.Idle() {
		return 0, false
	}
	return w.at(w.head).Sequence, true
}

func (w *Window) at(n uint64) *Message { return &w.ring[n&uint64(len(w.ring)-1)] }

// Text is what is sent for a message; it is valid until the window changes.
func (w *Window) Text(m *Message) []byte { return w.text[m.textStart-w.base : m.textEnd-w.base] }

// Put adds a message, whose text was appended to Buffer.
func (w *Window) Put(m Message, buffer []byte) {
	if n := int(w.next - w.head); n == len(w.ring) {
		w.grow(2 * n)
	}
	m.textStart, m.textEnd = w.base+len(w.text), w.base+len(buffer)
	m.Attempts, m.Sent, m.Offset, m.mayHaveRun, m.state = 0, 0, 0, false, waiting
	w.text = buffer
	w.bytes += m.textEnd - m.textStart
	*w.at(w.next) = m
	w.next++
}

// Next is the message that may be sent now, nil if none may.
func (w *Window) Next() *Message {
	if w.awaitingAcks || w.sent == w.next || w.InFlight() >= w.maxInFlight {
		return nil
	}
	return w.at(w.sent)
}

// Waiting says that a message has no final answer and no attempt in flight.
func (m *Message) Waiting() bool { return m.state == waiting }

// Begin says that an attempt of Next has begun.
func (w *Window) Begin(now time.Duration) {
	m := w.at(w.sent)
	m.state, m.Sent = inFlight, now
	m.Attempts++
	w.sent++
}

// AckDeadline is when the oldest message in flight will have been without an acknowledgement for too long.
func (w *Window) AckDeadline() (at time.Duration, ok bool) {
	if w.acked == w.sent {
		return 0, false
	}
	m := w.at(w.acked)
	at = m.Deadline
	if m.Attempts < w.MaxAttempts { // leave time for another attempt
		part := max(w.LatencyObjective, time.Duration(attemptShare*float64(m.Deadline-m.Sent)))
		at = min(at, m.Sent+part)
	}
	return min(at, w.at(w.head).Deadline), true // an older one may have been rejected
}

// Deadline is when the oldest message expires.
func (w *Window) Deadline() (at time.Duration, ok bool) {
	if w.Idle() {
		return 0, false
	}
	return w.at(w.head).Deadline, true
}

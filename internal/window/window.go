// Package window holds the send window of one feed: the messages that a client has published and
// that have no final answer yet, in their order. It decides which message may be sent next, which
// messages an acknowledgement settles, which are retried after the link is lost, and which
// expire. It does no I/O, and callers pass in the time. See docs/design/nats.md, "The window".
package window

import "time"

// InitialWindow is how many messages of a feed may be in flight when its link is new, and how many of
// all feeds may be in flight at a member when its slow start begins.
const InitialWindow = 16

// An acknowledgement that takes less than growBelow of the latency objective lets the window
// grow; one that takes more than shrinkAbove of it halves the window. An attempt may take
// attemptShare of the time that the message has left, so that there is time for another one.
const (
	growBelow, shrinkAbove = 0.25, 0.5
	attemptShare           = 0.6
)

// Limits are the limits on what a window holds and on how it retries messages.
type Limits struct {
	MaxMessages      int           // waiting and in flight together
	MaxBytes         int           // of text, of all messages together
	MaxAttempts      int           // of one message
	LatencyObjective time.Duration // for an acknowledgement
	Repeatable       bool          // a message that the member may have processed may be sent again
	DedupWindow      time.Duration // how long after the first such attempt that is allowed; 0: no limit
}

// Message is a message in a Window.
type Message struct {
	ID                 uint64
	Name               string        // the name under which it is recorded; may be empty
	Subject            uint64        // messages of one subject keep their order
	Sequence           uint64        // set by the front; grows from message to message
	Deadline           time.Duration // when it expires
	Sent               time.Duration // when its latest attempt began
	Offset             uint64        // bytes of the link up to the end of this message; set by the transport
	ReplyExpected      bool          // the publisher gave a reply subject and wants no-responders replies
	Attempts           int           // begun so far
	mayHaveRun         bool          // the member may have processed an attempt
	state              state
	textStart, textEnd int // position of its text, counted from the first byte ever put into the window
}

// state is the state of a message.
type state uint8

const (
	waiting state = iota
	inFlight
	rejected // by the member; its link has not been closed yet
	answered // it has its final answer
)

// Result is how an attempt that was not acknowledged ended.
type Result uint8

// The results.
const (
	NotWritten Result = iota // it was not fully written to the link, so the member cannot have processed it
	AckLost                  // it was written, so the member may have processed it
	Rejected                 // the member rejected it; that counts as possibly processed
)

// Window holds the messages of one feed. Messages are numbered in the order in which they were
// put; head, acked, sent and next are such numbers, and head <= acked <= sent <= next.
type Window struct {
	Limits
	ring         []Message // message n is at index n modulo the length, which is a power of two
	head         uint64    // the oldest without a final answer
	acked        uint64    // the oldest in flight
	sent         uint64    // the next to send
	next         uint64    // the next to be put
	text         []byte    // of the messages from head on; text of answered messages may remain in between
	base         int       // how many bytes of text were dropped before the start of text
	bytes        int       // of the text of the messages in the ring
	maxInFlight  int
	lastDecrease time.Duration
	awaitingAcks bool // a message was rejected: nothing is sent until the others in flight are acknowledged
}

// New returns an empty window. Limits below one message, byte or attempt count as one.
func New(l Limits) *Window {
	l.MaxMessages, l.MaxBytes, l.MaxAttempts = max(l.MaxMessages, 1), max(l.MaxBytes, 1), max(l.MaxAttempts, 1)
	return &Window{Limits: l, maxInFlight: min(InitialWindow, l.MaxMessages)}
}

// HasCapacity reports whether Put may be called.
func (w *Window) HasCapacity() bool { return w.Len() < w.MaxMessages && w.bytes < w.MaxBytes }

// Len returns how many messages the window holds, waiting and in flight.
func (w *Window) Len() int { return int(w.next - w.head) }

// Bytes returns how many bytes of text the messages in the window have.
func (w *Window) Bytes() int { return w.bytes }

// InFlight returns how many messages have been sent and are not acknowledged.
func (w *Window) InFlight() int { return int(w.sent - w.acked) }

// Idle reports whether the window holds no message.
func (w *Window) Idle() bool { return w.head == w.next }

// OldestSequence returns the sequence number of the oldest message without a final answer; ok is
// false if there is none.
func (w *Window) OldestSequence() (sequence uint64, ok bool) {
	if w.Idle() {
		return 0, false
	}
	return w.at(w.head).Sequence, true
}

func (w *Window) at(n uint64) *Message { return &w.ring[n&uint64(len(w.ring)-1)] }

// Text returns the text of a message. It is valid until the window changes.
func (w *Window) Text(m *Message) []byte { return w.text[m.textStart-w.base : m.textEnd-w.base] }

// Put adds a message. buffer is the result of Buffer with the text of the message appended.
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

// Next returns the message that may be sent now, or nil if none may.
func (w *Window) Next() *Message {
	if w.awaitingAcks || w.sent == w.next || w.InFlight() >= w.maxInFlight {
		return nil
	}
	return w.at(w.sent)
}

// Waiting reports whether the message has neither a final answer nor an attempt in flight.
func (m *Message) Waiting() bool { return m.state == waiting }

// Begin records that an attempt of the message that Next returns begins at now.
func (w *Window) Begin(now time.Duration) {
	m := w.at(w.sent)
	m.state, m.Sent = inFlight, now
	m.Attempts++
	w.sent++
}

// AckDeadline returns when the link counts as failed if the oldest message in flight is still not
// acknowledged; ok is false if nothing is in flight.
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
	return min(at, w.at(w.head).Deadline), true // a rejected message before it may expire earlier
}

// Deadline returns when the oldest message expires; ok is false if the window is empty.
func (w *Window) Deadline() (at time.Duration, ok bool) {
	if w.Idle() {
		return 0, false
	}
	return w.at(w.head).Deadline, true
}

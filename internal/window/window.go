// Package window is the memory of one feed: the messages that a client has published and
// that have no final answer yet, in their order. It decides what may be sent next, what an
// acknowledgement settles, what a lost link brings back and what is given up. It does no
// I/O and is told the time. See docs/design/nats.md, "The window".
package window

import "time"

// InitialWindow is how many messages of a feed are out at first, and again after a lost link.
const InitialWindow = 16

// The parts of the aim within which an acknowledgement lets the window grow, and beyond which
// it is halved; and the part of a message's time that one attempt may take.
const (
	quick, late = 0.25, 0.5
	patience    = 0.6
)

// Limits is what a window may hold and how it repeats.
type Limits struct {
	MaxMessages      int           // waiting and out together
	MaxBytes         int           // bytes
	MaxAttempts      int           // of one message
	LatencyObjective time.Duration // within which an acknowledgement is wanted
	Repeatable       bool          // what may have been taken may be sent again
	RepeatWindow     time.Duration // for how long after the first such attempt; 0: without end
}

// Message is one of them.
type Message struct {
	ID            uint64
	Name          string        // for the record; may be empty
	Subject       uint64        // messages of one subject keep their order
	Sequence      uint64        // the front's own number, which grows from message to message
	Deadline      time.Duration // when its time is over
	Sent          time.Duration // when its latest attempt began
	Offset        uint64        // how many bytes the link had been given after it; the carrier's
	ReplyExpected bool          // somebody waits to hear that nobody listens
	Attempts      int
	ran           bool // an attempt may have been taken
	state         state
	at, end       int // where its text stands
}

type state uint8

const (
	waiting state = iota
	out
	refused  // by the member, which has not taken it
	answered // it has its final answer
)

// Result is how an attempt ended that has brought no answer.
type Result uint8

// The results.
const (
	NotWritten Result = iota // its bytes never left
	AckLost                  // it may have been taken
	Rejected                 // the member refused it
)

// Window is the messages of one feed.
type Window struct {
	Limits
	ring  []Message // a power of two; message n stands at n modulo that
	head  uint64    // the oldest without a final answer
	acked uint64    // the oldest that is out and not acknowledged
	sent  uint64    // the next to be sent
	next  uint64    // the next to come
	text  []byte    // of the messages from head on, with gaps
	base  int       // how much text has gone before
	bytes int       // that count against the limit
	most  int       // how many may be out
	cut   time.Duration
	held  bool // a message was refused: nothing is sent until all that is out is settled
}

// New makes an empty window.
func New(l Limits) *Window {
	l.MaxMessages, l.MaxBytes, l.MaxAttempts = max(l.MaxMessages, 1), max(l.MaxBytes, 1), max(l.MaxAttempts, 1)
	return &Window{Limits: l, most: min(InitialWindow, l.MaxMessages)}
}

// HasCapacity says whether another message is taken in.
func (w *Window) HasCapacity() bool { return w.Len() < w.MaxMessages && w.bytes < w.MaxBytes }

// Len is how many messages it holds, and InFlight how many of them are in flight.
func (w *Window) Len() int { return int(w.next - w.head) }

// Bytes is how many bytes of messages it holds.
func (w *Window) Bytes() int { return w.bytes }

// InFlight is how many messages are out and not acknowledged.
func (w *Window) InFlight() int { return int(w.sent - w.acked) }

// Idle says that it holds nothing.
func (w *Window) Idle() bool { return w.head == w.next }

// OldestSequence is the mark of the oldest message without a final answer.
func (w *Window) OldestSequence() (mark uint64, ok bool) {
	if w.Idle() {
		return 0, false
	}
	return w.at(w.head).Sequence, true
}

func (w *Window) at(n uint64) *Message { return &w.ring[n&uint64(len(w.ring)-1)] }

// Text is what is sent for a message; it is valid until the window changes.
func (w *Window) Text(m *Message) []byte { return w.text[m.at-w.base : m.end-w.base] }

// Buffer is where the text of the next message, of so many bytes at least, is appended, for Put.
func (w *Window) Buffer(more int) []byte {
	if len(w.text)+more > cap(w.text) {
		live, old := w.text, w.text
		if !w.Idle() {
			live = w.text[w.at(w.head).at-w.base:]
		}
		w.base += len(w.text) - len(live)
		w.text = append(texts.borrow(max(len(live)+more, 2*len(live))), live...)
		texts.giveBack(old)
	}
	return w.text
}

// Put takes a message in, whose text was appended to Buffer.
func (w *Window) Put(m Message, buffer []byte) {
	if n := int(w.next - w.head); n == len(w.ring) {
		w.grow(2 * n)
	}
	m.at, m.end = w.base+len(w.text), w.base+len(buffer)
	m.Attempts, m.Sent, m.Offset, m.ran, m.state = 0, 0, 0, false, waiting
	w.text = buffer
	w.bytes += m.end - m.at
	*w.at(w.next) = m
	w.next++
}

func (w *Window) grow(least int) {
	old := *w
	w.ring = rings.borrow(max(least, few))
	w.ring = w.ring[:cap(w.ring)]
	for n := w.head; n < w.next; n++ {
		*w.at(n) = *old.at(n)
	}
	rings.giveBack(old.ring)
}

// Next is the message that may be sent now, nil if none may.
func (w *Window) Next() *Message {
	if w.held || w.sent == w.next || w.InFlight() >= w.most {
		return nil
	}
	return w.at(w.sent)
}

// Waiting says that a message has no final answer and no attempt out.
func (m *Message) Waiting() bool { return m.state == waiting }

// Begin says that an attempt of Next has begun.
func (w *Window) Begin(now time.Duration) {
	m := w.at(w.sent)
	m.state, m.Sent = out, now
	m.Attempts++
	w.sent++
}

// Acknowledged says that the member has taken the n oldest that are out, but for those it has refused.
// Each is handed to served, and the window learns from the time that took.
func (w *Window) Acknowledged(now time.Duration, n int, served func(*Message)) {
	n = min(n, w.InFlight())
	if n <= 0 {
		return
	}
	took := now - w.at(w.acked+uint64(n)-1).Sent
	for range n {
		m := w.at(w.acked)
		w.acked++
		if m.state == out {
			m.state = answered
			served(m)
		}
	}
	switch {
	case took < time.Duration(quick*float64(w.LatencyObjective)):
		w.most = min(w.most+n, w.MaxMessages)
	case took > time.Duration(late*float64(w.LatencyObjective)) && now-w.cut >= took:
		w.most, w.cut = max(w.most/2, 1), now
	}
	w.shed()
}

// MarkRejected says that the member has refused the oldest message of that subject that is out. It
// returns it, or nil if there is none. Until Settled nothing more is sent.
func (w *Window) MarkRejected(subject uint64) *Message {
	for n := w.acked; n < w.sent; n++ {
		if m := w.at(n); m.state == out && m.Subject == subject {
			m.state, w.held = refused, true
			return m
		}
	}
	return nil
}

// Settled says that a message was refused and the answers to all others are in: now the link
// may be given up without a message being sent twice for nothing.
func (w *Window) Settled() bool { return w.held && w.acked == w.sent }

// LinkClosed says that the link has surely ended. Every message on it that has no answer comes back
// in its order: ended is told how its attempt ended; where no other may follow, failed is told
// after that, and the message has its final answer. Of the bytes that the link was given, so
// many have left.
func (w *Window) LinkClosed(left uint64, ended func(*Message, Result), failed func(*Message)) {
	var last map[uint64]uint64 // the newest of each subject that was taken
	if w.held {
		last = map[uint64]uint64{}
		for n := w.head; n < w.sent; n++ {
			if m := w.at(n); m.state == answered {
				last[m.Subject] = n
			}
		}
	}
	for n := w.head; n < w.sent; n++ {
		m := w.at(n)
		switch m.state {
		case answered:
			continue
		case refused:
			w.mayHaveRun(m)
			ended(m, Rejected)
		case out:
			if m.Offset <= left {
				w.mayHaveRun(m)
				ended(m, AckLost)
			} else {
				ended(m, NotWritten)
			}
		}
		// One behind which its subject went on would turn the order round.
		if m.Attempts >= w.MaxAttempts || m.ran && !w.Repeatable || m.state == refused && last[m.Subject] > n {
			m.state = answered
			failed(m)
		} else {
			m.state = waiting
		}
	}
	// What has its answer leaves; the rest moves together, the order kept.
	to := w.sent
	for n := w.sent; n > w.head; n-- {
		if m := w.at(n - 1); m.state == waiting {
			to--
			*w.at(to) = *m
		} else {
			w.bytes -= m.end - m.at
		}
	}
	w.head, w.acked, w.sent = to, to, to
	w.held, w.most = false, min(InitialWindow, w.MaxMessages)
	w.shed()
}

// mayHaveRun notes that the latest attempt of a message may have been taken. The first such one bounds its time.
func (w *Window) mayHaveRun(m *Message) {
	if !m.ran && w.RepeatWindow > 0 {
		m.Deadline = min(m.Deadline, m.Sent+w.RepeatWindow)
	}
	m.ran = true
}

// Expire has the oldest messages given up that wait and whose time is over by then: each is handed
// to up with whether it may have been taken. What is out stays: its link must end first.
func (w *Window) Expire(by time.Duration, up func(m *Message, ran bool)) {
	for w.head == w.sent && w.head < w.next {
		m := w.at(w.head)
		if m.Deadline > by {
			break
		}
		m.state = answered
		up(m, m.ran)
		w.acked++
		w.sent++
		w.shed()
	}
}

// AckDeadline is when the oldest message that is out will have been without an answer for too long.
func (w *Window) AckDeadline() (at time.Duration, ok bool) {
	if w.acked == w.sent {
		return 0, false
	}
	m := w.at(w.acked)
	at = m.Deadline
	if m.Attempts < w.MaxAttempts { // time must be left for another
		part := max(w.LatencyObjective, time.Duration(patience*float64(m.Deadline-m.Sent)))
		at = min(at, m.Sent+part)
	}
	return min(at, w.at(w.head).Deadline), true // an older one may have been refused
}

// Deadline is when the time of the oldest message is over.
func (w *Window) Deadline() (at time.Duration, ok bool) {
	if w.Idle() {
		return 0, false
	}
	return w.at(w.head).Deadline, true
}

// shed lets go of what has its final answer, from the oldest on.
func (w *Window) shed() {
	for w.head < w.acked {
		m := w.at(w.head)
		if m.state != answered {
			return
		}
		w.bytes -= m.end - m.at
		m.Name = ""
		w.head++
	}
	if w.Idle() {
		// An idle feed keeps no more than a little.
		if w.base += len(w.text); cap(w.text) > small {
			texts.giveBack(w.text)
			w.text = nil
		} else {
			w.text = w.text[:0]
		}
		if len(w.ring) > few {
			rings.giveBack(w.ring)
			w.ring = nil
		}
		return
	}
	if gone := w.at(w.head).at - w.base; gone > len(w.text)/2 {
		w.text = w.text[:copy(w.text, w.text[gone:])]
		w.base += gone
	}
}

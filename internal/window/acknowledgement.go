package window

import "time"

// This file settles messages: by acknowledgements, rejections, lost links and expiry.

// Acknowledged says that the member has accepted the n oldest messages in flight, except those that it has
// rejected. It calls served for each, and adapts the window to the time that the acknowledgement took.
func (w *Window) Acknowledged(now time.Duration, n int, served func(*Message)) {
	n = min(n, w.InFlight())
	if n <= 0 {
		return
	}
	elapsed := now - w.at(w.acked+uint64(n)-1).Sent
	for range n {
		m := w.at(w.acked)
		w.acked++
		if m.state == inFlight {
			m.state = answered
			served(m)
		}
	}
	switch {
	case elapsed < time.Duration(growBelow*float64(w.LatencyObjective)):
		w.maxInFlight = min(w.maxInFlight+n, w.MaxMessages)
	case elapsed > time.Duration(shrinkAbove*float64(w.LatencyObjective)) && now-w.lastDecrease >= elapsed:
		w.maxInFlight, w.lastDecrease = max(w.maxInFlight/2, 1), now
	}
	w.compact()
}

// MarkRejected says that the member has rejected the oldest message of that subject in flight. It returns the
// message, or nil if there is none. Nothing more is sent until Settled.
func (w *Window) MarkRejected(subject uint64) *Message {
	for n := w.acked; n < w.sent; n++ {
		if m := w.at(n); m.state == inFlight && m.Subject == subject {
			m.state, w.awaitingAcks = rejected, true
			return m
		}
	}
	return nil
}

// Settled says that a message was rejected and all others in flight are acknowledged: now the link may be closed
// without a message being sent twice for nothing.
func (w *Window) Settled() bool { return w.awaitingAcks && w.acked == w.sent }

// LinkClosed says that the link has surely ended, and how many of its bytes were written. Every message on it
// without an acknowledgement waits again, in its order. It calls ended with how the attempt ended; where no other
// attempt may follow, it then calls failed, and the message has its final answer.
func (w *Window) LinkClosed(written uint64, ended func(*Message, Result), failed func(*Message)) {
	var last map[uint64]uint64 // the newest message of each subject that was accepted
	if w.awaitingAcks {
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
		case rejected:
			w.markMayHaveRun(m)
			ended(m, Rejected)
		case inFlight:
			if m.Offset <= written {
				w.markMayHaveRun(m)
				ended(m, AckLost)
			} else {
				ended(m, NotWritten)
			}
		}
		// One that later messages of its subject have overtaken would break the order.
		if m.Attempts >= w.MaxAttempts || m.mayHaveRun && !w.Repeatable || m.state == rejected && last[m.Subject] > n {
			m.state = answered
			failed(m)
		} else {
			m.state = waiting
		}
	}
	// Drop the answered messages; the rest moves together in its order.
	to := w.sent
	for n := w.sent; n > w.head; n-- {
		if m := w.at(n - 1); m.state == waiting {
			to--
			*w.at(to) = *m
		} else {
			w.bytes -= m.textEnd - m.textStart
		}
	}
	w.head, w.acked, w.sent = to, to, to
	w.awaitingAcks, w.maxInFlight = false, min(InitialWindow, w.MaxMessages)
	w.compact()
}

// markMayHaveRun notes that the latest attempt of a message may have been accepted. The first such attempt bounds
// the time of the message.
func (w *Window) markMayHaveRun(m *Message) {
	if !m.mayHaveRun && w.RepeatWindow > 0 {
		m.Deadline = min(m.Deadline, m.Sent+w.RepeatWindow)
	}
	m.mayHaveRun = true
}

// Expire gives up the oldest waiting messages whose deadlines are not after by. It calls expired for each with whether
// it may have been accepted. Messages in flight stay: their link must end first.
func (w *Window) Expire(by time.Duration, expired func(m *Message, ran bool)) {
	for w.head == w.sent && w.head < w.next {
		m := w.at(w.head)
		if m.Deadline > by {
			break
		}
		m.state = answered
		expired(m, m.mayHaveRun)
		w.acked++
		w.sent++
		w.compact()
	}
}

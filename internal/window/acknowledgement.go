package window

import "time"

// This file settles messages: after acknowledgements, rejections, the end of the link, and expiry.

// Acknowledged records that the member has accepted the n oldest messages in flight, except
// those that it has rejected. It calls served for each accepted message, and adapts the window
// to how long the newest of the n took to be acknowledged.
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

// MarkRejected records that the member has rejected the oldest message in flight of the given
// subject. It returns that message, or nil if none is in flight. After a rejection the window
// sends nothing until the link has been closed; Settled reports when to close it.
func (w *Window) MarkRejected(subject uint64) *Message {
	for n := w.acked; n < w.sent; n++ {
		if m := w.at(n); m.state == inFlight && m.Subject == subject {
			m.state, w.awaitingAcks = rejected, true
			return m
		}
	}
	return nil
}

// Settled reports whether a message was rejected and all other messages in flight have been
// acknowledged. The link can then be closed without any accepted message being sent a second time.
func (w *Window) Settled() bool { return w.awaitingAcks && w.acked == w.sent }

// LinkClosed handles the end of the link; written is the number of bytes that were written to it.
// It must be called only when the member can accept nothing more on the link. For each message in
// flight LinkClosed calls ended with how the attempt ended. The messages then wait again, in their
// original order, except those for which no further attempt is allowed: for them it calls failed,
// which is their final answer.
func (w *Window) LinkClosed(written uint64, ended func(*Message, Result), failed func(*Message)) {
	var newestAccepted map[uint64]uint64 // by subject, the number of its newest accepted message
	if w.awaitingAcks {
		newestAccepted = map[uint64]uint64{}
		for n := w.head; n < w.sent; n++ {
			if m := w.at(n); m.state == answered {
				newestAccepted[m.Subject] = n
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
		// A rejected message is not retried once a later message of its subject was accepted: it
		// would arrive out of order.
		if m.Attempts >= w.MaxAttempts || m.mayHaveRun && !w.Repeatable || m.state == rejected && newestAccepted[m.Subject] > n {
			m.state = answered
			failed(m)
		} else {
			m.state = waiting
		}
	}
	// Drop the answered messages and close the gaps, keeping the order of the others.
	firstRetained := w.sent
	for n := w.sent; n > w.head; n-- {
		if m := w.at(n - 1); m.state == waiting {
			firstRetained--
			*w.at(firstRetained) = *m
		} else {
			w.bytes -= m.textEnd - m.textStart
		}
	}
	w.head, w.acked, w.sent = firstRetained, firstRetained, firstRetained
	w.awaitingAcks, w.maxInFlight = false, min(InitialWindow, w.MaxMessages)
	w.compact()
}

// markMayHaveRun records that the member may have processed the latest attempt of a message.
// After the first such attempt the message may be retried only within the DedupWindow, so its
// deadline is moved forward to the end of that window.
func (w *Window) markMayHaveRun(m *Message) {
	if !m.mayHaveRun && w.DedupWindow > 0 {
		m.Deadline = min(m.Deadline, m.Sent+w.DedupWindow)
	}
	m.mayHaveRun = true
}

// Expire gives up the oldest waiting messages whose deadlines are at or before by. It calls
// expired for each; mayHaveRun says whether a member may have processed it. While a message is
// in flight nothing expires: the link must end first.
func (w *Window) Expire(by time.Duration, expired func(m *Message, mayHaveRun bool)) {
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

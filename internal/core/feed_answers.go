package core

import (
	"time"

	"dahliarudder/internal/window"
	"dahliarudder/policy"
)

// This file answers and records the messages of feeds.

// rejectUnaccepted rejects a message that was not put into the window.
func (f *Feed) rejectUnaccepted(m *window.Message, text []byte, retryAfter time.Duration) {
	f.recordAnswer(m, Rejected)
	f.transport.Answer(m, text[len(f.window.Buffer(0)):], Rejected, retryAfter)
}

// answerExpired rejects a message whose deadline is over, or fails it if a member may have processed
// it.
func (f *Feed) answerExpired(m *window.Message, maybeProcessed bool, retryAfter time.Duration) {
	if maybeProcessed {
		f.answerMessage(m, Failed, 0)
	} else {
		f.answerMessage(m, Rejected, retryAfter)
	}
}

func (f *Feed) answerMessage(m *window.Message, a Answer, retryAfter time.Duration) {
	f.recordAnswer(m, a)
	if !f.closed {
		f.transport.Answer(m, f.window.Text(m), a, retryAfter)
	}
}

// recordAnswer counts and records the final answer of a message.
func (f *Feed) recordAnswer(m *window.Message, a Answer) {
	f.core.unansweredMessages.remove(m.Name)
	counts := &f.core.Counts.Messages
	switch a {
	case Served:
		counts.Served++
	case Rejected:
		counts.Rejected++
	default:
		counts.Failed++
	}
	if f.core.Recorder != nil {
		q := f.request
		q.Name = m.Name
		f.core.Recorder.RecordAnswer(&q, ID(m.ID), f.core.Clock(), a, m.Attempts)
	}
}

// recordAttempt records the end of an attempt of a message.
func (f *Feed) recordAttempt(m *window.Message, result policy.Result) {
	if f.core.Recorder != nil {
		q := f.request
		q.Name = m.Name
		f.core.Recorder.RecordAttempt(&q, ID(m.ID), m.Attempts-1, f.member.Name, m.Sent, f.core.Clock(), result)
	}
}

package line

import "time"

// Limits of the protocol and behavior of its clients.
const (
	maxSilence     = 7 * time.Second // time limit to close a flow on which the member sends nothing back
	clientInterval = 2 * time.Second // interval between the lines of a client
	maxLinger      = time.Second     // time limit to close a flow whose member has closed or sent its final command
)

// memberSilenceTimeout is how long a member may leave a client's line unanswered. maxSilence counts
// from the last line that the member sent, and the client's next line may start clientInterval
// later. A timeout of 5 s from that line would exceed maxSilence by the sweep interval. The
// remaining terms leave time for the sweep, for a partial line that MOVE waits for, and for a delay
// of the event loop.
const memberSilenceTimeout = maxSilence - clientInterval - sweepInterval - MoveTimeout - maxLoopDelay

const (
	lingerTimeout = maxLinger - sweepInterval - maxLoopDelay // for a member to close after its final command
	maxLoopDelay  = 250 * time.Millisecond                   // assumed upper limit for a delay of the event loop
)

// liveness tracks whether both sides of an open flow are still active. It does no I/O and reads no
// clock. Its fields are times of the event loop's clock; 0 means not set.
type liveness struct {
	unansweredSince time.Duration // when the first byte was forwarded that the member has not answered
	lineSentAt      time.Duration // when the first complete line was forwarded that the member has not answered
	finalCommandAt  time.Duration // when the member sent BYE or MOVE
	clientActiveAt  time.Duration // when the client last sent something
}

// noteSent records that bytes from the client were forwarded; line says whether they ended a line.
func (l *liveness) noteSent(now time.Duration, line bool) {
	l.clientActiveAt = now
	if l.unansweredSince == 0 {
		l.unansweredSince = now
	}
	if l.lineSentAt == 0 && line {
		l.lineSentAt = now
	}
}

// noteAnswer records a complete line from the member. awaited is true if a line of the client was
// unanswered, and took is then the time since it was forwarded.
func (l *liveness) noteAnswer(now time.Duration) (took time.Duration, awaited bool) {
	if awaited = l.lineSentAt > 0; awaited {
		took = now - l.lineSentAt
	}
	l.unansweredSince, l.lineSentAt = 0, 0
	return took, awaited
}

// memberSilent reports whether the member has stopped answering. A partial line needs no answer. If
// a line took long to complete, the member still has at least MoveTimeout from its end.
func (l *liveness) memberSilent(now time.Duration) bool {
	return l.lineSentAt > 0 && now-l.unansweredSince > memberSilenceTimeout && now-l.lineSentAt > MoveTimeout
}

// memberLingers reports whether the member has sent its final command but has not closed the
// connection within lingerTimeout.
func (l *liveness) memberLingers(now time.Duration) bool {
	return l.finalCommandAt > 0 && now-l.finalCommandAt > lingerTimeout
}

// clientSilent reports whether the client has sent nothing for clientSilenceTimeout.
func (l *liveness) clientSilent(now time.Duration) bool {
	return now-l.clientActiveAt > clientSilenceTimeout
}

package line

import "time"

// What the protocol allows and what its clients do.
const (
	maxSilence     = 7 * time.Second // a connection on which nothing comes back has to be closed by then
	clientInterval = 2 * time.Second // between the lines of a client
	maxLinger      = time.Second     // a connection that its member has closed has to be closed by then
)

// memberSilenceTimeout is how long a member may owe an answer. The 7 s count from the last line that came back, and the
// client's next line may start 2 s later: a timeout of 5 s from there exceeded them by the sweep. What is left has to do
// for the sweep, for a partial line that MOVE waits for, and for a busy loop.
const memberSilenceTimeout = maxSilence - clientInterval - sweepInterval - MoveTimeout - maxLoopDelay

const (
	lingerTimeout = maxLinger - sweepInterval - maxLoopDelay // after a member's final command, when no close of the connection follows
	maxLoopDelay  = 250 * time.Millisecond                   // of the event loop itself
)

// liveness tracks whether the two sides of an open flow are still there. It does no I/O and reads no clock. A time of
// 0 stands for none.
type liveness struct {
	unansweredSince time.Duration // when the first byte was forwarded to which no answer has come
	lineSentAt      time.Duration // when the first whole line was, to time the answer
	finalCommandAt  time.Duration // when the member sent BYE or MOVE
	clientActiveAt  time.Duration // when the client last sent something
}

// noteSent records that bytes of the client's were forwarded, and whether they ended a line.
func (l *liveness) noteSent(now time.Duration, line bool) {
	l.clientActiveAt = now
	if l.unansweredSince == 0 {
		l.unansweredSince = now
	}
	if l.lineSentAt == 0 && line {
		l.lineSentAt = now
	}
}

// noteAnswer records a whole line of the member's, and returns how long it took if a line of the client's awaited an
// answer.
func (l *liveness) noteAnswer(now time.Duration) (took time.Duration, awaited bool) {
	if awaited = l.lineSentAt > 0; awaited {
		took = now - l.lineSentAt
	}
	l.unansweredSince, l.lineSentAt = 0, 0
	return took, awaited
}

// memberSilent reports whether the member has stopped answering. A partial line needs no answer, and one that was long on
// its way leaves the member at least MoveTimeout.
func (l *liveness) memberSilent(now time.Duration) bool {
	return l.lineSentAt > 0 && now-l.unansweredSince > memberSilenceTimeout && now-l.lineSentAt > MoveTimeout
}

// memberLingers reports whether the member has sent its final command but has not closed the connection in time.
func (l *liveness) memberLingers(now time.Duration) bool {
	return l.finalCommandAt > 0 && now-l.finalCommandAt > lingerTimeout
}

// clientSilent reports whether the client has sent nothing for so long that it has gone.
func (l *liveness) clientSilent(now time.Duration) bool {
	return now-l.clientActiveAt > clientSilenceTimeout
}

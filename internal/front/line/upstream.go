package line

import (
	"bytes"
	"errors"
	"io"
	"strconv"
	"strings"
	"time"

	"dahliarudder/internal/core"
	"dahliarudder/internal/netloop"
	"dahliarudder/policy"
)

// upstream is a connection to a member: first one attempt, then the member's side of the open flow.
type upstream struct {
	client   *clientConn
	conn     *netloop.Conn
	member   *core.Member
	attempt  int
	deadline time.Duration // when the core abandons the attempt
	state    attemptState
	liveness
	linePrefix   []byte  // the first bytes of the member's line that is being forwarded, at most maxInspectedBytes
	load         float64 // the flow's load in work per second, as last reported; LOAD carries it in millionths
	report       policy.Report
	blockedBytes int // bytes from the member that did not fit in the send buffer to the client
}

// handle applies an event. If it ends the attempt or the open flow, it reports the result to the
// core.
func (u *upstream) handle(e attemptEvent) {
	next, result, ended := u.state.next(e)
	u.state = next
	if ended {
		u.conn.Finish()
		u.client.front.Core.AttemptEnded(u.client.requestID, u.attempt, result, u.report)
	}
}

// abandon resets the connection. Bytes that still arrive on it are discarded.
func (u *upstream) abandon() { u.terminate(u.conn.Reset) }

// terminate marks the attempt as abandoned and calls closeConn, unless the attempt is already
// finished.
func (u *upstream) terminate(closeConn func()) {
	if u.state == attemptFinished {
		return
	}
	u.state, _, _ = u.state.next(eventAbandoned)
	closeConn()
}

// closeForClient ends an open flow whose client has closed, and closes the member's side with
// closeConn. If the member has already sent BYE or MOVE, that decides the flow's result.
func (u *upstream) closeForClient(closeConn func()) {
	_, result, _ := u.state.next(eventConnLost)
	finalCommandReceived := u.state.finalCommand() != ""
	u.terminate(closeConn)
	if finalCommandReceived {
		u.client.front.Core.AttemptEnded(u.client.requestID, u.attempt, result, u.report)
	} else {
		u.client.front.Core.ClientGone(u.client.requestID)
	}
}

// Open implements netloop.Handler. The first line is written only after all events of this loop
// iteration have been handled, because the client's close may be among them.
func (u *upstream) Open() {
	u.handle(eventConnected)
	u.client.front.Loop.After(0, u.sendFirstLine)
}

// sendFirstLine forwards the client's first line, unless the attempt is over or may no longer be
// sent.
func (u *upstream) sendFirstLine() {
	if u.state != attemptConnected {
		return
	}
	// The core may object, for example if the member left while the connection was being set up.
	if !u.client.front.Core.MaySend(u.client.requestID, u.attempt) {
		u.handle(eventNoConnection)
		return
	}
	u.handle(eventOpenSent)
	u.conn.Write(u.client.openLine.forMember(u.deadline - u.client.front.Loop.Now()))
	u.conn.ResumeReading() // until here, Data has left the member's bytes unread
}

// Drained implements netloop.Handler.
func (u *upstream) Drained() {
	if u.state.isOpen() || u.client.state == clientFlushingToMember {
		u.client.conn.ResumeReading()
	}
}

// Data implements netloop.Handler.
func (u *upstream) Data(b []byte) int {
	if u.state.isOpen() {
		return u.forwardToClient(b)
	}
	switch u.state {
	case attemptFinished:
		return len(b)
	case attemptConnected:
		return 0
	}
	text, n, err := cutLine(b)
	if n == 0 && err == nil {
		return 0
	}
	if err != nil {
		u.handle(eventUnexpectedAnswer)
		return len(b)
	}
	return u.handleAnswer(text, b, n)
}

// handleAnswer handles the member's answer to the first line: text, in the first n bytes of b. It
// returns how many bytes it consumed.
func (u *upstream) handleAnswer(text string, b []byte, n int) int {
	command, rest, _ := strings.Cut(text, " ")
	if command == commandUp {
		return u.openFlow(b, n)
	}
	if command != commandMove {
		u.report = parseReport(rest)
	}
	switch command {
	case commandBusy:
		u.handle(eventBusy)
	case commandBye:
		u.client.conn.Write(b[:n])
		u.handle(eventBye)
		u.client.handle(eventAttemptServed)
	case commandMove:
		u.handle(eventMove)
	default:
		u.handle(eventUnexpectedAnswer)
	}
	return len(b)
}

// openFlow forwards UP, the first n bytes of b, and the bytes that follow it.
func (u *upstream) openFlow(b []byte, n int) int {
	c := u.client
	if !c.front.Core.FlowEstablished(c.requestID, u.attempt) {
		return len(b)
	}
	u.clientActiveAt = c.front.Loop.Now()
	u.handle(eventUp)
	c.conn.Write(b[:n])
	c.handle(eventAttemptUp)
	if n < len(b) {
		n += u.forwardToClient(b[n:])
	}
	return n
}

// End implements netloop.Handler.
func (u *upstream) End(err error) {
	open := u.state.isOpen()
	if open && errors.Is(err, io.EOF) && u.blockedBytes > 0 {
		u.client.handle(eventMemberEOFBlocked)
		return
	}
	if open || u.client.state == clientFlushingToMember {
		u.closeClient(err)
	}
	switch {
	case !open && errors.Is(err, netloop.ErrNoDescriptors):
		u.handle(eventNoConnection)
	case !open && (u.state.isUnsent() || u.conn.Unsent() > 0):
		u.handle(eventConnLostUnsent)
	default:
		u.handle(eventConnLost)
	}
}

// closeClient closes the client's side in the way in which the member closed its own: gracefully or
// by a reset.
func (u *upstream) closeClient(err error) {
	if errors.Is(err, io.EOF) {
		u.client.handle(eventMemberEOF)
	} else {
		u.client.handle(eventMemberReset)
	}
}

// forwardToMember forwards a client's bytes as far as the send buffer has room, and returns how many
// it took. It records for the liveness check what was forwarded.
func (u *upstream) forwardToMember(b []byte) int {
	n := min(len(b), u.conn.WriteCapacity())
	u.conn.Write(b[:n])
	if n > 0 {
		u.noteSent(u.client.front.Loop.Now(), bytes.IndexByte(b[:n], '\n') >= 0)
	}
	return n
}

// maxInspectedBytes is how many bytes of each forwarded line are inspected for a command.
const maxInspectedBytes = 256

// forwardToClient forwards a member's bytes as far as the send buffer has room, and returns how many
// it took.
func (u *upstream) forwardToClient(b []byte) int {
	n := u.forwardLines(b)
	if u.blockedBytes = len(b) - n; u.blockedBytes == 0 {
		u.client.handle(eventMemberFlushed)
	}
	return n
}

// forwardLines forwards a member's bytes line by line and inspects each complete line.
func (u *upstream) forwardLines(b []byte) int {
	c := u.client
	b = b[:min(len(b), c.conn.WriteCapacity())]
	used := 0
	for used < len(b) && c.state != clientClosed {
		part := b[used:]
		end := bytes.IndexByte(part, '\n')
		if end >= 0 {
			part = part[:end+1]
		}
		used += len(part)
		c.conn.Write(part)
		if free := maxInspectedBytes - len(u.linePrefix); free > 0 {
			u.linePrefix = append(u.linePrefix, part[:min(free, len(part))]...)
		}
		if end < 0 {
			c.handle(eventPartialLine)
			break
		}
		text := strings.TrimRight(string(u.linePrefix), "\r\n")
		u.linePrefix = u.linePrefix[:0]
		if c.handle(eventLineEnd); c.state == clientClosed {
			break
		}
		u.handleFlowLine(text)
		if u.conn.YieldIfTurnOver() {
			break
		}
	}
	return used
}

// handleFlowLine interprets the start of a complete line that a member sent on an open flow.
func (u *upstream) handleFlowLine(text string) {
	command, rest, _ := strings.Cut(text, " ")
	switch command {
	case commandLoad:
		if load, err := strconv.ParseFloat(rest, 64); err == nil {
			u.load = load / 1e6
			u.client.front.Core.UpdateLoad(u.client.requestID, u.load)
		}
		return
	case commandBye:
		u.report, u.finalCommandAt = parseReport(rest), u.client.front.Loop.Now()
		u.handle(eventBye)
	case commandMove:
		u.finalCommandAt = u.client.front.Loop.Now()
		u.handle(eventMove)
	}
	if took, awaited := u.noteAnswer(u.client.front.Loop.Now()); awaited {
		u.client.front.Core.ObserveMessageLatency(u.client.requestID, took)
	}
}

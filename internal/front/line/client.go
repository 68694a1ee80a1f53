package line

import (
	"errors"
	"io"
	"strconv"
	"time"

	"dahliarudder/internal/core"
	"dahliarudder/internal/netloop"
	"dahliarudder/policy"
)

// clientConn is a client's connection. It carries at most one request, and is the core's Downstream
// for it.
type clientConn struct {
	front        *Front
	conn         *netloop.Conn
	requestID    core.ID
	state        clientState
	openLine     openLine
	upstream     *upstream      // the attempt in flight or the member's side of the flow; nil before the first attempt
	timer        *netloop.Timer // fires eventTimeout when the time limit of the state has passed
	retryAfter   time.Duration  // sent to the client with BUSY if above 0
	blockedBytes int            // bytes from the client that did not fit in the send buffer to the member
}

// handle applies an event: it changes the state and performs the action.
func (c *clientConn) handle(e clientEvent) {
	next, action := c.state.next(e)
	c.setState(next)
	c.perform(action)
}

// setState changes the state and updates the front's sets of connections.
func (c *clientConn) setState(next clientState) {
	if next == c.state {
		return
	}
	c.state = next
	setMembership(c.front.idle, c, next.awaitsFirstLine())
	setMembership(c.front.flows, c, next.isEstablished())
}

func setMembership(set map[*clientConn]struct{}, c *clientConn, in bool) {
	if in {
		set[c] = struct{}{}
	} else {
		delete(set, c)
	}
}

func (c *clientConn) perform(action clientAction) {
	switch action {
	case sendPong:
		c.sendPong()
	case awaitFirstLine:
		c.startTimer(firstLineTimeout)
	case placeRequest:
		c.placeRequest()
	case sendError:
		c.sendError()
	case sendBusy:
		c.sendBusy()
	case openFlow:
		c.conn.SetEarlyEOF(false) // EOF is reported only after all bytes before it have been forwarded
		c.front.Loop.After(0, c.conn.ResumeReading)
	case closeClient:
		c.close()
	case resetClient:
		c.conn.Reset() // before close, because close would end the connection gracefully
		c.close()
	case cancelRequest:
		c.cancelRequest()
	case closeFlow:
		c.close()
		c.upstream.closeForClient(c.upstream.conn.Finish)
	case resetFlow:
		c.close()
		c.upstream.closeForClient(c.upstream.conn.Reset)
	case flushThenCloseFlow:
		c.upstream.closeForClient(func() {}) // the connection closes once its send buffer is empty
		c.startTimer(MoveTimeout)
	case awaitLineEnd:
		c.startTimer(MoveTimeout)
	case sendMove:
		c.conn.Write(moveLine)
		c.closeBoth()
	case closeBothSides:
		c.closeBoth()
	case awaitFlush:
		c.startTimer(lingerTimeout)
	case finishAttempt:
		c.close()
		c.upstream.handle(eventConnLost)
	}
}

// startTimer limits how long the current state may last.
func (c *clientConn) startTimer(after time.Duration) {
	c.timer.Stop()
	c.timer = c.front.Loop.After(after, func() { c.handle(eventTimeout) })
}

// allowShedding lets the event loop close the connection when descriptors run short.
func (c *clientConn) allowShedding() { c.conn.SetEvictable(func() { c.handle(eventShed) }) }

// Open implements netloop.Handler. An accepted connection is open from the start.
func (c *clientConn) Open() {}

// Data implements netloop.Handler.
func (c *clientConn) Data(b []byte) int {
	used := 0
	for c.state.awaitsFirstLine() && used < len(b) {
		text, n, err := cutLine(b[used:])
		if n == 0 && err == nil {
			c.handle(eventPartialFirstLine)
			return used
		}
		used += n
		if err == nil {
			err = c.handleFirstLine(text)
		}
		if err != nil {
			c.front.countMalformed(err)
			c.handle(eventMalformed)
		}
		if c.state.awaitsFirstLine() && c.conn.YieldIfTurnOver() {
			return used
		}
	}
	switch {
	case c.state.isOpen(), c.state == clientFlushingToMember:
		return used + c.forwardToMember(b[used:])
	case c.state == clientFlushingToClient, c.state == clientClosed:
		return len(b)
	}
	return used
}

// forwardToMember forwards the client's bytes as far as the send buffer has room, and returns how
// many it took.
func (c *clientConn) forwardToMember(b []byte) int {
	n := c.upstream.forwardToMember(b)
	if c.blockedBytes = len(b) - n; c.blockedBytes == 0 {
		c.handle(eventClientFlushed)
	}
	return n
}

// handleFirstLine handles a PING or OPEN line. It returns an error if the line is malformed.
func (c *clientConn) handleFirstLine(text string) error {
	if text == commandPing {
		c.handle(eventPing)
		return nil
	}
	line, err := parseOpen(c.front.Core.Settings, text)
	if err != nil {
		return err
	}
	if c.front.requests[line.id] != nil || c.front.remoteIDs[line.id] {
		return malformedf(duplicateID, "id of a request that is already open")
	}
	c.openLine = line
	c.handle(eventOpen)
	return nil
}

func (c *clientConn) sendPong() {
	answer := pongLine
	if !c.front.Core.Ready() {
		answer = errLine
	}
	c.conn.Queue(answer) // many may follow each other in one round
	c.startTimer(idleTimeout)
	c.allowShedding()
}

// placeRequest hands the request to the core, or rejects it if the relay is short of descriptors.
func (c *clientConn) placeRequest() {
	c.timer.Stop()
	c.conn.SetEvictable(nil)
	c.front.requests[c.openLine.id] = c
	if c.front.Loop.DescriptorsLow() {
		c.Reject(c.front.Core.RetryAfter(shortageRetryAfter))
		return
	}
	c.requestID = c.front.Core.Open(c.openLine.request, c)
}

// Drained implements netloop.Handler.
func (c *clientConn) Drained() {
	if c.state.isOpen() || c.state == clientFlushingToClient {
		c.upstream.conn.ResumeReading()
	}
}

// End implements netloop.Handler.
func (c *clientConn) End(err error) {
	switch {
	case errors.Is(err, io.EOF) && c.blockedBytes > 0:
		c.handle(eventClientEOFBlocked)
	case errors.Is(err, io.EOF):
		c.handle(eventClientEOF)
	default:
		c.handle(eventClientReset)
	}
}

// Send implements core.Downstream. It starts an attempt at a member.
func (c *clientConn) Send(id core.ID, member *core.Member, attempt int, wait time.Duration) {
	c.requestID = id
	u := &upstream{client: c, member: member, attempt: attempt, deadline: c.front.Loop.Now() + wait, report: policy.NoReport}
	c.upstream = u
	u.conn = c.front.Loop.Dial(member.Addr, min(c.front.connectTimeout, wait), u)
}

// Cancel implements core.Downstream. It abandons the attempt.
func (c *clientConn) Cancel(int) {
	if c.upstream != nil {
		c.upstream.abandon()
		c.handle(eventAttemptAbandoned)
	}
}

// Reject implements core.Downstream. It answers BUSY: the client may retry after the given time.
func (c *clientConn) Reject(after time.Duration) {
	c.retryAfter = after
	c.handle(eventRejected)
}

// cancelRequest ends a request whose client has closed its sending side or whose connection was lost.
// No further attempt is made. The client may still read, so it is sent a final answer: BUSY says that
// a retry is harmless, ERR that the request may have run.
func (c *clientConn) cancelRequest() {
	if c.front.Core.ClientGone(c.requestID) {
		c.sendBusy()
	} else {
		c.sendError()
	}
}

func (c *clientConn) sendError() {
	c.conn.Write(errLine)
	c.close()
}

func (c *clientConn) sendBusy() {
	answer := busyLine
	if c.retryAfter > 0 {
		answer = []byte(commandBusy + " " + strconv.FormatInt(max(1, c.retryAfter.Milliseconds()), 10) + "\r\n")
	}
	c.conn.Write(answer)
	c.close()
}

// Fail implements core.Downstream. It answers ERR: the request may have run.
func (c *clientConn) Fail() { c.handle(eventFailed) }

// Migrate implements core.Downstream. It sends MOVE and closes both sides. If part of a line from the
// member has been forwarded, MOVE waits for the end of that line.
func (c *clientConn) Migrate() { c.handle(eventMigrate) }

func (c *clientConn) closeBoth() {
	c.upstream.conn.Finish()
	c.close()
}

// close closes the client's connection gracefully and removes it from the front. Every way in which a
// connection ends or is handed off goes through it.
func (c *clientConn) close() {
	c.timer.Stop()
	c.setState(clientClosed)
	if c.front.requests[c.openLine.id] == c {
		delete(c.front.requests, c.openLine.id)
	}
	c.conn.Finish()
}

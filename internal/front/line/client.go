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

// clientConn is the connection of a client. It carries at most one request, for which it is the core's Downstream.
type clientConn struct {
	front        *Front
	conn         *netloop.Conn
	requestID    core.ID
	state        clientState
	openLine     openLine
	upstream     *upstream      // of the attempt in flight, or of the open flow; nil if there is none
	timer        *netloop.Timer // ends the time that the state may last
	retryAfter   time.Duration  // goes to the client with BUSY, if above 0
	blockedBytes int            // bytes of the client's that the member's send buffer had no room for
}

// handle applies an event.
func (c *clientConn) handle(e clientEvent) {
	next, action := c.state.next(e)
	c.setState(next)
	c.perform(action)
}

// setState changes the state, and with it the front's sets of connections.
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
		c.conn.SetEarlyEOF(false) // what the client has sent by then is forwarded
		c.front.Loop.After(0, c.conn.ResumeReading)
	case closeClient:
		c.close()
	case resetClient:
		c.conn.Reset() // before close, which would end it gracefully
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
		c.upstream.closeForClient(func() {}) // its connection ends once its send buffer is empty
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

// startTimer limits how long the state may last.
func (c *clientConn) startTimer(after time.Duration) {
	c.timer.Stop()
	c.timer = c.front.Loop.After(after, func() { c.handle(eventTimeout) })
}

// allowShedding lets the loop close the connection when descriptors run short.
func (c *clientConn) allowShedding() { c.conn.SetEvictable(func() { c.handle(eventShed) }) }

// Open implements netloop's handler; the connection is open already.
func (c *clientConn) Open() {}

// Data implements netloop's handler.
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
	}
	switch {
	case c.state.isOpen(), c.state == clientFlushingToMember:
		return used + c.forwardToMember(b[used:])
	case c.state == clientFlushingToClient, c.state == clientClosed:
		return len(b)
	}
	return used
}

// forwardToMember forwards as many of the client's bytes as there is buffer space for, and returns how many.
func (c *clientConn) forwardToMember(b []byte) int {
	n := c.upstream.forwardToMember(b)
	if c.blockedBytes = len(b) - n; c.blockedBytes == 0 {
		c.handle(eventClientFlushed)
	}
	return n
}

// handleFirstLine handles PING or OPEN.
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
		return malformedf(duplicateID, "the id of an open request")
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
	c.conn.Write(answer)
	c.startTimer(idleTimeout)
	c.allowShedding()
}

// placeRequest hands the request to the core, or rejects it if descriptors are short.
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

// Drained implements netloop's handler.
func (c *clientConn) Drained() {
	if c.state.isOpen() || c.state == clientFlushingToClient {
		c.upstream.conn.ResumeReading()
	}
}

// End implements netloop's handler.
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

// Send implements core.Downstream: it starts an attempt at a member.
func (c *clientConn) Send(id core.ID, member *core.Member, attempt int, wait time.Duration) {
	c.requestID = id
	u := &upstream{client: c, member: member, attempt: attempt, deadline: c.front.Loop.Now() + wait, report: policy.NoReport}
	c.upstream = u
	u.conn = c.front.Loop.Dial(member.Addr, min(c.front.connectTimeout, wait), u)
}

// Cancel abandons the attempt.
func (c *clientConn) Cancel(int) {
	if c.upstream != nil {
		c.upstream.abandon()
		c.handle(eventAttemptAbandoned)
	}
}

// Reject answers BUSY: the client may retry, after the given time.
func (c *clientConn) Reject(after time.Duration) {
	c.retryAfter = after
	c.handle(eventRejected)
}

// cancelRequest ends a request whose client has closed its sending side. Such a client has gone, or it still reads: no
// further attempt is made, and it gets its final answer.
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

// Fail answers ERR: the request may have run.
func (c *clientConn) Fail() { c.handle(eventFailed) }

// Migrate migrates the client: it sends MOVE between two lines and closes both sides.
func (c *clientConn) Migrate() { c.handle(eventMigrate) }

func (c *clientConn) closeBoth() {
	c.upstream.conn.Finish()
	c.close()
}

// close ends the client connection gracefully. Each path that ends one leads here.
func (c *clientConn) close() {
	c.timer.Stop()
	c.setState(clientClosed)
	if c.front.requests[c.openLine.id] == c {
		delete(c.front.requests, c.openLine.id)
	}
	c.conn.Finish()
}

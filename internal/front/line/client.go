package line

import (
	"io"
	"strconv"
	"time"

	"dahliarudder/internal/core"
	"dahliarudder/internal/netloop"
	"dahliarudder/policy"
)

// This file is the client's side: connections from clients.

// clientConn is a client connection: the virtual server of one request at most.
type clientConn struct {
	f          *Front
	c          *netloop.Conn
	id         core.ID
	state      clientState
	open       opening
	upstream   *upstream      // of the attempt that is out, or of the open flow; nil if there is none
	due        *netloop.Timer // when the time of the state is up
	retryAfter time.Duration  // what a rejected client is told
	unread     int            // bytes on the open flow that have had no room
}

// on has an event happen.
func (v *clientConn) on(e clientEvent) {
	next, action := v.state.next(e)
	v.enter(next)
	v.do(action)
}

// enter changes the state, and with it the lists of the front.
func (v *clientConn) enter(next clientState) {
	if next == v.state {
		return
	}
	v.state = next
	keep(v.f.fresh, v, next.awaitsFirstLine())
	keep(v.f.open, v, next.stays())
}

func keep(set map[*clientConn]struct{}, v *clientConn, in bool) {
	if in {
		set[v] = struct{}{}
	} else {
		delete(set, v)
	}
}

func (v *clientConn) do(action clientAction) {
	switch action {
	case sendPong:
		v.sendPong()
	case awaitFirstLine:
		v.timeOut(firstWithin)
	case placeRequest:
		v.place()
	case sendError:
		v.sendError()
	case sendBusy:
		v.sendBusy()
	case openFlow:
		v.c.SetEarlyEOF(false) // what the client has sent by then goes on
		v.f.Loop.After(0, v.c.ResumeReading)
	case endClient:
		v.close()
	case resetClient:
		v.c.Reset() // before close, which would end it politely
		v.close()
	case leaveRequest:
		v.leave()
	case leaveFlow:
		v.close()
		v.upstream.clientLeft(v.upstream.c.Finish)
	case leaveFlowHard:
		v.close()
		v.upstream.clientLeft(v.upstream.c.Reset)
	case leaveDraining:
		v.upstream.clientLeft(func() {}) // its connection ends once it has been drained
		v.timeOut(MoveTimeout)
	case awaitLineEnd:
		v.timeOut(MoveTimeout)
	case sendMove:
		v.c.Write([]byte("MOVE\r\n"))
		v.endBoth()
	case endBothSides:
		v.endBoth()
	case drain:
		v.timeOut(endedAfter)
	case endAttempt:
		v.close()
		v.upstream.on(attemptBroke)
	}
}

// timeOut sets when the time of the state is up.
func (v *clientConn) timeOut(after time.Duration) {
	v.due.Stop()
	v.due = v.f.Loop.After(after, func() { v.on(clientTimedOut) })
}

// spare lets the connection be given up when descriptors run short.
func (v *clientConn) spare() { v.c.SetEvictable(func() { v.on(clientShed) }) }

// Open is told by the loop; the connection stands already.
func (v *clientConn) Open() {}

// Data is told by the loop.
func (v *clientConn) Data(b []byte) int {
	used := 0
	for v.state.awaitsFirstLine() && used < len(b) {
		text, n, err := cutLine(b[used:])
		if n == 0 && err == nil {
			v.on(clientLineBegun)
			return used
		}
		used += n
		if err == nil {
			err = v.firstLine(text)
		}
		if err != nil {
			v.f.refuse(err)
			v.on(clientMalformed)
		}
	}
	switch {
	case v.state.isOpen(), v.state == clientParting:
		return used + v.pass(b[used:])
	case v.state == clientDraining, v.state == clientClosed:
		return len(b)
	}
	return used
}

// pass passes on what there is room for of the client's bytes, and says how many they were.
func (v *clientConn) pass(b []byte) int {
	n := v.upstream.forward(b)
	if v.unread = len(b) - n; v.unread == 0 {
		v.on(clientDrained)
	}
	return n
}

// firstLine takes a first line.
func (v *clientConn) firstLine(text string) error {
	if text == "PING" {
		v.on(clientPinged)
		return nil
	}
	open, err := parseOpen(v.f.Core.Settings, text)
	if err != nil {
		return err
	}
	if v.f.ids[open.id] != nil || v.f.elsewhere[open.id] {
		return malformed(openID, "the id of an open request")
	}
	v.open = open
	v.on(clientAsked)
	return nil
}

func (v *clientConn) sendPong() {
	answer := "PONG\r\n"
	if !v.f.Core.Ready() {
		answer = "ERR\r\n"
	}
	v.c.Write([]byte(answer))
	v.timeOut(pingIdle)
	v.spare()
}

// place hands the request to the core.
func (v *clientConn) place() {
	v.due.Stop()
	v.c.SetEvictable(nil)
	v.f.ids[v.open.id] = v
	if v.f.Loop.DescriptorsLow() {
		v.Reject(v.f.Core.RetryAfter(crowdAfter))
		return
	}
	v.id = v.f.Core.Open(v.open.request, v)
}

// Drained is told by the loop.
func (v *clientConn) Drained() {
	if v.state.isOpen() || v.state == clientDraining {
		v.upstream.c.ResumeReading()
	}
}

// End is told by the loop.
func (v *clientConn) End(err error) {
	switch {
	case err == io.EOF && v.unread > 0:
		v.on(clientEndedUnread)
	case err == io.EOF:
		v.on(clientEnded)
	default:
		v.on(clientReset)
	}
}

// Send starts a server-side flow.
func (v *clientConn) Send(id core.ID, to *core.Member, try int, wait time.Duration) {
	v.id = id
	s := &upstream{v: v, member: to, try: try, until: v.f.Loop.Now() + wait, report: policy.NoReport}
	v.upstream = s
	s.c = v.f.Loop.Dial(to.Addr, min(v.f.connectWithin, wait), s)
}

// Cancel abandons it.
func (v *clientConn) Cancel(int) {
	if v.upstream != nil {
		v.upstream.abandon()
		v.on(clientAbandoned)
	}
}

// Reject answers that coming again is harmless.
func (v *clientConn) Reject(after time.Duration) {
	v.retryAfter = after
	v.on(clientRejected)
}

// leave ends a request whose client has ended its sending. Such a client has gone, or it still reads: nothing more is
// tried for it, and it gets its final answer.
func (v *clientConn) leave() {
	if v.f.Core.ClientGone(v.id) {
		v.sendBusy()
	} else {
		v.sendError()
	}
}

func (v *clientConn) sendError() {
	v.c.Write([]byte("ERR\r\n"))
	v.close()
}

func (v *clientConn) sendBusy() {
	answer := "BUSY\r\n"
	if v.retryAfter > 0 {
		answer = "BUSY " + strconv.FormatInt(max(1, v.retryAfter.Milliseconds()), 10) + "\r\n"
	}
	v.c.Write([]byte(answer))
	v.close()
}

// Fail answers without any promise.
func (v *clientConn) Fail() { v.on(clientFailed) }

// Migrate asks the client to come again: it puts MOVE between two lines and ends
// both sides.
func (v *clientConn) Migrate() { v.on(clientMoveAsked) }

func (v *clientConn) endBoth() {
	v.upstream.c.Finish()
	v.close()
}

// close is the one end of a client connection; its client sees a polite end.
func (v *clientConn) close() {
	v.due.Stop()
	v.enter(clientClosed)
	if v.f.ids[v.open.id] == v {
		delete(v.f.ids, v.open.id)
	}
	v.c.Finish()
}

package line

import (
	"fmt"
	"io"
	"strconv"
	"time"

	"dahliarudder/internal/core"
	"dahliarudder/internal/netloop"
	"dahliarudder/policy"
)

// This file is the client's side: connections from clients.

type phase int

const (
	first phase = iota // its first line has not come
	placing
	standing
	over
)

// clientConn is a client connection: the virtual server of one request at most.
type clientConn struct {
	f        *Front
	c        *netloop.Conn
	id       core.ID
	phase    phase
	open     opening
	upstream *upstream
	idle     *netloop.Timer
	within   bool // the client has got a part of a line
	moving   *netloop.Timer
}

// Open is told by the loop; the connection stands already.
func (v *clientConn) Open() {}

// Data is told by the loop.
func (v *clientConn) Data(b []byte) int {
	used := 0
	for v.phase == first && used < len(b) {
		text, n, err := cutLine(b[used:])
		if n == 0 && err == nil {
			return used
		}
		used += n
		if err == nil {
			err = v.line(text)
		}
		if err != nil {
			v.f.Log.WithError(err).Debug("first line")
			v.Fail()
		}
	}
	switch v.phase {
	case standing:
		return used + v.upstream.forward(b[used:])
	case over:
		return len(b)
	}
	return used
}

// line takes a first line.
func (v *clientConn) line(text string) error {
	if text == "PING" {
		answer := "PONG\r\n"
		if !v.f.Core.Ready() {
			answer = "ERR\r\n"
		}
		v.c.Write([]byte(answer))
		v.idle.Stop()
		v.idle = v.f.Loop.After(pingIdle, v.close)
		v.c.Spare(v.close)
		return nil
	}
	open, err := parseOpen(v.f.Core.Settings, text)
	if err != nil {
		return err
	}
	if v.f.ids[open.id] != nil || v.f.elsewhere[open.id] {
		return fmt.Errorf("%w: the id of an open request", errSyntax)
	}
	v.idle.Stop()
	v.c.Spare(nil)
	v.phase, v.open = placing, open
	delete(v.f.fresh, v)
	v.f.ids[open.id] = v
	if v.f.Loop.Short() {
		v.Reject(crowdAfter)
		return nil
	}
	v.f.Core.Open(open.request, v)
	return nil
}

// Drained is told by the loop.
func (v *clientConn) Drained() {
	if v.phase == standing {
		v.upstream.c.Resume()
	}
}

// End is told by the loop.
func (v *clientConn) End(err error) {
	switch v.phase {
	case standing:
		// The flow ends in the same manner.
		end := v.upstream.c.Finish
		if err != io.EOF {
			end = v.upstream.c.Reset
		}
		v.close()
		end()
		v.f.Core.Left(v.id)
	case placing:
		v.close()
		v.f.Core.Left(v.id)
	default:
		v.close()
	}
}

// Send starts a server-side flow.
func (v *clientConn) Send(id core.ID, to *core.Member, try int, wait time.Duration) {
	v.id = id
	s := &upstream{v: v, member: to, try: try, start: v.open.line(wait), report: policy.NoReport}
	v.upstream = s
	s.c = v.f.Loop.Dial(to.Addr, min(v.f.connectWithin, wait), s)
}

// Cancel abandons it.
func (v *clientConn) Cancel(int) {
	if v.upstream != nil {
		v.upstream.c.Reset()
		v.upstream = nil
	}
}

// Reject answers that coming again is harmless.
func (v *clientConn) Reject(after time.Duration) {
	answer := "BUSY\r\n"
	if after > 0 {
		answer = "BUSY " + strconv.FormatInt(max(1, after.Milliseconds()), 10) + "\r\n"
	}
	v.c.Write([]byte(answer))
	v.close()
}

// Fail answers without any promise.
func (v *clientConn) Fail() {
	v.c.Write([]byte("ERR\r\n"))
	v.close()
}

// Move asks the client to come again: it puts MOVE between two lines and ends
// both sides.
func (v *clientConn) Move() {
	if v.phase != standing || v.moving != nil {
		return
	}
	if !v.within {
		v.c.Write([]byte("MOVE\r\n"))
		v.endBoth()
		return
	}
	v.moving = v.f.Loop.After(moveWithin, v.endBoth)
	delete(v.f.open, v)
}

func (v *clientConn) endBoth() {
	v.upstream.c.Finish()
	v.close()
}

// close is the one end of a client connection; its client sees a polite end.
func (v *clientConn) close() {
	v.idle.Stop()
	v.moving.Stop()
	v.phase = over
	delete(v.f.open, v)
	delete(v.f.fresh, v)
	if v.f.ids[v.open.id] == v {
		delete(v.f.ids, v.open.id)
	}
	v.c.Finish()
}

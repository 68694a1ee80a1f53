// Package line is the front for the platform's protocol: lines of text between
// clients, the relay and pool members. A virtual server is the client's side of a
// connection (clientConn), a server-side flow one attempt at a member (upstream). See docs/design.md,
// "The line front".
package line

import (
	"bytes"
	"cmp"
	"io"
	"time"

	"github.com/sirupsen/logrus"

	"dahliarudder/internal/core"
	"dahliarudder/internal/netloop"
	"dahliarudder/internal/settings"
	"dahliarudder/policy"
)

// Times of this front.
const (
	firstWithin = 2 * time.Second        // for a first line to come; 3 s are allowed
	pingIdle    = 30 * time.Second       // a connection that was answered PONG may stay without a request
	clientGone  = 30 * time.Second       // a client that sends no line for so long; each sends one every 2 s
	sweepEvery  = 250 * time.Millisecond // how often that is looked for
	MoveTimeout = 500 * time.Millisecond // for the line to end after which MOVE may stand; a stop waits for it too
	crowdAfter  = 500 * time.Millisecond // when a client may come again that found no descriptors
)

// Front serves the platform's protocol.
type Front struct {
	Loop *netloop.Loop
	Core *core.Core
	Log  logrus.FieldLogger

	connectWithin time.Duration
	probeIdle     time.Duration            // how long a probe's connection is kept
	open          map[*clientConn]struct{} // whose flow stands
	fresh         map[*clientConn]struct{} // whose first line has not come
	ids           map[uint64]*clientConn   // by the client's id, from its first line to its end
	elsewhere     map[uint64]bool          // ids of requests that another process of this relay holds
	probes        map[policy.ServerID]*probe
	refused       [causes]refusals
}

// New makes a front on the core.
func New(loop *netloop.Loop, c *core.Core, log logrus.FieldLogger) *Front {
	f := &Front{Loop: loop, Core: c, Log: log, connectWithin: c.PolicySettings().ConnectTimeout,
		probeIdle: time.Duration(probeIdle * float64(cmp.Or(settings.Span(c.Settings.Limits.Keepalive), keepalive))),
		open:      map[*clientConn]struct{}{}, fresh: map[*clientConn]struct{}{}, elsewhere: map[uint64]bool{}, ids: map[uint64]*clientConn{}, probes: map[policy.ServerID]*probe{}}
	loop.After(sweepEvery, f.sweep)
	return f
}

// Accept serves a client's connection.
func (f *Front) Accept(c *netloop.Conn) { f.accept(c, false) }

// accept serves a connection that is new, or that another process has answered PONG.
func (f *Front) accept(c *netloop.Conn, resting bool) {
	v := &clientConn{f: f, c: c}
	f.fresh[v] = struct{}{}
	if v.timeOut(firstWithin); resting {
		v.state = clientResting
		v.timeOut(pingIdle)
	}
	v.spare()
	c.SetEarlyEOF(true)
	c.SetHandler(v)
}

// OpenRequests is how many clients have asked and are not done with: they wait, their flow stands, or it waits for the end
// of a line to be moved.
func (f *Front) OpenRequests() int { return len(f.ids) }

// CloseIdle ends the connections on which nothing was asked yet. BUSY answers who asks in that very moment.
func (f *Front) CloseIdle() {
	for v := range f.fresh {
		v.retryAfter = f.Core.RetryAfter(crowdAfter)
		v.on(clientStopped)
	}
}

// sweep moves clients whose member has gone silent, and ends flows whose client
// has: a machine that vanished ends no connection.
func (f *Front) sweep() {
	now := f.Loop.Now()
	for v := range f.open {
		if s := v.upstream; s.silent(now) {
			f.Log.WithField("member", s.member.Name).Warn("member has gone silent")
			v.Migrate()
			f.Core.AttemptEnded(v.id, s.try, policy.Reset, s.report)
		} else if s.ended(now) {
			s.End(io.EOF)
		} else if s.gone(now) {
			v.on(clientEnded)
		}
	}
	f.Loop.After(sweepEvery, f.sweep)
}

// cutLine takes a line off b. Without one, used is 0 and err tells if none can
// come any more.
func cutLine(b []byte) (text string, used int, err error) {
	end := bytes.IndexByte(b[:min(len(b), maxLine)], '\n')
	if end < 0 {
		if len(b) >= maxLine {
			err = malformed(tooLong, "over %d bytes", maxLine)
		}
		return "", 0, err
	}
	if end == 0 || b[end-1] != '\r' {
		return "", end + 1, malformed(noCRLF, "no CRLF")
	}
	return string(b[:end-1]), end + 1, nil
}

// Package line is the front for the platform's line protocol: lines of text between clients, the
// relay and pool members. A clientConn is a client's connection, and the core's Downstream for its
// request. An upstream is one attempt at a member and, once the flow is open, the member's side of
// it. See docs/design.md, "The line front".
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

// Timeouts and intervals of this front.
const (
	firstLineTimeout     = 2 * time.Second        // for a complete first line; the protocol allows 3 s
	idleTimeout          = 30 * time.Second       // for the next line on a connection that was answered PONG
	clientSilenceTimeout = 30 * time.Second       // for the next bytes of a client, which sends a line every 2 s
	sweepInterval        = 250 * time.Millisecond // between searches for silent clients and members
	MoveTimeout          = 500 * time.Millisecond // for the end of a partial line before MOVE; a shutdown waits as long
	shortageRetryAfter   = 500 * time.Millisecond // sent with BUSY to clients that are rejected for lack of descriptors
)

// Front serves clients that speak the platform's line protocol.
type Front struct {
	Loop *netloop.Loop
	Core *core.Core
	Log  logrus.FieldLogger

	connectTimeout   time.Duration
	checkIdleTimeout time.Duration            // how long the idle connection of a health check is reused
	flows            map[*clientConn]struct{} // clients with an established flow
	idle             map[*clientConn]struct{} // clients that have not sent a request yet
	requests         map[uint64]*clientConn   // open requests by the client's id
	remoteIDs        map[uint64]bool          // client ids of the open requests of another process of this relay
	healthChecks     map[policy.MemberID]*healthCheck
	rejections       [causeCount]rejectionCount
}

// New returns a front that hands its requests to the core c.
func New(loop *netloop.Loop, c *core.Core, log logrus.FieldLogger) *Front {
	f := &Front{Loop: loop, Core: c, Log: log, connectTimeout: c.PolicySettings().ConnectTimeout,
		checkIdleTimeout: time.Duration(checkIdleFraction * float64(cmp.Or(settings.Duration(c.Settings.Limits.Keepalive), defaultKeepalive))),
		flows:            map[*clientConn]struct{}{}, idle: map[*clientConn]struct{}{}, remoteIDs: map[uint64]bool{},
		requests: map[uint64]*clientConn{}, healthChecks: map[policy.MemberID]*healthCheck{}}
	loop.After(sweepInterval, f.sweep)
	return f
}

// Accept serves a client's connection.
func (f *Front) Accept(conn *netloop.Conn) { f.accept(conn, false) }

// accept serves a new connection, or one that another process has answered PONG.
func (f *Front) accept(conn *netloop.Conn, afterPong bool) {
	c := &clientConn{front: f, conn: conn}
	f.idle[c] = struct{}{}
	if c.startTimer(firstLineTimeout); afterPong {
		c.state = clientIdle
		c.startTimer(idleTimeout)
	}
	c.allowShedding()
	conn.SetEarlyEOF(true)
	conn.SetHandler(c)
}

// OpenRequests returns the number of open requests: those that are queued, have an attempt in
// flight, have an established flow, or are being migrated.
func (f *Front) OpenRequests() int { return len(f.requests) }

// CloseIdle closes the connections on which no request has arrived. It answers BUSY first, because
// a request may be on its way.
func (f *Front) CloseIdle() {
	for c := range f.idle {
		c.retryAfter = f.Core.RetryAfter(shortageRetryAfter)
		c.handle(eventShutdown)
	}
}

// sweep migrates clients whose member has stopped answering, and closes flows whose client has
// stopped sending. A host that fails does not close its connections, so no other event reports it.
func (f *Front) sweep() {
	now := f.Loop.Now()
	for c := range f.flows {
		if u := c.upstream; u.memberSilent(now) {
			f.Log.WithField("member", u.member.Name).Warn("member did not answer the client's lines; migrating the client")
			c.Migrate()
			f.Core.AttemptEnded(c.requestID, u.attempt, policy.Reset, u.report)
		} else if u.memberLingers(now) {
			u.End(io.EOF)
		} else if u.clientSilent(now) {
			c.handle(eventClientEOF)
		}
	}
	f.Loop.After(sweepInterval, f.sweep)
}

// cutLine cuts the first line off b and returns its text, without CRLF, and the number of bytes
// used. If b holds no complete line, used is 0; err is set if the line is already too long.
func cutLine(b []byte) (text string, used int, err error) {
	end := bytes.IndexByte(b[:min(len(b), maxLineBytes)], '\n')
	if end < 0 {
		if len(b) >= maxLineBytes {
			err = malformedf(tooLong, "longer than %d bytes", maxLineBytes)
		}
		return "", 0, err
	}
	if end == 0 || b[end-1] != '\r' {
		return "", end + 1, malformedf(noCRLF, "does not end in CRLF")
	}
	return string(b[:end-1]), end + 1, nil
}

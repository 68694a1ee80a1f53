// Package line is the front for the platform's protocol: lines of text between
// clients, the relay and pool members. A clientConn is the connection of a client, and the core's
// Downstream for its request; an upstream is one attempt at a member. See docs/design.md, "The line front".
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
	firstLineTimeout     = 2 * time.Second        // for a first line to come; 3 s are allowed
	idleTimeout          = 30 * time.Second       // for a request on a connection that was answered PONG
	clientSilenceTimeout = 30 * time.Second       // after which a client that sends nothing has gone; each sends a line every 2 s
	sweepInterval        = 250 * time.Millisecond // between searches for silent clients and members
	MoveTimeout          = 500 * time.Millisecond // for the member to end the line that MOVE has to follow; a shutdown waits for it too
	shortageRetryAfter   = 500 * time.Millisecond // sent with BUSY to clients that are rejected for want of descriptors
)

// Front serves the platform's protocol.
type Front struct {
	Loop *netloop.Loop
	Core *core.Core
	Log  logrus.FieldLogger

	connectTimeout   time.Duration
	checkIdleTimeout time.Duration            // how long the connection of a health check is kept for the next one
	flows            map[*clientConn]struct{} // whose flow is established
	idle             map[*clientConn]struct{} // no request has come yet
	requests         map[uint64]*clientConn   // by the client's id, from its first line to its end
	remoteIDs        map[uint64]bool          // client ids of the open requests of another process of this relay
	healthChecks     map[policy.MemberID]*healthCheck
	rejections       [causeCount]rejectionCount
}

// New returns a front that places requests by the core.
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

// accept serves a connection that is new, or that another process has answered PONG.
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

// OpenRequests is how many requests are open: queued, with an attempt in flight, with an established flow, or about to be
// migrated.
func (f *Front) OpenRequests() int { return len(f.requests) }

// CloseIdle closes the connections on which no request has come. It answers BUSY first, for a request that is just on
// its way.
func (f *Front) CloseIdle() {
	for c := range f.idle {
		c.retryAfter = f.Core.RetryAfter(shortageRetryAfter)
		c.handle(eventShutdown)
	}
}

// sweep migrates clients whose member has gone silent, and closes flows whose client has. A host that is lost
// closes no connection.
func (f *Front) sweep() {
	now := f.Loop.Now()
	for c := range f.flows {
		if u := c.upstream; u.memberSilent(now) {
			f.Log.WithField("member", u.member.Name).Warn("member has gone silent")
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

// cutLine reads one line off b. If b holds no whole line, used is 0, and err is set if none can
// follow any more.
func cutLine(b []byte) (text string, used int, err error) {
	end := bytes.IndexByte(b[:min(len(b), maxLineBytes)], '\n')
	if end < 0 {
		if len(b) >= maxLineBytes {
			err = malformedf(tooLong, "over %d bytes", maxLineBytes)
		}
		return "", 0, err
	}
	if end == 0 || b[end-1] != '\r' {
		return "", end + 1, malformedf(noCRLF, "no CRLF")
	}
	return string(b[:end-1]), end + 1, nil
}

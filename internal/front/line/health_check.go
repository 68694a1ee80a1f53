package line

import (
	"errors"
	"strings"
	"time"

	"dahliarudder/internal/core"
	"dahliarudder/internal/netloop"
	"dahliarudder/policy"
)

const (
	checkTimeout = 400 * time.Millisecond // for the answer, connecting included
	// checkIdleFraction is the fraction of the keepalive setting for which an idle connection to a
	// member is reused. If the member closes a connection just as it is reused, the check needs a
	// second connection.
	checkIdleFraction = 0.8
	defaultKeepalive  = 5 * time.Second // if the settings have no keepalive
)

// healthCheck checks the health of one member over a connection that it reuses.
type healthCheck struct {
	front *Front
	id    policy.MemberID
	addr  string
	conn  *netloop.Conn
	state healthCheckState
	timer *netloop.Timer // time limit for the answer, or for the idle connection
}

// CheckHealth requests a load report from a member. The result goes to the core's ProbeResult. It
// does nothing if a check of the member is already pending.
func (f *Front) CheckHealth(member *core.Member) {
	h := f.healthChecks[member.ID]
	if h == nil {
		h = &healthCheck{front: f, id: member.ID}
		f.healthChecks[member.ID] = h
	}
	if h.state.isPending() {
		return
	}
	h.timer.Stop()
	h.timer = f.Loop.After(checkTimeout, func() { h.finish(policy.Timeout, policy.NoReport) })
	if h.state == checkConnIdle && h.addr == member.Addr {
		h.state = h.state.next(eventCheckDueReusable)
		h.conn.Write(statsLine)
		return
	}
	h.closeConn()
	h.addr = member.Addr
	h.state = h.state.next(eventCheckDue)
	h.dial()
}

func (h *healthCheck) dial() { h.conn = h.front.Loop.Dial(h.addr, h.front.connectTimeout, h) }

func (h *healthCheck) closeConn() {
	if h.conn != nil {
		h.conn.Finish()
		h.conn = nil
	}
}

// closeIdle closes a connection that is not used for a check at the moment.
func (h *healthCheck) closeIdle() {
	h.state = h.state.next(eventCheckIdleTimeout)
	h.closeConn()
	h.remove()
}

// remove removes a health check without a connection from the front.
func (h *healthCheck) remove() {
	if h.front.healthChecks[h.id] == h {
		delete(h.front.healthChecks, h.id)
	}
}

// Open implements netloop.Handler.
func (h *healthCheck) Open() {
	if !h.front.Core.Reachable(h.id) {
		h.finish(policy.NotSent, policy.NoReport)
		return
	}
	h.state = h.state.next(eventCheckConnected)
	h.conn.Write(statsLine)
}

// Drained implements netloop.Handler.
func (h *healthCheck) Drained() {}

// Data implements netloop.Handler.
func (h *healthCheck) Data(b []byte) int {
	text, n, err := cutLine(b)
	if n == 0 && err == nil {
		return 0
	}
	if !h.state.isPending() { // unsolicited: it would be mistaken for the answer to the next check
		h.timer.Stop()
		h.closeIdle()
		return len(b)
	}
	command, rest, _ := strings.Cut(text, " ")
	switch {
	case err != nil:
		h.finish(policy.Error, policy.NoReport)
	case command == commandPong:
		h.report(policy.OK, parseReport(rest), n == len(b))
	case command == commandBusy:
		h.finish(policy.Full, parseReport(rest))
	default:
		h.finish(policy.Error, parseReport(rest))
	}
	return n
}

// End implements netloop.Handler.
func (h *healthCheck) End(err error) {
	h.closeConn()
	if !h.state.isPending() {
		h.timer.Stop()
		h.state = h.state.next(eventCheckConnLost)
		h.remove()
		return
	}
	if h.state == checkPendingReused && !isLocalShortage(err) && h.front.Core.Reachable(h.id) {
		h.state = h.state.next(eventCheckConnLostRetryable)
		h.dial()
		return
	}
	h.finish(h.connLostResult(err), policy.NoReport)
}

// isLocalShortage reports whether a connection failed because this host is short of descriptors or
// memory.
func isLocalShortage(err error) bool { return errors.Is(err, netloop.ErrNoDescriptors) }

// connLostResult returns the result of a pending health check whose connection was lost.
func (h *healthCheck) connLostResult(err error) policy.Result {
	switch {
	case isLocalShortage(err):
		return policy.NotSent
	case errors.Is(err, netloop.ErrDialTimeout): // the member did not respond at all
		return policy.Timeout
	case h.state == checkDialing:
		return policy.ConnectFailed
	}
	return policy.Reset
}

// finish reports a result to the core and closes the connection.
func (h *healthCheck) finish(result policy.Result, report policy.Report) {
	h.report(result, report, false)
}

// report reports a result to the core. With reuse, the connection is kept for the next check. Only a
// connection that brought PONG and nothing after it may be reused.
func (h *healthCheck) report(result policy.Result, report policy.Report, reuse bool) {
	h.timer.Stop()
	if reuse {
		h.state = h.state.next(eventCheckAnswered)
		h.timer = h.front.Loop.After(h.front.checkIdleTimeout, h.closeIdle)
	} else {
		h.state = h.state.next(eventCheckFailed)
		h.closeConn()
		h.remove()
	}
	h.front.Core.ProbeResult(h.id, result, report)
}

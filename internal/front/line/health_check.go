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
	checkTimeout = 400 * time.Millisecond
	// checkIdleFraction is the fraction of the settings' keepalive for which an idle connection to a member is kept: one
	// that the member closes just as it is used costs a second connection.
	checkIdleFraction = 0.8
	defaultKeepalive  = 5 * time.Second // where the settings have none
)

// healthCheck is the connection on which the health of one member is checked.
type healthCheck struct {
	front *Front
	id    policy.MemberID
	addr  string
	conn  *netloop.Conn
	state healthCheckState
	timer *netloop.Timer // for the answer, or for the idle connection
}

// CheckHealth requests a load report from a member; the answer goes to the core.
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

// closeIdle closes a connection that has been idle for long enough.
func (h *healthCheck) closeIdle() {
	h.state = h.state.next(eventCheckIdleTimeout)
	h.closeConn()
	h.remove()
}

// remove takes a health check without a connection off the front's list.
func (h *healthCheck) remove() {
	if h.front.healthChecks[h.id] == h {
		delete(h.front.healthChecks, h.id)
	}
}

// Open implements netloop's handler.
func (h *healthCheck) Open() {
	if !h.front.Core.Reachable(h.id) {
		h.finish(policy.NotSent, policy.NoReport)
		return
	}
	h.state = h.state.next(eventCheckConnected)
	h.conn.Write(statsLine)
}

// Drained implements netloop's handler.
func (h *healthCheck) Drained() {}

// Data implements netloop's handler.
func (h *healthCheck) Data(b []byte) int {
	text, n, err := cutLine(b)
	if n == 0 && err == nil {
		return 0
	}
	if !h.state.isPending() { // unsolicited; it would be taken for the answer to the next check
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

// End implements netloop's handler.
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

// isLocalShortage reports whether a connection failed because this host is short of descriptors or memory.
func isLocalShortage(err error) bool { return errors.Is(err, netloop.ErrNoDescriptors) }

// connLostResult is the result of a health check whose connection was lost.
func (h *healthCheck) connLostResult(err error) policy.Result {
	switch {
	case isLocalShortage(err):
		return policy.NotSent
	case errors.Is(err, netloop.ErrDialTimeout): // the member does not respond at all
		return policy.Timeout
	case h.state == checkDialing:
		return policy.ConnectFailed
	}
	return policy.Reset
}

// finish reports a result after which the connection is not reused.
func (h *healthCheck) finish(result policy.Result, report policy.Report) {
	h.report(result, report, false)
}

// report reports the result to the core. A connection that brought exactly one good answer is kept for the next check.
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

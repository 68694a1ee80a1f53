package nats

import (
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"

	"dahliarudder/internal/core"
	"dahliarudder/internal/netloop"
	"dahliarudder/internal/settings"
	"dahliarudder/policy"
)

// healthCheck is one health check of a member, on a separate connection.
type healthCheck struct {
	front  *Front
	id     policy.MemberID
	addr   string
	conn   *netloop.Conn
	reply  string // reply subject of the request for a load report
	sentAt time.Duration
	timer  *netloop.Timer
}

// healthCheckReplyPrefix is the first part of the reply subject of a request for a load report. The front's
// instance and the number of the health check follow, since all members share one space of subjects: each
// would get the reports of the others.
const healthCheckReplyPrefix = "_dahlia.load.reply"

// CheckHealth requests a load report from a member and passes the result to the core. For a member
// without load reports, the load is estimated.
func (f *Front) CheckHealth(to *core.Member) {
	if f.noHealthChecks {
		f.Core.ProbeResult(to.ID, policy.OK, f.loadEstimate.Report(to.ID, f.Core.FlowCount(to.ID)))
		return
	}
	if f.healthChecks[to.ID] != nil {
		return
	}
	f.lastCheckID++
	h := &healthCheck{front: f, id: to.ID, addr: to.Addr, reply: fmt.Sprintf("%s.%s.%d", healthCheckReplyPrefix, f.instance, f.lastCheckID)}
	f.healthChecks[to.ID] = h
	h.timer = f.Loop.After(healthCheckTimeout, func() { h.finish(policy.Timeout, policy.NoReport) })
	h.conn = f.Loop.Dial(to.Addr, f.Core.PolicySettings().ConnectTimeout, h)
}

// Open implements netloop's handler.
func (h *healthCheck) Open() {
	h.front.startTLSFirst(h.conn, h.addr, healthCheckTimeout)
}

// Drained implements netloop's handler.
func (h *healthCheck) Drained() {}

// Data implements netloop's handler.
func (h *healthCheck) Data(b []byte) int {
	used := 0
	for h.front.healthChecks[h.id] == h {
		m, n, err := parseCommand(b[used:], maxControlLine, netloop.DefaultReadLimit)
		if err != nil {
			h.finish(policy.Error, policy.NoReport)
		}
		if n == 0 {
			return used
		}
		used += n
		h.handle(&m)
	}
	return len(b)
}

func (h *healthCheck) handle(m *command) {
	switch m.op {
	case opInfo:
		h.front.updateMemberInfo(h.id, m.args)
		info := append([]byte(nil), m.args...)
		cfg := h.front.memberTLS(h.addr)
		if cfg == nil || h.conn.IsTLS() {
			h.sendRequest(info)
			return
		}
		h.conn.PauseReading()
		h.front.Loop.After(0, func() {
			if h.front.healthChecks[h.id] == h {
				h.conn.StartTLS(cfg, true, healthCheckTimeout, func(tls.ConnectionState) { h.sendRequest(info) })
			}
		})
	case opPong:
		if latency, valid := h.front.responseTime(h.sentAt); valid {
			h.front.loadEstimate.ObserveLatency(h.id, latency)
		}
		if h.front.LoadSubject == "" {
			h.finishEstimated()
		}
	case opMsg:
		h.finish(policy.OK, h.front.loadEstimate.FillMissing(parseReport(m.payload)))
	case opHMsg: // status 503: nobody subscribes to LoadSubject, so the member has no load reports
		h.finishEstimated()
	case opErr:
		h.finish(policy.Error, policy.NoReport)
	}
}

// sendRequest sends CONNECT, the request for the load report if LoadSubject is set, and PING.
func (h *healthCheck) sendRequest(info []byte) {
	options := map[string]any{"verbose": false, "headers": true, "no_responders": true, "lang": "dahliarudder", "version": "1"}
	if err := h.front.addCredentials(options, info); err != nil {
		h.finish(policy.NotSent, policy.NoReport)
		return
	}
	text, _ := json.Marshal(options)
	out := fmt.Sprintf("CONNECT %s\r\n", text)
	if h.front.LoadSubject != "" {
		out += fmt.Sprintf("SUB %s 1\r\nPUB %s %s 0\r\n\r\n", h.reply, h.front.LoadSubject, h.reply)
	}
	h.sentAt = h.front.Loop.Now()
	h.conn.Queue([]byte(out + pingLine))
}

// finishEstimated ends the health check with the estimated load.
func (h *healthCheck) finishEstimated() {
	h.finish(policy.OK, h.front.loadEstimate.Report(h.id, h.front.Core.FlowCount(h.id)))
}

// End implements netloop's handler.
func (h *healthCheck) End(err error) {
	switch {
	case errors.Is(err, netloop.ErrNoDescriptors):
		h.finish(policy.NotSent, policy.NoReport)
	case errors.Is(err, netloop.ErrDialTimeout): // the member does not respond at all
		h.finish(policy.Timeout, policy.NoReport)
	case errors.Is(err, io.EOF):
		h.finish(policy.Reset, policy.NoReport)
	default:
		h.finish(policy.ConnectFailed, policy.NoReport)
	}
}

// finish reports the result to the core and closes the connection. Only the first call has an effect.
func (h *healthCheck) finish(result policy.Result, report policy.Report) {
	if h.front.healthChecks[h.id] != h {
		return
	}
	delete(h.front.healthChecks, h.id)
	h.timer.Stop()
	h.conn.Finish()
	h.front.Core.ProbeResult(h.id, result, report)
}

// parseReport parses a load report, a JSON object of numbers.
func parseReport(text []byte) policy.Report {
	values := map[string]float64{}
	if json.Unmarshal(text, &values) != nil {
		return policy.NoReport
	}
	return settings.Report(values)
}

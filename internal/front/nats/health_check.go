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

// healthCheck asks one member for its load, on a connection of its own.
type healthCheck struct {
	front  *Front
	id     policy.ServerID
	addr   string
	conn   *netloop.Conn
	sentAt time.Duration
	timer  *netloop.Timer
}

const checkReplySubject = "_dahlia.load.reply"

// CheckHealth asks a member for its load; the answer goes to the core. Of a member that reports
// none, the relay's own view is the report.
func (f *Front) CheckHealth(to *core.Member) {
	if f.noHealthChecks {
		f.Core.ProbeResult(to.ID, policy.OK, f.loadEstimate.Report(to.ID, f.Core.FlowCount(to.ID)))
		return
	}
	if f.healthChecks[to.ID] != nil {
		return
	}
	p := &healthCheck{front: f, id: to.ID, addr: to.Addr}
	f.healthChecks[to.ID] = p
	p.timer = f.Loop.After(checkTimeout, func() { p.finish(policy.Timeout, policy.NoReport) })
	p.conn = f.Loop.Dial(to.Addr, f.Core.PolicySettings().ConnectTimeout, p)
}

// Open is told by the loop.
func (p *healthCheck) Open() {
	if cfg := p.front.memberTLS(p.addr); cfg != nil && p.front.MemberTLS.HandshakeFirst {
		p.conn.StartTLS(cfg, true, checkTimeout, func(tls.ConnectionState) {})
	}
}

// Drained is told by the loop.
func (p *healthCheck) Drained() {}

// Data is told by the loop.
func (p *healthCheck) Data(b []byte) int {
	used := 0
	for p.front.healthChecks[p.id] == p {
		m, n, err := parseCommand(b[used:], maxControl, netloop.DefaultReadLimit)
		if err != nil {
			p.finish(policy.Error, policy.NoReport)
		}
		if n == 0 {
			return used
		}
		used += n
		p.handle(&m)
	}
	return len(b)
}

func (p *healthCheck) handle(m *command) {
	switch m.op {
	case opInfo:
		p.front.updateMemberInfo(p.id, m.args)
		info := append([]byte(nil), m.args...)
		cfg := p.front.memberTLS(p.addr)
		if cfg == nil || p.conn.IsTLS() {
			p.sendRequest(info)
			return
		}
		p.conn.PauseReading()
		p.front.Loop.After(0, func() {
			if p.front.healthChecks[p.id] == p {
				p.conn.StartTLS(cfg, true, checkTimeout, func(tls.ConnectionState) { p.sendRequest(info) })
			}
		})
	case opPong:
		if took, known := p.front.answerTime(p.sentAt); known {
			p.front.loadEstimate.ObserveLatency(p.id, took)
		}
		if p.front.LoadSubject == "" {
			p.finishEstimated()
		}
	case opMsg:
		p.finish(policy.OK, p.front.loadEstimate.FillMissing(parseReport(m.payload)))
	case opHMsg: // nobody listens there
		p.finishEstimated()
	case opErr:
		p.finish(policy.Error, policy.NoReport)
	}
}

// sendRequest logs in and asks for the load.
func (p *healthCheck) sendRequest(info []byte) {
	options := map[string]any{"verbose": false, "headers": true, "no_responders": true, "lang": "dahliarudder", "version": "1"}
	if err := p.front.addCredentials(options, info); err != nil {
		p.finish(policy.NotSent, policy.NoReport)
		return
	}
	text, _ := json.Marshal(options)
	out := fmt.Sprintf("CONNECT %s\r\n", text)
	if p.front.LoadSubject != "" {
		out += fmt.Sprintf("SUB %s 1\r\nPUB %s %s 0\r\n\r\n", checkReplySubject, p.front.LoadSubject, checkReplySubject)
	}
	p.sentAt = p.front.Loop.Now()
	p.conn.Queue([]byte(out + "PING\r\n"))
}

// finishEstimated reports what the relay sees itself.
func (p *healthCheck) finishEstimated() {
	p.finish(policy.OK, p.front.loadEstimate.Report(p.id, p.front.Core.FlowCount(p.id)))
}

// End is told by the loop.
func (p *healthCheck) End(err error) {
	switch {
	case errors.Is(err, netloop.ErrNoDescriptors):
		p.finish(policy.NotSent, policy.NoReport)
	case errors.Is(err, netloop.ErrDialTimeout): // it says nothing at all
		p.finish(policy.Timeout, policy.NoReport)
	case err == io.EOF:
		p.finish(policy.Reset, policy.NoReport)
	default:
		p.finish(policy.ConnectFailed, policy.NoReport)
	}
}

func (p *healthCheck) finish(result policy.Result, report policy.Report) {
	if p.front.healthChecks[p.id] != p {
		return
	}
	delete(p.front.healthChecks, p.id)
	p.timer.Stop()
	p.conn.Finish()
	p.front.Core.ProbeResult(p.id, result, report)
}

// parseReport reads a load report, a JSON object of numbers.
func parseReport(text []byte) policy.Report {
	values := map[string]float64{}
	if json.Unmarshal(text, &values) != nil {
		return policy.NoReport
	}
	return settings.Report(values)
}

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

// probe asks one member for its load, on a connection of its own.
type probe struct {
	f      *Front
	id     policy.ServerID
	addr   string
	c      *netloop.Conn
	asked  time.Duration
	within *netloop.Timer
}

const probeReply = "_dahlia.load.reply"

// CheckHealth asks a member for its load; the answer goes to the core. Of a member that reports
// none, the relay's own view is the report.
func (f *Front) CheckHealth(to *core.Member) {
	if f.unprobed {
		f.Core.ProbeResult(to.ID, policy.OK, f.gauge.Report(to.ID, f.Core.FlowCount(to.ID)))
		return
	}
	if f.probes[to.ID] != nil {
		return
	}
	p := &probe{f: f, id: to.ID, addr: to.Addr}
	f.probes[to.ID] = p
	p.within = f.Loop.After(probeWithin, func() { p.done(policy.Timeout, policy.NoReport) })
	p.c = f.Loop.Dial(to.Addr, f.Core.PolicySettings().ConnectTimeout, p)
}

// Open is told by the loop.
func (p *probe) Open() {
	if cfg := p.f.memberTLS(p.addr); cfg != nil && p.f.MemberTLS.HandshakeFirst {
		p.c.StartTLS(cfg, true, probeWithin, func(tls.ConnectionState) {})
	}
}

// Drained is told by the loop.
func (p *probe) Drained() {}

// Data is told by the loop.
func (p *probe) Data(b []byte) int {
	used := 0
	for p.f.probes[p.id] == p {
		m, n, err := parse(b[used:], maxControl, netloop.DefaultReadLimit)
		if err != nil {
			p.done(policy.Error, policy.NoReport)
		}
		if n == 0 {
			return used
		}
		used += n
		p.take(&m)
	}
	return len(b)
}

func (p *probe) take(m *command) {
	switch m.op {
	case opInfo:
		p.f.hear(p.id, m.rest)
		info := append([]byte(nil), m.rest...)
		cfg := p.f.memberTLS(p.addr)
		if cfg == nil || p.c.IsTLS() {
			p.ask(info)
			return
		}
		p.c.PauseReading()
		p.f.Loop.After(0, func() {
			if p.f.probes[p.id] == p {
				p.c.StartTLS(cfg, true, probeWithin, func(tls.ConnectionState) { p.ask(info) })
			}
		})
	case opPong:
		if took, known := p.f.took(p.asked); known {
			p.f.gauge.ObserveLatency(p.id, took)
		}
		if p.f.LoadSubject == "" {
			p.own()
		}
	case opMsg:
		p.done(policy.OK, p.f.gauge.FillMissing(parseReport(m.payload)))
	case opHMsg: // nobody listens there
		p.own()
	case opErr:
		p.done(policy.Error, policy.NoReport)
	}
}

// ask logs in and asks for the load.
func (p *probe) ask(info []byte) {
	options := map[string]any{"verbose": false, "headers": true, "no_responders": true, "lang": "dahliarudder", "version": "1"}
	if err := p.f.logIn(options, info); err != nil {
		p.done(policy.NotSent, policy.NoReport)
		return
	}
	text, _ := json.Marshal(options)
	out := fmt.Sprintf("CONNECT %s\r\n", text)
	if p.f.LoadSubject != "" {
		out += fmt.Sprintf("SUB %s 1\r\nPUB %s %s 0\r\n\r\n", probeReply, p.f.LoadSubject, probeReply)
	}
	p.asked = p.f.Loop.Now()
	p.c.Queue([]byte(out + "PING\r\n"))
}

// own reports what the relay sees itself.
func (p *probe) own() { p.done(policy.OK, p.f.gauge.Report(p.id, p.f.Core.FlowCount(p.id))) }

// End is told by the loop.
func (p *probe) End(err error) {
	switch {
	case errors.Is(err, netloop.ErrNoDescriptors):
		p.done(policy.NotSent, policy.NoReport)
	case errors.Is(err, netloop.ErrDialTimeout): // it says nothing at all
		p.done(policy.Timeout, policy.NoReport)
	case err == io.EOF:
		p.done(policy.Reset, policy.NoReport)
	default:
		p.done(policy.ConnectFailed, policy.NoReport)
	}
}

func (p *probe) done(result policy.Result, report policy.Report) {
	if p.f.probes[p.id] != p {
		return
	}
	delete(p.f.probes, p.id)
	p.within.Stop()
	p.c.Finish()
	p.f.Core.ProbeResult(p.id, result, report)
}

// parseReport reads a load report, a JSON object of numbers.
func parseReport(text []byte) policy.Report {
	values := map[string]float64{}
	if json.Unmarshal(text, &values) != nil {
		return policy.NoReport
	}
	return settings.Report(values)
}

package line

import (
	"errors"
	"io"
	"strings"
	"time"

	"dahliarudder/internal/core"
	"dahliarudder/internal/netloop"
	"dahliarudder/policy"
)

// This file is the probes of members.

const (
	probeWithin = 400 * time.Millisecond
	// probeIdle is the part of the settings' keepalive for which an idle connection to a member is kept: one that
	// the member ends just as it is used costs a second connection.
	probeIdle, keepalive = 0.8, 5 * time.Second // the latter where the settings do not say
)

// probe is the connection on which one member is probed.
type probe struct {
	f      *Front
	id     policy.ServerID
	addr   string
	c      *netloop.Conn
	asked  bool // an answer is owed
	reused bool // and the connection has brought one before
	within *netloop.Timer
}

// Probe asks a member for its load; the answer goes to the core.
func (f *Front) Probe(to *core.Member) {
	p := f.probes[to.ID]
	if p == nil {
		p = &probe{f: f, id: to.ID}
		f.probes[to.ID] = p
	}
	if p.asked {
		return
	}
	p.asked = true
	p.within.Stop()
	p.within = f.Loop.After(probeWithin, func() { p.done(policy.Timeout, policy.NoReport) })
	if p.c != nil && p.addr == to.Addr {
		p.reused = true
		p.c.Write(stats)
		return
	}
	p.hangUp()
	p.addr = to.Addr
	p.dial()
}

var stats = []byte("STATS\r\n")

func (p *probe) dial() {
	p.reused = false
	p.c = p.f.Loop.Dial(p.addr, p.f.connectWithin, p)
}

func (p *probe) hangUp() {
	if p.c != nil {
		p.c.Finish()
		p.c = nil
	}
}

// Open is told by the loop.
func (p *probe) Open() { p.c.Write(stats) }

// Drained is told by the loop.
func (p *probe) Drained() {}

// Data is told by the loop.
func (p *probe) Data(b []byte) int {
	text, n, err := cutLine(b)
	if n == 0 && err == nil {
		return 0
	}
	if !p.asked {
		p.hangUp()
		return len(b)
	}
	word, rest, _ := strings.Cut(text, " ")
	switch {
	case err != nil:
		p.done(policy.Error, policy.NoReport)
	case word == "PONG":
		p.done(policy.OK, parseReport(rest))
	case word == "BUSY":
		p.done(policy.Full, parseReport(rest))
	default:
		p.done(policy.Error, parseReport(rest))
	}
	return n
}

// End is told by the loop.
func (p *probe) End(err error) {
	p.hangUp()
	switch {
	case !p.asked:
		p.within.Stop()
	case errors.Is(err, netloop.ErrFull):
		p.done(policy.Moot, policy.NoReport)
	case errors.Is(err, netloop.ErrDialTimeout): // it says nothing at all
		p.done(policy.Timeout, policy.NoReport)
	case p.reused && p.f.Core.Reachable(p.id): // it may have been ended for idleness just then
		p.dial()
	case errors.Is(err, io.EOF) || p.c != nil:
		p.done(policy.Reset, policy.NoReport)
	default:
		p.done(policy.ConnectFailed, policy.NoReport)
	}
}

// done tells the answer; only a connection that brought one is kept for a while.
func (p *probe) done(result policy.Result, report policy.Report) {
	p.asked = false
	p.within.Stop()
	if result == policy.OK {
		p.within = p.f.Loop.After(p.f.probeIdle, p.hangUp)
	} else {
		p.hangUp()
	}
	p.f.Core.Probed(p.id, result, report)
}

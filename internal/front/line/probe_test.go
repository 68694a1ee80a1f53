package line

import (
	"slices"
	"strings"
	"testing"
	"time"

	"dahliarudder/internal/core"
	"dahliarudder/internal/netloop/looptest"
	"dahliarudder/policy"
)

// probing is a rig and how the probes of its members ended.
type probing struct {
	*rig
	results []policy.Result
}

func newProbing(t testing.TB, members int) *probing {
	p := &probing{rig: newRig(t, members)}
	p.Core.OnResult = func(_ *core.Member, result policy.Result) { p.results = append(p.results, result) }
	return p
}

// probe probes a member.
func (p *probing) probe(member int) { p.f.CheckHealth(&p.Members[member]) }

// asked is the member's end of a probe that has been sent on a new connection.
func (p *probing) asked(member int) *looptest.Peer {
	p.T.Helper()
	p.probe(member)
	m := p.servers[member].Accept()
	m.ExpectLines("STATS")
	return m
}

// want waits for the results of all probes so far.
func (p *probing) want(results ...policy.Result) {
	p.T.Helper()
	p.WaitFor("the results", func() bool { return len(p.results) >= len(results) })
	if !slices.Equal(p.results, results) {
		p.T.Fatalf("results %v, want %v", p.results, results)
	}
}

// ended checks that no probe is out and none of its connections left.
func (p *probing) ended() {
	p.T.Helper()
	n := len(p.results)
	p.Advance(p.f.probeIdle)
	p.clean()
	if len(p.results) != n {
		p.T.Errorf("results %v", p.results)
	}
}

// TestProbeAnswers: each probe has one result, whatever the member does.
func TestProbeAnswers(t *testing.T) {
	for name, one := range map[string]struct {
		does func(p *probing, m *looptest.Peer)
		want policy.Result
	}{
		"PONG":                  {func(_ *probing, m *looptest.Peer) { m.Send("PONG x0=0.5\r\n") }, policy.OK},
		"BUSY":                  {func(_ *probing, m *looptest.Peer) { m.Send("BUSY\r\n") }, policy.Full},
		"ERR":                   {func(_ *probing, m *looptest.Peer) { m.Send("ERR\r\n") }, policy.Error},
		"ERR, PONG":             {func(_ *probing, m *looptest.Peer) { m.Send("ERR\r\nPONG\r\n") }, policy.Error},
		"PONG, PONG":            {func(_ *probing, m *looptest.Peer) { m.Send("PONG\r\nPONG\r\n") }, policy.OK},
		"no CRLF":               {func(_ *probing, m *looptest.Peer) { m.Send("PONG\n") }, policy.Error},
		"a line over the bound": {func(_ *probing, m *looptest.Peer) { m.Send(strings.Repeat("x", maxLine)) }, policy.Error},
		"the end":               {func(_ *probing, m *looptest.Peer) { m.CloseWrite() }, policy.Reset},
		"half a line, the end":  {func(_ *probing, m *looptest.Peer) { m.Send("PON"); m.CloseWrite() }, policy.Reset},
		"a reset":               {func(_ *probing, m *looptest.Peer) { m.Reset() }, policy.Reset},
		"half a line, a reset":  {func(_ *probing, m *looptest.Peer) { m.Send("PON"); m.Reset() }, policy.Reset},
		"half a line, nothing":  {func(p *probing, m *looptest.Peer) { m.Send("PON"); p.RunOnce(); p.Advance(probeWithin) }, policy.Timeout},
		"nothing":               {func(p *probing, _ *looptest.Peer) { p.Advance(probeWithin) }, policy.Timeout},
		"PONG once it is late":  {func(p *probing, m *looptest.Peer) { p.Advance(probeWithin); m.Send("PONG\r\n") }, policy.Timeout},
		"PONG as it becomes so": {func(p *probing, m *looptest.Peer) { m.Send("PONG\r\n"); p.Advance(probeWithin) }, policy.OK},
		"nobody is there":       {func(p *probing, m *looptest.Peer) { m.Close() }, policy.Reset},
	} {
		t.Run(name, func(t *testing.T) {
			p := newProbing(t, 1)
			m := p.asked(0)
			one.does(p, m)
			p.want(one.want)
			p.ended()
		})
	}
}

// TestProbeConnects: a connection that is refused, or that does not come up, is told apart.
func TestProbeConnects(t *testing.T) {
	p := newProbing(t, 1)
	p.servers[0].Listener.Close()
	p.probe(0)
	p.want(policy.ConnectFailed)
	p.ended()

	p = newProbing(t, 0)
	p.join(fullQueue(t))
	p.probe(0)
	p.RunOnce()
	p.Advance(p.f.connectWithin)
	p.want(policy.Timeout)
	p.ended()
}

// TestProbeLateAnswer: nor is one that comes before the next probe; its connection is used no more.
func TestProbeLateAnswer(t *testing.T) {
	p := newProbing(t, 1)
	m := p.asked(0)
	m.Send("PONG x0=0.1\r\n")
	p.want(policy.OK)
	m.Send("ERR\r\n")
	m.ExpectEOF()
	p.asked(0).Send("PONG x0=0.2\r\n")
	p.want(policy.OK, policy.OK)
	p.ended()
}

// TestProbeEndsAsUsed: a kept connection that the member ends in the very moment in which it is used again costs a
// second connection, and no result.
func TestProbeEndsAsUsed(t *testing.T) {
	for name, end := range map[string]func(*looptest.Peer){
		"ends": func(m *looptest.Peer) { m.Close() }, "half-closes": func(m *looptest.Peer) { m.CloseWrite() }, "resets": func(m *looptest.Peer) { m.Reset() },
	} {
		t.Run(name, func(t *testing.T) {
			p := newProbing(t, 1)
			m := p.asked(0)
			m.Send("PONG\r\n")
			p.want(policy.OK)
			end(m)
			p.asked(0).Send("PONG\r\n")
			p.want(policy.OK, policy.OK)
			p.ended()
		})
	}
}

// TestProbeEndsAsMemberLeft: and none where the member has left for longer than the grace meanwhile.
func TestProbeEndsAsMemberLeft(t *testing.T) {
	p := newProbing(t, 1)
	m := p.asked(0)
	m.Send("PONG\r\n")
	p.want(policy.OK)
	m.CloseWrite()
	p.probe(0)
	p.list(0, policy.Draining)
	p.Advance(time.Duration(p.Core.Settings.Guarantees.Grace)*time.Millisecond + time.Millisecond)
	p.want(policy.OK, policy.Reset)
	if p.pending(0) != nil {
		t.Error("a connection to a member that has left")
	}
	p.ended()
}

// TestProbeSecondAnswer: a second answer that came with the first is not taken for the next probe's.
func TestProbeSecondAnswer(t *testing.T) {
	p := newProbing(t, 1)
	m := p.asked(0)
	m.Send("PONG x0=0.1\r\nERR\r\n")
	p.want(policy.OK)
	m = p.asked(0)
	m.Send("PONG x0=0.2\r\n")
	p.want(policy.OK, policy.OK)
	p.ended()
}

// TestProbeAsksNobodyWhoLeft: a connection that comes up when its member has been leaving for longer than the grace
// is not used.
func TestProbeAsksNobodyWhoLeft(t *testing.T) {
	p := newProbing(t, 1)
	p.probe(0)
	p.list(0, policy.Draining)
	p.Advance(time.Duration(p.Core.Settings.Guarantees.Grace)*time.Millisecond + time.Millisecond)
	p.want(policy.NotSent)
	p.unsent()
	p.ended()
}

// TestProbeForgets: of members that come and go nothing stays.
func TestProbeForgets(t *testing.T) {
	p := newProbing(t, 3)
	for i := range p.servers {
		p.asked(i).Send("PONG\r\n")
		p.WaitFor("the result", func() bool { return len(p.results) == i+1 })
	}
	p.ended()
	if len(p.f.probes) != 0 {
		t.Errorf("%d are remembered", len(p.f.probes))
	}
}

// TestProbeSecondAnswerAtOnce: nor where the next probe begins as the first is answered.
func TestProbeSecondAnswerAtOnce(t *testing.T) {
	p := newProbing(t, 1)
	saw := p.Core.OnResult
	p.Core.OnResult = func(m *core.Member, result policy.Result) {
		if saw(m, result); len(p.results) == 1 {
			p.probe(0)
		}
	}
	m := p.asked(0)
	m.Send("PONG x0=0.1\r\nERR\r\n")
	m = p.servers[0].Accept()
	m.ExpectLines("STATS")
	m.Send("PONG x0=0.2\r\n")
	p.want(policy.OK, policy.OK)
	p.ended()
}

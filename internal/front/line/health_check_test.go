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

// checkRig is a rig that records the results of health checks.
type checkRig struct {
	*rig
	results []policy.Result
}

func newCheckRig(t testing.TB, members int) *checkRig {
	p := &checkRig{rig: newRig(t, members)}
	p.Core.OnResult = func(_ *core.Member, result policy.Result) { p.results = append(p.results, result) }
	return p
}

// check starts a health check of a member.
func (p *checkRig) check(member int) { p.front.CheckHealth(&p.Members[member]) }

// acceptCheck starts a health check on a new connection and returns the member's end of it.
func (p *checkRig) acceptCheck(member int) *looptest.Peer {
	p.T.Helper()
	p.check(member)
	m := p.fakeMembers[member].Accept()
	m.ExpectLines("STATS")
	return m
}

// wantResults waits for these results of all health checks so far.
func (p *checkRig) wantResults(results ...policy.Result) {
	p.T.Helper()
	p.WaitFor("the results of the health checks", func() bool { return len(p.results) >= len(results) })
	if !slices.Equal(p.results, results) {
		p.T.Fatalf("results = %v, want %v", p.results, results)
	}
}

// expectNoCheck checks that no health check is pending and that none of the connections is left.
func (p *checkRig) expectNoCheck() {
	p.T.Helper()
	n := len(p.results)
	p.Advance(p.front.checkIdleTimeout)
	p.expectNoLeaks()
	if len(p.results) != n {
		p.T.Errorf("results = %v, want no more than the first %d", p.results, n)
	}
}

// TestHealthCheckAnswers checks that each health check has exactly one result, whatever the member
// does.
func TestHealthCheckAnswers(t *testing.T) {
	for name, tc := range map[string]struct {
		act  func(p *checkRig, m *looptest.Peer)
		want policy.Result
	}{
		"PONG":                  {func(_ *checkRig, m *looptest.Peer) { m.Send("PONG x0=0.5\r\n") }, policy.OK},
		"BUSY":                  {func(_ *checkRig, m *looptest.Peer) { m.Send("BUSY\r\n") }, policy.Full},
		"ERR":                   {func(_ *checkRig, m *looptest.Peer) { m.Send("ERR\r\n") }, policy.Error},
		"ERR, PONG":             {func(_ *checkRig, m *looptest.Peer) { m.Send("ERR\r\nPONG\r\n") }, policy.Error},
		"PONG, PONG":            {func(_ *checkRig, m *looptest.Peer) { m.Send("PONG\r\nPONG\r\n") }, policy.OK},
		"no CRLF":               {func(_ *checkRig, m *looptest.Peer) { m.Send("PONG\n") }, policy.Error},
		"a line over the limit": {func(_ *checkRig, m *looptest.Peer) { m.Send(strings.Repeat("x", maxLineBytes)) }, policy.Error},
		"EOF":                   {func(_ *checkRig, m *looptest.Peer) { m.CloseWrite() }, policy.Reset},
		"half a line, EOF":      {func(_ *checkRig, m *looptest.Peer) { m.Send("PON"); m.CloseWrite() }, policy.Reset},
		"a reset":               {func(_ *checkRig, m *looptest.Peer) { m.Reset() }, policy.Reset},
		"half a line, a reset":  {func(_ *checkRig, m *looptest.Peer) { m.Send("PON"); m.Reset() }, policy.Reset},
		"half a line, nothing":  {func(p *checkRig, m *looptest.Peer) { m.Send("PON"); p.RunOnce(); p.Advance(checkTimeout) }, policy.Timeout},
		"nothing":               {func(p *checkRig, _ *looptest.Peer) { p.Advance(checkTimeout) }, policy.Timeout},
		"PONG after timeout":    {func(p *checkRig, m *looptest.Peer) { p.Advance(checkTimeout); m.Send("PONG\r\n") }, policy.Timeout},
		"PONG at the timeout":   {func(p *checkRig, m *looptest.Peer) { m.Send("PONG\r\n"); p.Advance(checkTimeout) }, policy.OK},
		"a full close":          {func(p *checkRig, m *looptest.Peer) { m.Close() }, policy.Reset},
	} {
		t.Run(name, func(t *testing.T) {
			p := newCheckRig(t, 1)
			m := p.acceptCheck(0)
			tc.act(p, m)
			p.wantResults(tc.want)
			p.expectNoCheck()
		})
	}
}

// TestHealthCheckConnects checks that a refused connection and one that is not established in time
// have different results.
func TestHealthCheckConnects(t *testing.T) {
	p := newCheckRig(t, 1)
	p.fakeMembers[0].Listener.Close()
	p.check(0)
	p.wantResults(policy.ConnectFailed)
	p.expectNoCheck()

	p = newCheckRig(t, 0)
	p.addMember(fullBacklogAddr(t))
	p.check(0)
	p.RunOnce()
	p.Advance(p.front.connectTimeout)
	p.wantResults(policy.Timeout)
	p.expectNoCheck()
}

// TestHealthCheckLateAnswer checks that a second answer that arrives between two health checks is not
// mistaken for the answer to the next one, and that its connection is closed.
func TestHealthCheckLateAnswer(t *testing.T) {
	p := newCheckRig(t, 1)
	m := p.acceptCheck(0)
	m.Send("PONG x0=0.1\r\n")
	p.wantResults(policy.OK)
	m.Send("ERR\r\n")
	m.ExpectEOF()
	p.acceptCheck(0).Send("PONG x0=0.2\r\n")
	p.wantResults(policy.OK, policy.OK)
	p.expectNoCheck()
}

// TestHealthCheckConnClosedAsReused checks that if the member closes an idle connection just as it is
// reused, the health check dials a second connection and the close has no result.
func TestHealthCheckConnClosedAsReused(t *testing.T) {
	for name, end := range map[string]func(*looptest.Peer){
		"ends": func(m *looptest.Peer) { m.Close() }, "half-closes": func(m *looptest.Peer) { m.CloseWrite() }, "resets": func(m *looptest.Peer) { m.Reset() },
	} {
		t.Run(name, func(t *testing.T) {
			p := newCheckRig(t, 1)
			m := p.acceptCheck(0)
			m.Send("PONG\r\n")
			p.wantResults(policy.OK)
			end(m)
			p.acceptCheck(0).Send("PONG\r\n")
			p.wantResults(policy.OK, policy.OK)
			p.expectNoCheck()
		})
	}
}

// TestHealthCheckConnClosedAsMemberLeft checks that no second connection is dialled if the member has
// been draining for longer than the grace.
func TestHealthCheckConnClosedAsMemberLeft(t *testing.T) {
	p := newCheckRig(t, 1)
	m := p.acceptCheck(0)
	m.Send("PONG\r\n")
	p.wantResults(policy.OK)
	m.CloseWrite()
	p.check(0)
	p.setMemberState(0, policy.Draining)
	p.Advance(time.Duration(p.Core.Settings.Guarantees.DrainGrace)*time.Millisecond + time.Millisecond)
	p.wantResults(policy.OK, policy.Reset)
	if p.pendingConn(0) != nil {
		t.Error("a connection was dialled to a member that has left, want none")
	}
	p.expectNoCheck()
}

// TestHealthCheckSecondAnswer checks that a second answer that arrives together with the first is not
// mistaken for the answer to the next health check.
func TestHealthCheckSecondAnswer(t *testing.T) {
	p := newCheckRig(t, 1)
	m := p.acceptCheck(0)
	m.Send("PONG x0=0.1\r\nERR\r\n")
	p.wantResults(policy.OK)
	m = p.acceptCheck(0)
	m.Send("PONG x0=0.2\r\n")
	p.wantResults(policy.OK, policy.OK)
	p.expectNoCheck()
}

// TestNoHealthCheckOfDepartedMember checks that a connection is not used if it is established after
// its member has been draining for longer than the grace.
func TestNoHealthCheckOfDepartedMember(t *testing.T) {
	p := newCheckRig(t, 1)
	p.check(0)
	p.setMemberState(0, policy.Draining)
	p.Advance(time.Duration(p.Core.Settings.Guarantees.DrainGrace)*time.Millisecond + time.Millisecond)
	p.wantResults(policy.NotSent)
	p.expectNothingSent()
	p.expectNoCheck()
}

// TestHealthChecksRemoved checks that the front forgets health checks whose connection has ended.
func TestHealthChecksRemoved(t *testing.T) {
	p := newCheckRig(t, 3)
	for i := range p.fakeMembers {
		p.acceptCheck(i).Send("PONG\r\n")
		p.WaitFor("the result of the health check", func() bool { return len(p.results) == i+1 })
	}
	p.expectNoCheck()
	if len(p.front.healthChecks) != 0 {
		t.Errorf("the front has %d health checks, want 0", len(p.front.healthChecks))
	}
}

// TestHealthCheckSecondAnswerAtOnce is like TestHealthCheckSecondAnswer, with the next health check
// started from the callback that receives the first result.
func TestHealthCheckSecondAnswerAtOnce(t *testing.T) {
	p := newCheckRig(t, 1)
	record := p.Core.OnResult
	p.Core.OnResult = func(m *core.Member, result policy.Result) {
		if record(m, result); len(p.results) == 1 {
			p.check(0)
		}
	}
	m := p.acceptCheck(0)
	m.Send("PONG x0=0.1\r\nERR\r\n")
	m = p.fakeMembers[0].Accept()
	m.ExpectLines("STATS")
	m.Send("PONG x0=0.2\r\n")
	p.wantResults(policy.OK, policy.OK)
	p.expectNoCheck()
}

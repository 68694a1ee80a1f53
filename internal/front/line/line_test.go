package line

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"dahliarudder/internal/core"
	"dahliarudder/internal/netloop"
	"dahliarudder/internal/netloop/looptest"
	"dahliarudder/policy"
)

const firstLine = "OPEN 00000000000000aa 00000000000000bb c=pay,t=water,d=1900"

// sendOpen sends a request to a relay with one member and waits until the member has received it.
// It returns the relay, the client and the member.
func sendOpen(t testing.TB) (*looptest.Relay, *looptest.Peer, *looptest.Peer) {
	r := looptest.NewRelay(t, 1)
	c, m := sendOpenTo(r, New(r.Loop, r.Core, r.Log))
	return r, c, m
}

func sendOpenTo(r *looptest.Relay, f *Front) (c, m *looptest.Peer) {
	c = r.Dial(r.Serve(f.Accept))
	c.Send(firstLine + "\r\n")
	_, m = r.AcceptAny(0)
	m.ReadLine()
	return c, m
}

// handOffFlows hands off all open flows that it can from one front to another, encoded as JSON as
// between processes.
func handOffFlows(t testing.TB, from, to *Front) {
	t.Helper()
	from.HandOffFlows(100, func(p FlowHandoff, client, member int) {
		text, err := json.Marshal(p)
		if err != nil {
			t.Fatal(err)
		}
		p = FlowHandoff{}
		if err := json.Unmarshal(text, &p); err != nil {
			t.Fatal(err)
		}
		to.AdoptFlow(p, client, member)
	})
}

// startFlow is sendOpen, followed by the member's UP.
func startFlow(t testing.TB) (*looptest.Relay, *looptest.Peer, *looptest.Peer) {
	r, c, m := sendOpen(t)
	m.Send("UP x\r\n")
	c.ExpectLines("UP x")
	return r, c, m
}

// TestMoveWaits checks that a MOVE that is due in the middle of a line is sent after the line.
func TestMoveWaits(t *testing.T) {
	r, c, m := startFlow(t)
	m.Send("half a ")
	c.Expect("half a ")
	r.Drain(0)
	r.RunOnce()
	m.Send("line\r\nand what is lost")
	c.ExpectLines("line", "MOVE")
	c.ExpectEOF()
}

// TestResets checks that a reset on one side of a flow resets the other side, in both directions.
func TestResets(t *testing.T) {
	_, c, m := startFlow(t)
	m.Reset()
	c.ExpectReset()
	_, c, m = startFlow(t)
	c.Reset()
	m.ExpectReset()
}

// TestClientLeaves checks that a client's close before an answer ends the attempt, and that a client
// that still reads receives one answer.
func TestClientLeaves(t *testing.T) {
	r, c, m := sendOpen(t)
	c.CloseWrite()
	r.WaitFor("the member's connection to end", func() bool { m.Poll(); return m.EndErr != nil })
	c.ExpectLines("BUSY")
	c.ExpectEOF()
	if r.Core.ActiveRequests() != 0 || r.Core.Counts.ClientsGone != 1 {
		t.Errorf("after the client's close: %d active requests, want 0; counts %+v, want ClientsGone 1",
			r.Core.ActiveRequests(), r.Core.Counts)
	}
}

// TestAnswers checks, for each answer that a member may give to the first line, what the client
// receives when there is no other member.
func TestAnswers(t *testing.T) {
	for answer, want := range map[string]string{
		"BUSY x0=1":  "BUSY",
		"ERR":        "BUSY",
		"BYE x0=0.1": "BYE x0=0.1",
		"MOVE":       "BUSY",
		"anything":   "BUSY",
	} {
		t.Run(answer, func(t *testing.T) {
			r, c, m := sendOpen(t)
			m.Send(answer + "\r\n")
			r.WaitFor("an answer to the client", func() bool { r.Advance(50 * time.Millisecond); c.Poll(); return len(c.Received) > 0 })
			if got := c.ReadLine(); !strings.HasPrefix(got, want) {
				t.Errorf("client got %q, want prefix %q", got, want)
			}
			c.ExpectEOF()
		})
	}
}

// TestFirstLine checks that a client that sends no complete line is answered ERR before the
// protocol's limit of 3 s and that its descriptor is released, while a client that was answered PONG
// may stay for idleTimeout.
func TestFirstLine(t *testing.T) {
	r := looptest.NewRelay(t, 1)
	addr := r.Serve(New(r.Loop, r.Core, r.Log).Accept)
	free := r.FreeDescriptors()
	silent, slow, front := r.Dial(addr), r.Dial(addr), r.Dial(addr)
	slow.Send("OPEN 00")
	front.Send("PING\r\n")
	front.ExpectLines("PONG")
	r.WaitFor("three connections to be accepted", func() bool { return r.FreeDescriptors() == free-3 })
	r.Advance(firstLineTimeout)
	for _, c := range []*looptest.Peer{silent, slow} {
		c.ExpectLines("ERR")
		c.ExpectEOF()
		c.Close()
	}
	r.WaitFor("two descriptors to be released", func() bool { return r.FreeDescriptors() == free-1 })
	front.Send("PING\r\n")
	front.ExpectLines("PONG")
	r.Advance(idleTimeout)
	front.ExpectLines("BUSY")
	front.ExpectEOF()
}

// TestDuplicateID checks that a request with the id of an open request is answered ERR, however the
// id is written, that the open request continues, and that the id can be used again after its end.
func TestDuplicateID(t *testing.T) {
	r, c, m := startFlow(t)
	addr := r.Serve(New(r.Loop, r.Core, r.Log).Accept)
	first := r.Dial(addr)
	first.Send(firstLine + "\r\n")
	_, n := r.AcceptAny(0)
	n.ReadLine()
	for _, id := range []string{"00000000000000aa", "aa", "00000000000000AA"} {
		other := r.Dial(addr)
		other.Send(strings.Replace(firstLine, "00000000000000aa", id, 1) + "\r\n")
		other.ExpectLines("ERR")
		other.ExpectEOF()
	}
	n.Send("UP y\r\nBYE\r\n")
	n.CloseWrite()
	first.ExpectLines("UP y", "BYE")
	first.ExpectEOF()
	again := r.Dial(addr)
	again.Send(firstLine + "\r\n")
	r.AcceptAny(0)
	c.Send("hello\r\n") // on the flow of the other front, which has the same id
	m.ExpectLines("hello")
}

// resultRecorder is a core.Recorder that keeps the results of all attempts.
type resultRecorder []policy.Result

func (l *resultRecorder) Ready(core.RecordBacklog) bool { return true }
func (l *resultRecorder) RecordAttempt(_ *core.Request, _ core.ID, _ int, _ string, _, _ time.Duration, r policy.Result) {
	*l = append(*l, r)
}
func (l *resultRecorder) RecordAnswer(*core.Request, core.ID, time.Duration, core.Answer, int) {}

// TestLocalShortageIsNotMemberFault checks that an attempt that fails because the relay has no free
// descriptor is reported as not sent, and one that fails to connect as the member's failure.
func TestLocalShortageIsNotMemberFault(t *testing.T) {
	for err, want := range map[error]policy.Result{
		netloop.ErrNoDescriptors: policy.NotSent, netloop.ErrDialTimeout: policy.ConnectFailed, io.EOF: policy.ConnectFailed,
	} {
		r := looptest.NewRelay(t, 1)
		var results resultRecorder
		r.Core.Recorder = &results
		f := New(r.Loop, r.Core, r.Log)
		c := r.Dial(r.Serve(f.Accept))
		c.Send(firstLine + "\r\n")
		r.WaitFor("an attempt", func() bool { return r.Core.Counts.Attempts == 1 })
		for _, conn := range f.requests {
			conn.upstream.state = attemptDialing
			conn.upstream.End(fmt.Errorf("dialling: %w", err))
		}
		if len(results) == 0 || results[0] != want {
			t.Errorf("results after dial error %v = %v, want %v", err, results, want)
		}
	}
}

// TestReopenReported checks that again=1 in the first line sets Reconnect, which says that the
// client reconnects after a loss or a migration.
func TestReopenReported(t *testing.T) {
	r := looptest.NewRelay(t, 1)
	for suffix, want := range map[string]bool{"": false, ",again=1": true, ",again=0": false} {
		open, err := parseOpen(r.Core.Settings, firstLine+suffix)
		if err != nil || open.request.Reconnect != want {
			t.Errorf("parseOpen with %q: Reconnect = %v, error %v; want %v", suffix, open.request.Reconnect, err, want)
		}
	}
}

// TestWaitBound checks that a first line cannot make a request wait longer than the deadline of its
// class, or longer than reopenWait if the client had a flow before.
func TestWaitBound(t *testing.T) {
	r := looptest.NewRelay(t, 1)
	for d, want := range map[string]time.Duration{
		"d=1900": 1900 * time.Millisecond, "d=999999999": 2 * time.Second, "h=1": 2 * time.Second,
		"d=4294967,at=s-1": reopenWait, "at=s-1": reopenWait,
	} {
		open, err := parseOpen(r.Core.Settings, strings.Replace(firstLine, "d=1900", d, 1))
		if err != nil || open.request.TimeLeft != want {
			t.Errorf("parseOpen with %s: TimeLeft = %v, error %v; want %v", d, open.request.TimeLeft, err, want)
		}
	}
}

// TestLineLengthLimit checks that cutLine accepts a line of maxLineBytes and rejects a longer one
// without waiting for its end.
func TestLineLengthLimit(t *testing.T) {
	long := strings.Repeat("x", maxLineBytes-2)
	if text, n, err := cutLine([]byte(long + "\r\n")); err != nil || n != maxLineBytes || text != long {
		t.Errorf("cutLine of a line at the limit used %d bytes, error %v; want %d", n, err, maxLineBytes)
	}
	if _, _, err := cutLine([]byte(long + "x\r\n")); err == nil {
		t.Error("cutLine accepted a line over the limit, want an error")
	}
	if _, n, err := cutLine([]byte(long)); n != 0 || err != nil {
		t.Errorf("cutLine of an incomplete line used %d bytes, error %v; want 0 and no error", n, err)
	}
}

// TestHandOffIdle checks that connections without a request are handed to another process together
// with the part of the first line that has arrived, that requests stay, and that ids of requests
// that are open in the other process are rejected until those requests end.
func TestHandOffIdle(t *testing.T) {
	r, c, m := startFlow(t)
	f, next := New(r.Loop, r.Core, r.Log), New(r.Loop, r.Core, r.Log)
	addr := r.Serve(f.Accept)
	half, quiet := r.Dial(addr), r.Dial(addr)
	half.Send(firstLine[:20])
	r.WaitFor("both connections", func() bool { return len(f.idle) == 2 })
	r.RunOnce()
	handedOff := 0
	f.HandOffIdle(2, func(p IdleConn, fd int) {
		handedOff++
		next.AdoptIdle(p, fd)
	})
	if handedOff != 2 || len(f.idle) != 0 || len(next.idle) != 2 {
		t.Fatalf("handed off %d idle connections, %d left, %d adopted; want 2, 0, 2",
			handedOff, len(f.idle), len(next.idle))
	}
	next.SetRemoteIDs([]uint64{0xaa})
	half.Send(firstLine[20:] + "\r\n")
	half.ExpectLines("ERR")
	next.SetRemoteIDs(nil)
	quiet.Send(firstLine + "\r\n")
	_, m2 := r.AcceptAny(0)
	m2.ReadLine()
	m2.Send("UP y\r\n")
	quiet.ExpectLines("UP y")
	if ids := next.OpenRequestIDs(); len(ids) != 1 || ids[0] != 0xaa {
		t.Errorf("OpenRequestIDs() = %v, want [170]", ids)
	}
	m.Send("GOT\r\n")
	c.ExpectLines("GOT")
}

// TestAdoptFlow checks that a flow keeps its state in a handoff: the time that a line has been
// unanswered still counts from when the line was forwarded, a client whose member has left or is not
// known here is sent MOVE and nothing else, and the id stays in use.
func TestAdoptFlow(t *testing.T) {
	r := looptest.NewRelay(t, 1)
	first, second := New(r.Loop, r.Core, r.Log), New(r.Loop, r.Core, r.Log)
	c, m := sendOpenTo(r, first)
	m.Send("UP x\r\n")
	c.ExpectLines("UP x")
	c.Send("anyone?\r\n")
	m.ExpectLines("anyone?")
	r.Advance(memberSilenceTimeout - time.Second)
	handOffFlows(t, first, second)
	if r.Core.ActiveRequests() != 1 || len(first.flows) != 0 || len(first.requests) != 0 || len(second.requests) != 1 {
		t.Fatalf("after the handoff: %d active requests, %d flows left, %d flows adopted; want 1, 0, 1",
			r.Core.ActiveRequests(), len(first.flows), len(second.flows))
	}
	r.Advance(2 * time.Second)
	c.ExpectLines("MOVE")
	c.ExpectEOF()

	for _, change := range []func(*FlowHandoff){
		func(p *FlowHandoff) { p.Placement.Member = "unheard of" },
		func(*FlowHandoff) { r.Drain(0) },
	} {
		c, m = sendOpenTo(r, first)
		m.Send("UP y\r\n")
		c.ExpectLines("UP y")
		first.HandOffFlows(1, func(p FlowHandoff, client, member int) {
			change(&p)
			second.AdoptFlow(p, client, member)
		})
		r.Advance(time.Millisecond)
		c.ExpectLines("MOVE")
		c.ExpectEOF()
	}
}

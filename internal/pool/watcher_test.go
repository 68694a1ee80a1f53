package pool

import (
	"fmt"
	"testing"
	"time"

	"dahliarudder/internal/core"
	"dahliarudder/internal/netloop/looptest"
	"dahliarudder/policy"
)

// rig is a watch, the updates that it handed on, and discovery's end of its polls.
type rig struct {
	*looptest.Harness
	*Watcher
	server  *looptest.Server
	updates []string
}

// newRig has a watch that holds generation 41 and has begun.
func newRig(t *testing.T) *rig {
	r := &rig{Harness: looptest.New(t, 16)}
	r.server = r.Listen()
	r.Watcher = newTestWatcher(r.Harness, r.server, func(kind policy.ListKind, list []core.Member) {
		names := ""
		for _, m := range list {
			names += fmt.Sprintf(" %s:%d", m.Name, m.State)
		}
		r.updates = append(r.updates, fmt.Sprint(kind, names))
	})
	return r
}

// text is the request of a poll that continues from a generation and waits for a time.
func (r *rig) pollRequest(since int, wait time.Duration) string {
	return fmt.Sprintf("GET /api/targets?since=%d&timeout_ms=%d HTTP/1.1\r\nHost: %s\r\nAccept: application/json\r\n\r\n", since, wait.Milliseconds(), r.server.Addr())
}

func okResponse(body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// changes is an answer in which the member of entry drains.
func drainingDelta(generation int) string {
	return okResponse(fmt.Sprintf(`{"generation":%d,"reset":false,"instances":[{"instanceId":"s-5be2a07c","hostPort":"127.0.0.1:9","lifecycle":"DRAINING"}]}`, generation))
}

var drainingUpdate = fmt.Sprint(policy.ListDelta, " s-5be2a07c:", int(policy.Draining))

// want fails unless just these updates were handed on.
func (r *rig) expectUpdates(updates ...string) {
	r.T.Helper()
	if fmt.Sprint(r.updates) != fmt.Sprint(updates) {
		r.T.Fatalf("updates %q, want %q", r.updates, updates)
	}
}

// mute says that nothing has come since, and that the connection stands.
func expectIdle(t *testing.T, p *looptest.Peer) {
	t.Helper()
	if p.Poll(); len(p.Received) > 0 || p.EndErr != nil {
		t.Fatalf("got %q, ended %v", p.Received, p.EndErr)
	}
}

// TestWatch: the first poll continues from the initial list, and each further one follows the last answer at once, on the same
// connection.
func TestWatch(t *testing.T) {
	r := newRig(t)
	r.Start()
	p := r.server.Accept()
	p.Expect(r.pollRequest(41, longPollWait))
	p.Send(drainingDelta(43))
	p.Expect(r.pollRequest(43, longPollWait))
	p.Send(okResponse(`{"generation":44,"reset":true,"instances":[]}`))
	p.Expect(r.pollRequest(44, longPollWait))
	r.expectUpdates(drainingUpdate, fmt.Sprint(policy.ListFull, ""))
	r.Stop()
	r.Start()
	p.ExpectEOF()
	if r.Advance(time.Hour); r.OpenDescriptors() > 2 { // the loop's own wakeup is not counted; the connection may linger
		t.Errorf("%d descriptors after the stop", r.OpenDescriptors())
	}
	r.expectUpdates(drainingUpdate, fmt.Sprint(policy.ListFull, ""))
}

// TestWatchAnswerFormats: an answer counts whatever allowed form it comes in.
func TestWatchAnswerFormats(t *testing.T) {
	indented := "{\n  \"generation\": 43,\n  \"reset\": false,\n  \"instances\": [\n    {\n      \"instanceId\": \"s-5be2a07c\",\n      \"hostPort\": \"127.0.0.1:9\",\n      \"lifecycle\": \"DRAINING\"\n    }\n  ]\n}\n"
	fullList := `{"generation":43,"reset":true,"instances":[{"instanceId":"s-5be2a07c","hostPort":"127.0.0.1:9","lifecycle":"DRAINING"}]}`
	for name, c := range map[string]struct {
		answer    string
		want      string
		pieceSize int  // bytes that come together; 0: all
		closes    bool // discovery ends the connection with it
	}{
		"indented":       {okResponse(indented), drainingUpdate, 0, false},
		"whole":          {okResponse(fullList), fmt.Sprint(policy.ListFull, " s-5be2a07c:", int(policy.Draining)), 0, false},
		"in pieces":      {okResponse(indented), drainingUpdate, 7, false},
		"byte by byte":   {drainingDelta(43), drainingUpdate, 1, false},
		"chunked":        {fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n%s\r\n%x\r\n%s\r\n0\r\n\r\n", indented[:5], len(indented)-5, indented[5:]), drainingUpdate, 3, false},
		"to the end":     {"HTTP/1.1 200 OK\r\n\r\n" + indented, drainingUpdate, 11, true},
		"closes":         {"HTTP/1.1 200 OK\r\nConnection: close\r\n" + drainingDelta(43)[len("HTTP/1.1 200 OK\r\n"):], drainingUpdate, 0, true},
		"interim before": {"HTTP/1.1 100 Continue\r\n\r\n" + drainingDelta(43), drainingUpdate, 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t)
			r.Start()
			p := r.server.Accept()
			p.Expect(r.pollRequest(41, longPollWait))
			step := c.pieceSize
			if step == 0 {
				step = len(c.answer)
			}
			for rest := c.answer; rest != ""; {
				n := min(step, len(rest))
				p.Send(rest[:n])
				rest = rest[n:]
				r.RunOnce()
			}
			if c.closes {
				p.CloseWrite()
				p = r.server.Accept()
			}
			p.Expect(r.pollRequest(43, longPollWait))
			r.expectUpdates(c.want)
		})
	}
}

// TestSilentWatch: a watch that has fallen silent is noticed, and what it missed arrives within the deadline, though it stays
// silent. Before there were second polls, the poll was abandoned 5.8 s after it began and the next one left to the decision
// module, up to half a second later.
func TestSilentWatch(t *testing.T) {
	r := newRig(t)
	r.Start()
	began := r.Now()
	silent := r.server.Accept()
	silent.Expect(r.pollRequest(41, longPollWait))
	r.Advance(longPollWait)
	expectIdle(t, silent)
	r.Advance(overdueMargin)
	second := r.server.Accept()
	second.Expect(r.pollRequest(41, 0))
	expectIdle(t, silent) // its answer may only be late: it goes on
	second.Send(drainingDelta(43))
	second.Expect(r.pollRequest(43, longPollWait))
	r.expectUpdates(drainingUpdate)
	silent.ExpectEOF()
	if late := r.Now() - began - deliveryDeadline; late >= 0 {
		t.Errorf("delivered %v too late", late)
	}
}

// TestLateAnswer: the answer of an overdue poll counts, and the second poll is abandoned.
func TestLateAnswer(t *testing.T) {
	r := newRig(t)
	r.Start()
	first := r.server.Accept()
	first.Expect(r.pollRequest(41, longPollWait))
	r.Advance(longPollWait + overdueMargin)
	second := r.server.Accept()
	second.Expect(r.pollRequest(41, 0))
	first.Send(drainingDelta(43))
	first.Expect(r.pollRequest(43, longPollWait))
	second.ExpectEOF()
	r.expectUpdates(drainingUpdate)
}

// TestSecondPollFails: while the first poll is silent, the second one is sent again after each kind of failure, and the change
// arrives in time.
func TestSecondPollFails(t *testing.T) {
	for name, fail := range map[string]func(*looptest.Peer){
		"refused":  func(p *looptest.Peer) { p.Send("HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n") },
		"reset":    (*looptest.Peer).Reset,
		"ended":    (*looptest.Peer).CloseWrite,
		"rubbish":  func(p *looptest.Peer) { p.Send("rubbish\r\n") },
		"no list":  func(p *looptest.Peer) { p.Send(okResponse("[]")) },
		"half one": func(p *looptest.Peer) { p.Send(drainingDelta(43)[:90]); p.CloseWrite() },
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t)
			r.Start()
			began := r.Now()
			silent := r.server.Accept()
			silent.Expect(r.pollRequest(41, longPollWait))
			r.Advance(longPollWait + overdueMargin)
			second := r.server.Accept()
			second.Expect(r.pollRequest(41, 0))
			fail(second)
			r.WaitFor("the failure", func() bool { return r.state == watchBackingOff })
			r.Advance(initialBackoff)
			third := r.server.Accept()
			third.Expect(r.pollRequest(41, 0))
			third.Send(drainingDelta(43))
			third.Expect(r.pollRequest(43, longPollWait))
			r.expectUpdates(drainingUpdate)
			if late := r.Now() - began - deliveryDeadline; late >= 0 {
				t.Errorf("delivered %v too late", late)
			}
		})
	}
}

// TestPollFails: after each kind of failure, the next poll comes after a backoff, on a new connection, and asks for what was
// missed.
func TestPollFails(t *testing.T) {
	r := newRig(t)
	r.Start()
	failures := 0
	for i, fail := range []func(*looptest.Peer){
		func(p *looptest.Peer) { p.Send("HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n") },
		func(p *looptest.Peer) { p.Send(okResponse("[]")) },
		func(p *looptest.Peer) { p.Send("rubbish\r\n") },
		(*looptest.Peer).Reset,
		(*looptest.Peer).CloseWrite,
	} {
		wait := time.Duration(0)
		if i == 0 {
			wait = longPollWait
		}
		p := r.server.Accept()
		p.Expect(r.pollRequest(41, wait))
		fail(p)
		failures++
		r.WaitFor("the failure", func() bool { return r.failures == failures })
		if r.state != watchBackingOff || len(r.polls) != 0 {
			t.Fatalf("failure %d: state %d, %d calls", i, r.state, len(r.polls))
		}
		r.Start() // that the decision module starts it again changes nothing
		r.Advance(pollTiming.backoff(failures, 1) - time.Millisecond)
		if len(r.polls) != 0 {
			t.Fatalf("failure %d: no pause", i)
		}
		r.Advance(time.Millisecond)
	}
	p := r.server.Accept()
	p.Expect(r.pollRequest(41, 0))
	p.Send(drainingDelta(43))
	p.Expect(r.pollRequest(43, longPollWait))
	r.expectUpdates(drainingUpdate)
	if r.failures != 0 {
		t.Errorf("%d failures counted after an answer", r.failures)
	}
}

// TestDiscoveryReturns: discovery swallows polls and comes back at the worst moment, right after one: a further poll is sent beside it
// early enough that there is time for the longest queue. The first one goes on until it is abandoned.
func TestDiscoveryReturns(t *testing.T) {
	const longestQueue = 3 * time.Second // the longest of three sites after which discovery rejects a poll
	if left := deliveryDeadline - maxQueueTime - dialTimeout; left < longestQueue {
		t.Fatalf("%v are left for the answer of the call after the return", left)
	}
	if left := deliveryDeadline - maxBackoff - dialTimeout; left < longestQueue {
		t.Fatalf("%v are left after a refused call", left)
	}
	r := newRig(t)
	r.Start()
	p := r.server.Accept()
	p.Expect(r.pollRequest(41, longPollWait))
	p.Reset()
	r.WaitFor("the failure", func() bool { return r.state == watchBackingOff })
	r.Advance(initialBackoff)
	first := r.server.Accept()
	first.Expect(r.pollRequest(41, 0))
	r.Advance(maxQueueTime)
	second := r.server.Accept()
	second.Expect(r.pollRequest(41, 0))
	r.Advance(maxQueueTime - time.Millisecond)
	expectIdle(t, first)
	if len(r.polls) != maxPolls {
		t.Fatalf("%d calls", len(r.polls))
	}
	r.Advance(time.Millisecond) // the first is abandoned, and the second is overdue by now
	first.ExpectEOF()
	r.Advance(maxBackoff)
	third := r.server.Accept()
	third.Expect(r.pollRequest(41, 0))
	third.Send(drainingDelta(43))
	third.Expect(r.pollRequest(43, longPollWait))
	second.ExpectEOF()
	r.expectUpdates(drainingUpdate)
}

// TestQueuedPollAnswered: a poll that stands in discovery's queue for as long as that may be is not abandoned, and its answer counts. Before,
// polls were abandoned after 2 s where discovery let them queue for 2.5 s, and nobody was answered.
func TestQueuedPollAnswered(t *testing.T) {
	r := newRig(t)
	r.Start()
	p := r.server.Accept()
	p.Expect(r.pollRequest(41, longPollWait))
	p.Reset()
	r.WaitFor("the failure", func() bool { return r.state == watchBackingOff })
	r.Advance(initialBackoff)
	queued := r.server.Accept()
	queued.Expect(r.pollRequest(41, 0))
	r.Advance(maxQueueTime)
	refused := r.server.Accept()
	refused.Expect(r.pollRequest(41, 0))
	refused.Send("HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n")
	r.WaitFor("the failure", func() bool { return r.state == watchBackingOff })
	r.Advance(time.Second)
	queued.Send(drainingDelta(43))
	queued.Expect(r.pollRequest(43, longPollWait))
	r.expectUpdates(drainingUpdate)
}

// TestQueueAfterRejection: discovery that has rejected a poll is up, and overloaded. The next poll has no second one beside it for
// as long as it may stand in the longest queue, since discovery that rejects the second may fail both; a poll that was swallowed
// has one after that.
func TestQueueAfterRejection(t *testing.T) {
	const longestQueue = 3 * time.Second // the longest of three sites
	r := newRig(t)
	r.Start()
	p := r.server.Accept()
	p.Expect(r.pollRequest(41, longPollWait))
	p.Send("HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n")
	r.WaitFor("the failure", func() bool { return r.state == watchBackingOff })
	r.Advance(initialBackoff)
	queued := r.server.Accept()
	queued.Expect(r.pollRequest(41, 0))
	r.Advance(longestQueue)
	if len(r.polls) != 1 {
		t.Fatalf("%d calls while one stands in the queue", len(r.polls))
	}
	r.Advance(overdueMargin)
	if len(r.polls) != maxPolls {
		t.Fatalf("%d calls after the longest queue", len(r.polls))
	}
	r.server.Accept().Expect(r.pollRequest(41, 0))
	queued.Send(drainingDelta(43))
	queued.Expect(r.pollRequest(43, longPollWait))
	r.expectUpdates(drainingUpdate)
}

// TestDeliveryBudget: the steps of a watch in the worst order add up to less than the deadline, each failure once.
func TestDeliveryBudget(t *testing.T) {
	const overdueAt = longPollWait + overdueMargin                           // the watch fell silent as its poll was sent
	const retryDelay = dialTimeout + initialBackoff                          // the connection of the second poll never comes up
	const connectedAt = overdueAt + retryDelay + dialTimeout                 // that of the third takes as long as it may
	if left := deliveryDeadline - connectedAt; left < 200*time.Millisecond { // the gap that the protocol allows between polls
		t.Errorf("a silent watch: %v are left for the answer", left)
	}
	if longPollWait+deliveryAfterWait > deliveryDeadline {
		t.Errorf("what a call of %v misses counts after %v", longPollWait, deliveryDeadline)
	}
}

// TestBackoff: backoffs grow to the longest, and are spread over half of their span.
func TestBackoff(t *testing.T) {
	for failures, span := range map[int]time.Duration{1: initialBackoff, 2: 2 * initialBackoff, 3: maxBackoff, 4: maxBackoff, 1000: maxBackoff} {
		if low, high := pollTiming.backoff(failures, 0), pollTiming.backoff(failures, 1); low != span/2 || high != span {
			t.Errorf("after %d failures %v to %v, want %v to %v", failures, low, high, span/2, span)
		}
	}
}

// TestInitialDelay: a process sends its first poll early enough that with the longest queue and a rejected poll before it the
// answer is within the deadline, and within the longest time between polls if that is shorter; processes that start together are
// spread.
func TestInitialDelay(t *testing.T) {
	const longestQueue = 3 * time.Second
	for askWithin, most := range map[time.Duration]time.Duration{10 * time.Second: maxInitialDelay, 2 * time.Second: time.Second} {
		if low, high := InitialDelay(askWithin, func() float64 { return 0 }), InitialDelay(askWithin, func() float64 { return 1 }); low != 0 || high != most {
			t.Errorf("asking within %v: from %v to %v", askWithin, low, high)
		}
	}
	if maxInitialDelay+longestQueue > deliveryDeadline {
		t.Errorf("a first call after %v may be answered %v too late", maxInitialDelay, maxInitialDelay+longestQueue-deliveryDeadline)
	}
}

// TestRefresh: a refresh polls at once in place of the poll in flight, also during a backoff.
func TestRefresh(t *testing.T) {
	r := newRig(t)
	r.Refresh(func() { t.Error("refreshed a watch that had not begun") })
	r.Start()
	p := r.server.Accept()
	p.Expect(r.pollRequest(41, longPollWait))
	done := 0
	r.Refresh(func() { done++ })
	p.ExpectEOF()
	p = r.server.Accept()
	p.Expect(r.pollRequest(41, 0))
	p.Reset()
	r.WaitFor("the failure", func() bool { return r.state == watchBackingOff })
	r.Refresh(func() { done += 10 })
	p = r.server.Accept()
	p.Expect(r.pollRequest(41, 0))
	p.Send(drainingDelta(43))
	p.Expect(r.pollRequest(43, longPollWait))
	r.expectUpdates(drainingUpdate)
	if r.Advance(maxBackoff); done != 10 {
		t.Errorf("done %d", done)
	}
	expectIdle(t, p)
}

// TestSwitchAddressAmidFailure: a new address is used at once, whatever was under way at the old one.
func TestSwitchAddressAmidFailure(t *testing.T) {
	for name, setUp := range map[string]func(*rig, *looptest.Peer){
		"late": func(r *rig, p *looptest.Peer) { r.Advance(longPollWait + overdueMargin); r.server.Accept() },
		"pausing": func(r *rig, p *looptest.Peer) {
			p.Reset()
			r.WaitFor("", func() bool { return r.state == watchBackingOff })
		},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t)
			next := r.Listen()
			r.Start()
			p := r.server.Accept()
			p.Expect(r.pollRequest(41, longPollWait))
			setUp(r, p)
			r.SwitchAddress(next.Addr())
			q := next.Accept()
			q.Expect("GET /api/targets HTTP/1.1\r\nHost: " + next.Addr() + "\r\nAccept: application/json\r\n\r\n")
			q.Send(okResponse(`{"generation":3,"reset":true,"instances":[]}`))
			r.WaitFor("the list", func() bool { return len(r.updates) == 1 })
			r.Advance(maxBackoff)
			if len(r.polls) != 1 || r.state != watchPolling {
				t.Errorf("%d calls, state %d", len(r.polls), r.state)
			}
		})
	}
}

package pool

import (
	"fmt"
	"testing"
	"time"

	"dahliarudder/internal/core"
	"dahliarudder/internal/netloop/looptest"
	"dahliarudder/policy"
)

// rig holds a watcher, the updates that it passed to OnUpdate, and discovery's side of its polls.
type rig struct {
	*looptest.Harness
	*Watcher
	server  *looptest.Server
	updates []string
}

// newRig returns a rig whose watcher has a list of generation 41 and is not started.
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

// pollRequest returns the request of a poll that continues from the given generation and lets discovery
// wait for the given time.
func (r *rig) pollRequest(since int, wait time.Duration) string {
	return fmt.Sprintf("GET /api/targets?since=%d&timeout_ms=%d HTTP/1.1\r\nHost: %s\r\nAccept: application/json\r\n\r\n", since, wait.Milliseconds(), r.server.Addr())
}

func okResponse(body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// drainingDelta returns an answer with a delta in which the member of instanceJSON is draining.
func drainingDelta(generation int) string {
	return okResponse(fmt.Sprintf(`{"generation":%d,"reset":false,"instances":[{"instanceId":"s-5be2a07c","hostPort":"127.0.0.1:9","lifecycle":"DRAINING"}]}`, generation))
}

var drainingUpdate = fmt.Sprint(policy.ListDelta, " s-5be2a07c:", int(policy.Draining))

// expectUpdates fails the test unless exactly these updates were passed to OnUpdate.
func (r *rig) expectUpdates(updates ...string) {
	r.T.Helper()
	if fmt.Sprint(r.updates) != fmt.Sprint(updates) {
		r.T.Fatalf("OnUpdate got %q, want %q", r.updates, updates)
	}
}

// expectIdle fails the test if the peer has received anything more or its connection has ended.
func expectIdle(t *testing.T, p *looptest.Peer) {
	t.Helper()
	if p.Poll(); len(p.Received) > 0 || p.EndErr != nil {
		t.Fatalf("connection received %q and ended with %v, want neither", p.Received, p.EndErr)
	}
}

// TestWatch checks that the first poll continues from the initial list, and that each answer is followed
// at once by the next poll on the same connection.
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
	// The loop's wakeup descriptor is not counted; the connection may linger.
	if r.Advance(time.Hour); r.OpenDescriptors() > 2 {
		t.Errorf("%d descriptors are open after Stop, want at most 2", r.OpenDescriptors())
	}
	r.expectUpdates(drainingUpdate, fmt.Sprint(policy.ListFull, ""))
}

// TestWatchAnswerFormats checks that an answer is accepted in every form that HTTP and JSON allow.
func TestWatchAnswerFormats(t *testing.T) {
	indented := "{\n  \"generation\": 43,\n  \"reset\": false,\n  \"instances\": [\n    {\n      \"instanceId\": \"s-5be2a07c\",\n      \"hostPort\": \"127.0.0.1:9\",\n      \"lifecycle\": \"DRAINING\"\n    }\n  ]\n}\n"
	fullList := `{"generation":43,"reset":true,"instances":[{"instanceId":"s-5be2a07c","hostPort":"127.0.0.1:9","lifecycle":"DRAINING"}]}`
	for name, c := range map[string]struct {
		answer    string
		want      string
		pieceSize int  // bytes sent at a time; 0 for the whole answer
		closes    bool // discovery closes the connection after the answer
	}{
		"indented":               {okResponse(indented), drainingUpdate, 0, false},
		"full list":              {okResponse(fullList), fmt.Sprint(policy.ListFull, " s-5be2a07c:", int(policy.Draining)), 0, false},
		"pieces of 7 bytes":      {okResponse(indented), drainingUpdate, 7, false},
		"byte by byte":           {drainingDelta(43), drainingUpdate, 1, false},
		"chunked":                {fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n%s\r\n%x\r\n%s\r\n0\r\n\r\n", indented[:5], len(indented)-5, indented[5:]), drainingUpdate, 3, false},
		"ended by close":         {"HTTP/1.1 200 OK\r\n\r\n" + indented, drainingUpdate, 11, true},
		"connection close":       {"HTTP/1.1 200 OK\r\nConnection: close\r\n" + drainingDelta(43)[len("HTTP/1.1 200 OK\r\n"):], drainingUpdate, 0, true},
		"interim response first": {"HTTP/1.1 100 Continue\r\n\r\n" + drainingDelta(43), drainingUpdate, 0, false},
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

// TestSilentWatch checks that a silent watch is detected, and that the missed change arrives within the
// deadline although the watch stays silent. Guards against a watch without a second poll: it abandons
// the silent poll after 5.8 s and leaves the next one to the decision module, which may request it
// half a second later, after the deadline of 6 s.
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
	expectIdle(t, silent) // the poll is still in flight, since its answer may just be late
	second.Send(drainingDelta(43))
	second.Expect(r.pollRequest(43, longPollWait))
	r.expectUpdates(drainingUpdate)
	silent.ExpectEOF()
	if late := r.Now() - began - deliveryDeadline; late >= 0 {
		t.Errorf("the change arrived %v after the deadline of %v", late, deliveryDeadline)
	}
}

// TestLateAnswer checks that the answer of an overdue poll is used and the second poll is abandoned.
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

// TestSecondPollFails checks that, while the first poll is silent, the second poll is repeated after
// each kind of failure and the change arrives within the deadline.
func TestSecondPollFails(t *testing.T) {
	for name, fail := range map[string]func(*looptest.Peer){
		"status 503":        func(p *looptest.Peer) { p.Send("HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n") },
		"connection reset":  (*looptest.Peer).Reset,
		"connection closed": (*looptest.Peer).CloseWrite,
		"not HTTP":          func(p *looptest.Peer) { p.Send("rubbish\r\n") },
		"not a list":        func(p *looptest.Peer) { p.Send(okResponse("[]")) },
		"truncated answer":  func(p *looptest.Peer) { p.Send(drainingDelta(43)[:90]); p.CloseWrite() },
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
			r.WaitFor("the backoff after the failed poll", func() bool { return r.state == watchBackingOff })
			r.Advance(initialBackoff)
			third := r.server.Accept()
			third.Expect(r.pollRequest(41, 0))
			third.Send(drainingDelta(43))
			third.Expect(r.pollRequest(43, longPollWait))
			r.expectUpdates(drainingUpdate)
			if late := r.Now() - began - deliveryDeadline; late >= 0 {
				t.Errorf("the change arrived %v after the deadline of %v", late, deliveryDeadline)
			}
		})
	}
}

// TestPollFails checks that after each kind of failure, the next poll is sent after a backoff, on a new
// connection, and asks for the missed changes.
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
		r.WaitFor("the failure to be counted", func() bool { return r.failures == failures })
		if r.state != watchBackingOff || len(r.polls) != 0 {
			t.Fatalf("after failure %d: state %d with %d polls in flight, want state %d with none",
				i, r.state, len(r.polls), watchBackingOff)
		}
		r.Start() // the decision module may start the watch again, which must change nothing
		r.Advance(pollTiming.backoff(failures, 1) - time.Millisecond)
		if len(r.polls) != 0 {
			t.Fatalf("after failure %d: a poll was sent before the backoff of %v had passed",
				i, pollTiming.backoff(failures, 1))
		}
		r.Advance(time.Millisecond)
	}
	p := r.server.Accept()
	p.Expect(r.pollRequest(41, 0))
	p.Send(drainingDelta(43))
	p.Expect(r.pollRequest(43, longPollWait))
	r.expectUpdates(drainingUpdate)
	if r.failures != 0 {
		t.Errorf("after an answer, %d failures are counted, want 0", r.failures)
	}
}

// TestDiscoveryReturns: discovery loses polls without an answer and returns right after one was sent,
// the worst moment. A second poll must be sent beside it early enough to leave time for the longest
// queue. The first poll continues until it is abandoned.
func TestDiscoveryReturns(t *testing.T) {
	const longestQueue = 3 * time.Second // the longest of three sites; discovery rejects polls that would wait longer
	if left := deliveryDeadline - maxQueueTime - dialTimeout; left < longestQueue {
		t.Fatalf("%v are left to answer the poll after discovery's return, want at least %v", left, longestQueue)
	}
	if left := deliveryDeadline - maxBackoff - dialTimeout; left < longestQueue {
		t.Fatalf("%v are left to answer the poll after a refused one, want at least %v", left, longestQueue)
	}
	r := newRig(t)
	r.Start()
	p := r.server.Accept()
	p.Expect(r.pollRequest(41, longPollWait))
	p.Reset()
	r.WaitFor("the backoff after the failed poll", func() bool { return r.state == watchBackingOff })
	r.Advance(initialBackoff)
	first := r.server.Accept()
	first.Expect(r.pollRequest(41, 0))
	r.Advance(maxQueueTime)
	second := r.server.Accept()
	second.Expect(r.pollRequest(41, 0))
	r.Advance(maxQueueTime - time.Millisecond)
	expectIdle(t, first)
	if len(r.polls) != maxPolls {
		t.Fatalf("%d polls in flight, want %d", len(r.polls), maxPolls)
	}
	r.Advance(time.Millisecond) // the first poll is abandoned, and the second one is overdue
	first.ExpectEOF()
	r.Advance(maxBackoff)
	third := r.server.Accept()
	third.Expect(r.pollRequest(41, 0))
	third.Send(drainingDelta(43))
	third.Expect(r.pollRequest(43, longPollWait))
	second.ExpectEOF()
	r.expectUpdates(drainingUpdate)
}

// TestQueuedPollAnswered checks that a poll that waits in discovery's queue for the longest allowed time
// is not abandoned and its answer is used. If polls were abandoned after 2 s while discovery lets them
// queue for 2.5 s, no relay would be answered.
func TestQueuedPollAnswered(t *testing.T) {
	r := newRig(t)
	r.Start()
	p := r.server.Accept()
	p.Expect(r.pollRequest(41, longPollWait))
	p.Reset()
	r.WaitFor("the backoff after the failed poll", func() bool { return r.state == watchBackingOff })
	r.Advance(initialBackoff)
	queued := r.server.Accept()
	queued.Expect(r.pollRequest(41, 0))
	r.Advance(maxQueueTime)
	rejected := r.server.Accept()
	rejected.Expect(r.pollRequest(41, 0))
	rejected.Send("HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n")
	r.WaitFor("the backoff after the rejected poll", func() bool { return r.state == watchBackingOff })
	r.Advance(time.Second)
	queued.Send(drainingDelta(43))
	queued.Expect(r.pollRequest(43, longPollWait))
	r.expectUpdates(drainingUpdate)
}

// TestQueueAfterRejection: discovery that has rejected a poll is up but overloaded. No second poll may
// be sent beside the next one for as long as that may wait in the longest queue, since discovery may
// fail both when it rejects the second. If the poll was lost, a second one is sent after that time.
func TestQueueAfterRejection(t *testing.T) {
	const longestQueue = 3 * time.Second // the longest of three sites
	r := newRig(t)
	r.Start()
	p := r.server.Accept()
	p.Expect(r.pollRequest(41, longPollWait))
	p.Send("HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n")
	r.WaitFor("the backoff after the rejected poll", func() bool { return r.state == watchBackingOff })
	r.Advance(initialBackoff)
	queued := r.server.Accept()
	queued.Expect(r.pollRequest(41, 0))
	r.Advance(longestQueue)
	if len(r.polls) != 1 {
		t.Fatalf("%d polls in flight while one waits in discovery's queue, want 1", len(r.polls))
	}
	r.Advance(overdueMargin)
	if len(r.polls) != maxPolls {
		t.Fatalf("%d polls in flight after the time of the longest queue, want %d", len(r.polls), maxPolls)
	}
	r.server.Accept().Expect(r.pollRequest(41, 0))
	queued.Send(drainingDelta(43))
	queued.Expect(r.pollRequest(43, longPollWait))
	r.expectUpdates(drainingUpdate)
}

// TestDeliveryBudget checks that the steps of a watch in the worst order, with one failure of each kind,
// take less time than the deadline.
func TestDeliveryBudget(t *testing.T) {
	// The watch fell silent when its poll was sent.
	const overdueAt = longPollWait + overdueMargin
	// The connection of the second poll is never established.
	const retryDelay = dialTimeout + initialBackoff
	// The connection of the third poll takes as long as it may.
	const connectedAt = overdueAt + retryDelay + dialTimeout
	// 200 ms is the gap that the protocol allows between polls.
	if left := deliveryDeadline - connectedAt; left < 200*time.Millisecond {
		t.Errorf("after a silent watch, %v are left for the answer, want at least 200ms", left)
	}
	if longPollWait+deliveryAfterWait > deliveryDeadline {
		t.Errorf("a change missed by a poll of %v counts as delivered after %v, want at most %v",
			longPollWait, longPollWait+deliveryAfterWait, deliveryDeadline)
	}
}

// TestBackoff checks that backoffs grow to maxBackoff, and are spread over the upper half of their span.
func TestBackoff(t *testing.T) {
	for failures, span := range map[int]time.Duration{1: initialBackoff, 2: 2 * initialBackoff, 3: maxBackoff, 4: maxBackoff, 1000: maxBackoff} {
		if low, high := pollTiming.backoff(failures, 0), pollTiming.backoff(failures, 1); low != span/2 || high != span {
			t.Errorf("backoff after %d failures ranges from %v to %v, want %v to %v", failures, low, high, span/2, span)
		}
	}
}

// TestInitialDelay checks that a process sends its first poll early enough to be answered within the
// deadline after the longest queue and one rejected poll, and within the maximum time between polls if
// that is shorter. Processes that start together must be spread.
func TestInitialDelay(t *testing.T) {
	const longestQueue = 3 * time.Second
	for deadline, most := range map[time.Duration]time.Duration{10 * time.Second: maxInitialDelay, 2 * time.Second: time.Second} {
		if low, high := InitialDelay(deadline, func() float64 { return 0 }), InitialDelay(deadline, func() float64 { return 1 }); low != 0 || high != most {
			t.Errorf("InitialDelay(%v) ranges from %v to %v, want 0s to %v", deadline, low, high, most)
		}
	}
	if maxInitialDelay+longestQueue > deliveryDeadline {
		t.Errorf("a first poll after %v may be answered %v after the deadline, want by the deadline",
			maxInitialDelay, maxInitialDelay+longestQueue-deliveryDeadline)
	}
}

// TestRefresh checks that a refresh polls at once instead of the poll in flight, also during a backoff.
func TestRefresh(t *testing.T) {
	r := newRig(t)
	r.Refresh(func() { t.Error("Refresh called done on a watch that was not started") })
	r.Start()
	p := r.server.Accept()
	p.Expect(r.pollRequest(41, longPollWait))
	done := 0
	r.Refresh(func() { done++ })
	p.ExpectEOF()
	p = r.server.Accept()
	p.Expect(r.pollRequest(41, 0))
	p.Reset()
	r.WaitFor("the backoff after the failed poll", func() bool { return r.state == watchBackingOff })
	r.Refresh(func() { done += 10 })
	p = r.server.Accept()
	p.Expect(r.pollRequest(41, 0))
	p.Send(drainingDelta(43))
	p.Expect(r.pollRequest(43, longPollWait))
	r.expectUpdates(drainingUpdate)
	if r.Advance(maxBackoff); done != 10 {
		t.Errorf("done = %d, want 10: one call of the second refresh's callback and none of the first", done)
	}
	expectIdle(t, p)
}

// TestSwitchAddressAmidFailure checks that a new address is used at once, also while a poll at the old
// one is overdue or a backoff is running.
func TestSwitchAddressAmidFailure(t *testing.T) {
	for name, setUp := range map[string]func(*rig, *looptest.Peer){
		"poll overdue": func(r *rig, p *looptest.Peer) { r.Advance(longPollWait + overdueMargin); r.server.Accept() },
		"backing off": func(r *rig, p *looptest.Peer) {
			p.Reset()
			r.WaitFor("the backoff after the failed poll", func() bool { return r.state == watchBackingOff })
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
				t.Errorf("%d polls in flight in state %d, want 1 in state %d", len(r.polls), r.state, watchPolling)
			}
		})
	}
}

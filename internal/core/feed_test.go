package core

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"dahliarudder/internal/window"
	"dahliarudder/policy"
)

// feedTransport is a FeedTransport that records what it receives, and checks that the core may
// send it.
type feedTransport struct {
	harness       *harness
	feed          *Feed
	member        *Member  // at the other end of the link; nil without a link
	inFlight      []uint64 // sequence numbers of the messages on the link without an acknowledgement
	written       uint64   // bytes written to the link
	blocked       bool     // the link is not writable
	attempts      map[uint64]int
	deadlines     map[uint64]time.Duration
	answers       map[uint64]Answer
	retryAfter    time.Duration
	capacityCalls int // calls of OnCapacity
}

// newFeedTransport opens a feed in the first class that may hold the given number of messages.
func newFeedTransport(h *harness, messages int) *feedTransport {
	return newFeedTransportInClass(h, 0, messages)
}

func newFeedTransportInClass(h *harness, class, messages int) *feedTransport {
	tr := &feedTransport{harness: h, attempts: map[uint64]int{}, deadlines: map[uint64]time.Duration{}, answers: map[uint64]Answer{}}
	tr.feed = h.NewFeed(Request{Class: class, Load: 0.01, TimeLeft: 2 * time.Second}, FeedLimits{Messages: messages, Bytes: 1 << 20}, tr)
	return tr
}

func (tr *feedTransport) Connect(to *Member, _ time.Duration) {
	if tr.member != nil {
		tr.harness.t.Errorf("Connect to %s while the link to %s is open", to.Name, tr.member.Name)
	}
	tr.member, tr.inFlight, tr.written = to, nil, 0
}
func (tr *feedTransport) Writable() bool { return !tr.blocked }
func (tr *feedTransport) WriteMessage(text []byte, m *window.Message) {
	tr.written += uint64(len(text))
	m.Offset = tr.written
	tr.inFlight = append(tr.inFlight, m.Sequence)
	tr.attempts[m.Sequence]++
	member := tr.harness.members[tr.member.ID]
	switch {
	case tr.attempts[m.Sequence] > 3, m.Attempts != tr.attempts[m.Sequence]:
		tr.harness.t.Errorf("message %d was written %d times, the last time as attempt %d; want equal numbers, at most 3",
			m.Sequence, tr.attempts[m.Sequence], m.Attempts)
	case tr.answers[m.Sequence] != "":
		tr.harness.t.Errorf("message %d is sent after it was answered %s", m.Sequence, tr.answers[m.Sequence])
	case member.unavailable && tr.harness.now-member.unavailableSince > 250*time.Millisecond:
		tr.harness.t.Errorf("message %d is sent %v after its member became unavailable, want at most 250 ms",
			m.Sequence, tr.harness.now-member.unavailableSince)
	case tr.harness.dispatchPaused:
		tr.harness.t.Errorf("message %d is sent while dispatch is paused", m.Sequence)
	case string(text) != fmt.Sprint("message ", m.Sequence):
		tr.harness.t.Errorf("message %d is sent with text %q, want \"message %d\"", m.Sequence, text, m.Sequence)
	}
}
func (tr *feedTransport) Disconnect() uint64 {
	tr.member, tr.inFlight = nil, nil
	return tr.written
}
func (tr *feedTransport) Answer(m *window.Message, _ []byte, answer Answer, retryAfter time.Duration) {
	if tr.answers[m.Sequence] != "" {
		tr.harness.t.Errorf("message %d is answered %s after it was answered %s",
			m.Sequence, answer, tr.answers[m.Sequence])
	}
	if late := tr.harness.now - tr.deadlines[m.Sequence]; late > 0 {
		tr.harness.t.Errorf("message %d is answered %v after its deadline", m.Sequence, late)
	}
	tr.answers[m.Sequence], tr.retryAfter = answer, retryAfter
}
func (tr *feedTransport) OnCapacity() { tr.capacityCalls++ }

// publish publishes up to n messages, as long as the feed has capacity.
func (tr *feedTransport) publish(n int) {
	for range n {
		if !tr.feed.HasCapacity() {
			return
		}
		sequence := uint64(len(tr.deadlines) + 1)
		tr.deadlines[sequence] = tr.harness.now + 2*time.Second
		tr.feed.Publish(window.Message{Subject: sequence % 3, Sequence: sequence}, fmt.Append(tr.feed.Buffer(20), "message ", sequence))
	}
}

// acknowledge acknowledges the n oldest messages in flight, or all if there are fewer.
func (tr *feedTransport) acknowledge(n int) {
	n = min(n, len(tr.inFlight))
	tr.inFlight = tr.inFlight[n:]
	tr.feed.Acknowledged(n)
}

// disconnect breaks the link after the given number of its bytes was written.
func (tr *feedTransport) disconnect(result policy.Result, written uint64) {
	tr.member, tr.inFlight = nil, nil
	tr.feed.Disconnected(result, written)
}

func (tr *feedTransport) countAnswers(want Answer) (n int) {
	for _, answer := range tr.answers {
		if answer == want {
			n++
		}
	}
	return n
}

// TestFeed checks that a feed counts as one request whatever the number of its messages, that each
// message is answered and recorded, and that an idle feed gives up its flow and requests a new one
// later.
func TestFeed(t *testing.T) {
	h := newHarness(t, 2)
	tr := newFeedTransport(h, 500)
	tr.publish(300)
	if tr.member == nil || len(tr.inFlight) > 0 {
		t.Fatalf("member %v, %d messages in flight before the link is established; want a member and no message",
			tr.member, len(tr.inFlight))
	}
	tr.feed.Connected()
	for len(tr.inFlight) > 0 {
		tr.acknowledge(7)
	}
	if c := h.Counts; c.Requests != 1 || c.Messages.Served != 300 || tr.countAnswers(Served) != 300 || h.FlowCount(tr.member.ID) != 1 {
		t.Errorf("counts %+v, %d served, want 1 request, 1 flow and 300 messages served", c, tr.countAnswers(Served))
	}
	if len(h.records) != 1+2*300 {
		t.Errorf("%d records, want %d: an answer of the flow, an attempt and an answer of each message",
			len(h.records), 1+2*300)
	}
	h.advance(feedIdleTimeout + time.Second)
	if h.ActiveRequests() != 0 || tr.member != nil {
		t.Errorf("an idle feed still has %d active requests, or a link to %v", h.ActiveRequests(), tr.member)
	}
	tr.publish(1)
	tr.feed.Connected()
	tr.acknowledge(1)
	if tr.countAnswers(Served) != 301 {
		t.Errorf("%d messages served after the feed was idle, want 301", tr.countAnswers(Served))
	}
	tr.feed.Close()
	if h.ActiveRequests() != 0 || len(h.feeds) != 0 {
		t.Errorf("after Close: %d active requests, %d feeds, want none", h.ActiveRequests(), len(h.feeds))
	}
}

// TestFeedFull checks that a full feed accepts no message, and calls OnCapacity when it has
// capacity again.
func TestFeedFull(t *testing.T) {
	h := newHarness(t, 2)
	tr := newFeedTransport(h, 10)
	tr.publish(20)
	if tr.feed.Connected(); len(tr.deadlines) != 10 || len(tr.inFlight) != 10 || tr.capacityCalls != 0 {
		t.Fatalf("%d accepted, %d in flight, OnCapacity called %d times; want 10, 10, 0",
			len(tr.deadlines), len(tr.inFlight), tr.capacityCalls)
	}
	if tr.acknowledge(1); tr.capacityCalls != 1 {
		t.Errorf("OnCapacity was called %d times after an acknowledgement, want 1", tr.capacityCalls)
	}
}

// TestFeedMemory checks that all feeds together stay within their memory limit, while each may hold
// at least one message.
func TestFeedMemory(t *testing.T) {
	h := newHarness(t, 2)
	h.FeedMemoryLimit = 10 << 10
	transports := []*feedTransport{newFeedTransport(h, 5000), newFeedTransport(h, 5000), newFeedTransport(h, 5000)}
	for _, tr := range transports {
		tr.publish(5000)
	}
	if h.feedBytes > 10<<10+2*feedMinBytes+100 {
		t.Errorf("feeds use %d bytes, want at most %d", h.feedBytes, 10<<10+2*feedMinBytes+100)
	}
	for _, tr := range transports {
		if len(tr.deadlines) == 0 {
			t.Error("a feed could not publish any message")
		}
		tr.feed.Close()
	}
	if h.feedBytes != 0 {
		t.Errorf("feedBytes = %d after all feeds were closed, want 0", h.feedBytes)
	}
}

// TestFeedDrain checks that a draining member gets no more messages. Those in flight are answered
// there, or retried at another member after the link has ended.
func TestFeedDrain(t *testing.T) {
	h := newHarness(t, 2)
	tr := newFeedTransport(h, 500)
	tr.publish(5)
	tr.feed.Connected()
	first := tr.member.ID
	members := testMembers(2, policy.Ready)
	members[first-10].State = policy.Draining
	h.UpdateMembers(policy.ListFull, members)
	if tr.publish(3); len(tr.inFlight) != 5 || tr.member.ID != first {
		t.Fatalf("%d messages in flight at member %d after it began to drain, want 5 at %d",
			len(tr.inFlight), tr.member.ID, first)
	}
	h.advance(time.Millisecond)
	if tr.acknowledge(3); tr.member.ID != first {
		t.Error("the link was closed before all messages in flight were acknowledged")
	}
	h.advance(1500 * time.Millisecond) // two messages in flight are not acknowledged
	if tr.member == nil || tr.member.ID == first {
		t.Fatal("the feed did not connect to another member")
	}
	tr.feed.Connected()
	if tr.acknowledge(9); tr.countAnswers(Served) != 8 || tr.attempts[4] != 2 || tr.attempts[6] != 1 {
		t.Errorf("%d served, attempts %v; want 8, two attempts of message 4, one of message 6",
			tr.countAnswers(Served), tr.attempts)
	}
}

// TestFeedRejected checks that messages wait while no member has capacity, and are rejected at
// their deadline, and that they are rejected at once while nothing can be recorded.
func TestFeedRejected(t *testing.T) {
	h := newHarness(t, 0)
	tr := newFeedTransport(h, 500)
	tr.publish(3)
	h.advance(time.Second)
	if len(tr.answers) != 0 {
		t.Fatalf("answers %v before the deadline, want none", tr.answers)
	}
	if h.advance(time.Second); tr.countAnswers(Rejected) != 3 || tr.retryAfter <= 0 {
		t.Errorf("answers %v with Retry-After %v at the deadline, want 3 rejections with a Retry-After",
			tr.answers, tr.retryAfter)
	}
	tr.publish(2)
	h.UpdateMembers(policy.ListFull, testMembers(2, policy.Ready))
	h.advance(time.Second)
	if tr.member == nil {
		t.Fatal("the feed did not connect once members were available")
	}
	tr.feed.Connected()
	if tr.acknowledge(2); tr.countAnswers(Served) != 2 {
		t.Errorf("answers %v, want 2 served", tr.answers)
	}
	h.notReady = true // the recorder cannot record
	if tr.publish(1); tr.countAnswers(Rejected) != 4 {
		t.Errorf("answers %v while nothing can be recorded, want 4 rejections", tr.answers)
	}
}

// TestFeedSlowStart checks that many feeds that connect to a member in slow start at once send it no
// more messages than the limit, which grows with acknowledgements, and that each gets its turn.
func TestFeedSlowStart(t *testing.T) {
	h := newHarness(t, 1)
	h.members[10].joinedAt = h.now // only in the core: the policy would admit hardly any feed
	var transports []*feedTransport
	for range 200 {
		tr := newFeedTransport(h, 100)
		tr.publish(30)
		transports = append(transports, tr)
	}
	h.advance(50 * time.Millisecond)
	inFlight := func() (n int) {
		for _, tr := range transports {
			n += len(tr.inFlight)
		}
		return n
	}
	for _, tr := range transports {
		if tr.member != nil {
			tr.feed.Connected()
		}
	}
	if n := inFlight(); n == 0 || n > window.InitialWindow {
		t.Fatalf("%d messages are in flight at a member in slow start, want 1 to %d", n, window.InitialWindow)
	}
	acknowledged := 0
	for range 1000 {
		for _, tr := range transports {
			if len(tr.inFlight) > 0 {
				tr.acknowledge(1)
				acknowledged++
			}
			if n := inFlight(); n > window.InitialWindow+acknowledged {
				t.Fatalf("%d messages are in flight after %d were acknowledged, want at most %d",
					n, acknowledged, window.InitialWindow+acknowledged)
			}
		}
	}
	for i, tr := range transports {
		if tr.member != nil && tr.feed.state == feedConnected && tr.countAnswers(Served) != 30 {
			t.Fatalf("feed %d: %d messages served, want 30", i, tr.countAnswers(Served))
		}
	}
	if acknowledged < 100 {
		t.Fatalf("%d messages were acknowledged, want at least 100 for the checks above to mean anything",
			acknowledged)
	}
}

// TestFeedQueue checks that a feed that waits for a member in slow start leaves the queue of that
// member when its link ends or another member's queue takes it. Otherwise it would get no turn at
// its next member, and its messages would wait until their deadlines.
func TestFeedQueue(t *testing.T) {
	h := newHarness(t, 1)
	m := h.members[10]
	m.joinedAt = h.now
	first, second, third := newFeedTransport(h, 100), newFeedTransport(h, 100), newFeedTransport(h, 100)
	for _, tr := range []*feedTransport{first, second, third} {
		tr.publish(2 * window.InitialWindow)
		tr.feed.Connected()
	}
	if len(m.feedQueue) != 2 || len(second.inFlight) > 0 {
		t.Fatalf("%d feeds queued, %d messages of a queued feed in flight; want 2 and 0",
			len(m.feedQueue), len(second.inFlight))
	}
	if third.feed.Close(); len(m.feedQueue) != 1 {
		t.Errorf("%d feeds queued after one was closed, want 1", len(m.feedQueue))
	}
	other := &member{Member: Member{Name: "other"}}
	h.enqueueFeed(other, second.feed)
	if len(m.feedQueue) != 0 || len(other.feedQueue) != 1 {
		t.Errorf("%d and %d feeds queued after one joined the queue of the other member, want 0 and 1",
			len(m.feedQueue), len(other.feedQueue))
	}
	if second.disconnect(policy.Reset, 0); len(other.feedQueue) != 0 {
		t.Error("a feed is still queued after its link has ended")
	}
}

// TestFeedRandomEvents applies random publications, acknowledgements, rejections, lost links,
// draining members and blocked links. The transport checks each step, and in the end every message
// must have one answer. Half of the runs add relay events: pauses of dispatch, ejections, removals
// by the fleet, drains and the stop of the relay.
func TestFeedRandomEvents(t *testing.T) {
	sentWithRelayEvents := 0
	for seed := range uint64(120) {
		relayEvents := seed >= 60
		rng := rand.New(rand.NewPCG(seed, 2))
		h := newHarness(t, 3)
		var transports []*feedTransport
		for range 4 {
			transports = append(transports, newFeedTransport(h, 30))
		}
		members := testMembers(3, policy.Ready)
		for range 600 {
			tr := transports[rng.IntN(len(transports))]
			switch rng.IntN(12) {
			case 0, 1, 2:
				tr.publish(rng.IntN(8))
			case 3, 4:
				if tr.member != nil {
					tr.feed.Connected()
				}
			case 5, 6, 7:
				tr.acknowledge(rng.IntN(6))
			case 8:
				if tr.member != nil {
					tr.disconnect([]policy.Result{policy.Reset, policy.ConnectFailed, policy.Error}[rng.IntN(3)], rng.Uint64N(tr.written+1))
				}
			case 9:
				tr.feed.MessageRejected(rng.Uint64N(3))
			case 10:
				i := rng.IntN(3)
				members[i].State = []policy.MemberState{policy.Ready, policy.Draining}[rng.IntN(2)]
				h.UpdateMembers(policy.ListDelta, members[i:i+1])
			case 11:
				tr.blocked = !tr.blocked
				if !tr.blocked {
					tr.feed.OnWritable()
				}
			}
			if relayEvents && rng.IntN(4) == 0 {
				name := fmt.Sprint("m", rng.IntN(3))
				[]func(){h.PauseDispatch, h.ResumeDispatch, h.ResumeDispatch, func() { h.Eject(name) }, func() { h.Reinstate(name) }, func() { h.Reinstate(name) },
					func() { h.SetFleetRemovals(map[string]Removal{name: {SpreadOver: 300 * time.Millisecond}}) }, func() { h.SetFleetRemovals(nil) },
					h.Drain, h.Resume}[rng.IntN(10)]()
			}
			h.advance(time.Duration(rng.IntN(60)) * time.Millisecond)
		}
		if relayEvents {
			h.Stop()
			h.advance(h.StopTimeout())
			h.FinishStop()
			if h.ActiveRequests() != 0 {
				t.Errorf("seed %d: %d active requests after the end of the stop, want 0", seed, h.ActiveRequests())
			}
		}
		h.advance(3 * time.Second)
		sent := 0
		for i, tr := range transports {
			if len(tr.answers) != len(tr.deadlines) {
				t.Errorf("seed %d, feed %d: %d answers to %d messages, want one for each",
					seed, i, len(tr.answers), len(tr.deadlines))
			}
			sent += len(tr.attempts)
			tr.feed.Close()
		}
		if c := h.Counts.Messages; c.Accepted != c.Served+c.Rejected+c.Failed || sent == 0 && !relayEvents || h.ActiveRequests() != 0 || h.feedBytes != 0 {
			t.Errorf("seed %d: counts %+v, %d messages sent, %d active requests, %d bytes at the end; want an "+
				"answer counted for each accepted message, some sent unless there are relay events, and 0, 0",
				seed, h.Counts, sent, h.ActiveRequests(), h.feedBytes)
		}
		if relayEvents {
			sentWithRelayEvents += sent
		}
		if t.Failed() {
			return
		}
	}
	if sentWithRelayEvents < 1000 {
		t.Errorf("%d messages were sent in the runs with relay events, want at least 1000", sentWithRelayEvents)
	}
}

// TestFeedFinishStop checks that messages whose feed is still connecting at the end of a stop are
// rejected, with the same Retry-After as requests. That holds for a non-idempotent class too, as
// none of them was sent.
func TestFeedFinishStop(t *testing.T) {
	h := newHarnessWith(t, classesText, testMembers(1, policy.Ready))
	tr := newFeedTransportInClass(h, nonIdempotentClass, 10)
	if tr.publish(3); tr.member == nil {
		t.Fatal("the feed has no attempt in flight after publishing")
	}
	h.Stop()
	h.FinishStop()
	if tr.countAnswers(Rejected) != 3 || tr.retryAfter != stopRetryAfter || h.ActiveRequests() != 0 {
		t.Errorf("%d rejected with Retry-After %v, %d active requests; want 3, %v, 0",
			tr.countAnswers(Rejected), tr.retryAfter, h.ActiveRequests(), stopRetryAfter)
	}
}

// TestFeedFinishStopInFlight guards against messages that a stop leaves without an answer: those in flight
// at its end fail, as the member may have processed them, and those that were not sent are rejected.
func TestFeedFinishStopInFlight(t *testing.T) {
	h := newHarness(t, 1)
	tr := newFeedTransport(h, 40)
	tr.publish(1)
	tr.feed.Connected()
	tr.publish(29)
	sent := len(tr.inFlight)
	if sent == 0 || sent == 30 {
		t.Fatalf("%d of 30 messages in flight, want some", sent)
	}
	h.Stop()
	h.advance(h.StopTimeout() / 3) // before any flow is migrated
	h.FinishStop()
	if failed, rejected := tr.countAnswers(Failed), tr.countAnswers(Rejected); failed != sent || rejected != 30-sent {
		t.Errorf("%d messages failed and %d rejected, want %d and %d", failed, rejected, sent, 30-sent)
	}
	if h.UnansweredMessages() != 0 {
		t.Errorf("UnansweredMessages() = %d after the end of the stop, want 0", h.UnansweredMessages())
	}
}

// TestFeedRejectNew checks that a feed whose client is being closed rejects new messages at once, and
// still answers those that it has accepted.
func TestFeedRejectNew(t *testing.T) {
	h := newHarness(t, 1)
	tr := newFeedTransport(h, 40)
	tr.publish(2)
	tr.feed.Connected()
	tr.feed.RejectNew()
	if tr.publish(3); tr.countAnswers(Rejected) != 3 || len(tr.inFlight) != 2 {
		t.Errorf("%d of three new messages rejected, %d earlier ones in flight; want 3, 2", tr.countAnswers(Rejected), len(tr.inFlight))
	}
	if tr.acknowledge(2); tr.countAnswers(Served) != 2 {
		t.Errorf("%d of the two accepted messages served, want both", tr.countAnswers(Served))
	}
}

// TestFeedPauseDispatch checks that a pause of dispatch holds back messages too, and that a member
// that became unavailable during the pause gets none afterwards.
func TestFeedPauseDispatch(t *testing.T) {
	for _, drains := range []bool{false, true} {
		h := newHarness(t, 2)
		tr := newFeedTransport(h, 20)
		tr.publish(1)
		tr.feed.Connected()
		tr.acknowledge(1)
		first := tr.member.ID
		h.PauseDispatch()
		if tr.publish(3); len(tr.inFlight) != 0 {
			t.Errorf("%d messages were sent while dispatch was paused, want 0", len(tr.inFlight))
		}
		if drains {
			h.UpdateMembers(policy.ListDelta, []Member{h.draining(first)})
		}
		h.ResumeDispatch()
		h.advance(time.Millisecond)
		if drains {
			if tr.member == nil || tr.member.ID == first {
				t.Fatal("the feed did not connect to another member")
			}
			tr.feed.Connected()
		}
		if len(tr.inFlight) != 3 || (tr.member.ID == first) == drains {
			t.Errorf("drains %v: %d messages are in flight at member %d, want 3; the first member was %d",
				drains, len(tr.inFlight), tr.member.ID, first)
		}
		tr.acknowledge(3)
		if tr.countAnswers(Served) != 4 {
			t.Errorf("drains %v: %d messages served, want 4", drains, tr.countAnswers(Served))
		}
	}
}

// TestFeedDedupWindow checks that a message that may have been processed is retried only within the
// deduplication window of its first such attempt, and is answered in either case.
func TestFeedDedupWindow(t *testing.T) {
	for _, c := range []struct {
		class    int
		after    time.Duration // from the first attempt until the second link is established
		attempts int
	}{
		{keyScopeAllClass, 890 * time.Millisecond, 2}, {keyScopeAllClass, 910 * time.Millisecond, 1}, {idempotentClass, 910 * time.Millisecond, 2},
	} {
		h := newHarnessWith(t, classesText, testMembers(2, policy.Ready))
		tr := newFeedTransportInClass(h, c.class, 10)
		tr.publish(1)
		tr.feed.Connected()
		first := h.now
		h.now += 800 * time.Millisecond
		tr.disconnect(policy.Reset, tr.written)
		if tr.member == nil {
			t.Fatalf("class %d: the feed did not connect again", c.class)
		}
		h.now = first + c.after
		tr.feed.Connected()
		if tr.attempts[1] != c.attempts {
			t.Errorf("class %d: link established again %v after the first send: %d attempts, want %d",
				c.class, c.after, tr.attempts[1], c.attempts)
		}
		if tr.acknowledge(1); c.attempts == 1 {
			h.advance(2 * time.Second)
		}
		if want := map[int]Answer{1: Failed, 2: Served}[c.attempts]; tr.answers[1] != want {
			t.Errorf("class %d, link established again after %v: answer %q, want %q",
				c.class, c.after, tr.answers[1], want)
		}
	}
}

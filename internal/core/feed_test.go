package core

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"dahliarudder/internal/window"
	"dahliarudder/policy"
)

// pipe is a transport that keeps what it receives, and holds the core to the rules.
type pipe struct {
	r       *rig
	f       *Feed
	to      *Member // of the link that is there
	out     []uint64
	written uint64
	shut    bool // the link takes nothing more for now
	tries   map[uint64]int
	due     map[uint64]time.Duration
	answers map[uint64]Answer
	after   time.Duration
	rooms   int
}

func newPipe(r *rig, messages int) *pipe {
	p := &pipe{r: r, tries: map[uint64]int{}, due: map[uint64]time.Duration{}, answers: map[uint64]Answer{}}
	p.f = r.NewFeed(Request{Load: 0.01, TimeLeft: 2 * time.Second}, FeedLimits{Messages: messages, Bytes: 1 << 20}, p)
	return p
}

func (p *pipe) Connect(to *Member, _ time.Duration) {
	if p.to != nil {
		p.r.t.Errorf("a second link, to %s beside %s", to.Name, p.to.Name)
	}
	p.to, p.out, p.written = to, nil, 0
}
func (p *pipe) Writable() bool { return !p.shut }
func (p *pipe) WriteMessage(text []byte, m *window.Message) {
	p.written += uint64(len(text))
	m.Offset = p.written
	p.out = append(p.out, m.Sequence)
	p.tries[m.Sequence]++
	at := p.r.members[p.to.ID]
	switch {
	case p.tries[m.Sequence] > 3, m.Attempts != p.tries[m.Sequence]:
		p.r.t.Errorf("message %d: attempt %d (%d)", m.Sequence, p.tries[m.Sequence], m.Attempts)
	case p.answers[m.Sequence] != "":
		p.r.t.Errorf("message %d is sent after its answer %s", m.Sequence, p.answers[m.Sequence])
	case at.unavailable && p.r.now-at.unavailableSince > 250*time.Millisecond:
		p.r.t.Errorf("message %d is sent %v after its member left", m.Sequence, p.r.now-at.unavailableSince)
	case p.r.dispatchPaused:
		p.r.t.Errorf("message %d is sent during a doubt", m.Sequence)
	case string(text) != fmt.Sprint("message ", m.Sequence):
		p.r.t.Errorf("message %d has text %q", m.Sequence, text)
	}
}
func (p *pipe) Disconnect() uint64 {
	p.to, p.out = nil, nil
	return p.written
}
func (p *pipe) Answer(m *window.Message, _ []byte, a Answer, after time.Duration) {
	if p.answers[m.Sequence] != "" {
		p.r.t.Errorf("message %d is answered %s after %s", m.Sequence, a, p.answers[m.Sequence])
	}
	if late := p.r.now - p.due[m.Sequence]; late > 0 {
		p.r.t.Errorf("message %d is answered %v late", m.Sequence, late)
	}
	p.answers[m.Sequence], p.after = a, after
}
func (p *pipe) OnCapacity() { p.rooms++ }

// put publishes so many messages, as far as there is capacity.
func (p *pipe) put(n int) {
	for range n {
		if !p.f.HasCapacity() {
			return
		}
		mark := uint64(len(p.due) + 1)
		p.due[mark] = p.r.now + 2*time.Second
		p.f.Publish(window.Message{Subject: mark % 3, Sequence: mark}, fmt.Append(p.f.Buffer(20), "message ", mark))
	}
}

// take has the member take so many.
func (p *pipe) take(n int) {
	n = min(n, len(p.out))
	p.out = p.out[n:]
	p.f.Acknowledged(n)
}

// lose breaks the link, with so many of its bytes sent.
func (p *pipe) lose(result policy.Result, left uint64) {
	p.to, p.out = nil, nil
	p.f.Disconnected(result, left)
}

func (p *pipe) count(a Answer) (n int) {
	for _, x := range p.answers {
		if x == a {
			n++
		}
	}
	return n
}

// TestFeed: any number of messages takes one place, and each has its answer and its record.
func TestFeed(t *testing.T) {
	r := newRig(t, 2)
	p := newPipe(r, 500)
	p.put(300)
	if p.to == nil || len(p.out) > 0 {
		t.Fatal("messages are sent before the link stands")
	}
	p.f.Connected()
	for len(p.out) > 0 {
		p.take(7)
	}
	if c := r.Counts; c.Requests != 1 || c.Messages.Served != 300 || p.count(Served) != 300 || r.FlowCount(p.to.ID) != 1 {
		t.Errorf("%+v", c)
	}
	if len(r.book) != 1+2*300 {
		t.Errorf("%d records", len(r.book))
	}
	r.pass(feedIdleTimeout + time.Second)
	if r.ActiveRequests() != 0 || p.to != nil {
		t.Error("a feed that rests keeps its place")
	}
	p.put(1)
	p.f.Connected()
	p.take(1)
	if p.count(Served) != 301 {
		t.Error("a feed that has rested does not go on")
	}
	p.f.Close()
	if r.ActiveRequests() != 0 || len(r.feeds) != 0 {
		t.Error("something is left of a feed that was closed")
	}
}

// TestFeedFull: a full window takes no more, and says when there is capacity.
func TestFeedFull(t *testing.T) {
	r := newRig(t, 2)
	p := newPipe(r, 10)
	p.put(20)
	if p.f.Connected(); len(p.due) != 10 || len(p.out) != 10 || p.rooms != 0 {
		t.Fatalf("%d taken, %d out", len(p.due), len(p.out))
	}
	if p.take(1); p.rooms != 1 {
		t.Errorf("room was told %d times", p.rooms)
	}
}

// TestFeedMemory: all feeds together keep within their memory, yet each may hold a message.
func TestFeedMemory(t *testing.T) {
	r := newRig(t, 2)
	r.FeedMemoryLimit = 10 << 10
	pipes := []*pipe{newPipe(r, 5000), newPipe(r, 5000), newPipe(r, 5000)}
	for _, p := range pipes {
		p.put(5000)
	}
	if r.feedBytes > 10<<10+2*feedMinBytes+100 {
		t.Errorf("%d bytes are held", r.feedBytes)
	}
	for _, p := range pipes {
		if len(p.due) == 0 {
			t.Error("a feed may hold nothing")
		}
		p.f.Close()
	}
	if r.feedBytes != 0 {
		t.Errorf("%d bytes are counted after the end", r.feedBytes)
	}
}

// TestFeedDrain: nothing more is handed to a member once it drains; what is out is answered
// there or sent again elsewhere, after its link has ended.
func TestFeedDrain(t *testing.T) {
	r := newRig(t, 2)
	p := newPipe(r, 500)
	p.put(5)
	p.f.Connected()
	first := p.to.ID
	drained := list(2, policy.Ready)
	drained[first-10].State = policy.Draining
	r.UpdateMembers(policy.ListFull, drained)
	if p.put(3); len(p.out) != 5 || p.to.ID != first {
		t.Fatalf("%d out", len(p.out))
	}
	r.pass(time.Millisecond)
	if p.take(3); p.to.ID != first {
		t.Error("the link was cut while its answers come")
	}
	r.pass(1500 * time.Millisecond) // the last two say nothing
	if p.to == nil || p.to.ID == first {
		t.Fatal("no new place")
	}
	p.f.Connected()
	if p.take(9); p.count(Served) != 8 || p.tries[4] != 2 || p.tries[6] != 1 {
		t.Errorf("%d served, attempts %v", p.count(Served), p.tries)
	}
}

// TestFeedRejected: messages wait while nothing has capacity, and are given up at once when their time
// ends before they may come again.
func TestFeedRejected(t *testing.T) {
	r := newRig(t, 0)
	p := newPipe(r, 500)
	p.put(3)
	r.pass(time.Second)
	if len(p.answers) != 0 {
		t.Fatalf("given up early: %v", p.answers)
	}
	if r.pass(time.Second); p.count(Rejected) != 3 || p.after <= 0 {
		t.Errorf("answers %v, come again in %v", p.answers, p.after)
	}
	p.put(2)
	r.UpdateMembers(policy.ListFull, list(2, policy.Ready))
	r.pass(time.Second)
	if p.to == nil {
		t.Fatal("no place is asked for again")
	}
	p.f.Connected()
	if p.take(2); p.count(Served) != 2 {
		t.Errorf("answers %v", p.answers)
	}
	r.shut = true // the store fails
	if p.put(1); p.count(Rejected) != 4 {
		t.Errorf("answers %v while nothing can be recorded", p.answers)
	}
}

// TestFeedSlowStart: feeds that come together to a member that has just started send it no more than it
// has shown to take, and all have their turn.
func TestFeedSlowStart(t *testing.T) {
	r := newRig(t, 1)
	r.members[10].joinedAt = r.now // for the core alone: the policy would let hardly any feed in
	var pipes []*pipe
	for range 200 {
		p := newPipe(r, 100)
		p.put(30)
		pipes = append(pipes, p)
	}
	r.pass(50 * time.Millisecond)
	out := func() (n int) {
		for _, p := range pipes {
			n += len(p.out)
		}
		return n
	}
	for _, p := range pipes {
		if p.to != nil {
			p.f.Connected()
		}
	}
	if n := out(); n == 0 || n > window.InitialWindow {
		t.Fatalf("%d messages are out at a cold member", n)
	}
	taken := 0
	for range 1000 {
		for _, p := range pipes {
			if len(p.out) > 0 {
				p.take(1)
				taken++
			}
			if n := out(); n > window.InitialWindow+taken {
				t.Fatalf("%d messages are out after %d were taken", n, taken)
			}
		}
	}
	for i, p := range pipes {
		if p.to != nil && p.f.state == feedConnected && p.count(Served) != 30 {
			t.Fatalf("feed %d has had %d of 30 served", i, p.count(Served))
		}
	}
	if taken < 100 {
		t.Fatalf("only %d messages were taken: this test shows nothing", taken)
	}
}

// TestFeedQueue: who waits for a member in slow start leaves its line with its link, and is in the line of
// where it goes next: else it would wait there until its messages' time is over.
func TestFeedQueue(t *testing.T) {
	r := newRig(t, 1)
	m := r.members[10]
	m.joinedAt = r.now
	hog, next, last := newPipe(r, 100), newPipe(r, 100), newPipe(r, 100)
	for _, p := range []*pipe{hog, next, last} {
		p.put(2 * window.InitialWindow)
		p.f.Connected()
	}
	if len(m.feedQueue) != 2 || len(next.out) > 0 {
		t.Fatalf("%d in line", len(m.feedQueue))
	}
	if last.f.Close(); len(m.feedQueue) != 1 {
		t.Errorf("%d in line after one has closed", len(m.feedQueue))
	}
	other := &member{Member: Member{Name: "other"}}
	r.enqueueFeed(other, next.f)
	if len(m.feedQueue) != 0 || len(other.feedQueue) != 1 {
		t.Errorf("%d and %d in line after one has gone to the other", len(m.feedQueue), len(other.feedQueue))
	}
	if next.lose(policy.Reset, 0); len(other.feedQueue) != 0 {
		t.Error("a feed whose link has ended is in line")
	}
}

// TestFeedSteps: random publications, acknowledgements, refusals, lost links, drains and pauses:
// the transport checks each step, and in the end every message has one answer. In half of the runs pauses of dispatch, ejections, agreed drains, and
// drains and the stop of the relay come too.
func TestFeedSteps(t *testing.T) {
	all := 0 // of the messages sent in the runs with more
	for seed := range uint64(120) {
		more := seed >= 60
		rng := rand.New(rand.NewPCG(seed, 2))
		r := newRig(t, 3)
		var pipes []*pipe
		for range 4 {
			pipes = append(pipes, newPipe(r, 30))
		}
		members := list(3, policy.Ready)
		for range 600 {
			p := pipes[rng.IntN(len(pipes))]
			switch rng.IntN(12) {
			case 0, 1, 2:
				p.put(rng.IntN(8))
			case 3, 4:
				if p.to != nil {
					p.f.Connected()
				}
			case 5, 6, 7:
				p.take(rng.IntN(6))
			case 8:
				if p.to != nil {
					p.lose([]policy.Result{policy.Reset, policy.ConnectFailed, policy.Error}[rng.IntN(3)], rng.Uint64N(p.written+1))
				}
			case 9:
				p.f.MessageRejected(rng.Uint64N(3))
			case 10:
				i := rng.IntN(3)
				members[i].State = []policy.ServerState{policy.Ready, policy.Draining}[rng.IntN(2)]
				r.UpdateMembers(policy.ListDelta, members[i:i+1])
			case 11:
				p.shut = !p.shut
				if !p.shut {
					p.f.OnWritable()
				}
			}
			if more && rng.IntN(4) == 0 {
				name := fmt.Sprint("m", rng.IntN(3))
				[]func(){r.PauseDispatch, r.ResumeDispatch, r.ResumeDispatch, func() { r.Eject(name) }, func() { r.Reinstate(name) }, func() { r.Reinstate(name) },
					func() { r.SetFleetRemovals(map[string]Removal{name: {SpreadOver: 300 * time.Millisecond}}) }, func() { r.SetFleetRemovals(nil) },
					r.Drain, r.Resume}[rng.IntN(10)]()
			}
			r.pass(time.Duration(rng.IntN(60)) * time.Millisecond)
		}
		if more {
			r.Stop()
			r.pass(r.StopTimeout())
			r.FinishStop()
			if r.ActiveRequests() != 0 {
				t.Errorf("seed %d: %d held after the end of the stop", seed, r.ActiveRequests())
			}
		}
		r.pass(3 * time.Second)
		sent := 0
		for i, p := range pipes {
			if len(p.answers) != len(p.due) {
				t.Errorf("seed %d, feed %d: %d answers to %d messages", seed, i, len(p.answers), len(p.due))
			}
			sent += len(p.tries)
			p.f.Close()
		}
		if c := r.Counts.Messages; c.Accepted != c.Served+c.Rejected+c.Failed || sent == 0 && !more || r.ActiveRequests() != 0 || r.feedBytes != 0 {
			t.Errorf("seed %d: %+v, %d held", seed, r.Counts, r.ActiveRequests())
		}
		if more {
			all += sent
		}
		if t.Failed() {
			return
		}
	}
	if all < 1000 {
		t.Errorf("%d messages sent in the runs with more", all)
	}
}

// TestFeedFinishStop: messages whose feed still looks for a place when the time of a stop is up are rejected, for as long as any other
// request then, also of a class whose flow's own request may not be.
func TestFeedFinishStop(t *testing.T) {
	r := newRigOf(t, classesText, list(1, policy.Ready))
	p := newPipe(r, 10)
	p.f.Close()
	p.f = r.NewFeed(Request{Class: unsafeClass, Load: 0.01, TimeLeft: 2 * time.Second}, FeedLimits{Messages: 10, Bytes: 1 << 20}, p)
	if p.put(3); p.to == nil {
		t.Fatal("no attempt is out")
	}
	r.Stop()
	r.FinishStop()
	if p.count(Rejected) != 3 || p.after != stopRetryAfter || r.ActiveRequests() != 0 {
		t.Errorf("%d rejected, for %v; held %d", p.count(Rejected), p.after, r.ActiveRequests())
	}
}

// TestFeedPauseDispatch: messages are new to a member too: while dispatch is paused none is handed to it, and after that none to one that has left.
func TestFeedPauseDispatch(t *testing.T) {
	for _, left := range []bool{false, true} {
		r := newRig(t, 2)
		p := newPipe(r, 20)
		p.put(1)
		p.f.Connected()
		p.take(1)
		first := p.to.ID
		r.PauseDispatch()
		if p.put(3); len(p.out) != 0 {
			t.Errorf("%d messages were sent during a doubt", len(p.out))
		}
		if left {
			r.UpdateMembers(policy.ListDelta, []Member{r.drains(first)})
		}
		r.ResumeDispatch()
		r.pass(time.Millisecond)
		if left {
			if p.to == nil || p.to.ID == first {
				t.Fatal("no new place")
			}
			p.f.Connected()
		}
		if len(p.out) != 3 || (p.to.ID == first) == left {
			t.Errorf("left %v: %d messages are out at %d, it was at %d", left, len(p.out), p.to.ID, first)
		}
		p.take(3)
		if p.count(Served) != 4 {
			t.Errorf("%d served", p.count(Served))
		}
	}
}

// TestFeedDedupWindow: a message that may have been taken is sent again only within the window of its first such attempt, and
// has its answer all the same.
func TestFeedDedupWindow(t *testing.T) {
	for _, c := range []struct {
		class int
		after time.Duration // from the first attempt until the second link stands
		tries int
	}{
		{keyedAll, 890 * time.Millisecond, 2}, {keyedAll, 910 * time.Millisecond, 1}, {safeClass, 910 * time.Millisecond, 2},
	} {
		r := newRigOf(t, classesText, list(2, policy.Ready))
		p := &pipe{r: r, tries: map[uint64]int{}, due: map[uint64]time.Duration{}, answers: map[uint64]Answer{}}
		p.f = r.NewFeed(Request{Class: c.class, Load: 0.01, TimeLeft: 2 * time.Second}, FeedLimits{Messages: 10, Bytes: 1 << 20}, p)
		p.put(1)
		p.f.Connected()
		first := r.now
		r.now += 800 * time.Millisecond
		p.lose(policy.Reset, p.written)
		if p.to == nil {
			t.Fatalf("class %d: no second link", c.class)
		}
		r.now = first + c.after
		p.f.Connected()
		if p.tries[1] != c.tries {
			t.Errorf("class %d: the second link stood %v after the first send: %d attempts, want %d", c.class, c.after, p.tries[1], c.tries)
		}
		if p.take(1); c.tries == 1 {
			r.pass(2 * time.Second)
		}
		if want := map[int]Answer{1: Failed, 2: Served}[c.tries]; p.answers[1] != want {
			t.Errorf("class %d, after %v: answered %q, want %s", c.class, c.after, p.answers[1], want)
		}
	}
}

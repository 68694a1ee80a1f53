package window

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

func putMessage(w *Window, id, subject uint64, deadline time.Duration) {
	w.Put(Message{ID: id, Subject: subject, Sequence: id, Deadline: deadline}, fmt.Appendf(w.Buffer(16), "text of %d;", id))
}

// beginAll begins an attempt for each message that may be sent, and returns their IDs.
func beginAll(w *Window, now time.Duration) (ids []uint64) {
	for m := w.Next(); m != nil; m = w.Next() {
		w.Begin(now)
		m.Offset = m.ID
		ids = append(ids, m.ID)
	}
	return ids
}

// outcomes collects the IDs of messages by outcome.
type outcomes struct {
	served, failed, expired []uint64
	results                 map[uint64]Result
}

func (o *outcomes) onServed(m *Message) { o.served = append(o.served, m.ID) }
func (o *outcomes) onFailed(m *Message) { o.failed = append(o.failed, m.ID) }
func (o *outcomes) onAttemptEnded(m *Message, r Result) {
	if o.results == nil {
		o.results = map[uint64]Result{}
	}
	o.results[m.ID] = r
}
func (o *outcomes) onExpired(m *Message, _ bool) { o.expired = append(o.expired, m.ID) }

func wantEqual(t *testing.T, label string, got, want any) {
	t.Helper()
	if fmt.Sprint(got) != fmt.Sprint(want) {
		t.Errorf("%s: got %v, want %v", label, got, want)
	}
}

// TestLinkClosed checks that messages without an acknowledgement wait again in their order. Those
// that were written may have been processed, so they fail if they may not be repeated; those that
// were not written are retried in any case.
func TestLinkClosed(t *testing.T) {
	for _, repeatable := range []bool{true, false} {
		w := New(Limits{MaxMessages: 10, MaxBytes: 1000, MaxAttempts: 3, LatencyObjective: time.Second, Repeatable: repeatable})
		for id := range uint64(6) {
			putMessage(w, id+1, 7, time.Minute)
		}
		wantEqual(t, "sent", beginAll(w, 1), []uint64{1, 2, 3, 4, 5, 6})
		var got outcomes
		w.Acknowledged(2, 2, got.onServed)
		putMessage(w, 7, 7, time.Minute)
		w.LinkClosed(4, got.onAttemptEnded, got.onFailed) // 3 and 4 were written, 5 and 6 were not
		wantEqual(t, "served", got.served, []uint64{1, 2})
		wantEqual(t, "results", got.results, map[uint64]Result{3: AckLost, 4: AckLost, 5: NotWritten, 6: NotWritten})
		if repeatable {
			wantEqual(t, "failed", got.failed, []uint64(nil))
			wantEqual(t, "retried", beginAll(w, 3), []uint64{3, 4, 5, 6, 7})
		} else {
			wantEqual(t, "failed", got.failed, []uint64{3, 4})
			wantEqual(t, "retried", beginAll(w, 3), []uint64{5, 6, 7})
		}
	}
}

// TestAttempts checks that a message fails after its third attempt.
func TestAttempts(t *testing.T) {
	w := New(Limits{MaxMessages: 10, MaxBytes: 1000, MaxAttempts: 3, LatencyObjective: time.Second, Repeatable: true})
	putMessage(w, 1, 7, time.Minute)
	var got outcomes
	for range 3 {
		wantEqual(t, "sent", beginAll(w, 1), []uint64{1})
		w.LinkClosed(9, got.onAttemptEnded, got.onFailed)
	}
	wantEqual(t, "failed", got.failed, []uint64{1})
	if !w.Idle() || w.Next() != nil {
		t.Error("the window still holds the message after its last attempt")
	}
}

// TestRejected checks that after a rejection nothing is sent until all messages in flight are
// acknowledged, and that the rejected message is retried only if no later message of its subject
// was acknowledged, since the order would change.
func TestRejected(t *testing.T) {
	for _, c := range []struct {
		name            string
		subjects        []uint64
		retried, failed []uint64
	}{
		{"subject without later messages", []uint64{7, 8, 9}, []uint64{1, 4}, nil},
		{"subject with a later message", []uint64{7, 8, 7}, []uint64{4}, []uint64{1}},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := New(Limits{MaxMessages: 10, MaxBytes: 1000, MaxAttempts: 3, LatencyObjective: time.Second, Repeatable: true})
			for i, s := range c.subjects {
				putMessage(w, uint64(i+1), s, time.Minute)
			}
			beginAll(w, 1)
			if w.MarkRejected(7) == nil || w.MarkRejected(99) != nil {
				t.Fatal("MarkRejected(7) found no message, or MarkRejected(99) found one")
			}
			putMessage(w, 4, 5, time.Minute)
			wantEqual(t, "sent before all others are acknowledged", beginAll(w, 2), []uint64(nil))
			var got outcomes
			if w.Acknowledged(3, 2, got.onServed); w.Settled() {
				t.Error("Settled() = true with one message in flight")
			}
			if w.Acknowledged(3, 1, got.onServed); !w.Settled() {
				t.Error("Settled() = false with all messages in flight acknowledged")
			}
			wantEqual(t, "served", got.served, []uint64{2, 3})
			w.LinkClosed(9, got.onAttemptEnded, got.onFailed)
			wantEqual(t, "failed", got.failed, c.failed)
			wantEqual(t, "retried", beginAll(w, 4), c.retried)
		})
	}
}

// TestAckDeadline checks that an attempt leaves time for another one, while the last attempt has
// all the remaining time, and that a waiting message expires at its deadline while one in flight
// does not.
func TestAckDeadline(t *testing.T) {
	w := New(Limits{MaxMessages: 10, MaxBytes: 1000, MaxAttempts: 2, LatencyObjective: 100, Repeatable: true})
	putMessage(w, 1, 7, 1000)
	beginAll(w, 0)
	if at, ok := w.AckDeadline(); !ok || at != 600 {
		t.Errorf("AckDeadline() of the first attempt = %v, %v, want 600", at, ok)
	}
	var got outcomes
	w.LinkClosed(0, got.onAttemptEnded, got.onFailed)
	beginAll(w, 600)
	if at, _ := w.AckDeadline(); at != 1000 {
		t.Errorf("AckDeadline() of the last attempt = %v, want 1000", at)
	}
	if w.Expire(2000, got.onExpired); got.expired != nil {
		t.Errorf("messages %v expired while in flight", got.expired)
	}
	w.LinkClosed(0, got.onAttemptEnded, got.onFailed)
	putMessage(w, 2, 7, 3000)
	putMessage(w, 3, 7, 3001)
	w.Expire(3000, got.onExpired)
	wantEqual(t, "failed, expired", fmt.Sprint(got.failed, got.expired), "[1] [2]")
}

// TestWindowSize checks that the window grows while acknowledgements are fast and shrinks when
// they are late, once for each round trip.
func TestWindowSize(t *testing.T) {
	w := New(Limits{MaxMessages: 100, MaxBytes: 1 << 20, MaxAttempts: 3, LatencyObjective: 1000, Repeatable: true})
	for id := range uint64(100) {
		putMessage(w, id+1, 7, time.Minute)
	}
	var got outcomes
	wantEqual(t, "initial window", len(beginAll(w, 0)), InitialWindow)
	w.Acknowledged(100, InitialWindow, got.onServed)
	wantEqual(t, "after fast acknowledgements", len(beginAll(w, 200)), 2*InitialWindow)
	w.Acknowledged(900, 1, got.onServed)
	w.Acknowledged(901, 1, got.onServed)
	w.Acknowledged(1300, 2*InitialWindow-2, got.onServed)
	wantEqual(t, "after late acknowledgements", len(beginAll(w, 1400)), InitialWindow)
}

// TestSlowStart checks that all feeds together send a member in slow start no more than the limit,
// which grows with accepted messages, and that a warm member has no limit.
func TestSlowStart(t *testing.T) {
	p := NewSlowStart(1000, 500)
	n := 0
	for ; p.MaySend(1100); n++ {
		p.Sent()
	}
	wantEqual(t, "in flight at first", n, InitialWindow)
	p.Release(InitialWindow, InitialWindow)
	for n = 0; p.MaySend(1200); n++ {
		p.Sent()
	}
	wantEqual(t, "in flight after the first were accepted", n, 2*InitialWindow)
	if p.Active(1500) || !p.MaySend(1500) || !NewSlowStart(0, 500).MaySend(0) {
		t.Error("the limit still applies after the slow start, or to a member that was warm from the start")
	}
}

// TestRandomEvents applies random events, tracks the state of each message on its own, and checks that
// each message has one final outcome, a limited number of attempts, one at a time and in order, and
// the text that was put.
func TestRandomEvents(t *testing.T) {
	for seed := range uint64(300) {
		rng := rand.New(rand.NewPCG(seed, 1))
		w := New(Limits{MaxMessages: 40, MaxBytes: 400, MaxAttempts: 3, LatencyObjective: 100, Repeatable: seed%2 == 0})
		type messageState struct {
			subject  uint64
			attempts int
			inFlight bool
			outcome  string
		}
		states := map[uint64]*messageState{}
		var lastPut, lastSent uint64        // message IDs; lastSent is on the current link, 0 for none
		newestServed := map[uint64]uint64{} // by subject
		now := time.Duration(0)
		finish := func(m *Message, outcome string) {
			state := states[m.ID]
			if state.outcome != "" || state.inFlight && outcome != "served" {
				t.Fatalf("seed %d: message %d %s, but its outcome was %q, in flight %v",
					seed, m.ID, outcome, state.outcome, state.inFlight)
			}
			if string(w.Text(m)) != fmt.Sprintf("text of %d;", m.ID) {
				t.Fatalf("seed %d: message %d has text %q, want the text that was put", seed, m.ID, w.Text(m))
			}
			state.outcome, state.inFlight = outcome, false
		}
		serve := func(m *Message) {
			finish(m, "served")
			subject := states[m.ID].subject
			if newestServed[subject] > m.ID {
				t.Fatalf("seed %d: message %d of subject %d was served after message %d",
					seed, m.ID, subject, newestServed[subject])
			}
			newestServed[subject] = m.ID
		}
		closeLink := func() {
			w.LinkClosed(rng.Uint64N(lastPut+2), func(m *Message, _ Result) { states[m.ID].inFlight = false }, func(m *Message) { finish(m, "failed") })
			lastSent = 0
		}
		for range 400 {
			now += time.Duration(rng.IntN(20))
			switch rng.IntN(9) {
			case 0, 1, 2:
				if w.HasCapacity() {
					lastPut++
					subject := rng.Uint64N(4)
					states[lastPut] = &messageState{subject: subject}
					putMessage(w, lastPut, subject, now+300)
				}
			case 3, 4:
				if m := w.Next(); m != nil {
					w.Begin(now)
					state := states[m.ID]
					if state.attempts++; state.inFlight || state.outcome != "" || state.attempts > 3 || state.attempts != m.Attempts || m.ID <= lastSent {
						t.Fatalf("seed %d: message %d (attempt %d) was sent in state %+v after message %d",
							seed, m.ID, m.Attempts, *state, lastSent)
					}
					state.inFlight, lastSent, m.Offset = true, m.ID, m.ID
				}
			case 5, 6:
				w.Acknowledged(now, rng.IntN(4), serve)
			case 7:
				w.MarkRejected(rng.Uint64N(4))
				if w.Settled() {
					closeLink()
				}
			case 8:
				if deadline, ok := w.AckDeadline(); ok && deadline <= now {
					closeLink()
				}
				w.Expire(now, func(m *Message, mayHaveRun bool) {
					if mayHaveRun && states[m.ID].attempts == 0 {
						t.Fatalf("seed %d: message %d expired as one that may have run, but was never sent",
							seed, m.ID)
					}
					finish(m, "expired")
				})
			}
		}
		closeLink()
		w.Expire(1<<62, func(m *Message, _ bool) { finish(m, "expired") })
		for id, state := range states {
			if state.outcome == "" {
				t.Errorf("seed %d: message %d has no outcome: %+v", seed, id, *state)
			}
		}
		if !w.Idle() || w.Bytes() != 0 {
			t.Errorf("seed %d: the window holds %d messages, %d bytes at the end, want none", seed, w.Len(), w.Bytes())
		}
	}
}

package window

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

func put(w *Window, id, subject uint64, due time.Duration) {
	w.Put(Message{ID: id, Subject: subject, Sequence: id, Deadline: due}, fmt.Appendf(w.Buffer(16), "text of %d;", id))
}

// begin sends what may be sent and returns the ids.
func begin(w *Window, now time.Duration) (ids []uint64) {
	for m := w.Next(); m != nil; m = w.Next() {
		w.Begin(now)
		m.Offset = m.ID
		ids = append(ids, m.ID)
	}
	return ids
}

// book notes what becomes of messages.
type book struct {
	served, failed, given []uint64
	ended                 map[uint64]Result
}

func (b *book) serve(m *Message) { b.served = append(b.served, m.ID) }
func (b *book) fail(m *Message)  { b.failed = append(b.failed, m.ID) }
func (b *book) end(m *Message, r Result) {
	if b.ended == nil {
		b.ended = map[uint64]Result{}
	}
	b.ended[m.ID] = r
}
func (b *book) give(m *Message, _ bool) { b.given = append(b.given, m.ID) }

func want(t *testing.T, what string, got, want any) {
	t.Helper()
	if fmt.Sprint(got) != fmt.Sprint(want) {
		t.Errorf("%s: %v, want %v", what, got, want)
	}
}

// TestLostLink: what has no answer comes back in its order; what had left counts as perhaps taken,
// what had not does not, and where a class may not be repeated that decides.
func TestLostLink(t *testing.T) {
	for _, repeat := range []bool{true, false} {
		w := New(Limits{MaxMessages: 10, MaxBytes: 1000, MaxAttempts: 3, LatencyObjective: time.Second, Repeatable: repeat})
		for id := range uint64(6) {
			put(w, id+1, 7, time.Minute)
		}
		want(t, "sent", begin(w, 1), []uint64{1, 2, 3, 4, 5, 6})
		var b book
		w.Acknowledged(2, 2, b.serve)
		put(w, 7, 7, time.Minute)
		w.LinkClosed(4, b.end, b.fail) // 3 and 4 had left, 5 and 6 had not
		want(t, "served", b.served, []uint64{1, 2})
		want(t, "results", b.ended, map[uint64]Result{3: AckLost, 4: AckLost, 5: NotWritten, 6: NotWritten})
		if repeat {
			want(t, "failed", b.failed, []uint64(nil))
			want(t, "sent again", begin(w, 3), []uint64{3, 4, 5, 6, 7})
		} else {
			want(t, "failed", b.failed, []uint64{3, 4})
			want(t, "sent again", begin(w, 3), []uint64{5, 6, 7})
		}
	}
}

// TestAttempts: a message is not sent a fourth time.
func TestAttempts(t *testing.T) {
	w := New(Limits{MaxMessages: 10, MaxBytes: 1000, MaxAttempts: 3, LatencyObjective: time.Second, Repeatable: true})
	put(w, 1, 7, time.Minute)
	var b book
	for range 3 {
		want(t, "sent", begin(w, 1), []uint64{1})
		w.LinkClosed(9, b.end, b.fail)
	}
	want(t, "failed", b.failed, []uint64{1})
	if !w.Idle() || w.Next() != nil {
		t.Error("it is still held")
	}
}

// TestRejected: after a refusal nothing is sent until all that is out is settled; the refused one
// is sent again only if its subject has not gone on behind it.
func TestRejected(t *testing.T) {
	for _, c := range []struct {
		subjects    []uint64
		again, fail []uint64
	}{
		{[]uint64{7, 8, 9}, []uint64{1, 4}, nil},
		{[]uint64{7, 8, 7}, []uint64{4}, []uint64{1}},
	} {
		w := New(Limits{MaxMessages: 10, MaxBytes: 1000, MaxAttempts: 3, LatencyObjective: time.Second, Repeatable: true})
		for i, s := range c.subjects {
			put(w, uint64(i+1), s, time.Minute)
		}
		begin(w, 1)
		if w.MarkRejected(7) == nil || w.MarkRejected(99) != nil {
			t.Fatal("the wrong message")
		}
		put(w, 4, 5, time.Minute)
		want(t, "sent meanwhile", begin(w, 2), []uint64(nil))
		var b book
		if w.Acknowledged(3, 2, b.serve); w.Settled() {
			t.Error("settled with one out")
		}
		if w.Acknowledged(3, 1, b.serve); !w.Settled() {
			t.Error("not settled")
		}
		want(t, "served", b.served, []uint64{2, 3})
		w.LinkClosed(9, b.end, b.fail)
		want(t, "failed", b.failed, c.fail)
		want(t, "sent again", begin(w, 4), c.again)
	}
}

// TestAckDeadline: an attempt leaves time for another, the last one has all of it; who waits in
// vain is given up when its time is over and not before.
func TestAckDeadline(t *testing.T) {
	w := New(Limits{MaxMessages: 10, MaxBytes: 1000, MaxAttempts: 2, LatencyObjective: 100, Repeatable: true})
	put(w, 1, 7, 1000)
	begin(w, 0)
	if at, ok := w.AckDeadline(); !ok || at != 600 {
		t.Errorf("silent at %v", at)
	}
	var b book
	w.LinkClosed(0, b.end, b.fail)
	begin(w, 600)
	if at, _ := w.AckDeadline(); at != 1000 {
		t.Errorf("the last one is silent at %v", at)
	}
	if w.Expire(2000, b.give); b.given != nil {
		t.Error("given up while it is out")
	}
	w.LinkClosed(0, b.end, b.fail)
	put(w, 2, 7, 3000)
	put(w, 3, 7, 3001)
	w.Expire(3000, b.give)
	want(t, "failed, given up", fmt.Sprint(b.failed, b.given), "[1] [2]")
}

// TestSize: the number that is out grows while answers are quick and falls when they are late,
// once for each round.
func TestSize(t *testing.T) {
	w := New(Limits{MaxMessages: 100, MaxBytes: 1 << 20, MaxAttempts: 3, LatencyObjective: 1000, Repeatable: true})
	for id := range uint64(100) {
		put(w, id+1, 7, time.Minute)
	}
	var b book
	want(t, "at first", len(begin(w, 0)), InitialWindow)
	w.Acknowledged(100, InitialWindow, b.serve)
	want(t, "after quick ones", len(begin(w, 200)), 2*InitialWindow)
	w.Acknowledged(900, 1, b.serve)
	w.Acknowledged(901, 1, b.serve)
	w.Acknowledged(1300, 2*InitialWindow-2, b.serve)
	want(t, "after late ones", len(begin(w, 1400)), InitialWindow)
}

// TestSlowStart: all feeds together send a member in slow start no more than it has shown to take; a warm one
// is not held back.
func TestSlowStart(t *testing.T) {
	p := NewSlowStart(1000, 500)
	n := 0
	for ; p.MaySend(1100); n++ {
		p.Sent()
	}
	want(t, "out at first", n, InitialWindow)
	p.Release(InitialWindow, InitialWindow)
	for n = 0; p.MaySend(1200); n++ {
		p.Sent()
	}
	want(t, "out after that", n, 2*InitialWindow)
	if p.Active(1500) || !p.MaySend(1500) || !NewSlowStart(0, 500).MaySend(0) {
		t.Error("a warm member is held back")
	}
}

// TestSteps: random steps against a plain account of each message: one end each, attempts within
// their limit, one out at a time, in order, and the text that was put.
func TestSteps(t *testing.T) {
	for seed := range uint64(300) {
		rng := rand.New(rand.NewPCG(seed, 1))
		w := New(Limits{MaxMessages: 40, MaxBytes: 400, MaxAttempts: 3, LatencyObjective: 100, Repeatable: seed%2 == 0})
		type account struct {
			subject uint64
			tries   int
			out     bool
			ended   string
		}
		all := map[uint64]*account{}
		var next, last uint64 // to be put, and sent last on this link
		newest := map[uint64]uint64{}
		now := time.Duration(0)
		end := func(m *Message, how string) {
			a := all[m.ID]
			if a.ended != "" || a.out && how != "served" {
				t.Fatalf("seed %d: message %d %s, was %q, out %v", seed, m.ID, how, a.ended, a.out)
			}
			if string(w.Text(m)) != fmt.Sprintf("text of %d;", m.ID) {
				t.Fatalf("seed %d: message %d has text %q", seed, m.ID, w.Text(m))
			}
			a.ended, a.out = how, false
		}
		serve := func(m *Message) {
			end(m, "served")
			if s := all[m.ID].subject; newest[s] > m.ID {
				t.Fatalf("seed %d: message %d of subject %d was taken after %d", seed, m.ID, s, newest[s])
			}
			newest[all[m.ID].subject] = m.ID
		}
		back := func() {
			w.LinkClosed(rng.Uint64N(next+2), func(m *Message, _ Result) { all[m.ID].out = false }, func(m *Message) { end(m, "failed") })
			last = 0
		}
		for range 400 {
			now += time.Duration(rng.IntN(20))
			switch rng.IntN(9) {
			case 0, 1, 2:
				if w.HasCapacity() {
					next++
					subject := rng.Uint64N(4)
					all[next] = &account{subject: subject}
					put(w, next, subject, now+300)
				}
			case 3, 4:
				if m := w.Next(); m != nil {
					w.Begin(now)
					a := all[m.ID]
					if a.tries++; a.out || a.ended != "" || a.tries > 3 || a.tries != m.Attempts || m.ID <= last {
						t.Fatalf("seed %d: message %d sent: %+v, after %d", seed, m.ID, *a, last)
					}
					a.out, last, m.Offset = true, m.ID, m.ID
				}
			case 5, 6:
				w.Acknowledged(now, rng.IntN(4), serve)
			case 7:
				w.MarkRejected(rng.Uint64N(4))
				if w.Settled() {
					back()
				}
			case 8:
				if at, ok := w.AckDeadline(); ok && at <= now {
					back()
				}
				w.Expire(now, func(m *Message, ran bool) {
					if ran != (all[m.ID].tries > 0) && ran {
						t.Fatalf("seed %d: message %d never ran", seed, m.ID)
					}
					end(m, "given up")
				})
			}
		}
		back()
		w.Expire(1<<62, func(m *Message, _ bool) { end(m, "given up") })
		for id, a := range all {
			if a.ended == "" {
				t.Errorf("seed %d: message %d has no end: %+v", seed, id, *a)
			}
		}
		if !w.Idle() || w.Bytes() != 0 {
			t.Errorf("seed %d: %d messages, %d bytes are left", seed, w.Len(), w.Bytes())
		}
	}
}

package drift

import (
	"cmp"
	"fmt"
	"runtime"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// seen is what the oracle keeps of a word: what it said, and whether it was the first after a silence or a restart.
type seen struct {
	at    int64
	kind  State
	first bool
	agree int64 // when what was agreed then was agreed
}

// TestOracle: random sequences of one relay and one item, held against rules that know all of what was said.
func TestOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := NewMonitor(Settings{})
		now, agreedAt := int64(1_000_000), int64(1_000_000)
		intent := Item{"config.tls", 5, 50}
		top, best, starts := uint64(5), uint64(0), uint64(1)
		b := NewReporter("n1", starts)
		run, local, refused := intent, false, uint64(0)
		var words []seen
		lastWord, fresh := int64(-1), true
		w.SetIntent(now, "n1", []Item{intent})
		note := func() {
			switch {
			case local:
				b.RecordOverride(now, run, "call")
			case run.Version > 0:
				b.RecordApplied(now, run, "record")
			}
			if refused > 0 {
				b.RecordRejected(now, Item{"config.tls", refused, 1}, "record", "no")
			}
		}
		note()
		for range rapid.IntRange(20, 120).Draw(t, "steps") {
			switch rapid.IntRange(0, 16).Draw(t, "what") {
			case 0, 1: // agreed anew
				intent = Item{"config.tls", top + 1, top + 51}
				top++
				agreedAt = now
				w.SetIntent(now, "n1", []Item{intent})
			case 2, 3: // applied
				run, local, refused = intent, false, 0
			case 4:
				run, local, refused = Item{"config.tls", run.Version - min(run.Version-1, 1), 7}, false, 0
			case 5:
				run, local, refused = Item{"config.tls", top + 2, 9}, false, 0
			case 6:
				local, refused = true, 0
			case 7:
				local, refused = false, intent.Version
			case 8: // restart
				starts++
				b = NewReporter("n1", starts)
				fresh = true
			case 9: // silence
				now += 1000 * rapid.Int64Range(1, 20).Draw(t, "silent")
			}
			note()
			for range rapid.IntRange(1, 12).Draw(t, "words") {
				now += 1000
				w.Tick(now)
				if lastWord < 0 || now-lastWord > 4000 {
					fresh = true
				}
				word, err := DecodeReport(b.NextReport(now).Encode())
				if err != nil {
					t.Fatal(err)
				}
				w.HandleReport(now, word)
				if r, ok := w.Reply("n1"); ok {
					b.HandleReply(r)
				}
				kind := Lagging
				switch {
				case local:
					kind = Overridden
				case run == intent:
					kind, best = InSync, intent.Version
				case refused == intent.Version:
					kind = Rejected
				case run.Version > top || run.Version == intent.Version:
					kind = Ahead
				case run.Version < best:
					kind = Regressed
				}
				words = append(words, seen{now, kind, fresh, agreedAt})
				lastWord, fresh = now, false
				check(t, w, words, now)
			}
		}
		w.Tick(now + 4001)
		if rows := w.Findings(); len(rows) != 1 || rows[0].State != Unknown {
			t.Fatalf("silent, and %+v", rows)
		}
	})
}

// check holds a state against the rules.
func check(t *rapid.T, w *Monitor, words []seen, now int64) {
	state := w.relays["n1"].item("config.tls").state
	last := words[len(words)-1]
	same, since := 0, last.at // how long it has said the same, heard without a break
	for i := len(words) - 1; i >= 0 && words[i].kind == last.kind; i-- {
		same++
		since = words[i].at
		if words[i].first || words[i].agree != last.agree || i > 0 && words[i].at-words[i-1].at > 1500 {
			break
		}
	}
	before := last.kind
	if len(words) > 1 && !last.first {
		before = words[len(words)-2].kind
	}
	bound := max(w.LagBound("config"), w.recoveryLag.bound)
	switch {
	case same >= 2 && (last.kind == InSync || last.kind == Rejected || last.kind == Overridden) && state != last.kind:
		t.Fatalf("said to be %v twice, yet %v", last.kind, state)
	case last.kind == InSync && state == Propagating, last.kind != InSync && state == InSync:
		t.Fatalf("says %v, yet %v", last.kind, state)
	case state >= Lagging && state != last.kind && state != before && len(words) > 1 && state != held(words):
		t.Fatalf("%v, which no word says: %v %v", state, before, last.kind)
	case (state == Lagging || state == Ahead) && state == last.kind && oldest(words, w) < min(int64(3000), bound):
		t.Fatalf("%v too soon", state)
	case (last.kind == Lagging || last.kind == Ahead || last.kind == Regressed) && now-since > bound+2000 && state != last.kind:
		t.Fatalf("says %v for %d ms, the bound is %d, and it is %v", last.kind, now-since, bound, state)
	}
}

// held is what was claimed on a word that only one other has contradicted since.
func held(words []seen) State {
	for i := len(words) - 1; i > 0; i-- {
		if words[i].kind == words[i-1].kind {
			return words[i].kind
		}
	}
	return words[0].kind
}

// oldest is since when it was heard not to be in step.
func oldest(words []seen, w *Monitor) int64 {
	last := words[len(words)-1]
	at := last.at
	for i := len(words) - 1; i >= 0 && words[i].kind != InSync; i-- {
		at = min(words[i].at, words[i].agree)
		if words[i].first {
			at = words[i].at
			break
		}
	}
	return last.at - at
}

// one is a Watch with n relays that are in step on some items, heard for a minute.
func one(n int, items ...Item) (*Monitor, []*Reporter, int64) {
	w, books, now := NewMonitor(Settings{}), []*Reporter{}, int64(1_000_000)
	for i := range n {
		b := NewReporter(fmt.Sprintf("n%d", i), 1)
		for _, it := range items {
			b.RecordApplied(now, it, "record")
		}
		b.CountActivity(ItemEjections, KindRemovedMember, 0, 0)
		books = append(books, b)
		w.SetIntent(now, b.relay, items)
	}
	return w, books, say(w, books, now, 30)
}

func say(w *Monitor, books []*Reporter, now int64, words int) int64 {
	for range words {
		now += 1000
		for _, b := range books {
			w.HandleReport(now, b.NextReport(now))
			if r, ok := w.Reply(b.relay); ok {
				b.HandleReply(r)
			}
		}
		w.Tick(now)
	}
	return now
}

func state(w *Monitor, relay, item string) State { return w.relays[relay].item(item).state }

// TestHalfDrifts: drift at half of the fleet takes out no more than the budget, the same ones while they drift, and none that others do not name.
func TestHalfDrifts(t *testing.T) {
	w, books, now := one(10, Item{ItemEjections, 1, 1}, Item{ItemEndpointList, 1, 1})
	for _, b := range books[:5] {
		b.RecordRejected(now, Item{ItemEjections, 2, 2}, "record", "no such member")
	}
	for _, b := range books[5:] {
		b.RecordApplied(now, Item{ItemEjections, 2, 2}, "record")
	}
	for _, b := range books {
		w.SetIntent(now, b.relay, []Item{{ItemEjections, 2, 2}, {ItemEndpointList, 1, 1}})
	}
	now = say(w, books, now, 5)
	take := func(budget int, out []string) (names []string) {
		for _, u := range w.SelectUnfit(budget, out, nil) {
			names = append(names, u.Relay)
		}
		slices.Sort(names)
		return names
	}
	out := take(2, nil)
	if len(take(0, nil)) != 0 || len(take(-1, nil)) != 0 || len(out) != 2 {
		t.Fatal(out)
	}
	books[4].RecordApplied(now, Item{ItemEndpointList, 0, 9}, "file") // a worse one does not push another out
	now = say(w, books, now, 5)
	if again := take(2, out); !slices.Equal(again, out) {
		t.Fatal(again)
	}
	books[0].RecordApplied(now, Item{ItemEjections, 2, 2}, "record")
	now = say(w, books, now, 1)
	if state(w, "n0", ItemEjections) != Rejected {
		t.Fatal("one word takes a claim back")
	}
	say(w, books, now, 1)
	if again := take(2, out); !slices.Equal(again, []string{"n1", "n4"}) {
		t.Fatal(again)
	}
	if lack := w.OutOfSyncRelays(ItemEjections, []string{"n0", "n1", "nobody"}); !slices.Equal(lack, []string{"nobody"}) && !slices.Equal(lack, []string{"n1", "nobody"}) {
		t.Fatal(lack)
	}
}

// TestSaw: others' sights count twice, after the time that sends and sights may have been under way, and are forgotten once they end.
func TestSaw(t *testing.T) {
	w, books, now := one(3, Item{ItemEjections, 1, 1})
	w.RecordSighting(now, "n1", ItemEjections, "m2 got 3 flows")
	if state(w, "n1", ItemEjections) != InSync {
		t.Fatal("one sight is a claim")
	}
	w.RecordSighting(now+1000, "n1", ItemEjections, "m2 got 5 flows")
	now = say(w, books, now, 2)
	if rows := w.Findings(); len(rows) != 1 || rows[0].State != Contradicting || len(rows[0].Evidence) != 2 || w.FullyInSync("n1") || !w.FullyInSync("n0") {
		t.Fatalf("%+v", rows)
	}
	if why, since := w.BlockReason([]string{"n0", "n1"}, nil); why == "" || since != w.Findings()[0].Since {
		t.Fatal(why, since)
	}
	if why, since := w.BlockReason([]string{"n0", "n1"}, func(relay, item string) bool { return relay == "n1" && item == ItemEjections }); why != "" || since != 0 {
		t.Fatal(why, since)
	}
	now = say(w, books, now, 40)
	if rows := w.Findings(); len(rows) != 0 {
		t.Fatalf("behaves, and %+v", rows)
	}
	for _, b := range books {
		w.SetIntent(now, b.relay, []Item{{ItemEjections, 2, 2}})
		b.RecordApplied(now, Item{ItemEjections, 2, 2}, "record")
	}
	now = say(w, books, now, 2)
	w.RecordSighting(now, "n1", ItemEjections, "m2 got 3 flows")
	w.RecordSighting(now, "n1", ItemEjections, "m2 got 4 flows")
	if state(w, "n1", ItemEjections) != InSync {
		t.Fatal("what was under way is held against it")
	}
}

// TestOneAstray: one send astray in a long time is no contradiction however often that happens; two close together are.
func TestOneAstray(t *testing.T) {
	w, books, now := one(3, Item{ItemEjections, 1, 1})
	for range 5 {
		books[1].CountActivity(ItemEjections, KindRemovedMember, 1, 1)
		now = say(w, books, now, 30)
	}
	if rows := w.Findings(); len(rows) != 0 {
		t.Fatalf("%+v", rows)
	}
	books[1].CountActivity(ItemEjections, KindRemovedMember, 2, 2)
	say(w, books, now, 1)
	if state(w, "n1", ItemEjections) != Contradicting {
		t.Fatal(state(w, "n1", ItemEjections))
	}
}

// TestNobodyAgreed: an item that a relay runs and nobody agreed on is ahead, a missing one late, and a relay that is let go is forgotten.
func TestNobodyAgreed(t *testing.T) {
	w, books, now := one(4, Item{"config.a", 1, 1}, Item{"config.b", 1, 1})
	books[1].RecordApplied(now, Item{"config.x", 1, 1}, "file")
	books[2].Remove("config.b")
	now = say(w, books, now, 40)
	if state(w, "n1", "config.x") != Ahead || state(w, "n2", "config.b") != Regressed || len(w.Findings()) != 2 {
		t.Fatalf("%+v", w.Findings())
	}
	books[1].Remove("config.x")
	now = say(w, books, now, 3)
	w.SetIntent(now, "n2", nil)
	if rows := w.Findings(); len(rows) != 0 || len(w.sorted) != 3 {
		t.Fatalf("%+v", rows)
	}
	if say(w, books, now, 1); w.Counts().UnknownRelay != 1 {
		t.Fatal(w.Counts())
	}
}

// TestOtherPaces: no version is claimed to be late where the whole fleet is slow, from its first change on, in small fleets too; with tails as
// long as the last two, 1 in 4,000 and 1 in 2,000 at most is.
func TestOtherPaces(t *testing.T) {
	for _, pace := range []struct {
		name  string
		apply func(*rng) int64
		share float64
	}{
		{"20 to 40 s", func(r *rng) int64 { return 20_000 + r.Int64N(20_000) }, 0},
		{"exponential, 4 s", func(r *rng) int64 { return int64(r.ExpFloat64() * 4000) }, 1.0 / 4000},
		{"long tail, 1 s", func(r *rng) int64 { x := 1 + r.ExpFloat64(); return int64(x * x * 250) }, 1.0 / 2000},
	} {
		for _, n := range []int{3, 40} {
			claims, agreed, first := 0, 0, ""
			for seed := range seeds(2) {
				w := newWorld(seed, n, 8)
				w.apply = pace.apply
				w.warm(120_000)
				for _, it := range w.agreed {
					agreed += n * int(it.Version-1)
				}
				for _, c := range w.watch.History() {
					if c.To >= Lagging && c.To != Unknown {
						claims++
						first = cmp.Or(first, fmt.Sprintf("seed %d: %+v", seed, c))
					}
				}
			}
			t.Logf("%s, %d relays: %d claims of %d", pace.name, n, claims, agreed)
			if float64(claims) > pace.share*float64(agreed) {
				t.Errorf("%s", first)
			}
		}
	}
}

// full is a Watch at its usual most: 300 relays with 64 items.
func full() (*Monitor, []*Reporter, int64) {
	var items []Item
	for i := range 64 {
		items = append(items, Item{fmt.Sprintf("g%d.item%d", i%10, i), 1, uint64(i)})
	}
	return one(300, items...)
}

// TestBounded: memory of 300 relays with 64 items, all of them drifting, whatever they say.
func TestBounded(t *testing.T) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	w, books, now := full()
	for _, b := range books {
		for i := range 64 {
			b.RecordRejected(now, Item{fmt.Sprintf("g%d.item%d", i%10, i), 2, 1}, "record", fmt.Sprintf("%100d", now))
		}
		for range 40 {
			w.RecordSighting(now, b.relay, "g1.item1", "evidence")
		}
	}
	var items []Item
	for i := range 64 {
		items = append(items, Item{fmt.Sprintf("g%d.item%d", i%10, i), 2, uint64(i)})
	}
	for _, b := range books {
		w.SetIntent(now, b.relay, items)
	}
	say(w, books, now, 15)
	if n := len(w.Findings()); n != 300*64 {
		t.Fatal(n, w.Counts())
	}
	books = nil
	runtime.GC()
	runtime.ReadMemStats(&after)
	mb := float64(after.HeapAlloc-before.HeapAlloc) / (1 << 20)
	t.Logf("%.1f MB", mb)
	if mb > 32 || len(w.History()) > MaxHistory {
		t.Fatalf("%.1f MB, %d changes", mb, len(w.History()))
	}
	runtime.KeepAlive(w)
}

func BenchmarkTick(b *testing.B) {
	w, _, now := full()
	for b.Loop() {
		w.Tick(now)
	}
}

// BenchmarkHear is a word of a relay that is in step.
func BenchmarkHear(b *testing.B) {
	w, books, now := full()
	for b.Loop() {
		b.StopTimer()
		e := books[7].NextReport(now).Encode()
		b.StartTimer()
		word, _ := DecodeReport(e)
		w.HandleReport(now, word)
	}
}

// BenchmarkHearDrifting is one of a relay that is not, with as many details as fit.
func BenchmarkHearDrifting(b *testing.B) {
	w, books, now := full()
	for i := range 64 {
		books[7].RecordApplied(now, Item{fmt.Sprintf("g%d.item%d", i%10, i), 1, 77}, "record")
	}
	now = say(w, books, now, 30)
	for b.Loop() {
		b.StopTimer()
		books[7].HandleReply(Reply{Relay: "n7", Incarnation: 1, WantDetails: w.WantedDetails("n7")})
		e := books[7].NextReport(now).Encode()
		b.StartTimer()
		word, _ := DecodeReport(e)
		w.HandleReport(now, word)
	}
}

// TestClockSet: what was in flight is not held against a relay whose clock is set back, wherever the change falls.
func TestClockSet(t *testing.T) {
	for apart := range 70 {
		w, books, now := one(1, Item{ItemEjections, 1, 1})
		b := books[0]
		for k := range 90 {
			now += 1000
			if k == apart {
				w.SetIntent(now, b.relay, []Item{{ItemEjections, 2, 2}})
				b.RecordApplied(now-20_000, Item{ItemEjections, 2, 2}, "record")
			}
			if k >= apart && k < apart+4 {
				b.CountActivity(ItemEjections, KindRemovedMember, 4, 4)
			}
			w.HandleReport(now, b.NextReport(now-20_000))
			w.Tick(now)
			if s := state(w, b.relay, ItemEjections); s != InSync {
				t.Fatalf("changed %d s after, %d s after that: %v", apart, k-apart, s)
			}
		}
	}
}

package drift

import (
	"cmp"
	"fmt"
	"runtime"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// reportSeen is what the oracle stores of a report: its reading, and whether it was the first after a silence or a restart.
type reportSeen struct {
	at      int64
	reading State
	first   bool
	agree   int64 // when what was agreed then was agreed
}

// TestOracle: random sequences of one relay and one item, checked against rules that know all reports.
func TestOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := NewMonitor(Settings{})
		now, agreedAt := int64(1_000_000), int64(1_000_000)
		intent := Item{"config.tls", 5, 50}
		top, best, starts := uint64(5), uint64(0), uint64(1)
		b := NewReporter("n1", starts)
		run, local, refused := intent, false, uint64(0)
		var reports []reportSeen
		lastReport, fresh := int64(-1), true
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
			for range rapid.IntRange(1, 12).Draw(t, "reports") {
				now += 1000
				w.Tick(now)
				if lastReport < 0 || now-lastReport > 4000 {
					fresh = true
				}
				report, err := DecodeReport(b.NextReport(now).Encode())
				if err != nil {
					t.Fatal(err)
				}
				w.HandleReport(now, report)
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
				reports = append(reports, reportSeen{now, kind, fresh, agreedAt})
				lastReport, fresh = now, false
				checkState(t, w, reports, now)
			}
		}
		w.Tick(now + 4001)
		if rows := w.Findings(); len(rows) != 1 || rows[0].State != Unknown {
			t.Fatalf("silent, and %+v", rows)
		}
	})
}

// checkState checks a state against the rules.
func checkState(t *rapid.T, w *Monitor, reports []reportSeen, now int64) {
	state := w.relays["n1"].item("config.tls").state
	last := reports[len(reports)-1]
	same, since := 0, last.at // how long it has reported the same, without a break
	for i := len(reports) - 1; i >= 0 && reports[i].reading == last.reading; i-- {
		same++
		since = reports[i].at
		if reports[i].first || reports[i].agree != last.agree || i > 0 && reports[i].at-reports[i-1].at > 1500 {
			break
		}
	}
	before := last.reading
	if len(reports) > 1 && !last.first {
		before = reports[len(reports)-2].reading
	}
	bound := max(w.LagBound("config"), w.recoveryLag.bound)
	switch {
	case same >= 2 && (last.reading == InSync || last.reading == Rejected || last.reading == Overridden) && state != last.reading:
		t.Fatalf("reported to be %v twice, yet %v", last.reading, state)
	case last.reading == InSync && state == Propagating, last.reading != InSync && state == InSync:
		t.Fatalf("reports %v, yet %v", last.reading, state)
	case state >= Lagging && state != last.reading && state != before && len(reports) > 1 && state != lastClaim(reports):
		t.Fatalf("%v, which no report gives: %v %v", state, before, last.reading)
	case (state == Lagging || state == Ahead) && state == last.reading && reportedOutOfSyncFor(reports, w) < min(int64(3000), bound):
		t.Fatalf("%v too soon", state)
	case (last.reading == Lagging || last.reading == Ahead || last.reading == Regressed) && now-since > bound+2000 && state != last.reading:
		t.Fatalf("reports %v for %d ms, the bound is %d, and it is %v", last.reading, now-since, bound, state)
	}
}

// lastClaim is what was claimed on a report that only one other has contradicted since.
func lastClaim(reports []reportSeen) State {
	for i := len(reports) - 1; i > 0; i-- {
		if reports[i].reading == reports[i-1].reading {
			return reports[i].reading
		}
	}
	return reports[0].reading
}

// reportedOutOfSyncFor is for how long it has reported to be out of sync.
func reportedOutOfSyncFor(reports []reportSeen, w *Monitor) int64 {
	last := reports[len(reports)-1]
	at := last.at
	for i := len(reports) - 1; i >= 0 && reports[i].reading != InSync; i-- {
		at = min(reports[i].at, reports[i].agree)
		if reports[i].first {
			at = reports[i].at
			break
		}
	}
	return last.at - at
}

// newFleet is a Monitor with n relays that are in sync on some items and have reported for half a minute.
func newFleet(n int, items ...Item) (*Monitor, []*Reporter, int64) {
	w, reporters, now := NewMonitor(Settings{}), []*Reporter{}, int64(1_000_000)
	for i := range n {
		b := NewReporter(fmt.Sprintf("n%d", i), 1)
		for _, it := range items {
			b.RecordApplied(now, it, "record")
		}
		b.CountActivity(ItemEjections, KindRemovedMember, 0, 0)
		reporters = append(reporters, b)
		w.SetIntent(now, b.relay, items)
	}
	return w, reporters, exchangeReports(w, reporters, now, 30)
}

func exchangeReports(w *Monitor, reporters []*Reporter, now int64, reports int) int64 {
	for range reports {
		now += 1000
		for _, b := range reporters {
			w.HandleReport(now, b.NextReport(now))
			if r, ok := w.Reply(b.relay); ok {
				b.HandleReply(r)
			}
		}
		w.Tick(now)
	}
	return now
}

func stateOf(w *Monitor, relay, item string) State { return w.relays[relay].item(item).state }

// TestSelectUnfitHalfFleet: drift at half of the fleet takes out no more than the budget, and the same relays while they drift.
func TestSelectUnfitHalfFleet(t *testing.T) {
	w, reporters, now := newFleet(10, Item{ItemEjections, 1, 1}, Item{ItemEndpointList, 1, 1})
	for _, b := range reporters[:5] {
		b.RecordRejected(now, Item{ItemEjections, 2, 2}, "record", "no such member")
	}
	for _, b := range reporters[5:] {
		b.RecordApplied(now, Item{ItemEjections, 2, 2}, "record")
	}
	for _, b := range reporters {
		w.SetIntent(now, b.relay, []Item{{ItemEjections, 2, 2}, {ItemEndpointList, 1, 1}})
	}
	now = exchangeReports(w, reporters, now, 5)
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
	reporters[4].RecordApplied(now, Item{ItemEndpointList, 0, 9}, "file") // a worse one does not push another out
	now = exchangeReports(w, reporters, now, 5)
	if again := take(2, out); !slices.Equal(again, out) {
		t.Fatal(again)
	}
	reporters[0].RecordApplied(now, Item{ItemEjections, 2, 2}, "record")
	now = exchangeReports(w, reporters, now, 1)
	if stateOf(w, "n0", ItemEjections) != Rejected {
		t.Fatal("one report takes a claim back")
	}
	exchangeReports(w, reporters, now, 1)
	if again := take(2, out); !slices.Equal(again, []string{"n1", "n4"}) {
		t.Fatal(again)
	}
	if outOfSync := w.OutOfSyncRelays(ItemEjections, []string{"n0", "n1", "nobody"}); !slices.Equal(outOfSync, []string{"nobody"}) && !slices.Equal(outOfSync, []string{"n1", "nobody"}) {
		t.Fatal(outOfSync)
	}
}

// TestRecordSighting: two sightings by others are a claim, after the time for which sends and sightings may have been in flight, and are forgotten
// once they end.
func TestRecordSighting(t *testing.T) {
	w, reporters, now := newFleet(3, Item{ItemEjections, 1, 1})
	w.RecordSighting(now, "n1", ItemEjections, "m2 got 3 flows")
	if stateOf(w, "n1", ItemEjections) != InSync {
		t.Fatal("one sighting is a claim")
	}
	w.RecordSighting(now+1000, "n1", ItemEjections, "m2 got 5 flows")
	now = exchangeReports(w, reporters, now, 2)
	if rows := w.Findings(); len(rows) != 1 || rows[0].State != Contradicting || len(rows[0].Evidence) != 2 || w.FullyInSync("n1") || !w.FullyInSync("n0") {
		t.Fatalf("%+v", rows)
	}
	if why, since := w.BlockReason([]string{"n0", "n1"}, nil); why == "" || since != w.Findings()[0].Since {
		t.Fatal(why, since)
	}
	if why, since := w.BlockReason([]string{"n0", "n1"}, func(relay, item string) bool { return relay == "n1" && item == ItemEjections }); why != "" || since != 0 {
		t.Fatal(why, since)
	}
	now = exchangeReports(w, reporters, now, 40)
	if rows := w.Findings(); len(rows) != 0 {
		t.Fatalf("behaves, and %+v", rows)
	}
	for _, b := range reporters {
		w.SetIntent(now, b.relay, []Item{{ItemEjections, 2, 2}})
		b.RecordApplied(now, Item{ItemEjections, 2, 2}, "record")
	}
	now = exchangeReports(w, reporters, now, 2)
	w.RecordSighting(now, "n1", ItemEjections, "m2 got 3 flows")
	w.RecordSighting(now, "n1", ItemEjections, "m2 got 4 flows")
	if stateOf(w, "n1", ItemEjections) != InSync {
		t.Fatal("what was in flight counts against it")
	}
}

// TestSingleViolation: one violation in a long time is no contradiction however often that happens; two close together are.
func TestSingleViolation(t *testing.T) {
	w, reporters, now := newFleet(3, Item{ItemEjections, 1, 1})
	for range 5 {
		reporters[1].CountActivity(ItemEjections, KindRemovedMember, 1, 1)
		now = exchangeReports(w, reporters, now, 30)
	}
	if rows := w.Findings(); len(rows) != 0 {
		t.Fatalf("%+v", rows)
	}
	reporters[1].CountActivity(ItemEjections, KindRemovedMember, 2, 2)
	exchangeReports(w, reporters, now, 1)
	if stateOf(w, "n1", ItemEjections) != Contradicting {
		t.Fatal(stateOf(w, "n1", ItemEjections))
	}
}

// TestItemNotAgreed: an item that a relay runs and nobody agreed on is ahead, a missing one has regressed, and a relay without items is forgotten.
func TestItemNotAgreed(t *testing.T) {
	w, reporters, now := newFleet(4, Item{"config.a", 1, 1}, Item{"config.b", 1, 1})
	reporters[1].RecordApplied(now, Item{"config.x", 1, 1}, "file")
	reporters[2].Remove("config.b")
	now = exchangeReports(w, reporters, now, 40)
	if stateOf(w, "n1", "config.x") != Ahead || stateOf(w, "n2", "config.b") != Regressed || len(w.Findings()) != 2 {
		t.Fatalf("%+v", w.Findings())
	}
	reporters[1].Remove("config.x")
	now = exchangeReports(w, reporters, now, 3)
	w.SetIntent(now, "n2", nil)
	if rows := w.Findings(); len(rows) != 0 || len(w.sorted) != 3 {
		t.Fatalf("%+v", rows)
	}
	if exchangeReports(w, reporters, now, 1); w.Counts().UnknownRelay != 1 {
		t.Fatal(w.Counts())
	}
}

// TestSlowFleets: no version is claimed to lag where the whole fleet is slow, from its first change on, in small fleets too; with tails as
// long as the last two, 1 in 4,000 and 1 in 2,000 at most is.
func TestSlowFleets(t *testing.T) {
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
			for seed := range seedCount(2) {
				w := newSimulation(seed, n, 8)
				w.propagation = pace.apply
				w.warmUp(120_000)
				for _, it := range w.agreed {
					agreed += n * int(it.Version-1)
				}
				for _, c := range w.monitor.History() {
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

// fullFleet is a Monitor at its usual maximum: 300 relays with 64 items.
func fullFleet() (*Monitor, []*Reporter, int64) {
	var items []Item
	for i := range 64 {
		items = append(items, Item{fmt.Sprintf("g%d.item%d", i%10, i), 1, uint64(i)})
	}
	return newFleet(300, items...)
}

// TestBounded: memory of 300 relays with 64 items, all of them drifting, whatever they report.
func TestBounded(t *testing.T) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	w, reporters, now := fullFleet()
	for _, b := range reporters {
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
	for _, b := range reporters {
		w.SetIntent(now, b.relay, items)
	}
	exchangeReports(w, reporters, now, 15)
	if n := len(w.Findings()); n != 300*64 {
		t.Fatal(n, w.Counts())
	}
	reporters = nil
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
	w, _, now := fullFleet()
	for b.Loop() {
		w.Tick(now)
	}
}

// BenchmarkHandleReport is a report of a relay that is in sync.
func BenchmarkHandleReport(b *testing.B) {
	w, reporters, now := fullFleet()
	for b.Loop() {
		b.StopTimer()
		e := reporters[7].NextReport(now).Encode()
		b.StartTimer()
		report, _ := DecodeReport(e)
		w.HandleReport(now, report)
	}
}

// BenchmarkHandleReportDrifting is one of a relay that is not, with as many details as fit.
func BenchmarkHandleReportDrifting(b *testing.B) {
	w, reporters, now := fullFleet()
	for i := range 64 {
		reporters[7].RecordApplied(now, Item{fmt.Sprintf("g%d.item%d", i%10, i), 1, 77}, "record")
	}
	now = exchangeReports(w, reporters, now, 30)
	for b.Loop() {
		b.StopTimer()
		reporters[7].HandleReply(Reply{Relay: "n7", Incarnation: 1, WantDetails: w.WantedDetails("n7")})
		e := reporters[7].NextReport(now).Encode()
		b.StartTimer()
		report, _ := DecodeReport(e)
		w.HandleReport(now, report)
	}
}

// TestClockSet: what was in flight does not count against a relay whose clock is stepped back, wherever the change falls.
func TestClockSet(t *testing.T) {
	for apart := range 70 {
		w, reporters, now := newFleet(1, Item{ItemEjections, 1, 1})
		b := reporters[0]
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
			if s := stateOf(w, b.relay, ItemEjections); s != InSync {
				t.Fatalf("changed %d s after, %d s after that: %v", apart, k-apart, s)
			}
		}
	}
}

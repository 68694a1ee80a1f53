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
type observedReport struct {
	at       int64
	state    State
	afterGap bool
	agreedAt int64 // when what was agreed then was agreed
}

// TestOracle: random sequences of one relay and one item, checked against rules that know all reports.
func TestStateAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		monitor := NewMonitor(Settings{})
		now, agreedAt := int64(1_000_000), int64(1_000_000)
		intent := Item{"config.tls", 5, 50}
		highestVersion, lastInSync, incarnation := uint64(5), uint64(0), uint64(1)
		reporter := NewReporter("n1", incarnation)
		running, overridden, rejectedVersion := intent, false, uint64(0)
		var reports []observedReport
		lastReport, afterGap := int64(-1), true
		monitor.SetIntent(now, "n1", []Item{intent})
		recordRunning := func() {
			switch {
			case overridden:
				reporter.RecordOverride(now, running, "call")
			case running.Version > 0:
				reporter.RecordApplied(now, running, "record")
			}
			if rejectedVersion > 0 {
				reporter.RecordRejected(now, Item{"config.tls", rejectedVersion, 1}, "record", "no")
			}
		}
		recordRunning()
		for range rapid.IntRange(20, 120).Draw(t, "steps") {
			switch rapid.IntRange(0, 16).Draw(t, "what") {
			case 0, 1: // agreed anew
				intent = Item{"config.tls", highestVersion + 1, highestVersion + 51}
				highestVersion++
				agreedAt = now
				monitor.SetIntent(now, "n1", []Item{intent})
			case 2, 3: // applied
				running, overridden, rejectedVersion = intent, false, 0
			case 4:
				running, overridden, rejectedVersion = Item{"config.tls", running.Version - min(running.Version-1, 1), 7}, false, 0
			case 5:
				running, overridden, rejectedVersion = Item{"config.tls", highestVersion + 2, 9}, false, 0
			case 6:
				overridden, rejectedVersion = true, 0
			case 7:
				overridden, rejectedVersion = false, intent.Version
			case 8: // restart
				incarnation++
				reporter = NewReporter("n1", incarnation)
				afterGap = true
			case 9: // silence
				now += 1000 * rapid.Int64Range(1, 20).Draw(t, "silent")
			}
			recordRunning()
			for range rapid.IntRange(1, 12).Draw(t, "reports") {
				now += 1000
				monitor.Tick(now)
				if lastReport < 0 || now-lastReport > 4000 {
					afterGap = true
				}
				report, err := DecodeReport(reporter.NextReport(now).Encode())
				if err != nil {
					t.Fatal(err)
				}
				monitor.HandleReport(now, report)
				if r, ok := monitor.Reply("n1"); ok {
					reporter.HandleReply(r)
				}
				want := Lagging
				switch {
				case overridden:
					want = Overridden
				case running == intent:
					want, lastInSync = InSync, intent.Version
				case rejectedVersion == intent.Version:
					want = Rejected
				case running.Version > highestVersion || running.Version == intent.Version:
					want = Ahead
				case running.Version < lastInSync:
					want = Regressed
				}
				reports = append(reports, observedReport{now, want, afterGap, agreedAt})
				lastReport, afterGap = now, false
				checkState(t, monitor, reports, now)
			}
		}
		monitor.Tick(now + 4001)
		if rows := monitor.Findings(); len(rows) != 1 || rows[0].State != Unknown {
			t.Fatalf("silent, and %+v", rows)
		}
	})
}

// checkState checks a state against the rules.
func checkState(t *rapid.T, monitor *Monitor, reports []observedReport, now int64) {
	state := monitor.relays["n1"].item("config.tls").state
	last := reports[len(reports)-1]
	sameCount, since := 0, last.at // how long it has reported the same, without a break
	for i := len(reports) - 1; i >= 0 && reports[i].state == last.state; i-- {
		sameCount++
		since = reports[i].at
		if reports[i].afterGap || reports[i].agreedAt != last.agreedAt || i > 0 && reports[i].at-reports[i-1].at > 1500 {
			break
		}
	}
	previousState := last.state
	if len(reports) > 1 && !last.afterGap {
		previousState = reports[len(reports)-2].state
	}
	bound := max(monitor.LagBound("config"), monitor.recoveryLag.bound)
	switch {
	case sameCount >= 2 && (last.state == InSync || last.state == Rejected || last.state == Overridden) && state != last.state:
		t.Fatalf("reported to be %v twice, yet %v", last.state, state)
	case last.state == InSync && state == Propagating, last.state != InSync && state == InSync:
		t.Fatalf("reports %v, yet %v", last.state, state)
	case state >= Lagging && state != last.state && state != previousState && len(reports) > 1 && state != lastClaim(reports):
		t.Fatalf("%v, which no report gives: %v %v", state, previousState, last.state)
	case (state == Lagging || state == Ahead) && state == last.state && reportedOutOfSyncFor(reports, monitor) < min(int64(3000), bound):
		t.Fatalf("%v too soon", state)
	case (last.state == Lagging || last.state == Ahead || last.state == Regressed) && now-since > bound+2000 && state != last.state:
		t.Fatalf("reports %v for %d ms, the bound is %d, and it is %v", last.state, now-since, bound, state)
	}
}

// lastClaim is what was claimed on a report that only one other has contradicted since.
func lastClaim(reports []observedReport) State {
	for i := len(reports) - 1; i > 0; i-- {
		if reports[i].state == reports[i-1].state {
			return reports[i].state
		}
	}
	return reports[0].state
}

// reportedOutOfSyncFor is for how long it has reported to be out of sync.
func reportedOutOfSyncFor(reports []observedReport, monitor *Monitor) int64 {
	last := reports[len(reports)-1]
	at := last.at
	for i := len(reports) - 1; i >= 0 && reports[i].state != InSync; i-- {
		at = min(reports[i].at, reports[i].agreedAt)
		if reports[i].afterGap {
			at = reports[i].at
			break
		}
	}
	return last.at - at
}

// newFleet is a Monitor with n relays that are in sync on some items and have reported for half a minute.
func newFleet(n int, items ...Item) (*Monitor, []*Reporter, int64) {
	monitor, reporters, now := NewMonitor(Settings{}), []*Reporter{}, int64(1_000_000)
	for i := range n {
		reporter := NewReporter(fmt.Sprintf("n%d", i), 1)
		for _, it := range items {
			reporter.RecordApplied(now, it, "record")
		}
		reporter.CountActivity(ItemEjections, KindRemovedMember, 0, 0)
		reporters = append(reporters, reporter)
		monitor.SetIntent(now, reporter.relay, items)
	}
	return monitor, reporters, exchangeReports(monitor, reporters, now, 30)
}

func exchangeReports(monitor *Monitor, reporters []*Reporter, now int64, reports int) int64 {
	for range reports {
		now += 1000
		for _, reporter := range reporters {
			monitor.HandleReport(now, reporter.NextReport(now))
			if r, ok := monitor.Reply(reporter.relay); ok {
				reporter.HandleReply(r)
			}
		}
		monitor.Tick(now)
	}
	return now
}

func stateOf(monitor *Monitor, relay, item string) State {
	return monitor.relays[relay].item(item).state
}

// TestSelectUnfitHalfFleet: drift at half of the fleet takes out no more than the budget, and the same relays while they drift.
func TestSelectUnfitHalfFleet(t *testing.T) {
	monitor, reporters, now := newFleet(10, Item{ItemEjections, 1, 1}, Item{ItemEndpointList, 1, 1})
	for _, b := range reporters[:5] {
		b.RecordRejected(now, Item{ItemEjections, 2, 2}, "record", "no such member")
	}
	for _, b := range reporters[5:] {
		b.RecordApplied(now, Item{ItemEjections, 2, 2}, "record")
	}
	for _, b := range reporters {
		monitor.SetIntent(now, b.relay, []Item{{ItemEjections, 2, 2}, {ItemEndpointList, 1, 1}})
	}
	now = exchangeReports(monitor, reporters, now, 5)
	selectNames := func(budget int, out []string) (names []string) {
		for _, u := range monitor.SelectUnfit(budget, out, nil) {
			names = append(names, u.Relay)
		}
		slices.Sort(names)
		return names
	}
	out := selectNames(2, nil)
	if len(selectNames(0, nil)) != 0 || len(selectNames(-1, nil)) != 0 || len(out) != 2 {
		t.Fatal(out)
	}
	reporters[4].RecordApplied(now, Item{ItemEndpointList, 0, 9}, "file") // a worse one does not push another out
	now = exchangeReports(monitor, reporters, now, 5)
	if again := selectNames(2, out); !slices.Equal(again, out) {
		t.Fatal(again)
	}
	reporters[0].RecordApplied(now, Item{ItemEjections, 2, 2}, "record")
	now = exchangeReports(monitor, reporters, now, 1)
	if stateOf(monitor, "n0", ItemEjections) != Rejected {
		t.Fatal("one report takes a claim back")
	}
	exchangeReports(monitor, reporters, now, 1)
	if again := selectNames(2, out); !slices.Equal(again, []string{"n1", "n4"}) {
		t.Fatal(again)
	}
	if outOfSync := monitor.OutOfSyncRelays(ItemEjections, []string{"n0", "n1", "nobody"}); !slices.Equal(outOfSync, []string{"nobody"}) && !slices.Equal(outOfSync, []string{"n1", "nobody"}) {
		t.Fatal(outOfSync)
	}
}

// TestRecordSighting: two sightings by others are a claim, after the time for which sends and sightings may have been in flight, and are forgotten
// once they end.
func TestRecordSighting(t *testing.T) {
	monitor, reporters, now := newFleet(3, Item{ItemEjections, 1, 1})
	monitor.RecordSighting(now, "n1", ItemEjections, "m2 got 3 flows")
	if stateOf(monitor, "n1", ItemEjections) != InSync {
		t.Fatal("one sighting is a claim")
	}
	monitor.RecordSighting(now+1000, "n1", ItemEjections, "m2 got 5 flows")
	now = exchangeReports(monitor, reporters, now, 2)
	if rows := monitor.Findings(); len(rows) != 1 || rows[0].State != Contradicting || len(rows[0].Evidence) != 2 || monitor.FullyInSync("n1") || !monitor.FullyInSync("n0") {
		t.Fatalf("%+v", rows)
	}
	if why, since := monitor.BlockReason([]string{"n0", "n1"}, nil); why == "" || since != monitor.Findings()[0].Since {
		t.Fatal(why, since)
	}
	if why, since := monitor.BlockReason([]string{"n0", "n1"}, func(relay, item string) bool { return relay == "n1" && item == ItemEjections }); why != "" || since != 0 {
		t.Fatal(why, since)
	}
	now = exchangeReports(monitor, reporters, now, 40)
	if rows := monitor.Findings(); len(rows) != 0 {
		t.Fatalf("behaves, and %+v", rows)
	}
	for _, b := range reporters {
		monitor.SetIntent(now, b.relay, []Item{{ItemEjections, 2, 2}})
		b.RecordApplied(now, Item{ItemEjections, 2, 2}, "record")
	}
	now = exchangeReports(monitor, reporters, now, 2)
	monitor.RecordSighting(now, "n1", ItemEjections, "m2 got 3 flows")
	monitor.RecordSighting(now, "n1", ItemEjections, "m2 got 4 flows")
	if stateOf(monitor, "n1", ItemEjections) != InSync {
		t.Fatal("what was in flight counts against it")
	}
}

// TestSingleViolation: one violation in a long time is no contradiction however often that happens; two close together are.
func TestSingleViolation(t *testing.T) {
	monitor, reporters, now := newFleet(3, Item{ItemEjections, 1, 1})
	for range 5 {
		reporters[1].CountActivity(ItemEjections, KindRemovedMember, 1, 1)
		now = exchangeReports(monitor, reporters, now, 30)
	}
	if rows := monitor.Findings(); len(rows) != 0 {
		t.Fatalf("%+v", rows)
	}
	reporters[1].CountActivity(ItemEjections, KindRemovedMember, 2, 2)
	exchangeReports(monitor, reporters, now, 1)
	if stateOf(monitor, "n1", ItemEjections) != Contradicting {
		t.Fatal(stateOf(monitor, "n1", ItemEjections))
	}
}

// TestItemNotAgreed: an item that a relay runs and nobody agreed on is ahead, a missing one has regressed, and a relay without items is forgotten.
func TestItemNotAgreed(t *testing.T) {
	monitor, reporters, now := newFleet(4, Item{"config.a", 1, 1}, Item{"config.b", 1, 1})
	reporters[1].RecordApplied(now, Item{"config.x", 1, 1}, "file")
	reporters[2].Remove("config.b")
	now = exchangeReports(monitor, reporters, now, 40)
	if stateOf(monitor, "n1", "config.x") != Ahead || stateOf(monitor, "n2", "config.b") != Regressed || len(monitor.Findings()) != 2 {
		t.Fatalf("%+v", monitor.Findings())
	}
	reporters[1].Remove("config.x")
	now = exchangeReports(monitor, reporters, now, 3)
	monitor.SetIntent(now, "n2", nil)
	if rows := monitor.Findings(); len(rows) != 0 || len(monitor.sorted) != 3 {
		t.Fatalf("%+v", rows)
	}
	if exchangeReports(monitor, reporters, now, 1); monitor.Counts().UnknownRelay != 1 {
		t.Fatal(monitor.Counts())
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
			for seed := range seedsToRun(2) {
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
func TestMemoryBound(t *testing.T) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	monitor, reporters, now := fullFleet()
	for _, b := range reporters {
		for i := range 64 {
			b.RecordRejected(now, Item{fmt.Sprintf("g%d.item%d", i%10, i), 2, 1}, "record", fmt.Sprintf("%100d", now))
		}
		for range 40 {
			monitor.RecordSighting(now, b.relay, "g1.item1", "evidence")
		}
	}
	var items []Item
	for i := range 64 {
		items = append(items, Item{fmt.Sprintf("g%d.item%d", i%10, i), 2, uint64(i)})
	}
	for _, b := range reporters {
		monitor.SetIntent(now, b.relay, items)
	}
	exchangeReports(monitor, reporters, now, 15)
	if n := len(monitor.Findings()); n != 300*64 {
		t.Fatal(n, monitor.Counts())
	}
	reporters = nil
	runtime.GC()
	runtime.ReadMemStats(&after)
	mb := float64(after.HeapAlloc-before.HeapAlloc) / (1 << 20)
	t.Logf("%.1f MB", mb)
	if mb > 32 || len(monitor.History()) > MaxHistory {
		t.Fatalf("%.1f MB, %d changes", mb, len(monitor.History()))
	}
	runtime.KeepAlive(monitor)
}

func BenchmarkTick(b *testing.B) {
	monitor, _, now := fullFleet()
	for b.Loop() {
		monitor.Tick(now)
	}
}

// BenchmarkHandleReport is a report of a relay that is in sync.
func BenchmarkHandleReport(b *testing.B) {
	monitor, reporters, now := fullFleet()
	for b.Loop() {
		b.StopTimer()
		encoded := reporters[7].NextReport(now).Encode()
		b.StartTimer()
		report, _ := DecodeReport(encoded)
		monitor.HandleReport(now, report)
	}
}

// BenchmarkHandleReportDrifting is one of a relay that is not, with as many details as fit.
func BenchmarkHandleReportDrifting(b *testing.B) {
	monitor, reporters, now := fullFleet()
	for i := range 64 {
		reporters[7].RecordApplied(now, Item{fmt.Sprintf("g%d.item%d", i%10, i), 1, 77}, "record")
	}
	now = exchangeReports(monitor, reporters, now, 30)
	for b.Loop() {
		b.StopTimer()
		reporters[7].HandleReply(Reply{Relay: "n7", Incarnation: 1, WantDetails: monitor.WantedDetails("n7")})
		encoded := reporters[7].NextReport(now).Encode()
		b.StartTimer()
		report, _ := DecodeReport(encoded)
		monitor.HandleReport(now, report)
	}
}

// TestClockSet: what was in flight does not count against a relay whose clock is stepped back, wherever the change falls.
func TestClockStepped(t *testing.T) {
	for changeAfter := range 70 {
		monitor, reporters, now := newFleet(1, Item{ItemEjections, 1, 1})
		reporter := reporters[0]
		for k := range 90 {
			now += 1000
			if k == changeAfter {
				monitor.SetIntent(now, reporter.relay, []Item{{ItemEjections, 2, 2}})
				reporter.RecordApplied(now-20_000, Item{ItemEjections, 2, 2}, "record")
			}
			if k >= changeAfter && k < changeAfter+4 {
				reporter.CountActivity(ItemEjections, KindRemovedMember, 4, 4)
			}
			monitor.HandleReport(now, reporter.NextReport(now-20_000))
			monitor.Tick(now)
			if s := stateOf(monitor, reporter.relay, ItemEjections); s != InSync {
				t.Fatalf("changed %d s after, %d s after that: %v", changeAfter, k-changeAfter, s)
			}
		}
	}
}

package drift

import (
	"cmp"
	"fmt"
	"runtime"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// observedReport is what the oracle stores of a report.
type observedReport struct {
	at       int64
	state    State // that follows from this report alone
	afterGap bool  // first report after a silence or a restart
	agreedAt int64 // when the version that was agreed at the time of the report was agreed
}

// TestStateAgainstOracle runs random sequences of changes and reports of one item of one relay, and
// checks the state after each report against rules that look at all reports so far.
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
			switch rapid.IntRange(0, 16).Draw(t, "event") {
			case 0, 1: // a new version is agreed
				intent = Item{"config.tls", highestVersion + 1, highestVersion + 51}
				highestVersion++
				agreedAt = now
				monitor.SetIntent(now, "n1", []Item{intent})
			case 2, 3: // the agreed version is applied
				running, overridden, rejectedVersion = intent, false, 0
			case 4: // goes back by one version
				running, overridden, rejectedVersion = Item{"config.tls", running.Version - min(running.Version-1, 1), 7}, false, 0
			case 5: // runs a version that was never agreed
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
					t.Fatalf("DecodeReport: %v", err)
				}
				monitor.HandleReport(now, report)
				if r, ok := monitor.Reply("n1"); ok {
					reporter.HandleReply(r)
				}
				reported := Lagging
				switch {
				case overridden:
					reported = Overridden
				case running == intent:
					reported, lastInSync = InSync, intent.Version
				case rejectedVersion == intent.Version:
					reported = Rejected
				case running.Version > highestVersion || running.Version == intent.Version:
					reported = Ahead
				case running.Version < lastInSync:
					reported = Regressed
				}
				reports = append(reports, observedReport{now, reported, afterGap, agreedAt})
				lastReport, afterGap = now, false
				checkState(t, monitor, reports, now)
			}
		}
		monitor.Tick(now + 4001)
		if findings := monitor.Findings(); len(findings) != 1 || findings[0].State != Unknown {
			t.Fatalf("Findings() after 4 s without reports = %+v, want one finding with the state %v",
				findings, Unknown)
		}
	})
}

// checkState checks the Monitor's state of the item against the rules.
func checkState(t *rapid.T, monitor *Monitor, reports []observedReport, now int64) {
	state := monitor.relays["n1"].item("config.tls").state
	last := reports[len(reports)-1]
	sameCount, since := 0, last.at // how many reports in a row have given the same state, and since when
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
		t.Fatalf("state after two reports of %v in a row = %v", last.state, state)
	case last.state == InSync && state == Propagating, last.state != InSync && state == InSync:
		t.Fatalf("state = %v, but the last report gives %v", state, last.state)
	case state >= Lagging && state != last.state && state != previousState && len(reports) > 1 && state != lastRepeatedState(reports):
		t.Fatalf("state = %v, want one that a recent report gives: %v or %v", state, previousState, last.state)
	case (state == Lagging || state == Ahead) && state == last.state && reportedOutOfSyncFor(reports, monitor) < min(int64(3000), bound):
		t.Fatalf("state = %v after reports of being out of sync for %d ms, want that only after %d ms", state,
			reportedOutOfSyncFor(reports, monitor), min(int64(3000), bound))
	case (last.state == Lagging || last.state == Ahead || last.state == Regressed) && now-since > bound+2000 && state != last.state:
		t.Fatalf("state = %v after reports of %v for %d ms, want the reported state: the lag bound is %d ms",
			state, last.state, now-since, bound)
	}
}

// lastClaim returns the state of the last two reports in a row that agree: a single later report does
// not end it.
func lastRepeatedState(reports []observedReport) State {
	for i := len(reports) - 1; i > 0; i-- {
		if reports[i].state == reports[i-1].state {
			return reports[i].state
		}
	}
	return reports[0].state
}

// reportedOutOfSyncFor returns for how long, in ms, the reports have said that the item is out of sync.
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

// newFleet returns a Monitor and n reporters that run all items as agreed and have reported for 30 s,
// and the time after that.
func newFleet(n int, items ...Item) (*Monitor, []*Reporter, int64) {
	monitor, reporters, now := NewMonitor(Settings{}), []*Reporter{}, int64(1_000_000)
	for i := range n {
		reporter := NewReporter(fmt.Sprintf("n%d", i), 1)
		for _, item := range items {
			reporter.RecordApplied(now, item, "record")
		}
		reporter.CountActivity(ItemEjections, KindRemovedMember, 0, 0)
		reporters = append(reporters, reporter)
		monitor.SetIntent(now, reporter.relay, items)
	}
	return monitor, reporters, exchangeReports(monitor, reporters, now, 30)
}

// exchangeReports lets all reporters send a number of reports, one a second, and handle the replies.
// It returns the time after that.
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

// TestSelectUnfitHalfFleet checks that, when half of the fleet drifts, SelectUnfit returns no more
// relays than the budget, and the same ones for as long as they drift.
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
	selectNames := func(budget int, quarantined []string) (names []string) {
		for _, u := range monitor.SelectUnfit(budget, quarantined, nil) {
			names = append(names, u.Relay)
		}
		slices.Sort(names)
		return names
	}
	quarantined := selectNames(2, nil)
	if len(selectNames(0, nil)) != 0 || len(selectNames(-1, nil)) != 0 || len(quarantined) != 2 {
		t.Fatalf("SelectUnfit with budgets 0, -1 and 2 = %v, %v and %v, want 0, 0 and 2 relays",
			selectNames(0, nil), selectNames(-1, nil), quarantined)
	}
	// The drift of n4 becomes more severe, but n4 does not replace a relay in quarantine.
	reporters[4].RecordApplied(now, Item{ItemEndpointList, 0, 9}, "file")
	now = exchangeReports(monitor, reporters, now, 5)
	if again := selectNames(2, quarantined); !slices.Equal(again, quarantined) {
		t.Fatalf("SelectUnfit while the quarantined relays drift = %v, want %v", again, quarantined)
	}
	reporters[0].RecordApplied(now, Item{ItemEjections, 2, 2}, "record")
	now = exchangeReports(monitor, reporters, now, 1)
	if stateOf(monitor, "n0", ItemEjections) != Rejected {
		t.Fatalf("state after one report in sync = %v, want %v until a second one",
			stateOf(monitor, "n0", ItemEjections), Rejected)
	}
	exchangeReports(monitor, reporters, now, 1)
	if again := selectNames(2, quarantined); !slices.Equal(again, []string{"n1", "n4"}) {
		t.Fatalf("SelectUnfit after n0 was repaired = %v, want n1 and n4", again)
	}
	if outOfSync := monitor.OutOfSyncRelays(ItemEjections, []string{"n0", "n1", "nobody"}); !slices.Equal(outOfSync, []string{"nobody"}) && !slices.Equal(outOfSync, []string{"n1", "nobody"}) {
		t.Fatalf("OutOfSyncRelays(n0, n1, nobody) = %v, want nobody, with or without n1", outOfSync)
	}
}

// TestRecordSighting checks that two sightings by others make a finding, that the finding ends some
// time after the last one, and that sightings soon after a change are ignored because the flows may
// have been in flight.
func TestRecordSighting(t *testing.T) {
	monitor, reporters, now := newFleet(3, Item{ItemEjections, 1, 1})
	monitor.RecordSighting(now, "n1", ItemEjections, "m2 got 3 flows")
	if stateOf(monitor, "n1", ItemEjections) != InSync {
		t.Fatalf("state after one sighting = %v, want %v", stateOf(monitor, "n1", ItemEjections), InSync)
	}
	monitor.RecordSighting(now+1000, "n1", ItemEjections, "m2 got 5 flows")
	now = exchangeReports(monitor, reporters, now, 2)
	if findings := monitor.Findings(); len(findings) != 1 || findings[0].State != Contradicting || len(findings[0].Evidence) != 2 || monitor.FullyInSync("n1") || !monitor.FullyInSync("n0") {
		t.Fatalf("after two sightings: Findings() = %+v, want one with the state %v and 2 pieces of evidence; FullyInSync(n1) = %v, want false; FullyInSync(n0) = %v, want true",
			findings, Contradicting, monitor.FullyInSync("n1"), monitor.FullyInSync("n0"))
	}
	if reason, since := monitor.BlockReason([]string{"n0", "n1"}, nil); reason == "" || since != monitor.Findings()[0].Since {
		t.Fatalf("BlockReason = %q since %d, want a reason and the start of the finding", reason, since)
	}
	if reason, since := monitor.BlockReason([]string{"n0", "n1"}, func(relay, item string) bool { return relay == "n1" && item == ItemEjections }); reason != "" || since != 0 {
		t.Fatalf("BlockReason with the drift exempt = %q since %d, want none", reason, since)
	}
	now = exchangeReports(monitor, reporters, now, 40)
	if findings := monitor.Findings(); len(findings) != 0 {
		t.Fatalf("Findings() = %+v after 40 s without sightings, want none", findings)
	}
	for _, b := range reporters {
		monitor.SetIntent(now, b.relay, []Item{{ItemEjections, 2, 2}})
		b.RecordApplied(now, Item{ItemEjections, 2, 2}, "record")
	}
	now = exchangeReports(monitor, reporters, now, 2)
	monitor.RecordSighting(now, "n1", ItemEjections, "m2 got 3 flows")
	monitor.RecordSighting(now, "n1", ItemEjections, "m2 got 4 flows")
	if stateOf(monitor, "n1", ItemEjections) != InSync {
		t.Fatalf("state after sightings 2 s after a change = %v, want %v",
			stateOf(monitor, "n1", ItemEjections), InSync)
	}
}

// TestSingleViolation checks that isolated violations, each long after the last, make no finding, and
// that two in one interval do.
func TestSingleViolation(t *testing.T) {
	monitor, reporters, now := newFleet(3, Item{ItemEjections, 1, 1})
	for range 5 {
		reporters[1].CountActivity(ItemEjections, KindRemovedMember, 1, 1)
		now = exchangeReports(monitor, reporters, now, 30)
	}
	if findings := monitor.Findings(); len(findings) != 0 {
		t.Fatalf("Findings() after isolated violations = %+v, want none", findings)
	}
	reporters[1].CountActivity(ItemEjections, KindRemovedMember, 2, 2)
	exchangeReports(monitor, reporters, now, 1)
	if stateOf(monitor, "n1", ItemEjections) != Contradicting {
		t.Fatalf("state after two violations in one interval = %v, want %v",
			stateOf(monitor, "n1", ItemEjections), Contradicting)
	}
}

// TestItemNotAgreed checks that an item that a relay runs without agreement is Ahead, that a removed
// one is Regressed, and that a relay without agreed items is no longer tracked.
func TestItemNotAgreed(t *testing.T) {
	monitor, reporters, now := newFleet(4, Item{"config.a", 1, 1}, Item{"config.b", 1, 1})
	reporters[1].RecordApplied(now, Item{"config.x", 1, 1}, "file")
	reporters[2].Remove("config.b")
	now = exchangeReports(monitor, reporters, now, 40)
	if stateOf(monitor, "n1", "config.x") != Ahead || stateOf(monitor, "n2", "config.b") != Regressed || len(monitor.Findings()) != 2 {
		t.Fatalf("Findings() = %+v, want config.x %v at n1 and config.b %v at n2", monitor.Findings(), Ahead, Regressed)
	}
	reporters[1].Remove("config.x")
	now = exchangeReports(monitor, reporters, now, 3)
	monitor.SetIntent(now, "n2", nil)
	if findings := monitor.Findings(); len(findings) != 0 || len(monitor.sorted) != 3 {
		t.Fatalf("Findings() = %+v with %d relays tracked, want none with 3", findings, len(monitor.sorted))
	}
	if exchangeReports(monitor, reporters, now, 1); monitor.Counts().UnknownRelay != 1 {
		t.Fatalf("Counts() = %+v, want one report of an unknown relay", monitor.Counts())
	}
}

// TestSlowFleets checks that no relay is found to lag if the whole fleet is slow, from the first
// change on, in small fleets too. With the long tails of the last two distributions, at most 1 in
// 4,000 and 1 in 2,000 changes may be.
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
			findings, agreed, first := 0, 0, ""
			for seed := range seedsToRun(2) {
				sim := newSimulation(seed, n, 8)
				sim.propagation = pace.apply
				sim.warmUp(120_000)
				for _, item := range sim.agreed {
					agreed += n * int(item.Version-1)
				}
				for _, c := range sim.monitor.History() {
					if c.To >= Lagging && c.To != Unknown {
						findings++
						first = cmp.Or(first, fmt.Sprintf("seed %d: %+v", seed, c))
					}
				}
			}
			t.Logf("%s, %d relays: %d findings in %d changes", pace.name, n, findings, agreed)
			if float64(findings) > pace.share*float64(agreed) {
				t.Errorf("%s, %d relays: %d findings in %d changes, want at most a share of %g; first: %s",
					pace.name, n, findings, agreed, pace.share, first)
			}
		}
	}
}

// fullFleet returns a fleet of the usual maximum size: 300 relays with 64 items each.
func fullFleet() (*Monitor, []*Reporter, int64) {
	var items []Item
	for i := range 64 {
		items = append(items, Item{fmt.Sprintf("g%d.item%d", i%10, i), 1, uint64(i)})
	}
	return newFleet(300, items...)
}

// TestMemoryBound checks the memory of a Monitor for 300 relays with 64 items each, all of which drift.
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
		t.Fatalf("%d findings, want %d; counts %+v", n, 300*64, monitor.Counts())
	}
	reporters = nil
	runtime.GC()
	runtime.ReadMemStats(&after)
	mb := float64(after.HeapAlloc-before.HeapAlloc) / (1 << 20)
	t.Logf("the monitor takes %.1f MB", mb)
	if mb > 32 || len(monitor.History()) > MaxHistory {
		t.Fatalf("the monitor takes %.1f MB with %d changes in the history, want at most 32 MB and %d changes",
			mb, len(monitor.History()), MaxHistory)
	}
	runtime.KeepAlive(monitor)
}

func BenchmarkTick(b *testing.B) {
	monitor, _, now := fullFleet()
	for b.Loop() {
		monitor.Tick(now)
	}
}

// BenchmarkHandleReport measures a report of a relay that is in sync.
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

// BenchmarkHandleReportDrifting measures a report of a relay that drifts on all items, with as many
// items as fit.
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

// TestClockStepped checks that a relay whose clock was stepped back by 20 s is not blamed for
// attempts that were in flight when it applied a change, whenever the change happens after the step.
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
				t.Fatalf("state = %v, want %v: change applied %d s after the clock was stepped, report sent %d s after the change",
					s, InSync, changeAfter, k-changeAfter)
			}
		}
	}
}

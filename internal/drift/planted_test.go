package drift

import (
	"fmt"
	"slices"
	"strings"
	"testing"
)

// plant makes a relay drift on an item. With restart, a Regressed relay restarts with its old state.
func (sim *simulation) plant(s *simRelay, item string, kind State, restart bool) {
	key := s.name + " " + item
	sim.planted[key] = kind
	cur := sim.agreed[item]
	switch kind {
	case Lagging:
		s.ignores[item] = true
		sim.commit(item)
	case Rejected:
		s.rejects[item] = true
		sim.commit(item)
	case Regressed:
		s.ignores[item] = true
		s.running[item] = Item{item, cur.Version - 1, 5}
		if restart { // with the old version in its directory
			sim.restart(s, 1000, false)
			return
		}
		s.reporter.RecordApplied(s.clock(sim.now), s.running[item], "file")
		sim.driftSince[key] = sim.now
	case Ahead:
		s.ignores[item] = true
		s.running[item] = Item{item, cur.Version + 3, 6}
		s.reporter.RecordApplied(s.clock(sim.now), s.running[item], "record")
	case Overridden:
		s.ignores[item] = true
		s.reporter.RecordOverride(s.clock(sim.now), cur, "PUT /-/members/m1/disable")
		sim.driftSince[key] = sim.now
	case Contradicting:
		s.violates[item] = true
		sim.driftSince[key] = sim.now
	}
}

// repairAll ends all planted drift.
func (sim *simulation) repairAll() {
	for _, s := range sim.relays {
		clear(s.ignores)
		clear(s.rejects)
		clear(s.violates)
		for _, item := range s.reporter.items {
			if item.LocalOverride || item.RejectedVersion > 0 || s.running[item.Name].Version > sim.agreed[item.Name].Version {
				s.running[item.Name] = sim.agreed[item.Name]
				s.reporter.RecordApplied(s.clock(sim.now), sim.agreed[item.Name], "record")
			}
		}
	}
}

// warmUp commits changes for some time, from which the monitor learns how long propagation takes.
func (sim *simulation) warmUp(ms int64) {
	for end := sim.now + ms; sim.now < end; {
		sim.commit(sim.itemNames[sim.rng.IntN(len(sim.itemNames))])
		sim.advance(3000 + sim.rng.Int64N(4000))
	}
}

// TestPlantedDriftFound checks that planted drift of each kind is found, that the p99 of the time from
// when it counts as drift until it is found is under 3 s, that nothing else is found, and that the
// findings end once the drift is repaired. The leader asks a relay that can repair the drift itself to
// resync.
func TestPlantedDriftFound(t *testing.T) {
	took := map[string][]int64{}
	var all []int64
	for seed := range seedsToRun(7) {
		sim := newSimulation(seed, 40, 16)
		sim.warmUp(150_000)
		kinds := map[string]State{}
		for i, p := range []struct {
			item    string
			kind    State
			restart bool
		}{{ItemEndpointList, Lagging, false}, {"config.section1", Rejected, false}, {ItemCanaryWeights, Regressed, false}, {ItemVoters, Regressed, true}, {ItemPermits, Ahead, false},
			{ItemDrains, Overridden, false}, {ItemEjections, Contradicting, false}, {ItemEjections, Regressed, false}} {
			for k := range 2 {
				sim.plant(sim.relays[5*i+k], p.item, p.kind, p.restart)
				kinds[sim.relays[5*i+k].name+" "+p.item] = p.kind
				sim.advance(1700)
			}
		}
		sim.advance(90_000)
		for key, kind := range kinds {
			if sim.found[key] == 0 || sim.driftSince[key] == 0 {
				t.Fatalf("seed %d: %s, planted %v: counts as drift at %d, found at %d, want both above 0",
					seed, key, kind, sim.driftSince[key], sim.found[key])
			}
			took[kind.String()] = append(took[kind.String()], sim.found[key]-sim.driftSince[key])
			all = append(all, sim.found[key]-sim.driftSince[key])
		}
		if len(sim.falseFindings) > 0 {
			t.Fatalf("seed %d: found drift that was not planted: %s", seed, sim.falseFindings[0])
		}
		names := make([]string, len(sim.relays))
		for i, s := range sim.relays {
			names[i] = s.name
		}
		if reason, _ := sim.monitor.BlockReason(names, nil); !strings.Contains(reason, "and 13 more") {
			t.Fatalf("seed %d: BlockReason = %q, want a text with \"and 13 more\"", seed, reason)
		}
		if unfit := sim.monitor.SelectUnfit(4, nil, nil); len(unfit) != 4 {
			t.Fatalf("seed %d: SelectUnfit = %v, want 4 relays", seed, unfit)
		}
		sim.repairAll()
		sim.advance(60_000)
		if findings := sim.monitor.Findings(); len(findings) > 0 {
			t.Fatalf("seed %d: finding 60 s after the repair: %+v, want none", seed, findings[0])
		}
	}
	for _, kind := range []State{Lagging, Rejected, Regressed, Ahead, Overridden, Contradicting} {
		list := took[kind.String()]
		slices.Sort(list)
		t.Logf("%-12v %4d found: p50 %d ms, p99 %d ms, max %d ms",
			kind, len(list), list[len(list)/2], list[len(list)*99/100], list[len(list)-1])
	}
	slices.Sort(all)
	if p99 := all[len(all)*99/100]; p99 >= 3000 {
		t.Fatalf("p99 of the time to find drift = %d ms, want less than 3000 ms", p99)
	}
}

// TestReplay checks that two simulations with the same seed send the same reports and make the same
// changes.
func TestReplay(t *testing.T) {
	var previous string
	for range 2 {
		sim := newSimulation(7, 12, 24)
		sim.plant(sim.relays[3], ItemEjections, Lagging, false)
		sim.disturb(120_000)
		current := fmt.Sprintf("%d %x %+v %v", sim.bytes, sim.trace, sim.monitor.Findings(), sim.monitor.History())
		if previous != "" && previous != current {
			t.Fatalf("two simulations with the same seed differ:\n%s\n%s", previous, current)
		}
		previous = current
	}
}

// TestInjectedDefects checks that the simulation detects defects of the Monitor: with each of them
// there are findings that were not planted, without it there are none.
func TestInjectedDefects(t *testing.T) {
	for _, d := range []struct {
		name   string
		defect defect
		run    func(sim *simulation)
	}{
		{"fixed lag bound with slow propagation", fixedBound, func(sim *simulation) {
			sim.propagation = func(*rng) int64 { return 3000 + sim.rng.Int64N(9000) }
			sim.warmUp(120_000)
		}},
		{"no grace for attempts in flight", noGrace, func(sim *simulation) {
			for range 10 {
				sim.commit(ItemEjections)
				sim.advance(10_000)
			}
		}},
		{"partition counted as drift", partitionIsDrift, func(sim *simulation) {
			sim.warmUp(120_000)
			for _, s := range sim.relays[:4] {
				s.partitionedUntil = sim.now + 30_000
			}
			sim.warmUp(60_000)
		}},
	} {
		for _, f := range []defect{noDefect, d.defect} {
			sim := newSimulation(3, 12, 12)
			sim.monitor.defect = f
			d.run(sim)
			if found := len(sim.falseFindings) > 0; found != (f != noDefect) {
				t.Errorf("%s: defect injected: %v, false findings: %v, want the same; first: %v",
					d.name, f != noDefect, found, sim.falseFindings[:min(len(sim.falseFindings), 1)])
			}
		}
	}
}

// TestReportBytes checks that the reports of a relay take less than 1 KB/s with 64 items, some of
// which change, and about the same in a small fleet as in a large one.
func TestReportBytes(t *testing.T) {
	var least, most float64
	for _, n := range []int{10, 40, 300} {
		sim := newSimulation(1, n, 64)
		sim.warmUp(15_000)
		from, bytes := sim.now, sim.bytes
		sim.warmUp(30_000)
		rate := float64(sim.bytes-bytes) / float64(n) / (float64(sim.now-from) / 1000)
		t.Logf("%d relays: %.0f bytes/s per relay, longest report %d bytes", n, rate, sim.longestReport)
		if least == 0 {
			least = rate
		}
		least, most = min(least, rate), max(most, rate)
	}
	if most >= 1000 || most > 1.5*least {
		t.Errorf("%.0f to %.0f bytes/s per relay, want less than 1000, and the most at most 1.5 times the least",
			least, most)
	}
}

// TestPlantedAmongFaults checks that planted drift is found, and nothing else, while other relays
// restart, stop and are partitioned and the leader changes.
func TestPlantedAmongFaults(t *testing.T) {
	for seed := range seedsToRun(3) {
		sim := newSimulation(seed, 30, 12)
		sim.warmUp(60_000)
		for i, p := range []struct {
			item string
			kind State
		}{{ItemEndpointList, Lagging}, {ItemCanaryWeights, Ahead}, {ItemEjections, Contradicting}, {ItemDrains, Overridden}} {
			sim.relays[i].undisturbed = true
			sim.plant(sim.relays[i], p.item, p.kind, false)
		}
		sim.disturb(180_000)
		sim.advance(60_000)
		for key, kind := range sim.planted {
			if sim.found[key] == 0 {
				t.Errorf("seed %d: planted drift not found: %s, %v", seed, key, kind)
			}
		}
		if len(sim.falseFindings) > 0 {
			t.Errorf("seed %d: found drift that was not planted: %s", seed, sim.falseFindings[0])
		}
	}
}

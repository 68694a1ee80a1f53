package drift

import (
	"fmt"
	"slices"
	"strings"
	"testing"
)

// plant makes a relay drift on an item.
func (w *simulation) plant(s *simRelay, item string, kind State, restart bool) {
	key := s.name + " " + item
	w.planted[key] = kind
	cur := w.agreed[item]
	switch kind {
	case Lagging:
		s.ignores[item] = true
		w.commit(item)
	case Rejected:
		s.rejects[item] = true
		w.commit(item)
	case Regressed:
		s.ignores[item] = true
		s.running[item] = Item{item, cur.Version - 1, 5}
		if restart { // restarts with an old directory
			w.restart(s, 1000, false)
			return
		}
		s.reporter.RecordApplied(s.clock(w.now), s.running[item], "file")
		w.driftSince[key] = w.now
	case Ahead:
		s.ignores[item] = true
		s.running[item] = Item{item, cur.Version + 3, 6}
		s.reporter.RecordApplied(s.clock(w.now), s.running[item], "record")
	case Overridden:
		s.ignores[item] = true
		s.reporter.RecordOverride(s.clock(w.now), cur, "PUT /-/members/m1/disable")
		w.driftSince[key] = w.now
	case Contradicting:
		s.violates[item] = true
		w.driftSince[key] = w.now
	}
}

// heal ends all that was planted.
func (w *simulation) repairAll() {
	for _, s := range w.relays {
		clear(s.ignores)
		clear(s.rejects)
		clear(s.violates)
		for _, it := range s.reporter.items {
			if it.LocalOverride || it.RejectedVersion > 0 || s.running[it.Name].Version > w.agreed[it.Name].Version {
				s.running[it.Name] = w.agreed[it.Name]
				s.reporter.RecordApplied(s.clock(w.now), w.agreed[it.Name], "record")
			}
		}
	}
}

// warmUp lets the monitor learn how long propagation takes.
func (w *simulation) warmUp(ms int64) {
	for end := w.now + ms; w.now < end; {
		w.commit(w.itemNames[w.rng.IntN(len(w.itemNames))])
		w.advance(3000 + w.rng.Int64N(4000))
	}
}

// TestPlanted: drift of each kind is found, p99 under 3 s after it counts, nothing else is, and it ends once it is repaired: what a relay
// can repair by itself it is asked to resync.
func TestPlantedDriftFound(t *testing.T) {
	took := map[string][]int64{}
	var all []int64
	for seed := range seedsToRun(7) {
		w := newSimulation(seed, 40, 16)
		w.warmUp(150_000)
		kinds := map[string]State{}
		for i, p := range []struct {
			item    string
			kind    State
			restart bool
		}{{ItemEndpointList, Lagging, false}, {"config.section1", Rejected, false}, {ItemCanaryWeights, Regressed, false}, {ItemVoters, Regressed, true}, {ItemPermits, Ahead, false},
			{ItemDrains, Overridden, false}, {ItemEjections, Contradicting, false}, {ItemEjections, Regressed, false}} {
			for k := range 2 {
				w.plant(w.relays[5*i+k], p.item, p.kind, p.restart)
				kinds[w.relays[5*i+k].name+" "+p.item] = p.kind
				w.advance(1700)
			}
		}
		w.advance(90_000)
		for key, kind := range kinds {
			if w.found[key] == 0 || w.driftSince[key] == 0 {
				t.Fatalf("seed %d: %s, planted %v: due %d, found %d", seed, key, kind, w.driftSince[key], w.found[key])
			}
			took[kind.String()] = append(took[kind.String()], w.found[key]-w.driftSince[key])
			all = append(all, w.found[key]-w.driftSince[key])
		}
		if len(w.falseFindings) > 0 {
			t.Fatalf("seed %d: %s", seed, w.falseFindings[0])
		}
		names := make([]string, len(w.relays))
		for i, s := range w.relays {
			names[i] = s.name
		}
		if why, _ := w.monitor.BlockReason(names, nil); !strings.Contains(why, "and 13 more") {
			t.Fatalf("seed %d: BlockReason says %q", seed, why)
		}
		if out := w.monitor.SelectUnfit(4, nil, nil); len(out) != 4 {
			t.Fatalf("seed %d: SelectUnfit returns %v", seed, out)
		}
		w.repairAll()
		w.advance(60_000)
		if rows := w.monitor.Findings(); len(rows) > 0 {
			t.Fatalf("seed %d: repaired, yet %+v", seed, rows[0])
		}
	}
	for _, kind := range []State{Lagging, Rejected, Regressed, Ahead, Overridden, Contradicting} {
		list := took[kind.String()]
		slices.Sort(list)
		t.Logf("%-12v %4d: p50 %d ms, p99 %d, most %d", kind, len(list), list[len(list)/2], list[len(list)*99/100], list[len(list)-1])
	}
	slices.Sort(all)
	if p99 := all[len(all)*99/100]; p99 >= 3000 {
		t.Fatalf("p99 %d ms", p99)
	}
}

// TestReplay: the same seed gives the same result, to the last report and change.
func TestReplay(t *testing.T) {
	var previous string
	for range 2 {
		w := newSimulation(7, 12, 24)
		w.plant(w.relays[3], ItemEjections, Lagging, false)
		w.disturb(120_000)
		current := fmt.Sprintf("%d %x %+v %v", w.bytes, w.trace, w.monitor.Findings(), w.monitor.History())
		if previous != "" && previous != current {
			t.Fatalf("%s\n%s", previous, current)
		}
		previous = current
	}
}

// TestDefects: each of these defects, switched on, makes the monitor claim what was not planted; without it nothing is claimed.
func TestInjectedDefects(t *testing.T) {
	for _, d := range []struct {
		name   string
		defect defect
		run    func(w *simulation)
	}{
		{"a fixed bound where propagation is slow", fixedBound, func(w *simulation) {
			w.propagation = func(*rng) int64 { return 3000 + w.rng.Int64N(9000) }
			w.warmUp(120_000)
		}},
		{"no grace for sends in flight", noGrace, func(w *simulation) {
			for range 10 {
				w.commit(ItemEjections)
				w.advance(10_000)
			}
		}},
		{"a partition counted as drift", partitionIsDrift, func(w *simulation) {
			w.warmUp(120_000)
			for _, s := range w.relays[:4] {
				s.partitionedUntil = w.now + 30_000
			}
			w.warmUp(60_000)
		}},
	} {
		for _, f := range []defect{noDefect, d.defect} {
			w := newSimulation(3, 12, 12)
			w.monitor.defect = f
			d.run(w)
			if found := len(w.falseFindings) > 0; found != (f != noDefect) {
				t.Errorf("%s: switched on %v, found %v %v", d.name, f != noDefect, found, w.falseFindings[:min(len(w.falseFindings), 1)])
			}
		}
	}
}

// TestReportBytes: a relay's reports cost the same in a small fleet and in a large one, under 1 KB/s with 64 items, of which some change.
func TestReportBytes(t *testing.T) {
	var least, most float64
	for _, n := range []int{10, 40, 300} {
		w := newSimulation(1, n, 64)
		w.warmUp(15_000)
		from, bytes := w.now, w.bytes
		w.warmUp(30_000)
		rate := float64(w.bytes-bytes) / float64(n) / (float64(w.now-from) / 1000)
		t.Logf("%d relays: %.0f bytes a second each, longest report %d", n, rate, w.longestReport)
		if least == 0 {
			least = rate
		}
		least, most = min(least, rate), max(most, rate)
	}
	if most >= 1000 || most > 1.5*least {
		t.Errorf("%.0f to %.0f bytes a second", least, most)
	}
}

// TestPlantedAmongFaults: drift is found while other relays restart, are partitioned and stop, and the leader changes.
func TestPlantedAmongFaults(t *testing.T) {
	for seed := range seedsToRun(3) {
		w := newSimulation(seed, 30, 12)
		w.warmUp(60_000)
		for i, p := range []struct {
			item string
			kind State
		}{{ItemEndpointList, Lagging}, {ItemCanaryWeights, Ahead}, {ItemEjections, Contradicting}, {ItemDrains, Overridden}} {
			w.relays[i].undisturbed = true
			w.plant(w.relays[i], p.item, p.kind, false)
		}
		w.disturb(180_000)
		w.advance(60_000)
		for key, kind := range w.planted {
			if w.found[key] == 0 {
				t.Errorf("seed %d: %s, %v, was not found", seed, key, kind)
			}
		}
		if len(w.falseFindings) > 0 {
			t.Errorf("seed %d: %s", seed, w.falseFindings[0])
		}
	}
}

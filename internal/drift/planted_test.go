package drift

import (
	"fmt"
	"slices"
	"strings"
	"testing"
)

// plant makes a relay drift on an item.
func (w *world) plant(s *sim, item string, kind State, restart bool) {
	key := s.name + " " + item
	w.planted[key] = kind
	cur := w.agreed[item]
	switch kind {
	case Lagging:
		s.ignores[item] = true
		w.commit(item)
	case Rejected:
		s.refuses[item] = true
		w.commit(item)
	case Regressed:
		s.ignores[item] = true
		s.run[item] = Item{item, cur.Version - 1, 5}
		if restart { // comes back with an old directory
			w.restart(s, 1000, false)
			return
		}
		s.book.RecordApplied(s.clock(w.now), s.run[item], "file")
		w.due[key] = w.now
	case Ahead:
		s.ignores[item] = true
		s.run[item] = Item{item, cur.Version + 3, 6}
		s.book.RecordApplied(s.clock(w.now), s.run[item], "record")
	case Overridden:
		s.ignores[item] = true
		s.book.RecordOverride(s.clock(w.now), cur, "PUT /-/members/m1/disable")
		w.due[key] = w.now
	case Contradicting:
		s.astray[item] = true
		w.due[key] = w.now
	}
}

// heal ends all that was planted.
func (w *world) heal() {
	for _, s := range w.sims {
		clear(s.ignores)
		clear(s.refuses)
		clear(s.astray)
		for _, it := range s.book.items {
			if it.LocalOverride || it.RejectedVersion > 0 || s.run[it.Name].Version > w.agreed[it.Name].Version {
				s.run[it.Name] = w.agreed[it.Name]
				s.book.RecordApplied(s.clock(w.now), w.agreed[it.Name], "record")
			}
		}
	}
}

// warm lets a fleet show how fast it is.
func (w *world) warm(ms int64) {
	for end := w.now + ms; w.now < end; {
		w.commit(w.names[w.rng.IntN(len(w.names))])
		w.more(3000 + w.rng.Int64N(4000))
	}
}

// TestPlanted: drift of each kind is found, p99 under 3 s after it counts, nothing else is, and it is over once it is mended: what a relay can
// mend by itself it is told to take anew.
func TestPlanted(t *testing.T) {
	took := map[string][]int64{}
	var all []int64
	for seed := range seeds(7) {
		w := newWorld(seed, 40, 16)
		w.warm(150_000)
		kinds := map[string]State{}
		for i, p := range []struct {
			item    string
			kind    State
			restart bool
		}{{ItemEndpointList, Lagging, false}, {"config.section1", Rejected, false}, {ItemCanaryWeights, Regressed, false}, {ItemVoters, Regressed, true}, {ItemPermits, Ahead, false},
			{ItemDrains, Overridden, false}, {ItemEjections, Contradicting, false}, {ItemEjections, Regressed, false}} {
			for k := range 2 {
				w.plant(w.sims[5*i+k], p.item, p.kind, p.restart)
				kinds[w.sims[5*i+k].name+" "+p.item] = p.kind
				w.more(1700)
			}
		}
		w.more(90_000)
		for key, kind := range kinds {
			if w.found[key] == 0 || w.due[key] == 0 {
				t.Fatalf("seed %d: %s, planted %v: due %d, found %d", seed, key, kind, w.due[key], w.found[key])
			}
			took[kind.String()] = append(took[kind.String()], w.found[key]-w.due[key])
			all = append(all, w.found[key]-w.due[key])
		}
		if len(w.falsely) > 0 {
			t.Fatalf("seed %d: %s", seed, w.falsely[0])
		}
		names := make([]string, len(w.sims))
		for i, s := range w.sims {
			names[i] = s.name
		}
		if why, _ := w.watch.BlockReason(names, nil); !strings.Contains(why, "and 13 more") {
			t.Fatalf("seed %d: blocks says %q", seed, why)
		}
		if out := w.watch.SelectUnfit(4, nil, nil); len(out) != 4 {
			t.Fatalf("seed %d: takes out %v", seed, out)
		}
		w.heal()
		w.more(60_000)
		if rows := w.watch.Findings(); len(rows) > 0 {
			t.Fatalf("seed %d: mended, yet %+v", seed, rows[0])
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

// TestReplay: the same seed says the same, to the last word and change.
func TestReplay(t *testing.T) {
	var was string
	for range 2 {
		w := newWorld(7, 12, 24)
		w.plant(w.sims[3], ItemEjections, Lagging, false)
		w.upset(120_000)
		now := fmt.Sprintf("%d %x %+v %v", w.bytes, w.trace, w.watch.Findings(), w.watch.History())
		if was != "" && was != now {
			t.Fatalf("%s\n%s", was, now)
		}
		was = now
	}
}

// TestDefects: each of these defects, switched on, makes the model claim what was not planted; without it nothing is claimed.
func TestDefects(t *testing.T) {
	for _, d := range []struct {
		name string
		flaw defect
		play func(w *world)
	}{
		{"a fixed bound where propagation is slow", fixedBound, func(w *world) {
			w.apply = func(*rng) int64 { return 3000 + w.rng.Int64N(9000) }
			w.warm(120_000)
		}},
		{"no grace for sends in flight", noGrace, func(w *world) {
			for range 10 {
				w.commit(ItemEjections)
				w.more(10_000)
			}
		}},
		{"a cut counted as drift", partitionIsDrift, func(w *world) {
			w.warm(120_000)
			for _, s := range w.sims[:4] {
				s.cut = w.now + 30_000
			}
			w.warm(60_000)
		}},
	} {
		for _, f := range []defect{noDefect, d.flaw} {
			w := newWorld(3, 12, 12)
			w.watch.defect = f
			d.play(w)
			if found := len(w.falsely) > 0; found != (f != noDefect) {
				t.Errorf("%s: switched on %v, found %v %v", d.name, f != noDefect, found, w.falsely[:min(len(w.falsely), 1)])
			}
		}
	}
}

// TestBytes: a relay's words cost the same in a small fleet and in a large one, under 1 KB/s with 64 items, of which some change.
func TestBytes(t *testing.T) {
	var least, most float64
	for _, n := range []int{10, 40, 300} {
		w := newWorld(1, n, 64)
		w.warm(15_000)
		from, bytes := w.now, w.bytes
		w.warm(30_000)
		rate := float64(w.bytes-bytes) / float64(n) / (float64(w.now-from) / 1000)
		t.Logf("%d relays: %.0f bytes a second each, longest word %d", n, rate, w.longest)
		if least == 0 {
			least = rate
		}
		least, most = min(least, rate), max(most, rate)
	}
	if most >= 1000 || most > 1.5*least {
		t.Errorf("%.0f to %.0f bytes a second", least, most)
	}
}

// TestPlantedAmongFaults: drift is found while other relays restart, are cut off and stop, and the leader changes.
func TestPlantedAmongFaults(t *testing.T) {
	for seed := range seeds(3) {
		w := newWorld(seed, 30, 12)
		w.warm(60_000)
		for i, p := range []struct {
			item string
			kind State
		}{{ItemEndpointList, Lagging}, {ItemCanaryWeights, Ahead}, {ItemEjections, Contradicting}, {ItemDrains, Overridden}} {
			w.sims[i].spared = true
			w.plant(w.sims[i], p.item, p.kind, false)
		}
		w.upset(180_000)
		w.more(60_000)
		for key, kind := range w.planted {
			if w.found[key] == 0 {
				t.Errorf("seed %d: %s, %v, was not found", seed, key, kind)
			}
		}
		if len(w.falsely) > 0 {
			t.Errorf("seed %d: %s", seed, w.falsely[0])
		}
	}
}

package drift

import (
	"fmt"
	"hash/fnv"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
)

type rng = rand.Rand

// world is a fleet in virtual time: relays with a Book each, one leader with a Watch, and a network that loses, delays, reorders and repeats.
type world struct {
	now     int64
	rng     *rand.Rand
	set     Settings
	watch   *Monitor
	sims    []*sim
	names   []string
	agreed  map[string]Item
	wire    map[int64][]func() // what arrives when
	loss    float64
	delay   int64              // of a datagram, at most
	apply   func(r *rng) int64 // how long a relay takes for a change
	planted map[string]State   // by relay and item: what may be found
	found   map[string]int64   // when it was
	due     map[string]int64   // since when it counts
	falsely []string           // claims of what was not planted
	bytes   int
	longest int
	trace   uint64
}

type sim struct {
	at       int
	name     string
	book     *Reporter
	starts   uint64
	run      map[string]Item // what it runs
	heard    map[string]Item // what it has heard of the record, and would apply
	up       bool
	stopped  int64 // until when (SIGSTOP)
	cut      int64 // until when nothing reaches it or comes from it
	phase    int64
	ignores  map[string]bool
	refuses  map[string]bool
	astray   map[string]bool
	slow     bool
	spared   bool            // nothing else happens to it
	working  map[string]bool // moves on with an item while it is slow
	inflight int64           // until when sends that began before a change are counted
	skew     int64           // of its clock
}

const tick = 100

func newWorld(seed uint64, n, items int) *world {
	w := &world{now: 1_100_000_000_000, rng: rand.New(rand.NewPCG(seed, 31)), agreed: map[string]Item{}, wire: map[int64][]func(){}, loss: 0.05, delay: 200,
		planted: map[string]State{}, found: map[string]int64{}, due: map[string]int64{}}
	w.apply = func(r *rng) int64 { return 20 + int64(r.ExpFloat64()*150) }
	w.names = []string{ItemProgram, ItemEndpointList, ItemEjections, ItemDrains, ItemCanaryWeights, ItemVoters, ItemPermits}
	for i := 0; len(w.names) < items; i++ {
		w.names = append(w.names, fmt.Sprintf("config.section%d", i))
	}
	for _, name := range w.names {
		w.agreed[name] = Item{name, 1, w.rng.Uint64()}
	}
	for i := range n {
		s := &sim{at: i, name: fmt.Sprintf("relay-%d", i), phase: w.rng.Int64N(1000) / tick * tick, skew: w.rng.Int64N(20000) - 10000, run: map[string]Item{},
			ignores: map[string]bool{}, refuses: map[string]bool{}, astray: map[string]bool{}}
		for name, it := range w.agreed {
			s.run[name] = it
		}
		w.sims = append(w.sims, s)
		w.start(s)
	}
	w.lead()
	return w
}

// lead makes a new leader, which knows nothing but what is agreed.
func (w *world) lead() {
	f := noDefect
	if w.watch != nil {
		f = w.watch.defect
	}
	w.watch = NewMonitor(w.set)
	w.watch.defect = f
	w.intend()
}

func (w *world) intend() {
	var items []Item
	for _, name := range w.names {
		items = append(items, w.agreed[name])
	}
	for _, s := range w.sims {
		w.watch.SetIntent(w.now, s.name, items)
	}
}

func (s *sim) clock(now int64) int64 { return now + s.skew }

// start begins a process with what it runs by now, which may be old, and has it catch up.
func (w *world) start(s *sim) {
	s.starts++
	s.up, s.stopped = true, 0
	s.book = NewReporter(s.name, s.starts<<20)
	s.working, s.heard = map[string]bool{}, map[string]Item{}
	for _, name := range w.names {
		if it, ok := s.run[name]; ok {
			s.book.RecordApplied(s.clock(w.now), it, "directory")
		}
	}
	s.book.CountActivity(ItemEjections, KindRemovedMember, 0, 0)
	w.catchUp(s)
}

func (w *world) catchUp(s *sim) {
	for _, name := range w.names {
		if s.run[name] != w.agreed[name] {
			w.reach(s, w.agreed[name])
		}
	}
}

func (w *world) at(when int64, what func()) {
	when = max((when+tick-1)/tick*tick, w.now+tick)
	w.wire[when] = append(w.wire[when], what)
}

// reach has a relay apply a change after a while, if it can.
func (w *world) reach(s *sim, it Item) {
	start, wait := s.starts, w.apply(w.rng)
	if s.slow {
		wait += 40_000
		s.working[it.Name] = true
	}
	w.at(w.now+wait, func() { w.take(s, start, it) })
}

func (w *world) take(s *sim, start uint64, it Item) {
	switch {
	case !s.up || s.starts != start || s.ignores[it.Name] || w.now < s.cut || s.run[it.Name].Version >= it.Version && s.run[it.Name] == it:
	case w.now < s.stopped:
		w.at(s.stopped, func() { w.take(s, start, it) })
	case s.run[it.Name].Version > it.Version && s.run[it.Name].Version <= w.agreed[it.Name].Version:
	case s.refuses[it.Name]:
		s.book.RecordRejected(s.clock(w.now), it, "record", "no such key")
		if key := s.name + " " + it.Name; w.due[key] == 0 {
			w.due[key] = w.now
		}
	default:
		if it == w.agreed[it.Name] {
			delete(s.working, it.Name)
		}
		s.run[it.Name] = it
		s.book.RecordApplied(s.clock(w.now), it, "record")
		if it.Name == ItemEjections {
			s.inflight = w.now + 4000
		}
	}
}

// commit agrees on a new version of an item.
func (w *world) commit(name string) {
	w.agreed[name] = Item{name, w.agreed[name].Version + 1, w.rng.Uint64()}
	w.intend()
	for _, s := range w.sims {
		w.reach(s, w.agreed[name])
	}
}

// send carries a datagram to the leader or from it.
func (w *world) send(s *sim, arrive func()) {
	for range 1 + map[bool]int{true: 1}[w.rng.Float64() < 0.02] {
		late := 1 + w.rng.Int64N(w.delay)
		if w.rng.Float64() < 0.01 {
			late *= 10 // overtaken by others
		}
		if w.rng.Float64() >= w.loss && w.now >= s.cut {
			w.at(w.now+late, arrive)
		}
	}
}

func (w *world) hear(s *sim, b []byte) {
	word, err := DecodeReport(b)
	if err != nil {
		panic(err)
	}
	w.watch.HandleReport(w.now, word)
	w.look(s.name)
	if reply, ok := w.watch.Reply(s.name); ok {
		b, start := reply.Encode(), s.starts
		w.send(s, func() {
			if r, err := DecodeReply(b); err == nil && s.up && s.starts == start && w.now >= s.stopped {
				for _, item := range s.book.HandleReply(r) {
					w.reach(s, w.agreed[item])
				}
			}
		})
	}
}

// look holds what a relay's pairs are said to be against what was planted.
func (w *world) look(relay string) {
	r := w.watch.relays[relay]
	for _, g := range r.groups {
		for _, p := range g.items {
			key := relay + " " + p.agreed.Name
			if r.silent || p.state < Lagging || p.state == Unknown {
				continue
			}
			if want, ok := w.planted[key]; !ok {
				w.falsely = append(w.falsely, fmt.Sprintf("%s at %d: %v, %s; behind %d moved %d returned %d said %d life %d", key, w.now, p.state, p.suspicion.reason,
					w.now-p.outOfSyncSince, w.now-p.progressedAt, w.now-p.returnedAt, w.now-r.sentAt, r.liveness))
			} else if want == p.state && w.found[key] == 0 {
				w.found[key] = w.now
			}
		}
	}
}

// counts keeps since when what was planted, and takes its time to count as drift, does so.
func (w *world) counts() {
	for _, key := range slices.Sorted(maps.Keys(w.planted)) {
		if w.due[key] != 0 || w.planted[key] == Rejected {
			continue
		}
		relay, item, _ := strings.Cut(key, " ")
		r := w.watch.relays[relay]
		g := r.group(GroupOf(item))
		if p := g.item(item); p.outOfSyncSince > 0 && p.lastReading == w.planted[key] && !r.silent && w.watch.overdue(w.now, g, p) {
			w.due[key] = w.now
		}
	}
}

// play lets time pass.
func (w *world) play(until int64) {
	for ; w.now < until; w.now += tick {
		due := w.wire[w.now]
		delete(w.wire, w.now)
		for _, do := range due {
			do()
		}
		for _, s := range w.sims {
			if !s.up || w.now < s.stopped {
				continue
			}
			if s.cut > 0 && w.now >= s.cut {
				s.cut = 0
				w.catchUp(s)
			}
			if (w.now+s.phase)%1000 != 0 {
				continue
			}
			for name := range s.astray {
				s.book.CountActivity(name, KindRemovedMember, 3, 3)
			}
			if w.now < s.inflight {
				s.book.CountActivity(ItemEjections, KindRemovedMember, 4, 4) // begun before the change
			}
			for name := range s.working {
				s.book.RecordProgress(name)
			}
			b := s.book.NextReport(s.clock(w.now)).Encode()
			w.bytes += len(b)
			w.longest = max(w.longest, len(b))
			w.send(s, func() { w.hear(s, b) })
		}
		if w.now%1000 == 0 {
			for _, c := range w.watch.Tick(w.now) {
				h := fnv.New64a()
				fmt.Fprint(h, w.trace, c)
				w.trace = h.Sum64()
			}
			for _, s := range w.sims {
				w.look(s.name)
			}
		}
		w.counts()
	}
}

func (w *world) more(ms int64) { w.play((w.now + ms) / tick * tick) }

// restart ends a relay, and begins it again after a while with what it had then; told is whether others know of it.
func (w *world) restart(s *sim, wait int64, told bool) {
	s.up = false
	if told {
		w.watch.SetLiveness(s.name, Restarting)
	}
	w.at(w.now+wait, func() {
		w.start(s)
		if told {
			w.at(w.now+2000, func() { w.watch.SetLiveness(s.name, Alive) })
		}
	})
}

// seeds is how many seeds a test plays: a few in CI, as many as DRIFT_SEEDS says by hand.
func seeds(few int) uint64 {
	if n, err := strconv.Atoi(os.Getenv("DRIFT_SEEDS")); err == nil {
		return uint64(n)
	}
	return uint64(few)
}

// upset plays a fleet in which all sorts of things happen, none of them drift.
func (w *world) upset(ms int64) {
	for end := w.now + ms; w.now < end; {
		s := w.sims[w.rng.IntN(len(w.sims))]
		free := !s.spared && s.up && w.now > s.stopped && s.cut == 0 && !s.slow
		switch k := w.rng.IntN(15); {
		case k < 6:
			w.commit(w.names[w.rng.IntN(len(w.names))])
		case k == 6:
			w.commit(ItemEjections)
		case !free:
		case k == 7:
			w.restart(s, w.rng.Int64N(8000), w.rng.IntN(2) == 0)
		case k == 8: // with nothing of what it had
			s.run = map[string]Item{}
			w.restart(s, w.rng.Int64N(3000), false)
		case k == 9: // upgrade: the new process is there before the old one has gone
			w.watch.SetLiveness(s.name, Upgrading)
			w.start(s)
			w.at(w.now+4000, func() { w.watch.SetLiveness(s.name, Alive) })
		case k == 10:
			s.stopped = w.now + w.rng.Int64N(12000)
		case k == 11:
			s.cut = w.now + w.rng.Int64N(40000)
			if w.rng.IntN(2) == 0 {
				w.watch.SetLiveness(s.name, Unreachable)
			}
		case k == 14: // its clock is set
			s.skew += w.rng.Int64N(40_000) - 20_000
		case k == 12 && w.rng.IntN(4) == 0:
			w.lead()
		case k == 13 && w.rng.IntN(4) == 0: // a slow disk, for a minute
			s.slow = true
			w.at(w.now+60_000, func() { s.slow = false })
		}
		w.more(w.rng.Int64N(5000))
	}
}

// TestNoFalseFinding: an hour (DRIFT_MINUTES=60; short in CI) of 40 relays at 5% loss with restarts, upgrades, cuts, stops, slow disks, clocks
// that are set and new leaders; also of 3, and a part of it of 300.
func TestNoFalseFinding(t *testing.T) {
	minutes, err := strconv.ParseInt(os.Getenv("DRIFT_MINUTES"), 10, 64)
	if err != nil {
		minutes = 3
	}
	for seed := range seeds(2) {
		for _, n := range []int{3, 40, 300} {
			w := newWorld(seed, n, 16)
			w.upset(minutes * 60_000 / int64(1+n/100*4))
			if len(w.falsely) > 0 {
				t.Fatalf("seed %d, %d relays: %d, first: %s", seed, n, len(w.falsely), w.falsely[0])
			}
			w.more(120_000)
			if rows := w.watch.Findings(); len(rows) > 0 && !slices.ContainsFunc(w.sims, func(s *sim) bool { return !s.up }) {
				t.Fatalf("seed %d, %d relays: not in step at the end: %+v", seed, n, rows[0])
			}
		}
	}
}

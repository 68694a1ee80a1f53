package gossip

import (
	"container/heap"
	"fmt"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"
)

// world is a network in virtual time: every message is encoded and decoded, delayed, lost, repeated, or cut off.
type world struct {
	now     time.Duration
	rng     *rand.Rand
	nodes   []*node
	events  events
	order   int
	loss    float64
	repeat  float64
	delay   time.Duration // at most, beside 1 ms
	cut     func(from, to int) bool
	sent    int
	bytes   int
	largest int
	trace   uint64
	dead    func(at int, p *Peer) // told of each relay that some node holds for dead
}

type node struct {
	*Membership
	at        int
	up        bool
	stopped   bool // SIGSTOP
	held      []event
	div       BudgetDivisor
	incarnate uint64
}

type event struct {
	at       time.Duration
	order    int
	to, from int
	life     uint64 // of the node that it is for; 0 for any
	bytes    []byte // nil for a look at what is due
	knock    []byte
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].order < e[j].order
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	x := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return x
}

const tickEvery = 20 * time.Millisecond

func newWorld(seed uint64, n int) *world {
	w := &world{rng: rand.New(rand.NewPCG(seed, 9)), now: time.Hour, cut: func(int, int) bool { return false }}
	for i := range n {
		w.nodes = append(w.nodes, &node{at: i})
	}
	for i := range n {
		w.start(i)
	}
	return w
}

func addr(i int) string { return fmt.Sprintf("10.0.%d.%d:7400", i/250, i%250) }
func name(i int) string { return fmt.Sprintf("n%d", i) }

// start begins a relay, with nothing of what it knew.
func (w *world) start(i int) {
	nd := w.nodes[i]
	nd.incarnate++
	nd.up, nd.stopped, nd.held = true, false, nil
	self := Update{Name: name(i), Addr: addr(i), Zone: "z" + strconv.Itoa(i%3), Incarnation: nd.incarnate << 20, Phase: Serving}
	nd.Membership = New(w.now, self, []string{addr(0), addr(len(w.nodes) - 1)}, rand.New(rand.NewPCG(w.rng.Uint64(), uint64(i))))
	nd.div = BudgetDivisor{Configured: len(w.nodes)}
	nd.div.Update(w.now, 1, 0) // as the service does: it has heard nobody yet
	w.push(event{at: w.now, to: i, life: nd.incarnate})
}

func (w *world) push(e event) {
	w.order++
	e.order = w.order
	heap.Push(&w.events, e)
}

func (w *world) index(at string) int {
	return slices.IndexFunc(w.nodes, func(n *node) bool { return addr(n.at) == at })
}

func (w *world) out(from int, outs []Outbound) {
	for _, o := range outs {
		to := w.index(o.Addr)
		if to < 0 {
			continue
		}
		if o.DialProbe {
			b, _ := (&Message{Updates: o.Message.Updates}).Append(nil, MaxDatagramSize)
			if !w.cut(from, to) && !w.cut(to, from) && !w.nodes[to].up {
				w.push(event{at: w.now + time.Millisecond, to: from, from: to, life: w.nodes[from].incarnate, knock: b})
			}
			continue
		}
		b, n := o.Message.Append(nil, MaxDatagramSize-Overhead)
		if n < len(o.Message.Updates) && o.Message.Kind != Gossip && n == 0 {
			panic("nothing fits")
		}
		w.sent++
		w.bytes += len(b) + headerSize + tagSize + len(name(from))
		w.largest = max(w.largest, len(b)+Overhead)
		h := fnv.New64a()
		fmt.Fprint(h, w.trace, w.now, from, to, b)
		w.trace = h.Sum64()
		for range 1 + map[bool]int{true: 1}[w.rng.Float64() < w.repeat] {
			if w.rng.Float64() >= w.loss && !w.cut(from, to) {
				late := time.Millisecond + time.Duration(w.rng.Float64()*float64(w.delay))
				w.push(event{at: w.now + late, to: to, from: from, bytes: b})
			}
		}
	}
}

// run plays until a time.
func (w *world) run(until time.Duration) {
	for len(w.events) > 0 && w.events[0].at <= until {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		nd := w.nodes[e.to]
		switch {
		case !nd.up || e.life != 0 && e.life != nd.incarnate:
		case nd.stopped:
			if len(nd.held) < 500 || e.bytes == nil {
				nd.held = append(nd.held, e)
			}
		case e.knock != nil:
			m, _ := Decode(e.knock)
			nd.ConnectionRefused(w.now, m.Updates[0].Name, m.Updates[0].Incarnation)
		case e.bytes != nil:
			m, err := Decode(e.bytes)
			if err != nil {
				panic(err)
			}
			w.out(e.to, nd.Receive(w.now, name(e.from), m))
		default:
			w.out(e.to, nd.Tick(w.now))
			if w.dead != nil {
				for _, p := range nd.peers {
					if p.State == Dead {
						w.dead(e.to, p)
					}
				}
			}
			w.push(event{at: max(min(nd.NextTick(), w.now+time.Second), w.now+tickEvery), to: e.to, life: nd.incarnate})
		}
	}
	w.now = until
}

func (w *world) more(d time.Duration) { w.run(w.now + d) }

// resume is SIGCONT: all that waited comes at once.
func (w *world) resume(i int) {
	nd := w.nodes[i]
	nd.stopped = false
	for _, e := range nd.held {
		e.at = w.now
		w.push(e)
	}
	nd.held = nil
}

// agree says whose view is wrong: of every relay that lives each other one that lives says so, and of no other.
func (w *world) agree() string {
	for _, a := range w.nodes {
		for _, b := range w.nodes {
			if !a.up || a == b {
				continue
			}
			p := a.peers[name(b.at)]
			if b.up != (p != nil && p.State == Alive) && !(p == nil && !b.up) && !(p != nil && !b.up && p.State >= Dead) {
				return fmt.Sprintf("n%d holds n%d (up %v) for %+v", a.at, b.at, b.up, p)
			}
		}
	}
	return ""
}

// settle waits until all views agree, for so long at most.
func (w *world) settle(t *testing.T, most time.Duration) time.Duration {
	t.Helper()
	began := w.now
	for w.agree() != "" {
		if w.now-began > most {
			t.Fatalf("no agreement within %v: %s", most, w.agree())
		}
		w.more(200 * time.Millisecond)
	}
	return w.now - began
}

// seeds is how many seeds a test plays: a few in CI, as many as PEERS_SEEDS says by hand.
func seeds(few int) uint64 {
	if n, err := strconv.Atoi(os.Getenv("PEERS_SEEDS")); err == nil {
		return uint64(n)
	}
	return uint64(few)
}

// eachSeed plays them on all processors.
func eachSeed(t *testing.T, few int, play func(t *testing.T, seed uint64)) {
	for seed := range seeds(few) {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			t.Parallel()
			play(t, seed)
		})
	}
}

// TestViewsAgree plays random loss, delay, repetition, one-way cuts, partitions, kills, stops, farewells and returns with lost
// state. After the faults all views agree within a bound, and no state has grown.
func TestViewsAgree(t *testing.T) {
	eachSeed(t, 40, func(t *testing.T, seed uint64) {
		n := []int{3, 5, 12, 30}[seed%4]
		w := newWorld(seed, n)
		w.settle(t, 20*time.Second)
		for range 8 {
			i, j := w.rng.IntN(n), w.rng.IntN(n)
			switch w.rng.IntN(9) {
			case 0:
				w.loss, w.repeat = 0.3*w.rng.Float64(), 0.2
			case 1:
				w.delay = time.Duration(w.rng.Float64() * 0.8 * float64(time.Second)) // beyond the time of a ping
			case 2:
				w.cut = func(from, to int) bool { return from == i || to == j }
			case 3:
				side := w.rng.IntN(n) + 1
				w.cut = func(from, to int) bool { return (from < side) != (to < side) }
			case 4, 5:
				w.nodes[i].up = false
			case 6:
				w.nodes[i].stopped = true
			case 7:
				if nd := w.nodes[i]; nd.up && !nd.stopped {
					w.out(i, nd.Leave(w.now))
					nd.up = false
				}
			case 8:
				if !w.nodes[i].up {
					w.start(i)
				}
			}
			w.more(time.Duration(w.rng.Float64() * 12 * float64(time.Second)))
		}
		w.loss, w.repeat, w.delay, w.cut = 0, 0, 0, func(int, int) bool { return false }
		for i, nd := range w.nodes {
			if nd.stopped {
				w.resume(i)
			}
			if w.rng.IntN(2) == 0 && !nd.up {
				w.start(i)
			}
		}
		if !w.nodes[0].up && !w.nodes[n-1].up { // two that come back knowing nobody never meet while all known addresses are down
			w.start(0)
		}
		took := w.settle(t, 90*time.Second)
		if took > 60*time.Second {
			t.Errorf("seed %d, %d relays: agreed only after %v", seed, n, took)
		}
		for _, nd := range w.nodes {
			if len(nd.peers) >= n || len(nd.indirectProbes) > maxIndirectProbes || len(nd.probeOrder) > n {
				t.Errorf("seed %d: %d peers, %d errands", seed, len(nd.peers), len(nd.indirectProbes))
			}
		}
		if w.largest > MaxDatagramSize {
			t.Errorf("seed %d: a datagram of %d bytes", seed, w.largest)
		}
	})
}

// TestSameAgain: a seed plays the same again, message for message.
func TestSameAgain(t *testing.T) {
	play := func() uint64 {
		w := newWorld(5, 12)
		w.loss = 0.1
		w.more(10 * time.Second)
		w.nodes[3].up = false
		w.more(10 * time.Second)
		return w.trace
	}
	if a, b := play(), play(); a != b {
		t.Errorf("traces %x and %x", a, b)
	}
}

// TestNoticed: a killed relay is noticed by all within seconds, by the refusal at its address where that can be had, and by its
// silence where its machine is gone; no live relay is held for dead meanwhile, nor in minutes of loss.
func TestNoticed(t *testing.T) {
	for _, tt := range []struct {
		name   string
		silent bool
		p99    time.Duration
	}{{"refuses", false, 3 * time.Second}, {"silent", true, 7 * time.Second}} {
		t.Run(tt.name, func(t *testing.T) {
			var took []time.Duration
			for seed := range uint64(6) {
				w := newWorld(seed, 50)
				w.loss = 0.01
				w.more(20 * time.Second)
				w.dead = func(at int, p *Peer) {
					if p.Name != name(7) {
						t.Errorf("seed %d: n%d holds %s for dead", seed, at, p.Name)
					}
				}
				w.nodes[7].up = false
				if tt.silent {
					w.cut = func(from, to int) bool { return to == 7 }
				}
				began, seen := w.now, map[int]bool{}
				for len(seen) < 49 && w.now-began < 30*time.Second {
					w.more(20 * time.Millisecond)
					for i, nd := range w.nodes {
						if p := nd.peers[name(7)]; i != 7 && !seen[i] && p.State >= Dead {
							seen[i] = true
							took = append(took, w.now-began)
						}
					}
				}
				if len(seen) < 49 {
					t.Fatalf("seed %d: %d of 49 have noticed", seed, len(seen))
				}
			}
			slices.Sort(took)
			p50, p99 := took[len(took)/2], took[len(took)*99/100]
			t.Logf("noticed: p50 %v, p99 %v", p50, p99)
			if p99 > tt.p99 {
				t.Errorf("p99 %v, want at most %v", p99, tt.p99)
			}
		})
	}
}

// TestNoneDeadByLoss: loss alone makes suspects, and none of them dead. PEERS_MINUTES plays longer.
func TestNoneDeadByLoss(t *testing.T) {
	minutes, err := strconv.Atoi(os.Getenv("PEERS_MINUTES"))
	if err != nil {
		minutes = 2
	}
	for _, loss := range []float64{0, 0.05, 0.3} {
		w := newWorld(3, 50)
		w.more(30 * time.Second)
		w.loss, w.sent, w.bytes = loss, 0, 0
		dead := map[string]bool{}
		w.dead = func(at int, p *Peer) { dead[fmt.Sprintf("%s by %d at %v", p.Name, at, p.Since)] = true }
		w.more(time.Duration(minutes) * time.Minute)
		t.Logf("loss %.2f: %d held for dead in %d minutes, %.0f bytes a second each", loss, len(dead), minutes,
			float64(w.bytes)/50/(float64(minutes)*60))
		if len(dead) > 0 && loss < 0.1 {
			t.Errorf("loss %.2f: %v", loss, dead)
		}
	}
}

// TestBytesFlat: what a relay sends does not grow with their number.
func TestBytesFlat(t *testing.T) {
	rate := map[int]float64{}
	for _, n := range []int{10, 50, 200} {
		w := newWorld(1, n)
		w.more(40 * time.Second)
		w.bytes = 0
		w.more(time.Minute)
		rate[n] = float64(w.bytes) / float64(n) / 60
	}
	t.Logf("bytes a second each: %v", rate)
	if rate[200] > 2*rate[10] || rate[50] > 1500 {
		t.Errorf("bytes a second each: %v", rate)
	}
}

// TestBudget: whatever is cut, killed or stopped, all relays together never take more than a third over the budget that they
// divide, and where most of them are gone for certain the rest take more than their old parts.
func TestBudget(t *testing.T) {
	eachSeed(t, 16, func(t *testing.T, seed uint64) {
		n := 12
		w := newWorld(seed, n)
		w.more(15 * time.Second)
		check := func() {
			sum := 0.0
			for _, nd := range w.nodes {
				if nd.up && !nd.stopped {
					live, down := nd.Counts()
					sum += 1 / nd.div.Update(w.now, live, down)
				}
			}
			if sum > 4.0/3+1e-9 {
				detail := ""
				for _, nd := range w.nodes {
					live, down := nd.Counts()
					detail += fmt.Sprintf(" n%d(up %v) %d live %d down /%.1f;", nd.at, nd.up, live, down, nd.div.current)
				}
				t.Fatalf("seed %d at %v: %.2f of the budget:%s", seed, w.now, sum, detail)
			}
		}
		watch := func(d time.Duration) {
			for end := w.now + d; w.now < end; {
				w.more(100 * time.Millisecond)
				check()
			}
		}
		if seed%2 == 1 { // many at once, before they are parted or all come back
			for range w.rng.IntN(n - 1) {
				w.nodes[w.rng.IntN(n)].up = false
			}
			watch(time.Duration(w.rng.IntN(15)) * time.Second)
		}
		for range 5 {
			i, side := w.rng.IntN(n), w.rng.IntN(n)
			switch w.rng.IntN(5) {
			case 4:
				for i, nd := range w.nodes {
					if !nd.up {
						w.start(i)
					}
				}
			case 0:
				w.cut = func(from, to int) bool { return (from < side) != (to < side) }
			case 1:
				w.nodes[i].up = false
			case 2:
				w.cut = func(int, int) bool { return false }
			case 3:
				if !w.nodes[i].up {
					w.start(i)
				}
			}
			watch(time.Duration(w.rng.IntN(20)) * time.Second)
		}
	})
	w := newWorld(99, 12)
	w.more(15 * time.Second)
	for i := range 8 {
		w.nodes[i].up = false
	}
	for range 400 {
		w.more(100 * time.Millisecond)
		for _, nd := range w.nodes[8:] {
			live, down := nd.Counts()
			nd.div.Update(w.now, live, down)
		}
	}
	live, down := w.nodes[9].Counts()
	if got := w.nodes[9].div.Update(w.now, live, down); got > 7.51 {
		t.Errorf("four of twelve live, %d known to be down, and the budget is divided by %.1f", down, got)
	}
}

// TestClaims: 2,000 claimed relays are not held beyond the bound, move no budget, and one that keeps calling another dead is
// answered each time by the other itself.
func TestClaims(t *testing.T) {
	w := newWorld(2, 5)
	w.more(15 * time.Second)
	liar, victim := w.nodes[1], w.nodes[3]
	began, worst := w.now, time.Duration(0)
	for n := 0; w.now-began < 20*time.Second; n++ {
		w.more(100 * time.Millisecond)
		u := victim.self
		u.State, u.Accuser = Dead, "n1"
		claims := []Update{liar.self, u}
		for i := range 20 {
			claims = append(claims, Update{Name: fmt.Sprintf("ghost%d", n*20+i), Addr: addr(9000), State: Gone, Incarnation: math.MaxUint64 / 2})
		}
		for _, nd := range w.nodes {
			if nd != liar {
				w.out(nd.at, nd.Receive(w.now, "n1", Message{Kind: Gossip, Updates: claims}))
				if p := nd.peers["n3"]; p != nil && p.State >= Dead {
					worst = max(worst, w.now-p.Since)
				}
				if live, down := nd.Counts(); down > 0 || live > 5 {
					t.Fatalf("%d live, %d down", live, down)
				}
				if len(nd.peers) > MaxPeers {
					t.Fatalf("%d peers", len(nd.peers))
				}
			}
		}
	}
	if worst > 2*time.Second {
		t.Errorf("believed dead for %v while it answers", worst)
	}
}

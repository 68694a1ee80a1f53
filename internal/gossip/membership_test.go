package gossip

import (
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"
)

// TestConvergence simulates random loss, delay, duplication, one-way cuts, partitions, kills, stops,
// leaves and restarts without state. After the faults, all views must agree within a time limit and
// no table may have grown beyond its bound.
func TestConvergence(t *testing.T) {
	eachSeed(t, 40, func(t *testing.T, seed uint64) {
		n := []int{3, 5, 12, 30}[seed%4]
		w := newNetwork(seed, n)
		w.settle(t, 20*time.Second)
		for range 8 {
			i, j := w.rng.IntN(n), w.rng.IntN(n)
			switch w.rng.IntN(9) {
			case 0:
				w.lossRate, w.repeatRate = 0.3*w.rng.Float64(), 0.2
			case 1:
				w.delay = time.Duration(w.rng.Float64() * 0.8 * float64(time.Second)) // longer than a probe's timeout
			case 2:
				w.partitioned = func(from, to int) bool { return from == i || to == j }
			case 3:
				side := w.rng.IntN(n) + 1
				w.partitioned = func(from, to int) bool { return (from < side) != (to < side) }
			case 4, 5:
				w.nodes[i].up = false
			case 6:
				w.nodes[i].stopped = true
			case 7:
				if nd := w.nodes[i]; nd.up && !nd.stopped {
					w.deliver(i, nd.Leave(w.now))
					nd.up = false
				}
			case 8:
				if !w.nodes[i].up {
					w.start(i)
				}
			}
			w.advance(time.Duration(w.rng.Float64() * 12 * float64(time.Second)))
		}
		w.lossRate, w.repeatRate, w.delay, w.partitioned = 0, 0, 0, func(int, int) bool { return false }
		for i, nd := range w.nodes {
			if nd.stopped {
				w.resume(i)
			}
			if w.rng.IntN(2) == 0 && !nd.up {
				w.start(i)
			}
		}
		if !w.nodes[0].up && !w.nodes[n-1].up { // relays that restart without state cannot join while all seeds are down
			w.start(0)
		}
		took := w.settle(t, 90*time.Second)
		if took > 60*time.Second {
			t.Errorf("seed %d, %d relays: views agreed after %v, want at most 60s", seed, n, took)
		}
		for _, nd := range w.nodes {
			if len(nd.peers) >= n || len(nd.indirectProbes) > maxIndirectProbes || len(nd.probeOrder) > n {
				t.Errorf("seed %d: relay has %d peers, %d indirect probes, %d names in the probe order; want at most %d, %d, %d",
					seed, len(nd.peers), len(nd.indirectProbes), len(nd.probeOrder), n-1, maxIndirectProbes, n)
			}
		}
		if w.largest > MaxDatagramSize {
			t.Errorf("seed %d: largest datagram has %d bytes, want at most %d", seed, w.largest, MaxDatagramSize)
		}
	})
}

// TestDeterministic checks that the same seed produces the same messages.
func TestDeterministic(t *testing.T) {
	run := func() uint64 {
		w := newNetwork(5, 12)
		w.lossRate = 0.1
		w.advance(10 * time.Second)
		w.nodes[3].up = false
		w.advance(10 * time.Second)
		return w.trace
	}
	if a, b := run(), run(); a != b {
		t.Errorf("two runs with the same seed have different message traces: %x and %x", a, b)
	}
}

// TestFailureDetection checks that all relays detect a killed one within seconds: by the refused
// connection if its machine is up, and by its silence if the machine is down too. Meanwhile no live
// relay may be declared dead.
func TestFailureDetection(t *testing.T) {
	for _, tt := range []struct {
		name   string
		silent bool
		p99    time.Duration
	}{{"refuses", false, 3 * time.Second}, {"silent", true, 7 * time.Second}} {
		t.Run(tt.name, func(t *testing.T) {
			var took []time.Duration
			for seed := range uint64(6) {
				w := newNetwork(seed, 50)
				w.lossRate = 0.01
				w.advance(20 * time.Second)
				w.onDead = func(at int, p *Peer) {
					if p.Name != name(7) {
						t.Errorf("seed %d: n%d declared the live relay %s dead", seed, at, p.Name)
					}
				}
				w.nodes[7].up = false
				if tt.silent {
					w.partitioned = func(from, to int) bool { return to == 7 }
				}
				began, seen := w.now, map[int]bool{}
				for len(seen) < 49 && w.now-began < 30*time.Second {
					w.advance(20 * time.Millisecond)
					for i, nd := range w.nodes {
						if p := nd.peers[name(7)]; i != 7 && !seen[i] && p.State >= Dead {
							seen[i] = true
							took = append(took, w.now-began)
						}
					}
				}
				if len(seen) < 49 {
					t.Fatalf("seed %d: %d of 49 relays detected the failure within 30s", seed, len(seen))
				}
			}
			slices.Sort(took)
			p50, p99 := took[len(took)/2], took[len(took)*99/100]
			t.Logf("failure detection time: p50 %v, p99 %v", p50, p99)
			if p99 > tt.p99 {
				t.Errorf("failure detection time p99 = %v, want at most %v", p99, tt.p99)
			}
		})
	}
}

// TestNoFalseDeaths checks that packet loss alone makes relays suspect but not dead. GOSSIP_MINUTES
// sets the simulated minutes.
func TestNoFalseDeaths(t *testing.T) {
	minutes, err := strconv.Atoi(os.Getenv("GOSSIP_MINUTES"))
	if err != nil {
		minutes = 2
	}
	for _, loss := range []float64{0, 0.05, 0.3} {
		w := newNetwork(3, 50)
		w.advance(30 * time.Second)
		w.lossRate, w.sent, w.bytes = loss, 0, 0
		dead := map[string]bool{}
		w.onDead = func(at int, p *Peer) { dead[fmt.Sprintf("%s by %d at %v", p.Name, at, p.Since)] = true }
		w.advance(time.Duration(minutes) * time.Minute)
		t.Logf("loss %.2f: %d live relays declared dead in %d minutes, %.0f bytes/s per relay", loss, len(dead), minutes,
			float64(w.bytes)/50/(float64(minutes)*60))
		if len(dead) > 0 && loss < 0.1 {
			t.Errorf("loss %.2f: live relays were declared dead: %v", loss, dead)
		}
	}
}

// TestBandwidthIndependentOfGroupSize checks that the bytes a relay sends do not grow with the number
// of relays.
func TestBandwidthIndependentOfGroupSize(t *testing.T) {
	rate := map[int]float64{}
	for _, n := range []int{10, 50, 200} {
		w := newNetwork(1, n)
		w.advance(40 * time.Second)
		w.bytes = 0
		w.advance(time.Minute)
		rate[n] = float64(w.bytes) / float64(n) / 60
	}
	t.Logf("bytes/s per relay by group size: %v", rate)
	if rate[200] > 2*rate[10] || rate[50] > 1500 {
		t.Errorf("bytes/s per relay by group size = %v, want at 200 relays at most twice that at 10, and at 50 at most 1500",
			rate)
	}
}

// TestBudgetNotOverspent checks that under partitions, kills and restarts all relays together never use
// more than 4/3 of the shared budget. If most of them are certain to be down, the others must use
// more than their original shares.
func TestBudgetNotOverspent(t *testing.T) {
	eachSeed(t, 16, func(t *testing.T, seed uint64) {
		n := 12
		w := newNetwork(seed, n)
		w.advance(15 * time.Second)
		checkBudget := func() {
			sum := 0.0
			for _, nd := range w.nodes {
				if nd.up && !nd.stopped {
					live, down := nd.Counts()
					sum += 1 / nd.divisor.Update(w.now, live, down)
				}
			}
			if sum > 4.0/3+1e-9 {
				detail := ""
				for _, nd := range w.nodes {
					live, down := nd.Counts()
					detail += fmt.Sprintf(" n%d (up %v): %d live, %d down, divisor %.1f;", nd.at, nd.up, live, down, nd.divisor.current)
				}
				t.Fatalf("seed %d at %v: the relays use %.2f of the budget, want at most 1.33:%s", seed, w.now, sum, detail)
			}
		}
		advanceAndCheck := func(d time.Duration) {
			for end := w.now + d; w.now < end; {
				w.advance(100 * time.Millisecond)
				checkBudget()
			}
		}
		if seed%2 == 1 { // kill many at once, before the partitions and restarts
			for range w.rng.IntN(n - 1) {
				w.nodes[w.rng.IntN(n)].up = false
			}
			advanceAndCheck(time.Duration(w.rng.IntN(15)) * time.Second)
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
				w.partitioned = func(from, to int) bool { return (from < side) != (to < side) }
			case 1:
				w.nodes[i].up = false
			case 2:
				w.partitioned = func(int, int) bool { return false }
			case 3:
				if !w.nodes[i].up {
					w.start(i)
				}
			}
			advanceAndCheck(time.Duration(w.rng.IntN(20)) * time.Second)
		}
	})
	w := newNetwork(99, 12)
	w.advance(15 * time.Second)
	for i := range 8 {
		w.nodes[i].up = false
	}
	for range 400 {
		w.advance(100 * time.Millisecond)
		for _, nd := range w.nodes[8:] {
			live, down := nd.Counts()
			nd.divisor.Update(w.now, live, down)
		}
	}
	live, down := w.nodes[9].Counts()
	if got := w.nodes[9].divisor.Update(w.now, live, down); got > 7.51 {
		t.Errorf("with 4 of 12 relays live and %d certain to be down, the divisor is %.1f, want at most 7.51", down, got)
	}
}

// TestFalseClaims checks that relays that do not exist, which one relay claims by the thousand, are not
// tracked beyond MaxPeers and do not change the budget. A live relay that is repeatedly claimed dead
// must refute that each time.
func TestFalseClaims(t *testing.T) {
	w := newNetwork(2, 5)
	w.advance(15 * time.Second)
	liar, victim := w.nodes[1], w.nodes[3]
	began, worst := w.now, time.Duration(0)
	for n := 0; w.now-began < 20*time.Second; n++ {
		w.advance(100 * time.Millisecond)
		u := victim.self
		u.State, u.Accuser = Dead, "n1"
		claims := []Update{liar.self, u}
		for i := range 20 {
			claims = append(claims, Update{Name: fmt.Sprintf("ghost%d", n*20+i), Addr: addr(9000), State: Gone, Incarnation: math.MaxUint64 / 2})
		}
		for _, nd := range w.nodes {
			if nd != liar {
				w.deliver(nd.at, nd.Receive(w.now, "n1", Message{Kind: Gossip, Updates: claims}))
				if p := nd.peers["n3"]; p != nil && p.State >= Dead {
					worst = max(worst, w.now-p.Since)
				}
				if live, down := nd.Counts(); down > 0 || live > 5 {
					t.Fatalf("Counts with false claims = %d live, %d down; want at most 5 live, none down", live, down)
				}
				if len(nd.peers) > MaxPeers {
					t.Fatalf("%d peers are tracked, want at most %d", len(nd.peers), MaxPeers)
				}
			}
		}
	}
	if worst > 2*time.Second {
		t.Errorf("the live relay n3 was considered dead for %v, want at most 2s", worst)
	}
}

// TestProbeSequenceDiffers guards against an ack for a probe of an earlier process that counts for a probe
// of this one: each process begins its sequence numbers elsewhere.
func TestProbeSequenceDiffers(t *testing.T) {
	self := Update{Name: "n0", Addr: "127.0.0.1:1", Zone: "a", Incarnation: 1}
	first := New(time.Hour, self, nil, rand.New(rand.NewPCG(1, 1)))
	second := New(time.Hour, self, nil, rand.New(rand.NewPCG(1, 2)))
	if first.seq == second.seq {
		t.Errorf("both processes begin after the sequence number %d, want different ones", first.seq)
	}
}

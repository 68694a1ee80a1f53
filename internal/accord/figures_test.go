package accord

import (
	"context"
	"errors"
	"fmt"
	"os"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// TestFigures measures, and judges nothing: ACCORD_FIGURES=1 go test -run TestFigures -v ./internal/accord
func TestFigures(t *testing.T) {
	if os.Getenv("ACCORD_FIGURES") == "" {
		t.Skip("measures: ACCORD_FIGURES=1")
	}
	ms := func(h *hdrhistogram.Histogram, p float64) float64 { return float64(h.ValueAtQuantile(p)) / 1000 }
	t.Run("commit", func(t *testing.T) {
		f := newFleet(t, 3, true)
		f.allUp()
		f.up("r0")
		f.propose("r0", "a")
		for _, at := range []string{f.leader(), "r0"} {
			h := hdrhistogram.New(1, 60e6, 3)
			for i := range 500 {
				begin := time.Now()
				f.nodes[at].Propose(context.Background(), fmt.Appendf(nil, "c%d", i))
				h.RecordValue(time.Since(begin).Microseconds())
			}
			t.Logf("commit at %s (r0 follows, v leads): p50 %.2f ms, p99 %.2f ms", at, ms(h, 50), ms(h, 99))
		}
		var wg sync.WaitGroup
		begin := time.Now()
		const workers, each = 64, 100
		for w := range workers {
			wg.Go(func() {
				for i := range each {
					if _, _, err := f.nodes["r0"].Propose(context.Background(), fmt.Appendf(nil, "w%d.%d", w, i)); err != nil {
						t.Error(err)
					}
				}
			})
		}
		wg.Wait()
		t.Logf("%d orders at once: %.0f a second", workers, workers*each/time.Since(begin).Seconds())
	})
	t.Run("leader", func(t *testing.T) {
		f := newFleet(t, 3, true)
		f.allUp()
		f.up("r0")
		h := hdrhistogram.New(1, 60e6, 3)
		for i := range 40 {
			f.propose("r0", fmt.Sprint("a", i))
			l := f.leader()
			begin := time.Now()
			go f.nodes[l].Close()
			for n := 0; ; n++ { // each call is a new command: the operator's patience, not a repetition
				ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
				_, _, err := f.nodes["r0"].Propose(ctx, fmt.Appendf(nil, "b%d.%d", i, n))
				cancel()
				if err == nil {
					break
				}
				if !errors.Is(err, ErrDoubt) && !errors.Is(err, ErrNoMajority) {
					t.Fatal(err)
				}
			}
			h.RecordValue(time.Since(begin).Microseconds())
			f.nodes[l].Close()
			f.up(l)
			f.wait("all vote", func() bool {
				s := f.nodes[l].Status()
				e := f.nodes[l].engine()
				return s.Role == RoleVoter && s.Majority && e != nil && !e.view.Load().unsure
			})
		}
		t.Logf("leader closed until the next commit: p50 %.0f ms, p99 %.0f ms, most %.0f ms", ms(h, 50), ms(h, 99), float64(h.Max())/1000)
	})
	for _, relays := range []int{12, 40} {
		t.Run(fmt.Sprint("bytes", relays), func(t *testing.T) {
			f := newFleet(t, 3, true)
			f.allUp()
			for i := range relays - 3 {
				f.up(fmt.Sprintf("r%d", i))
			}
			f.propose("r0", "a")
			f.same()
			time.Sleep(homeAfter + 2*time.Second)
			for _, load := range []string{"idle", "10 orders of 500 B and a word of 400 B each a second"} {
				time.Sleep(2 * time.Second)
				in, out := map[string]uint64{}, map[string]uint64{}
				for name, n := range f.nodes {
					s := n.Status()
					in[name], out[name] = s.BytesIn, s.BytesOut
				}
				begin := time.Now()
				for i := 0; time.Since(begin) < 6*time.Second; i++ {
					if load != "idle" {
						f.propose("r1", fmt.Sprintf("%0500d", i))
						if i%10 == 0 {
							for _, n := range f.nodes {
								if err := n.Say(make([]byte, 400)); err != nil {
									t.Error(err)
								}
							}
						}
					}
					time.Sleep(100*time.Millisecond - time.Since(begin)%(100*time.Millisecond))
				}
				secs := time.Since(begin).Seconds()
				l := f.leader()
				sum := map[string]float64{}
				count := map[string]float64{}
				for name, n := range f.nodes {
					s := n.Status()
					role := s.Role
					if name == l {
						role = RoleLeader
					}
					sum[role+" in"] += float64(s.BytesIn-in[name]) / secs
					sum[role+" out"] += float64(s.BytesOut-out[name]) / secs
					count[role]++
				}
				for _, role := range []string{RoleLeader, RoleVoter, RoleFollower} {
					t.Logf("%d relays, %s: %s %.0f in, %.0f out B/s", relays, load, role, sum[role+" in"]/count[role], sum[role+" out"]/count[role])
				}
			}
			runtime.GC()
			var m runtime.MemStats
			runtime.ReadMemStats(&m)
			t.Logf("%d relays in this process: heap %.1f MB, %.2f MB each, %d goroutines", relays, float64(m.HeapInuse)/1e6, float64(m.HeapInuse+m.StackInuse)/1e6/float64(relays), runtime.NumGoroutine())
		})
	}
}

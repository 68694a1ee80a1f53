package rollout

import (
	"slices"
	"strings"
	"testing"
	"time"
)

// TestFigures gives the figures of the design page: how long a release of 12 relays and 12 members takes against the best that the budgets allow, and
// Plan with 300 of each. Run with -v.
func TestFigures(t *testing.T) {
	worst := 0.0
	for seed := range uint64(5) {
		sim := newSimulation(seed, 12, 12, 3)
		sim.faultFree = true
		sim.budgets.Relays, sim.budgets.Members = Budget{Total: Limit{Share: 0.25}}, Budget{Total: Limit{Share: 0.25}}
		sim.load = 0
		for _, x := range sim.members {
			x.capacity = 100
			sim.load += 60
		}
		for range 40 {
			sim.tick()
		}
		sim.call(Command{Kind: CommandOpen, Name: "r", Release: &ReleaseSpec{Kind: KindRelay, All: true, Program: "p2"}})
		sim.call(Command{Kind: CommandOpen, Name: "m", Release: &ReleaseSpec{Kind: KindMember, All: true, Program: "b2"}})
		from := sim.now
		out := map[string]int64{} // ms that things were really out, not until they were seen to be back
		for !sim.state.record.Releases[0].ended() || !sim.state.record.Releases[1].ended() {
			sim.tick()
			for key, stillOut := range sim.out {
				if kind, _, _ := strings.Cut(key, " "); stillOut() {
					out[kind] += 100
				}
			}
		}
		bestMS := max(out[string(KindRelay)], out[string(KindMember)]) / 3 // a quarter of 12 at a time
		ratio := float64(sim.now-from) / float64(bestMS)
		worst = max(worst, ratio)
		t.Logf("seed %d: %.1f s, best %.1f s, %.2f times", seed, float64(sim.now-from)/1000, float64(bestMS)/1000, ratio)
	}
	if worst > 2 {
		t.Errorf("a release takes %.2f times what the budgets allow", worst)
	}
	sim := newSimulation(1, 300, 300, 3)
	sim.faultFree = true
	for range 40 {
		sim.tick()
	}
	sim.call(Command{Kind: CommandOpen, Name: "r", Release: &ReleaseSpec{Kind: KindRelay, All: true, Program: "p2"}})
	sim.call(Command{Kind: CommandOpen, Name: "m", Release: &ReleaseSpec{Kind: KindMember, All: true, Program: "b2"}})
	var durations []time.Duration
	largest := 0
	for range 100 {
		sim.tick()
		v := sim.view()
		from := time.Now()
		for _, c := range sim.state.Plan(sim.now, v, sim.budgets) {
			largest = max(largest, len(c.Encode()))
		}
		durations = append(durations, time.Since(from))
	}
	slices.Sort(durations)
	t.Logf("Plan with 300 relays and 300 members: median %v, most %v; the largest command %d bytes, the state %d", durations[50], durations[99], largest, len(sim.state.Encode()))
}

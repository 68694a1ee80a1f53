package rollout

import (
	"slices"
	"strings"
	"testing"
	"time"
)

// TestFigures logs figures for the design page (run with -v): the duration of a release of 12 relays and
// 12 members relative to the shortest that the budgets allow, and the time that Plan takes with 300 of
// each. It fails if a release takes more than twice the shortest duration.
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
		// By kind: for how many ms the targets were really out, in all. The time until the leader saw them
		// back is not included.
		out := map[string]int64{}
		for !sim.state.record.Releases[0].ended() || !sim.state.record.Releases[1].ended() {
			sim.tick()
			for key, stillOut := range sim.out {
				if kind, _, _ := strings.Cut(key, " "); stillOut() {
					out[kind] += 100
				}
			}
		}
		// The budgets let 3 of 12, a quarter, out at a time.
		bestMS := max(out[string(KindRelay)], out[string(KindMember)]) / 3
		ratio := float64(sim.now-from) / float64(bestMS)
		worst = max(worst, ratio)
		t.Logf("seed %d: the releases took %.1f s, the shortest possible duration is %.1f s, ratio %.2f",
			seed, float64(sim.now-from)/1000, float64(bestMS)/1000, ratio)
	}
	if worst > 2 {
		t.Errorf("the slowest run took %.2f times the shortest duration that the budgets allow, want at most 2", worst)
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
	t.Logf("Plan with 300 relays and 300 members: median %v, maximum %v; largest command %d bytes, state %d bytes",
		durations[50], durations[99], largest, len(sim.state.Encode()))
}

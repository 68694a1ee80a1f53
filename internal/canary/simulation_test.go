package canary

import (
	"flag"
	"fmt"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"os"
	"runtime"
	"slices"
	"sort"
	"strconv"
	"sync"
	"testing"
)

// defect is a defect of the canary or of relays, with the other settings of a simulation.
type defect struct {
	extraFailureRate    float64 // share of attempts that fail in addition
	slowdown            float64 // factor on set-up and message times; 0 means 1
	earlyDisconnectRate float64 // share of flows that the member closes early, in addition
	zone                string  // the canary's defect shows only at relays of this zone
	relay               string  // the canary's defect shows only at this relay
	faultyRelays        int     // number of relays where three attempts in ten fail, of canary and baseline alike
	uniform             bool    // relays and members are all alike, members never degraded, as a z-test assumes
	repeatedZTest       bool    // a planted defect of the judge: a z-test for a single look is evaluated every second
	large               bool    // 300 relays
	leaderTermSeconds   int     // seconds until the leader changes; 0 for never
	seconds             int     // limit on the simulated time; 0 for 80,000
}

// simulation is a fleet in virtual time, with little traffic, different relays and members, members that
// start warming up or are degraded for seconds, seconds in which all attempts fail more often, lost and
// repeated reports, and relays that restart with an older record.
type simulation struct {
	defect
	rng             *rand.Rand
	now             int64
	state           *State
	judge           *Judge
	log             [][]Weight // the weights at each index of the record, from index 1
	logAt           []int64
	relays          []*simRelay
	baseline        []*simMember
	canary          []*simMember
	fleetwideFactor float64
	zTest           struct{ excess, variance float64 }
	trace           uint64
	last            Verdict
}

type simRelay struct {
	name, zone     string
	rate           float64
	failureRate    float64
	setUp, message float64
	faulty         bool
	collector      *Collector
	resolver       *WeightResolver
	incarnation    uint64
	applied        int
	oldReport      []byte
}

type simMember struct{ failureFactor, slowness, degradedSeconds float64 }

func newSimulation(seed uint64, f defect) *simulation {
	sim := &simulation{defect: f, rng: rand.New(rand.NewPCG(seed, 77)), now: 1000, state: NewState(), fleetwideFactor: 1}
	n := []int{3, 3, 5, 8, 12, 12, 20, 40, 40, 80, 300}[sim.rng.IntN(11)]
	if f.large {
		n = 300
	}
	if f.uniform {
		n = min(n, 5)
	}
	if f.faultyRelays > 0 || f.zone != "" || f.relay != "" {
		n = max(n, 6)
	}
	normal := func(sd float64) float64 { return math.Exp(sd * sim.rng.NormFloat64()) }
	if f.uniform {
		normal = func(float64) float64 { return 1 }
	}
	fails := 0.002 + 0.018*sim.rng.Float64()
	for i := range n {
		p := &simRelay{name: "n" + strconv.Itoa(i), zone: "z" + strconv.Itoa(i%3), rate: 20 * normal(0.5), failureRate: fails * normal(0.7),
			setUp: 20 * normal(0.4), message: 5 * normal(0.4), faulty: i < f.faultyRelays, incarnation: 1, resolver: NewWeightResolver(5000)}
		p.rate = min(p.rate, 100)
		sim.relays = append(sim.relays, p)
	}
	for range max(3, n/2) {
		sim.baseline = append(sim.baseline, &simMember{normal(0.3), normal(0.1), 0})
	}
	for range max(3, n/20) { // the mean of few members may differ from the baseline's by chance
		sim.canary = append(sim.canary, &simMember{normal(0.3), normal(0.1), 0})
	}
	sp := validSpec("r")
	sp.Salt = sim.rng.Uint64() | 1
	if f.uniform {
		sp.Steps = []int{100, 500, 1000} // higher weights give more counts in less time
	}
	sim.apply(Command{Op: OpOpen, Release: "r", Spec: &sp})
	for _, p := range sim.relays {
		p.collector = NewCollector(sp.Salt, p.incarnation)
	}
	sim.changeLeader()
	return sim
}

// changeLeader replaces the judge by one that has only the evidence in the record.
func (sim *simulation) changeLeader() {
	c, _ := sim.state.Canary("r")
	sim.judge = NewJudge(JudgeSettings{Spec: c.Spec, Epoch: c.Epoch, Step: c.Step, Checkpoint: sim.state.Checkpoint("r")})
}

func (sim *simulation) apply(cmd Command) {
	versionBefore := sim.state.Version()
	sim.state.Apply(sim.now, "pilot", cmd.Encode())
	if sim.state.Version() != versionBefore { // a checkpoint does not change the weights
		sim.log, sim.logAt = append(sim.log, sim.state.Weights()), append(sim.logAt, sim.now)
	}
	sim.hashTrace(string(sim.state.Encode()))
}

func (sim *simulation) hashTrace(values ...any) {
	h := fnv.New64a()
	fmt.Fprint(h, sim.trace, values)
	sim.trace = h.Sum64()
}

// step simulates one second: flows, reports, replication of the record, notices and the leader's commands.
func (sim *simulation) step() (stop bool, err error) {
	sim.now += 1000
	if sim.leaderTermSeconds > 0 && sim.now/1000%int64(sim.leaderTermSeconds) == 0 {
		sim.changeLeader()
	}
	sim.fleetwideFactor = math.Max(1, sim.fleetwideFactor*0.6)
	if sim.rng.IntN(150) == 0 {
		sim.fleetwideFactor = 6 // failures at all members, of canary and baseline
	}
	for _, m := range append(slices.Clone(sim.baseline), sim.canary...) {
		m.degradedSeconds--
		if !sim.uniform && sim.rng.IntN(1200) == 0 {
			m.degradedSeconds = 2
		}
	}
	for _, p := range sim.relays {
		if sim.rng.IntN(600) == 0 { // the relay restarts: its counts begin at zero, its record may be older
			p.incarnation++
			p.collector = NewCollector(sim.log[0][0].Salt, p.incarnation)
			p.resolver = NewWeightResolver(5000)
			p.applied = 1 + sim.rng.IntN(max(p.applied, 1))
			p.resolver.ApplyRecord(uint64(p.applied), sim.log[p.applied-1])
		} else if sim.rng.IntN(20) != 0 {
			p.resolver.ConfirmRecord(sim.now, uint64(len(sim.log)))
			if p.applied < len(sim.log) {
				p.applied = len(sim.log)
				p.resolver.ApplyRecord(uint64(p.applied), sim.log[p.applied-1])
			}
		}
		for _, n := range sim.relays[sim.rng.IntN(len(sim.relays))].resolver.Notices() {
			p.resolver.HandleNotice(n)
		}
		perMille := 0
		if ws := p.resolver.EffectiveWeights(sim.now); len(ws) > 0 {
			perMille = ws[0].PerMille
		}
		for k := len(sim.log) - 1; ; k-- { // the weight must be at most the highest one within the staleness bound
			if perMille <= sim.log[k][0].PerMille {
				break
			}
			if k == 0 || sim.logAt[k] < sim.now-6000 {
				return true, fmt.Errorf("relay %s uses %d per mille, above all weights of the record within the staleness bound",
					p.name, perMille)
			}
		}
		sim.offerFlows(p, perMille)
		report := p.collector.AppendReport(nil, 1400)
		for range sim.rng.IntN(20) / 19 * 2 { // sometimes the previous report arrives again, twice
			if p.oldReport != nil {
				c, _ := DecodeCountReport(p.oldReport)
				sim.judge.Observe(sim.now, p.name, p.zone, c)
			}
		}
		if sim.rng.IntN(20) != 0 {
			c, err := DecodeCountReport(report)
			if err != nil {
				return true, err
			}
			sim.judge.Observe(sim.now, p.name, p.zone, c)
			p.oldReport = report
		}
	}
	v := sim.judge.Verdict(sim.now)
	sim.last = v
	sim.hashTrace(math.Float64bits(v.LogEValue), v.Outcome, v.Zones, v.Relays, v.Faulty)
	if z := sim.zTest.excess / math.Sqrt(sim.zTest.variance); sim.repeatedZTest && z > 2.326 {
		v.Outcome = Regressed
	}
	c, _ := sim.state.Canary("r")
	applied := true
	for _, p := range sim.relays {
		applied = applied && p.applied == len(sim.log)
	}
	for _, cmd := range sim.state.Plan(sim.now, v, applied) {
		sim.apply(cmd)
		after, _ := sim.state.Canary("r")
		if after.Epoch != c.Epoch || after.Step != c.Step {
			sim.judge.BeginStep(after.Epoch, after.Step)
			sim.zTest.excess, sim.zTest.variance = 0, 0
		}
		c = after
	}
	return c.Status != Progressing, nil
}

func (sim *simulation) offerFlows(p *simRelay, perMille int) {
	warmingUp := sim.now < 61_000
	for class, share := range []float64{0.7, 0.3} {
		n := int(p.rate*share) + map[bool]int{true: 1}[sim.rng.Float64() < p.rate*share-math.Floor(p.rate*share)]
		var tried, bad [2][2]float64 // by warming up (0 or 1), then by baseline and canary
		for range n {
			toCanary := RoutedToCanary(sim.log[0][0].Salt, sim.rng.Uint64(), perMille)
			var m *simMember
			s := Stratum{Class: uint8(class), Load: 1}
			if toCanary {
				m, s.WarmingUp = sim.canary[sim.rng.IntN(len(sim.canary))], warmingUp
			} else {
				// Some baseline members are warming up too.
				m, s.WarmingUp = sim.baseline[sim.rng.IntN(len(sim.baseline))], sim.rng.IntN(50) == 0
			}
			if sim.rng.IntN(5) == 0 {
				s.Zone = uint8(sim.rng.IntN(3))
			}
			fails, slow, early := p.failureRate*m.failureFactor*sim.fleetwideFactor*float64(1+class), m.slowness, 0.003
			if s.WarmingUp {
				fails, slow = 2*fails, 3*slow
			}
			if toCanary && (sim.zone == "" || sim.zone == p.zone) && (sim.relay == "" || sim.relay == p.name) {
				fails, early = fails+sim.extraFailureRate, early+sim.earlyDisconnectRate
				if sim.slowdown != 0 {
					slow *= sim.slowdown
				}
			}
			if p.faulty {
				fails += 0.3
			}
			if m.degradedSeconds > 0 {
				fails += 0.5
			}
			t := p.collector.Tally(s, toCanary)
			t.Attempts++
			u := sim.rng.Float64()
			tried[boolToInt(s.WarmingUp)][boolToInt(toCanary)]++
			bad[boolToInt(s.WarmingUp)][boolToInt(toCanary)] += float64(boolToInt(u < fails))
			switch {
			case u < fails/3:
				t.Failed++
			case u < fails/2:
				t.Reset++
			case u < fails:
				t.TimedOut++
			default:
				t.SetupTime.Add(p.setUp * slow * math.Exp(0.6*sim.rng.NormFloat64()))
				t.MessageTime.Add(p.message * slow * math.Exp(0.6*sim.rng.NormFloat64()))
				if t.OpenSeconds += 60; sim.rng.Float64() < early {
					t.OpenSeconds -= uint64(sim.rng.IntN(60))
					t.EarlyDisconnects++
				}
			}
		}
		for i, attempts := range tried {
			if n, k, n1 := attempts[0]+attempts[1], bad[i][0]+bad[i][1], attempts[1]; n > 1 {
				sim.zTest.excess += bad[i][1] - k*n1/n
				sim.zTest.variance += k * (n - k) * n1 * attempts[0] / (n * n * (n - 1))
			}
		}
	}
}

// runResult is the result of one simulation.
type runResult struct {
	Canary
	seconds       int
	relays        int
	finalPerMille int // weight before the last second
	faulty        []FaultyRelay
	verdict       Verdict
	trace         uint64
	err           error
	falselyFaulty int
}

func simulate(seed uint64, f defect) runResult {
	sim := newSimulation(seed, f)
	o := runResult{relays: len(sim.relays)}
	if f.seconds == 0 {
		f.seconds = 80_000 // five steps of MaxStepMS each, with a margin
	}
	for range f.seconds {
		before, _ := sim.state.Canary("r")
		o.finalPerMille = before.PerMille
		stop, err := sim.step()
		if o.err = err; stop {
			break
		}
		for _, faulty := range sim.last.Faulty {
			if !slices.Contains(o.faulty, faulty) && !slices.ContainsFunc(o.faulty, func(k FaultyRelay) bool { return k.Relay == faulty.Relay }) {
				o.faulty = append(o.faulty, faulty)
			}
		}
	}
	o.Canary, _ = sim.state.Canary("r")
	o.verdict = sim.last
	o.seconds, o.trace = int(sim.now/1000), sim.trace
	for _, faulty := range o.faulty {
		if !slices.ContainsFunc(sim.relays, func(p *simRelay) bool { return p.name == faulty.Relay && p.faulty }) {
			o.falselyFaulty++
		}
	}
	return o
}

// firstSeed returns the first seed, CANARY_FROM or 0: a change is confirmed with seeds that were not used
// while it was made.
func firstSeed() int {
	n, _ := strconv.Atoi(os.Getenv("CANARY_FROM"))
	return n
}

// simulateSeeds runs many seeds in parallel; the results are in the order of the seeds.
func simulateSeeds(n int, f defect, skip int) []runResult {
	if f.leaderTermSeconds == 0 {
		f.leaderTermSeconds, _ = strconv.Atoi(os.Getenv("CANARY_LEADERS"))
	}
	list := make([]runResult, n)
	var wg sync.WaitGroup
	indexes := make(chan int)
	for range runtime.GOMAXPROCS(0) {
		wg.Go(func() {
			for i := range indexes {
				list[i] = simulate(uint64(firstSeed()+skip+i), f)
			}
		})
	}
	for i := range n {
		indexes <- i
	}
	close(indexes)
	wg.Wait()
	return list
}

func seedCount(short int) int {
	if n, err := strconv.Atoi(os.Getenv("CANARY_SEEDS")); err == nil {
		return n
	}
	return short
}

func logResults(t *testing.T, title string, list []runResult) {
	t.Helper()
	var seconds, weight []int
	status := map[Status]int{}
	faulty := 0
	for i, o := range list {
		if o.err != nil {
			t.Errorf("%s, seed %d: %v", title, i, o.err)
		}
		seconds, weight = append(seconds, o.seconds), append(weight, o.finalPerMille)
		status[o.Status]++
		faulty += o.falselyFaulty
	}
	sort.Ints(seconds)
	sort.Ints(weight)
	t.Logf("%s: %v; seconds p50 %d p90 %d p99 %d max %d; final weight p50 %d p99 %d max %d per mille; %d healthy relays reported as faulty", title, status,
		seconds[len(seconds)/2], seconds[len(seconds)*9/10], seconds[len(seconds)*99/100], seconds[len(seconds)-1], weight[len(weight)/2], weight[len(weight)*99/100], weight[len(weight)-1], faulty)
}

// The fixed seed of rapid makes each run draw the same values. The flag -rapid.seed overrides it.
func init() { flag.Set("rapid.seed", "1") }

func TestHealthyRelease(t *testing.T) {
	var list []runResult
	paused := 0
	for n := seedCount(4); len(list) < n; {
		first := len(list)
		list = append(list, simulateSeeds(min(n-first, 100), defect{}, first)...)
		for i, o := range list[first:] {
			if o.Status != Completed {
				paused++
				t.Logf("seed %d, %d relays: status %q at %d per mille after %d s: outcome %q, %s %v",
					firstSeed()+first+i, o.relays, o.Status, o.finalPerMille, o.seconds, o.Outcome, o.Reason, o.Divergent)
			}
		}
		logResults(t, fmt.Sprintf("healthy releases, %d of %d not completed", paused, len(list)), list)
	}
	if paused*100 > len(list) {
		t.Errorf("%d of %d healthy releases were not completed, want at most 1%%", paused, len(list))
	}
}

func TestDefectiveRelease(t *testing.T) {
	for _, c := range []struct {
		name string
		defect
		want Outcome
	}{
		{"5 points more failures", defect{extraFailureRate: 0.05}, Regressed},
		{"twice as slow", defect{slowdown: 2}, Regressed},
		{"early disconnects", defect{earlyDisconnectRate: 0.1}, Regressed},
		{"5 points more failures in a zone", defect{extraFailureRate: 0.05, zone: "z1"}, Divergent},
		{"twice as slow in a zone", defect{slowdown: 2, zone: "z1"}, Divergent},
		{"a third of attempts fail at a relay", defect{extraFailureRate: 0.33, relay: "n4", zone: "z1"}, Divergent},
		{"5 points more failures, 300 relays", defect{extraFailureRate: 0.05, large: true}, Regressed},
	} {
		t.Run(c.name, func(t *testing.T) {
			n := max(seedCount(12)/6, 2)
			if c.large {
				n = max(n/10, 1)
			}
			list := simulateSeeds(n, c.defect, 0)
			logResults(t, c.name, list)
			missed, lateStops, attributed, undecided := 0, 0, 0, 0
			for i, o := range list {
				switch {
				case o.Status != Completed && o.Outcome == Overdue && o.finalPerMille < 250:
					undecided++ // stopped, as harm was neither shown nor ruled out in time
				case o.Status == Completed || o.verdict.Outcome != Regressed && o.verdict.Outcome != Divergent:
					missed++
					t.Logf("%s, seed %d, %d relays: defect not found, status %q, reason %q",
						c.name, firstSeed()+i, o.relays, o.Status, o.Reason)
				case o.finalPerMille >= 250:
					lateStops++
					t.Logf("%s, seed %d, %d relays: paused late, at %d per mille",
						c.name, firstSeed()+i, o.relays, o.finalPerMille)
				}
				if o.verdict.Outcome == c.want && (c.want == Regressed || slices.Equal(o.verdict.Zones, []string{c.zone}) || slices.Equal(o.verdict.Relays, []string{c.relay})) {
					attributed++
				} else {
					t.Logf("%s, seed %d, %d relays: verdict %q for zones %v, relays %v",
						c.name, firstSeed()+i, o.relays, o.verdict.Outcome, o.verdict.Zones, o.verdict.Relays)
				}
			}
			t.Logf("%s: of %d releases, missed %d, paused at 250 per mille or more %d, overdue %d, attributed correctly %d",
				c.name, n, missed, lateStops, undecided, attributed)
			// At most one release in missedDivisor may be missed or paused late, and one in
			// misattributedDivisor misattributed.
			missedDivisor, misattributedDivisor := 100, 10
			if c.relay != "" {
				missedDivisor, misattributedDivisor = 10, 3 // harm at one relay of many gives little evidence
			}
			if (missed+lateStops)*missedDivisor > n || (n-attributed)*misattributedDivisor > max(n, 10) {
				t.Errorf("%s: of %d releases, missed %d, paused at 250 per mille or more %d, attributed correctly %d; want missed or paused that late at most %d/%d, misattributed at most %d/%d",
					c.name, n, missed, lateStops, attributed, n, missedDivisor, max(n, 10), misattributedDivisor)
			}
		})
	}
}

func TestFaultyRelay(t *testing.T) {
	f := defect{faultyRelays: 1}
	n := seedCount(0) / 4
	if n == 0 {
		n, f.seconds = 3, 200 // enough time to find a faulty relay
	}
	list := simulateSeeds(n, f, 0)
	logResults(t, "a faulty relay", list)
	paused, missed := 0, 0
	for i, o := range list {
		if o.Status == Paused || o.Status == RolledBack {
			paused++
			t.Logf("seed %d, %d relays: status %q, %s %v", i, o.relays, o.Status, o.Reason, o.Divergent)
		}
		if !slices.Contains(o.faulty, FaultyRelay{"n0", Failures}) {
			missed++
		}
	}
	if paused*100 > len(list) || missed > 0 {
		t.Errorf("of %d healthy releases with a faulty relay: %d paused or rolled back, want at most 1%%; faulty relay not found in %d, want 0",
			len(list), paused, missed)
	}
}

// TestRepeatedZTestPausesHealthyReleases checks that the simulation shows the fault of a planted test: a
// z-test for a single look that is evaluated every second pauses too many healthy releases, where the
// e-values pause none.
func TestRepeatedZTestPausesHealthyReleases(t *testing.T) {
	n := max(seedCount(24)/8, 24)
	zTestPauses, eValuePauses := 0, 0
	zTestResults, eValueResults := simulateSeeds(n, defect{uniform: true, seconds: 300, repeatedZTest: true}, 0), simulateSeeds(n, defect{uniform: true, seconds: 300}, 0)
	for i := range n {
		if zTestResults[i].Status == Paused {
			zTestPauses++
		}
		if eValueResults[i].Status == Paused {
			eValuePauses++
		}
	}
	t.Logf("healthy releases paused in 300 s, of %d: %d by a 1%% z-test evaluated every second, %d by e-values",
		n, zTestPauses, eValuePauses)
	if zTestPauses*100 <= n || eValuePauses > 0 {
		t.Errorf("healthy releases paused, of %d: %d by the repeated z-test, want more than 1%%; %d by e-values, want 0",
			n, zTestPauses, eValuePauses)
	}
}

// TestLeaderChanges checks that the same seed gives the same result, and that a new leader continues from
// the checkpoint: the outcome is the same and takes at most three times as long although evidence after
// the last checkpoint is lost. CANARY_LEADERS=20 makes leaders change every 20 s in all simulations.
func TestLeaderChanges(t *testing.T) {
	for _, f := range []defect{{uniform: true}, {extraFailureRate: 0.33, relay: "n4", zone: "z1"}} {
		for seed := range uint64(2) {
			frequentChanges := f
			frequentChanges.leaderTermSeconds = 20
			stable, repeated, changing := simulate(seed, f), simulate(seed, f), simulate(seed, frequentChanges)
			if stable.trace != repeated.trace {
				t.Errorf("seed %d: two simulations have traces %x and %x, want equal ones",
					seed, stable.trace, repeated.trace)
			}
			t.Logf("one leader: status %q after %d s; a new leader every 20 s: status %q after %d s",
				stable.Status, stable.seconds, changing.Status, changing.seconds)
			if changing.Status != stable.Status || changing.seconds > 3*stable.seconds {
				t.Errorf("seed %d: a new leader every 20 s: status %q after %d s, want %q after at most %d s",
					seed, changing.Status, changing.seconds, stable.Status, 3*stable.seconds)
			}
		}
	}
}

// TestCheckpoint checks that a checkpoint restores the evidence, rounded down, that the reports which it
// covers do not count again, and that a truncated checkpoint is ignored.
func TestCheckpoint(t *testing.T) {
	sim := newSimulation(1, defect{extraFailureRate: 0.05})
	for range 60 {
		sim.step()
	}
	sim.now += 1000
	sim.judge.Verdict(sim.now) // adds all reported counts to the evidence
	settings := sim.judge.settings
	settings.Checkpoint = sim.judge.encodeCheckpoint()
	next, withoutSeqs := NewJudge(settings), NewJudge(settings)
	for k := range next.tests {
		if got, want := next.guardEvidence(k), sim.judge.guardEvidence(k); !(got <= want && got >= want-1.0/evidenceResolution) {
			t.Errorf("guardrail %d: evidence after restore = %v, want at most %v and at most 1/%d below that",
				k, got, want, evidenceResolution)
		}
	}
	for _, r := range withoutSeqs.relays {
		r.seq = 0 // planted defect: the judge forgets which reports the evidence covers
	}
	// Each judge receives a report that the checkpoint covers, as if it was delayed since the start of the
	// step, and then the current report.
	for _, j := range []*Judge{next, withoutSeqs} {
		for _, p := range sim.relays {
			current, _ := DecodeCountReport(p.collector.AppendReport(nil, 1400))
			late := current
			late.Seq, late.Strata = 1, slices.Clone(current.Strata)
			for i := range late.Strata {
				late.Strata[i].Baseline, late.Strata[i].Canary = Tally{}, Tally{}
			}
			j.Observe(1, p.name, p.zone, late)
			for _, history := range j.classHistories {
				history.Attempts = minBaselineAttempts
			}
			j.Observe(2, p.name, p.zone, current)
		}
		j.Verdict(5000)
	}
	if next.compared != sim.judge.compared || withoutSeqs.compared <= next.compared {
		t.Errorf("Compared: %d before, %d after restore, %d if covered reports count again; want the first two equal and the third higher",
			sim.judge.compared, next.compared, withoutSeqs.compared)
	}
	for length := range settings.Checkpoint {
		truncated := settings
		if truncated.Checkpoint = settings.Checkpoint[:length]; len(NewJudge(truncated).relays) > 0 {
			t.Errorf("checkpoint truncated to %d of %d bytes was restored, want it ignored",
				length, len(settings.Checkpoint))
		}
	}
}

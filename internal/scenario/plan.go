package scenario

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sort"
	"time"
)

// Plan is what a rehearsal plays, all of it drawn ahead.
type Plan struct {
	Seed             uint64
	MeasureFrom, End time.Duration // what is measured
	Sessions         []Session     // by arrival
	Steps            []Step        // by time
	Cores            []float64     // of each member
}

// Session is one client's wish to be connected for a while.
type Session struct {
	Arrival, Stay       time.Duration
	Class, Tenant, Zone int
	Group, Key          uint64
	Load                float64
	Seed                uint64 // of its waits
}

// Step is one thing done to one relay, member or link, or to discovery.
type Step struct {
	At              time.Duration
	Action, Target  string
	Peer            string // the other end of a link
	Impairment      Impairment
	AnswerDelay     time.Duration
	IdleConnections int
	SignalSeries    bool
	LoseState       bool
	OldState        bool
	Call            string // method and path
	Body            []byte
	Fault           int // its number in the file
}

// Site is what the settings say that a plan is drawn from.
type Site struct {
	ClassWeights []float64 // worth of each
	TenantShares []float64 // of the tenants' arrivals
	Zones        []string
}

// Zone is that of the relay or member with this number.
func (s Site) Zone(i int) string { return s.Zones[i%len(s.Zones)] }

// Draw makes the plan of a file. The same seed draws the same.
func Draw(f *File, s Site, seed uint64) *Plan {
	p := &Plan{Seed: seed, MeasureFrom: Millis(f.MeasureFromMs), End: time.Duration(f.Seconds * float64(time.Second))}
	rng := rand.New(rand.NewPCG(seed, 1))
	for range f.Members.Count {
		p.Cores = append(p.Cores, between(rng, f.Members.Cores))
	}
	stay := Millis(f.Clients.MeanStayMs)
	one := func(at time.Duration) {
		p.Sessions = append(p.Sessions, Session{Arrival: at, Stay: max(time.Duration(rng.ExpFloat64()*float64(stay)), 100*time.Millisecond),
			Class: rng.IntN(max(len(s.ClassWeights), 1)), Tenant: weightedIndex(rng, s.TenantShares), Zone: rng.IntN(len(s.Zones)),
			Group: uint64(rng.IntN(f.Clients.Groups)) + 1, Key: rng.Uint64(), Load: between(rng, f.Clients.Load), Seed: rng.Uint64()})
	}
	for i := range f.Clients.Initial { // deadline two thirds of the time before
		one(time.Duration(float64(p.MeasureFrom) * 2 / 3 * float64(i) / float64(f.Clients.Initial)))
	}
	if f.Clients.ArrivalsPerSecond > 0 {
		for at := 0.0; ; {
			if at += rng.ExpFloat64() / f.Clients.ArrivalsPerSecond; at >= f.Seconds {
				break
			}
			one(time.Duration(at * float64(time.Second)))
		}
	}
	sort.SliceStable(p.Sessions, func(i, j int) bool { return p.Sessions[i].Arrival < p.Sessions[j].Arrival })
	for i := range f.Faults {
		f.addSteps(p, i, s, rand.New(rand.NewPCG(seed, 1000+uint64(i))))
	}
	sort.SliceStable(p.Steps, func(i, j int) bool { return p.Steps[i].At < p.Steps[j].At })
	return p
}

// addSteps draws whom a fault meets, and when.
func (f *File) addSteps(p *Plan, number int, s Site, rng *rand.Rand) {
	x := f.Faults[number]
	in := func(names []string) (out []string) {
		for _, n := range names {
			i := 0
			if _, err := fmt.Sscanf(n[1:], "%d", &i); x.Zone == "" || err == nil && s.Zone(i) == x.Zone {
				out = append(out, n)
			}
		}
		return out
	}
	var whom [][2]string
	switch v := actions[x.Action]; v.whom {
	case "link":
		for _, from := range in(match(x.From, f.linkEnds("from"))) {
			for _, to := range match(x.To, f.linkEnds("to")) {
				if from != to && (from != "front" || to[0] == 'n') {
					whom = append(whom, [2]string{from, to})
				}
			}
		}
	case "discovery":
		whom = [][2]string{{"discovery"}}
	default:
		if slices.Equal(x.Targets, []string{Leader}) {
			whom = [][2]string{{Leader}}
			break
		}
		for _, n := range in(match(x.Targets, f.TargetNames(v.whom))) {
			whom = append(whom, [2]string{n})
		}
	}
	few := len(whom)
	if x.Fraction > 0 {
		few = int(math.Ceil(x.Fraction * float64(few)))
	}
	if x.Count > 0 {
		few = min(few, x.Count)
	}
	if few < len(whom) {
		rng.Shuffle(len(whom), func(i, j int) { whom[i], whom[j] = whom[j], whom[i] })
		whom = whom[:few]
	}
	if x.Action == "cut" { // datagrams have a link for each way
		for _, w := range whom {
			if back := [2]string{w[1], w[0]}; w[1][0] == 'n' && w[0] != "front" && !slices.Contains(whom, back) {
				whom = append(whom, back)
			}
		}
	}
	for i, w := range whom {
		at := Millis(x.AtMs + float64(i)*x.EveryMs)
		step := Step{At: at, Action: x.Action, Target: w[0], Peer: w[1], Impairment: x.Impairment, AnswerDelay: Millis(x.AnswerDelayMs), IdleConnections: x.IdleConnections, SignalSeries: x.SignalSeries, LoseState: x.LoseState, OldState: x.OldState, Call: x.Call, Body: x.Body, Fault: number}
		p.Steps = append(p.Steps, step)
		if x.ForMs > 0 {
			step.At, step.Action = at+Millis(x.ForMs), actions[x.Action].undo
			p.Steps = append(p.Steps, step)
		}
	}
}

// BrokenLinks lists the links that some step breaks: only these need a forwarder.
func (p *Plan) BrokenLinks() map[[2]string]bool {
	out := map[[2]string]bool{}
	for _, s := range p.Steps {
		if s.Peer != "" {
			out[[2]string{s.Target, s.Peer}] = true
		}
	}
	return out
}

// FaultSpan are the first and the last time at which something is done.
func (p *Plan) FaultSpan() (first, last time.Duration, any bool) {
	if len(p.Steps) == 0 {
		return 0, 0, false
	}
	return p.Steps[0].At, p.Steps[len(p.Steps)-1].At, true
}

func between(rng *rand.Rand, b [2]float64) float64 { return b[0] + (b[1]-b[0])*rng.Float64() }

func weightedIndex(rng *rand.Rand, shares []float64) int {
	sum := 0.0
	for _, s := range shares {
		sum += s
	}
	at := rng.Float64() * sum
	for i, s := range shares {
		if at -= s; at < 0 {
			return i
		}
	}
	return 0
}

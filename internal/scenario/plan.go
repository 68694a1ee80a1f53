package scenario

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sort"
	"time"
)

// Plan holds everything that a run does. It is drawn before the run starts.
type Plan struct {
	Seed             uint64
	MeasureFrom, End time.Duration // bounds of the measured time
	Sessions         []Session     // sorted by arrival
	Steps            []Step        // sorted by time
	Cores            []float64     // of each member
}

// Session is one client: it arrives and wants to be connected for the duration of its stay.
type Session struct {
	Arrival, Stay       time.Duration
	Class, Tenant, Zone int // indexes
	Group, Key          uint64
	Load                float64 // in cores
	Seed                uint64  // of the client's own random choices during the run, such as its waits
}

// Step applies an action to one relay, one member, one link or discovery.
type Step struct {
	At              time.Duration
	Action          Action
	Kind            TargetKind
	Target          string // of a link: the end at which it begins
	Peer            string // of a link: the end to which it leads
	Impairment      Impairment
	AnswerDelay     time.Duration
	IdleConnections int
	SignalSeries    bool
	LoseState       bool
	OldState        bool
	Call            string // method and path
	Body            []byte
	Fault           int // index of the fault in the file
}

// Link names the two ends of a network link. Between relays, which exchange datagrams, each
// direction is a link of its own.
type Link struct{ From, To string }

// Link returns the link that a step applies to.
func (s *Step) Link() Link { return Link{s.Target, s.Peer} }

// Site is the part of the relays' settings that Draw needs to draw a plan.
type Site struct {
	ClassWeights []float64 // priority weight of each class
	TenantShares []float64 // share of each tenant's arrivals
	Zones        []string
}

// Zone returns the zone of the relay or member with index i.
func (s Site) Zone(i int) string { return s.Zones[i%len(s.Zones)] }

// Streams of the random number generators of a plan, which all use the plan's seed. Fault number i
// has the stream faultStream+i.
const (
	planStream  = 1
	faultStream = 1000
)

// minStay is the shortest stay of a client.
const minStay = 100 * time.Millisecond

// Draw draws a plan for a scenario file at random. The same seed gives the same plan.
func Draw(f *File, s Site, seed uint64) *Plan {
	p := &Plan{Seed: seed, MeasureFrom: Millis(f.MeasureFromMs), End: time.Duration(f.Seconds * float64(time.Second))}
	rng := rand.New(rand.NewPCG(seed, planStream))
	for range f.Members.Count {
		p.Cores = append(p.Cores, between(rng, f.Members.Cores))
	}
	p.drawSessions(f, s, rng)
	for i := range f.Faults {
		f.addSteps(p, i, s, rand.New(rand.NewPCG(seed, faultStream+uint64(i))))
	}
	sort.SliceStable(p.Steps, func(i, j int) bool { return p.Steps[i].At < p.Steps[j].At })
	return p
}

// drawSessions draws the sessions of the clients. The initial clients arrive evenly spread over the
// first two thirds of the time before measuring, the others as a Poisson process.
func (p *Plan) drawSessions(f *File, s Site, rng *rand.Rand) {
	meanStay := Millis(f.Clients.MeanStayMs)
	add := func(arrival time.Duration) {
		p.Sessions = append(p.Sessions, Session{Arrival: arrival, Stay: max(time.Duration(rng.ExpFloat64()*float64(meanStay)), minStay),
			Class: rng.IntN(max(len(s.ClassWeights), 1)), Tenant: weightedIndex(rng, s.TenantShares), Zone: rng.IntN(len(s.Zones)),
			Group: uint64(rng.IntN(f.Clients.Groups)) + 1, Key: rng.Uint64(), Load: between(rng, f.Clients.Load), Seed: rng.Uint64()})
	}
	for i := range f.Clients.Initial {
		add(time.Duration(float64(p.MeasureFrom) * 2 / 3 * float64(i) / float64(f.Clients.Initial)))
	}
	if f.Clients.ArrivalsPerSecond > 0 {
		for at := 0.0; ; {
			if at += rng.ExpFloat64() / f.Clients.ArrivalsPerSecond; at >= f.Seconds {
				break
			}
			add(time.Duration(at * float64(time.Second)))
		}
	}
	sort.SliceStable(p.Sessions, func(i, j int) bool { return p.Sessions[i].Arrival < p.Sessions[j].Arrival })
}

// addSteps draws the targets of a fault and adds its steps to a plan, including those that undo it.
func (f *File) addSteps(p *Plan, number int, s Site, rng *rand.Rand) {
	x := f.Faults[number]
	targets := f.faultTargets(&x, s)
	count := len(targets)
	if x.Fraction > 0 {
		count = int(math.Ceil(x.Fraction * float64(count)))
	}
	if x.Count > 0 {
		count = min(count, x.Count)
	}
	if count < len(targets) {
		rng.Shuffle(len(targets), func(i, j int) { targets[i], targets[j] = targets[j], targets[i] })
		targets = targets[:count]
	}
	if x.Action == ActionCut { // between relays, each direction is a link of its own
		for _, l := range targets {
			if back := (Link{l.To, l.From}); isRelayName(l.To) && l.From != frontName && !slices.Contains(targets, back) {
				targets = append(targets, back)
			}
		}
	}
	for i, target := range targets {
		at := Millis(x.AtMs + float64(i)*x.EveryMs)
		step := Step{At: at, Action: x.Action, Kind: actions[x.Action].target, Target: target.From, Peer: target.To, Impairment: x.Impairment,
			AnswerDelay: Millis(x.AnswerDelayMs), IdleConnections: x.IdleConnections, SignalSeries: x.SignalSeries, LoseState: x.LoseState,
			OldState: x.OldState, Call: x.Call, Body: x.Body, Fault: number}
		p.Steps = append(p.Steps, step)
		if x.ForMs > 0 {
			step.At, step.Action = at+Millis(x.ForMs), actions[x.Action].undo
			p.Steps = append(p.Steps, step)
		}
	}
}

// faultTargets returns all targets that a fault may have. A relay, a member, discovery or the leader
// is returned as a Link without To.
func (f *File) faultTargets(x *Fault, s Site) (targets []Link) {
	kind := actions[x.Action].target
	switch {
	case kind == TargetLink:
		for _, from := range inZone(matching(x.From, f.linkSources()), x.Zone, s) {
			for _, to := range matching(x.To, f.linkDestinations()) {
				if from != to && (from != frontName || isRelayName(to)) {
					targets = append(targets, Link{from, to})
				}
			}
		}
	case kind == TargetDiscovery:
		targets = []Link{{From: discoveryName}}
	case slices.Equal(x.Targets, []string{Leader}):
		targets = []Link{{From: Leader}}
	default:
		for _, name := range inZone(matching(x.Targets, f.targetNames(kind)), x.Zone, s) {
			targets = append(targets, Link{From: name})
		}
	}
	return targets
}

// inZone returns those of the given relays or members that are in a zone; all if the zone is empty.
func inZone(names []string, zone string, s Site) (out []string) {
	for _, n := range names {
		i := 0
		if _, err := fmt.Sscanf(n[1:], "%d", &i); zone == "" || err == nil && s.Zone(i) == zone {
			out = append(out, n)
		}
	}
	return out
}

func isRelayName(name string) bool { return name[:1] == relayPrefix }

// IsRelayToRelay reports whether a link joins two relays.
func (l Link) IsRelayToRelay() bool { return isRelayName(l.From) && isRelayName(l.To) }

// BrokenLinks returns the links that at least one step applies to. Only these links need a proxy.
func (p *Plan) BrokenLinks() map[Link]bool {
	out := map[Link]bool{}
	for _, s := range p.Steps {
		if s.Kind == TargetLink {
			out[s.Link()] = true
		}
	}
	return out
}

// FaultSpan returns the times of the first and the last step; ok is false if there are no steps.
func (p *Plan) FaultSpan() (first, last time.Duration, ok bool) {
	if len(p.Steps) == 0 {
		return 0, 0, false
	}
	return p.Steps[0].At, p.Steps[len(p.Steps)-1].At, true
}

// between draws a number uniformly between two bounds.
func between(rng *rand.Rand, bounds [2]float64) float64 {
	return bounds[0] + (bounds[1]-bounds[0])*rng.Float64()
}

// weightedIndex draws an index with a probability proportional to its weight.
func weightedIndex(rng *rand.Rand, weights []float64) int {
	sum := 0.0
	for _, w := range weights {
		sum += w
	}
	at := rng.Float64() * sum
	for i, w := range weights {
		if at -= w; at < 0 {
			return i
		}
	}
	return 0
}

package scenario

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
)

// soakStream separates the random numbers of a soak from those of its plan, which use the same seed.
const soakStream = 7

// DrawSoak draws a complete scenario from a seed: settings, numbers of relays and members, clients,
// and faults of all kinds, two or three of them at about the same time. Config is the path of a
// configuration that provides the other settings. With systemFaults, the faults include steps of the
// wall clock and failing system calls, which require a relay program that was built for them.
func DrawSoak(seed uint64, config string, systemFaults bool) (*File, error) {
	d := &soakDraw{rand.New(rand.NewPCG(seed, soakStream)), systemFaults}
	f := &File{About: fmt.Sprintf("Soak, seed %d", seed), Config: config, Seed: seed, MeasureFromMs: 2000, CheckLeaks: true}
	f.Relays.Count, f.Members.Count = d.between(1, 4), d.between(3, 6)
	f.Seconds = float64(d.between(14, 18))
	f.Members.Cores, f.Members.ConnectionWorkMs, f.Members.DrainMs = [2]float64{1.5, 3}, float64(d.between(1, 8)), float64(d.between(300, 2000))
	f.Members.ReportAgeMs, f.Members.ReportError = float64(d.between(50, 500)), 0.05
	f.Discovery.PropagationDelayMs = float64(d.between(0, 800))
	f.Front.PingMs, f.Front.FailureTimeoutMs = 100, float64(d.between(300, 2000))
	f.Clients.Initial, f.Clients.ArrivalsPerSecond = d.between(10, 50), float64(d.between(5, 20))
	f.Clients.MeanStayMs, f.Clients.LineIntervalMs = float64(d.between(2000, 20000)), float64(d.between(50, 400))
	f.Clients.Load, f.Clients.Groups = [2]float64{0.01, 0.03}, d.between(5, 100)
	f.Clients.ReconnectMs, f.Clients.AbandonRate = [2]float64{float64(d.between(1, 50)), float64(d.between(100, 1500))}, 0.15
	// A flow needs two descriptors, and one relay may carry all flows at some time: the descriptor
	// limit must allow for that.
	flows := float64(f.Clients.Initial) + f.Clients.ArrivalsPerSecond*min(f.Clients.MeanStayMs/1000, f.Seconds)
	sockets := 150 + int(3*flows) + d.between(0, 200)
	var err error
	if f.Patch, err = json.Marshal(d.configPatch(f, sockets)); err != nil {
		return nil, err
	}
	// The last window ends early enough for its faults and their consequences to pass within the run.
	windows := d.between(1, 2)
	for w := range windows {
		at := 2500 + float64(w)*(f.Seconds*1000-7500)/float64(windows)
		for range d.between(2, 3) {
			fault := d.fault(f, sockets)
			fault.AtMs = at + float64(d.between(0, 1200))
			f.Faults = append(f.Faults, fault)
		}
	}
	f.applyDefaults()
	return f, f.validate()
}

// soakDraw draws the parts of a soak. The order of the draws must not change: with another order, a
// seed would give another scenario.
type soakDraw struct {
	*rand.Rand
	systemFaults bool
}

func (d *soakDraw) between(low, high int) int { return low + d.IntN(high-low+1) }

func (d *soakDraw) floatBetween(low, high int) float64 { return float64(d.between(low, high)) }

func (d *soakDraw) chance(probability float64) bool { return d.Float64() < probability }

// oneOf draws one of the names and returns it as a list.
func (d *soakDraw) oneOf(names []string) []string { return []string{names[d.IntN(len(names))]} }

// configPatch draws the patch that is merged into the configuration.
func (d *soakDraw) configPatch(f *File, sockets int) map[string]any {
	effects := []string{"read_like", "idempotency_key", "non_idempotent"}
	var classes []map[string]any
	var messageObjectives []int // milliseconds
	for i := range d.between(1, 3) {
		deadline := d.between(600, 5000)
		classes = append(classes, map[string]any{"name": fmt.Sprintf("class-%d", i), "aim-ms": d.between(deadline/8, deadline/3), "deadline-ms": deadline,
			"worth": d.between(1, 5), "effect": effects[d.IntN(len(effects))], "key-scope": "all", "window-ms": d.between(200, deadline)})
		messageObjectives = append(messageObjectives, d.between(50, 250))
	}
	tenants := []map[string]any{}
	for i := range d.between(1, 4) {
		tenants = append(tenants, map[string]any{"name": fmt.Sprintf("tenant-%d", i), "share": 1 / float64(i+1)})
	}
	return map[string]any{"peers": nil, "state": nil, "counts_ms": 0,
		"limits": map[string]any{"cores": 1, "memory_mb": d.between(64, 192), "sockets": sockets},
		"settings": map[string]any{"balancers": f.Relays.Count, "classes": classes, "tenants": tenants,
			"extra": map[string]any{"groups": d.chance(0.5), "message-aim-ms": messageObjectives, "tenant-quota-connections": nil},
			"guarantees": map[string]any{"cold-from": 0.2 + 0.4*d.Float64(), "cold-ms": d.between(2000, 8600), "fall-ms": d.between(700, 3000),
				"overload-factor": 2 + 1.5*d.Float64(), "drain-grace-ms": 250},
			"limits": map[string]any{"max-attempts": d.between(1, 4), "connect-timeout-ms": d.between(150, 400)},
			"zones":  []string{"north", "south"}[:d.between(1, min(2, f.Relays.Count))]}}
}

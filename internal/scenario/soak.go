package scenario

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
)

// DrawSoak draws a whole rehearsal from a seed: settings, sizes, members, and faults of all kinds, two or three of them at a
// time. Config is the configuration whose other settings it goes by. Troubled says that the relay is a test program that
// can be in trouble with its clock and its system calls.
func DrawSoak(seed uint64, config string, troubled bool) (*File, error) {
	d := &soakDraw{rand.New(rand.NewPCG(seed, soakStream)), troubled}
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
	// Two descriptors a flow, for all that may stand at once, at one relay if need be: the page's limits fit their traffic.
	flows := float64(f.Clients.Initial) + f.Clients.ArrivalsPerSecond*min(f.Clients.MeanStayMs/1000, f.Seconds)
	sockets := 150 + int(3*flows) + d.between(0, 200)
	var err error
	if f.Patch, err = json.Marshal(d.change(f, sockets)); err != nil {
		return nil, err
	}
	// The last window leaves the time that its faults and what follows on them take.
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

// soakStream tells a soak's random numbers from those of the plan, which come of the same seed.
const soakStream = 7

// soakDraw draws the parts of a soak.
type soakDraw struct {
	*rand.Rand
	systemFaults bool
}

func (d *soakDraw) between(least, most int) int { return least + d.IntN(most-least+1) }

func (d *soakDraw) chance(part float64) bool { return d.Float64() < part }

// change is what is merged into the configuration.
func (d *soakDraw) change(f *File, sockets int) map[string]any {
	effects := []string{"read_like", "idempotency_key", "non_idempotent"}
	var classes []map[string]any
	var aims []int
	for i := range d.between(1, 3) {
		deadline := d.between(600, 5000)
		classes = append(classes, map[string]any{"name": fmt.Sprintf("class-%d", i), "aim-ms": d.between(deadline/8, deadline/3), "deadline-ms": deadline,
			"worth": d.between(1, 5), "effect": effects[d.IntN(len(effects))], "key-scope": "all", "window-ms": d.between(200, deadline)})
		aims = append(aims, d.between(50, 250))
	}
	tenants := []map[string]any{}
	for i := range d.between(1, 4) {
		tenants = append(tenants, map[string]any{"name": fmt.Sprintf("tenant-%d", i), "share": 1 / float64(i+1)})
	}
	return map[string]any{"peers": nil, "state": nil, "counts_ms": 0,
		"limits": map[string]any{"cores": 1, "memory_mb": d.between(64, 192), "sockets": sockets},
		"settings": map[string]any{"balancers": f.Relays.Count, "classes": classes, "tenants": tenants,
			"extra": map[string]any{"groups": d.chance(0.5), "message-aim-ms": aims, "tenant-quota-connections": nil},
			"guarantees": map[string]any{"cold-from": 0.2 + 0.4*d.Float64(), "cold-ms": d.between(2000, 8600), "fall-ms": d.between(700, 3000),
				"overload-factor": 2 + 1.5*d.Float64(), "drain-grace-ms": 250},
			"limits": map[string]any{"max-attempts": d.between(1, 4), "connect-timeout-ms": d.between(150, 400)},
			"zones":  []string{"north", "south"}[:d.between(1, min(2, f.Relays.Count))]}}
}

// addSteps of a wall clock, in milliseconds.
var soakSteps = []float64{-3_600_000, -2000, 2000, 3_600_000}

// soakCalls is how system calls fail, by the calls' names and errors.
var soakCalls = [][2]string{{"Accept", "ECONNABORTED"}, {"Accept", "ENFILE"}, {"Accept", "ENOBUFS"}, {"Socket", "ENFILE"}, {"Socket", "ENOBUFS"},
	{"Connect", "EADDRNOTAVAIL"}, {"Connect", "ENETUNREACH"}, {"EpollCtl", "ENOMEM"}, {"EpollWait", "EINTR"}, {"Read", "EINTR"}, {"Read", "ENOMEM"},
	{"Write", "ENOBUFS"}, {"Write", "EAGAIN"}}

// keyError draws one.
func (d *soakDraw) fault(f *File, sockets int) Fault {
	one := func(kind string) []string {
		n := f.Relays.Count
		if kind == "s" {
			n = f.Members.Count
		}
		return []string{fmt.Sprintf("%s%d", kind, d.IntN(n))}
	}
	some := func(least, most int) float64 { return float64(d.between(least, most)) }
	kinds := []func() Fault{
		func() Fault {
			return Fault{Action: "term", Targets: []string{"n*"}, Count: d.between(1, f.Relays.Count), EveryMs: some(0, 600), ForMs: some(1500, 3500), SignalSeries: d.chance(0.5)}
		},
		func() Fault { return Fault{Action: "kill", Targets: one("n"), ForMs: some(300, 2000)} },
		func() Fault { return Fault{Action: "pause", Targets: []string{"n*"}, ForMs: 150} },
		func() Fault { return Fault{Action: "silent", Targets: one("s"), ForMs: some(500, 5000)} },
		func() Fault { return Fault{Action: "failing", Targets: one("s"), ForMs: some(500, 4000)} },
		func() Fault { return Fault{Action: "die", Targets: one("s"), ForMs: some(500, 3000)} },
		func() Fault {
			return Fault{Action: "drain", Targets: one("s"), ForMs: f.Members.DrainMs + drainMarginMs + some(0, 1500)}
		},
		func() Fault { return Fault{Action: "replace", Targets: one("s")} },
		func() Fault { return Fault{Action: "down", ForMs: some(500, 5000)} },
		func() Fault { return Fault{Action: "late", ForMs: some(1000, 4000), AnswerDelayMs: some(50, 1500)} },
		func() Fault { return Fault{Action: "old"} },
		func() Fault {
			return Fault{Action: "cut", From: one("n"), To: append(one("s"), one("s")...), ForMs: some(300, 3000)}
		},
		func() Fault {
			return Fault{Action: "cut", From: one("n"), To: []string{"discovery"}, ForMs: some(300, 5000)}
		},
		func() Fault { return Fault{Action: "reset", From: one("n"), To: append(one("s"), "discovery")} },
		func() Fault {
			return Fault{Action: "rough", From: one("n"), To: []string{"s*"}, ForMs: some(1000, 4000), Impairment: Impairment{DelayMs: some(1, 40), JitterMs: some(0, 40)}}
		},
		func() Fault {
			return Fault{Action: "configure", Targets: []string{"n*"}, EveryMs: some(1, 100), Body: json.RawMessage(`{}`)}
		},
		func() Fault {
			return Fault{Action: "crowd", Targets: one("n"), IdleConnections: 2 * sockets, ForMs: some(1000, 3000)}
		},
	}
	if d.systemFaults {
		kinds = append(kinds, func() Fault {
			body, _ := json.Marshal(map[string]any{"step_ms": soakSteps[d.IntN(len(soakSteps))]})
			return Fault{Action: "trouble", Targets: []string{"n*"}, Count: d.between(1, f.Relays.Count), Body: body}
		}, func() Fault {
			var failing []map[string]any
			for range d.between(1, 3) {
				c := soakCalls[d.IntN(len(soakCalls))]
				failing = append(failing, map[string]any{"call": c[0], "errno": c[1], "part": 0.1 + 0.4*d.Float64()})
			}
			failing = append(failing, map[string]any{"call": "Write", "short": true, "part": 0.2}, map[string]any{"call": "Read", "short": true, "part": 0.2})
			body, _ := json.Marshal(map[string]any{"failing": failing})
			return Fault{Action: "trouble", Targets: one("n"), ForMs: some(300, 2500), Body: body}
		})
	}
	return kinds[d.IntN(len(kinds))]()
}

package scenario

import (
	"encoding/json"
	"slices"
)

// clockSteps lists the steps of the wall clock that a soak draws from, in milliseconds.
var clockSteps = []float64{-3_600_000, -2000, 2000, 3_600_000}

// failingCalls lists the failures of system calls that a soak draws from.
var failingCalls = []struct{ call, errno string }{
	{"Accept", "ECONNABORTED"}, {"Accept", "ENFILE"}, {"Accept", "ENOBUFS"}, {"Socket", "ENFILE"}, {"Socket", "ENOBUFS"},
	{"Connect", "EADDRNOTAVAIL"}, {"Connect", "ENETUNREACH"}, {"EpollCtl", "ENOMEM"}, {"EpollWait", "EINTR"}, {"Read", "EINTR"}, {"Read", "ENOMEM"},
	{"Write", "ENOBUFS"}, {"Write", "EAGAIN"},
}

// faultDraw draws the details of one kind of fault.
type faultDraw func() Fault

// fault draws a kind of fault and its details.
func (d *soakDraw) fault(f *File, sockets int) Fault {
	kinds := slices.Concat(d.processFaults(f), d.memberFaults(f), d.discoveryFaults(), d.linkFaults(f), d.relayLoadFaults(f, sockets))
	if d.systemFaults {
		kinds = append(kinds, d.relaySystemFaults(f)...)
	}
	return kinds[d.IntN(len(kinds))]()
}

// allRelays is the pattern that matches the names of all relays.
var allRelays = []string{relayPrefix + "*"}

func (d *soakDraw) processFaults(f *File) []faultDraw {
	return []faultDraw{
		func() Fault {
			return Fault{Action: ActionTerminate, Targets: allRelays, Count: d.between(1, f.Relays.Count), EveryMs: d.floatBetween(0, 600),
				ForMs: d.floatBetween(1500, 3500), SignalSeries: d.chance(0.5)}
		},
		func() Fault {
			return Fault{Action: ActionKill, Targets: d.oneOf(f.relayNames()), ForMs: d.floatBetween(300, 2000)}
		},
		func() Fault { return Fault{Action: ActionPause, Targets: allRelays, ForMs: 150} },
	}
}

func (d *soakDraw) memberFaults(f *File) []faultDraw {
	return []faultDraw{
		func() Fault {
			return Fault{Action: ActionSilence, Targets: d.oneOf(f.memberNames()), ForMs: d.floatBetween(500, 5000)}
		},
		func() Fault {
			return Fault{Action: ActionFail, Targets: d.oneOf(f.memberNames()), ForMs: d.floatBetween(500, 4000)}
		},
		func() Fault {
			return Fault{Action: ActionDie, Targets: d.oneOf(f.memberNames()), ForMs: d.floatBetween(500, 3000)}
		},
		func() Fault {
			return Fault{Action: ActionDrain, Targets: d.oneOf(f.memberNames()), ForMs: f.Members.DrainMs + maxExitAfterMoveMs + d.floatBetween(0, 1500)}
		},
		func() Fault { return Fault{Action: ActionReplace, Targets: d.oneOf(f.memberNames())} },
	}
}

func (d *soakDraw) discoveryFaults() []faultDraw {
	return []faultDraw{
		func() Fault { return Fault{Action: ActionDiscoveryDown, ForMs: d.floatBetween(500, 5000)} },
		func() Fault {
			return Fault{Action: ActionDiscoverySlow, ForMs: d.floatBetween(1000, 4000), AnswerDelayMs: d.floatBetween(50, 1500)}
		},
		func() Fault { return Fault{Action: ActionDiscoveryRestart} },
	}
}

func (d *soakDraw) linkFaults(f *File) []faultDraw {
	return []faultDraw{
		func() Fault {
			return Fault{Action: ActionCut, From: d.oneOf(f.relayNames()), To: append(d.oneOf(f.memberNames()), d.oneOf(f.memberNames())...),
				ForMs: d.floatBetween(300, 3000)}
		},
		func() Fault {
			return Fault{Action: ActionCut, From: d.oneOf(f.relayNames()), To: []string{discoveryName}, ForMs: d.floatBetween(300, 5000)}
		},
		func() Fault {
			return Fault{Action: ActionReset, From: d.oneOf(f.relayNames()), To: append(d.oneOf(f.memberNames()), discoveryName)}
		},
		func() Fault {
			return Fault{Action: ActionImpair, From: d.oneOf(f.relayNames()), To: []string{memberPrefix + "*"}, ForMs: d.floatBetween(1000, 4000),
				Impairment: Impairment{DelayMs: d.floatBetween(1, 40), JitterMs: d.floatBetween(0, 40)}}
		},
	}
}

func (d *soakDraw) relayLoadFaults(f *File, sockets int) []faultDraw {
	return []faultDraw{
		func() Fault {
			return Fault{Action: ActionConfigure, Targets: allRelays, EveryMs: d.floatBetween(1, 100), Body: json.RawMessage(`{}`)}
		},
		func() Fault {
			return Fault{Action: ActionOpenIdle, Targets: d.oneOf(f.relayNames()), IdleConnections: 2 * sockets, ForMs: d.floatBetween(1000, 3000)}
		},
	}
}

func (d *soakDraw) relaySystemFaults(f *File) []faultDraw {
	return []faultDraw{
		func() Fault {
			body, _ := json.Marshal(map[string]any{"step_ms": clockSteps[d.IntN(len(clockSteps))]})
			return Fault{Action: ActionSystemFaults, Targets: allRelays, Count: d.between(1, f.Relays.Count), Body: body}
		},
		func() Fault {
			var failing []map[string]any
			for range d.between(1, 3) {
				c := failingCalls[d.IntN(len(failingCalls))]
				failing = append(failing, map[string]any{"call": c.call, "errno": c.errno, "part": 0.1 + 0.4*d.Float64()})
			}
			failing = append(failing, map[string]any{"call": "Write", "short": true, "part": 0.2}, map[string]any{"call": "Read", "short": true, "part": 0.2})
			body, _ := json.Marshal(map[string]any{"failing": failing})
			return Fault{Action: ActionSystemFaults, Targets: d.oneOf(f.relayNames()), ForMs: d.floatBetween(300, 2500), Body: body}
		},
	}
}

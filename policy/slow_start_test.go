package policy

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"
)

// slowStartFleet simulates relays that place many requests of equal load while one server joins in slow start and the others are nearly
// full. The relays do not communicate. sentAt has the times of the sends to the joining server.
type slowStartFleet struct {
	relays      []*Facade
	set         Settings
	joining     Server
	others      []Server
	placed      map[RequestID]ServerID
	connections map[ServerID]int
	sentAt      []time.Duration
}

// warmCapacity is how many connections a warm server has capacity for.
const warmCapacity = 35

func newSlowStartFleet(seed uint64, relays int, set Settings) *slowStartFleet {
	set.Balancers = relays
	p := &slowStartFleet{set: set, placed: map[RequestID]ServerID{}, connections: map[ServerID]int{}}
	list := fleet(7, 1)
	p.others, p.joining = list[:6], list[6]
	for i := range relays {
		f := NewFacade(t0, set, 1000*seed+uint64(i))
		f.Observe(t0, ServerList{ListFull, p.others})
		p.relays = append(p.relays, f)
	}
	return p
}

// capacity is how many connections a server has capacity for now; in slow start it rises linearly, as slowly as the settings allow.
func (p *slowStartFleet) capacity(now time.Duration, id ServerID) float64 {
	if id != p.joining.ID {
		return warmCapacity
	}
	progress := min((now-p.joining.Started).Seconds()/p.set.SlowStartDuration.Seconds(), 1)
	return warmCapacity * (p.set.SlowStartMinCapacity + (1-p.set.SlowStartMinCapacity)*progress)
}

func (p *slowStartFleet) report(now time.Duration, id ServerID) Report {
	n := float64(p.connections[id])
	load := n / p.capacity(now, id)
	return Report{n, load, load, max(load-1, 0)}
}

func (p *slowStartFleet) execute(now time.Duration, f *Facade, actions []Action) {
	for _, action := range slices.Clone(actions) {
		switch action.Kind {
		case ActionSend:
			p.placed[action.ID] = action.Server
			p.connections[action.Server]++
			if action.Server == p.joining.ID {
				p.sentAt = append(p.sentAt, now)
			}
			p.execute(now, f, f.Observe(now, FlowEstablished{action.ID}))
		case ActionProbe:
			p.execute(now, f, f.Observe(now, ProbeResult{action.Server, OK, p.report(now, action.Server)}))
		case ActionMigrate:
			p.connections[p.placed[action.ID]]--
			p.execute(now, f, f.Observe(now, AttemptEnded{ID: action.ID, Server: p.placed[action.ID], Result: Cancelled, Final: true, Report: NoReport}))
		}
	}
}

// run places requests until the end of the slow start. The relays learn of the joining server one after another, within half a second.
func (p *slowStartFleet) run(group func(RequestID) uint64) {
	const every = 12 * ms
	now, joins := t0, t0+3*time.Second
	p.joining.Started = joins
	for id := RequestID(1); now < joins+p.set.SlowStartDuration; id++ {
		now += every
		for i, f := range p.relays {
			if listedAt := joins + time.Duration(i)*500*ms/time.Duration(len(p.relays)); now-every < listedAt && listedAt <= now {
				p.execute(now, f, f.Observe(now, ServerList{ListDelta, []Server{p.joining}}))
			}
			p.execute(now, f, f.Tick(now))
		}
		f := p.relays[int(id*7919)%len(p.relays)]
		p.execute(now, f, f.Pick(now, Request{ID: id, Group: group(id), Load: 1, Deadline: now + 2*time.Second}))
	}
}

// excess is by how much the sends in the worst window of OverloadWindow exceed the allowed N + 2 x sqrt(N) + 2, where N is OverloadFactor
// times the rate that fills the server over its slow start, at its present capacity.
func (p *slowStartFleet) excess() float64 {
	worst := math.Inf(-1)
	for i, from := range p.sentAt {
		n, budget := 0.0, 0.0
		for _, at := range p.sentAt[i:] {
			if at-from < p.set.OverloadWindow {
				n++
			}
		}
		const step = 50 * ms
		for at := from; at < from+p.set.OverloadWindow; at += step {
			budget += p.set.OverloadFactor * p.capacity(at, p.joining.ID) / p.set.SlowStartDuration.Seconds() * step.Seconds()
		}
		worst = max(worst, n-(budget+2*math.Sqrt(budget)+2))
	}
	return worst
}

// TestSlowStartFleetTotal: what twenty to thirty relays together send to a server in slow start stays within what its windows allow, for
// three lengths of the window, with groups, with one group for all, and without groups.
func TestSlowStartFleetTotal(t *testing.T) {
	for _, relays := range []int{20, 25, 30} {
		for _, window := range []time.Duration{time.Second, 1500 * ms, 3 * time.Second} {
			for name, group := range map[string]func(RequestID) uint64{
				"no groups": func(RequestID) uint64 { return 0 },
				"one group": func(RequestID) uint64 { return 77 },
				"groups":    func(id RequestID) uint64 { return 100 + uint64(id*2654435761>>7)%9 },
			} {
				t.Run(fmt.Sprint(relays, window, name), func(t *testing.T) {
					set := settings()
					set.OverloadWindow, set.Groups = window, name != "no groups"
					sent := 0
					for seed := range uint64(5) {
						p := newSlowStartFleet(seed, relays, set)
						p.run(group)
						sent += len(p.sentAt)
						if excess := p.excess(); excess > 0 {
							t.Errorf("seed %d: %.1f too many of %d sent", seed, excess, len(p.sentAt))
						}
					}
					if name != "one group" && sent == 0 { // the first server of that group may be another one
						t.Error("nothing was sent: the simulation shows nothing")
					}
				})
			}
		}
	}
}

// burst has no requests for a part of the slow start, and then, at once, more of them at each relay than it may send.
func (p *slowStartFleet) burst(part float64) {
	now, joins := t0, t0+3*time.Second
	p.joining.Started = joins
	for _, f := range p.relays {
		p.execute(joins, f, f.Observe(joins, ServerList{ListDelta, []Server{p.joining}}))
	}
	for now = joins; now < joins+time.Duration(part*float64(p.set.SlowStartDuration)); now += 100 * ms {
		for _, f := range p.relays {
			p.execute(now, f, f.Tick(now))
		}
	}
	const requests = 1000 // within the shortest window, and enough to fill all servers
	for id := RequestID(1); id <= requests; id++ {
		f := p.relays[int(id)%len(p.relays)]
		now += ms
		p.execute(now, f, f.Pick(now, Request{ID: id, Load: 1, Deadline: now + 2*time.Second}))
	}
}

// TestSlowStartBurst: the budgets that all relays have saved up without requests, used at once, stay within what one window allows.
func TestSlowStartBurst(t *testing.T) {
	for _, relays := range []int{2, 30, 60} {
		for _, part := range []float64{0.3, 0.6, 0.85} {
			t.Run(fmt.Sprintf("%d relays, %.0f%% warm", relays, 100*part), func(t *testing.T) {
				set := settings()
				set.OverloadWindow = 1500 * ms
				sent := 0
				for seed := range uint64(5) {
					p := newSlowStartFleet(seed, relays, set)
					p.burst(part)
					sent += len(p.sentAt)
					if excess := p.excess(); excess > 0 {
						t.Errorf("seed %d: %.1f too many of %d sent", seed, excess, len(p.sentAt))
					}
				}
				if sent == 0 {
					t.Error("nothing was sent: the simulation shows nothing")
				}
			})
		}
	}
}

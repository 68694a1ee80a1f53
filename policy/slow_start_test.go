package policy

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// slowStartFleet has many relays place a burst while one member joins cold and the others are nearly full. Nothing passes
// between relays. It returns when the member in slow start got requests, all of them counted as of mean load.
type slowStartFleet struct {
	relays []*Facade
	set    Settings
	cold   Server
	warm   []Server
	placed map[RequestID]ServerID
	held   map[ServerID]int
	sent   []time.Duration
}

// bears is how many connections a warm member bears in the plays.
const bears = 35

func newSlowStartFleet(seed uint64, relays int, set Settings) *slowStartFleet {
	set.Balancers = relays
	p := &slowStartFleet{set: set, placed: map[RequestID]ServerID{}, held: map[ServerID]int{}}
	list := fleet(7, 1)
	p.warm, p.cold = list[:6], list[6]
	for i := range relays {
		f := NewFacade(t0, set, 1000*seed+uint64(i))
		f.Observe(t0, ServerList{ListFull, p.warm})
		p.relays = append(p.relays, f)
	}
	return p
}

// capacity is how many connections a member bears now: the one in slow start rises evenly, as slowly as the settings let it.
func (p *slowStartFleet) capacity(now time.Duration, id ServerID) float64 {
	if id != p.cold.ID {
		return bears
	}
	risen := min((now-p.cold.Started).Seconds()/p.set.SlowStartDuration.Seconds(), 1)
	return bears * (p.set.SlowStartMinCapacity + (1-p.set.SlowStartMinCapacity)*risen)
}

func (p *slowStartFleet) report(now time.Duration, id ServerID) Report {
	n := float64(p.held[id])
	load := n / p.capacity(now, id)
	return Report{n, load, load, max(load-1, 0)}
}

func (p *slowStartFleet) do(now time.Duration, f *Facade, verdicts []Action) {
	for _, v := range append([]Action(nil), verdicts...) {
		switch v.Kind {
		case ActionSend:
			p.placed[v.ID] = v.Server
			p.held[v.Server]++
			if v.Server == p.cold.ID {
				p.sent = append(p.sent, now)
			}
			p.do(now, f, f.Observe(now, FlowEstablished{v.ID}))
		case ActionProbe:
			p.do(now, f, f.Observe(now, ProbeResult{v.Server, OK, p.report(now, v.Server)}))
		case ActionMigrate:
			p.held[p.placed[v.ID]]--
			p.do(now, f, f.Observe(now, AttemptEnded{ID: v.ID, Server: p.placed[v.ID], Result: Cancelled, Final: true, Report: NoReport}))
		}
	}
}

// play lasts for the warm-up. Relays hear of the new member one after another within half a second.
func (p *slowStartFleet) play(group func(RequestID) uint64) {
	const every = 12 * ms
	now, joins := t0, t0+3*time.Second
	p.cold.Started = joins
	for id := RequestID(1); now < joins+p.set.SlowStartDuration; id++ {
		now += every
		for i, f := range p.relays {
			if heard := joins + time.Duration(i)*500*ms/time.Duration(len(p.relays)); now-every < heard && heard <= now {
				p.do(now, f, f.Observe(now, ServerList{ListDelta, []Server{p.cold}}))
			}
			p.do(now, f, f.Tick(now))
		}
		f := p.relays[int(id*7919)%len(p.relays)]
		p.do(now, f, f.Pick(now, Request{ID: id, Group: group(id), Load: 1, Deadline: now + 2*time.Second}))
	}
}

// over is by how much the sends of the worst window of OverloadWindow pass what it allows, N + 2 x root of N + 2; the budget N
// is the stated multiple of what fills the member over its warm-up, at its present capacity.
func (p *slowStartFleet) over() float64 {
	worst := math.Inf(-1)
	for i, from := range p.sent {
		n, budget := 0.0, 0.0
		for _, at := range p.sent[i:] {
			if at-from < p.set.OverloadWindow {
				n++
			}
		}
		const step = 50 * ms
		for at := from; at < from+p.set.OverloadWindow; at += step {
			budget += p.set.OverloadFactor * p.capacity(at, p.cold.ID) / p.set.SlowStartDuration.Seconds() * step.Seconds()
		}
		worst = max(worst, n-(budget+2*math.Sqrt(budget)+2))
	}
	return worst
}

// TestSlowStartSum: what twenty to thirty relays send to a member in slow start together stays under what its windows allow, on three
// lengths of window, with groups, with one group that all are of, and without.
func TestSlowStartSum(t *testing.T) {
	for _, relays := range []int{20, 25, 30} {
		for _, fallFor := range []time.Duration{time.Second, 1500 * ms, 3 * time.Second} {
			for name, group := range map[string]func(RequestID) uint64{
				"no groups": func(RequestID) uint64 { return 0 },
				"one group": func(RequestID) uint64 { return 77 },
				"groups":    func(id RequestID) uint64 { return 100 + uint64(id*2654435761>>7)%9 },
			} {
				t.Run(fmt.Sprint(relays, fallFor, name), func(t *testing.T) {
					set := settings()
					set.OverloadWindow, set.Groups = fallFor, name != "no groups"
					got := 0
					for seed := range uint64(5) {
						p := newSlowStartFleet(seed, relays, set)
						p.play(group)
						got += len(p.sent)
						if over := p.over(); over > 0 {
							t.Errorf("seed %d: %.1f over of %d sent", seed, over, len(p.sent))
						}
					}
					if name != "one group" && got == 0 { // its home may be another member
						t.Error("nothing was sent: the play shows nothing")
					}
				})
			}
		}
	}
}

// burst is a quiet warm-up up to a part of it, then more requests at each relay than it may send, all at once.
func (p *slowStartFleet) burst(part float64) {
	now, joins := t0, t0+3*time.Second
	p.cold.Started = joins
	for _, f := range p.relays {
		p.do(joins, f, f.Observe(joins, ServerList{ListDelta, []Server{p.cold}}))
	}
	for now = joins; now < joins+time.Duration(part*float64(p.set.SlowStartDuration)); now += 100 * ms {
		for _, f := range p.relays {
			p.do(now, f, f.Tick(now))
		}
	}
	const pressed = 1000 // so many requests come within the shortest window that the plays have, and fill all members
	for id := RequestID(1); id <= pressed; id++ {
		f := p.relays[int(id)%len(p.relays)]
		now += ms
		p.do(now, f, f.Pick(now, Request{ID: id, Load: 1, Deadline: now + 2*time.Second}))
	}
}

// TestSlowStartBurst: what relays have saved up while nobody came stays under what one window allows as all of them use it at once.
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
					sent += len(p.sent)
					if over := p.over(); over > 0 {
						t.Errorf("seed %d: %.1f over of %d sent", seed, over, len(p.sent))
					}
				}
				if sent == 0 {
					t.Error("nothing was sent: the play shows nothing")
				}
			})
		}
	}
}

package policy

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// slowStartFleet simulates relays that place many requests of equal load while one server joins in slow start and the others are nearly
// full. The relays do not communicate. sentAt has the times of the sends to the joining server.
type slowStartFleet struct {
	relays      []*Facade
	set         Settings
	joining     Endpoint
	others      []Endpoint
	placed      map[RequestID]MemberID
	connections map[MemberID]int
	sentAt      []time.Duration
}

// warmCapacity is how many connections a warm server has capacity for.
const warmCapacity = 35

func newSlowStartFleet(seed uint64, relays int, set Settings) *slowStartFleet {
	set.Balancers = relays
	p := &slowStartFleet{set: set, placed: map[RequestID]MemberID{}, connections: map[MemberID]int{}}
	list := fleet(7, 1)
	p.others, p.joining = list[:6], list[6]
	for i := range relays {
		f := NewFacade(t0, set, 1000*seed+uint64(i))
		f.Observe(t0, EndpointList{ListFull, p.others})
		p.relays = append(p.relays, f)
	}
	return p
}

// capacity is how many connections a server has capacity for now; in slow start it rises linearly, as slowly as the settings allow.
func (p *slowStartFleet) capacity(now time.Duration, id MemberID) float64 {
	if id != p.joining.ID {
		return warmCapacity
	}
	progress := min((now-p.joining.Started).Seconds()/p.set.SlowStartDuration.Seconds(), 1)
	return warmCapacity * (p.set.SlowStartMinCapacity + (1-p.set.SlowStartMinCapacity)*progress)
}

func (p *slowStartFleet) report(now time.Duration, id MemberID) Report {
	n := float64(p.connections[id])
	load := n / p.capacity(now, id)
	return Report{n, load, load, max(load-1, 0)}
}

func (p *slowStartFleet) execute(now time.Duration, f *Facade, actions []Action) {
	for _, action := range slices.Clone(actions) {
		switch action.Kind {
		case ActionSend:
			p.placed[action.ID] = action.Member
			p.connections[action.Member]++
			if action.Member == p.joining.ID {
				p.sentAt = append(p.sentAt, now)
			}
			p.execute(now, f, f.Observe(now, FlowEstablished{action.ID}))
		case ActionProbe:
			p.execute(now, f, f.Observe(now, ProbeResult{action.Member, OK, p.report(now, action.Member)}))
		case ActionMigrate:
			p.connections[p.placed[action.ID]]--
			p.execute(now, f, f.Observe(now, AttemptEnded{ID: action.ID, Member: p.placed[action.ID], Result: Cancelled, Final: true, Report: NoReport}))
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
				p.execute(now, f, f.Observe(now, EndpointList{ListDelta, []Endpoint{p.joining}}))
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

// checkExcess simulates five seeds, checks that none sends more than allowed, and returns the number of sends to the joining server.
func checkExcess(t *testing.T, relays int, set Settings, simulate func(*slowStartFleet)) (sent int) {
	t.Helper()
	for seed := range uint64(5) {
		p := newSlowStartFleet(seed, relays, set)
		simulate(p)
		sent += len(p.sentAt)
		if excess := p.excess(); excess > 0 {
			t.Errorf("seed %d: %.1f too many of %d sent", seed, excess, len(p.sentAt))
		}
	}
	return sent
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
					sent := checkExcess(t, relays, set, func(p *slowStartFleet) { p.run(group) })
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
		p.execute(joins, f, f.Observe(joins, EndpointList{ListDelta, []Endpoint{p.joining}}))
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
				if checkExcess(t, relays, set, func(p *slowStartFleet) { p.burst(part) }) == 0 {
					t.Error("nothing was sent: the simulation shows nothing")
				}
			})
		}
	}
}

// TestSlowStartManyProxies: if many proxies have one request each within half a second for a server in slow start, they together send most
// of its capacity, and no more than that and the rate's budget; less would leave the server idle. Without a group all 300 proxies may send,
// also on a site with groups; with a group, as many proxies send as the largest group needs.
func TestSlowStartManyProxies(t *testing.T) {
	const proxies, trials = 300, 20
	set := settings()
	set.Balancers, set.OverloadWindow, set.Groups = proxies, 3*time.Second, true
	for _, group := range []uint64{0, 77} {
		rng := rand.New(rand.NewPCG(3, 4))
		sent, capacity, allowed := 0.0, 0.0, 0.0
		for trial := range uint64(trials) {
			senders := uint64(proxies)
			for p := uint64(0); p < senders; p++ {
				h := newHarness(set, nil)
				h.Balancer = New(set, 1000*trial+p, h.recorder)
				h.UpdateEndpoints(t0, ListDelta, []Endpoint{{ID: 1, State: Ready, Weight: 1, Started: t0}})
				now, m := t0+time.Duration(rng.Int64N(int64(500*ms))), h.members[0]
				if h.slowStartAllows(now, &request{Request: Request{Group: group}, load: 1}, m) {
					sent++
				}
				if p == 0 {
					if group != 0 {
						senders = uint64(groupDemand * fillLow * h.capacityOf(t0+set.SlowStartDuration, m))
					}
					capacity += fillHigh * h.capacityOf(t0, m)
					// What the rate allows by the end of the half second, including the part of a window that is granted at once.
					seconds := set.OverloadWindow.Seconds()*(1/slowStartMargin-1) + 0.5
					allowed += slowStartMargin * set.OverloadFactor * h.capacityOf(t0+500*ms, m) / set.SlowStartDuration.Seconds() * seconds
				}
			}
		}
		if sent < 0.7*capacity || sent > capacity+allowed {
			t.Errorf("group %d: %.1f sent in %d trials; the capacity is %.1f, the rate allows %.1f", group, sent, trials,
				capacity, allowed)
		}
	}
}

// TestSlowStart guards rule 4: what each proxy sends to a server in slow start stays within its part of the fleet's budget.
func TestSlowStart(t *testing.T) {
	set := settings()
	set.Balancers = 50
	list := fleet(6, 1)
	sent := 0.0
	const proxies = 50
	for seed := range uint64(proxies) {
		rec := &recorder{}
		h := &harness{Balancer: New(set, seed, rec), recorder: rec, now: t0, load: map[MemberID]float64{}}
		members := slices.Clone(list)
		members[0].Started = t0 - ms
		h.UpdateEndpoints(t0, ListCached, members)
		for _, m := range list[1:] {
			h.load[m.ID] = 0.7
		}
		for range 10 {
			h.now += 200 * ms
			if h.memberOf(h.submit(Request{Tenant: h.byID[list[0].ID].owner, Load: 1})) == list[0].ID {
				sent++
			}
		}
	}
	// Its capacity is 16 mean loads by default, and it starts at 0.3 of that. The rule allows three times its rate over the two
	// seconds simulated here, and its capacity at their end on top.
	if budget := 3*0.45*16.0/9*2 + fillHigh*16*(0.3+0.7*2.2/9); sent > budget || sent == 0 {
		t.Errorf("fifty proxies sent %v to a server in slow start, budget %v", sent, budget)
	}
}

// TestActiveRelays: if eight of twelve proxies are known to be gone, the other four may send a server in slow start the share of all twelve,
// and still no more than the rule allows; an invalid number changes nothing.
func TestActiveRelays(t *testing.T) {
	set := settings()
	set.Balancers = 12
	sentWith := func(activeRelays float64) (sent float64) {
		list := fleet(6, 1)
		for seed := range uint64(4) {
			h := &harness{recorder: &recorder{}, now: t0, load: map[MemberID]float64{}}
			h.Balancer = New(set, seed, h.recorder)
			members := slices.Clone(list)
			members[0].Started = t0 - ms
			h.UpdateEndpoints(t0, ListCached, members)
			for _, m := range list[1:] {
				h.load[m.ID] = 0.7
			}
			ActiveRelays{Count: activeRelays}.apply(h.Balancer, t0)
			for range 40 {
				h.now += 50 * ms
				if h.memberOf(h.submit(Request{Tenant: h.byID[list[0].ID].owner, Load: 1})) == list[0].ID {
					sent++
				}
			}
		}
		return sent
	}
	all, few, invalid := sentWith(12), sentWith(4), sentWith(math.NaN())
	if budget := 3*0.45*16.0/9*2 + fillHigh*16*(0.3+0.7*2.2/9); few > budget || few < 1.5*all || invalid != all {
		t.Errorf("four proxies sent %v as four of twelve, %v as all that are active, of %v allowed, %v by an invalid number", all, few, budget, invalid)
	}
}

// spendSlowStart accounts for one send in the budget of a server in slow start.
func spendSlowStart(m *member) {
	m.slowStartTokens, m.slowStartSent = m.slowStartTokens-1, m.slowStartSent+1
}

// TestSlowStartBudget: over its slow start a server gets most of what the rule allows at the least capacity that it can have, and never all
// of it. With less it would be idle while others are overloaded.
func TestSlowStartBudget(t *testing.T) {
	set := settings()
	h := newHarness(set, fleet(1, 1))
	m, now, r := h.members[0], t0, &request{load: 1}
	m.Started = t0
	sent, allowed := 0.0, 0.0
	for now < t0+set.SlowStartDuration-100*ms {
		now += 10 * ms
		allowed += set.OverloadFactor * h.capacityOf(now, m) / set.SlowStartDuration.Seconds() * 0.01
		if h.slowStartAllows(now, r, m) {
			spendSlowStart(m)
			sent++
		}
	}
	if sent < 0.6*allowed || sent > 0.85*allowed {
		t.Errorf("sent %v where %v are allowed", sent, allowed)
	}
}

// TestSlowStartFirstWindow: in the first window all proxies together send, on average, most of what the window's budget allows, or of the
// server's capacity if that is more, and no more than both. Otherwise a server would come into use only when warm if each of many proxies
// has few requests.
func TestSlowStartFirstWindow(t *testing.T) {
	for _, proxies := range []int{4, 80} {
		set := settings()
		set.Balancers, set.OverloadWindow = proxies, 3*time.Second
		rng := rand.New(rand.NewPCG(1, 2))
		sent, allowed, capacity := 0.0, 0.0, 0.0
		for trial := range uint64(40) {
			var harnesses []*harness
			for p := range uint64(proxies) {
				h := newHarness(set, nil)
				h.Balancer = New(set, 100*trial+p, h.recorder)
				h.UpdateEndpoints(t0, ListDelta, []Endpoint{{ID: 1, State: Ready, Weight: 1, Started: t0}})
				harnesses = append(harnesses, h)
			}
			for now := t0; now < t0+set.OverloadWindow; now += 10 * ms {
				h := harnesses[rng.IntN(proxies)]
				m := h.members[0]
				if h.slowStartAllows(now, &request{load: 1}, m) {
					spendSlowStart(m)
					sent++
				}
				allowed += set.OverloadFactor * h.capacityOf(now, m) / set.SlowStartDuration.Seconds() * 0.01
			}
			capacity += fillHigh * harnesses[0].capacityOf(t0, harnesses[0].members[0])
		}
		if sent < 0.7*max(allowed, capacity) || sent > allowed+capacity {
			t.Errorf("%d proxies sent %.1f; the first window allows %.1f, and the capacity is %.1f", proxies, sent,
				allowed, capacity)
		}
	}
}

// The events and actions are in policy/api.go, what a Balancer keeps is in policy/state.go. Every decision is
// in this file, in the order in which a connection meets them. What follows the SERES thresholds, and what
// departs from them and when, is in docs/design.md.

package policy

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// The constants are dimensionless; times are derived from the settings.
const (
	// The fill levels at which a server counts as having room, tried in turn, as parts of its capacity.
	// Load swings while a connection lives, so the first keeps a third of a server for that and the
	// last is the k of the paper, just short of where messages begin to wait.
	easy, firm, brim = 0.65, 0.75, 0.85
	// over is the fill above which a report alone has connections moved off; one of over jolt may be a
	// server that stood still for a moment. Up to cheap goes what earns under cheapPart of what others do
	// for its load. docs/design.md, "Shortage", has the measurements.
	over, jolt, cheap, cheapPart = 0.95, 2.0, 0.8, 0.5
	// tolerance is the part of the owners' connections that may find their home full (paper 5.4), and
	// hStep how far one such event moves h, as a part of k: slow enough to average some tens of events.
	tolerance, hStep = 0.1, 0.1
	// hLeast is the part of k always lent: even a busy owner's slice takes a guest while it has room.
	hLeast = 0.2
	// shrink is how many connections a proxy must hold on one server before it believes its own foreign
	// share there as much as its share over all servers.
	shrink = 4.0
	// probeBudget is what probing may cost, as a part of all worth; probeMost and probeTier bound the
	// probes a request may cause in all and for one kind of candidate: choosing among a few gives most
	// of the gain.
	probeBudget, probeMost, probeTier = 0.007, 8.0, 3
	// crossing turns the price of crossing zones into fill: a server across a priced border must be
	// emptier.
	crossing = 4.0
	// failsServer and failsZone are the failures in a row that condemn a server or a zone; one is no
	// verdict.
	failsServer, failsZone = 2, 4
	// backOffMost bounds the doubling of the pause before a condemned server is tried again.
	backOffMost = 5
	// groupSlice is how many servers a group has for its home. What comes next in its order, up to groupReach,
	// pays for the group again and opens only where filled no more than opening, room for many; further on each
	// proxy knows others and would scatter the group. ramp is the part of a server over which fewer of a group
	// go there as it fills. docs/design/fleet.md has the measurements.
	groupSlice, groupReach, opening, ramp = 1, 1 + 2*probeTier, 0.5, 0.35
	// groupRush is how many times the connections of a warm server may want a cold one together: who holds a
	// connection is mostly of a large group, which all want the same server. docs/design/fleet.md.
	groupRush = 4.0
	// retreat is what one failure to set up leaves of the part of its requests that a proxy dares to send, and
	// daringLeast what it always sends, to see whether setting up works again.
	retreat, daringLeast = 0.8, 0.03
	// askTogether is how many proxies may ask for the list within a twentieth of AskWithin.
	askTogether = 6.0
	// learn is the weight of one new report in what is learned from reports.
	learn = 0.1
	// coldPart of the stated multiple is used; the rest is for chance and for proxies that do not keep to it.
	coldPart = 0.75
	// priorReports is how many reports a server's own capacity needs to weigh as much as its kind's.
	priorReports = 8.0
)

// New makes a Balancer. It puts safe values in place of senseless settings.
func New(set Settings, seed uint64, actions Actions) *Balancer {
	set = sane(set)
	b := &Balancer{set: set, act: actions, rng: rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15)),
		byID: map[ServerID]*server{}, requests: map[RequestID]*request{},
		zones:   slices.Repeat([]zone{{fill: easy}}, set.Zones), // until reports say otherwise
		waiters: map[ServerID][]RequestID{}, kinds: map[int]*kind{},
		h: slices.Repeat([]float64{1}, len(set.Tenants)), held: make([]float64, len(set.Tenants)),
		classLoad: make([]float64, len(set.Classes))}
	b.horizon, b.slowest, b.messageAim = set.Classes[0].Aim, set.Classes[0].Deadline, set.Classes[0].MessageAim
	for _, c := range set.Classes {
		b.messageAim = min(b.messageAim, c.MessageAim)
		b.horizon, b.slowest = min(b.horizon, c.Aim), max(b.slowest, c.Deadline)
	}
	b.tokens, b.daring, b.relays = 3*b.probeAllowance(), 1, float64(set.Balancers)
	return b
}

// ---- The server list ----

// Start asks for the server list where it comes only when asked for.
func (b *Balancer) Start() {
	if b.set.Subscribe {
		b.askLater() // not at once: all proxies of a site may start together
	}
	b.lookLater(b.horizon / 2) // soon: connections that were open before may stand on a full server
}

func (b *Balancer) lookLater(within time.Duration) {
	if b.probeAllowance() > 0 {
		b.act.Timer(time.Duration(float64(within)*(0.5+b.rng.Float64())), tokenLook)
	}
}

// look asks the servers that hold own connections, and condemned ones whose pause is over, for reports, also
// while no request comes: what piles up there shows nowhere else.
func (b *Balancer) look(now time.Duration) {
	for _, s := range b.servers {
		if b.tokens >= 1 && s.State == Ready && !s.probing && now-s.reported >= b.lag()/2 &&
			(s.mine > 0 || s.bad && now >= s.until) {
			b.probe(s)
		}
	}
	b.lookLater(b.lag())
}

func (b *Balancer) askLater() {
	// Guards against a polling storm: proxies that fail together come back spread out, later each time and the
	// more there are, or all calls wait too long for good. Yet what is not asked for in time counts as told.
	many := max(b.relays/askTogether, 1)
	span := min(many*math.Exp2(float64(min(b.asked, 2)))/20, 1) * float64(b.set.AskWithin)
	b.act.Timer(time.Duration(span*b.rng.Float64()), tokenWatch)
}

// Members takes what discovery says of the servers.
func (b *Balancer) Members(now time.Duration, how ListKind, list []Server) {
	if how == ListFailed {
		if b.set.Subscribe {
			b.watching = false
			b.asked++
			b.askLater()
		}
		return
	}
	b.asked = 0
	if how != ListDelta {
		named := make(map[ServerID]bool, len(list))
		for _, e := range list {
			named[e.ID] = true
		}
		for _, s := range b.servers {
			if !named[s.ID] {
				s.State = Gone
			}
		}
	}
	for _, e := range list {
		b.listed(now, how, e)
	}
	for _, s := range b.servers {
		if s.State != Ready { // its clients come again before it cuts them off
			b.empty(s)
		}
	}
	b.servers = slices.DeleteFunc(b.servers, func(s *server) bool {
		if s.State == Gone && s.mine == 0 {
			delete(b.byID, s.ID)
			return true
		}
		return false
	})
	slices.SortFunc(b.servers, func(x, y *server) int { return cmp.Compare(x.ID, y.ID) })
	b.slice()
}

func (b *Balancer) listed(now time.Duration, how ListKind, e Server) {
	e = saneServer(e, b.set.Zones)
	s := b.byID[e.ID]
	if s == nil {
		if e.State == Gone {
			return
		}
		if e.Started == 0 && how == ListDelta {
			e.Started = now // it joined while we watched: take it for cold
		}
		s = &server{owner: b.owner(e.ID), report: NoReport}
		b.byID[e.ID] = s
		b.servers = append(b.servers, s)
		b.chill(now, s)
	} else if e.Started > s.Started {
		// A new process: what was known of the old one is void.
		s.health, s.has, s.recent = health{}, false, nil
		b.chill(now, s)
	}
	s.Server, s.arm = e, b.inArm(e.ID)
}

// owner is the tenant whose slice a server belongs to. It depends on the id and the shares alone, so
// that all proxies agree and a change of membership moves only the servers that changed.
func (b *Balancer) owner(id ServerID) int {
	best, owner := -1.0, 0
	for t, tenant := range b.set.Tenants {
		if score := rendezvous(uint64(id), uint64(t), tenant.Share); score > best {
			best, owner = score, t
		}
	}
	return owner
}

// slice rebuilds the home slices. A tenant that owns no server in a zone shares the one it ranks
// highest there.
func (b *Balancer) slice() {
	b.slices = make([][]*server, len(b.set.Tenants))
	for t := range b.set.Tenants {
		stand := make([]*server, b.set.Zones)
		owns := make([]bool, b.set.Zones)
		best := make([]float64, b.set.Zones)
		for _, s := range b.servers {
			if s.State != Ready {
				continue
			}
			if s.owner == t {
				owns[s.Zone] = true
				b.slices[t] = append(b.slices[t], s)
			} else if score := rendezvous(uint64(s.ID), uint64(t), s.Weight); score > best[s.Zone] {
				best[s.Zone], stand[s.Zone] = score, s
			}
		}
		for z, s := range stand {
			if !owns[z] && s != nil {
				b.slices[t] = append(b.slices[t], s)
			}
		}
	}
}

// ---- Arrival ----

// Request takes a connection that a client wants.
func (b *Balancer) Request(now time.Duration, q Request) {
	if b.requests[q.ID] != nil {
		return
	}
	r := b.admit(now, q)
	b.tokens = max(b.tokens, min(b.tokens+b.probeAllowance(), 3*probeMost))
	if left := q.Deadline - b.set.AnswerSlack - now; left > 0 {
		b.act.Timer(left, tokenDeadline|uint64(q.ID))
		b.place(now, r)
	} else {
		b.end(r)
	}
}

// Existing takes a connection that was open through this proxy at its start.
func (b *Balancer) Existing(now time.Duration, q Request, id ServerID) {
	if b.requests[q.ID] != nil {
		return
	}
	r := b.admit(now, q)
	r.tries, r.established, r.done = 1, true, true
	b.tokens += b.probeAllowance() // it was a request once, and has to be looked after all the same
	if s := b.byID[id]; s != nil {
		b.occupy(now, r, s)
		s.recent = nil // its reports know of it
	} else {
		delete(b.requests, q.ID)
	}
}

func (b *Balancer) admit(now time.Duration, q Request) *request {
	q.Class = min(max(q.Class, 0), len(b.set.Classes)-1)
	q.Tenant = min(max(q.Tenant, 0), len(b.set.Tenants)-1)
	r := &request{Request: q, arrived: now, arm: b.isDrawn(q)}
	if q.Load > 0 && !math.IsInf(q.Load, 1) {
		r.load = q.Load
	}
	if load := cmp.Or(r.load, b.classLoad[q.Class]); load > 0 { // a guess teaches nothing
		b.meanLoad = cmp.Or(b.meanLoad, load)
		b.meanLoad += learn / 4 * (load - b.meanLoad)
	}
	b.requests[q.ID] = r
	return r
}

// loadOf is the load of a connection as far as it is known by now: what left a server is worth no more there
// than what came.
func (b *Balancer) loadOf(r *request) float64 {
	return cmp.Or(r.load, b.classLoad[r.Class], b.unit())
}

// unit is the mean load of a connection. Capacities are kept as connections and turned into load by it, since
// what a connection's load is may be known only later than how many fill a server.
func (b *Balancer) unit() float64 { return cmp.Or(b.meanLoad, 1) }

func (b *Balancer) probeAllowance() float64 {
	if !b.set.CanProbe || b.set.Reports == ReportsOff {
		return 0
	}
	return min(probeBudget/max(b.set.PriceProbe, 1e-9), probeMost)
}

// affinity is the key by which connections belong on one server, 0 if none.
func (b *Balancer) affinity(r *request) uint64 {
	if b.set.Groups && r.Group != 0 {
		return r.Group
	}
	if b.set.Pass { // another proxy must find the same server for packets of an open connection
		return r.Key
	}
	return 0
}

// ---- Placement ----

// The tiers of candidates in the order of the mechanism: home first, then servers outside the slice.
const (
	homeHere = iota
	foreignHere
	homeAway
	foreignAway
	tiers
)

// lag is how old what this proxy knows may be: two refreshes of reports about as long as the shortest
// aim, and the way they take.
func (b *Balancer) lag() time.Duration { return 3 * b.horizon }

// fill is the mean fill of the zones.
func (b *Balancer) fill() float64 {
	sum := 0.0
	for _, z := range b.zones {
		sum += z.fill
	}
	return sum / float64(len(b.zones))
}

// place decides where a connection goes, or asks for the reports it needs to decide.
func (b *Balancer) place(now time.Duration, r *request) {
	if r.done || r.open || r.waiting > 0 {
		return
	}
	// Guards against a storm: tries that keep a session store down are not sent (daring), as in TCP.
	if r.asked == 0 && !r.MidFlow && b.rng.Float64() > b.daring {
		b.end(r)
		return
	}
	for ; r.stage <= 2; r.stage++ {
		tiered := b.candidates(now, r)
		if b.ask(now, r, tiered) {
			return
		}
		levels, ordered := []float64{easy, firm, brim}, b.affinity(r) != 0
		if b.overShare(r.Tenant) || r.stage < 2 && !ordered {
			levels = levels[:1] // over its share: only room that nobody else presses for
		} else if ordered {
			levels = levels[2:]
		}
		if b.isCheap(r.Class) {
			levels = []float64{min(levels[len(levels)-1], cheap)}
		}
		reach := r.stage + max(0, r.stage-1)
		for i := range (reach + 1) * len(levels) {
			tier, level := i%(reach+1), levels[i/(reach+1)]
			if b.set.Groups && ordered && tier != homeHere {
				level = min(level, opening) // a server outside the slice pays for the group again
			}
			if s := b.pick(now, r, tier, tiered[tier], level); s != nil {
				b.send(now, r, s, tier == foreignHere || tier == foreignAway)
				return
			}
		}
		if r.stage == 0 {
			b.adapt(r, -hStep*(1-tolerance)) // its home was full
		}
	}
	b.hold(now, r)
}

// candidates sorts the servers that may be sent to into tiers.
func (b *Balancer) candidates(now time.Duration, r *request) (tiered [tiers][]*server) {
	key, grouped := b.affinity(r), b.set.Groups && r.Group != 0
	for _, s := range b.servers {
		if !b.usable(now, r, s) {
			continue
		}
		tier := foreignHere
		if !grouped && s.Zone != b.set.Zone { // a group has one slice: one in each zone would be paid for there
			tier = foreignAway
		}
		if key == 0 && slices.Contains(b.slices[r.Tenant], s) {
			tier -= foreignHere
		}
		tiered[tier] = append(tiered[tier], s)
	}
	// Connections that belong together share a slice of their own instead of their tenants': the first
	// servers in the weighted order of their key. Without this a group is paid for in the slice of
	// every tenant.
	for tier := homeHere; key != 0 && tier < tiers; tier += 2 {
		list := tiered[tier+foreignHere]
		for _, s := range list {
			if s.rank = rendezvous(uint64(s.ID), key, s.Weight); b.set.Groups && s.holds(key) {
				s.rank = math.Inf(1) // the group is paid for there
			}
		}
		slices.SortStableFunc(list, func(x, y *server) int { return cmp.Compare(y.rank, x.rank) })
		if grouped {
			list = list[:min(len(list), groupReach)]
		}
		n := min(len(list), groupSlice)
		tiered[tier], tiered[tier+foreignHere] = list[:n:n], list[n:]
	}
	return tiered
}

// usable says whether a server may be sent this request at all, room aside.
func (b *Balancer) usable(now time.Duration, r *request, s *server) bool {
	return !slices.Contains(r.tried, s.ID) && r.maySendTo(b, now, s) && now >= s.until &&
		now >= b.zones[s.Zone].until
}

// ask probes candidates of the stage whose report is old, within the budget, and says whether to wait
// for them.
func (b *Balancer) ask(now time.Duration, r *request, tiered [tiers][]*server) bool {
	if b.probeAllowance() == 0 || r.MidFlow || r.asked > r.stage {
		return false
	}
	r.asked = r.stage + 1 // once: a server that answers without a report must not be asked for ever
	want := slices.Clone(tiered[min(r.stage, homeAway)])
	if r.stage == 2 {
		want = append(want, tiered[foreignAway]...)
		if near := tiered[foreignHere]; b.set.Groups && r.Group != 0 { // those that were not asked before
			want = slices.Clone(near[min(probeTier, len(near)):])
		}
	}
	if b.affinity(r) == 0 {
		b.rng.Shuffle(len(want), func(i, j int) { want[i], want[j] = want[j], want[i] })
	}
	for _, s := range want[:min(len(want), probeTier)] {
		fresh := s.has && now-s.reported < 2*b.horizon && (s.mine < shrink || s.placed <= s.reported)
		if fresh || b.tokens < 1 && !s.probing {
			continue
		}
		if !s.probing {
			b.probe(s)
		}
		b.waiters[s.ID] = append(b.waiters[s.ID], r.ID)
		r.waiting++
	}
	if r.waiting > 0 {
		b.wait(r, b.set.Classes[r.Class].Aim/8) // a lost probe must not hold the request up
	}
	return r.waiting > 0
}

func (b *Balancer) wait(r *request, d time.Duration) {
	r.round++
	b.act.Timer(d, tokenWait|uint64(r.ID))
}

func (b *Balancer) probe(s *server) {
	s.probing = true
	b.tokens--
	b.act.Probe(s.ID)
}

// pick chooses among the candidates of one tier those with room at the level, weighted by spare
// capacity.
func (b *Balancer) pick(now time.Duration, r *request, tier int, list []*server, level float64) *server {
	guest := tier == foreignHere || tier == foreignAway
	if tier >= homeAway {
		level -= crossing * b.set.PriceCross
	}
	ordered, load := b.affinity(r) != 0, b.loadOf(r)
	var fit []*server
	var weights []float64
	sum := 0.0
	for _, s := range list {
		if r.MidFlow {
			return s // the first in the order of its key most likely holds the connection
		}
		if s.bad || !b.warmEnough(now, r, s) || b.probeAllowance() > 0 && !s.has && b.warmth(now, s) == 1 {
			continue
		}
		k, used := b.capacityOf(now, s), b.usedOf(now, s)
		level := min(level/b.warmth(now, s), max(brim, level)) // the levels are of what it will bear once warm
		spare := k*level - used - load
		if spare <= 0 || guest && used*b.foreignShare(s)+load > k*level*b.lent(s) {
			continue
		}
		if ordered {
			// All proxies know the same order, and few servers are to pay for a group: they fill one after
			// the other. As its home fills fewer go there, or what all send by one late report would herd.
			// Packets of an open connection must be found again by another proxy.
			if b.set.Pass || tier != homeHere || b.rng.Float64()*ramp*k < spare {
				return s
			}
			continue
		}
		fit = append(fit, s)
		// Cubed, so that of two servers the emptier is clearly preferred, yet never surely: all proxies
		// may be reading the same late report.
		weight := math.Pow(spare/k, 3) * k
		weights = append(weights, weight)
		sum += weight
	}
	at := b.rng.Float64() * sum
	for i, s := range fit {
		if at -= weights[i]; at <= 0 || i == len(fit)-1 {
			return s
		}
	}
	return nil
}

// lent is h of a server as a part of k. It is learned in the own zone, whose owners this proxy serves.
func (b *Balancer) lent(s *server) float64 {
	if s.Zone != b.set.Zone {
		return 1
	}
	return b.h[s.owner]
}

// warmth is the part of its capacity that a server surely has.
func (b *Balancer) warmth(now time.Duration, s *server) float64 {
	age := now - s.Started
	if s.Started == 0 || age >= b.set.ColdFor {
		return 1
	}
	// Capacity rises no slower than evenly.
	return min(b.set.ColdFrom+(1-b.set.ColdFrom)*max(age, 0).Seconds()/b.set.ColdFor.Seconds(), 1)
}

// chill begins the budget of a cold server. What coldPart leaves of a window is there at once: a proxy with
// few requests comes late with what it may send, and nothing was sent before the server was listed.
func (b *Balancer) chill(now time.Duration, s *server) {
	early := b.set.FallFor.Seconds() * (1/coldPart - 1)
	s.coldDraw, s.coldSent = b.rng.Float64(), 0
	s.coldTokens, s.coldRefilled = -s.coldDraw, now-time.Duration(early*float64(time.Second))
}

// warmEnough keeps this proxy within its part of what all may send to a cold server together.
func (b *Balancer) warmEnough(now time.Duration, r *request, s *server) bool {
	if b.warmth(now, s) == 1 {
		return true
	}
	k, rivals := b.capacityOf(now, s)/b.unit(), b.relays
	if b.set.Groups && r.Group != 0 { // the other proxies have none that wants it: its budget is not for them
		rivals = min(rivals, max(groupRush*max(b.fill(), easy)*k/b.warmth(now, s), 1))
	}
	// In mean loads a second: filling it over its warm-up, at the part of its capacity that it surely has.
	rate := coldPart * b.set.FallMultiple * k / b.set.ColdFor.Seconds() / rivals
	s.coldTokens = min(s.coldTokens+rate*(now-s.coldRefilled).Seconds(), 1)
	s.coldRefilled = now
	// What it bears now, as far as a window allows, is there from the start, by the same draw: tokens that
	// accrue came 2 to 5 s late. A send pays for both, so all together spend the larger of the two.
	atOnce := min(brim*k/rivals, rate/coldPart*b.set.FallFor.Seconds())
	// A heavy connection could spend the budget of all proxies at one stroke.
	return (s.coldTokens >= 0 || s.coldSent+s.coldDraw <= atOnce) && b.loadOf(r) <= 2*b.unit()
}

// capacityOf is k in units of load: what the server's reports say, shrunk to what its kind's say.
func (b *Balancer) capacityOf(now time.Duration, s *server) float64 {
	prior := s.Weight * 16 // a guess that the first reports replace
	if k := b.kinds[s.Kind]; k != nil && k.capacity > 0 {
		prior = s.Weight * k.inflight / k.capacity
	}
	return b.unit() * b.warmth(now, s) * (priorReports*prior + s.reports*s.capacity) / (priorReports + s.reports)
}

// usedOf is the load on a server: its report, which loses weight with age, and what was placed since.
func (b *Balancer) usedOf(now time.Duration, s *server) float64 {
	fill := b.zones[s.Zone].fill
	x := fill
	if s.has {
		trust := 1 / (1 + max(0, (now-s.since).Seconds())/b.slowest.Seconds())
		// What is piled up keeps every message waiting: it counts as load to be gone by the next report.
		x = trust*(s.report.Load+max(s.report.Backlog, 0)/b.lag().Seconds()) + (1-trust)*fill
	} else if b.set.Reports == ReportsOff {
		// Nothing is reported: this proxy's own connections, taken for a fair sample, are all there is.
		x = fill * (s.mine + 1) / ((b.mine+1)/max(float64(len(b.servers)), 1) + 1)
	}
	used := x * b.capacityOf(now, s)
	for _, p := range s.recent {
		if now-p.at < 2*b.horizon {
			used += p.load
		}
	}
	return max(used, 0)
}

// foreignShare estimates which part of a server's connections is foreign there.
func (b *Balancer) foreignShare(s *server) float64 {
	wide := (b.alien + shrink*0.5) / (b.mine + shrink) // knowing nothing, half
	return (s.alien + shrink*wide) / (s.mine + shrink)
}

// adapt moves h of a tenant's servers: the highest that its owner tolerates (paper 5.4).
func (b *Balancer) adapt(r *request, by float64) {
	b.h[r.Tenant] = min(max(b.h[r.Tenant]+by, hLeast), 1)
}

// overShare says whether a tenant holds more than this proxy's part of its quota, chance allowed for.
func (b *Balancer) overShare(t int) bool {
	part := b.set.Tenants[t].Quota / b.serving()
	return part > 0 && b.held[t] > part+math.Sqrt(part)
}

// serving is how many proxies share the work: all of them, or fewer where the servers' reports show that this
// one holds more than its part, since others are down or drained.
func (b *Balancer) serving() float64 {
	all, told := 0.0, 0.0
	for _, s := range b.servers {
		if s.has && s.report.Connections >= 0 {
			all, told = all+s.report.Connections, told+1
		}
	}
	most := float64(b.set.Balancers)
	if told == 0 || b.mine == 0 {
		return most
	}
	return min(max(all/told*float64(len(b.servers))/b.mine, 1), most)
}

// hold keeps a request that found no room for another look, and refuses it once that would come too
// late.
func (b *Balancer) hold(now time.Duration, r *request) {
	aim := b.set.Classes[r.Class].Aim
	again := time.Duration(float64(aim) / 4 * (0.5 + b.rng.Float64()))
	if b.overShare(r.Tenant) || r.tries >= b.set.MaxAttempts || now+again > min(r.arrived+aim, r.Deadline) ||
		r.ran && b.set.Classes[r.Class].Effect == Unsafe {
		if r.arm { // its arm has no room: limits, drains and cold budgets go before the arm's share
			r.arm, r.stage, r.asked = false, 0, 0
			b.strayed++
			b.place(now, r)
			return
		}
		if s := b.lastResort(now, r); s != nil {
			b.send(now, r, s, true)
			return
		}
		b.end(r)
		return
	}
	r.stage, r.asked, r.tried = 0, 0, r.tried[:0]
	b.wait(r, again)
}

// lastResort doubts the view when nearly all servers look bad: then one of them is tried all the same.
func (b *Balancer) lastResort(now time.Duration, r *request) *server {
	var bad []*server
	good := 0
	for _, s := range b.servers {
		if s.State == Ready && !s.bad && !b.zones[s.Zone].bad {
			good++
		} else if r.maySendTo(b, now, s) && b.warmEnough(now, r, s) && !slices.Contains(r.tried, s.ID) {
			bad = append(bad, s)
		}
	}
	if len(bad) == 0 || good > len(bad)/9 { // under nine in ten: it may well be the servers
		return nil
	}
	return bad[b.rng.IntN(len(bad))]
}

// ---- What may be done for a request: every send and every final answer goes through here ----

// maySendTo says whether the rules allow an attempt on the server now.
func (r *request) maySendTo(b *Balancer, now time.Duration, s *server) bool {
	if r.done || r.open || r.tries >= b.set.MaxAttempts || now >= r.Deadline || s.State != Ready {
		return false
	}
	if !r.ran || s.arm != r.arm {
		return s.arm == r.arm
	}
	switch c := b.set.Classes[r.Class]; c.Effect {
	case Safe:
		return true
	case Keyed:
		return now < r.ranAt+c.Window && (c.Scope == ScopeAll || c.Scope == ScopeZone && s.Zone == r.ranOn.Zone ||
			c.Scope == ScopeCell && s.Cell == r.ranOn.Cell)
	}
	return false
}

func (r *request) mayRefuse(b *Balancer) bool {
	c := b.set.Classes[r.Class]
	return c.Effect == Safe || !r.ran && !r.open || c.Effect == Keyed && c.Scope == ScopeAll
}

func (b *Balancer) send(now time.Duration, r *request, s *server, foreign bool) {
	if !r.maySendTo(b, now, s) {
		return
	}
	left := r.Deadline - now
	// A server that takes an attempt and never answers must leave time for another try.
	timeout := max(b.set.Classes[r.Class].Aim, left*6/10)
	if r.tries+1 >= b.set.MaxAttempts || timeout >= left {
		timeout = 0
	}
	r.tries++
	r.open = true
	r.foreign = foreign
	r.tried = append(r.tried, s.ID)
	if !r.ran {
		r.ranAt, r.ranOn = now, s.Server
	}
	s.coldTokens -= b.loadOf(r) / b.unit()
	s.coldSent += b.loadOf(r) / b.unit()
	b.occupy(now, r, s)
	if !foreign {
		b.adapt(r, hStep*tolerance)
	}
	b.act.Send(r.ID, s.ID, timeout)
}

// end gives the final answer that the rules allow, to a request that has none.
func (b *Balancer) end(r *request) {
	r.done = true
	if r.mayRefuse(b) {
		// By then reports are new, and as many tries as it takes to be let in now have passed; spread, so that
		// who were refused together do not come back together. docs/design.md, "Coming again".
		b.pressed += learn * (1 - b.pressed)
		wait := min(float64(b.horizon)/max(1-b.pressed, learn), float64(b.set.MaxRetryAfter)/1.5)
		b.act.Refuse(r.ID, time.Duration(wait*(0.5+b.rng.Float64())))
	} else {
		b.act.Fail(r.ID)
	}
	if r.open && b.set.CanCancel {
		b.act.Cancel(r.ID, r.tries-1)
	}
	b.forget(r)
}

// forget drops a request once it is answered and none of its attempts is out.
func (b *Balancer) forget(r *request) {
	if r.done && r.at == nil {
		delete(b.requests, r.ID)
	}
}

// ---- Outcomes ----

// First says that a connection stands.
func (b *Balancer) First(now time.Duration, id RequestID) {
	if r := b.requests[id]; r != nil && r.open {
		r.established, r.done = true, true
		b.good(r.at)
		r.at.fulls = 0
		b.daring = min(b.daring+learn, 1)
		b.pressed -= learn * b.pressed
	}
}

// Outcome ends an attempt, before the connection stood or after.
func (b *Balancer) Outcome(now time.Duration, o Outcome) {
	if s := b.byID[o.Server]; s != nil {
		b.take(now, s, o.Report)
	}
	r := b.requests[o.ID]
	if r == nil || o.Try != r.tries-1 || r.at == nil {
		return
	}
	s := r.at
	b.vacate(now, r)
	switch o.Result {
	case ConnectFailed, Reset, Timeout, Error:
		b.fail(now, s)
	case OK:
		b.good(s)
	case Full:
		// Its queue of new connections is what is full, which no report shows: leave it alone for a
		// moment. A second in a row, as from a server that drains unlisted, doubles the moment.
		s.fulls++
		pause := float64(b.horizon) * math.Exp2(float64(min(s.fulls-1, backOffMost)))
		s.until = now + time.Duration(pause*(0.5+b.rng.Float64()))
	}
	r.done = r.done || o.Closed
	r.ran = r.ran || o.Result != Full && o.Result != ConnectFailed && o.Result != Moot
	if r.done {
		b.forget(r)
		return
	}
	if now+b.set.AnswerSlack >= r.Deadline || r.tries >= b.set.MaxAttempts {
		b.end(r)
		return
	}
	r.stage, r.asked = 0, 0
	if o.Result == Timeout || o.Result == Error {
		if b.widely() {
			b.daring = max(b.daring*retreat, daringLeast)
		}
		pause := float64(b.set.Classes[r.Class].Aim) / 4 * math.Exp2(float64(r.tries)) * (0.5 + b.rng.Float64())
		b.wait(r, time.Duration(pause))
		return
	}
	b.place(now, r)
}

// widely says that most servers fail: the failures of one are no reason to send less to all.
func (b *Balancer) widely() bool {
	failing := 0
	for _, s := range b.servers {
		if s.fails > 0 {
			failing++
		}
	}
	return 2*failing > len(b.servers)
}

// Ended says that the client left or that the request is over.
func (b *Balancer) Ended(now time.Duration, id RequestID) {
	if r := b.requests[id]; r != nil {
		r.done = true
		b.forget(r)
	}
}

// Timer is a timer that has fallen due.
func (b *Balancer) Timer(now time.Duration, token uint64) {
	id := RequestID(token &^ tokenMask)
	switch token & tokenMask {
	case tokenWatch:
		if !b.watching {
			b.watching = true
			b.act.Watch()
		}
	case tokenDeadline:
		if r := b.requests[id]; r != nil && !r.done {
			b.end(r)
		}
	case tokenLook:
		b.look(now)
	case tokenWait:
		if r := b.requests[id]; r != nil {
			if r.round--; r.round == 0 {
				r.waiting = 0
				b.place(now, r)
			}
		}
	}
}

// ---- Reports ----

// Probed takes the answer to a probe.
func (b *Balancer) Probed(now time.Duration, id ServerID, result Result, report Report) {
	s := b.byID[id]
	if s != nil {
		s.probing = false
		switch result {
		case OK:
			b.answers(s)
			b.take(now, s, report)
			// A message waits for what is piled up, or where that is not told for what is asked beyond capacity.
			full := report.Backlog > b.messageAim.Seconds()/2 || report.Backlog < 0 && report.Load > over
			if full && now-s.relieved >= b.lag() {
				b.relieve(now, s)
			}
		case Full: // it answers, but too many ask: not a failure
			b.answers(s)
		case Moot: // it was not asked
		default:
			if b.fail(now, s); s.bad && result == Timeout {
				b.empty(s) // it says nothing at all, and so nothing to its clients
			}
		}
	}
	waiters := b.waiters[id]
	delete(b.waiters, id)
	for _, w := range waiters {
		if r := b.requests[w]; r != nil && r.waiting > 0 {
			if r.waiting--; r.waiting == 0 {
				b.place(now, r)
			}
		}
	}
}

// take learns from a report. Any field may be missing.
func (b *Balancer) take(now time.Duration, s *server, p Report) {
	if !(p.Load >= 0) {
		p.Load = p.Util
	}
	if !(p.Load >= 0) || math.IsInf(p.Load, 0) {
		return
	}
	if !s.has || p != s.report {
		s.since = now
	}
	if p != s.told {
		s.told, s.before, s.toldAt = p, s.told.Load, now
	}
	s.recent = slices.DeleteFunc(s.recent, func(x placement) bool { return now-x.at >= 2*b.horizon })
	s.report, s.reported, s.has = p, now, true
	b.zones[s.Zone].fill += learn * (min(p.Load, 2) - b.zones[s.Zone].fill)
	if p.Connections > 0 && p.Load > 0.05 && b.warmth(now, s) == 1 { // an idle server tells nothing of k
		// Connections against load over capacity: pooled over the kind, and for the server itself.
		k := b.kinds[s.Kind]
		if k == nil {
			k = &kind{}
			b.kinds[s.Kind] = k
		}
		k.inflight = k.inflight*(1-learn/4) + p.Connections
		k.capacity = k.capacity*(1-learn/4) + p.Load*s.Weight
		s.capacity = (s.capacity*s.reports + p.Connections/p.Load) / (s.reports + 1)
		s.reports = min(s.reports+1, 4*priorReports)
	}
}

// Load says what load an open connection has now.
func (b *Balancer) Load(now time.Duration, id RequestID, load float64) {
	if r := b.requests[id]; r != nil && load > 0 && !math.IsInf(load, 0) {
		if b.classLoad[r.Class] == 0 {
			b.classLoad[r.Class] = load
		}
		b.classLoad[r.Class] += learn / 4 * (load - b.classLoad[r.Class])
		r.load = load
	}
}

// Slow says how long a message takes at the server of an open connection.
func (b *Balancer) Slow(now time.Duration, id RequestID, message time.Duration) {
	r := b.requests[id]
	if r == nil || r.at == nil {
		return
	}
	s := r.at
	if aim := b.set.Classes[r.Class].MessageAim; message > aim {
		s.report.Load, s.since = max(s.report.Load, 1), now
	} else if message < aim/2 {
		return
	}
	b.relieve(now, s)
}

// relieve moves own connections off a server that is over its capacity: on a full server none is served
// well. Each proxy moves a part of its own load, so that all together move what is too much and no more. What
// earns least for its load goes first: the fewest clients move, and the least worth waits for room.
func (b *Balancer) relieve(now time.Duration, s *server) {
	x := b.usedOf(now, s) / b.capacityOf(now, s)
	if s.told.Load > jolt {
		x = min(x, max(s.before, 1))
	}
	// Guards against emptying it twice for one and the same overload, which a report shows for a while yet.
	if x <= brim || s.relieved > 0 && s.toldAt-b.horizon < s.relieved {
		return
	}
	s.relieved = now
	left := 0.0
	for _, r := range s.conns {
		left += b.loadOf(r)
	}
	part := b.daring * (x - brim) / x
	left *= part * (2 - part) // as two looks would: each proxy looks but now and then
	list := slices.Clone(s.conns)
	slices.SortStableFunc(list, func(p, q *request) int { return cmp.Compare(b.earns(p), b.earns(q)) })
	for _, r := range list {
		if load := b.loadOf(r); b.rng.Float64()*load < left {
			b.move(r)
			left -= load
		}
	}
}

// earns is what a connection earns for its load; what is over a share is worth little.
func (b *Balancer) earns(r *request) float64 {
	if b.overShare(r.Tenant) {
		return 0
	}
	return b.set.Classes[r.Class].Worth / b.loadOf(r)
}

// isCheap says whether a class earns less for its load, once that is known, than a part of what others do.
func (b *Balancer) isCheap(class int) bool {
	best, load := 0.0, b.classLoad[class]
	for i, other := range b.classLoad {
		if other > 0 {
			best = max(best, b.set.Classes[i].Worth/other)
		}
	}
	return load > 0 && b.set.Classes[class].Worth/load < cheapPart*best
}

// move asks the client of an open connection to come again, once.
func (b *Balancer) move(r *request) {
	if r.established && !r.moved {
		r.moved = true
		b.act.Move(r.ID)
	}
}

// empty moves all own connections off a server.
func (b *Balancer) empty(s *server) {
	for _, r := range slices.Clone(s.conns) {
		b.move(r)
	}
}

// ---- Health ----

func (b *Balancer) good(s *server) {
	s.health, b.zones[s.Zone].health = health{}, health{}
}

// answers takes a server back that has answered a probe. Its failures stay counted until a connection stands:
// one that fails connections may well answer probes, and would draw the next ones for being empty.
func (b *Balancer) answers(s *server) {
	s.bad, b.zones[s.Zone].health = false, health{}
}

// fail counts a failure against a server and its zone. A second in a row condemns the server, and a few
// in a row from one zone the zone: then neither is sent to until a pause is over and a probe has been
// answered.
func (b *Balancer) fail(now time.Duration, s *server) {
	if now >= s.until {
		s.fails++
	}
	if s.fails == 1 && b.set.CanProbe && !s.probing {
		b.probe(s) // one failure is no verdict: ask
	}
	b.condemn(now, &s.health, failsServer)
	z := &b.zones[s.Zone]
	z.fails++
	if s.Zone != b.set.Zone {
		b.condemn(now, &z.health, failsZone)
	}
}

func (b *Balancer) condemn(now time.Duration, h *health, most int) {
	if h.fails < most || now < h.until { // what was under way when it was condemned is no further sign
		return
	}
	pause := float64(b.set.ConnectTimeout) * math.Exp2(float64(min(h.fails-most+1, backOffMost)))
	h.bad, h.until = b.set.CanProbe, now+time.Duration(pause*(0.5+b.rng.Float64()))
}

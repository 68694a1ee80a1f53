package rollout

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
)

// simulation is a fleet in virtual time: relays that apply the record late, owners that replace members,
// permit requesters, a leader with a late and partial view, and faults. Its checks look at the real state of
// the fleet and use none of the package's counts.
type simulation struct {
	rng              *rand.Rand
	now              int64
	state            *State
	log              []appliedOrders
	relays           []*simRelay
	members          []*simMember
	requesters       []*requester
	pending          []proposal
	budgets          Budgets
	load             float64
	utilization      float64 // share of each relay's capacity that its flows use
	leaderSince      int64   // when the leader's view began; if in the future, there is no leader until then
	skew             int64   // difference of the leader's clock from now, ms
	staleState       []byte  // earlier state that a second leader still plans from
	staleView        View
	faultFree        bool // no faults from now on
	twoLeaders       bool // the second leader plans each time that the leader does
	hadFaults        bool // the simulation began with faults
	serviceDropUntil int64
	// By targetKey: granted or quarantined targets; the function reports whether one is still out.
	out            map[string]func() bool
	trace          uint64
	violations     []string
	reencode       bool
	peak           int
	service        []ServiceWindow
	history        *[]appliedCommand
	driftUntil     int64
	massDriftAt    int64 // when half of the relays start to drift
	quarantines    int
	grantedPermits int
	checkedUnits   int // units checked at the end
	excusedUnits   int // of those, units that run the wrong program for a reason that the design page lists as open
}

const slowStartShare = 0.3 // share of a member's capacity that is usable during slow start

type appliedOrders struct {
	at         int64
	version    uint64
	leave      map[string]*LeaveOrder
	quarantine map[string]*QuarantineOrder
	excluded   map[string]Exclusion
}

type proposal struct {
	at, sent int64
	by       string
	command  Command
	onResult func(Result)
}

// simRelay is a relay and its host, which restarts the relay whenever its process ends.
type simRelay struct {
	name, zone, program, originalProgram string
	up, paused                           bool
	partitioned                          bool
	startNumber                          uint64
	appliedIndex, reportedIndex          int // indexes into simulation.log
	serveAt, exitAt, restartAt           int64
	unpauseAt, reconnectAt               int64
	lastContact                          int64
	nextProgram                          string // program to start after an ordered exit
	orderedExits                         int
	capacity                             float64
	report                               Relay
	sentAt                               int64
	reportedAt                           int64
	flowsUntil                           map[string]int64 // by excluded member: until when the relay has flows there
	unavailableSince                     int64
	unfitUntil                           int64 // until when the relay drifts; a restart may end the drift earlier
	quarantinedAcrossRestarts            bool  // a later process stays quarantined until the record readmits it
}

// simMember is a member and its owner, who replaces it.
type simMember struct {
	name, zone, program, originalProgram string
	up                                   bool
	startedAt, warmAt, restartAt         int64
	capacity                             float64
	nextProgram                          string
	renamesSuccessor, reportsProgram     bool
	lastOrder                            uint64 // number of the order that the owner followed last
	unavailableSince                     int64
}

type requester struct {
	kind         Kind
	name, holder string
	clockRate    float64 // rate of the requester's clock relative to the simulation's
	permit       uint64
	beginBy      int64 // latest time to begin the permit as the requester's clock measures it, in simulation time
	begun        bool
	takeDownBy   int64
	doneAt       int64
	down         bool
	nextAt       int64
	finished     bool
}

func newSimulation(seed uint64, n, m, zones int) *simulation {
	sim := &simulation{rng: rand.New(rand.NewPCG(seed, 31)), now: 1e6, state: New(), out: map[string]func() bool{}, log: []appliedOrders{{}}}
	sim.budgets = Budgets{Relays: Budget{Total: Limit{Share: 0.34}}, Members: Budget{Total: Limit{Share: 0.34}}, CapacityReserve: 0.05, SilentAfterMS: 1500, FlowHoldMS: 3000,
		ViewMaxAgeMS: 1500, DrainTimeoutMS: 4000, StartTimeoutMS: 4000, WarmupMS: 4000, PermitWindowMS: 3000, ClockDrift: 0.02, DriftHaltMS: 2000, ServiceTolerance: 0.05}
	if sim.rng.IntN(2) == 0 {
		sim.budgets.Relays.PerZone, sim.budgets.Members.PerZone = Limit{Count: 1 + sim.rng.IntN(2)}, Limit{Share: 0.5}
	}
	if sim.rng.IntN(3) == 0 {
		sim.budgets.Relays.Total, sim.budgets.Members.Total = Limit{Count: 1}, Limit{Count: 2}
	}
	totalMemberCapacity, totalRelayCapacity := 0.0, 0.0
	for i := range n {
		sim.relays = append(sim.relays, &simRelay{name: fmt.Sprintf("n%d", i), zone: fmt.Sprintf("z%d", i%zones), program: "p1", originalProgram: "p1", up: true,
			startNumber: 1, sentAt: sim.now - int64(sim.rng.IntN(500)), capacity: 100 + float64(sim.rng.IntN(100)), flowsUntil: map[string]int64{},
			quarantinedAcrossRestarts: sim.rng.IntN(2) == 0})
		totalRelayCapacity += sim.relays[i].capacity
	}
	// The utilization is low enough that the largest relay may go out.
	sim.utilization = min(0.4+0.3*sim.rng.Float64(), (totalRelayCapacity-200)/totalRelayCapacity/1.06)
	for i := range m {
		x := &simMember{name: fmt.Sprintf("m%d", i), zone: fmt.Sprintf("z%d", i%zones), program: "b1", originalProgram: "b1", up: true, startedAt: sim.now - 1e5,
			capacity: 50 + float64(sim.rng.IntN(100)), renamesSuccessor: sim.rng.IntN(2) == 0, reportsProgram: sim.rng.IntN(2) == 0}
		sim.members = append(sim.members, x)
		totalMemberCapacity += x.capacity
	}
	// The load is low enough that the two largest members may be out; otherwise nothing would ever end.
	sim.load = min(totalMemberCapacity*(0.4+0.3*sim.rng.Float64()), (totalMemberCapacity-300)/1.06)
	return sim
}

func (sim *simulation) violation(format string, args ...any) {
	if len(sim.violations) < 5 {
		sim.violations = append(sim.violations, fmt.Sprintf("%d: ", sim.now)+fmt.Sprintf(format, args...))
	}
}

func (sim *simulation) between(low, high int64) int64 { return low + sim.rng.Int64N(high-low+1) }

// propose sends a command. It is applied later or never, and its result may be lost.
func (sim *simulation) propose(by string, c Command, onResult func(Result)) {
	p := proposal{sim.now + sim.between(30, 200), sim.now, by, c, onResult}
	if !sim.faultFree {
		switch sim.rng.IntN(30) {
		case 0:
			return
		case 1:
			p.at += sim.between(500, 3000) // it seems lost, but is applied later
		}
	}
	sim.pending = append(sim.pending, p)
}

func (sim *simulation) commit(p proposal) {
	at := p.sent + sim.skew
	if sim.reencode {
		s, err := Decode(sim.state.Encode())
		if err != nil {
			sim.violation("Decode of the encoded state: %v", err)
			return
		}
		sim.state = s
	}
	before := sim.state.Version()
	body := p.command.Encode()
	encodedResult := sim.state.Apply(at, p.by, body)
	var result Result
	if err := json.Unmarshal(encodedResult, &result); err != nil {
		sim.violation("decode the result of Apply: %v", err)
	}
	h := fnv.New64a()
	fmt.Fprint(h, sim.trace, at, p.by)
	h.Write(body)
	h.Write(encodedResult)
	sim.trace = h.Sum64()
	if result.Error == "" && sim.state.Version() != before {
		sim.logOrders()
		sim.checkCommand(p.command)
	}
	if sim.history != nil {
		*sim.history = append(*sim.history, appliedCommand{p.command, result, p.sent, sim.now})
	}
	if p.onResult != nil && (sim.faultFree || sim.rng.IntN(10) > 0) {
		p.onResult(result)
	}
	if !sim.faultFree && p.onResult == nil && sim.rng.IntN(12) == 0 {
		sim.injectFault() // a fault right after a command of the leader
	}
}

func (sim *simulation) logOrders() {
	a := appliedOrders{at: sim.now, version: sim.state.Version(), leave: map[string]*LeaveOrder{}, quarantine: map[string]*QuarantineOrder{}, excluded: sim.state.Orders("").Exclusions}
	for _, x := range sim.state.Quarantines() {
		a.quarantine[x.Name] = sim.state.Orders(x.Name).Quarantine
	}
	for _, r := range sim.state.record.Releases {
		for _, u := range r.Units {
			if u.Kind == KindRelay && u.Phase == PhaseLeaving {
				a.leave[u.Name] = sim.state.Orders(u.Name).Leave
			}
		}
	}
	sim.log = append(sim.log, a)
}

func (sim *simulation) injectFault() {
	switch sim.rng.IntN(7) {
	case 6:
		sim.relays[sim.rng.IntN(len(sim.relays))].unfitUntil = sim.now + sim.between(1000, 12000)
	case 0:
		h := sim.relays[sim.rng.IntN(len(sim.relays))]
		h.crash(sim, sim.between(500, 4000))
	case 1:
		x := sim.members[sim.rng.IntN(len(sim.members))]
		x.crash(sim.now+sim.between(500, 4000), x.program)
	case 2, 3:
		sim.leaderSince = sim.now + sim.between(200, 3000)
		sim.skew = sim.between(-200, 200)
	case 4:
		h := sim.relays[sim.rng.IntN(len(sim.relays))]
		h.paused, h.unpauseAt = true, sim.now+sim.between(500, 6000)
	case 5:
		h := sim.relays[sim.rng.IntN(len(sim.relays))]
		h.partitioned, h.reconnectAt = true, sim.now+sim.between(500, 6000)
	}
}

func (h *simRelay) crash(sim *simulation, back int64) {
	if h.up {
		h.up, h.paused, h.restartAt, h.nextProgram = false, false, sim.now+back, ""
	}
}

func (x *simMember) crash(back int64, program string) {
	if x.up {
		x.up, x.restartAt, x.nextProgram = false, back, program
	}
}

// serves reports whether clients get through to the relay, as others see it.
func (sim *simulation) serves(h *simRelay) bool {
	return h.up && !h.paused && h.serveAt <= sim.now && h.exitAt == 0 && !h.quarantinedBy(sim.log[h.appliedIndex])
}

// quarantinedBy reports whether the orders quarantine the relay's running process.
func (h *simRelay) quarantinedBy(a appliedOrders) bool {
	c := a.quarantine[h.name]
	return c != nil && (h.quarantinedAcrossRestarts || h.startNumber <= c.StartNumber)
}

// mayStopServing reports whether the relay's running process may leave or be quarantined by orders in the log
// from the last applied one on.
func (sim *simulation) mayStopServing(h *simRelay) bool {
	for _, a := range sim.log[h.appliedIndex:] {
		if l := a.leave[h.name]; l != nil && h.startNumber <= l.StartNumber || h.quarantinedBy(a) {
			return true
		}
	}
	return false
}

func (sim *simulation) memberUnavailable(x *simMember) bool {
	if _, out := sim.log[len(sim.log)-1].excluded[x.name]; out {
		return true
	}
	return !x.up || sim.now < x.warmAt
}

// releasesFlowsAfterMS returns how long a relay may be without contact to the record before it gives up its
// flows at members that may be excluded. This is FlowHoldMS minus the time that a report may take.
func (sim *simulation) releasesFlowsAfterMS() int64 {
	return sim.budgets.FlowHoldMS - sim.budgets.SilentAfterMS
}

func (sim *simulation) hasLeader(at int64) bool { return sim.leaderSince <= at }

// tick advances the simulation by 100 ms.
func (sim *simulation) tick() {
	sim.now += 100
	for _, h := range sim.relays {
		sim.stepRelay(h)
	}
	for _, x := range sim.members {
		sim.stepMember(x)
	}
	for _, a := range sim.requesters {
		sim.stepRequester(a)
	}
	sim.dropReturned() // a target that has been back in service, even briefly, no longer counts as out by plan
	due := sim.pending
	sim.pending = nil
	for _, p := range due {
		switch {
		case p.at > sim.now || !sim.hasLeader(sim.now) && sim.rng.IntN(4) > 0:
			sim.pending = append(sim.pending, p)
		case !sim.hasLeader(sim.now): // the proposal is lost with the leader
		default:
			sim.commit(p)
		}
	}
	if sim.now%1000 == 0 {
		requested, out := 5000.0, 0.0
		for _, h := range sim.relays {
			if !sim.serves(h) {
				out++
			}
		}
		served := requested - float64(sim.rng.IntN(10)) - 20*out/float64(len(sim.relays))
		if sim.now < sim.serviceDropUntil {
			served *= 0.8
		}
		sim.service = append(sim.service, ServiceWindow{sim.now + sim.skew, requested, served})
		sim.service = sim.service[max(0, len(sim.service)-30):]
	}
	if sim.now%200 == 0 && sim.hasLeader(sim.now) {
		sim.runLeader()
	}
	if !sim.faultFree && sim.rng.IntN(400) == 0 {
		sim.injectFault()
	}
	if sim.now >= sim.massDriftAt && sim.massDriftAt > 0 { // half of the fleet drifts at once
		sim.massDriftAt = 0
		for _, i := range sim.rng.Perm(len(sim.relays))[:(len(sim.relays)+1)/2] {
			sim.relays[i].unfitUntil = sim.now + sim.between(3000, 15000)
		}
	}
	if list := sim.state.Quarantines(); len(list) > 0 && !sim.faultFree && sim.rng.IntN(200) == 0 {
		sim.propose("operator", Command{Kind: CommandReadmit, Name: list[sim.rng.IntN(len(list))].Name}, func(Result) {})
	}
}

func (sim *simulation) stepRelay(h *simRelay) {
	if h.paused && sim.now >= h.unpauseAt {
		h.paused = false
	}
	if h.partitioned && sim.now >= h.reconnectAt {
		h.partitioned = false
	}
	if !h.up && sim.now >= h.restartAt {
		h.up, h.paused, h.exitAt, h.startNumber = true, false, 0, h.startNumber+1
		h.serveAt = sim.now + sim.between(300, 1500)
		if h.nextProgram != "" {
			h.program = h.nextProgram
		}
		h.nextProgram = ""
		if !sim.faultFree && sim.rng.IntN(4) == 0 {
			h.appliedIndex = max(0, h.appliedIndex-sim.rng.IntN(5)) // it restarts from an older state directory
		}
		clear(h.flowsUntil)
		if sim.rng.IntN(4) > 0 {
			h.unfitUntil = 0
		}
	}
	if !sim.serves(h) {
		if h.unavailableSince == 0 {
			h.unavailableSince = sim.now
		}
	} else {
		h.unavailableSince = 0
	}
	if !h.up || h.paused {
		return
	}
	if !h.partitioned {
		h.lastContact = sim.now
		for n := 0; n < 3 && h.appliedIndex+1 < len(sim.log) && sim.log[h.appliedIndex+1].at+50 <= sim.now && sim.rng.IntN(3) > 0; n++ {
			h.appliedIndex++
			sim.applyOrders(h)
		}
	}
	if h.exitAt > 0 && sim.now >= h.exitAt { // an ordered exit
		h.up, h.restartAt = false, sim.now+sim.between(100, 500)
		h.orderedExits++
		return
	}
	for m, until := range h.flowsUntil { // flows at excluded members
		if sim.now >= until || sim.now-h.lastContact > sim.releasesFlowsAfterMS() {
			delete(h.flowsUntil, m)
		}
	}
	if !h.partitioned && sim.now-h.sentAt >= 500 && (sim.faultFree || sim.rng.IntN(10) > 0) {
		h.sentAt, h.reportedAt = sim.now, sim.now
		phase := relayServing // reported before others see it serve
		if h.exitAt > 0 {
			phase = "draining"
		} else if h.quarantinedBy(sim.log[h.appliedIndex]) {
			phase = relayQuarantined
		}
		h.report = Relay{Name: h.name, Zone: h.zone, StartNumber: h.startNumber, Phase: phase, Program: h.program, AppliedVersion: sim.log[h.appliedIndex].version,
			Flows: int(h.capacity * sim.utilization), Capacity: h.capacity}
		h.reportedIndex = h.appliedIndex
	}
}

// applyOrders lets a relay follow the orders that it has just applied.
func (sim *simulation) applyOrders(h *simRelay) {
	a := sim.log[h.appliedIndex]
	l := a.leave[h.name]
	switch {
	case l != nil && h.startNumber <= l.StartNumber && h.exitAt == 0:
		h.exitAt, h.nextProgram = sim.now+sim.between(300, 2000), l.Program
	case l == nil && h.exitAt > sim.now+200: // the order was revoked before the relay began to exit
		h.exitAt, h.nextProgram = 0, ""
	}
	for m, o := range a.excluded {
		if _, excluded := sim.log[h.appliedIndex-1].excluded[m]; !excluded {
			h.flowsUntil[m] = sim.now + o.MigrateOverMS
		}
	}
}

func (sim *simulation) stepMember(x *simMember) {
	if sim.memberUnavailable(x) {
		if x.unavailableSince == 0 {
			x.unavailableSince = sim.now
		}
	} else {
		x.unavailableSince = 0
	}
	// The owner replaces the member when the record says that it is drained. A member that has crashed by
	// then starts as the replacement.
	for i := range sim.state.record.Releases {
		r := &sim.state.record.Releases[i]
		for j := range r.Units {
			u := &r.Units[j]
			if u.Phase != PhaseDrained || u.Kind != KindMember || u.currentName() != x.name || u.OrderNumber == x.lastOrder || r.Spec.Drain || x.up && sim.rng.IntN(4) > 0 {
				continue
			}
			x.lastOrder, x.nextProgram = u.OrderNumber, r.Spec.Program
			if u.Reverting || r.RollingBack {
				x.nextProgram = x.originalProgram // the owner knows the program, even if the member does not report it
			}
			if x.up {
				x.up, x.restartAt = false, sim.now+sim.between(200, 1000)
			}
			if x.renamesSuccessor {
				x.name += "'"
			}
		}
	}
	if !x.up && sim.now >= x.restartAt {
		x.up, x.startedAt, x.warmAt, x.program = true, sim.now, sim.now+sim.between(500, 2500), x.nextProgram
	}
}

func (sim *simulation) stepRequester(a *requester) {
	if a.down || sim.now < a.nextAt || a.finished {
		if a.down && sim.now >= a.doneAt {
			a.down, a.finished = false, true
			if sim.rng.IntN(2) == 0 {
				sim.propose(a.holder, Command{Kind: CommandReturnPermit, PermitNumber: a.permit}, func(Result) {})
			}
		}
		return
	}
	a.nextAt = sim.now + sim.between(300, 900)
	if sim.faultFree && !a.begun {
		a.finished = true
		return
	}
	if a.begun { // the requester may take the target down until takeDownBy
		if sim.now < a.takeDownBy {
			a.takeDown(sim)
		}
		return
	}
	sent := sim.now
	if a.permit != 0 && sim.now < a.beginBy {
		sim.propose(a.holder, Command{Kind: CommandBeginPermit, PermitNumber: a.permit}, func(x Result) {
			if x.State == string(PermitBegun) {
				a.begun, a.takeDownBy = true, sent+int64(float64(sim.budgets.PermitWindowMS)*a.clockRate*(1-sim.budgets.ClockDrift))
			} else if x.Error != "" {
				a.permit = 0
			}
		})
		return
	}
	sim.propose(a.holder, Command{Kind: CommandRequestPermit, TargetKind: a.kind, Name: a.name, Requester: a.holder, DurationMS: 4000}, func(x Result) {
		a.permit = 0
		if x.State == string(PermitGranted) {
			a.permit, a.beginBy = x.Number, sent+int64(float64(x.RemainingMS)*a.clockRate*(1-sim.budgets.ClockDrift))
		}
	})
}

func (a *requester) takeDown(sim *simulation) {
	a.down, a.doneAt = true, sim.now+sim.between(500, 2000)
	if a.kind == KindRelay {
		for _, h := range sim.relays {
			if h.name == a.name {
				h.crash(sim, a.doneAt-sim.now)
			}
		}
		return
	}
	for _, x := range sim.members {
		if x.name == a.name {
			x.crash(a.doneAt, x.program)
		}
	}
}

// view returns the leader's view, built from status reports that are late or lost and from gossip.
func (sim *simulation) view() View {
	v := View{At: sim.now + sim.skew, Load: sim.load, Service: sim.service, Unfit: map[string]string{}}
	if sim.driftUntil > sim.now {
		v.Drift, v.DriftMS = "n0 is late", 500
	}
	for _, h := range sim.relays {
		r := h.report
		r.Name, r.Zone, r.ReportAgeMS = h.name, h.zone, sim.now-h.reportedAt
		if h.reportedAt < sim.leaderSince {
			r = Relay{Name: h.name, Zone: h.zone, ReportAgeMS: sim.now - sim.leaderSince, StartNumber: h.report.StartNumber, Capacity: h.capacity}
		}
		r.Exited = !h.up
		r.InService = sim.serves(h) && h.startNumber == r.StartNumber
		v.Relays = append(v.Relays, r)
		if quarantine := sim.state.record.findQuarantine(h.name); h.reportedAt >= sim.leaderSince && sim.now < h.unfitUntil || h.reportedAt < sim.leaderSince && quarantine != nil && quarantine.ReadmittedVersion == 0 {
			v.Unfit[h.name] = "it does not do what was agreed"
			v.UnfitOrder = append(v.UnfitOrder, h.name)
		}
	}
	for _, x := range sim.members {
		usableCapacity := x.capacity
		if sim.now < x.warmAt {
			usableCapacity = x.capacity * slowStartShare
		}
		m := Member{Name: x.name, Zone: x.zone, Started: x.startedAt, Capacity: x.capacity, UsableCapacity: usableCapacity, Failing: !x.up, Program: x.program, FlowsByRelay: map[string]RelayFlows{}}
		if !x.reportsProgram {
			m.Program = "" // this member does not report its program
		}
		for _, h := range sim.relays {
			if h.reportedAt < sim.leaderSince {
				continue
			}
			if _, migrating := h.flowsUntil[x.name]; migrating {
				m.FlowsByRelay[h.name] = RelayFlows{1, h.reportedAt}
			} else if _, out := sim.log[h.reportedIndex].excluded[x.name]; !out && len(sim.relays) <= 40 {
				m.FlowsByRelay[h.name] = RelayFlows{2, h.reportedAt}
			}
		}
		if x.renamesSuccessor && !x.up {
			continue // the successor is listed under its new name once it is up
		}
		v.Members = append(v.Members, m)
	}
	sim.rng.Shuffle(len(v.Members), func(i, j int) { v.Members[i], v.Members[j] = v.Members[j], v.Members[i] })
	return v
}

func (sim *simulation) runLeader() {
	if sim.now-sim.leaderSince < sim.budgets.SilentAfterMS && sim.leaderSince > 1e6 {
		return // not all relays have reported yet
	}
	v := sim.view()
	at := sim.now + sim.between(30, 200)
	for _, c := range sim.state.Plan(sim.now+sim.skew, v, sim.budgets) {
		sim.propose("pilot", c, nil)
		if n := len(sim.pending); n > 0 && sim.pending[n-1].sent == sim.now && sim.rng.IntN(10) > 0 {
			sim.pending[n-1].at = at // mostly in the planned order
		}
	}
	if sim.staleState != nil && (sim.twoLeaders || sim.rng.IntN(4) == 0) && !sim.faultFree {
		s, err := Decode(sim.staleState)
		if err != nil {
			sim.violation("Decode of the stale state: %v", err)
			return
		}
		for _, c := range s.Plan(sim.staleView.At, sim.staleView, sim.budgets) {
			sim.propose("another", c, nil)
		}
	}
	if sim.rng.IntN(3) == 0 {
		sim.staleState, sim.staleView = sim.state.Encode(), v
	}
}

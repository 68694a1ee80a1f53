package fleet

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"

	"dahliarudder/internal/canary"
	"dahliarudder/internal/drift"
	"dahliarudder/internal/rollout"
)

// seeds is how many seeds a test plays: a few in CI, as many as FLEET_SEEDS says by hand.
func seeds(few uint64) uint64 {
	if n, err := strconv.ParseUint(os.Getenv("FLEET_SEEDS"), 10, 64); err == nil {
		return n
	}
	return few
}

// model is a fleet in virtual time, without sockets: relays with a record, a loop and a ledger each, one that leads, words and answers that are late
// and get lost. What is planted is in hands; everything else that is claimed is false.
type model struct {
	t       testing.TB
	rng     *rand.Rand
	now     int64
	log     [][]byte
	relays  []*mrelay
	wire    map[int64][]func()
	lead    *mrelay
	led     int64
	helm    *controller
	own     ObservedState
	view    rollout.View
	budgets rollout.Budgets
	takeOut bool
	list    uint64
	epoch   int                    // of discovery
	planted map[string]drift.State // by relay and item
	found   map[string]bool
	falsely []string
	blocks  int // looks at which drift held something up
}

type mrelay struct {
	name, program, config string
	start                 uint64
	upAt                  int64 // down until then
	record                *Record
	applied               int
	ledger                *statusReporter
	look                  ObservedState
	own                   map[string]string // releaseSections changed by hand
	frozen                map[string]bool   // items that its loop does not follow
	refuses, leaving      bool              // new configurations; by order
	slow                  int64             // to hear of lists
}

func newModel(t testing.TB, seed uint64, n int) *model {
	c := Config{Listen: "127.0.0.1:1", APIListen: "127.0.0.1:2", Voters: map[string]string{"n0": "127.0.0.1:1"}}
	c.Disruption.Relays.Total = "2"
	if err := c.Check("", n, 0); err != nil {
		t.Fatal(err)
	}
	m := &model{t: t, rng: rand.New(rand.NewPCG(seed, 7)), now: 1_700_000_000_000, wire: map[int64][]func(){}, list: 500, planted: map[string]drift.State{},
		found: map[string]bool{}, budgets: c.Budgets()}
	for i := range n {
		r := &mrelay{name: fmt.Sprintf("n%d", i), program: "p1", config: "c1", record: NewRecord(), own: map[string]string{}, frozen: map[string]bool{}}
		m.relays = append(m.relays, r)
		m.begin(r)
	}
	m.leads(m.relays[0])
	return m
}

func (m *model) begin(r *mrelay) {
	r.start++
	r.upAt, r.leaving, r.look = 0, false, ObservedState{Phase: "serving", ListGeneration: m.list}
	r.ledger = newStatusReporter(&Options{Name: r.name, Incarnation: r.start, Program: r.program, ConfigDigest: r.config})
	m.follow(r)
}

func (m *model) leads(r *mrelay) {
	m.catchUp(r, len(m.log))
	m.lead, m.led, m.helm = r, m.now, newController(r.record)
}

func (m *model) at(late int64, do func()) {
	when := m.now + max(late/100*100, 100)
	m.wire[when] = append(m.wire[when], do)
}

func (m *model) catchUp(r *mrelay, to int) {
	for ; r.applied < to; r.applied++ {
		r.record.Apply(uint64(r.applied), m.log[r.applied])
	}
	if r.upAt == 0 {
		m.follow(r)
	}
}

// follow is the loop: it does what the record says, but what it is frozen in.
func (m *model) follow(r *mrelay) {
	keep := r.look
	r.record.read(func(s *rollout.State, h recordItems) {
		o := s.Orders(r.name)
		bans, drains := splitExclusions(o.Exclusions)
		r.look.AppliedExclusions = slices.DeleteFunc(append(bans, drains...), func(n string) bool {
			return r.frozen[drift.ItemEjections] && slices.Contains(bans, n) || r.frozen[drift.ItemDrains] && slices.Contains(drains, n)
		})
		r.look.AppliedVersion, r.look.PermitsVersion, r.look.CanaryVersion, r.look.QuarantineOrder = s.Version(), permitsVersion(h), h.CanaryWeights.Version, 0
		if r.frozen[drift.ItemPermits] {
			r.look.PermitsVersion = max(keep.PermitsVersion, 1)
		}
		if r.frozen[drift.ItemCanaryWeights] {
			r.look.CanaryVersion = keep.CanaryVersion
		}
		if o.Quarantine != nil && o.Quarantine.StartNumber >= r.start {
			r.look.QuarantineOrder = o.Quarantine.Number
		}
		if !r.leaving {
			r.look.Phase = map[bool]string{false: "serving", true: "draining"}[r.look.QuarantineOrder != 0]
		}
		if o.Leave != nil && o.Leave.StartNumber >= r.start && !r.leaving {
			r.leaving, r.look.Phase = true, "leaving"
			m.at(3000, func() {
				r.upAt, r.program = m.now+2000+m.rng.Int64N(9000), cmp.Or(o.Leave.Program, r.program)
				if !r.refuses {
					r.config = cmp.Or(o.Leave.Config, r.config)
				}
			})
		}
	})
}

func (m *model) agree(part string, body []byte) (a rollout.Result) {
	text, _ := json.Marshal(command{part, m.now, m.lead.name, body})
	m.log = append(m.log, text)
	n := len(m.log)
	for _, r := range m.relays {
		if r != m.lead {
			m.at(m.rng.Int64N(400), func() { m.catchUp(r, n) })
		}
	}
	m.catchUp(m.lead, n-1)
	json.Unmarshal(m.lead.record.Apply(uint64(n), text), &a)
	m.lead.applied = n
	m.follow(m.lead)
	return a
}

func (m *model) call(c rollout.Command) {
	if a := m.agree(partRollout, c.Encode()); a.Error != "" {
		m.t.Fatal(a.Error)
	}
}

func (m *model) release(name string, w rollout.ReleaseSpec) {
	m.call(rollout.Command{Kind: rollout.CommandOpen, Name: name, Release: &w})
}

func (m *model) state(name string) rollout.ReleaseState {
	a, _ := m.lead.record.rollout.Release(name)
	return a.State
}

// say is a word of a relay, and the answer to it.
func (m *model) say(r *mrelay) {
	l, voters := r.look, drift.Item{Name: drift.ItemVoters, Version: 7, Digest: 1}
	l.ConfigSections = map[string]string{"settings": r.config + "s", "limits": r.config + "l"}
	maps.Copy(l.ConfigSections, r.own)
	if r.refuses {
		l.RejectedItems = map[string]string{"config.settings": "no such key"}
	}
	if r.frozen[drift.ItemVoters] {
		voters.Version = 3
	}
	text, _ := json.Marshal(r.ledger.buildReport(m.now, l, r.record, voters))
	h, start := m.helm, r.start
	m.send(func() {
		w, err := decodeStatusReport(text)
		if err != nil {
			m.t.Fatal(err)
		}
		if h != m.helm {
			return
		}
		answer := h.receive(m.now, r.name, w)
		m.check()
		m.send(func() {
			if a, err := drift.DecodeReply(answer); err == nil && r.start == start && r.upAt == 0 && len(r.ledger.driftReporter.HandleReply(a)) > 0 {
				m.follow(r)
			}
		})
	})
}

// send carries a word or an answer; one in twenty is lost.
func (m *model) send(arrive func()) {
	if m.rng.Float64() >= 0.05 {
		m.at(m.rng.Int64N(300), arrive)
	}
}

func (m *model) pilot() {
	m.own = ObservedState{Members: []MemberState{{Name: "m1", DiscoveryState: "ready", Capacity: 9}, {Name: "m2", DiscoveryState: "ready", Capacity: 9}}}
	for _, r := range m.relays {
		m.own.Peers = append(m.own.Peers, Peer{Name: r.name, Alive: r.upAt == 0, Gone: r.upAt != 0, Serving: r.look.Phase == "serving", Incarnation: r.start})
	}
	m.view = m.helm.fleet.buildView(m.now, m.led, m.budgets.FlowHoldMS, m.lead.name, m.own, slowStart{})
	m.helm.voters = drift.Item{Name: drift.ItemVoters, Version: 7, Digest: 1}
	m.helm.evaluateDrift(m.now, &m.view)
	if m.takeOut {
		m.helm.markUnfit(&m.view)
	}
	m.check()
	if m.view.Drift != "" {
		m.blocks++
	}
	meant := m.helm.planIntent(m.now, &m.view)
	if m.now-m.led < silenceTimeout.Milliseconds() {
		return
	}
	for _, c := range meant {
		body, _ := json.Marshal(c)
		m.agree(partIntent, body)
	}
	for _, c := range m.helm.dropBlockedGrants(m.lead.record.rollout.Plan(m.now, m.view, m.budgets)) {
		if m.agree(partRollout, c.Encode()).Error != "" {
			return
		}
	}
}

// check holds what is claimed against what was planted.
func (m *model) check() {
	for _, r := range m.helm.driftMonitor.Findings() {
		key := r.Relay + " " + r.Agreed.Name
		if r.State < drift.Lagging || r.State == drift.Unknown {
			continue
		}
		if want, ok := m.planted[key]; !ok {
			m.falsely = append(m.falsely, fmt.Sprintf("%d: %s %v, %s", m.now-1_700_000_000_000, key, r.State, r.Reason))
		} else if want == r.State {
			m.found[key] = true
		}
	}
}

// play lets time pass, until done says so at most.
func (m *model) play(ms int64, done func() bool) bool {
	for end := m.now + ms; m.now < end; {
		m.now += 100
		due := m.wire[m.now]
		delete(m.wire, m.now)
		for _, do := range due {
			do()
		}
		for i, r := range m.relays {
			switch {
			case r.upAt != 0 && m.now >= r.upAt:
				m.begin(r)
			case r.upAt == 0 && (m.now+int64(i)*300)%1000 == 0:
				m.say(r)
			}
		}
		if m.now%200 == 0 {
			m.pilot()
		}
		if done != nil && done() {
			return true
		}
	}
	return false
}

// discover tells all relays but those that are stuck of a new list, one after another.
func (m *model) discover(gen uint64) {
	if m.list = gen; gen == 3 {
		m.epoch++
	}
	epoch := m.epoch
	for _, r := range m.relays {
		late := r.slow + m.rng.Int64N(1500)
		if gen == 3 { // it has begun anew: relays come back to it one by one
			late *= 6
		}
		m.at(late, func() {
			if !r.frozen[drift.ItemEndpointList] && epoch == m.epoch && (r.look.ListGeneration < gen || gen == 3) {
				r.look.ListGeneration = gen
			}
		})
	}
}

func (m *model) sound(what string) {
	m.t.Helper()
	if len(m.falsely) > 0 {
		m.t.Fatalf("%s: %d false claims, first: %s", what, len(m.falsely), m.falsely[0])
	}
}

// settled plays until a baseline is there and the pace of the fleet is known a little.
func settled(t *testing.T, seed uint64, n int) *model {
	t.Helper()
	m := newModel(t, seed, n)
	if !m.play(20_000, func() bool { return len(m.lead.record.intent.Items) == 3 }) {
		t.Fatalf("no baseline: %+v", m.lead.record.intent)
	}
	m.play(20_000, nil)
	m.sound("at the start")
	return m
}

// TestModelPlanted: drift of each kind is found at the leader, although another relay leads three seconds after it began, and is gone when it is mended.
// Guards against an item that relays do not tell, that the leader does not hold them to, or that a new leader takes for right.
func TestModelPlanted(t *testing.T) {
	ban := func(m *model) { m.call(rollout.Command{Kind: rollout.CommandEject, Names: []string{"m1"}}) }
	for _, k := range []struct {
		item  string
		state drift.State
		plant func(m *model, r *mrelay)
	}{
		{drift.ItemProgram, drift.Ahead, func(m *model, r *mrelay) { r.program = "other"; m.begin(r) }},
		{drift.ItemProgram, drift.Lagging, func(m *model, r *mrelay) { // it went back
			for _, x := range m.relays {
				x.program = map[bool]string{false: "p2", true: "p1"}[x == r]
				m.begin(x)
			}
			m.agree(partIntent, []byte(`{"do":"adopt","who":"ann","items":{"program":"p2"}}`))
		}},
		{"config.limits", drift.Ahead, func(m *model, r *mrelay) { r.own["limits"] = "mine" }},
		{"config.settings", drift.Rejected, func(m *model, r *mrelay) {
			for _, x := range m.relays {
				x.own["settings"] = "new"
			}
			r.own, r.refuses = map[string]string{}, true
			m.agree(partIntent, []byte(`{"do":"adopt","who":"ann","items":{"config.settings":"new"}}`))
		}},
		{drift.ItemEndpointList, drift.Lagging, func(m *model, r *mrelay) { r.frozen[drift.ItemEndpointList] = true; m.discover(m.list + 1) }},
		{drift.ItemEjections, drift.Lagging, func(m *model, r *mrelay) { r.frozen[drift.ItemEjections] = true; ban(m) }},
		{drift.ItemEjections, drift.Overridden, func(m *model, r *mrelay) { r.look.LocalEjections = []string{"m2"} }},
		{drift.ItemDrains, drift.Lagging, func(m *model, r *mrelay) {
			r.frozen[drift.ItemDrains] = true
			m.release("d", rollout.ReleaseSpec{Kind: rollout.KindMember, Drain: true, Names: []string{"m1"}})
		}},
		{drift.ItemCanaryWeights, drift.Lagging, func(m *model, r *mrelay) {
			r.frozen[drift.ItemCanaryWeights] = true
			m.agree(partCanary, canary.Command{Op: canary.OpOpen, Release: "c", Spec: &canary.Spec{Release: "c", Salt: 5, Steps: []int{10}, MinAttempts: 9, MaxStepMS: 9e8,
				FalsePositiveRate: 0.1, Guardrails: []canary.Guardrail{{Metric: canary.Failures, MarginPerMille: 10}}, Target: canary.Selector{Members: []string{"m1"}}}}.Encode())
			if m.lead.record.canary.Version() == 0 {
				m.t.Fatal("no canary")
			}
		}},
		{drift.ItemPermits, drift.Lagging, func(m *model, r *mrelay) {
			r.frozen[drift.ItemPermits] = true
			m.call(rollout.Command{Kind: rollout.CommandRequestPermit, TargetKind: rollout.KindMember, Name: "m1", Requester: "ann", DurationMS: 600_000})
			m.play(1000, nil)
			m.call(rollout.Command{Kind: rollout.CommandBeginPermit, PermitNumber: m.lead.record.rollout.Permits()[0].Number})
		}},
		{drift.ItemVoters, drift.Lagging, func(m *model, r *mrelay) { r.frozen[drift.ItemVoters] = true }},
	} {
		t.Run(k.item+" "+k.state.String(), func(t *testing.T) {
			t.Parallel()
			for seed := range seeds(3) {
				m := settled(t, seed, 5)
				r := m.relays[3]
				key := r.name + " " + k.item
				m.planted[key] = k.state
				k.plant(m, r)
				m.play(3000, nil)
				m.leads(m.relays[1])
				clear(m.found)
				from := m.now
				found := m.play(180_000, func() bool { return m.found[key] })
				m.sound("planted")
				if !found {
					t.Fatalf("seed %d: not found; %+v", seed, m.helm.driftMonitor.Findings())
				}
				t.Logf("found %.1f s after the new leader", float64(m.now-from)/1000)
				r.own, r.frozen, r.refuses, r.program = maps.Clone(m.relays[0].own), map[string]bool{}, false, m.relays[0].program
				m.begin(r)
				if !m.play(120_000, func() bool {
					return m.helm.driftMonitor.FullyInSync(r.name) && m.helm.driftMonitor.StateOf(r.name, k.item) == drift.InSync
				}) {
					t.Fatalf("seed %d: mended, yet %+v", seed, m.helm.driftMonitor.Findings())
				}
				delete(m.planted, key)
				m.play(20_000, nil)
				m.sound("mended")
			}
		})
	}
}

// TestModelRelease: while releases of program and configuration run, forth and back, over all relays and over parts of them, under two leaders and a
// list that changes twice a second, nothing is found, nothing holds them up, and then the new thing is meant of those that have it. What a relay refuses
// that was sent for it is found. Guards against a release that is taken for drift.
func TestModelRelease(t *testing.T) {
	for seed := range seeds(3) {
		m := settled(t, seed, 6)
		m.blocks = 0
		part := []string{"n0", "n1", "n2"}
		rest := []string{"n3", "n4", "n5"}
		through := func(name string, state rollout.ReleaseState, first, last, next string) {
			from := m.now
			ended := m.play(300_000, func() bool {
				if m.now%500 == 0 {
					m.discover(m.list + 1)
				}
				switch m.now - from {
				case 12_000, 72_000: // it stands half way for long
					m.agree(partRollout, rollout.Command{Kind: []rollout.CommandKind{rollout.CommandHalt, rollout.CommandResume}[(m.now-from)/72_000], Name: name}.Encode())
				case 15_000:
					m.leads(m.relays[(m.list+seed)%3])
				}
				return m.state(name) == state
			})
			m.play(15_000, nil)
			m.sound(name)
			for relay, want := range map[string]string{"n0": first, "n5": last, "one that comes": next} {
				program, _ := m.lead.record.intent.valueFor(relay, drift.ItemProgram)
				limits, _ := m.lead.record.intent.valueFor(relay, "config.limits")
				if got := program.Value + " " + limits.Value; !ended || got != want || m.blocks > 0 {
					t.Fatalf("seed %d: %s is %s, %d looks held up; %s: %s, not %s", seed, name, m.state(name), m.blocks, relay, got, want)
				}
			}
		}
		m.release("all", rollout.ReleaseSpec{Kind: rollout.KindRelay, All: true, Program: "p2", Config: "c2"})
		through("all", rollout.ReleaseCompleted, "p2 c2l", "p2 c2l", "p2 c2l")
		m.call(rollout.Command{Kind: rollout.CommandRollBack, Name: "all"})
		through("all", rollout.ReleaseRolledBack, "p1 c1l", "p1 c1l", "p1 c1l")
		m.release("part", rollout.ReleaseSpec{Kind: rollout.KindRelay, Names: part, Program: "p3", Config: "c3"})
		through("part", rollout.ReleaseCompleted, "p3 c3l", "p1 c1l", "p1 c1l")
		m.call(rollout.Command{Kind: rollout.CommandRollBack, Name: "part"})
		through("part", rollout.ReleaseRolledBack, "p1 c1l", "p1 c1l", "p1 c1l")
		m.release("again", rollout.ReleaseSpec{Kind: rollout.KindRelay, Names: part, Program: "p3", Config: "c3"})
		through("again", rollout.ReleaseCompleted, "p3 c3l", "p1 c1l", "p1 c1l")
		if r := NewRecord(); r.Restore(1, m.lead.record.Snapshot()) != nil || string(r.Snapshot()) != string(m.lead.record.Snapshot()) || len(r.intent.PerRelay) != 3 {
			t.Fatalf("a snapshot loses some: %+v", r.intent)
		}
		m.release("rest", rollout.ReleaseSpec{Kind: rollout.KindRelay, Names: rest, Program: "p3", Config: "c3"})
		through("rest", rollout.ReleaseCompleted, "p3 c3l", "p3 c3l", "p3 c3l")
		if len(m.lead.record.intent.PerRelay) > 0 {
			t.Fatalf("%+v", m.lead.record.intent)
		}
		m.relays[5].refuses, m.planted["n5 config.settings"] = true, drift.Rejected
		m.release("bad", rollout.ReleaseSpec{Kind: rollout.KindRelay, Names: rest, Config: "c4"})
		if m.play(60_000, func() bool { return len(m.found) > 0 }); len(m.found) == 0 {
			t.Fatalf("seed %d: %+v", seed, m.helm.driftMonitor.Findings())
		}
		m.sound("refused")
	}
	if r := NewRecord(); r.Restore(1, []byte(`{"held":{},"rollout":{},"canary":{}}`)) != nil || len(r.intent.Items) > 0 {
		t.Fatal("a snapshot of before there was intent")
	}
}

// TestModelMends: a relay whose list is stuck holds up a drain of members, and not the release that restarts it.
func TestModelMends(t *testing.T) {
	m := settled(t, 1, 5)
	r := m.relays[3]
	m.planted["n3 list"] = drift.Lagging
	r.frozen[drift.ItemEndpointList] = true
	m.discover(m.list + 1)
	if !m.play(180_000, func() bool { return m.found["n3 list"] }) {
		t.Fatal("not found")
	}
	m.release("drain", rollout.ReleaseSpec{Kind: rollout.KindMember, Drain: true, Names: []string{"m1"}})
	m.play(5000, nil)
	m.release("mend", rollout.ReleaseSpec{Kind: rollout.KindRelay, All: true})
	// Operator is told to leave does not count any more.
	out := func() bool { return len(m.lead.record.rollout.Orders("").Exclusions) > 0 }
	early := false
	ended := m.play(300_000, func() bool {
		r.frozen[drift.ItemEndpointList] = r.start == 1
		early = early || out() && r.start == 1 && m.lead.record.rollout.Orders(r.name).Leave == nil
		return m.state("mend") == rollout.ReleaseCompleted
	})
	if !ended || early || !m.play(60_000, out) {
		t.Fatalf("%s, drained early %v, %+v", m.state("mend"), early, m.helm.driftMonitor.Findings())
	}
	m.sound("mended")
}

// TestModelLists: discovery begins anew at a lower generation, and two relays do not notice; one alone claims a high one; one is always three seconds
// behind lists that change each second. The two and the one that claims are shown, whoever leads, and no other.
func TestModelLists(t *testing.T) {
	for seed := range seeds(3) {
		m := settled(t, seed, 7)
		churn := func(s int) {
			for range s {
				m.discover(m.list + 1)
				m.play(1000, nil)
			}
		}
		churn(20)
		stuck := func(on bool) {
			for _, r := range m.relays[4:6] {
				r.frozen[drift.ItemEndpointList], m.planted[r.name+" list"] = on, drift.Lagging
			}
		}
		stuck(true)
		m.discover(3)
		m.play(9000, nil)
		churn(40)
		if m.sound("anew"); len(m.found) != 2 {
			t.Fatalf("%+v, %+v", m.found, m.helm.driftMonitor.Findings())
		}
		clear(m.found)
		m.leads(m.relays[2])
		churn(60)
		if m.sound("anew, another leader"); len(m.found) != 2 {
			t.Fatalf("%+v, %+v", m.found, m.helm.driftMonitor.Findings())
		}
		stuck(false)
		m.relays[4].look.ListGeneration, m.relays[5].look.ListGeneration = m.list, m.list
		churn(40)
		clear(m.planted)
		clear(m.found)
		m.planted["n4 list"] = drift.Ahead
		m.relays[4].frozen[drift.ItemEndpointList], m.relays[4].look.ListGeneration = true, 1<<60
		m.relays[3].slow = 3000
		churn(400)
		if m.sound("a high claim"); !m.found["n4 list"] || m.helm.driftMonitor.LagBound(drift.ItemPermits) < 15_000 { // no list tells how long a permit takes
			t.Fatalf("%+v, %d", m.helm.driftMonitor.Findings(), m.helm.driftMonitor.LagBound(drift.ItemPermits))
		}
		if m.helm.markUnfit(&m.view); len(m.view.Unfit) > 0 {
			t.Fatalf("%v would be shut", m.view.Unfit)
		}
	}
}

// TestModelBaseline: what just half of the relays run is not meant; what more run is, after a while, and the others drift. A relay's own configuration
// is meant once an operator says so.
func TestModelBaseline(t *testing.T) {
	m := newModel(t, 1, 6)
	for i := range 3 {
		m.relays[i].own["limits"], m.relays[i].program = "x", fmt.Sprint("q", i)
		m.begin(m.relays[i])
	}
	m.play(30_000, nil)
	if in := m.lead.record.intent; len(in.Items) != 1 || in.Items["config.settings"][0].Value != "c1s" {
		t.Fatalf("%+v", in)
	}
	delete(m.relays[2].own, "limits")
	m.planted["n0 config.limits"], m.planted["n1 config.limits"] = drift.Ahead, drift.Ahead
	if !m.play(120_000, func() bool { return len(m.found) == 2 }) {
		t.Fatalf("%+v", m.helm.driftMonitor.Findings())
	}
	c, err := m.helm.intentFromRelay("n1", "config.limits", "ann")
	if err != nil {
		t.Fatal(err)
	}
	body, _ := json.Marshal(c)
	m.agree(partIntent, body)
	for _, r := range m.relays {
		r.own["limits"] = "x"
	}
	if !m.play(60_000, func() bool { return m.helm.driftMonitor.FullyInSync("n0") && m.helm.driftMonitor.FullyInSync("n5") }) {
		t.Fatalf("%+v", m.helm.driftMonitor.Findings())
	}
	m.sound("by an operator")
	if a := m.agree(partIntent, []byte(`{"do":"adopt","items":{"config.limits":"y"}}`)); a.Error != "" || m.lead.record.intent.Items["config.limits"][0].Value != "x" {
		t.Fatal("a pilot that came late changed what was agreed")
	}
	for _, bad := range []string{`{"do":"adopt","items":{"bans":"y"}}`, `{"do":"x"}`, `{"do":"adopt","items":{"program":"` + strings.Repeat("y", 200) + `"}}`,
		`{"do":"adopt","release":"none"}`, `[`} {
		if a := m.agree(partIntent, []byte(bad)); a.Error == "" {
			t.Error("taken:", bad)
		}
	}
}

// TestModelTakeOut: half of the fleet drifts, and two may be out. Never are more, by what the relays do, under two leaders and while a release restarts
// all of them, which mends them; who is mended takes clients again, and all do once the setting is gone.
func TestModelTakeOut(t *testing.T) {
	for seed := range seeds(4) {
		m := settled(t, seed, 8)
		m.takeOut = true
		most, first := 0, ""
		out := func() (n int) {
			for _, r := range m.relays {
				if r.look.Phase != "serving" || r.upAt != 0 {
					n++
				}
				if r.upAt != 0 || r.name == first { // its host puts the right file there
					r.own = map[string]string{}
				}
			}
			most = max(most, n)
			return n
		}
		until := func(what string, ms int64, done func() bool) {
			if !m.play(ms, done) {
				t.Fatalf("seed %d: not %s: out %d, %+v, %+v, %s", seed, what, out(), m.lead.record.rollout.Quarantines(), m.helm.driftMonitor.Findings(), m.view.Drift)
			}
		}
		for _, r := range m.relays[4:] {
			m.planted[r.name+" config.limits"] = drift.Ahead
			r.own["limits"] = "mine"
		}
		until("shut", 120_000, func() bool { return out() == 2 })
		m.leads(m.relays[1])
		if m.play(90_000, func() bool { return out() < 2 }) {
			t.Fatalf("seed %d: a new leader lets them in: %+v", seed, m.view.Unfit)
		}
		first = m.lead.record.rollout.Quarantines()[0].Name
		until("the next in its place", 120_000, func() bool {
			all := m.lead.record.rollout.Quarantines()
			return out() == 2 && len(all) == 2 && all[0].Name != first && all[1].Name != first
		})
		m.release("mend", rollout.ReleaseSpec{Kind: rollout.KindRelay, All: true})
		until("mended", 600_000, func() bool { return out() >= 0 && m.state("mend") == rollout.ReleaseCompleted })
		until("let in", 60_000, func() bool { return out() == 0 })
		first = ""
		m.relays[5].own["limits"] = "mine"
		until("shut again", 120_000, func() bool { return out() == 1 })
		m.release("drain", rollout.ReleaseSpec{Kind: rollout.KindMember, Drain: true, Names: []string{"m1"}}) // which one that is shut does not hold up
		until("drained", 10_000, func() bool { return len(m.lead.record.rollout.Orders("").Exclusions) > 0 })
		m.takeOut = false
		until("let in without the setting", 60_000, func() bool { return out() == 0 })
		if m.sound("taken out"); most > 2 {
			t.Fatalf("seed %d: %d were out", seed, most)
		}
	}
}

// BenchmarkLook is the leader's look at 300 relays with ten sections each; every fifth of a second there is one.
func BenchmarkLook(b *testing.B) {
	m := newModel(b, 1, 300)
	for _, r := range m.relays {
		for i := range 8 {
			r.own[fmt.Sprint("section", i)] = "1f2e3d4c"
		}
	}
	m.play(20_000, nil)
	text, _ := json.Marshal(m.helm.fleet.relays["n7"].statusReport)
	b.ReportMetric(float64(len(text)), "bytes/word")
	for b.Loop() {
		m.helm.evaluateDrift(m.now, &m.view)
	}
}

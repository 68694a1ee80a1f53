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

// seedCount returns how many seeds a test runs: FLEET_SEEDS if that is set, else defaultCount.
func seedCount(defaultCount uint64) uint64 {
	if n, err := strconv.ParseUint(os.Getenv("FLEET_SEEDS"), 10, 64); err == nil {
		return n
	}
	return defaultCount
}

// model simulates a fleet in virtual time without sockets. Each relay has a record, an event loop and
// a reporter, and one relay is the leader; reports and replies are delayed or lost. A drift finding
// that the test did not plant is a false finding.
type model struct {
	t                 testing.TB
	rng               *rand.Rand
	now               int64
	log               [][]byte // all committed commands
	relays            []*modelRelay
	messages          map[int64][]func() // by time of delivery
	leader            *modelRelay
	leaderSince       int64
	controller        *controller
	leaderState       ObservedState
	view              rollout.View
	budgets           rollout.Budgets
	quarantineDrifted bool
	listGeneration    uint64
	discoveryEpoch    int                    // number of restarts of discovery
	plantedDrift      map[string]drift.State // by relay and item
	foundDrift        map[string]bool        // planted drift that was found, by relay and item
	falseFindings     []string
	blockedRounds     int // control rounds in which drift blocked releases
}

type modelRelay struct {
	name, program, config  string
	incarnation            uint64
	restartsAt             int64 // the relay is down until this time; 0: it runs
	record                 *Record
	appliedCommands        int
	reporter               *statusReporter
	observed               ObservedState
	overriddenSections     map[string]string // sections changed locally
	stuckItems             map[string]bool   // items that its event loop does not apply
	rejectsConfig, leaving bool              // it rejects new configurations; it leaves by order of the record
	listDelayMS            int64             // delay of new lists at this relay, beyond the random one
}

func newModel(t testing.TB, seed uint64, relayCount int) *model {
	config := Config{Listen: "127.0.0.1:1", APIListen: "127.0.0.1:2", Voters: map[string]string{"n0": "127.0.0.1:1"}}
	config.Disruption.Relays.Total = "2"
	if err := config.Check("", relayCount, 0); err != nil {
		t.Fatal(err)
	}
	m := &model{t: t, rng: rand.New(rand.NewPCG(seed, 7)), now: 1_700_000_000_000, messages: map[int64][]func(){}, listGeneration: 500, plantedDrift: map[string]drift.State{},
		foundDrift: map[string]bool{}, budgets: config.Budgets()}
	for i := range relayCount {
		r := &modelRelay{name: fmt.Sprintf("n%d", i), program: "p1", config: "c1", record: NewRecord(), overriddenSections: map[string]string{}, stuckItems: map[string]bool{}}
		m.relays = append(m.relays, r)
		m.start(r)
	}
	m.elect(m.relays[0])
	return m
}

// start starts the next process of a relay.
func (m *model) start(r *modelRelay) {
	r.incarnation++
	r.restartsAt, r.leaving, r.observed = 0, false, ObservedState{Phase: RelayServing, ListGeneration: m.listGeneration}
	r.reporter = newStatusReporter(&Options{Name: r.name, Incarnation: r.incarnation, Program: r.program, ConfigDigest: r.config})
	m.applyRecord(r)
}

// elect makes a relay the leader, with an empty controller.
func (m *model) elect(r *modelRelay) {
	m.catchUp(r, len(m.log))
	m.leader, m.leaderSince, m.controller = r, m.now, newController(r.record)
}

// schedule calls deliver after delayMS, rounded down to the simulation's step of 100 ms.
func (m *model) schedule(delayMS int64, deliver func()) {
	deliverAt := m.now + max(delayMS/100*100, 100)
	m.messages[deliverAt] = append(m.messages[deliverAt], deliver)
}

// catchUp applies the first commands of the log to a relay's record.
func (m *model) catchUp(r *modelRelay, commands int) {
	for ; r.appliedCommands < commands; r.appliedCommands++ {
		r.record.Apply(uint64(r.appliedCommands), m.log[r.appliedCommands])
	}
	if r.restartsAt == 0 {
		m.applyRecord(r)
	}
}

// applyRecord does what the event loop does: it applies the record, except for stuckItems.
func (m *model) applyRecord(r *modelRelay) {
	before := r.observed
	r.record.read(func(state *rollout.State, items recordItems) {
		orders := state.Orders(r.name)
		ejected, draining := splitExclusions(orders.Exclusions)
		r.observed.AppliedExclusions = slices.DeleteFunc(append(ejected, draining...), func(n string) bool {
			return r.stuckItems[drift.ItemEjections] && slices.Contains(ejected, n) || r.stuckItems[drift.ItemDrains] && slices.Contains(draining, n)
		})
		r.observed.AppliedVersion, r.observed.PermitsVersion, r.observed.CanaryVersion, r.observed.QuarantineOrder = state.Version(), permitsVersion(items), items.CanaryWeights.Version, 0
		if r.stuckItems[drift.ItemPermits] {
			r.observed.PermitsVersion = max(before.PermitsVersion, 1)
		}
		if r.stuckItems[drift.ItemCanaryWeights] {
			r.observed.CanaryVersion = before.CanaryVersion
		}
		if orders.Quarantine != nil && orders.Quarantine.StartNumber >= r.incarnation {
			r.observed.QuarantineOrder = orders.Quarantine.Number
		}
		if !r.leaving {
			r.observed.Phase = map[bool]RelayPhase{false: RelayServing, true: RelayDraining}[r.observed.QuarantineOrder != 0]
		}
		if orders.Leave != nil && orders.Leave.StartNumber >= r.incarnation && !r.leaving {
			r.leaving, r.observed.Phase = true, RelayLeaving
			m.schedule(3000, func() {
				r.restartsAt, r.program = m.now+2000+m.rng.Int64N(9000), cmp.Or(orders.Leave.Program, r.program)
				if !r.rejectsConfig {
					r.config = cmp.Or(orders.Leave.Config, r.config)
				}
			})
		}
	})
}

// commit commits a command, applies it at the leader at once and at the other relays later.
func (m *model) commit(part string, body []byte) (result rollout.Result) {
	text, _ := json.Marshal(command{part, m.now, m.leader.name, body})
	m.log = append(m.log, text)
	n := len(m.log)
	for _, r := range m.relays {
		if r != m.leader {
			m.schedule(m.rng.Int64N(400), func() { m.catchUp(r, n) })
		}
	}
	m.catchUp(m.leader, n-1)
	json.Unmarshal(m.leader.record.Apply(uint64(n), text), &result)
	m.leader.appliedCommands = n
	m.applyRecord(m.leader)
	return result
}

func (m *model) propose(c rollout.Command) {
	if a := m.commit(partRollout, c.Encode()); a.Error != "" {
		m.t.Fatalf("command %s rejected: %s", c.Kind, a.Error)
	}
}

func (m *model) openRelease(name string, spec rollout.ReleaseSpec) {
	m.propose(rollout.Command{Kind: rollout.CommandOpen, Name: name, Release: &spec})
}

func (m *model) releaseState(name string) rollout.ReleaseState {
	status, _ := m.leader.record.rollout.Release(name)
	return status.State
}

// sendReport sends a relay's report to the leader, and the leader's reply back to the relay.
func (m *model) sendReport(r *modelRelay) {
	observed, voters := r.observed, drift.Item{Name: drift.ItemVoters, Version: 7, Digest: 1}
	observed.ConfigSections = map[string]string{"settings": r.config + "s", "limits": r.config + "l"}
	maps.Copy(observed.ConfigSections, r.overriddenSections)
	if r.rejectsConfig {
		observed.RejectedItems = map[string]string{"config.settings": "no such key"}
	}
	if r.stuckItems[drift.ItemVoters] {
		voters.Version = 3
	}
	text, _ := json.Marshal(r.reporter.buildReport(m.now, observed, r.record, voters))
	controllerAtSend, incarnation := m.controller, r.incarnation
	m.send(func() {
		report, err := decodeStatusReport(text)
		if err != nil {
			m.t.Fatalf("decodeStatusReport(report of %s): %v", r.name, err)
		}
		if controllerAtSend != m.controller {
			return
		}
		reply := controllerAtSend.receive(m.now, r.name, report)
		m.checkFindings()
		m.send(func() {
			if decoded, err := drift.DecodeReply(reply); err == nil && r.incarnation == incarnation && r.restartsAt == 0 && len(r.reporter.driftReporter.HandleReply(decoded)) > 0 {
				m.applyRecord(r)
			}
		})
	})
}

// send delivers a report or a reply after a random delay; one in twenty is lost.
func (m *model) send(deliver func()) {
	if m.rng.Float64() >= 0.05 {
		m.schedule(m.rng.Int64N(300), deliver)
	}
}

// controlRound is one round of the leader's control loop.
func (m *model) controlRound() {
	m.leaderState = ObservedState{Members: []MemberState{{Name: "m1", DiscoveryState: "ready", Capacity: 9}, {Name: "m2", DiscoveryState: "ready", Capacity: 9}}}
	for _, r := range m.relays {
		m.leaderState.Peers = append(m.leaderState.Peers, Peer{Name: r.name, Alive: r.restartsAt == 0, Gone: r.restartsAt != 0, Serving: r.observed.Phase == RelayServing, Incarnation: r.incarnation})
	}
	m.view = m.controller.fleet.buildView(m.now, m.leaderSince, m.budgets.FlowHoldMS, m.leader.name, m.leaderState, slowStart{})
	m.controller.voters = drift.Item{Name: drift.ItemVoters, Version: 7, Digest: 1}
	m.controller.evaluateDrift(m.now, &m.view)
	if m.quarantineDrifted {
		m.controller.markUnfit(&m.view)
	}
	m.checkFindings()
	if m.view.Drift != "" {
		m.blockedRounds++
	}
	intents := m.controller.planIntent(m.now, &m.view)
	if m.now-m.leaderSince < silenceTimeout.Milliseconds() {
		return
	}
	for _, c := range intents {
		body, _ := json.Marshal(c)
		m.commit(partIntent, body)
	}
	for _, c := range m.controller.dropBlockedGrants(m.leader.record.rollout.Plan(m.now, m.view, m.budgets)) {
		if m.commit(partRollout, c.Encode()).Error != "" {
			return
		}
	}
}

// checkFindings compares the drift findings with the planted drift.
func (m *model) checkFindings() {
	for _, r := range m.controller.driftMonitor.Findings() {
		key := r.Relay + " " + r.Agreed.Name
		if r.State < drift.Lagging || r.State == drift.Unknown {
			continue
		}
		if want, ok := m.plantedDrift[key]; !ok {
			m.falseFindings = append(m.falseFindings, fmt.Sprintf("%d: %s %v, %s", m.now-1_700_000_000_000, key, r.State, r.Reason))
		} else if want == r.State {
			m.foundDrift[key] = true
		}
	}
}

// run advances the virtual time until done returns true, at most by ms. It reports whether done did.
func (m *model) run(ms int64, done func() bool) bool {
	for end := m.now + ms; m.now < end; {
		m.now += 100
		due := m.messages[m.now]
		delete(m.messages, m.now)
		for _, do := range due {
			do()
		}
		for i, r := range m.relays {
			switch {
			case r.restartsAt != 0 && m.now >= r.restartsAt:
				m.start(r)
			case r.restartsAt == 0 && (m.now+int64(i)*300)%1000 == 0:
				m.sendReport(r)
			}
		}
		if m.now%200 == 0 {
			m.controlRound()
		}
		if done != nil && done() {
			return true
		}
	}
	return false
}

// publishList delivers a new list to all relays that are not stuck, each after its own delay.
// Generation 3 simulates a restart of discovery.
func (m *model) publishList(generation uint64) {
	if m.listGeneration = generation; generation == 3 {
		m.discoveryEpoch++
	}
	epoch := m.discoveryEpoch
	for _, r := range m.relays {
		delayMS := r.listDelayMS + m.rng.Int64N(1500)
		if generation == 3 { // relays reconnect one by one
			delayMS *= 6
		}
		m.schedule(delayMS, func() {
			if !r.stuckItems[drift.ItemEndpointList] && epoch == m.discoveryEpoch && (r.observed.ListGeneration < generation || generation == 3) {
				r.observed.ListGeneration = generation
			}
		})
	}
}

func (m *model) requireNoFalseFindings(phase string) {
	m.t.Helper()
	if len(m.falseFindings) > 0 {
		m.t.Fatalf("%s: %d drift findings that were not planted, first: %s",
			phase, len(m.falseFindings), m.falseFindings[0])
	}
}

// settledModel returns a model that has run until all three items have intent, and for 20 s more, so
// that the drift monitor has learned how fast the fleet applies changes.
func settledModel(t *testing.T, seed uint64, n int) *model {
	t.Helper()
	m := newModel(t, seed, n)
	if !m.run(20_000, func() bool { return len(m.leader.record.intent.Items) == 3 }) {
		t.Fatalf("intent after 20 s: %+v, want 3 items", m.leader.record.intent)
	}
	m.run(20_000, nil)
	m.requireNoFalseFindings("at the start")
	return m
}

// TestModelPlanted: the leader finds drift of each kind, although another relay becomes leader three
// seconds after the drift began, and the finding is cleared once the drift is repaired. Guards against
// an item that relays do not report, that the leader does not expect, or whose drift a new leader
// accepts as the intended state.
func TestModelPlanted(t *testing.T) {
	proposeEjection := func(m *model) { m.propose(rollout.Command{Kind: rollout.CommandEject, Names: []string{"m1"}}) }
	for _, c := range []struct {
		item  string
		state drift.State
		plant func(m *model, r *modelRelay)
	}{
		{drift.ItemProgram, drift.Ahead, func(m *model, r *modelRelay) { r.program = "other"; m.start(r) }},
		{drift.ItemProgram, drift.Lagging, func(m *model, r *modelRelay) {
			// The relay goes back to the previous program.
			for _, x := range m.relays {
				x.program = map[bool]string{false: "p2", true: "p1"}[x == r]
				m.start(x)
			}
			m.commit(partIntent, []byte(`{"do":"adopt","who":"ann","items":{"program":"p2"}}`))
		}},
		{"config.limits", drift.Ahead, func(m *model, r *modelRelay) { r.overriddenSections["limits"] = "mine" }},
		{"config.settings", drift.Rejected, func(m *model, r *modelRelay) {
			for _, x := range m.relays {
				x.overriddenSections["settings"] = "new"
			}
			r.overriddenSections, r.rejectsConfig = map[string]string{}, true
			m.commit(partIntent, []byte(`{"do":"adopt","who":"ann","items":{"config.settings":"new"}}`))
		}},
		{drift.ItemEndpointList, drift.Lagging, func(m *model, r *modelRelay) {
			r.stuckItems[drift.ItemEndpointList] = true
			m.publishList(m.listGeneration + 1)
		}},
		{drift.ItemEjections, drift.Lagging, func(m *model, r *modelRelay) { r.stuckItems[drift.ItemEjections] = true; proposeEjection(m) }},
		{drift.ItemEjections, drift.Overridden, func(m *model, r *modelRelay) { r.observed.LocalEjections = []string{"m2"} }},
		{drift.ItemDrains, drift.Lagging, func(m *model, r *modelRelay) {
			r.stuckItems[drift.ItemDrains] = true
			m.openRelease("d", rollout.ReleaseSpec{Kind: rollout.KindMember, Drain: true, Names: []string{"m1"}})
		}},
		{drift.ItemCanaryWeights, drift.Lagging, func(m *model, r *modelRelay) {
			r.stuckItems[drift.ItemCanaryWeights] = true
			m.commit(partCanary, canary.Command{Op: canary.OpOpen, Release: "c", Spec: &canary.Spec{Release: "c", Salt: 5, Steps: []int{10}, MinAttempts: 9, MaxStepMS: 9e8,
				FalsePositiveRate: 0.1, Guardrails: []canary.Guardrail{{Metric: canary.Failures, MarginPerMille: 10}}, Target: canary.Selector{Members: []string{"m1"}}}}.Encode())
			if m.leader.record.canary.Version() == 0 {
				m.t.Fatal("canary not opened")
			}
		}},
		{drift.ItemPermits, drift.Lagging, func(m *model, r *modelRelay) {
			r.stuckItems[drift.ItemPermits] = true
			m.propose(rollout.Command{Kind: rollout.CommandRequestPermit, TargetKind: rollout.KindMember, Name: "m1", Requester: "ann", DurationMS: 600_000})
			m.run(1000, nil)
			m.propose(rollout.Command{Kind: rollout.CommandBeginPermit, PermitNumber: m.leader.record.rollout.Permits()[0].Number})
		}},
		{drift.ItemVoters, drift.Lagging, func(m *model, r *modelRelay) { r.stuckItems[drift.ItemVoters] = true }},
	} {
		t.Run(c.item+" "+c.state.String(), func(t *testing.T) {
			t.Parallel()
			for seed := range seedCount(3) {
				m := settledModel(t, seed, 5)
				r := m.relays[3]
				key := r.name + " " + c.item
				m.plantedDrift[key] = c.state
				c.plant(m, r)
				m.run(3000, nil)
				m.elect(m.relays[1])
				clear(m.foundDrift)
				from := m.now
				found := m.run(180_000, func() bool { return m.foundDrift[key] })
				m.requireNoFalseFindings("planted")
				if !found {
					t.Fatalf("seed %d: planted drift not found within 180 s; findings %+v",
						seed, m.controller.driftMonitor.Findings())
				}
				t.Logf("drift found %.1f s after the change of leader", float64(m.now-from)/1000)
				r.overriddenSections, r.stuckItems, r.rejectsConfig, r.program = maps.Clone(m.relays[0].overriddenSections), map[string]bool{}, false, m.relays[0].program
				m.start(r)
				if !m.run(120_000, func() bool {
					return m.controller.driftMonitor.FullyInSync(r.name) && m.controller.driftMonitor.StateOf(r.name, c.item) == drift.InSync
				}) {
					t.Fatalf("seed %d: not in sync 120 s after the repair; findings %+v",
						seed, m.controller.driftMonitor.Findings())
				}
				delete(m.plantedDrift, key)
				m.run(20_000, nil)
				m.requireNoFalseFindings("repaired")
			}
		})
	}
}

// TestModelRelease: releases of a program and configuration, of all relays or some, completed or rolled
// back, under two leaders and with a list that changes twice a second, cause no finding and are not
// blocked. Afterwards intent has the new values for the relays that run them. A relay that rejects the
// configuration for which it was restarted is found. Guards against a release that counts as drift.
func TestModelRelease(t *testing.T) {
	for seed := range seedCount(3) {
		m := settledModel(t, seed, 6)
		m.blockedRounds = 0
		firstHalf := []string{"n0", "n1", "n2"}
		secondHalf := []string{"n3", "n4", "n5"}
		expectOutcome := func(name string, state rollout.ReleaseState, wantN0, wantN5, wantNewRelay string) {
			from := m.now
			reachedState := m.run(300_000, func() bool {
				if m.now%500 == 0 {
					m.publishList(m.listGeneration + 1)
				}
				switch m.now - from {
				case 12_000, 72_000: // halt the release for a minute, then resume it
					m.commit(partRollout, rollout.Command{Kind: []rollout.CommandKind{rollout.CommandHalt, rollout.CommandResume}[(m.now-from)/72_000], Name: name}.Encode())
				case 15_000:
					m.elect(m.relays[(m.listGeneration+seed)%3])
				}
				return m.releaseState(name) == state
			})
			m.run(15_000, nil)
			m.requireNoFalseFindings(name)
			for relay, want := range map[string]string{"n0": wantN0, "n5": wantN5, "new relay": wantNewRelay} {
				program, _ := m.leader.record.intent.valueFor(relay, drift.ItemProgram)
				limits, _ := m.leader.record.intent.valueFor(relay, "config.limits")
				if got := program.Value + " " + limits.Value; !reachedState || got != want || m.blockedRounds > 0 {
					t.Fatalf("seed %d: release %s is %s, want %s; %d blocked rounds, want 0; intent of %s: %s, want %s",
						seed, name, m.releaseState(name), state, m.blockedRounds, relay, got, want)
				}
			}
		}
		m.openRelease("all", rollout.ReleaseSpec{Kind: rollout.KindRelay, All: true, Program: "p2", Config: "c2"})
		expectOutcome("all", rollout.ReleaseCompleted, "p2 c2l", "p2 c2l", "p2 c2l")
		m.propose(rollout.Command{Kind: rollout.CommandRollBack, Name: "all"})
		expectOutcome("all", rollout.ReleaseRolledBack, "p1 c1l", "p1 c1l", "p1 c1l")
		m.openRelease("part", rollout.ReleaseSpec{Kind: rollout.KindRelay, Names: firstHalf, Program: "p3", Config: "c3"})
		expectOutcome("part", rollout.ReleaseCompleted, "p3 c3l", "p1 c1l", "p1 c1l")
		m.propose(rollout.Command{Kind: rollout.CommandRollBack, Name: "part"})
		expectOutcome("part", rollout.ReleaseRolledBack, "p1 c1l", "p1 c1l", "p1 c1l")
		m.openRelease("again", rollout.ReleaseSpec{Kind: rollout.KindRelay, Names: firstHalf, Program: "p3", Config: "c3"})
		expectOutcome("again", rollout.ReleaseCompleted, "p3 c3l", "p1 c1l", "p1 c1l")
		if r := NewRecord(); r.Restore(1, m.leader.record.Snapshot()) != nil || string(r.Snapshot()) != string(m.leader.record.Snapshot()) || len(r.intent.PerRelay) != 3 {
			t.Fatalf("restored snapshot differs from the record, or does not have intent of its own for 3 relays: %+v",
				r.intent)
		}
		m.openRelease("rest", rollout.ReleaseSpec{Kind: rollout.KindRelay, Names: secondHalf, Program: "p3", Config: "c3"})
		expectOutcome("rest", rollout.ReleaseCompleted, "p3 c3l", "p3 c3l", "p3 c3l")
		if len(m.leader.record.intent.PerRelay) > 0 {
			t.Fatalf("intent of single relays remains after all relays got the release: %+v", m.leader.record.intent)
		}
		m.relays[5].rejectsConfig, m.plantedDrift["n5 config.settings"] = true, drift.Rejected
		m.openRelease("bad", rollout.ReleaseSpec{Kind: rollout.KindRelay, Names: secondHalf, Config: "c4"})
		if m.run(60_000, func() bool { return len(m.foundDrift) > 0 }); len(m.foundDrift) == 0 {
			t.Fatalf("seed %d: rejected configuration not found within 60 s; findings %+v",
				seed, m.controller.driftMonitor.Findings())
		}
		m.requireNoFalseFindings("rejected configuration")
	}
	if r := NewRecord(); r.Restore(1, []byte(`{"held":{},"rollout":{},"canary":{}}`)) != nil || len(r.intent.Items) > 0 {
		t.Fatalf("restored snapshot of a version without intent: intent %+v, want no error and no items", r.intent)
	}
}

// TestModelRepairs: a relay whose list is stuck blocks a drain of members, but not the release that
// restarts this relay.
func TestModelRepairs(t *testing.T) {
	m := settledModel(t, 1, 5)
	r := m.relays[3]
	m.plantedDrift["n3 list"] = drift.Lagging
	r.stuckItems[drift.ItemEndpointList] = true
	m.publishList(m.listGeneration + 1)
	if !m.run(180_000, func() bool { return m.foundDrift["n3 list"] }) {
		t.Fatal("stuck list of n3 not found within 180 s")
	}
	m.openRelease("drain", rollout.ReleaseSpec{Kind: rollout.KindMember, Drain: true, Names: []string{"m1"}})
	m.run(5000, nil)
	m.openRelease("repair", rollout.ReleaseSpec{Kind: rollout.KindRelay, All: true})
	// The drain may begin once the relay has the order to leave, as its drift no longer counts then.
	excluded := func() bool { return len(m.leader.record.rollout.Orders("").Exclusions) > 0 }
	drainedEarly := false
	completed := m.run(300_000, func() bool {
		r.stuckItems[drift.ItemEndpointList] = r.incarnation == 1
		drainedEarly = drainedEarly || excluded() && r.incarnation == 1 && m.leader.record.rollout.Orders(r.name).Leave == nil
		return m.releaseState("repair") == rollout.ReleaseCompleted
	})
	if !completed || drainedEarly || !m.run(60_000, excluded) {
		t.Fatalf("release is %s, want completed; drained before n3 was ordered to leave: %v; findings %+v",
			m.releaseState("repair"), drainedEarly, m.controller.driftMonitor.Findings())
	}
	m.requireNoFalseFindings("repaired")
}

// TestModelLists: discovery restarts at a lower generation and two relays do not notice; one relay
// reports a high generation that no other has; one is always three seconds behind lists that change
// each second. The first two and the one with the high generation are found under any leader, and no
// other relay is.
func TestModelLists(t *testing.T) {
	for seed := range seedCount(3) {
		m := settledModel(t, seed, 7)
		publishEachSecond := func(seconds int) {
			for range seconds {
				m.publishList(m.listGeneration + 1)
				m.run(1000, nil)
			}
		}
		publishEachSecond(20)
		setListsStuck := func(stuck bool) {
			for _, r := range m.relays[4:6] {
				r.stuckItems[drift.ItemEndpointList], m.plantedDrift[r.name+" list"] = stuck, drift.Lagging
			}
		}
		setListsStuck(true)
		m.publishList(3)
		m.run(9000, nil)
		publishEachSecond(40)
		if m.requireNoFalseFindings("restarted"); len(m.foundDrift) != 2 {
			t.Fatalf("drift found %+v, want the lists of n4 and n5; findings %+v",
				m.foundDrift, m.controller.driftMonitor.Findings())
		}
		clear(m.foundDrift)
		m.elect(m.relays[2])
		publishEachSecond(60)
		if m.requireNoFalseFindings("restarted, another leader"); len(m.foundDrift) != 2 {
			t.Fatalf("under a new leader: drift found %+v, want the lists of n4 and n5; findings %+v",
				m.foundDrift, m.controller.driftMonitor.Findings())
		}
		setListsStuck(false)
		m.relays[4].observed.ListGeneration, m.relays[5].observed.ListGeneration = m.listGeneration, m.listGeneration
		publishEachSecond(40)
		clear(m.plantedDrift)
		clear(m.foundDrift)
		m.plantedDrift["n4 list"] = drift.Ahead
		m.relays[4].stuckItems[drift.ItemEndpointList], m.relays[4].observed.ListGeneration = true, 1<<60
		m.relays[3].listDelayMS = 3000
		publishEachSecond(400)
		// The time that lists take must not lower the lag bound of permits.
		if m.requireNoFalseFindings("a high generation"); !m.foundDrift["n4 list"] || m.controller.driftMonitor.LagBound(drift.ItemPermits) < 15_000 {
			t.Fatalf("list of n4 found %v, want true; lag bound of permits %d ms, want at least 15000; findings %+v",
				m.foundDrift["n4 list"], m.controller.driftMonitor.LagBound(drift.ItemPermits), m.controller.driftMonitor.Findings())
		}
		if m.controller.markUnfit(&m.view); len(m.view.Unfit) > 0 {
			t.Fatalf("relays to quarantine: %v, want none for a list that is ahead", m.view.Unfit)
		}
	}
}

// TestModelBaseline: a value that only half of the relays run does not become intent. A value that more
// than half run becomes intent after a while, and the other relays then count as drifted. A single
// relay's configuration becomes intent by an operator's command.
func TestModelBaseline(t *testing.T) {
	m := newModel(t, 1, 6)
	for i := range 3 {
		m.relays[i].overriddenSections["limits"], m.relays[i].program = "x", fmt.Sprint("q", i)
		m.start(m.relays[i])
	}
	m.run(30_000, nil)
	if in := m.leader.record.intent; len(in.Items) != 1 || in.Items["config.settings"][0].Value != "c1s" {
		t.Fatalf("intent %+v, want only config.settings = c1s, as no other value has a majority", in)
	}
	delete(m.relays[2].overriddenSections, "limits")
	m.plantedDrift["n0 config.limits"], m.plantedDrift["n1 config.limits"] = drift.Ahead, drift.Ahead
	if !m.run(120_000, func() bool { return len(m.foundDrift) == 2 }) {
		t.Fatalf("drift of n0 and n1 not found within 120 s; findings %+v", m.controller.driftMonitor.Findings())
	}
	c, err := m.controller.intentFromRelay("n1", "config.limits", "ann")
	if err != nil {
		t.Fatal(err)
	}
	body, _ := json.Marshal(c)
	m.commit(partIntent, body)
	for _, r := range m.relays {
		r.overriddenSections["limits"] = "x"
	}
	if !m.run(60_000, func() bool {
		return m.controller.driftMonitor.FullyInSync("n0") && m.controller.driftMonitor.FullyInSync("n5")
	}) {
		t.Fatalf("n0 and n5 not in sync with the operator's intent within 60 s; findings %+v",
			m.controller.driftMonitor.Findings())
	}
	m.requireNoFalseFindings("intent set by an operator")
	if a := m.commit(partIntent, []byte(`{"do":"adopt","items":{"config.limits":"y"}}`)); a.Error != "" || m.leader.record.intent.Items["config.limits"][0].Value != "x" {
		t.Fatalf("late command of the controller: error %q, intent of config.limits %+v, want no error and an unchanged value x",
			a.Error, m.leader.record.intent.Items["config.limits"])
	}
	for _, bad := range []string{`{"do":"adopt","items":{"bans":"y"}}`, `{"do":"x"}`, `{"do":"adopt","items":{"program":"` + strings.Repeat("y", 200) + `"}}`,
		`{"do":"adopt","release":"none"}`, `[`} {
		if a := m.commit(partIntent, []byte(bad)); a.Error == "" {
			t.Errorf("malformed intent command accepted: %s", bad)
		}
	}
}

// TestModelQuarantine: half of the fleet drifts, and two relays may be out of service. At no time are
// more than two out, although the leader changes and a release restarts all relays, which repairs them.
// A repaired relay takes clients again, and all relays do once QuarantineDrifted is off.
func TestModelQuarantine(t *testing.T) {
	for seed := range seedCount(4) {
		m := settledModel(t, seed, 8)
		m.quarantineDrifted = true
		maxOut, restoredRelay := 0, ""
		// countOut returns how many relays are out of service and updates maxOut. It also restores the
		// configuration of relays that restart, and of restoredRelay, as their hosts do.
		countOut := func() (n int) {
			for _, r := range m.relays {
				if r.observed.Phase != RelayServing || r.restartsAt != 0 {
					n++
				}
				if r.restartsAt != 0 || r.name == restoredRelay {
					r.overriddenSections = map[string]string{}
				}
			}
			maxOut = max(maxOut, n)
			return n
		}
		requireWithin := func(condition string, ms int64, done func() bool) {
			if !m.run(ms, done) {
				t.Fatalf("seed %d: %s: not reached within %d ms: %d relays out, quarantines %+v, findings %+v, blocking drift %q",
					seed, condition, ms, countOut(), m.leader.record.rollout.Quarantines(), m.controller.driftMonitor.Findings(), m.view.Drift)
			}
		}
		for _, r := range m.relays[4:] {
			m.plantedDrift[r.name+" config.limits"] = drift.Ahead
			r.overriddenSections["limits"] = "mine"
		}
		requireWithin("two relays in quarantine", 120_000, func() bool { return countOut() == 2 })
		m.elect(m.relays[1])
		if m.run(90_000, func() bool { return countOut() < 2 }) {
			t.Fatalf("seed %d: a new leader readmits relays that still drift; unfit %+v", seed, m.view.Unfit)
		}
		restoredRelay = m.leader.record.rollout.Quarantines()[0].Name
		requireWithin("restored relay replaced by another in quarantine", 120_000, func() bool {
			all := m.leader.record.rollout.Quarantines()
			return countOut() == 2 && len(all) == 2 && all[0].Name != restoredRelay && all[1].Name != restoredRelay
		})
		m.openRelease("repair", rollout.ReleaseSpec{Kind: rollout.KindRelay, All: true})
		requireWithin("release repair completed", 600_000, func() bool { return countOut() >= 0 && m.releaseState("repair") == rollout.ReleaseCompleted })
		requireWithin("all relays readmitted after the release", 60_000, func() bool { return countOut() == 0 })
		restoredRelay = ""
		m.relays[5].overriddenSections["limits"] = "mine"
		requireWithin("one relay in quarantine again", 120_000, func() bool { return countOut() == 1 })
		// A relay in quarantine does not block the drain.
		m.openRelease("drain", rollout.ReleaseSpec{Kind: rollout.KindMember, Drain: true, Names: []string{"m1"}})
		requireWithin("member drained", 10_000, func() bool { return len(m.leader.record.rollout.Orders("").Exclusions) > 0 })
		m.quarantineDrifted = false
		requireWithin("all relays readmitted without QuarantineDrifted", 60_000, func() bool { return countOut() == 0 })
		if m.requireNoFalseFindings("quarantine"); maxOut > 2 {
			t.Fatalf("seed %d: %d relays out at once, want at most 2", seed, maxOut)
		}
	}
}

// BenchmarkEvaluateDrift evaluates 300 relays with ten sections each. The leader does this five times
// a second.
func BenchmarkEvaluateDrift(b *testing.B) {
	m := newModel(b, 1, 300)
	for _, r := range m.relays {
		for i := range 8 {
			r.overriddenSections[fmt.Sprint("section", i)] = "1f2e3d4c"
		}
	}
	m.run(20_000, nil)
	text, _ := json.Marshal(m.controller.fleet.relays["n7"].statusReport)
	b.ReportMetric(float64(len(text)), "bytes/report")
	for b.Loop() {
		m.controller.evaluateDrift(m.now, &m.view)
	}
}

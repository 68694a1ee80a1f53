package rollout

import (
	"bytes"
	"encoding/json"
	"math/rand/v2"
	"testing"
)

// tryApply applies any body. A rejected command must not change the state, and the resulting state must
// survive Encode and Decode.
func tryApply(t *testing.T, s *State, at int64, body []byte) (*State, Result) {
	before := s.Encode()
	var a Result
	if err := json.Unmarshal(s.Apply(at, "n2", body), &a); err != nil || a.Error != "" && !bytes.Equal(before, s.Encode()) {
		t.Fatalf("Apply(%s) = %+v, %v, want a Result, and an unchanged state if it has an error", body, a, err)
	}
	s.Orders("n1")
	next, err := Decode(s.Encode())
	if err != nil {
		t.Fatalf("Decode of the state after %s: %v", body, err)
	}
	return next, a
}

// TestRandomCalls applies random commands in random order: commands of a simulation with parts exchanged
// between them. What is out must never exceed the budget in the view summary of the command.
func TestRandomCalls(t *testing.T) {
	var history []appliedCommand
	sim := midRelease(2, &history)
	pool := []Command{{Kind: CommandHalt, Name: "relays"}, {Kind: CommandResume, Name: "relays"}, {Kind: CommandRollBack, Name: "relays"}, {Kind: CommandReturnPermit}, {Kind: CommandBeginPermit},
		{Kind: CommandOpen, Name: "bans", Release: &ReleaseSpec{Kind: KindEject, Eject: []string{"m1"}}}, {Kind: CommandReadmit, Name: "n2"}, {Kind: CommandReinstate, Names: []string{"m3"}}, {Kind: CommandExpirePermits, PermitNumbers: []uint64{1, 2, 3, 4, 5, 6, 7, 8}}}
	for _, o := range history {
		pool = append(pool, o.command)
	}
	accepted := map[CommandKind]int{}
	for seed := range uint64(150) {
		rng, s := rand.New(rand.NewPCG(seed, 7)), New()
		randomCommand := func() Command { return pool[rng.IntN(len(pool))] }
		for _, o := range history[:rng.IntN(len(history))] {
			s.Apply(o.proposedAt, "n1", o.command.Encode())
		}
		for range 40 {
			c, other := randomCommand(), randomCommand()
			c.PermitNumber = uint64(rng.IntN(8))
			if c.ViewSummary != nil {
				summary := *c.ViewSummary
				summary.At, c.BaseVersion, c.ViewSummary = s.record.Time, s.Version(), &summary
			}
			switch rng.IntN(5) {
			case 0:
				c.Name, c.Names, c.StartNumber = other.Name, other.Names, other.StartNumber
			case 1:
				c.Observations = other.Observations
			case 2:
				c.Kind, c.TargetKind, c.Cause = other.Kind, other.TargetKind, other.Cause
			case 3:
				c.Grants, c.Units, c.ViewSummary = other.Grants, other.Units, other.ViewSummary
			}
			out := func(kind Kind) int {
				names := map[string]bool{}
				for _, p := range s.record.plannedOut(kind) {
					names[p.Name] = true
				}
				return len(names)
			}
			relaysBefore, membersBefore, result := out(KindRelay), out(KindMember), Result{}
			if s, result = tryApply(t, s, s.record.Time+int64(rng.IntN(10)/9)*40000, c.Encode()); result.Error != "" {
				continue
			}
			if accepted[c.Kind]++; c.ViewSummary == nil {
				continue
			}
			for kind, increased := range map[Kind]bool{KindRelay: out(KindRelay) > relaysBefore, KindMember: out(KindMember) > membersBefore} {
				if counted := s.record.allowance(kind, map[Kind]KindSummary{KindRelay: c.ViewSummary.Relays, KindMember: c.ViewSummary.Members}[kind], c.ViewSummary.Budgets); increased && counted.overdrawnReason() != "" {
					t.Fatalf("%s was accepted, but overdraws its budget: %s", c.Encode(), counted.overdrawnReason())
				}
			}
		}
		for _, c := range s.Plan(sim.now, sim.view(), sim.budgets) {
			s, _ = tryApply(t, s, sim.now, c.Encode())
		}
	}
	for _, kind := range []CommandKind{CommandOpen, CommandRequestPermit, CommandBeginPermit, CommandReturnPermit, CommandHalt, CommandResume, CommandRollBack, CommandEject, CommandReinstate, CommandSetUnits, CommandStep, CommandObserve, CommandExpirePermits, CommandQuarantine, CommandReadmit} {
		if accepted[kind] == 0 {
			t.Errorf("no command %q was accepted, want at least one; accepted %v", kind, accepted)
		}
	}
}

// midRelease returns a simulation in the middle of two releases and a permit.
func midRelease(seed uint64, history *[]appliedCommand) *simulation {
	sim := newSimulation(seed, 4, 4, 2)
	sim.faultFree, sim.history = true, history
	sim.call(Command{Kind: CommandOpen, Name: "relays", Release: &ReleaseSpec{Kind: KindRelay, All: true, Program: "p2"}})
	sim.call(Command{Kind: CommandOpen, Name: "members", Release: &ReleaseSpec{Kind: KindMember, All: true}})
	sim.call(Command{Kind: CommandEject, Names: []string{"m3"}})
	sim.call(Command{Kind: CommandRequestPermit, TargetKind: KindRelay, Name: "n1", Requester: "a", DurationMS: 1000})
	for range 30 {
		sim.tick()
	}
	sim.call(Command{Kind: CommandRollBack, Name: "members"})
	sim.relays[2].unfitUntil = sim.now + 9000
	for range 20 {
		sim.tick()
	}
	return sim
}

func FuzzApply(f *testing.F) {
	var history []appliedCommand
	midRelease(2, &history)
	kinds := map[CommandKind]int{}
	for _, o := range history {
		if kinds[o.command.Kind]++; kinds[o.command.Kind] < 4 {
			f.Add(o.proposedAt, o.command.Encode(), uint16(40))
		}
	}
	f.Add(int64(-1), []byte(`{"kind":"step","gives":[{}],"sight":{}}`), uint16(0))
	f.Add(int64(1)<<62, []byte(`{"kind":"lay","before":[{"asked":1e308}]}`), uint16(9))
	f.Fuzz(func(t *testing.T, at int64, body []byte, n uint16) {
		s := New()
		for _, o := range history[:min(int(n), len(history))] {
			s.Apply(o.proposedAt, "n1", o.command.Encode())
		}
		tryApply(t, s, at, body)
	})
}

func FuzzDecode(f *testing.F) {
	for seed := range uint64(3) {
		f.Add(midRelease(seed, nil).state.Encode())
	}
	f.Add([]byte(`{"releases":[{"state":"running"}]}`))
	sim := newSimulation(1, 3, 3, 2)
	f.Fuzz(func(t *testing.T, b []byte) {
		s, err := Decode(b)
		if err != nil {
			return
		}
		s.Orders("n1")
		for _, c := range s.Plan(sim.now, sim.view(), sim.budgets) {
			s.Apply(sim.now, "n1", c.Encode())
		}
		s.Encode()
	})
}

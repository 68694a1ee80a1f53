package rollout

import (
	"slices"
	"strconv"
	"testing"
)

// TestPermitsAndReleases checks two things. A begun permit whose relay does not come back ends after the
// allowed time; the relay then counts as unavailable and a release may take it. And permit requests that
// follow one another without a pause do not block a release for good.
func TestPermitsAndReleases(t *testing.T) {
	s := New()
	b := Budgets{SilentAfterMS: 100, ViewMaxAgeMS: 100, DrainTimeoutMS: 500, StartTimeoutMS: 500, PermitWindowMS: 100, ClockDrift: 0.01}
	v := View{At: 1000}
	for i := range 4 {
		v.Relays = append(v.Relays, Relay{Name: "n" + strconv.Itoa(i), Zone: "z", StartNumber: 5, Phase: "serving", InService: true, Capacity: 100})
	}
	plan := func() {
		for _, c := range s.Plan(v.At, v, b) {
			expect(t, s, v.At, "", c)
		}
	}
	expect(t, s, v.At, PermitWaiting, Command{Kind: CommandRequestPermit, TargetKind: KindRelay, Name: "n0", Requester: "a", DurationMS: 50})
	plan()
	expect(t, s, v.At, PermitBegun, Command{Kind: CommandBeginPermit, PermitNumber: 1})
	expect(t, s, v.At, PermitBegun, Command{Kind: CommandReturnPermit, PermitNumber: 1})
	withoutN0, all := slices.Clone(v.Relays[1:]), v.Relays
	v.Relays = withoutN0 // a view without n0 does not show whether n0 is down for a while or was removed
	v.At += 1100
	plan()
	if len(s.Permits()) != 1 {
		t.Errorf("Permits() = %+v, want the begun permit: its relay may still come back", s.Permits())
	}
	v.Relays = all
	v.Relays[0].InService = false
	v.At++
	plan()
	if a := s.record.allowance(KindRelay, s.record.summarizeRelays(&v, b), b); len(s.Permits()) != 0 || !a.out["n0"] || len(a.out) != 1 {
		t.Errorf("once n0 is overdue: Permits() = %+v, out %v, want no permit and only n0 out", s.Permits(), a.out)
	}

	v.Relays[0].InService = true
	expect(t, s, v.At, ReleaseQueued, Command{Kind: CommandOpen, Name: "r", Release: &ReleaseSpec{Kind: KindRelay, Names: []string{"n3"}}})
	plan()
	orderedAt := 0
	for number := uint64(2); number < 20 && orderedAt == 0; number++ { // a permit is always waiting
		expect(t, s, v.At, PermitWaiting, Command{Kind: CommandRequestPermit, TargetKind: KindRelay, Name: "n" + strconv.Itoa(int(number%2)), Requester: "a", DurationMS: 50})
		plan()
		if s.Orders("n3").Leave != nil {
			orderedAt = int(v.At)
		} else {
			expect(t, s, v.At, "given", Command{Kind: CommandReturnPermit, PermitNumber: number})
		}
		v.At += 90
	}
	if r, _ := s.Release("r"); orderedAt == 0 || r.Halt != nil {
		t.Errorf("n3 was ordered to leave at %d (0: never), release %+v, want an order and no halt", orderedAt, r)
	}
}

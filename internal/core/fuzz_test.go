package core

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"dahliarudder/policy"
)

// FuzzCore applies random events. The downstream checks that each request has one final answer and at
// most three attempts, never two of them in flight. The recorder must receive one answer for each
// request and one end for each attempt.
func FuzzCore(f *testing.F) {
	for seed := range uint64(8) {
		f.Add(seed, uint16(400))
	}
	f.Fuzz(func(t *testing.T, seed uint64, steps uint16) {
		rng := rand.New(rand.NewPCG(seed, 1))
		h := newHarness(t, 4)
		var requests []*downstream
		states := []policy.MemberState{policy.Ready, policy.Ready, policy.Ready, policy.Draining, policy.Gone}
		results := []policy.Result{policy.OK, policy.Error, policy.Full, policy.ConnectFailed, policy.Reset}
		for range min(steps, 2000) {
			if rng.IntN(3) == 0 || len(requests) == 0 {
				requests = append(requests, h.openRequest())
			}
			d := requests[rng.IntN(len(requests))]
			switch q := h.requests[d.id]; rng.IntN(7) {
			case 0:
				if q != nil && q.member != nil {
					h.FlowEstablished(d.id, d.attempts-1)
				}
			case 1:
				if q != nil && q.member != nil {
					d.inFlight--
					h.AttemptEnded(d.id, d.attempts-1, results[rng.IntN(len(results))], policy.NoReport)
				}
			case 2:
				if rng.IntN(4) == 0 {
					h.ClientGone(d.id)
				}
			case 4:
				name := fmt.Sprint("m", rng.IntN(4))
				[]func(){func() { h.Eject(name) }, func() { h.Reinstate(name) }, h.Drain, h.Resume}[rng.IntN(4)]()
			case 3:
				changed := testMembers(4, states[rng.IntN(len(states))])[rng.IntN(4):][:1]
				h.UpdateMembers(policy.ListDelta, changed)
			default:
				h.advance(time.Duration(rng.IntN(300)) * time.Millisecond)
			}
		}
		h.Stop()
		h.Resume() // must not end the stop, only a drain
		h.advance(5 * time.Second)
		c := h.Counts
		if h.ActiveRequests() != 0 || c.Requests != len(requests) || c.Served+c.Rejected+c.Failed+c.ClientsGone != c.Requests {
			t.Errorf("%d active requests, want 0; %d requests opened, counts %+v: each must have one answer",
				h.ActiveRequests(), len(requests), c)
		}
		seen := map[string]bool{}
		for _, event := range h.records {
			if seen[event] {
				t.Errorf("recorded twice: %s", event)
			}
			seen[event] = true
		}
		if len(h.records) != c.Requests+c.Attempts {
			t.Errorf("%d records, want one for each of %d requests and %d attempts",
				len(h.records), c.Requests, c.Attempts)
		}
	})
}

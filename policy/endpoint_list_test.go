package policy

import (
	"testing"
	"time"
)

// TestDrain checks that no new request is sent to a member that drains, is gone, or is missing from
// a full list.
func TestDrain(t *testing.T) {
	list := fleet(4, 1)
	tests := []struct {
		name    string
		kind    ListKind
		members []Endpoint
	}{
		{"draining", ListDelta, []Endpoint{{ID: list[0].ID, State: Draining}}},
		{"gone", ListDelta, []Endpoint{{ID: list[0].ID, State: Gone}}},
		{"missing from a full list", ListFull, list[1:]},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newHarness(settings(), list)
			for _, m := range list[1:] {
				h.load[m.ID] = 0.6
			}
			h.submit(Request{Tenant: h.byID[list[0].ID].owner})
			h.UpdateEndpoints(h.now, tt.kind, tt.members)
			before := len(h.sends)
			for i := range 20 {
				h.now += 500 * ms
				h.submit(Request{Tenant: i % 2, Load: 0.1})
			}
			for _, s := range h.sends[before:] {
				if s.member == list[0].ID {
					t.Fatalf("sent to a member that is %s", tt.name)
				}
			}
			if len(h.sends) == before {
				t.Error("no request was sent to the remaining members")
			}
		})
	}
}

// TestDiscovery checks that the relay subscribes to the endpoint list once, after a random delay,
// and again after a failure.
func TestDiscovery(t *testing.T) {
	set := settings()
	set.Subscribe, set.CanProbe = true, false // no timers for probes
	h := newHarness(set, fleet(4, 1))
	if h.watches != 0 || len(h.timers) != 1 {
		t.Fatalf("at the start: %d subscriptions, %d timers; want 0, 1", h.watches, len(h.timers))
	}
	h.fireTimers(10 * time.Second)
	h.Balancer.Timer(h.now, tokenPoll)
	if h.watches != 1 {
		t.Fatalf("%d subscriptions after the delay, want 1", h.watches)
	}
	h.UpdateEndpoints(h.now, ListFailed, nil)
	if len(h.members) != 4 {
		t.Errorf("%d members after a failed poll, want 4", len(h.members))
	}
	h.fireTimers(20 * time.Second)
	if h.watches != 2 {
		t.Errorf("%d subscriptions after a failure, want 2", h.watches)
	}
	set.Subscribe = false
	other := newHarness(set, nil)
	if len(other.timers) != 0 {
		t.Errorf("%d timers though the endpoint list is pushed, want 0", len(other.timers))
	}
}

// TestPollRetryBound checks that a failed poll is retried within a fifth of MaxPollInterval,
// however many polls have failed.
func TestPollRetryBound(t *testing.T) {
	set := settings()
	set.Subscribe, set.CanProbe = true, false // no timers for probes
	h := newHarness(set, fleet(2, 1))
	for range 40 {
		if wait := h.timers[len(h.timers)-1].delay; wait > set.MaxPollInterval/5 {
			t.Fatalf("next poll after %v, want at most %v", wait, set.MaxPollInterval/5)
		}
		h.UpdateEndpoints(h.now, ListFailed, nil)
	}
}

// TestPollJitter checks that the first polls and the retries of many relays are spread over a time
// that grows with the number of relays, up to MaxPollInterval. Polls that arrive faster than
// discovery can serve them would all fail.
func TestPollJitter(t *testing.T) {
	set := settings()
	set.Subscribe, set.CanProbe = true, false // no timers for probes
	set.Balancers = 36
	first, last := time.Duration(0), time.Duration(0)
	for seed := range uint64(set.Balancers) {
		rec := &recorder{}
		b := New(set, seed, rec)
		b.Start()
		first = max(first, rec.timers[0].delay)
		for range 5 {
			b.UpdateEndpoints(t0, ListFailed, nil)
		}
		last = max(last, rec.timers[len(rec.timers)-1].delay)
	}
	if first < 2*time.Second || first > 3*time.Second || last < 8*time.Second || last > set.MaxPollInterval {
		t.Errorf("first polls within %v, want 2 s to 3 s; retries within %v, want 8 s to %v",
			first, last, set.MaxPollInterval)
	}
}

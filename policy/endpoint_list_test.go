package policy

import (
	"testing"
	"time"
)

// TestDrain guards rule 3: nothing new is sent to a server that drains, is gone, or is missing from a full list.
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
					t.Fatalf("sent to a server that is %s", tt.name)
				}
			}
			if len(h.sends) == before {
				t.Error("nothing was sent anywhere")
			}
		})
	}
}

// TestDiscovery: the proxy subscribes once, after a jitter, and again after a failure.
func TestDiscovery(t *testing.T) {
	set := settings()
	set.Subscribe, set.CanProbe = true, false // no timers for probes
	h := newHarness(set, fleet(4, 1))
	if h.watches != 0 || len(h.timers) != 1 {
		t.Fatalf("subscribed %d times at once, %d timers", h.watches, len(h.timers))
	}
	h.fireTimers(10 * time.Second)
	h.Balancer.Timer(h.now, tokenPoll)
	if h.watches != 1 {
		t.Fatalf("subscribed %d times, want once", h.watches)
	}
	h.UpdateEndpoints(h.now, ListFailed, nil)
	if len(h.members) != 4 {
		t.Error("a failed poll emptied the list")
	}
	h.fireTimers(20 * time.Second)
	if h.watches != 2 {
		t.Errorf("subscribed %d times after a failure, want twice", h.watches)
	}
	set.Subscribe = false
	other := newHarness(set, nil)
	if len(other.timers) != 0 {
		t.Error("a timer to subscribe, though the list is pushed")
	}
}

// TestPollRetryBound: a failed poll is retried within a fifth of the longest time that the relay may go without the list, however many have
// failed.
func TestPollRetryBound(t *testing.T) {
	set := settings()
	set.Subscribe, set.CanProbe = true, false // no timers for probes
	h := newHarness(set, fleet(2, 1))
	for range 40 {
		if wait := h.timers[len(h.timers)-1].delay; wait > set.MaxPollInterval/5 {
			t.Fatalf("polls again after %v", wait)
		}
		h.UpdateEndpoints(h.now, ListFailed, nil)
	}
}

// TestPollJitter: the more proxies there are, the wider their first polls and their retries spread, within the time allowed. Polls that
// arrive faster than they can be served would all fail.
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
		t.Errorf("the first polls are within %v, retries within %v", first, last)
	}
}

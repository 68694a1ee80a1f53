package policy

import (
	"math/rand/v2"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"
)

// TestSlices: proxies agree on the home slice of each tenant, and a change of the list moves no more of it than it must.
func TestSlices(t *testing.T) {
	set := settings()
	set.Zones = 2
	set.Tenants = []Tenant{{Share: 0.6}, {Share: 0.3}, {Share: 0.1}, {Share: 1e-6}}
	list := fleet(60, 2)
	a, b := newHarness(set, list), New(set, 99, &recorder{})
	shuffled := append([]Endpoint(nil), list...)
	rand.New(rand.NewPCG(1, 2)).Shuffle(len(shuffled), func(i, j int) {
		shuffled[i], shuffled[j] = shuffled[j], shuffled[i]
	})
	b.UpdateEndpoints(t0, ListCached, shuffled)
	ids := func(b *Balancer, tenant int) (ids []MemberID) {
		for _, m := range b.homeSlice(tenant) {
			ids = append(ids, m.ID)
		}
		return ids
	}
	for tenant := range set.Tenants {
		if got, want := ids(b, tenant), ids(a.Balancer, tenant); !reflect.DeepEqual(got, want) {
			t.Errorf("tenant %d: one proxy has %v, another %v", tenant, got, want)
		}
	}
	if n := len(ids(a.Balancer, 0)); n < 25 || n > 47 {
		t.Errorf("tenant with a share of 0.6 has %d home servers of 60", n)
	}
	if n := len(ids(a.Balancer, 3)); n != 2 {
		t.Errorf("tenant with too small a share for a server has %d home servers, want one for each zone", n)
	}
	before := ids(a.Balancer, 0)
	gone := list[0]
	gone.State = Gone
	a.UpdateEndpoints(t0, ListDelta, []Endpoint{gone})
	after := ids(a.Balancer, 0)
	for _, id := range after {
		if !slices.Contains(before, id) {
			t.Errorf("server %d joined the slice though only %d left it", id, gone.ID)
		}
	}
}

// TestPlacement: a request goes to its tenant's home slice, to a foreign server that lends capacity, or is rejected.
func TestPlacement(t *testing.T) {
	tests := []struct {
		name          string
		home, foreign float64 // load reported by the slice and by the others
		lending       float64
		want          string
	}{
		{"home has capacity", 0.2, 0.1, 1, "home"},
		{"home full, others lend", 0.9, 0.2, 1, "foreign"},
		{"home full, others over the lending threshold", 0.9, 0.5, 0.2, "rejected"},
		{"no capacity anywhere", 0.95, 0.95, 1, "rejected"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newHarness(settings(), fleet(10, 1))
			for _, m := range h.members {
				h.load[m.ID] = tt.foreign
				if h.isHome(0, m.ID) {
					h.load[m.ID] = tt.home
				}
			}
			h.lendingThresholds[1] = tt.lending
			h.foreignFlows, h.ownFlows = 50, 100 // enough flows for an estimate of the foreign share
			id := h.submit(Request{Tenant: 0, Load: 0.5})
			h.fireTimers(150 * ms)
			h.now += 350 * ms
			h.fireTimers(time.Second)
			got := "rejected"
			if member := h.memberOf(id); member != 0 {
				got = map[bool]string{true: "home", false: "foreign"}[h.isHome(0, member)]
			} else if h.answers[id] != "rejected" {
				got = "open"
			}
			if got != tt.want {
				t.Errorf("placement %s, want %s\n%s", got, tt.want, strings.Join(h.log, "\n"))
			}
		})
	}
}

// TestThresholdAdapts: requests that find their home slice full lower its lending threshold, and requests that find capacity raise it.
func TestThresholdAdapts(t *testing.T) {
	h := newHarness(settings(), fleet(10, 1))
	for _, m := range h.members {
		if h.isHome(0, m.ID) {
			h.load[m.ID] = 0.95
		}
	}
	for range 6 {
		h.now += time.Second
		h.submit(Request{Tenant: 0})
	}
	lowered := h.lendingThresholds[0]
	if lowered > 0.6 || lowered < lendMin {
		t.Errorf("threshold %v after six requests that found their home full", lowered)
	}
	for id := range h.load {
		h.load[id] = 0.1
	}
	for range 20 {
		h.now += time.Second
		h.submit(Request{Tenant: 0})
	}
	if h.lendingThresholds[0] <= lowered {
		t.Errorf("threshold stays at %v though requests find capacity at home", h.lendingThresholds[0])
	}
}

// TestForeignShare: the share of a server with few connections is shrunk towards the proxy's, that of one with many is its own.
func TestForeignShare(t *testing.T) {
	b := New(settings(), 1, &recorder{})
	b.foreignFlows, b.ownFlows = 10, 100
	few, many := &member{ownFlows: 1, foreignFlows: 1}, &member{ownFlows: 100, foreignFlows: 100}
	if got := b.foreignShare(few); got > 0.4 {
		t.Errorf("one foreign connection makes a share of %v", got)
	}
	if got := b.foreignShare(many); got < 0.9 {
		t.Errorf("a hundred foreign connections make a share of %v", got)
	}
}

// TestPickSpreads: the emptier server is preferred, but not by all proxies, which would overload it together.
func TestPickSpreads(t *testing.T) {
	set := settings()
	set.Tenants = nil
	list := fleet(2, 1)
	hits := map[MemberID]int{}
	for seed := range uint64(200) {
		rec := &recorder{}
		b := New(set, seed, rec)
		b.UpdateEndpoints(t0, ListCached, list)
		b.Request(t0, Request{ID: 1, Deadline: t0 + time.Second, Load: 0.1})
		for len(rec.probes) > 0 {
			id := rec.probes[0]
			rec.probes = rec.probes[1:]
			b.ProbeResult(t0, id, OK, Report{Connections: 10, Load: map[bool]float64{true: 0.1, false: 0.3}[id == list[0].ID], Util: -1})
		}
		hits[rec.sends[0].member]++
	}
	if a, b := hits[list[0].ID], hits[list[1].ID]; a <= b || b == 0 {
		t.Errorf("emptier server got %d, fuller one %d", a, b)
	}
}

// TestOverQuota: under load, requests of a tenant over its quota are rejected, those of the others are not.
func TestOverQuota(t *testing.T) {
	set := settings()
	set.Tenants = []Tenant{{Share: 0.5, Quota: 4}, {Share: 0.5, Quota: 100}}
	set.ProbePrice = 0
	h := newHarness(set, fleet(4, 1))
	for range 8 {
		h.now += time.Second
		h.submit(Request{Tenant: 0, Load: 0.1})
	}
	for _, m := range h.members {
		h.load[m.ID] = 0.72
		h.applyReport(h.now, m, Report{Connections: 10, Load: 0.72, Util: -1})
	}
	if id := h.submit(Request{Tenant: 0, Load: 0.1}); h.answers[id] != "rejected" {
		t.Errorf("tenant over its quota: %q, want rejected\n%s", h.answers[id], strings.Join(h.log, "\n"))
	}
	if id := h.submit(Request{Tenant: 1, Load: 0.1}); h.memberOf(id) == 0 {
		h.fireTimers(200 * ms)
		if h.memberOf(id) == 0 {
			t.Errorf("tenant within its quota not placed")
		}
	}
}

// TestPassThrough: another proxy sends packets of an open connection to the server that the first one chose, even if it is full.
func TestPassThrough(t *testing.T) {
	set := settings()
	set.PassThrough = true
	a, b := newHarness(set, fleet(20, 1)), newHarness(set, fleet(20, 1))
	first := a.memberOf(a.submit(Request{Key: 5, Load: 0.1}))
	for _, m := range b.members {
		b.load[m.ID] = 2
	}
	if got := b.memberOf(b.submit(Request{Key: 5, MidFlow: true})); got != first || first == 0 {
		t.Errorf("mid-flow packets went to %d, the connection is on %d", got, first)
	}
}

// TestAllMembersEjected: if all servers are ejected, a request is still sent to one of them.
func TestAllMembersEjected(t *testing.T) {
	h := newHarness(settings(), fleet(6, 1))
	for _, m := range h.members {
		h.recordFailure(h.now, m)
		h.recordFailure(h.now, m)
	}
	id := RequestID(1)
	h.Request(h.now, Request{ID: id, Deadline: h.now + 2*time.Second})
	for range 6 { // without an answer to any probe
		h.now += 100 * ms
		due := h.timers
		h.timers = nil
		for _, t := range due {
			if t.token&tokenMask == tokenRetry {
				h.Balancer.Timer(h.now, t.token)
			}
		}
	}
	if h.memberOf(id) == 0 {
		t.Error("nothing was sent")
	}
}

// TestLowValue: close to fillHigh there is capacity only for the class with the higher priority weight for its load, below that for both.
func TestLowValue(t *testing.T) {
	for _, tt := range []struct {
		load  float64
		class int
		sent  bool
	}{{0.7, 0, true}, {0.7, 1, true}, {0.82, 0, true}, {0.82, 1, false}} {
		h := newHarness(siteSettings()["few"], fleet(3, 1))
		for i, m := range h.members {
			h.load[m.ID], h.connections[m.ID] = tt.load, 1000
			for class, load := range []float64{0.1, 0.5} {
				h.AddExisting(h.now, Request{ID: RequestID(500 + 2*i + class), Class: class}, m.ID)
				h.Balancer.UpdateLoad(h.now, RequestID(500+2*i+class), load)
			}
		}
		id := h.submit(Request{Class: tt.class, Load: []float64{0.1, 0.5}[tt.class]})
		for range 6 {
			h.now += 2 * time.Second / 10
			for _, timer := range slices.Clone(h.timers) {
				h.Balancer.Timer(h.now, timer.token)
			}
			h.answerProbes()
		}
		if got := h.memberOf(id) != 0; got != tt.sent {
			t.Errorf("class %d at a fill of %v: sent %v", tt.class, tt.load, got)
		}
	}
}

// TestServingRelays: a proxy's part of a tenant's quota is its part of all connections, if reports have their number, and an equal part
// otherwise. A proxy that takes the connections of drained ones must not reject them.
func TestServingRelays(t *testing.T) {
	set := settings()
	set.Balancers, set.Tenants = 2, []Tenant{{Share: 0.5, Quota: 40}, {Share: 0.5, Quota: 40}}
	for name, c := range map[string]struct {
		reported float64
		over     bool
	}{"not reported": {-1, true}, "the other has as many": {30, true}, "the other is drained": {15, false}} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(set, fleet(2, 1))
			for id := range RequestID(30) {
				h.AddExisting(h.now, Request{ID: 100 + id, Load: 0.1}, h.members[id%2].ID)
			}
			for _, m := range h.members {
				h.ProbeResult(h.now, m.ID, OK, Report{Connections: c.reported, Load: 0.5, Util: -1, Backlog: -1})
			}
			if h.overQuota(0) != c.over {
				t.Errorf("over its quota %v, want %v", !c.over, c.over)
			}
		})
	}
}

// TestNoReports: without load reports connections are still placed, and spread over the servers.
func TestNoReports(t *testing.T) {
	set := settings()
	set.Reports, set.Tenants = ReportsOff, nil
	h := newHarness(set, fleet(5, 1))
	usedMembers := map[MemberID]bool{}
	for range 40 {
		h.now += 100 * ms
		usedMembers[h.memberOf(h.submit(Request{Load: 0.1}))] = true
	}
	if len(usedMembers) < 4 || usedMembers[0] {
		t.Errorf("used servers %v", usedMembers)
	}
}

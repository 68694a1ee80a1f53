package policy

import (
	"runtime"
	"testing"
	"time"
)

// TestRequestCost: what a request of a group costs in memory does not grow with the fleet: only the first few servers in the
// order of its key are looked at more than once. Guards against sorting the whole fleet for each request, which took most of a
// relay's time at 1,440 servers.
func TestRequestCost(t *testing.T) {
	const requests = 400
	cost := func(servers int) float64 {
		set := settings()
		set.Groups = true
		f := NewFacade(t0, set, 1)
		f.Observe(t0, ServerList{Kind: ListFull, Servers: fleet(servers, 2)})
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		for i := range requests {
			id := RequestID(i + 1)
			f.Pick(t0, Request{ID: id, Group: uint64(i%100 + 1), Deadline: t0 + 2*time.Second, Load: 0.01})
			f.Observe(t0, ClientGone{ID: id})
		}
		runtime.ReadMemStats(&after)
		return float64(after.TotalAlloc-before.TotalAlloc) / requests
	}
	few, many := cost(90), cost(1440)
	t.Logf("%.0f bytes for a request with 90 servers, %.0f with 1,440", few, many)
	if many > 1.4*few {
		t.Errorf("%.0f bytes for a request with 1,440 servers, %.0f with 90", many, few)
	}
}

// TestChangeCost: nor does what a change of the list costs where connections go by their groups: the tenants' slices, which
// those do not use, are not made anew for each change.
func TestChangeCost(t *testing.T) {
	const changes = 400
	cost := func(servers int) float64 {
		set := settings()
		set.Groups = true
		f := NewFacade(t0, set, 1)
		all := fleet(servers, 2)
		f.Observe(t0, ServerList{Kind: ListFull, Servers: all})
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		for i := range changes {
			changed := all[i%servers]
			changed.State = []ServerState{Draining, Ready}[i%2]
			f.Observe(t0, ServerList{Kind: ListDelta, Servers: []Server{changed}})
			f.Pick(t0, Request{ID: RequestID(i + 1), Group: 7, Deadline: t0 + 2*time.Second, Load: 0.01})
			f.Observe(t0, ClientGone{ID: RequestID(i + 1)})
		}
		runtime.ReadMemStats(&after)
		return float64(after.TotalAlloc-before.TotalAlloc) / changes
	}
	few, many := cost(90), cost(1440)
	t.Logf("%.0f bytes for a change with 90 servers, %.0f with 1,440", few, many)
	if many > 1.4*few {
		t.Errorf("%.0f bytes for a change with 1,440 servers, %.0f with 90", many, few)
	}
}

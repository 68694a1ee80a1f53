package policy

import (
	"runtime"
	"testing"
	"time"
)

// allocatedPerCall returns the bytes that one of n calls allocates on average.
func allocatedPerCall(n int, call func(i int)) float64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for i := range n {
		call(i)
	}
	runtime.ReadMemStats(&after)
	return float64(after.TotalAlloc-before.TotalAlloc) / float64(n)
}

// wantIndependentOfFleetSize checks that what an event allocates hardly grows from 90 servers to 1,440.
func wantIndependentOfFleetSize(t *testing.T, event string, allocated func(members int) float64) {
	t.Helper()
	few, many := allocated(90), allocated(1440)
	t.Logf("%.0f bytes for a %s with 90 servers, %.0f with 1,440", few, event, many)
	if many > 1.4*few {
		t.Errorf("%.0f bytes for a %s with 1,440 servers, %.0f with 90", many, event, few)
	}
}

// TestRequestCost: what a request of a group allocates does not grow with the fleet, as only the first few servers in the order of the
// group are examined more than once. Sorting the whole fleet for each request took most of a relay's time at 1,440 servers.
func TestRequestCost(t *testing.T) {
	wantIndependentOfFleetSize(t, "request", func(members int) float64 {
		set := settings()
		set.Groups = true
		f := NewFacade(t0, set, 1)
		f.Observe(t0, EndpointList{Kind: ListFull, Endpoints: fleet(members, 2)})
		return allocatedPerCall(400, func(i int) {
			id := RequestID(i + 1)
			f.Pick(t0, Request{ID: id, Group: uint64(i%100 + 1), Deadline: t0 + 2*time.Second, Load: 0.01})
			f.Observe(t0, ClientGone{ID: id})
		})
	})
}

// TestChangeCost: nor does what a change of the server list allocates on a site with groups, as the tenants' slices, which groups do not
// use, are not built for each change.
func TestChangeCost(t *testing.T) {
	wantIndependentOfFleetSize(t, "change", func(members int) float64 {
		set := settings()
		set.Groups = true
		f := NewFacade(t0, set, 1)
		all := fleet(members, 2)
		f.Observe(t0, EndpointList{Kind: ListFull, Endpoints: all})
		return allocatedPerCall(400, func(i int) {
			changed := all[i%members]
			changed.State = []MemberState{Draining, Ready}[i%2]
			f.Observe(t0, EndpointList{Kind: ListDelta, Endpoints: []Endpoint{changed}})
			f.Pick(t0, Request{ID: RequestID(i + 1), Group: 7, Deadline: t0 + 2*time.Second, Load: 0.01})
			f.Observe(t0, ClientGone{ID: RequestID(i + 1)})
		})
	})
}

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

// wantIndependentOfFleetSize checks that the bytes allocated per event grow by at most 40 % from 90
// to 1,440 members.
func wantIndependentOfFleetSize(t *testing.T, event string, allocated func(members int) float64) {
	t.Helper()
	few, many := allocated(90), allocated(1440)
	t.Logf("%.0f bytes allocated per %s with 90 members, %.0f with 1,440", few, event, many)
	if many > 1.4*few {
		t.Errorf("%.0f bytes allocated per %s with 1,440 members, %.0f with 90, want at most 1.4 "+
			"times as many", many, event, few)
	}
}

// TestRequestCost checks that the bytes allocated per request of a group do not grow with the
// fleet. Only the members that rank highest for the group are examined more than once: sorting all
// 1,440 members for each request would take most of a relay's CPU time.
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

// TestChangeCost checks that the bytes allocated per change of the endpoint list do not grow with
// the fleet on a site with groups: the tenants' home slices, which groups do not use, are not
// rebuilt for each change.
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

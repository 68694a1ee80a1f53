package rollout

import (
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
)

// Budgets are the settings by which the leader plans; all durations are in milliseconds.
type Budgets struct {
	Relays           Budget  `json:"relays"`
	Members          Budget  `json:"members"`
	CapacityReserve  float64 `json:"headroom"` // what is left must carry 1+CapacityReserve times the load
	SilentAfterMS    int64   `json:"silent"`   // without a report for longer a relay counts as lost
	FlowHoldMS       int64   `json:"hold"`     // without a report for longer a relay has no flow any more at a member that is excluded
	ViewMaxAgeMS     int64   `json:"fresh"`    // of a view when its step is applied
	DrainTimeoutMS   int64   `json:"drain"`    // that a relay or member may take to drain
	StartTimeoutMS   int64   `json:"start"`    // that it may take to serve
	WarmupMS         int64   `json:"warm"`     // the slow start of a member
	PermitWindowMS   int64   `json:"window"`   // in which a permit has to be begun
	ClockDrift       float64 `json:"clock"`    // by which part a clock may run faster or slower: 0.01
	DriftHaltMS      int64   `json:"drift"`    // View.Drift for longer halts releases
	ServiceTolerance float64 `json:"slack"`    // the part of the service that a release may cost: 0.05; beyond it and noise it halts
}

// Budget is how many may be out at once.
type Budget struct {
	Total   Limit `json:"whole"` // not set: 1
	PerZone Limit `json:"zone"`  // of what is in the zone; not set: no bound but Total
}

// Limit is a number, or a share of all. The zero value is not set.
type Limit struct {
	Count int     `json:"count,omitempty"`
	Share float64 `json:"share,omitempty"`
}

// ParseLimit reads "25%" or "2".
func ParseLimit(text string) (Limit, error) {
	if number, ok := strings.CutSuffix(text, "%"); ok {
		percent, err := strconv.ParseFloat(number, 64)
		if err != nil || !(percent > 0 && percent <= 100) {
			return Limit{}, fmt.Errorf("%q is no part between 0%% and 100%%", text)
		}
		return Limit{Share: percent / 100}, nil
	}
	n, err := strconv.Atoi(text)
	if err != nil || n < 1 {
		return Limit{}, fmt.Errorf("%q is no number from 1 up, and no part as \"25%%\"", text)
	}
	return Limit{Count: n}, nil
}

func (l Limit) isSet() bool { return l.Count > 0 || l.Share > 0 }

// resolve is how many of n. A share is rounded down: a quarter of three is none.
func (l Limit) resolve(n int) int {
	if l.Count > 0 {
		return min(l.Count, n)
	}
	return int(math.Floor(l.Share*float64(n) + 1e-9))
}

// totalLimit is how many of n may be out at once.
func (b Budget) totalLimit(n int) int {
	if !b.Total.isSet() {
		return min(1, n)
	}
	return b.Total.resolve(n)
}

// zoneLimit is how many of n in one zone may be out at once.
func (b Budget) zoneLimit(n int) int {
	if !b.PerZone.isSet() {
		return n
	}
	return b.PerZone.resolve(n)
}

// Unusable says which of the budgets can never let anything out in a fleet with so many relays and members by zone; "" if none.
func (b Budgets) Unusable(relays, members map[string]int) string {
	var problems []string
	for _, x := range []struct {
		name   string
		budget Budget
		zones  map[string]int
	}{{"relays", b.Relays, relays}, {"members", b.Members, members}} {
		total := 0
		for _, n := range x.zones {
			total += n
		}
		if total > 0 && x.budget.totalLimit(total) < 1 {
			problems = append(problems, fmt.Sprintf("%s: the budget of the whole lets none of %d out", x.name, total))
		}
		var blocked []string
		for zone, n := range x.zones {
			if n > 0 && x.budget.zoneLimit(n) < 1 {
				blocked = append(blocked, zone)
			}
		}
		slices.Sort(blocked)
		if len(blocked) > 0 {
			problems = append(problems, fmt.Sprintf("%s: the budget of a zone lets none out in %s", x.name, strings.Join(blocked, ", ")))
		}
	}
	return strings.Join(problems, "; ")
}

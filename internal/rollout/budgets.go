package rollout

import (
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
)

// Budgets are the settings that the leader plans with. All durations are in milliseconds.
type Budgets struct {
	Relays  Budget `json:"relays"`
	Members Budget `json:"members"`
	// The remaining capacity must be at least 1+CapacityReserve times the load.
	CapacityReserve float64 `json:"headroom"`
	SilentAfterMS   int64   `json:"silent"` // a relay without a report for longer counts as unavailable
	// A relay without a report for longer than FlowHoldMS has no flows left at excluded members.
	FlowHoldMS     int64 `json:"hold"`
	ViewMaxAgeMS   int64 `json:"fresh"` // greatest age of a view when a command planned from it is applied
	DrainTimeoutMS int64 `json:"drain"` // time allowed for a relay or member to drain
	StartTimeoutMS int64 `json:"start"` // time allowed from the start of a relay or member until it serves
	WarmupMS       int64 `json:"warm"`  // duration of a member's slow start
	// Time within which a granted permit must be begun, and the target of a begun one taken down.
	PermitWindowMS int64   `json:"window"`
	ClockDrift     float64 `json:"clock"` // greatest relative error of a clock's rate, such as 0.01
	DriftHaltMS    int64   `json:"drift"` // View.Drift that lasts longer halts releases
	// Share of the requested service, such as 0.05, that a release may cost before it halts; noise is
	// allowed on top.
	ServiceTolerance float64 `json:"slack"`
}

// Budget limits how many relays or members may be out at once.
type Budget struct {
	Total   Limit `json:"whole"` // if not set: 1
	PerZone Limit `json:"zone"`  // share of the zone, or a number per zone; if not set, only Total applies
}

// Limit is either a number or a share of a total. The zero value means that no limit is set.
type Limit struct {
	Count int     `json:"count,omitempty"`
	Share float64 `json:"share,omitempty"`
}

// ParseLimit parses a share such as "25%", above 0% and up to 100%, or a number from 1 such as "2".
func ParseLimit(text string) (Limit, error) {
	if number, ok := strings.CutSuffix(text, "%"); ok {
		percent, err := strconv.ParseFloat(number, 64)
		if err != nil || !(percent > 0 && percent <= 100) {
			return Limit{}, fmt.Errorf("%q is not a percentage above 0%% and up to 100%%", text)
		}
		return Limit{Share: percent / 100}, nil
	}
	n, err := strconv.Atoi(text)
	if err != nil || n < 1 {
		return Limit{}, fmt.Errorf("%q is neither a whole number from 1 up nor a percentage such as \"25%%\"", text)
	}
	return Limit{Count: n}, nil
}

func (l Limit) isSet() bool { return l.Count > 0 || l.Share > 0 }

// resolve returns the limit as a number out of n. A share is rounded down: a quarter of three is zero.
func (l Limit) resolve(n int) int {
	if l.Count > 0 {
		return min(l.Count, n)
	}
	return int(math.Floor(l.Share*float64(n) + 1e-9))
}

// totalLimit returns how many of n may be out at once in the whole fleet.
func (b Budget) totalLimit(n int) int {
	if !b.Total.isSet() {
		return min(1, n)
	}
	return b.Total.resolve(n)
}

// zoneLimit returns how many of the n in one zone may be out at once.
func (b Budget) zoneLimit(n int) int {
	if !b.PerZone.isSet() {
		return n
	}
	return b.PerZone.resolve(n)
}

// Unusable returns which budgets can never let anything go out, given the numbers of relays and members
// by zone, or "".
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
			problems = append(problems, fmt.Sprintf("%s: the total budget lets none of %d go out", x.name, total))
		}
		var blocked []string
		for zone, n := range x.zones {
			if n > 0 && x.budget.zoneLimit(n) < 1 {
				blocked = append(blocked, zone)
			}
		}
		slices.Sort(blocked)
		if len(blocked) > 0 {
			problems = append(problems, fmt.Sprintf("%s: the budget per zone lets none go out in zone %s", x.name, strings.Join(blocked, ", ")))
		}
	}
	return strings.Join(problems, "; ")
}

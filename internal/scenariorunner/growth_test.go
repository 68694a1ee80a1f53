package scenariorunner

import (
	"os"
	"strconv"
	"strings"
	"testing"
)

// growthSizesVariable names the variable for other sizes, the usual one first. By default a small pool and sixteen times as many.
const growthSizesVariable, growthSizes = "GROWTH_MEMBERS", "12,192"

// Bounds of the operators' page on what a relay may need over the same day at the usual size: a factor, what may be added,
// and what may be added for each thousand members.
var growthBounds = []struct {
	name                                 string
	value                                func(x *Result) float64
	factor, constant, perThousandMembers float64
}{
	{"processor seconds", func(x *Result) float64 { return x.Relays[0].CPU }, 1.4, 0.02, 0.03},
	{"peak memory, MB", func(x *Result) float64 { return x.Relays[0].Memory }, 1.5, 8, 4},
	{"descriptors", func(x *Result) float64 { return float64(x.Relays[0].Descriptors) }, 2, 40, 0},
	{"connections made", func(x *Result) float64 { return float64(x.Relays[0].Connections) }, 2.5, 40, 0},
	{"bytes of lists", func(x *Result) float64 { return float64(x.Relays[0].ListBytes) }, 2, 64 << 10, 500 << 10},
}

// minServedShare is the part of the usual size's service that other sizes have to reach.
const minServedShare = 0.85

// TestGrowth runs one relay with the same traffic and the same capacity of all members together, of which there are few or many. Some
// are replaced, and discovery is down for a while. What the relay needs grows no more than allowed.
func TestGrowth(t *testing.T) {
	program, config := buildRelay(t, "build"), deployedConfig(t)
	sizes := os.Getenv(growthSizesVariable)
	if sizes == "" {
		sizes = growthSizes
	}
	var baseline *Result
	for _, size := range strings.Split(sizes, ",") {
		members, err := strconv.Atoi(size)
		if err != nil {
			t.Fatal(err)
		}
		x := runWithMembers(t, members, config, program)
		if baseline == nil {
			baseline = x
		}
		for _, b := range growthBounds {
			baseValue, value := b.value(baseline), b.value(x)
			limit := b.factor*baseValue + b.constant + b.perThousandMembers*float64(members)/1000
			t.Logf("%d members: %s %.2f, at most %.2f", members, b.name, value, limit)
			if value > limit {
				t.Errorf("%d members: %s %.2f, the page allows %.2f over %.2f at the usual size", members, b.name, value, limit, baseValue)
			}
		}
		t.Logf("%d members: %.3f served", members, x.Service)
		if x.Service < minServedShare*baseline.Service {
			t.Errorf("%d members: %.3f served, %.3f at the usual size", members, x.Service, baseline.Service)
		}
		if len(x.Violations) > 0 {
			t.Errorf("%d members:\n%s", members, violationLines(x.Violations))
		}
	}
}

// runWithMembers runs the day with a number of members.
func runWithMembers(t *testing.T, members int, config, program string) *Result {
	t.Helper()
	const cores = 36.0 // of all members
	each := cores / float64(members)
	return runScenario(t, program, `{"config":%q,"seed":5,"seconds":14,"from_ms":2000,
	 "change":{"peers":null,"state":null,"counts_ms":0,"settings":{"zones":["north"],"guarantees":{"cold-ms":4000}}},
	 "relays":{"count":1},"members":{"count":%d,"cores":[%g,%g],"open_ms":1,"leave_ms":500},"discovery":{"lag_ms":100},
	 "clients":{"standing":60,"per_second":15,"stay_ms":6000,"load":[0.002,0.004],"groups":200,"line_ms":300},
	 "faults":[{"at_ms":3000,"do":"replace","who":["s*"],"part":0.1,"every_ms":%g},{"at_ms":8000,"do":"down","for_ms":2000}]}`,
		config, members, each, each, 3000/(0.1*float64(members)))
}

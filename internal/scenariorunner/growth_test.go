package scenariorunner

import (
	"os"
	"strconv"
	"strings"
	"testing"
)

// growthSizes are the numbers of members that TestGrowth runs with; the environment variable
// growthSizesVariable overrides them. The first one is the usual size, with which the others are
// compared.
const growthSizesVariable, growthSizes = "GROWTH_MEMBERS", "12,192"

// growthBounds limit what a relay may use over the same run, as documented for operators. The limit
// is the use at the usual size times factor, plus constant, plus perThousandMembers for each thousand
// members.
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

// minServedShare is the fraction of the usual size's Result.Service that other sizes have to reach.
const minServedShare = 0.85

// TestGrowth guards against a relay whose resource use grows too fast with the number of members. It
// runs one relay with the same traffic and the same total capacity, split among few or many members.
// Some members are replaced, and discovery is down for a while.
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
			t.Fatalf("%s: invalid number of members %q: %v", growthSizesVariable, size, err)
		}
		x := runWithMembers(t, members, config, program)
		if baseline == nil {
			baseline = x
		}
		for _, b := range growthBounds {
			baseValue, value := b.value(baseline), b.value(x)
			limit := b.factor*baseValue + b.constant + b.perThousandMembers*float64(members)/1000
			t.Logf("%d members: %s = %.2f, limit %.2f", members, b.name, value, limit)
			if value > limit {
				t.Errorf("%d members: %s = %.2f, want at most %.2f (%.2f at the usual size)",
					members, b.name, value, limit, baseValue)
			}
		}
		t.Logf("%d members: share of the demand served well = %.3f", members, x.Service)
		if x.Service < minServedShare*baseline.Service {
			t.Errorf("%d members: share of the demand served well = %.3f, want at least %.2f of %.3f at the usual size",
				members, x.Service, minServedShare, baseline.Service)
		}
		if len(x.Violations) > 0 {
			t.Errorf("%d members: rule violations, want none:\n%s", members, violationLines(x.Violations))
		}
	}
}

// runWithMembers runs the scenario of TestGrowth with a number of members.
func runWithMembers(t *testing.T, members int, config, program string) *Result {
	t.Helper()
	const cores = 36.0 // of all members together
	each := cores / float64(members)
	return runScenario(t, program, `{"config":%q,"seed":5,"seconds":14,"from_ms":2000,
	 "change":{"peers":null,"state":null,"counts_ms":0,"settings":{"zones":["north"],"guarantees":{"cold-ms":4000}}},
	 "relays":{"count":1},"members":{"count":%d,"cores":[%g,%g],"open_ms":1,"leave_ms":500},"discovery":{"lag_ms":100},
	 "clients":{"standing":60,"per_second":15,"stay_ms":6000,"load":[0.002,0.004],"groups":200,"line_ms":300},
	 "faults":[{"at_ms":3000,"do":"replace","who":["s*"],"part":0.1,"every_ms":%g},{"at_ms":8000,"do":"down","for_ms":2000}]}`,
		config, members, each, each, 3000/(0.1*float64(members)))
}

package scenariorunner

import (
	"fmt"
	"testing"
	"time"
)

// minServed is the share of the demand that has to be served well: in total, for each class and
// tenant, and in each third of a run. Operators require half of what a policy with a delayed view of
// the true state serves; no policy serves more than the whole demand, so half of it always suffices.
const minServed = 0.5

// maxRejecting is how long a relay may reject every request, in a series of at least minRejections.
const maxRejecting = 4 * time.Second

// TestFloors guards against a policy that neglects some clients. It runs without faults, and while
// half of the members are replaced and all relays are restarted one after another. Each class,
// tenant and third of the run has to be served, and no relay may reject every request for 4 s.
func TestFloors(t *testing.T) {
	program, config := buildRelay(t, "build"), deployedConfig(t)
	for name, faults := range map[string]string{
		"no faults":       ``,
		"rolling restart": `{"at_ms":3000,"do":"replace","who":["s*"],"part":0.5,"every_ms":1500},{"at_ms":3500,"do":"term","who":["n*"],"every_ms":2500,"for_ms":4000}`,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			x := runScenario(t, program, `{"config":%q,"seed":9,"seconds":18,"from_ms":2000,
			 "change":{"peers":null,"state":null,"counts_ms":0,"settings":{"zones":["north"],"guarantees":{"cold-ms":3000}}},
			 "relays":{"count":3},"members":{"count":8,"cores":[2,3],"open_ms":5},"front":{"ping_ms":100,"notice_ms":500},
			 "clients":{"standing":60,"per_second":20,"stay_ms":5000,"load":[0.02,0.04],"groups":50,"line_ms":300},"faults":[%s]}`, config, faults)
			parts := map[string]float64{"all": x.Service}
			for name, served := range x.ByTag {
				parts[name] = served
			}
			for third := range 3 {
				demand, served := 0.0, 0.0
				for i := third * len(x.Demand) / 3; i < (third+1)*len(x.Demand)/3; i++ {
					demand, served = demand+x.Demand[i], served+x.Served[i]
				}
				parts[fmt.Sprint("third ", third+1)] = served / demand
			}
			for name, served := range parts {
				if served < minServed {
					t.Errorf("%s: share of the demand served well = %.2f, want at least %.2f", name, served, minServed)
				}
			}
			if x.LongestRejecting > maxRejecting {
				t.Errorf("a relay rejected every request for %v, want at most %v", x.LongestRejecting, maxRejecting)
			}
			t.Logf("shares of the demand served well = %v, longest series of rejections %v, %d rule violations",
				parts, x.LongestRejecting, len(x.Violations))
			if len(x.Violations) > 0 {
				t.Errorf("rule violations, want none:\n%s", violationLines(x.Violations))
			}
		})
	}
}

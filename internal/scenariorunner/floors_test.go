package scenariorunner

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// minServed is the part of the demand that has to be served, in all, of each class, each tenant and in each third of a day on which
// members have capacity. The operators require half of what a policy serves that sees the true state late; no policy serves more
// than all.
const minServed = 0.5

// maxRejecting is for how long a relay may reject all that it gets, if that is minRejections or more.
const maxRejecting = 4 * time.Second

// TestFloors runs a calm day, and one on which members are replaced while all relays are restarted one after the other. Each class,
// tenant and third of the day is served, and no relay rejects all that it gets for 4 s.
func TestFloors(t *testing.T) {
	program, config := buildRelay(t, "build"), deployedConfig(t)
	for name, faults := range map[string]string{
		"calm": ``,
		"roll": `{"at_ms":3000,"do":"replace","who":["s*"],"part":0.5,"every_ms":1500},{"at_ms":3500,"do":"term","who":["n*"],"every_ms":2500,"for_ms":4000}`,
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
				asked, served := 0.0, 0.0
				for i := third * len(x.Demand) / 3; i < (third+1)*len(x.Demand)/3; i++ {
					asked, served = asked+x.Demand[i], served+x.Served[i]
				}
				parts[fmt.Sprint("third ", third+1)] = served / asked
			}
			for name, served := range parts {
				if served < minServed {
					t.Errorf("%s: %.2f served, at least %.2f", name, served, minServed)
				}
			}
			if x.LongestRejecting > maxRejecting {
				t.Errorf("a relay rejected all that it got for %v", x.LongestRejecting)
			}
			t.Logf("%v, longest series of rejections %v, %d rules broken", parts, x.LongestRejecting, len(x.Violations))
			if len(x.Violations) > 0 {
				t.Error(strings.TrimSpace(violationLines(x.Violations)))
			}
		})
	}
}

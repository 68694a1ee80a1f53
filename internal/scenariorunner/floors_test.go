package scenariorunner

import (
	"context"
	"fmt"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"dahliarudder/internal/scenario"
)

// floorLeast is the part of what was asked for that has to be served, in all, of each class, each tenant and in each third of
// a day with room at the members. The operators' gate wants half of what a policy serves that sees the true state late; no
// policy serves more than all.
const floorLeast = 0.5

// TestFloors: a calm day, and one on which members are replaced while all relays are restarted, one after the other: each
// class, tenant and third of the day is served, and no relay turns away all that comes to it for 4 s on end.
func TestFloors(t *testing.T) {
	program := filepath.Join(t.TempDir(), "dahliarudder")
	if out, err := exec.Command("go", "build", "-o", program, "dahliarudder/cmd/dahliarudder").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	config, err := filepath.Abs("../../deploy/peers.json")
	if err != nil {
		t.Fatal(err)
	}
	for what, faults := range map[string]string{
		"calm": ``,
		"roll": `{"at_ms":3000,"do":"replace","who":["s*"],"part":0.5,"every_ms":1500},{"at_ms":3500,"do":"term","who":["n*"],"every_ms":2500,"for_ms":4000}`,
	} {
		t.Run(what, func(t *testing.T) {
			t.Parallel()
			f, err := scenario.Decode(fmt.Appendf(nil, `{"config":%q,"seed":9,"seconds":18,"from_ms":2000,
			 "change":{"peers":null,"state":null,"counts_ms":0,"settings":{"zones":["north"],"guarantees":{"cold-ms":3000}}},
			 "relays":{"count":3},"members":{"count":8,"cores":[2,3],"open_ms":5},"front":{"ping_ms":100,"notice_ms":500},
			 "clients":{"standing":60,"per_second":20,"stay_ms":5000,"load":[0.02,0.04],"groups":50,"line_ms":300},"faults":[%s]}`, config, faults))
			if err != nil {
				t.Fatal(err)
			}
			r := &Runner{File: f, Dir: ".", Program: program, WorkDir: t.TempDir(), Progress: func(string, ...any) {}}
			x, err := r.RunVariant(context.Background(), f.Variants[0], 1, f.Seed)
			if err != nil {
				t.Fatal(err)
			}
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
				if served < floorLeast {
					t.Errorf("%s: %.2f served, at least %.2f", name, served, floorLeast)
				}
			}
			if x.LongestRejecting > maxRejecting {
				t.Errorf("a relay turned away all that came for %v", x.LongestRejecting)
			}
			t.Logf("%v, longest spell of refusals %v, %d rules broken", parts, x.LongestRejecting, len(x.Violations))
			if len(x.Violations) > 0 {
				t.Error(strings.TrimSpace(breaks(x.Violations)))
			}
		})
	}
}

package scenariorunner

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"dahliarudder/internal/scenario"
)

// growthMembers names, by hand, the sizes to play, the usual one first; here a small fleet and sixteen times as many.
const growthMembers, growthUsual = "GROWTH_MEMBERS", "12,192"

// Bounds of the operators' page on what a relay may need over the same day at the usual size: a factor, what may be added,
// and what may be added for each thousand members.
var growthBounds = []struct {
	what                 string
	of                   func(x *Result) float64
	times, plus, perMany float64
}{
	{"processor seconds", func(x *Result) float64 { return x.Relays[0].CPU }, 1.4, 0.02, 0.03},
	{"peak memory, MB", func(x *Result) float64 { return x.Relays[0].Memory }, 1.5, 8, 4},
	{"descriptors", func(x *Result) float64 { return float64(x.Relays[0].Descriptors) }, 2, 40, 0},
	{"connections made", func(x *Result) float64 { return float64(x.Relays[0].Connections) }, 2.5, 40, 0},
	{"bytes of lists", func(x *Result) float64 { return float64(x.Relays[0].ListBytes) }, 2, 64 << 10, 500 << 10},
}

// servedLeast is the part of the share served at the usual size that has to be served at the others.
const servedLeast = 0.85

// TestGrowth: one relay with the same traffic and the same capacity of all members together, of which there are few or many;
// some are replaced and discovery is down for a while. What it needs grows no more than the page allows.
func TestGrowth(t *testing.T) {
	dir := t.TempDir()
	program := filepath.Join(dir, "dahliarudder")
	if out, err := exec.Command("go", "build", "-o", program, "dahliarudder/cmd/dahliarudder").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	config, err := filepath.Abs("../../deploy/peers.json")
	if err != nil {
		t.Fatal(err)
	}
	sizes := os.Getenv(growthMembers)
	if sizes == "" {
		sizes = growthUsual
	}
	var usual *Result
	for _, size := range strings.Split(sizes, ",") {
		members, err := strconv.Atoi(size)
		if err != nil {
			t.Fatal(err)
		}
		x := grown(t, members, config, program)
		if usual == nil {
			usual = x
		}
		for _, b := range growthBounds {
			was, is := b.of(usual), b.of(x)
			most := b.times*was + b.plus + b.perMany*float64(members)/1000
			t.Logf("%d members: %s %.2f, at most %.2f", members, b.what, is, most)
			if is > most {
				t.Errorf("%d members: %s %.2f, the page allows %.2f over %.2f at the usual size", members, b.what, is, most, was)
			}
		}
		t.Logf("%d members: %.3f served", members, x.Service)
		if x.Service < servedLeast*usual.Service {
			t.Errorf("%d members: %.3f served, %.3f at the usual size", members, x.Service, usual.Service)
		}
		if len(x.Violations) > 0 {
			t.Errorf("%d members:\n%s", members, breaks(x.Violations))
		}
	}
}

// grown plays the day with so many members.
func grown(t *testing.T, members int, config, program string) *Result {
	t.Helper()
	const cores = 36.0 // of all members
	each := cores / float64(members)
	f, err := scenario.Decode(fmt.Appendf(nil, `{"config":%q,"seed":5,"seconds":14,"from_ms":2000,
	 "change":{"peers":null,"state":null,"counts_ms":0,"settings":{"zones":["north"],"guarantees":{"cold-ms":4000}}},
	 "relays":{"count":1},"members":{"count":%d,"cores":[%g,%g],"open_ms":1,"leave_ms":500},"discovery":{"lag_ms":100},
	 "clients":{"standing":60,"per_second":15,"stay_ms":6000,"load":[0.002,0.004],"groups":200,"line_ms":300},
	 "faults":[{"at_ms":3000,"do":"replace","who":["s*"],"part":0.1,"every_ms":%g},{"at_ms":8000,"do":"down","for_ms":2000}]}`,
		config, members, each, each, 3000/(0.1*float64(members))))
	if err != nil {
		t.Fatal(err)
	}
	r := &Runner{File: f, Dir: ".", Program: program, WorkDir: t.TempDir(), Progress: func(string, ...any) {}}
	x, err := r.RunVariant(context.Background(), f.Variants[0], 1, f.Seed)
	if err != nil {
		t.Fatal(err)
	}
	return x
}

package scenario

import (
	"errors"
	"fmt"
	"reflect"
	"strings"
	"testing"
	"time"
)

const validScenario = `{
 "config": "x.json", "seconds": 30, "seed": 4,
 "relays": {"count": 6}, "members": {"count": 4},
 "clients": {"per_second": 5, "standing": 20, "load": [0.01, 0.02]},
 "faults": [
  {"at_ms": 5000, "do": "kill", "who": ["n*"], "part": 0.5, "every_ms": 100, "for_ms": 2000},
  {"at_ms": 9000, "do": "cut", "from": ["n0"], "to": ["n1", "s2"], "for_ms": 500}
 ]
}`

// TestDecodeErrors checks that errors about an invalid file name the line and the key.
func TestDecodeErrors(t *testing.T) {
	if _, err := Decode([]byte(validScenario)); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ old, replacement, want string }{
		{`"seconds": 30`, `"seconds": 0`, "line 2: seconds: 0 is out of range: want 1"},
		{`"seconds": 30`, `"secs": 30`, "line 2: secs: unknown key"},
		{`"count": 6`, `"count": "six"`, "line 3: relays.count: got string, want int"},
		{`"count": 4}`, `"count": 4, "cores": [2, 1]}`, "line 3: members.cores: 2 is out of range"},
		{`"do": "kill"`, `"do": "hurt"`, `line 6: faults[0].do: unknown action "hurt", want one of`},
		{`"n*"`, `"m*"`, `line 6: faults[0].who[0]: "m*" matches none of n0 to n5`},
		{`, "s2"]`, `, "s9"]`, `line 7: faults[1].to[1]: "s9" matches none`},
		{`"part": 0.5`, `"part": 5`, "line 6: faults[0].part: 5 is out of range"},
		{`"do": "cut"`, `"do": "heal"`, "line 7: faults[1].for_ms: \"heal\" cannot be undone"},
		{`"do": "cut"`, `"do": "rough"`, `line 7: faults[1]: "rough" needs loss`},
		{`"config": "x.json", `, ``, "config: path of the relays' configuration is missing"},
		{` ]
}`, ` }
}`, "line 8: invalid character"},
	} {
		_, err := Decode([]byte(strings.Replace(validScenario, c.old, c.replacement, 1)))
		if err == nil || !errors.Is(err, ErrInvalid) || !strings.Contains(err.Error(), c.want) {
			t.Errorf("Decode with %q in place of %q: got error %v, want it to contain %q", c.replacement, c.old, err, c.want)
		}
	}
}

// TestDraw checks that the same seed gives the same plan and another seed another plan, and that a
// fault hits the configured number of targets, at the configured interval and in its zone.
func TestDraw(t *testing.T) {
	f, err := Decode([]byte(validScenario))
	if err != nil {
		t.Fatal(err)
	}
	site := Site{ClassWeights: []float64{1, 2}, TenantShares: []float64{0.5, 0.5}, Zones: []string{"a", "b"}}
	p := Draw(f, site, 4)
	if !reflect.DeepEqual(p, Draw(f, site, 4)) || reflect.DeepEqual(p.Sessions, Draw(f, site, 5).Sessions) {
		t.Error("Draw gave different plans for the same seed, or the same sessions for different seeds")
	}
	killed, started := map[string]time.Duration{}, 0
	for _, s := range p.Steps {
		switch s.Action {
		case "kill":
			killed[s.Target] = s.At
		case "start":
			if started++; s.At != killed[s.Target]+2*time.Second {
				t.Errorf("%s is killed at %v and started at %v, want a start 2 s after the kill", s.Target, killed[s.Target], s.At)
			}
		}
	}
	if len(killed) != 3 || started != 3 || p.Steps[1].At != 5100*time.Millisecond {
		t.Errorf("%d relays killed, %d started, second step at %v; want 3, 3 and 5.1s", len(killed), started, p.Steps[1].At)
	}
	if b := p.BrokenLinks(); len(b) != 3 || !b[Link{"n1", "n0"}] { // between relays, each direction is a link of its own
		t.Errorf("BrokenLinks() = %v, want 3 links, n1 to n0 among them", b)
	}
	f.Faults[0].Zone = "b"
	for _, s := range Draw(f, site, 4).Steps {
		if s.Action == "kill" && s.Target[1]%2 == 0 {
			t.Errorf("a fault of zone b kills %s, which is in zone a", s.Target)
		}
	}
	if f.Faults[0].Zone = "c"; !strings.Contains(fmt.Sprint(f.CheckZones(site.Zones)), "line 6: faults[0].zone") {
		t.Error("CheckZones does not report the unknown zone c at line 6")
	}
}

// TestService checks the served share, the worst window, the recovery time, and Peak.
func TestService(t *testing.T) {
	s := NewService(0, 40*time.Second)
	s.AddDemand(nil, 0, time.Minute)
	s.AddServed([]string{"class a"}, 0, 10*time.Second)
	s.AddServed(nil, 14*time.Second, 15*time.Second) // too short to count as recovered
	s.AddServed(nil, 17*time.Second, time.Minute)
	if v := s.Share(); v < 0.84 || v > 0.86 {
		t.Errorf("Share() = %v, want 0.84 to 0.86", v)
	}
	if v, at := s.Worst(10 * time.Second); v > 0.41 || at > 10*time.Second || at < 7*time.Second {
		t.Errorf("Worst(10s) = %v at %v, want at most 0.41, at 7s to 10s", v, at)
	}
	if recovery, ok := s.RecoveryTime(10*time.Second, 12*time.Second); !ok || recovery != 5*time.Second {
		t.Errorf("RecoveryTime(10s, 12s) = %v, %v, want 5s, true", recovery, ok)
	}
	if _, ok := s.RecoveryTime(10*time.Second, 38*time.Second); ok {
		t.Error("RecoveryTime(10s, 38s) reports a recovery, though only 2 s of the measured time are left")
	}
	p := Peak{Window: time.Second}
	for i := range 10 {
		p.Add(time.Duration(i)*250*time.Millisecond, 1)
	}
	if p.Max != 4 || p.Total != 10 {
		t.Errorf("Peak has Max %v and Total %v, want 4 and 10", p.Max, p.Total)
	}
}

// TestCompare checks that a difference is significant only if there are at least three pairs of runs
// and the difference is larger than the noise. It also checks MergePatch.
func TestCompare(t *testing.T) {
	for _, c := range []struct {
		a, b        []float64
		significant bool
	}{
		{[]float64{1, 1.1, 0.9}, []float64{2, 2.1, 1.9}, true},
		{[]float64{1, 2, 3}, []float64{2, 3, 2.5}, false},
		{[]float64{1, 5, 9}, []float64{1.3, 5.2, 9.3}, true}, // the plans differ by more than the variants
		{[]float64{1, 1}, []float64{2, 2}, false},
	} {
		if got := Compare(c.a, c.b); got.Significant != c.significant {
			t.Errorf("Compare(%v, %v) = %+v, want Significant %v", c.a, c.b, got, c.significant)
		}
	}
	const merged = `{"a":{"c":2,"e":[1]},"d":4}`
	got, err := MergePatch([]byte(`{"a":{"b":1,"c":2},"d":3}`), []byte(`{"a":{"b":null,"e":[1]},"d":4}`))
	if err != nil || string(got) != merged {
		t.Errorf("MergePatch = %s, error %v, want %s", got, err, merged)
	}
}

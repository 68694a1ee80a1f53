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

// TestDecodeErrors: every error names the line and the key.
func TestDecodeErrors(t *testing.T) {
	if _, err := Decode([]byte(validScenario)); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ old, replacement, want string }{
		{`"seconds": 30`, `"seconds": 0`, "line 2: seconds: 0 is not from 1"},
		{`"seconds": 30`, `"secs": 30`, "line 2: secs: is no key"},
		{`"count": 6`, `"count": "six"`, "line 3: relays.count: a string is no int"},
		{`"count": 4}`, `"count": 4, "cores": [2, 1]}`, "line 3: members.cores: 2 is not from"},
		{`"do": "kill"`, `"do": "hurt"`, `line 6: faults[0].do: "hurt" is none of`},
		{`"n*"`, `"m*"`, `line 6: faults[0].who[0]: "m*" matches none of n0 to n5`},
		{`, "s2"]`, `, "s9"]`, `line 7: faults[1].to[1]: "s9" matches none`},
		{`"part": 0.5`, `"part": 5`, "line 6: faults[0].part: 5 is not"},
		{`"do": "cut"`, `"do": "heal"`, "line 7: faults[1].for_ms: \"heal\" cannot be undone"},
		{`"do": "cut"`, `"do": "rough"`, "line 7: faults[1]: names nothing"},
		{`"config": "x.json", `, ``, "config: names no configuration"},
		{` ]
}`, ` }
}`, "line 8: invalid character"},
	} {
		_, err := Decode([]byte(strings.Replace(validScenario, c.old, c.replacement, 1)))
		if err == nil || !errors.Is(err, ErrInvalid) || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: %v, want %q", c.replacement, err, c.want)
		}
	}
}

// TestDraw: a seed draws the same again, another one differs, and a fault meets as many as it says, one after the other.
func TestDraw(t *testing.T) {
	f, err := Decode([]byte(validScenario))
	if err != nil {
		t.Fatal(err)
	}
	site := Site{ClassWeights: []float64{1, 2}, TenantShares: []float64{0.5, 0.5}, Zones: []string{"a", "b"}}
	p := Draw(f, site, 4)
	if !reflect.DeepEqual(p, Draw(f, site, 4)) || reflect.DeepEqual(p.Sessions, Draw(f, site, 5).Sessions) {
		t.Error("the seed does not make the draw")
	}
	killed, started := map[string]time.Duration{}, 0
	for _, s := range p.Steps {
		switch s.Action {
		case "kill":
			killed[s.Target] = s.At
		case "start":
			if started++; s.At != killed[s.Target]+2*time.Second {
				t.Errorf("%s is killed at %v and started at %v", s.Target, killed[s.Target], s.At)
			}
		}
	}
	if len(killed) != 3 || started != 3 || p.Steps[1].At != 5100*time.Millisecond {
		t.Errorf("%d killed, %d started, the second at %v", len(killed), started, p.Steps[1].At)
	}
	if b := p.BrokenLinks(); len(b) != 3 || !b[Link{"n1", "n0"}] { // datagrams have a link for each way
		t.Errorf("links %v", b)
	}
	f.Faults[0].Zone = "b"
	for _, s := range Draw(f, site, 4).Steps {
		if s.Action == "kill" && s.Target[1]%2 == 0 {
			t.Errorf("%s is not in b", s.Target)
		}
	}
	if f.Faults[0].Zone = "c"; !strings.Contains(fmt.Sprint(f.CheckZones(site.Zones)), "line 6: faults[0].zone") {
		t.Error("a zone that is not there is not refused")
	}
}

// TestService: shares, the worst span, and the time until service is back for good.
func TestService(t *testing.T) {
	s := NewService(0, 40*time.Second)
	s.AddDemand(nil, 0, time.Minute)
	s.AddServed([]string{"class a"}, 0, 10*time.Second)
	s.AddServed(nil, 14*time.Second, 15*time.Second) // for too short a time
	s.AddServed(nil, 17*time.Second, time.Minute)
	if v := s.Share(); v < 0.84 || v > 0.86 {
		t.Errorf("whole %v", v)
	}
	if v, at := s.Worst(10 * time.Second); v > 0.41 || at > 10*time.Second || at < 7*time.Second {
		t.Errorf("worst %v at %v", v, at)
	}
	if recovery, ok := s.RecoveryTime(10*time.Second, 12*time.Second); !ok || recovery != 5*time.Second {
		t.Errorf("back after %v, %v", recovery, ok)
	}
	if _, ok := s.RecoveryTime(10*time.Second, 38*time.Second); ok {
		t.Error("back for good within two seconds")
	}
	p := Peak{Window: time.Second}
	for i := range 10 {
		p.Add(time.Duration(i)*250*time.Millisecond, 1)
	}
	if p.Max != 4 || p.Total != 10 {
		t.Errorf("peak %v of %v", p.Max, p.Total)
	}
}

// TestCompare: a difference counts from three plays on, where it is more than chance makes.
func TestCompare(t *testing.T) {
	for _, c := range []struct {
		a, b        []float64
		significant bool
	}{
		{[]float64{1, 1.1, 0.9}, []float64{2, 2.1, 1.9}, true},
		{[]float64{1, 2, 3}, []float64{2, 3, 2.5}, false},
		{[]float64{1, 5, 9}, []float64{1.3, 5.2, 9.3}, true}, // draws that differ by more than the variants
		{[]float64{1, 1}, []float64{2, 2}, false},
	} {
		if got := Compare(c.a, c.b); got.Significant != c.significant {
			t.Errorf("%v against %v: %+v", c.b, c.a, got)
		}
	}
	if got, err := MergePatch([]byte(`{"a":{"b":1,"c":2},"d":3}`), []byte(`{"a":{"b":null,"e":[1]},"d":4}`)); err != nil || string(got) != `{"a":{"c":2,"e":[1]},"d":4}` {
		t.Errorf("merged to %s, %v", got, err)
	}
}

package canary

import (
	"encoding/hex"
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"testing"

	"dahliarudder/internal/encodingtest"
)

// TestEncodedForms checks that the encoded forms in the record, in messages between relays and in HTTP
// answers are byte for byte those of an earlier version. It also compares the trace of a simulation.
func TestEncodedForms(t *testing.T) {
	var lines []string
	for _, value := range []any{&Spec{}, &Canary{}, &Weight{}, &Command{}, &Notice{}, &Verdict{}, &storedState{}} {
		var counter encodingtest.Counter
		counter.Fill(value)
		text, err := json.Marshal(value)
		if err != nil {
			t.Fatalf("encode %T: %v", value, err)
		}
		lines = append(lines, string(text))
	}
	c := NewCollector(5, 6)
	var counter encodingtest.Counter
	counter.Fill(c.Tally(Stratum{Class: 1, Zone: 2, WarmingUp: true, Load: 3}, true))
	counter.Fill(c.Tally(Stratum{Class: 1}, false))
	lines = append(lines, hex.EncodeToString(c.AppendReport(nil, 1400)))
	sim := newSimulation(1, defect{extraFailureRate: 0.05})
	for range 60 {
		sim.step()
	}
	sim.judge.Verdict(sim.now)
	lines = append(lines, hex.EncodeToString(sim.judge.encodeCheckpoint()), fmt.Sprintf("%x", sim.trace))
	got := strings.Join(lines, "\n") + "\n"
	want, err := os.ReadFile("testdata/forms.txt")
	if err != nil {
		t.Fatal(err)
	}
	if got != string(want) {
		t.Errorf("encoded forms changed: got\n%s\nwant those of an earlier version:\n%s", got, want)
	}
}

package drift

import (
	"encoding/hex"
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"testing"

	"dahliarudder/internal/encodingtest"
)

// TestEncodedForms compares the encoded forms that are stored in the record, sent between relays or
// shown in HTTP answers with those of an earlier version, in testdata/forms.txt.
func TestEncodedForms(t *testing.T) {
	var lines []string
	for _, value := range []any{&Item{}, &Counts{}} {
		var counter encodingtest.Counter
		counter.Fill(value)
		text, err := json.Marshal(value)
		if err != nil {
			t.Fatal(err)
		}
		lines = append(lines, string(text))
	}
	for s := InSync; s <= Unknown+1; s++ {
		text, err := json.Marshal(s)
		if err != nil {
			t.Fatal(err)
		}
		lines = append(lines, string(text))
	}
	var counter encodingtest.Counter
	var report Report
	counter.Fill(&report)
	var reply Reply
	counter.Fill(&reply)
	lines = append(lines, hex.EncodeToString(report.Encode()), hex.EncodeToString(reply.Encode()), fmt.Sprintf("%x", DigestOf(report.Items)))
	sim := newSimulation(7, 12, 24)
	sim.plant(sim.relays[3], ItemEjections, Lagging, false)
	sim.disturb(120_000)
	lines = append(lines, fmt.Sprintf("%d bytes, %x", sim.bytes, sim.trace))
	got := strings.Join(lines, "\n") + "\n"
	want, err := os.ReadFile("testdata/forms.txt")
	if err != nil {
		t.Fatal(err)
	}
	if got != string(want) {
		t.Errorf("encoded forms differ from testdata/forms.txt:\ngot:\n%s\nwant:\n%s", got, want)
	}
}

package line

import (
	"fmt"
	"io"
	"strings"
	"testing"

	"github.com/sirupsen/logrus"
)

// warnings is a logrus hook that keeps the cause and the number of clients of each warning.
type warnings []string

func (*warnings) Levels() []logrus.Level { return []logrus.Level{logrus.WarnLevel} }
func (w *warnings) Fire(e *logrus.Entry) error {
	*w = append(*w, fmt.Sprint(e.Data["cause"], ": ", e.Data["clients"]))
	return nil
}

// TestMalformedLogged checks that malformed first lines are counted by cause, that the first of each
// cause is logged, and that later ones are logged as a number at most once per rejectionLogInterval.
func TestMalformedLogged(t *testing.T) {
	g := newRig(t, 1)
	var logged warnings
	g.Log.SetOutput(io.Discard)
	g.Log.AddHook(&logged)
	send := func(text string) {
		t.Helper()
		c := g.Dial(g.addr)
		c.Send(text)
		c.ExpectLines("ERR")
		c.Close()
	}
	for range 50 {
		send("HELLO\r\n")
		send("OPEN 00000000000000aa 00000000000000bb c=none,t=water\r\n")
	}
	if got := strings.Join(logged, ", "); got != "not OPEN: 1, class: 1" {
		t.Errorf("warnings are %q, want one for the first client of each cause", got)
	}
	if n := malformedCounts(g.front); n["not OPEN"] != 50 || n["class"] != 50 || len(n) != 2 {
		t.Errorf("counts by cause = %v, want 50 for not OPEN and 50 for class", n)
	}
	g.Advance(rejectionLogInterval)
	send("HELLO\r\n")
	send("HELLO\r\n")
	if got := strings.Join(logged, ", "); got != "not OPEN: 1, class: 1, not OPEN: 50" {
		t.Errorf("warnings are %q, want one more for 50 clients after rejectionLogInterval", got)
	}
}

// TestMalformedCauses checks that the error for a malformed line is short, whatever a client sends,
// and that each cause has a name of its own.
func TestMalformedCauses(t *testing.T) {
	for name, text := range malformedLines {
		line := strings.TrimSuffix(text, "\r\n")
		g := newRig(t, 0)
		_, err := parseOpen(g.Core.Settings, line)
		if err == nil {
			continue // only the line's end is malformed, which parseOpen does not see
		}
		if len(err.Error()) > 200 {
			t.Errorf("%s: the error has %d bytes, want at most 200", name, len(err.Error()))
		}
	}
	seen := map[string]bool{}
	for c := range causeCount {
		if name := c.String(); name == "" || seen[name] {
			t.Errorf("cause(%d).String() = %q, want a name of its own", c, name)
		} else {
			seen[name] = true
		}
	}
}

// malformedCounts returns the number of rejected clients by cause, without the causes that have none.
func malformedCounts(f *Front) map[string]uint64 {
	counts := map[string]uint64{}
	for c, r := range f.rejections {
		if r.count > 0 {
			counts[cause(c).String()] = r.count
		}
	}
	return counts
}

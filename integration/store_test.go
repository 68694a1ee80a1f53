package integration

import (
	"fmt"
	"io"
	"strings"
	"testing"
)

// TestPostgres: each final answer and each attempt is recorded; while the store
// fails new requests are rejected, and what was served before is not lost.
func TestPostgres(t *testing.T) {
	p := newPostgres(t)
	s := newSite(t, 3, map[string]any{"store": map[string]any{"driver": "postgres", "dsn": p.dsn()}})
	s.backends[0].SetMode("err")
	for n := range 10 {
		c := s.open(n, "")
		if answer := c.line(); strings.HasPrefix(answer, "UP ") {
			c.say("END")
			c.want("BYE")
		}
		c.want(io.EOF.Error())
	}
	until(t, "ten answers", func() bool { return len(p.table("requests")) == 10 })
	p.setDown(true)
	n := 100
	until(t, "a reject", func() bool {
		n++
		c := s.open(n, "")
		answer := c.line()
		if strings.HasPrefix(answer, "UP ") {
			c.say("END")
			c.want("BYE")
		}
		return strings.HasPrefix(answer, "BUSY ") && strings.Contains(s.log.String(), "the store fails")
	})
	attempts := s.backends[1].firstLines()
	s.open(999, "").want("BUSY ")
	if got := s.backends[1].firstLines(); len(got) != len(attempts) {
		t.Error("a request was sent on that nothing records")
	}
	p.setDown(false)
	until(t, "service again", func() bool { n++; return strings.HasPrefix(s.open(n, "").line(), "UP ") })
	s.stop()
	names, tries := map[string]int{}, 0
	for _, row := range p.table("requests") {
		names[row[2]]++
		var n int
		fmt.Sscan(row[6], &n)
		tries += n
	}
	for n := range 10 {
		if names[fmt.Sprintf("%016x", n)] != 1 {
			t.Errorf("request %d recorded %d times", n, names[fmt.Sprintf("%016x", n)])
		}
	}
	if names[fmt.Sprintf("%016x", 999)] != 1 || len(names) != len(p.table("requests")) {
		t.Errorf("recorded %v", names)
	}
	if got := len(p.table("attempts")); got != tries {
		t.Errorf("%d attempts recorded, %d counted", got, tries)
	}
	checkTries(t, s.tries)
}

// TestStoreMissing: a relay that cannot reach its store does not start.
func TestStoreMissing(t *testing.T) {
	d := newDiscovery(t)
	path := configure(t, d, map[string]any{"store": map[string]any{"driver": "sqlite", "dsn": "/nowhere/at/all/record.db"}})
	out, err := run("serve", "--config", path)
	if err == nil || !strings.Contains(out, "store") {
		t.Errorf("%v, %s", err, out)
	}
}

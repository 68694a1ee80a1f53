package integration

import (
	"strings"
	"testing"
)

// fullSockets is a limit of descriptors that a test's clients can exhaust.
const fullSockets = 100

func newFull(t *testing.T, members int) (*site, int) {
	t.Helper()
	s := newSite(t, members, map[string]any{"limits": map[string]any{"cores": 1, "memory_mb": 32, "sockets": fullSockets}})
	until(t, "the first watch", func() bool { return s.d.Calls() > 1 })
	return s, s.descriptors()
}

// returns has discovery come back and lets a member drain there: the clients of its flows are moved once the relay has reached it.
func (s *site) returns(stands *client, b *backend) {
	s.t.Helper()
	s.d.SetDown(false)
	s.d.SetLifecycle(b.id, "DRAINING")
	stands.want("MOVE")
}

// serves waits until a request is served, and ends it.
func (s *site) serves(from int) {
	s.t.Helper()
	n := from
	until(s.t, "service", func() bool {
		n++
		c := s.open(n, "")
		defer c.Close()
		return strings.HasPrefix(c.line(), "UP ")
	})
}

// TestCrossingFullIdle: clients that say nothing, ask for readiness and stay, or send half a line, fill the descriptors while discovery is down. Once it
// is back the relay reaches it and its members, while they stay.
func TestCrossingFullIdle(t *testing.T) {
	t.Parallel()
	s, before := newFull(t, 2)
	stands := s.open(1, "")
	b := s.holder(stands.want("UP "))
	s.d.SetDown(true)
	s.logged("discovery call failed")
	var idle []*client
	for n := range 3 * fullSockets {
		c := s.dial()
		idle = append(idle, c)
		switch n % 3 {
		case 1:
			c.say("PING")
		case 2:
			c.Write([]byte("OPEN 00000000"))
		}
	}
	s.returns(stands, b)
	s.serves(100)
	if held := s.descriptors(); held > fullSockets {
		t.Errorf("%d descriptors of %d", held, fullSockets)
	}
	for _, c := range idle {
		c.Close()
	}
	s.settled(before)
	checkTries(t, s.tries)
	s.stop()
}

// TestCrossingFullOpen: open flows fill the descriptors while discovery is down, and clients that are turned away stay as long as they may. Once it
// is back the relay reaches it; service resumes when clients go.
func TestCrossingFullOpen(t *testing.T) {
	t.Parallel()
	s, before := newFull(t, 2)
	stands := s.open(1, "")
	b := s.holder(stands.want("UP "))
	var all []*client
	turned := 0
	for n := range fullSockets {
		c := s.open(100+n, "")
		all = append(all, c)
		if !strings.HasPrefix(c.line(), "UP ") {
			turned++
		}
	}
	if turned == 0 || turned == fullSockets {
		t.Fatalf("%d of %d were turned away", turned, fullSockets)
	}
	s.d.SetDown(true)
	s.logged("discovery call failed")
	for n := range fullSockets {
		all = append(all, s.open(1000+n, "")) // not read
	}
	s.returns(stands, b)
	if held := s.descriptors(); held > fullSockets {
		t.Errorf("%d descriptors of %d", held, fullSockets)
	}
	for _, c := range all {
		c.Close()
	}
	s.serves(2000)
	s.settled(before)
	checkTries(t, s.tries)
	s.stop()
}

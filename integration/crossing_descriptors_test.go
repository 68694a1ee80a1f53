package integration

import (
	"strings"
	"testing"
)

// fullSockets is a limit of descriptors that a test's clients can exhaust.
const fullSockets = 100

func newFullRig(t *testing.T, members int) (*lineRig, int) {
	t.Helper()
	s := newLineRig(t, members, map[string]any{"limits": map[string]any{"cores": 1, "memory_mb": 32, "sockets": fullSockets}})
	waitFor(t, "the first watch", func() bool { return s.d.Calls() > 1 })
	return s, s.descriptors()
}

// returnAndDrain brings discovery back and lets a member drain there. The clients of its flows are moved once the relay has
// reached discovery.
func (s *lineRig) returnAndDrain(stands *client, b *backend) {
	s.t.Helper()
	s.d.SetDown(false)
	s.d.SetLifecycle(b.id, "DRAINING")
	stands.wantLine("MOVE")
}

// waitServed waits until a request is served, and ends it.
func (s *lineRig) waitServed(from int) {
	s.t.Helper()
	n := from
	waitFor(s.t, "service", func() bool {
		n++
		c := s.openFlow(n, "")
		defer c.Close()
		return strings.HasPrefix(c.line(), "UP ")
	})
}

// TestCrossingFullIdle: clients that send nothing, check readiness and stay, or send half a line, fill the descriptors while
// discovery is down. Once it is back the relay reaches it and its members, while these clients stay.
func TestCrossingFullIdle(t *testing.T) {
	t.Parallel()
	s, before := newFullRig(t, 2)
	stands := s.openFlow(1, "")
	b := s.memberOfFlow(stands.wantLine("UP "))
	s.d.SetDown(true)
	s.waitLogged("discovery call failed")
	var idle []*client
	for n := range 3 * fullSockets {
		c := s.dial()
		idle = append(idle, c)
		switch n % 3 {
		case 1:
			c.send("PING")
		case 2:
			c.Write([]byte("OPEN 00000000"))
		}
	}
	s.returnAndDrain(stands, b)
	s.waitServed(100)
	if held := s.descriptors(); held > fullSockets {
		t.Errorf("%d descriptors of %d", held, fullSockets)
	}
	for _, c := range idle {
		c.Close()
	}
	s.waitDescriptorsReleased(before)
	checkAttemptCounter(t, s.tries)
	s.stop()
}

// TestCrossingFullOpen: open flows fill the descriptors while discovery is down, and rejected clients stay as long as they may.
// Once discovery is back the relay reaches it; service resumes when clients go.
func TestCrossingFullOpen(t *testing.T) {
	t.Parallel()
	s, before := newFullRig(t, 2)
	stands := s.openFlow(1, "")
	b := s.memberOfFlow(stands.wantLine("UP "))
	var all []*client
	turned := 0
	for n := range fullSockets {
		c := s.openFlow(100+n, "")
		all = append(all, c)
		if !strings.HasPrefix(c.line(), "UP ") {
			turned++
		}
	}
	if turned == 0 || turned == fullSockets {
		t.Fatalf("%d of %d were turned away", turned, fullSockets)
	}
	s.d.SetDown(true)
	s.waitLogged("discovery call failed")
	for n := range fullSockets {
		all = append(all, s.openFlow(1000+n, "")) // not read
	}
	s.returnAndDrain(stands, b)
	if held := s.descriptors(); held > fullSockets {
		t.Errorf("%d descriptors of %d", held, fullSockets)
	}
	for _, c := range all {
		c.Close()
	}
	s.waitServed(2000)
	s.waitDescriptorsReleased(before)
	checkAttemptCounter(t, s.tries)
	s.stop()
}

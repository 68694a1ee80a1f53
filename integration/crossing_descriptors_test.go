package integration

import (
	"strings"
	"testing"
)

// smallSocketLimit is a limit of descriptors that a test's clients can exhaust.
const smallSocketLimit = 100

func newSocketLimitRig(t *testing.T, members int) (*lineRig, int) {
	t.Helper()
	s := newLineRig(t, members, map[string]any{"limits": map[string]any{"cores": 1, "memory_mb": 32, "sockets": smallSocketLimit}})
	waitFor(t, "the first watch", func() bool { return s.d.Calls() > 1 })
	return s, s.descriptors()
}

// restoreDiscoveryAndDrain brings discovery back and lets a member drain there. The clients of its flows are moved once the relay has
// reached discovery.
func (s *lineRig) restoreDiscoveryAndDrain(flow *client, drained *fakeMember) {
	s.t.Helper()
	s.d.SetDown(false)
	s.d.SetLifecycle(drained.id, "DRAINING")
	flow.wantLine("MOVE")
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

// TestCrossingDescriptorsIdleClients: clients that send nothing, check readiness and stay, or send half a line, fill the descriptors while
// discovery is down. Once it is back the relay reaches it and its members, while these clients stay.
func TestCrossingDescriptorsIdleClients(t *testing.T) {
	t.Parallel()
	s, before := newSocketLimitRig(t, 2)
	flow := s.openFlow(1, "")
	b := s.memberOfFlow(flow.wantLine("UP "))
	s.d.SetDown(true)
	s.waitLogged("discovery call failed")
	var idle []*client
	for n := range 3 * smallSocketLimit {
		c := s.dial()
		idle = append(idle, c)
		switch n % 3 {
		case 1:
			c.send("PING")
		case 2:
			c.Write([]byte("OPEN 00000000"))
		}
	}
	s.restoreDiscoveryAndDrain(flow, b)
	s.waitServed(100)
	if open := s.descriptors(); open > smallSocketLimit {
		t.Errorf("%d descriptors of %d", open, smallSocketLimit)
	}
	for _, c := range idle {
		c.Close()
	}
	s.waitDescriptorsReleased(before)
	checkAttemptCounter(t, s.attemptCounter)
	s.stop()
}

// TestCrossingDescriptorsOpenFlows: open flows fill the descriptors while discovery is down, and rejected clients stay as long as they may.
// Once discovery is back the relay reaches it; service resumes when clients go.
func TestCrossingDescriptorsOpenFlows(t *testing.T) {
	t.Parallel()
	s, before := newSocketLimitRig(t, 2)
	flow := s.openFlow(1, "")
	b := s.memberOfFlow(flow.wantLine("UP "))
	var all []*client
	rejected := 0
	for n := range smallSocketLimit {
		c := s.openFlow(100+n, "")
		all = append(all, c)
		if !strings.HasPrefix(c.line(), "UP ") {
			rejected++
		}
	}
	if rejected == 0 || rejected == smallSocketLimit {
		t.Fatalf("%d of %d were turned away", rejected, smallSocketLimit)
	}
	s.d.SetDown(true)
	s.waitLogged("discovery call failed")
	for n := range smallSocketLimit {
		all = append(all, s.openFlow(1000+n, "")) // not read
	}
	s.restoreDiscoveryAndDrain(flow, b)
	if open := s.descriptors(); open > smallSocketLimit {
		t.Errorf("%d descriptors of %d", open, smallSocketLimit)
	}
	for _, c := range all {
		c.Close()
	}
	s.waitServed(2000)
	s.waitDescriptorsReleased(before)
	checkAttemptCounter(t, s.attemptCounter)
	s.stop()
}

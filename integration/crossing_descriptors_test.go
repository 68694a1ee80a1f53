package integration

import (
	"strings"
	"testing"
)

// smallSocketLimit is a descriptor limit that the clients of one test can exhaust.
const smallSocketLimit = 100

func newSocketLimitRig(t *testing.T, members int) (*lineRig, int) {
	t.Helper()
	s := newLineRig(t, members, map[string]any{"limits": map[string]any{"cores": 1, "memory_mb": 32, "sockets": smallSocketLimit}})
	waitFor(t, "the first watch at discovery", func() bool { return s.d.Calls() > 1 })
	return s, s.descriptors()
}

// restoreDiscoveryAndDrain makes discovery available again, lists the member of flow there as draining
// and waits until the client of flow gets MOVE. This shows that the relay has reached discovery.
func (s *lineRig) restoreDiscoveryAndDrain(flow *client, drained *fakeMember) {
	s.t.Helper()
	s.d.SetDown(false)
	s.d.SetLifecycle(drained.id, "DRAINING")
	flow.wantLine("MOVE")
}

// waitServed sends requests, numbered after from, until one is accepted, and closes each.
func (s *lineRig) waitServed(from int) {
	s.t.Helper()
	n := from
	waitFor(s.t, "a request to be accepted", func() bool {
		n++
		c := s.openFlow(n, "")
		defer c.Close()
		return strings.HasPrefix(c.line(), "UP ")
	})
}

// TestCrossingDescriptorsIdleClients guards against a relay that cannot reach discovery or its members
// because clients have taken all descriptors. While discovery is down, clients exhaust the limit: a
// third of them sends nothing, a third sends PING and stays, a third sends half a line. When discovery
// is back, the relay must reach it and the members although these clients stay.
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
		t.Errorf("the relay has %d open descriptors, want at most %d", open, smallSocketLimit)
	}
	for _, c := range idle {
		c.Close()
	}
	s.waitDescriptorsReleased(before)
	checkAttemptCounter(t, s.attemptCounter)
	s.stop()
}

// TestCrossingDescriptorsOpenFlows guards against a relay that cannot reach discovery because open flows
// have taken all descriptors. Flows exhaust the limit before discovery goes down, and further clients,
// which do not read their rejection, stay connected as long as the relay lets them. When discovery is
// back, the relay must reach it; requests are accepted again once the clients leave.
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
		t.Fatalf("%d of %d requests were rejected, want some but not all", rejected, smallSocketLimit)
	}
	s.d.SetDown(true)
	s.waitLogged("discovery call failed")
	for n := range smallSocketLimit {
		all = append(all, s.openFlow(1000+n, "")) // the answer is not read
	}
	s.restoreDiscoveryAndDrain(flow, b)
	if open := s.descriptors(); open > smallSocketLimit {
		t.Errorf("the relay has %d open descriptors, want at most %d", open, smallSocketLimit)
	}
	for _, c := range all {
		c.Close()
	}
	s.waitServed(2000)
	s.waitDescriptorsReleased(before)
	checkAttemptCounter(t, s.attemptCounter)
	s.stop()
}

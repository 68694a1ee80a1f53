package integration

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"dahliarudder/internal/fakes"
)

// pushedListSettings are the settings for pushed endpoint lists: an agent on the relay's host receives
// the lists, and every change counts as delivered once the agent has it, even if no watch is open.
var pushedListSettings = json.RawMessage(strings.Replace(settingsText, `"discovery":"subscribe"`, `"discovery":"automatic"`, 1))

// newPushedListRig returns a relay with members that accept all attempts. The agent lists the first member
// with the given lifecycle; the endpoint list in the relay's configuration has it as serving.
func newPushedListRig(t *testing.T, lifecycle string) *scriptedRig {
	t.Helper()
	s := &scriptedRig{}
	var list []member
	s.members, list = newScriptedMembers(t, 2, fakes.NewAttemptCounter())
	s.attemptCounter = s.members[0].attempts
	for _, m := range s.members {
		m.setAutoAccept(true)
	}
	s.d = newDiscovery(t, list...)
	config := configure(t, s.d, map[string]any{"settings": pushedListSettings})
	s.d.SetLifecycle(s.members[0].id, lifecycle)
	s.relay = start(t, config, 1)
	return s
}

// wantFirstMemberUnused waits until the grace is over, sends requests, and checks that none reaches the
// first member.
func (s *scriptedRig) wantFirstMemberUnused(from int) {
	s.t.Helper()
	time.Sleep(drainGrace + socketTolerance)
	before := len(s.members[0].arrivals())
	for n := range 12 {
		c := s.openWithDeadline(from+n, 2*time.Second)
		c.wantLine("UP " + s.members[1].id)
		c.Close()
	}
	if sent := len(s.members[0].arrivals()) - before; sent > 0 {
		s.t.Errorf("%d requests went to the draining member, want 0", sent)
	}
}

// TestPushedEndpointLists: with pushed lists, a change must take effect as soon as the agent has it: when a
// process starts, while it runs, and when the agent returns after an outage.
func TestPushedEndpointLists(t *testing.T) {
	t.Parallel()
	t.Run("at start", func(t *testing.T) {
		t.Parallel()
		newPushedListRig(t, "DRAINING").wantFirstMemberUnused(100)
	})
	t.Run("while running", func(t *testing.T) {
		t.Parallel()
		s := newPushedListRig(t, "SERVING")
		waitFor(t, "a watch at discovery", func() bool { return s.d.Calls() > 1 })
		s.d.SetLifecycle(s.members[0].id, "DRAINING")
		s.wantFirstMemberUnused(100)
	})
	t.Run("after an outage", func(t *testing.T) {
		t.Parallel()
		s := newPushedListRig(t, "SERVING")
		waitFor(t, "a watch at discovery", func() bool { return s.d.Calls() > 1 })
		s.d.SetDown(true)
		calls := s.d.Calls()
		waitFor(t, "several failed calls to discovery", func() bool { return s.d.Calls() > calls+8 })
		s.d.SetLifecycle(s.members[0].id, "DRAINING")
		s.d.SetDown(false)
		s.wantFirstMemberUnused(100)
	})
}

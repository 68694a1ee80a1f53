package integration

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"dahliarudder/internal/fakes"
)

// pushedListSettings are the settings used here with pushed lists: an agent beside the relay has the lists, and what it has counts as
// delivered, whether or not a watch is open.
var pushedListSettings = json.RawMessage(strings.Replace(settingsText, `"discovery":"subscribe"`, `"discovery":"automatic"`, 1))

// newPushedListRig is a relay among members that answer by themselves; the first one's lifecycle is listed by an agent, and the
// relay's own last list does not have it.
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

// wantFirstMemberUnused opens requests, none of which may go to the first member any more once the grace is over.
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
		s.t.Errorf("%d requests went to a member that drains", sent)
	}
}

// TestPushedEndpointLists: where lists are pushed, what the agent has counts at once: from the first moment of a process, while it
// runs, as the agent comes back after an outage, and after a watch was cut off.
func TestPushedEndpointLists(t *testing.T) {
	t.Parallel()
	t.Run("from the first moment", func(t *testing.T) {
		t.Parallel()
		newPushedListRig(t, "DRAINING").wantFirstMemberUnused(100)
	})
	t.Run("while it runs", func(t *testing.T) {
		t.Parallel()
		s := newPushedListRig(t, "SERVING")
		waitFor(t, "a watch", func() bool { return s.d.Calls() > 1 })
		s.d.SetLifecycle(s.members[0].id, "DRAINING")
		s.wantFirstMemberUnused(100)
	})
	t.Run("after an outage", func(t *testing.T) {
		t.Parallel()
		s := newPushedListRig(t, "SERVING")
		waitFor(t, "a watch", func() bool { return s.d.Calls() > 1 })
		s.d.SetDown(true)
		calls := s.d.Calls()
		waitFor(t, "failures in a row", func() bool { return s.d.Calls() > calls+8 })
		s.d.SetLifecycle(s.members[0].id, "DRAINING")
		s.d.SetDown(false)
		s.wantFirstMemberUnused(100)
	})
}

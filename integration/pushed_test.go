package integration

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"dahliarudder/internal/fakes"
)

// pushedText are the settings used here where lists are pushed: an agent beside the relay has them, and what it has counts as
// told, whether or not a watch is open.
var pushedText = json.RawMessage(strings.Replace(settingsText, `"discovery":"subscribe"`, `"discovery":"automatic"`, 1))

// newPushed is a relay among members that answer by themselves; the first of them is listed as it says by an agent of which the
// relay's own last list knows nothing.
func newPushed(t *testing.T, lifecycle string) *crossing {
	t.Helper()
	s := &crossing{}
	var list []member
	s.members, list = newMembers(t, 2, fakes.NewAttemptCounter())
	s.tries = s.members[0].tries
	for _, m := range s.members {
		m.answers(true)
	}
	s.d = newDiscovery(t, list...)
	config := configure(t, s.d, map[string]any{"settings": pushedText})
	s.d.SetLifecycle(s.members[0].id, lifecycle)
	s.relay = start(t, config, 1)
	return s
}

// avoids opens requests, none of which may go to the first member any more once the grace is over.
func (s *crossing) avoids(from int) {
	s.t.Helper()
	time.Sleep(drainGrace + timeSlack)
	before := len(s.members[0].arrivals())
	for n := range 12 {
		c := s.openFor(from+n, 2*time.Second)
		c.want("UP " + s.members[1].id)
		c.Close()
	}
	if sent := len(s.members[0].arrivals()) - before; sent > 0 {
		s.t.Errorf("%d requests went to a member that drains", sent)
	}
}

// TestPushedLists: where lists are pushed, what the agent has counts at once: from the first moment of a process, while it
// runs, as the agent comes back after an outage, and after a watch was cut off.
func TestPushedLists(t *testing.T) {
	t.Parallel()
	t.Run("from the first moment", func(t *testing.T) {
		t.Parallel()
		newPushed(t, "DRAINING").avoids(100)
	})
	t.Run("while it runs", func(t *testing.T) {
		t.Parallel()
		s := newPushed(t, "SERVING")
		until(t, "a watch", func() bool { return s.d.Calls() > 1 })
		s.d.SetLifecycle(s.members[0].id, "DRAINING")
		s.avoids(100)
	})
	t.Run("after an outage", func(t *testing.T) {
		t.Parallel()
		s := newPushed(t, "SERVING")
		until(t, "a watch", func() bool { return s.d.Calls() > 1 })
		s.d.SetDown(true)
		calls := s.d.Calls()
		until(t, "failures in a row", func() bool { return s.d.Calls() > calls+8 })
		s.d.SetLifecycle(s.members[0].id, "DRAINING")
		s.d.SetDown(false)
		s.avoids(100)
	})
}

package line

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"dahliarudder/policy"
)

// TestRemainingDeadlineForwarded checks that d in the forwarded line is the remaining time when the
// line is sent, not when the connection is dialled.
func TestRemainingDeadlineForwarded(t *testing.T) {
	forwarded := func(connectDelay time.Duration) int {
		g := newRig(t, 1)
		g.Core.PauseDispatch()
		g.sendRequest(firstLine)
		g.Core.ResumeDispatch()
		g.Advance(connectDelay) // the connection is established in this loop iteration
		line := g.fakeMembers[0].Accept().ReadLine()
		var d int
		if _, err := fmt.Sscanf(line[strings.Index(line, ",d="):], ",d=%d", &d); err != nil {
			t.Fatalf("no d in the forwarded line %q: %v", line, err)
		}
		return d
	}
	if at, late := forwarded(0), forwarded(100*time.Millisecond); at-late != 100 {
		t.Errorf("d = %d, and %d if connecting takes 100 ms; want a difference of 100", at, late)
	}
}

// TestNoAttemptAtDepartedMember checks that a connection is not used if it is established after its
// member has been draining for longer than the grace, and that the request continues without it.
func TestNoAttemptAtDepartedMember(t *testing.T) {
	g := newRig(t, 1)
	c := g.sendRequest(firstLine)
	g.setMemberState(0, policy.Draining)
	g.Advance(time.Duration(g.Core.Settings.Guarantees.DrainGrace)*time.Millisecond + time.Millisecond)
	g.expectNothingSent()
	if got := c.ReadLine(); !strings.HasPrefix(got, "BUSY") {
		t.Errorf("client got %q, want BUSY", got)
	}
	c.ExpectEOF()
	g.expectNoLeaks()
}

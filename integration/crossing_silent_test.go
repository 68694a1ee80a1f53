package integration

import (
	"fmt"
	"testing"
	"time"
)

// answerNothing leaves it silent for ever.
func answerNothing(*scriptedWatch, *scriptedDiscovery) {}

func answerUnavailable(w *scriptedWatch, _ *scriptedDiscovery) {
	fmt.Fprint(w, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
	close(w.done)
}

// blockForever keeps a call for ever.
func blockForever(*scriptedWatch) { select {} }

// TestCrossingWatchSilent: a member drains just as the watch falls silent, or ends and the next call is silent. Nothing new goes to it later than the
// protocol allows after the silence began.
func TestCrossingWatchSilent(t *testing.T) {
	t.Parallel()
	for _, test := range []watchCase{
		{"silent", silentWatchDeadline, answerNothing, nil},
		{"503 then silence", silentWatchDeadline, answerUnavailable, []func(*scriptedWatch){blockForever}},
		{"reset then silence", silentWatchDeadline, answerReset, []func(*scriptedWatch){blockForever}},
	} {
		t.Run(test.name, test.run)
	}
}

// TestCrossingWatchMovedSilent: SIGHUP moves discovery, where a member drains, and the first call there is silent.
func TestCrossingWatchMovedSilent(t *testing.T) {
	t.Parallel()
	s, old := newWatchRig(t)
	c, m := s.openFlowOfMember()
	next := newScriptedDiscovery(t, s.entries())
	next.drain(m.id, nil, blockForever)
	at := time.Now()
	s.reload(old.addr, next.addr)
	last := s.lastSendTo(m, c).Sub(at)
	t.Logf("the last send went %v after SIGHUP", last.Round(time.Millisecond))
	if limit := silentWatchDeadline + drainGrace + socketTolerance; last > limit {
		t.Errorf("sent to a member %v after SIGHUP; %v are allowed", last, limit)
	}
	s.checkAttempts()
}

package integration

import (
	"fmt"
	"testing"
	"time"
)

// answerNothing leaves the watch open without an answer.
func answerNothing(*scriptedWatch, *scriptedDiscovery) {}

func answerUnavailable(w *scriptedWatch, _ *scriptedDiscovery) {
	fmt.Fprint(w, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
	close(w.done)
}

// blockForever never answers the call and keeps its connection open.
func blockForever(*scriptedWatch) { select {} }

// TestCrossingWatchSilent guards against requests to a member whose drain the relay does not see: the
// member starts to drain just when the watch becomes silent, or when the watch ends and the next call
// gets no answer. The relay must send it no new requests later than the protocol allows after the start
// of the silence.
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

// TestCrossingWatchMovedSilent: SIGHUP changes the discovery address; at the new address a member is
// listed as draining, but the first call there gets no answer. The time limit is that of
// TestCrossingWatchSilent, counted from SIGHUP.
func TestCrossingWatchMovedSilent(t *testing.T) {
	t.Parallel()
	s, old := newWatchRig(t)
	c, m := s.openFlowOfMember()
	next := newScriptedDiscovery(t, s.entries())
	next.drain(m.id, nil, blockForever)
	at := time.Now()
	s.reload(old.addr, next.addr)
	last := s.lastSendTo(m, c).Sub(at)
	t.Logf("the last request reached the member %v after SIGHUP", last.Round(time.Millisecond))
	if limit := silentWatchDeadline + drainGrace + socketTolerance; last > limit {
		t.Errorf("a request reached the draining member %v after SIGHUP, want at most %v", last, limit)
	}
	s.checkAttempts()
}

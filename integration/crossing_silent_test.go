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

// hangs keeps a call for ever.
func hangs(*scriptedWatch) { select {} }

// TestCrossingWatchSilent: a member drains just as the watch falls silent, or ends and the next call is silent. Nothing new goes to it later than the
// protocol allows after the silence began.
func TestCrossingWatchSilent(t *testing.T) {
	t.Parallel()
	for _, test := range []watchCase{
		{"silent", silenceTold, answerNothing, nil},
		{"503 then silence", silenceTold, answerUnavailable, []func(*scriptedWatch){hangs}},
		{"reset then silence", silenceTold, answerReset, []func(*scriptedWatch){hangs}},
	} {
		t.Run(test.what, test.run)
	}
}

// TestCrossingWatchMovedSilent: SIGHUP moves discovery, where a member drains, and the first call there is silent.
func TestCrossingWatchMovedSilent(t *testing.T) {
	t.Parallel()
	s, old := watchSite(t)
	c, m := s.flowAt()
	var list []member
	for _, x := range s.members {
		list = append(list, x.entry())
	}
	next := newScriptedDiscovery(t, list)
	next.drain(m.id, nil, hangs)
	at := time.Now()
	s.reload(old.addr, next.addr)
	last := s.goesOn(m, c).Sub(at)
	t.Logf("the last send went %v after SIGHUP", last.Round(time.Millisecond))
	if most := silenceTold + drainGrace + timeSlack; last > most {
		t.Errorf("sent to a member %v after SIGHUP; %v are allowed", last, most)
	}
	s.checkTries()
}

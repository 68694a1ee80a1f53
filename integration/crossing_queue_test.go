package integration

import (
	"strings"
	"testing"
	"time"
)

// TestCrossingStopAcceptQueue: connections with a complete request wait in the accept queue, more than one loop round accepts, when
// the listener is about to close: the process is suspended from SIGTERM until then. Each is answered.
func TestCrossingStopAcceptQueue(t *testing.T) {
	t.Parallel()
	const queued = 40 // acceptBurst of netloop is 16
	s := newScriptedRig(t, 2, nil)
	since := s.terminate()
	s.suspend()
	var all []*client
	for n := range queued {
		all = append(all, s.openWithDeadline(100+n, 9*time.Second))
	}
	time.Sleep(time.Until(since.Add(maxCountedDeadline + socketTolerance))) // its clock goes on; that is the event
	s.resume()
	answers := map[string]int{}
	for _, c := range all {
		word, _, _ := strings.Cut(c.line(), " ")
		answers[word]++
	}
	s.waitExit()
	s.checkAttempts()
	if answers["BUSY"] != queued {
		t.Errorf("answers %v", answers)
	}
}

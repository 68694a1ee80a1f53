package integration

import (
	"strings"
	"testing"
	"time"
)

// TestCrossingStopAcceptQueue guards against requests that stay unanswered in the accept queue when the
// listener closes. The process is suspended after SIGTERM until the time to close the listener has
// passed. Meanwhile more clients connect and send a request than one round of the event loop accepts.
// Each must get BUSY.
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
	time.Sleep(time.Until(since.Add(maxCountedDeadline + socketTolerance))) // until the close is overdue
	s.resume()
	answers := map[string]int{}
	for _, c := range all {
		word, _, _ := strings.Cut(c.line(), " ")
		answers[word]++
	}
	s.waitExit()
	s.checkAttempts()
	if answers["BUSY"] != queued {
		t.Errorf("answers %v, want %d BUSY", answers, queued)
	}
}
